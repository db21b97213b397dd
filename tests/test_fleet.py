"""What is harmless when one dispatcher does it, and harmful when forty do: counted over all of them."""

from collections import deque

from helpers import entry, make, news

from molespur import interface as io
from molespur.interface import NewsMode

MANY = 40


def drive(fleet, until, first, act, deliver):
    """Run dispatchers on one clock: each takes the first event, then what deliver(now) brings."""
    events, now = [(number, first) for number in range(len(fleet))], 0.0
    while now < until:
        for number, event in events + [(number, io.TimerFired("due")) for number in range(len(fleet))]:
            for action in fleet[number].handle(now, event):
                act(now, number, action)
        now += 5.0
        events = deliver(now)


class Discovery:
    """One service that answers calls in turn, also those of callers that have given up waiting."""

    def __init__(self, each_ms, patience_ms, most):
        self.each, self.patience, self.most = each_ms, patience_ms, most
        self.queue, self.free_at, self.told, self.calls = deque(), 0.0, [], 0

    def ask(self, now, number):
        self.calls += 1
        if len(self.queue) >= self.most:
            self.told.append((number, io.FleetNews(NewsMode.ERROR)))
        else:
            self.queue.append([now, number])

    def deliver(self, now):
        told, self.told = self.told, []
        for call in self.queue:
            if call[1] is not None and now - call[0] > self.patience:
                told.append((call[1], io.FleetNews(NewsMode.ERROR)))
                call[1] = None
        while self.queue and self.free_at <= now:
            number = self.queue.popleft()[1]
            self.free_at = max(self.free_at, now) + self.each
            if number is not None:
                told.append((number, io.FleetNews(NewsMode.PARTIAL)))
        return told


def test_a_fleet_that_loses_its_watches_at_once_gets_them_all_back():
    fleet = [make(seed=n, subscribes=True, must_ask_in_ms=10000.0, balancers=MANY) for n in range(MANY)]
    discovery, watching = Discovery(each_ms=150.0, patience_ms=2000.0, most=20), set()
    for dispatcher in fleet:
        news(dispatcher, entry("w"), now=0.0)

    def act(now, number, action):
        if isinstance(action, io.Watch):
            discovery.ask(now, number)

    def deliver(now):
        told = discovery.deliver(now)
        watching.update(number for number, event in told if event.mode is NewsMode.PARTIAL)
        return told

    drive(fleet, 20000.0, io.FleetNews(NewsMode.ERROR), act, deliver)
    assert len(watching) == MANY
    assert discovery.calls < 2 * MANY


def test_a_call_to_discovery_is_not_thrown_away_for_the_next():
    d = make(subscribes=True, must_ask_in_ms=10000.0, balancers=MANY)
    d.handle(0.0, io.FleetNews(NewsMode.ERROR))
    calls, now = [], 0.0
    while not calls or now < calls[0] + 5000.0:
        now += 5.0
        calls += [now for a in d.handle(now, io.TimerFired("due")) if isinstance(a, io.Watch)]
    assert len(calls) == 1
