"""The state machine of a request: what is sent again, and which errors the client may get."""

import os
from collections import Counter
from random import Random

import pytest

from molespur.policy.pair import Demand, EngineShape, RoutePlan, Selection, Step
from molespur.policy.tracking import ServingPhase, WorkerTrack
from molespur.system.data_plane import exchange_messages as machine
from molespur.system.data_plane.exchange import Exchange
from molespur.system.data_plane.exchange_messages import Failure, HedgeRefusal, State
from molespur.system.data_plane.forecast_probe import PROBE_INTERVAL_MS, ForecastProbe
from molespur.system.data_plane.hedging import HedgeGate
from molespur.system.errors import ERROR_RESPONSES, ErrorKind
from molespur.system.settings.configuration import Route

ENGINE = EngineShape(18_432.0, 500_000.0, 400_000.0)


def worker(name, phase="decode"):
    return WorkerTrack(name, f"10.0.0.{len(name)}:80", "a", phase, 64)


def step(track, phase):
    return Step(track, phase, 20.0, 0.0, 0.0, 1.0, 20.0)


class ScriptedPolicy:
    """Chooses the first worker of each phase that is not avoided."""

    def __init__(self, pair=True):
        self.pair = pair
        self.forecast = 40.0
        self.meets_target = True

    def choose(self, _now, workers, _demand, avoid):
        left = [w for w in workers if w.id not in avoid]
        decode_workers = [w for w in left if w.phase == "decode"]
        prefill_workers = [w for w in left if w.phase == "prefill"]
        if not decode_workers:
            return None
        run = step(decode_workers[0], ServingPhase.DECODE if self.pair else ServingPhase.DIRECT)
        steps = (
            (step(prefill_workers[0], ServingPhase.PREFILL), run) if self.pair and prefill_workers else (run,)
        )
        return Selection(RoutePlan(steps, self.forecast, 1.0, 40.0), self.meets_target)

    def choose_decode(self, _now, workers, _demand, _source, avoid):
        decode_workers = [w for w in workers if w.id not in avoid and w.phase == "decode"]
        return step(decode_workers[0], ServingPhase.DECODE) if decode_workers else None


def exchange(pair=True, budget=10, workers=None, **route):
    route = Route("r", "h", "/p/", **{"type": "streaming", "max_attempts": 1, "timeout_ms": 3000.0, **route})
    demand = Demand("r", 300.0, 3000.0, ENGINE, 1000.0)
    listed = workers or [worker("p1", "prefill"), worker("p2", "prefill"), worker("d1"), worker("d2")]
    spent = []

    def spend(now):
        if len(spent) >= budget:
            return False
        spent.append(now)
        return True

    request = Exchange(
        route,
        demand,
        ScriptedPolicy(pair),
        lambda: listed,
        spend,
        HedgeGate(lambda: listed),
        ForecastProbe(lambda: listed),
    )
    request.granted = spent
    return request


def only(actions):
    """The only action of a list."""
    assert len(actions) == 1, actions
    return actions[0]


def test_after_a_request_is_abandoned_only_its_complete_response_still_counts():
    for started in (1, 2):
        request = exchange(max_attempts=3, resumable=True)
        begin(request)
        if started == 2:
            assert isinstance(only(request.handle(900, machine.AttemptSilent(1))), machine.StartPrefill)
        assert request.handle(950, machine.RequestAbandoned()) == []
        for number in (1, 2):
            for event in (
                machine.AttemptSilent(number),
                machine.AttemptProgressed(number),
                machine.PrefillCompleted(number, "h"),
                *(machine.AttemptFailed(number, failure) for failure in Failure),
            ):
                assert request.handle(960, event) == []
        completed = request.handle(970, machine.ResponseCompleted(1))
        assert isinstance(completed[-1], machine.Finish)


def begin(request, now=0):
    return only(request.handle(now, machine.RequestReceived()))


def fail(request, now, failure, attempt=None):
    return only(request.handle(now, machine.AttemptFailed(attempt or request.attempts_started, failure)))


def complete_prefill(request, now, handle="h"):
    return only(request.handle(now, machine.PrefillCompleted(request.attempts_started, handle)))


def progress(request, now, attempt=None):
    return request.handle(now, machine.AttemptProgressed(attempt or request.attempts_started))


