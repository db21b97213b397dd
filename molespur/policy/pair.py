"""Selects the workers of a request: a prefill and a decode worker, a decode worker alone, or a plain worker.

Pure.  The finish-time model forecasts each route plan as a whole, from the workers' load reports and the
scheduler's own calls since.  Plans at workers with a cached prefix are preferred, then plans that meet the
target latency; among those that are left the draw is a weighted random one.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from math import exp
from random import Random
from zlib import crc32

from .model import FinishTimeModel
from .placement import draw_candidate, prefer_warm, select_tier
from .tracking import ServingPhase, WorkerTrack, prefill_rank

PREFILL_TOKENS_PER_MS = 50.0  # prior; the model learns the real pace
DIRECT_TOKENS_PER_MS = 25.0
FIRST_TOKEN_MS = 20.0
PLAIN_RUN_MS = 40.0  # prior, until requests of the route have been served
KV_TRANSFER_COST_MS = 20.0  # cost in the draw, beyond the forecast, of moving a KV cache between workers
CROSS_ZONE_COST_MS = 12.0  # cost in the draw, beyond the forecast, of a call into another zone
CROSS_ZONE_TRANSFER_FACTOR = 2.0  # the KV cache moves this much slower between zones
WARM_PENALTY_MS = 120.0
# a longer prefill stalls the streams of its decode worker and is allowed only without prefill workers
MAX_DIRECT_PREFILL_MS = 80.0
DIRECT_COST = 1.0  # cost (ms) in the draw of each ms of prefill at a decode worker
MAX_CANDIDATES = 8  # workers of a phase that are considered for one request
MIN_MATCH_TOKENS = 3000.0  # a shorter shared prefix counts as this long, since it is soon prefilled
# prefix match that is assumed of a prefix's preferred worker: other schedulers may have sent the prefix there
PREFERRED_MATCH = 0.9
PREFERRED_CACHED_SHARE = 0.85  # share of a shared prefix that its preferred worker probably has cached
REPEATED_PREFILL_COST_MS = 0.02  # for each shared token that is not prefilled at its preferred worker
REFIT_INTERVAL_MS = 2000.0
DUE_FORECASTS, DUE_SLACK_MS = 1.5, 100.0  # a first response is late after this many forecasts plus the slack
# a worker that is silent to the control plane is used if it sent bytes on own calls this recently
MAX_CONTACT_AGE_MS = 2500.0
PANIC_SHARE = 0.5  # with fewer workers than this share left, ejections are ignored
PLAIN_RUN_GAIN = 0.05


@dataclass(frozen=True, slots=True)
class EngineShape:
    """The model workers of a service, as the operator has configured them."""

    token_bytes: float
    bandwidth_mbps: float
    capacity_tokens: float


@dataclass(slots=True)
class Demand:
    """What the policy has to know of a request.  Times are ms on the caller's clock."""

    route: str
    target_at: float
    deadline_at: float
    engine: EngineShape | None = None
    tokens: float = 0.0
    segments: tuple[tuple[str, float], ...] = ()
    repeatable: bool = False
    lowest_priority: bool = False

    @property
    def shared_segments(self):
        """The prefix segments that other requests may have too: all but the last."""
        return self.segments[:-1]


@dataclass(slots=True)
class Step:
    """One call of a route plan, with the terms of its forecast."""

    worker: WorkerTrack
    phase: ServingPhase
    run_ms: float
    wait_ms: float
    slot_use: float
    prefix_match: float
    forecast_ms: float
    prefill_tokens: float = 0.0
    rank: int = 0  # in the worker's queue, 0 first: KV transfers, then short prefills before long ones
    repeated_tokens: float = 0.0  # shared ones of `prefill_tokens` that another worker has probably prefilled


@dataclass(slots=True)
class RoutePlan:
    """One way to serve a request."""

    steps: tuple[Step, ...]
    forecast_ms: float
    prefix_match: float
    cost_ms: float

    @property
    def prefill_step(self):
        """The step at a separate prefill worker, if there is one."""
        return self.steps[0] if len(self.steps) > 1 else None

    @property
    def response_step(self):
        """The step whose response goes to the client."""
        return self.steps[-1]


@dataclass(slots=True)
class Selection:
    """A route plan, and whether its forecast meets the target latency."""

    plan: RoutePlan
    meets_target: bool


