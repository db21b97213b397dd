"""One request from its arrival to its answer: what is sent again, and what the client may be told."""

import os
from collections import Counter
from random import Random

import pytest

from molespur.policy.pair import Choice, Demand, EngineShape, Step, Way
from molespur.policy.tracking import Part, WorkerTrack
from molespur.system.data_plane import exchange_messages as machine
from molespur.system.data_plane.exchange import Exchange
from molespur.system.data_plane.exchange_messages import Failure, HedgeRefusal, State
from molespur.system.data_plane.hedging import HedgeGate
from molespur.system.errors import ERROR_RESPONSES, ErrorKind
from molespur.system.settings.configuration import Route

ENGINE = EngineShape(18_432.0, 500_000.0, 400_000.0)


def worker(name, phase="decode"):
    return WorkerTrack(name, f"10.0.0.{len(name)}:80", "a", phase, 64)


def step(track, part):
    return Step(track, part, 20.0, 0.0, 0.0, 1.0, 20.0)


class ScriptedPolicy:
    """Chooses the first worker of each part that is not avoided."""

    def __init__(self, pair=True):
        self.pair = pair
        self.forecast = 40.0
        self.meets = True

    def choose(self, _now, workers, _demand, avoid):
        left = [w for w in workers if w.id not in avoid]
        runners = [w for w in left if w.phase == "decode"]
        readers = [w for w in left if w.phase == "prefill"]
        if not runners:
            return None
        run = step(runners[0], Part.DECODE if self.pair else Part.DIRECT)
        steps = (step(readers[0], Part.PREFILL), run) if self.pair and readers else (run,)
        return Choice(Way(steps, self.forecast, 1.0, 40.0), self.meets)

    def choose_decode(self, _now, workers, _demand, _source, avoid):
        runners = [w for w in workers if w.id not in avoid and w.phase == "decode"]
        return step(runners[0], Part.DECODE) if runners else None


def exchange(pair=True, budget=10, workers=None, **route):
    route = Route("r", "h", "/p/", **{"type": "streaming", "max_attempts": 1, "timeout_ms": 3000.0, **route})
    demand = Demand("r", 300.0, 3000.0, ENGINE, 1000.0)
    known = workers or [worker("p1", "prefill"), worker("p2", "prefill"), worker("d1"), worker("d2")]
    spent = []

    def spend(now):
        if len(spent) >= budget:
            return False
        spent.append(now)
        return True

    made = Exchange(route, demand, ScriptedPolicy(pair), lambda: known, spend, HedgeGate(lambda: known))
    made.granted = spent
    return made


def only(actions):
    """The one action of a list."""
    assert len(actions) == 1, actions
    return actions[0]


def begin(request, now=0):
    return only(request.handle(now, machine.Begin()))


def fails(request, now, failure, attempt=None):
    return only(request.handle(now, machine.AttemptFailed(attempt or request.begun, failure)))


def reads(request, now, handle="h"):
    return only(request.handle(now, machine.PromptRead(request.begun, handle)))


def goes_on(request, now, attempt=None):
    return request.handle(now, machine.AttemptProgress(attempt or request.begun))


def ends_with(action, kind):
    assert action == machine.Answer(kind), action


def test_a_pair_reads_then_runs_then_is_done():
    request = exchange()
    read = begin(request)
    assert isinstance(read, machine.Read) and read.step.worker.id == "p1"
    run = reads(request, 50, "h1")
    assert (run.step.worker.id, run.source.id, run.handle) == ("d1", "p1", "h1")
    goes_on(request, 80)
    assert request.handle(100, machine.AnswerEnded(1)) == [machine.Finish()]
    assert request.state is State.DONE and request.granted == []


def test_what_may_have_run_is_not_sent_again_and_not_promised():
    request = exchange(pair=False)
    begin(request)
    ends_with(fails(request, 10, Failure.MAY_HAVE_RUN), ErrorKind.MAY_HAVE_RUN)
    assert not ERROR_RESPONSES[ErrorKind.MAY_HAVE_RUN].guarantees_not_run


def test_what_may_be_repeated_is_sent_again_up_to_the_attempts_of_its_route():
    request = exchange(pair=False, resumable=True, max_attempts=2)
    begin(request)
    again = fails(request, 10, Failure.MAY_HAVE_RUN)
    assert again.step.worker.id == "d2" and len(request.granted) == 1
    ends_with(fails(request, 20, Failure.MAY_HAVE_RUN), ErrorKind.MAY_HAVE_RUN)