def assert_error(action, kind):
    assert action == machine.RespondWithError(kind), action


def test_a_pair_prefills_then_runs_then_is_done():
    request = exchange()
    prefill = begin(request)
    assert isinstance(prefill, machine.StartPrefill) and prefill.step.worker.id == "p1"
    run = complete_prefill(request, 50, "h1")
    assert (run.step.worker.id, run.source.id, run.handle) == ("d1", "p1", "h1")
    progress(request, 80)
    assert request.handle(100, machine.ResponseCompleted(1)) == [machine.Finish()]
    assert request.state is State.DONE and request.granted == []


def test_a_request_that_may_have_run_is_not_repeated_and_gets_no_promise():
    request = exchange(pair=False)
    begin(request)
    assert_error(fail(request, 10, Failure.MAY_HAVE_RUN), ErrorKind.MAY_HAVE_RUN)
    assert not ERROR_RESPONSES[ErrorKind.MAY_HAVE_RUN].guarantees_not_run


def test_a_repeatable_request_is_repeated_up_to_its_routes_attempts():
    request = exchange(pair=False, resumable=True, max_attempts=2)
    begin(request)
    again = fail(request, 10, Failure.MAY_HAVE_RUN)
    assert again.step.worker.id == "d2" and len(request.granted) == 1
    assert_error(fail(request, 20, Failure.MAY_HAVE_RUN), ErrorKind.MAY_HAVE_RUN)


def test_a_rejected_request_goes_elsewhere_within_the_budget():
    request = exchange(pair=False, budget=0)
    begin(request)
    assert_error(fail(request, 10, Failure.REJECTED), ErrorKind.REJECTED)
    assert ERROR_RESPONSES[ErrorKind.REJECTED].guarantees_not_run


def test_a_failed_connection_costs_no_budget():
    request = exchange(pair=False, budget=0)
    begin(request)
    again = fail(request, 10, Failure.NOT_SENT)
    assert again.step.worker.id == "d2" and request.granted == []


def test_a_rejected_prefill_counts_and_the_first_accepted_one_does_not():
    request = exchange()
    begin(request)
    second = fail(request, 10, Failure.REJECTED)
    assert isinstance(second, machine.StartPrefill) and second.step.worker.id == "p2"
    assert len(request.granted) == 1
    complete_prefill(request, 20, "h")
    assert len(request.granted) == 1, (
        "the accepted prefill is free; the rejected one and the run are two arrivals"
    )


def test_a_prefill_without_a_response_counts_as_the_free_one():
    request = exchange()
    begin(request)
    fail(request, 10, Failure.MAY_HAVE_RUN)
    run = complete_prefill(request, 20, "h")
    assert isinstance(run, machine.StartRun) and len(request.granted) == 1


def test_a_prefill_is_no_run():
    request = exchange()
    begin(request)
    fail(request, 10, Failure.MAY_HAVE_RUN)
    final = fail(request, 20, Failure.MAY_HAVE_RUN)
    assert isinstance(final, machine.StartRun) and final.source is None


def test_a_run_whose_handle_is_rejected_starts_again_with_a_prefill():
    request = exchange()
    begin(request)
    complete_prefill(request, 10, "h")
    again = fail(request, 20, Failure.REJECTED)
    assert isinstance(again, machine.StartPrefill) and len(request.granted) == 1


def test_a_broken_stream_is_resumed_at_another_worker_only_if_resumable():
    request = exchange(pair=False, resumable=True, max_attempts=2)
    begin(request)
    progress(request, 10)
    more = fail(request, 20, Failure.MAY_HAVE_RUN)
    assert isinstance(more, machine.StartRun) and more.resume and more.step.worker.id == "d2"
    assert fail(request, 30, Failure.MAY_HAVE_RUN) == machine.AbortResponse()
    fixed = exchange(pair=False)
    begin(fixed)
    progress(fixed, 10)
    assert fail(fixed, 20, Failure.MAY_HAVE_RUN) == machine.AbortResponse()


