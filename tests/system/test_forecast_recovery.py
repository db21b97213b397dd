"""A service is refused by forecast only while requests show that the forecast is right.

These tests guard against a service that is refused for good: the forecast of its requests was too long, all
of them were refused, and so nothing corrected it.
"""

import heapq
from random import Random

import pytest

from molespur.policy.pair import Demand, PairPolicy
from molespur.policy.tracking import MAX_LOG_PACE, ServingPhase, WorkerTrack
from molespur.system.data_plane import exchange_messages as messages
from molespur.system.data_plane.exchange import Exchange
from molespur.system.data_plane.forecast_probe import ForecastProbe
from molespur.system.data_plane.hedging import HedgeGate
from molespur.system.settings.configuration import Route

SLOTS, WORKERS = 6, 8
DEADLINE_MS = 8000.0
RETRY_MS = 250.0


class Service:
    """Plain workers that serve a request in a fixed time, and one scheduler with clients in a closed loop."""

    def __init__(self, run_ms, clients, lowest_priority=False, seed=1):
        self.run_ms, self.lowest_priority = run_ms, lowest_priority
        self.policy = PairPolicy("a", Random(seed))
        self.workers = [WorkerTrack(f"w{n}", f"10.0.0.{n}:80", "a", "", SLOTS) for n in range(WORKERS)]
        self.gate = HedgeGate(lambda: self.workers)
        self.probe = ForecastProbe(lambda: self.workers)
        self.route = Route("r", "h", "/p/", timeout_ms=DEADLINE_MS, target_latency_ms=400.0)
        self.now, self.served_at, self.refused_at = 0.0, [], []
        self._events = [(random_ms, n, self._send) for n, random_ms in enumerate(range(clients))]
        self._serial = clients
        heapq.heapify(self._events)

    def run(self, until):
        """Play events up to a time."""
        while self._events and self._events[0][0] <= until:
            self.now, _, call = heapq.heappop(self._events)
            call()
        self.now = until

    def share_served(self, since):
        """The share of the requests that ended since a time and were served."""
        served = sum(at >= since for at in self.served_at)
        refused = sum(at >= since for at in self.refused_at)
        return served / max(served + refused, 1)

    def _at(self, delay_ms, call):
        self._serial += 1
        heapq.heappush(self._events, (self.now + delay_ms, self._serial, call))

    def _send(self):
        demand = Demand("r", self.now + 400.0, self.now + DEADLINE_MS, lowest_priority=self.lowest_priority)
        exchange = Exchange(
            self.route, demand, self.policy, lambda: self.workers, lambda _now: False, self.gate, self.probe
        )
        (action,) = exchange.handle(self.now, messages.RequestReceived())
        if isinstance(action, messages.RespondWithError):
            self.refused_at.append(self.now)
            self._at(RETRY_MS, self._send)
            return
        key, started_at = object(), self.now
        self.policy.record_sent(self.now, action.step, demand, key)
        self._at(self.run_ms, lambda: self._complete(action.step, demand, key, started_at))

    def _complete(self, step, demand, key, started_at):
        elapsed_ms = self.now - started_at
        self.policy.record_first_response(self.now, step, demand, key, elapsed_ms)
        self.policy.record_ended(self.now, step, key)
        self.served_at.append(self.now)
        self._at(0.0, self._send)


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("clients", [5, 20, 40])
@pytest.mark.parametrize("run_ms", [2000.0, 3000.0])
def test_slow_requests_with_free_slots_are_served(run_ms, clients, seed):
    """Guards against a forecast that learns the same time twice: 2 or 3 s of 8 s, and 48 slots."""
    service = Service(run_ms, clients, seed=seed)
    service.run(60_000.0)
    assert service.share_served(since=10_000.0) >= 0.95


@pytest.mark.parametrize("lowest_priority", [False, True])
@pytest.mark.parametrize("learned_run_ms", [50.0, 8_000.0, 100_000.0])
def test_after_a_forecast_that_is_far_too_long_service_soon_returns(learned_run_ms, lowest_priority):
    """Workers were slow, the forecast learned it, all requests were refused; the workers are fast again."""
    service = Service(50.0, 8, lowest_priority)
    service.policy.plain_run_ms["r"] = learned_run_ms
    service.policy.model.run_coefs[ServingPhase.PLAIN] = 5.0
    for worker in service.workers:
        worker.log_pace[ServingPhase.PLAIN] = MAX_LOG_PACE
    service.run(30_000.0)
    assert service.share_served(since=20_000.0) >= 0.95