class PairPolicy:
    """Decides for one scheduler; equal settings, seed and events give equal selections."""

    def __init__(self, zone: str, random: Random):
        self.zone, self.random = zone, random
        self.model = FinishTimeModel(ServingPhase)
        self.plain_run_ms: dict[str, float] = {}
        self.next_refit_at = 0.0

    # -- Selection -----------------------------------------------------------------------------

    def choose(
        self, now: float, workers: Iterable[WorkerTrack], demand: Demand, avoid: Sequence[str] = ()
    ) -> Selection | None:
        """Select a plan among the usable workers; None without any."""
        usable = self._usable(now, workers, avoid)
        if demand.engine is None:
            plans = [self._single_worker_plan(now, w, ServingPhase.PLAIN, demand) for w in usable]
        else:
            plans = self._engine_plans(now, usable, demand)
        if not plans:
            return None
        left = demand.target_at - now
        if len(demand.segments) > 1:
            plans = prefer_warm(
                self.random, plans, WARM_PENALTY_MS, _forecast_ms, lambda plan: plan.prefix_match
            )
        chosen, meets_target = select_tier(self.random, plans, left, _forecast_ms, demand.repeatable)
        return Selection(draw_candidate(self.random, chosen, [plan.cost_ms for plan in chosen]), meets_target)

    def choose_decode(
        self,
        now: float,
        workers: Iterable[WorkerTrack],
        demand: Demand,
        source: WorkerTrack,
        avoid: Sequence[str],
    ) -> Step | None:
        """Select the decode worker that takes the KV cache over from the prefill worker `source`."""
        usable = [w for w in self._usable(now, workers, avoid) if w.phase != "prefill"]
        steps = [self._decode_step(now, source, w, demand) for w in usable]
        if not steps:
            return None
        costs = [
            s.forecast_ms + self._call_cost_ms(s.worker) + _transfer_cost_ms(source, s.worker) for s in steps
        ]
        return draw_candidate(self.random, steps, costs)

    def _usable(self, now, workers, avoid):
        known = [
            w
            for w in workers
            if w.usable
            and w.id not in avoid
            and (not w.silent or now - w.last_received_at < MAX_CONTACT_AGE_MS)
        ]
        healthy = [w for w in known if not w.is_ejected(now)]
        return healthy if len(healthy) >= PANIC_SHARE * len(known) else known

    def _engine_plans(self, now, usable, demand):
        prefill_workers = self._candidates([w for w in usable if w.phase == "prefill"], demand)
        decode_workers = self._candidates([w for w in usable if w.phase != "prefill"], demand)
        plans = [self._single_worker_plan(now, w, ServingPhase.DIRECT, demand) for w in decode_workers]
        if prefill_workers:
            short = [
                plan
                for plan in plans
                if plan.response_step.prefill_tokens / DIRECT_TOKENS_PER_MS <= MAX_DIRECT_PREFILL_MS
            ]
            plans = short if decode_workers else plans
        preferred = (
            min(prefill_workers, key=lambda w: _rendezvous_hash(w, demand))
            if prefill_workers and demand.shared_segments
            else None
        )
        for prefill_worker in prefill_workers:
            prefill = self._prefill_step(
                now, prefill_worker, ServingPhase.PREFILL, demand, preferred=prefill_worker is preferred
            )
            for decode_worker in decode_workers:
                decode = self._decode_step(now, prefill_worker, decode_worker, demand)
                cost = prefill.forecast_ms + decode.forecast_ms + KV_TRANSFER_COST_MS
                cost += self._call_cost_ms(prefill_worker) + self._call_cost_ms(decode_worker)
                cost += (
                    _transfer_cost_ms(prefill_worker, decode_worker)
                    + REPEATED_PREFILL_COST_MS * prefill.repeated_tokens
                )
                plans.append(
                    RoutePlan(
                        (prefill, decode),
                        prefill.forecast_ms + decode.forecast_ms,
                        prefill.prefix_match,
                        cost,
                    )
                )
        return plans

    def _candidates(self, workers, demand):
        """At most MAX_CANDIDATES of them: the preferred workers of the prefix, and others at random."""
        if len(workers) <= MAX_CANDIDATES:
            return workers
        preferred = sorted(workers, key=lambda w: _rendezvous_hash(w, demand))[: MAX_CANDIDATES // 4]
        others = [w for w in workers if w not in preferred]
        return preferred + self.random.sample(others, MAX_CANDIDATES - len(preferred))

    def _call_cost_ms(self, worker):
        return CROSS_ZONE_COST_MS * (worker.zone != self.zone)

    # -- Forecast ------------------------------------------------------------------------------

    def _single_worker_plan(self, now, worker, phase, demand):
        if phase is ServingPhase.PLAIN:
            step = self._plain_step(now, worker, demand)
        else:
            step = self._prefill_step(now, worker, phase, demand)
        cost = step.forecast_ms + self._call_cost_ms(worker)
        if phase is ServingPhase.DIRECT:
            cost += REPEATED_PREFILL_COST_MS * step.repeated_tokens
            cost += (
                DIRECT_COST
                * (step.prefill_tokens + worker.prefill_tokens_ahead(step.rank))
                / DIRECT_TOKENS_PER_MS
            )
        return RoutePlan((step,), step.forecast_ms, step.prefix_match, cost)

    def _prefill_step(self, now, worker, phase, demand, preferred=False):
        """A call that begins with the prefill: at a prefill worker, or at a decode worker (DIRECT)."""
        cached = worker.cached_tokens(demand.segments)
        shared = sum(tokens for _, tokens in demand.shared_segments)
        missing = max(shared - worker.cached_tokens(demand.shared_segments), 0.0)
        match = 1.0 - missing / max(shared, MIN_MATCH_TOKENS)
        if preferred:
            match, cached = (
                max(match, PREFERRED_MATCH),
                max(cached, PREFERRED_CACHED_SHARE * shared * worker.unknown_peer_share),
            )
        uncached = max(demand.tokens - cached, 0.0)
        repeated = 0.0 if preferred else max(shared - cached, 0.0)
        tokens_per_ms = PREFILL_TOKENS_PER_MS if phase is ServingPhase.PREFILL else DIRECT_TOKENS_PER_MS
        run_ms = uncached / tokens_per_ms + FIRST_TOKEN_MS
        rank = prefill_rank(uncached / tokens_per_ms)
        wait_ms = worker.prefill_tokens_ahead(rank) / tokens_per_ms
        others = worker.other_requests(now)
        if phase is ServingPhase.DIRECT:
            wait_ms += self._slot_wait_ms(worker, others)
        elif not worker.peer_scale:
            wait_ms += others * demand.tokens / PREFILL_TOKENS_PER_MS / 2
        step = self._step(now, worker, phase, run_ms, wait_ms, match, uncached)
        step.repeated_tokens, step.rank = repeated, rank
        return step

    def _decode_step(self, now, source, worker, demand):
        """A call that fetches the KV cache from `source` and decodes."""
        cached = worker.cached_tokens(demand.segments)
        bits = max(demand.tokens - cached, 0.0) * demand.engine.token_bytes * 8
        factor = 1.0 if source.zone == worker.zone else CROSS_ZONE_TRANSFER_FACTOR
        transfer_ms = bits / max(demand.engine.bandwidth_mbps * 1000.0, 1.0) * factor
        wait_ms = (
            self._slot_wait_ms(worker, worker.other_requests(now))
            + worker.prefill_tokens_ahead(0) / DIRECT_TOKENS_PER_MS / 4
        )
        return self._step(now, worker, ServingPhase.DECODE, transfer_ms + FIRST_TOKEN_MS, wait_ms, 1.0, 0.0)

    @staticmethod
    def _slot_wait_ms(worker, others):
        """The wait for a slot in the batch, and the slowdown of each token by the other requests in it."""
        over = worker.unfinished + others - worker.slots
        load = (worker.unfinished + others) / max(worker.slots, 1)
        return 10.0 * load + max(over, 0.0) * 5.0

    def _plain_step(self, now, worker, demand):
        run_ms = self.plain_run_ms.get(demand.route, PLAIN_RUN_MS)
        load = worker.unfinished + worker.other_requests(now)
        over = load + 1 - worker.slots
        wait_ms = max(over, 0.0) * run_ms / max(worker.slots, 1) + 0.3 * run_ms * min(
            load / max(worker.slots, 1), 1.0
        )
        return self._step(now, worker, ServingPhase.PLAIN, run_ms, wait_ms, 1.0, 0.0)

    def _step(self, now, worker, phase, run_ms, wait_ms, match, prefill_tokens):
        wait_ms = max(wait_ms, worker.overdue_ms(now))
        paced_ms = run_ms * exp(worker.log_pace.get(phase, 0.0))
        slot_use = (worker.unfinished + worker.other_requests(now)) / max(worker.slots, 1)
        return Step(
            worker,
            phase,
            run_ms,
            wait_ms,
            min(slot_use, 2.0),
            match,
            self.model.forecast(self.model.pace(phase) * paced_ms, wait_ms, 0.0),
            prefill_tokens,
        )

    # -- Own calls -----------------------------------------------------------------------------

    def record_sent(self, now: float, step: Step, demand: Demand, key) -> None:
        """A call is being sent to a worker."""
        worker = step.worker
        if not worker.unfinished:
            worker.busy_since = now
        worker.unfinished += 1
        worker.response_due_at[key] = now + DUE_FORECASTS * step.forecast_ms + DUE_SLACK_MS
        worker.prefill_tokens[step.rank] += step.prefill_tokens
        if step.phase is not ServingPhase.PLAIN:
            worker.add_prefix(demand.segments)

    def record_first_response(self, now: float, step: Step, demand: Demand, key, elapsed_ms: float) -> None:
        """The prefill has ended, or the first event or the complete response has come, after `elapsed_ms`."""
        step.worker.response_due_at.pop(key, None)
        self._subtract_prefill(step)
        step.worker.record_success(now, step.phase, step.forecast_ms, elapsed_ms)
        self.model.train(
            step.phase,
            step.run_ms,
            step.wait_ms,
            0.0,
            step.slot_use,
            step.prefix_match,
            min(elapsed_ms, 10 * step.forecast_ms),
        )
        if step.phase is ServingPhase.PLAIN:
            self._learn_plain_run(step, demand.route, elapsed_ms)
        if now >= self.next_refit_at:
            self.next_refit_at = now + REFIT_INTERVAL_MS
            self.model.refit(FIRST_TOKEN_MS, ServingPhase)

    def _learn_plain_run(self, step: Step, route: str, elapsed_ms: float) -> None:
        """Adjust the run time of a route's requests at a worker of ordinary pace.

        The paces of this worker and of all of them are learned apart, so what they explain is left out.
        """
        pace = self.model.pace(step.phase) * exp(step.worker.log_pace.get(step.phase, 0.0))
        observed_ms = max(elapsed_ms - step.wait_ms, 1.0) / pace
        run_ms = self.plain_run_ms.setdefault(route, PLAIN_RUN_MS)
        self.plain_run_ms[route] = run_ms + PLAIN_RUN_GAIN * (observed_ms - run_ms)

    def record_overtaken(
        self, now: float, step: Step, started_at: float, last_received_at: float, responded: bool
    ) -> None:
        """A call is about to be cancelled because another was faster.  This is no failure of its worker.

        `last_received_at`: when bytes of the call last came, or else its start.  `responded`: whether its
        response has begun.  A worker that has been silent on all calls since then is ejected until bytes come
        from it again.  Of another worker it is known that the call would have taken at least this long.
        """
        if step.worker.last_received_at <= last_received_at:
            step.worker.suspect(now)
        elif not responded and now - started_at > step.forecast_ms:
            step.worker.learn_pace(step.phase, step.forecast_ms, now - started_at)

    def record_ended(
        self, now: float, step: Step, key, failed: bool = False, elapsed_ms: float = 0.0
    ) -> None:
        """A call has ended, for whatever reason."""
        worker = step.worker
        worker.unfinished -= 1
        worker.response_due_at.pop(key, None)
        self._subtract_prefill(step)
        if failed:
            worker.record_failure(now)
            self.model.train(
                step.phase,
                step.run_ms,
                step.wait_ms,
                0.0,
                step.slot_use,
                step.prefix_match,
                max(elapsed_ms, step.forecast_ms),
            )

    @staticmethod
    def _subtract_prefill(step):
        tokens = step.worker.prefill_tokens
        tokens[step.rank] = max(tokens[step.rank] - step.prefill_tokens, 0.0)
        step.prefill_tokens = 0.0


def _transfer_cost_ms(prefill_worker, decode_worker):
    """Added cost of a KV cache transfer between zones, which is slower and more expensive."""
    return KV_TRANSFER_COST_MS * (prefill_worker.zone != decode_worker.zone)


def _forecast_ms(plan):
    return plan.forecast_ms


def _rendezvous_hash(worker, demand):
    """Orders workers by preference for a request's shared prefix, lowest first, equally at all schedulers."""
    key = demand.shared_segments[-1][0] if demand.shared_segments else demand.route
    return crc32(f"{worker.id}/{key}".encode())