def test_without_worker_or_time_the_refusal_promises_not_run():
    request = exchange(workers=[worker("p", "prefill")])
    assert_error(begin(request), ErrorKind.NO_WORKER)
    request = exchange()
    assert_error(begin(request, 2990), ErrorKind.OUT_OF_TIME_UNSENT)
    assert ERROR_RESPONSES[ErrorKind.NO_WORKER].guarantees_not_run
    assert ERROR_RESPONSES[ErrorKind.OUT_OF_TIME_UNSENT].guarantees_not_run


def hopeless_requests(workers):
    """A request whose forecast is beyond its deadline, and one of the lowest priority beyond its target."""
    late, lowest = exchange(workers=workers), exchange(workers=workers)
    late.policy.forecast = 5000.0
    lowest.demand.lowest_priority = True
    lowest.policy.forecast, lowest.policy.meets_target = 1500.0, False
    return late, lowest


def test_a_hopeless_request_is_refused_at_once():
    busy = worker("d1")
    busy.unfinished = 1  # its response will show whether the forecast is right
    for request in hopeless_requests([worker("p1", "prefill"), busy]):
        assert_error(begin(request), ErrorKind.OVERLOADED)


def test_without_an_open_call_one_hopeless_request_at_a_time_is_sent_as_a_probe():
    """Guards against refusals for good: without any call nothing corrects the forecast."""
    for request in hopeless_requests([worker("p1", "prefill"), worker("d1")]):
        probe = request.forecast_probe
        assert isinstance(begin(request, now=0), machine.StartPrefill) and probe.started == 1
        assert not probe.may_start(PROBE_INTERVAL_MS - 1.0)
        assert probe.may_start(PROBE_INTERVAL_MS)


@pytest.mark.parametrize("failures", [[f, g] for f in Failure for g in Failure])
@pytest.mark.parametrize("pair", [False, True])
def test_no_history_promises_not_run_for_what_may_have_run(failures, pair):
    """For all orders of failures: not-run is promised only if no run can have begun."""
    request = exchange(pair)
    action = begin(request)
    may_have_run = False
    for failure in failures:
        if isinstance(action, machine.StartPrefill):
            action = complete_prefill(request, 10, "h")
        if not isinstance(action, machine.StartRun):
            break
        may_have_run |= failure is Failure.MAY_HAVE_RUN
        action = fail(request, 20, failure)
    if isinstance(action, machine.RespondWithError):
        assert not (may_have_run and ERROR_RESPONSES[action.kind].guarantees_not_run)
    else:
        assert not may_have_run, "a request that may not be repeated was sent again"


# -- A second attempt beside a silent one ------------------------------------------------------------


def silent(request, now, attempt=1):
    return request.handle(now, machine.AttemptSilent(attempt))


def test_silence_starts_a_second_attempt_and_ends_nothing():
    request = exchange(pair=False, resumable=True, max_attempts=2)
    begin(request)
    hedge = only(silent(request, 700))
    assert isinstance(hedge, machine.StartRun) and hedge.step.worker.id == "d2" and hedge.hedge
    assert set(request.open_attempts) == {1, 2} and len(request.granted) == 1
    assert silent(request, 1400) == silent(request, 1500, 2) == [], "at most two attempts are open"


@pytest.mark.parametrize("first", [1, 2])
def test_the_first_attempt_with_progress_cancels_the_other(first):
    request = exchange(pair=False, resumable=True, max_attempts=2)
    begin(request)
    silent(request, 700)
    assert progress(request, 800, first) == [machine.CancelAttempt(3 - first)]
    assert progress(request, 810, 3 - first) == [], "events of a cancelled attempt are ignored"
    assert request.handle(820, machine.ResponseCompleted(3 - first)) == []
    assert request.handle(900, machine.ResponseCompleted(first)) == [machine.Finish()]
    assert request.hedge_gate.outcomes["won"] == (first == 2)


def test_a_hedge_resumes_a_silent_stream_while_the_first_attempt_stays_open():
    request = exchange(pair=False, resumable=True, max_attempts=2)
    begin(request)
    progress(request, 100)
    hedge = only(silent(request, 1300))
    assert hedge.resume and request.state is State.RESPONDING
    assert progress(request, 1400, 1) == [machine.CancelAttempt(2)], (
        "the first attempt has progressed after all"
    )
    assert fail(request, 1500, Failure.MAY_HAVE_RUN, 1) == machine.AbortResponse(), "both attempts were used"