def test_a_rejected_request_goes_elsewhere_within_the_budget():
    request = exchange(pair=False, budget=0)
    begin(request)
    ends_with(fails(request, 10, Failure.REJECTED), ErrorKind.REJECTED)
    assert ERROR_RESPONSES[ErrorKind.REJECTED].guarantees_not_run


def test_a_connection_that_did_not_come_up_costs_no_repeat():
    request = exchange(pair=False, budget=0)
    begin(request)
    again = fails(request, 10, Failure.NOT_SENT)
    assert again.step.worker.id == "d2" and request.granted == []


def test_a_rejected_prefill_call_counts_and_the_first_taken_one_does_not():
    request = exchange()
    begin(request)
    second = fails(request, 10, Failure.REJECTED)
    assert isinstance(second, machine.Read) and second.step.worker.id == "p2"
    assert len(request.granted) == 1
    reads(request, 20, "h")
    assert len(request.granted) == 1, (
        "the prompt read is free; the rejected call and the run are two arrivals"
    )


def test_a_prefill_call_without_an_answer_may_have_taken_the_free_one():
    request = exchange()
    begin(request)
    fails(request, 10, Failure.MAY_HAVE_RUN)
    run = reads(request, 20, "h")
    assert isinstance(run, machine.Run) and len(request.granted) == 1


def test_a_prefill_call_is_no_run():
    request = exchange()
    begin(request)
    fails(request, 10, Failure.MAY_HAVE_RUN)
    final = fails(request, 20, Failure.MAY_HAVE_RUN)
    assert isinstance(final, machine.Run) and final.source is None


def test_a_handle_that_is_gone_means_another_way():
    request = exchange()
    begin(request)
    reads(request, 10, "h")
    again = fails(request, 20, Failure.REJECTED)
    assert isinstance(again, machine.Read) and len(request.granted) == 1


def test_a_broken_stream_goes_on_elsewhere_only_if_it_may():
    request = exchange(pair=False, resumable=True, max_attempts=2)
    begin(request)
    goes_on(request, 10)
    more = fails(request, 20, Failure.MAY_HAVE_RUN)
    assert isinstance(more, machine.Run) and more.resume and more.step.worker.id == "d2"
    assert fails(request, 30, Failure.MAY_HAVE_RUN) == machine.Cut()
    fixed = exchange(pair=False)
    begin(fixed)
    goes_on(fixed, 10)
    assert fails(fixed, 20, Failure.MAY_HAVE_RUN) == machine.Cut()


def test_no_worker_and_no_time_are_refused_with_a_promise():
    request = exchange(workers=[worker("p", "prefill")])
    ends_with(begin(request), ErrorKind.NO_WORKER)
    request = exchange()
    ends_with(begin(request, 2990), ErrorKind.OUT_OF_TIME_UNSENT)
    assert ERROR_RESPONSES[ErrorKind.NO_WORKER].guarantees_not_run
    assert ERROR_RESPONSES[ErrorKind.OUT_OF_TIME_UNSENT].guarantees_not_run


def test_a_request_without_a_chance_is_refused_at_once():
    request = exchange()
    request.policy.forecast = 5000.0
    ends_with(begin(request), ErrorKind.OVERLOADED)
    lowest = exchange()
    lowest.demand.lowest_priority = True
    lowest.policy.forecast, lowest.policy.meets = 1500.0, False
    ends_with(begin(lowest), ErrorKind.OVERLOADED)


@pytest.mark.parametrize("failures", [[f, g] for f in Failure for g in Failure])
@pytest.mark.parametrize("pair", [False, True])
def test_no_history_promises_what_may_have_run(failures, pair):
    """Whatever fails, in every order: a promise is made only when no run can have begun."""
    request = exchange(pair)
    action = begin(request)
    may_have_run = False
    for failure in failures:
        if isinstance(action, machine.Read):
            action = reads(request, 10, "h")
        if not isinstance(action, machine.Run):
            break
        may_have_run |= failure is Failure.MAY_HAVE_RUN
        action = fails(request, 20, failure)
    if isinstance(action, machine.Answer):
        assert not (may_have_run and ERROR_RESPONSES[action.kind].guarantees_not_run)
    else:
        assert not may_have_run, "a stream that may not be resumed was sent again"