@pytest.mark.parametrize("failure", Failure)
def test_a_failed_second_attempt_leaves_the_first_open(failure):
    request = exchange(pair=False, resumable=True, max_attempts=2)
    begin(request)
    silent(request, 700)
    assert request.handle(710, machine.AttemptFailed(2, failure)) == []
    assert set(request.open_attempts) == {1} and request.state is State.OPEN
    progress(request, 800, 1)
    assert request.handle(900, machine.ResponseCompleted(1)) == [machine.Finish()]


def test_a_failed_first_attempt_leaves_the_second_open():
    request = exchange(pair=False, resumable=True, max_attempts=2)
    begin(request)
    silent(request, 700)
    assert request.handle(710, machine.AttemptFailed(1, Failure.MAY_HAVE_RUN)) == []
    assert progress(request, 800, 2) == []


REFUSED_HEDGES = {
    HedgeRefusal.NOT_REPEATABLE: {},
    HedgeRefusal.NO_ATTEMPT: {"resumable": True, "max_attempts": 1},
    HedgeRefusal.NO_WORKER: {"resumable": True, "max_attempts": 2, "workers": [worker("d")]},
    HedgeRefusal.NO_BUDGET: {"resumable": True, "max_attempts": 2, "budget": 0},
}


@pytest.mark.parametrize("refusal", REFUSED_HEDGES)
def test_a_refused_second_attempt_leaves_the_first_open(refusal):
    request = exchange(pair=False, **REFUSED_HEDGES[refusal])
    begin(request)
    assert silent(request, 700) == []
    assert request.hedge_refusal is refusal and request.hedge_gate.outcomes[refusal.value] == 1
    assert set(request.open_attempts) == {1} and request.counted_arrivals == 1
    progress(request, 800)
    assert request.handle(900, machine.ResponseCompleted(1)) == [machine.Finish()]


def test_no_second_attempt_starts_without_time():
    request = exchange(pair=False, resumable=True, max_attempts=2)
    begin(request)
    request.policy.forecast = 500.0
    assert silent(request, 2600) == [] and request.hedge_refusal is HedgeRefusal.NO_TIME


def test_a_prefill_may_be_repeated_where_a_run_may_not():
    request = exchange(budget=1)
    begin(request)
    second = only(silent(request, 500))
    assert isinstance(second, machine.StartPrefill) and second.step.worker.id == "p2"
    cancelled, run = request.handle(600, machine.PrefillCompleted(1, "h1"))
    assert cancelled == machine.CancelAttempt(2)
    assert (run.source.id, run.handle, run.attempt) == ("p1", "h1", 1)
    assert silent(request, 1500) == [], "a request that may not be repeated runs once"
    assert request.hedge_refusal is HedgeRefusal.NOT_REPEATABLE
    assert len(request.granted) == 1


def test_the_second_prefill_may_complete_first():
    request = exchange(budget=1)
    begin(request)
    silent(request, 500)
    cancelled, run = request.handle(600, machine.PrefillCompleted(2, "h2"))
    assert cancelled == machine.CancelAttempt(1) and (run.source.id, run.handle) == ("p2", "h2")


def test_no_run_starts_beside_a_prefill_that_needs_the_only_run():
    workers = [worker("p1", "prefill"), worker("d1"), worker("d2")]
    request = exchange(workers=workers)
    begin(request)
    assert silent(request, 500) == [], "only a worker that would run the request is left"
    assert request.hedge_refusal is HedgeRefusal.NO_ATTEMPT


def test_a_prefill_without_a_decode_worker_ends_only_its_own_attempt():
    workers = [worker("p1", "prefill"), worker("p2", "prefill"), worker("d1")]
    request = exchange(workers=workers, resumable=True, max_attempts=2)
    begin(request)
    run = complete_prefill(request, 100)
    assert isinstance(run, machine.StartRun)
    workers.append(worker("d2"))
    assert isinstance(only(silent(request, 900)), machine.StartPrefill)
    workers.pop()
    assert request.handle(1000, machine.PrefillCompleted(2, "h2")) == [machine.CancelAttempt(2)]
    assert set(request.open_attempts) == {1}


# -- Random histories --------------------------------------------------------------------------------