# -- A second attempt beside a silent one ------------------------------------------------------------


def silent(request, now, attempt=1):
    return request.handle(now, machine.AttemptSilent(attempt))


def test_silence_begins_a_second_attempt_and_ends_nothing():
    request = exchange(pair=False, resumable=True, max_attempts=2)
    begin(request)
    hedge = only(silent(request, 700))
    assert isinstance(hedge, machine.Run) and hedge.step.worker.id == "d2" and hedge.hedge
    assert set(request.open) == {1, 2} and len(request.granted) == 1
    assert silent(request, 1400) == silent(request, 1500, 2) == [], "two are the most"


@pytest.mark.parametrize("first", [1, 2])
def test_the_first_that_brings_what_goes_on_ends_the_other(first):
    request = exchange(pair=False, resumable=True, max_attempts=2)
    begin(request)
    silent(request, 700)
    assert goes_on(request, 800, first) == [machine.Abandon(3 - first)]
    assert goes_on(request, 810, 3 - first) == [], "what was ended brings nothing more"
    assert request.handle(820, machine.AnswerEnded(3 - first)) == []
    assert request.handle(900, machine.AnswerEnded(first)) == [machine.Finish()]
    assert request.hedges.outcomes["won"] == (first == 2)


def test_a_stream_that_falls_silent_is_taken_up_only_beside_the_first():
    request = exchange(pair=False, resumable=True, max_attempts=2)
    begin(request)
    goes_on(request, 100)
    hedge = only(silent(request, 1300))
    assert hedge.resume and request.state is State.ANSWERING
    assert goes_on(request, 1400, 1) == [machine.Abandon(2)], "the first has gone on after all"
    assert fails(request, 1500, Failure.MAY_HAVE_RUN, 1) == machine.Cut(), "both attempts were used"


@pytest.mark.parametrize("failure", Failure)
def test_a_second_attempt_that_fails_leaves_the_first_as_it_was(failure):
    request = exchange(pair=False, resumable=True, max_attempts=2)
    begin(request)
    silent(request, 700)
    assert request.handle(710, machine.AttemptFailed(2, failure)) == []
    assert set(request.open) == {1} and request.state is State.OPEN
    goes_on(request, 800, 1)
    assert request.handle(900, machine.AnswerEnded(1)) == [machine.Finish()]


def test_the_first_may_fail_beside_the_second():
    request = exchange(pair=False, resumable=True, max_attempts=2)
    begin(request)
    silent(request, 700)
    assert request.handle(710, machine.AttemptFailed(1, Failure.MAY_HAVE_RUN)) == []
    assert goes_on(request, 800, 2) == []


REFUSED_HEDGES = {
    HedgeRefusal.NOT_REPEATABLE: {},
    HedgeRefusal.NO_ATTEMPT: {"resumable": True, "max_attempts": 1},
    HedgeRefusal.NO_WORKER: {"resumable": True, "max_attempts": 2, "workers": [worker("d")]},
    HedgeRefusal.NO_BUDGET: {"resumable": True, "max_attempts": 2, "budget": 0},
}


@pytest.mark.parametrize("refusal", REFUSED_HEDGES)
def test_a_second_attempt_that_may_not_be_leaves_the_first_as_it_was(refusal):
    request = exchange(pair=False, **REFUSED_HEDGES[refusal])
    begin(request)
    assert silent(request, 700) == []
    assert request.hedge_refusal is refusal and request.hedges.outcomes[refusal.value] == 1
    assert set(request.open) == {1} and request.counted == 1
    goes_on(request, 800)
    assert request.handle(900, machine.AnswerEnded(1)) == [machine.Finish()]


def test_no_second_attempt_without_time():
    request = exchange(pair=False, resumable=True, max_attempts=2)
    begin(request)
    request.policy.forecast = 500.0
    assert silent(request, 2600) == [] and request.hedge_refusal is HedgeRefusal.NO_TIME


def test_a_prompt_may_be_read_twice_even_where_nothing_may_run_twice():
    request = exchange(budget=1)
    begin(request)
    second = only(silent(request, 500))
    assert isinstance(second, machine.Read) and second.step.worker.id == "p2"
    abandoned, run = request.handle(600, machine.PromptRead(1, "h1"))
    assert abandoned == machine.Abandon(2)
    assert (run.source.id, run.handle, run.attempt) == ("p1", "h1", 1)
    assert silent(request, 1500) == [], "what may not be repeated runs once"
    assert request.hedge_refusal is HedgeRefusal.NOT_REPEATABLE
    assert len(request.granted) == 1