HISTORIES = int(os.environ.get("EXCHANGE_HISTORIES", "600"))  # 10,000 by hand
ROUTES = (
    {"type": "non_idempotent"},
    {"type": "idempotent", "max_attempts": 2},
    {"type": "streaming", "max_attempts": 1},
    {"type": "streaming", "resumable": True, "max_attempts": 2},
    {"type": "streaming", "resumable": True, "max_attempts": 3},
)


class RandomHistory:
    """One request whose attempts behave at random, with checks after every step."""

    def __init__(self, seed):
        self.random = Random(seed)
        self.route = self.random.choice(ROUTES)
        self.request = exchange(
            pair=self.random.random() < 0.5,
            budget=self.random.choice((0, 1, 2, 10)),
            workers=[worker(f"p{n}", "prefill") for n in range(self.random.randrange(3))]
            + [worker(f"d{n}") for n in range(self.random.randrange(1, 4))],
            **self.route,
        )
        self.in_prefill, self.running = set(), set()  # open attempts
        self.ran = 0  # runs that may have been executed, including open ones
        self.progressed = None  # the attempt with the last event
        self.now, self.final = 0.0, None

    def play(self):
        self.take(self.request.handle(self.now, machine.RequestReceived()))
        while self.final is None:
            self.now += self.random.choice((1.0, 50.0, 700.0))
            assert self.in_prefill or self.running, "a request without an open attempt never ends"
            self.take(self.request.handle(self.now, self.event()))
        assert not self.in_prefill and not self.running, "no attempt is open after the end"
        self.check_end()

    def event(self):
        number = self.random.choice(sorted(self.in_prefill | self.running))
        kind = self.random.choice(("silent", "silent", "fails", "succeeds"))
        if kind == "silent" and self.now < 2900:
            return machine.AttemptSilent(number)
        if kind == "fails" or self.now > 2900:
            failure = self.random.choice(list(Failure))
            if self.progressed == number:
                failure = Failure.MAY_HAVE_RUN
            if number in self.running and failure is not Failure.MAY_HAVE_RUN:
                self.ran -= 1
            self.in_prefill.discard(number)
            self.running.discard(number)
            return machine.AttemptFailed(number, failure)
        if number in self.in_prefill:
            self.in_prefill.discard(number)
            return machine.PrefillCompleted(number, f"h{number}")
        if self.progressed == number and self.random.random() < 0.5:
            self.running.discard(number)
            return machine.ResponseCompleted(number)
        self.progressed = number
        return machine.AttemptProgressed(number)

    def take(self, actions):
        for action in actions:
            assert self.final is None, "no action follows the end"
            match action:
                case machine.StartPrefill(number):
                    self.in_prefill.add(number)
                case machine.StartRun(number):
                    self.running.add(number)
                    self.ran += 1
                    assert action.resume == (self.progressed is not None), (
                        "no part of the response is lost or sent twice"
                    )
                case machine.CancelAttempt(number):
                    self.in_prefill.discard(number)
                    self.running.discard(number)
                case _:
                    self.final = action
        assert len(self.in_prefill) + len(self.running) <= 2
        max_runs = self.route.get("max_attempts", 1) if self.route != ROUTES[0] else 1
        assert self.ran <= max_runs, f"ran {self.ran} times on a route with max_attempts {max_runs}"
        assert self.request.budget_spent == len(self.request.granted), (
            "each repeat is taken from the budget once"
        )

    def check_end(self):
        match self.final:
            case machine.RespondWithError(kind):
                assert self.progressed is None, "an error response after a part of a worker's response"
                assert not (self.ran and ERROR_RESPONSES[kind].guarantees_not_run)
            case machine.AbortResponse():
                assert self.progressed is not None
            case machine.Finish():
                assert self.progressed is not None


def test_random_histories_of_two_attempts():
    ends, hedged, won = Counter(), 0, 0
    for seed in range(HISTORIES):
        history = RandomHistory(seed)
        try:
            history.play()
        except AssertionError as error:
            raise AssertionError(f"seed {seed}: {error}") from error
        ends[type(history.final)] += 1
        hedged += history.request.hedge_gate.outcomes["begun"]
        won += history.request.hedge_gate.outcomes["won"]
    assert set(ends) == {machine.RespondWithError, machine.AbortResponse, machine.Finish}, ends
    assert hedged > HISTORIES / 10 and won, (hedged, won)