def test_the_second_reader_may_be_the_first_to_have_read():
    request = exchange(budget=1)
    begin(request)
    silent(request, 500)
    abandoned, run = request.handle(600, machine.PromptRead(2, "h2"))
    assert abandoned == machine.Abandon(1) and (run.source.id, run.handle) == ("p2", "h2")


def test_no_run_begins_beside_a_reader_that_needs_the_only_one():
    known = [worker("p1", "prefill"), worker("d1"), worker("d2")]
    request = exchange(workers=known)
    begin(request)
    assert silent(request, 500) == [], "all that is left is a worker that would run it"
    assert request.hedge_refusal is HedgeRefusal.NO_ATTEMPT


def test_a_hand_over_that_may_not_be_ends_only_its_own_attempt():
    known = [worker("p1", "prefill"), worker("p2", "prefill"), worker("d1")]
    request = exchange(workers=known, resumable=True, max_attempts=2)
    begin(request)
    run = reads(request, 100)
    assert isinstance(run, machine.Run)
    known.append(worker("d2"))
    assert isinstance(only(silent(request, 900)), machine.Read)
    known.pop()
    assert request.handle(1000, machine.PromptRead(2, "h2")) == [machine.Abandon(2)]
    assert set(request.open) == {1}


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
    """One request whose attempts do what is drawn, and what must hold after every step."""

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
        self.reading, self.running = set(), set()  # attempts that are out
        self.ran = 0  # calls for the answer that may have run, those that are out included
        self.progressed = None  # the attempt that brought the last event
        self.now, self.final = 0.0, None

    def play(self):
        self.take(self.request.handle(self.now, machine.Begin()))
        while self.final is None:
            self.now += self.random.choice((1.0, 50.0, 700.0))
            assert self.reading or self.running, "a request with no attempt out is never answered"
            self.take(self.request.handle(self.now, self.event()))
        assert not self.reading and not self.running, "nothing goes on after the end"
        self.check_end()

    def event(self):
        number = self.random.choice(sorted(self.reading | self.running))
        kind = self.random.choice(("silent", "silent", "fails", "good"))
        if kind == "silent" and self.now < 2900:
            return machine.AttemptSilent(number)
        if kind == "fails" or self.now > 2900:
            failure = self.random.choice(list(Failure))
            if self.progressed == number:
                failure = Failure.MAY_HAVE_RUN
            if number in self.running and failure is not Failure.MAY_HAVE_RUN:
                self.ran -= 1
            self.reading.discard(number)
            self.running.discard(number)
            return machine.AttemptFailed(number, failure)
        if number in self.reading:
            self.reading.discard(number)
            return machine.PromptRead(number, f"h{number}")
        if self.progressed == number and self.random.random() < 0.5:
            self.running.discard(number)
            return machine.AnswerEnded(number)
        self.progressed = number
        return machine.AttemptProgress(number)

    def take(self, actions):
        for action in actions:
            assert self.final is None, "nothing follows the end"
            match action:
                case machine.Read(number):
                    self.reading.add(number)
                case machine.Run(number):
                    self.running.add(number)
                    self.ran += 1
                    assert action.resume == (self.progressed is not None), (
                        "a part is neither lost nor doubled"
                    )
                case machine.Abandon(number):
                    self.reading.discard(number)
                    self.running.discard(number)
                case _:
                    self.final = action
        assert len(self.reading) + len(self.running) <= 2
        most = self.route.get("max_attempts", 1) if self.route != ROUTES[0] else 1
        assert self.ran <= most, f"ran {self.ran} times on a route for {most}"
        assert self.request.spent == len(self.request.granted), "each right is taken once"

    def check_end(self):
        match self.final:
            case machine.Answer(kind):
                assert self.progressed is None, "an answer of our own after a part of a worker's"
                assert not (self.ran and ERROR_RESPONSES[kind].guarantees_not_run)
            case machine.Cut():
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
        hedged += history.request.hedges.outcomes["begun"]
        won += history.request.hedges.outcomes["won"]
    assert set(ends) == {machine.Answer, machine.Cut, machine.Finish}, ends
    assert hedged > HISTORIES / 10 and won, (hedged, won)
