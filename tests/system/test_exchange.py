"""One request from its arrival to its answer: what is sent again, and what the client may be told."""

import pytest

from molespur.policy.pair import Choice, Demand, EngineShape, Step, Way
from molespur.policy.tracking import Part, WorkerTrack
from molespur.system.data_plane import exchange as machine
from molespur.system.data_plane.exchange import Exchange, Failure, State
from molespur.system.errors import ANSWERS, ErrorKind
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

    made = Exchange(route, demand, ScriptedPolicy(pair), lambda: known, spend)
    made.granted = spent
    return made


def ends_with(action, kind):
    assert action == machine.Answer(kind), action


def test_a_pair_reads_then_runs_then_is_done():
    request = exchange()
    read = request.handle(0, machine.Begin())
    assert isinstance(read, machine.Read) and read.step.worker.id == "p1"
    run = request.handle(50, machine.PromptRead("h1"))
    assert (run.step.worker.id, run.source.id, run.handle) == ("d1", "p1", "h1")
    request.handle(80, machine.AnswerBegun())
    assert request.handle(100, machine.AnswerEnded()) == machine.Finish()
    assert request.state is State.DONE and request.granted == []


def test_what_may_have_run_is_not_sent_again_and_not_promised():
    request = exchange(pair=False)
    request.handle(0, machine.Begin())
    ends_with(request.handle(10, machine.AttemptFailed(Failure.MAY_HAVE_RUN)), ErrorKind.MAY_HAVE_RUN)
    assert not ANSWERS[ErrorKind.MAY_HAVE_RUN].promises_not_run


def test_what_may_be_repeated_is_sent_again_up_to_the_attempts_of_its_route():
    request = exchange(pair=False, resumable=True, max_attempts=2)
    request.handle(0, machine.Begin())
    again = request.handle(10, machine.AttemptFailed(Failure.MAY_HAVE_RUN))
    assert again.step.worker.id == "d2" and len(request.granted) == 1
    ends_with(request.handle(20, machine.AttemptFailed(Failure.MAY_HAVE_RUN)), ErrorKind.MAY_HAVE_RUN)


def test_a_rejected_request_goes_elsewhere_within_the_budget():
    request = exchange(pair=False, budget=0)
    request.handle(0, machine.Begin())
    ends_with(request.handle(10, machine.AttemptFailed(Failure.REJECTED)), ErrorKind.REJECTED)
    assert ANSWERS[ErrorKind.REJECTED].promises_not_run


def test_a_connection_that_did_not_come_up_costs_no_repeat():
    request = exchange(pair=False, budget=0)
    request.handle(0, machine.Begin())
    again = request.handle(10, machine.AttemptFailed(Failure.NOT_SENT))
    assert again.step.worker.id == "d2" and request.granted == []


def test_a_rejected_prefill_call_counts_and_the_first_taken_one_does_not():
    request = exchange()
    request.handle(0, machine.Begin())
    second = request.handle(10, machine.AttemptFailed(Failure.REJECTED))
    assert isinstance(second, machine.Read) and second.step.worker.id == "p2"
    assert len(request.granted) == 1
    request.handle(20, machine.PromptRead("h"))
    assert len(request.granted) == 1, (
        "the prompt read is free; the rejected call and the run are two arrivals"
    )


def test_a_prefill_call_without_an_answer_may_have_taken_the_free_one():
    request = exchange()
    request.handle(0, machine.Begin())
    request.handle(10, machine.AttemptFailed(Failure.MAY_HAVE_RUN))
    run = request.handle(20, machine.PromptRead("h"))
    assert isinstance(run, machine.Run) and len(request.granted) == 1


def test_a_prefill_call_is_no_run():
    request = exchange()
    request.handle(0, machine.Begin())
    request.handle(10, machine.AttemptFailed(Failure.MAY_HAVE_RUN))
    final = request.handle(20, machine.AttemptFailed(Failure.MAY_HAVE_RUN))
    assert isinstance(final, machine.Run) and final.source is None


def test_a_handle_that_is_gone_means_another_way():
    request = exchange()
    request.handle(0, machine.Begin())
    request.handle(10, machine.PromptRead("h"))
    again = request.handle(20, machine.AttemptFailed(Failure.REJECTED))
    assert isinstance(again, machine.Read) and len(request.granted) == 1


def test_a_broken_stream_goes_on_elsewhere_only_if_it_may():
    request = exchange(pair=False, resumable=True, max_attempts=2)
    request.handle(0, machine.Begin())
    request.handle(10, machine.AnswerBegun())
    more = request.handle(20, machine.AnswerBroken())
    assert isinstance(more, machine.Run) and more.resume and more.step.worker.id == "d2"
    assert request.handle(30, machine.AnswerBroken()) == machine.Cut()
    fixed = exchange(pair=False)
    fixed.handle(0, machine.Begin())
    fixed.handle(10, machine.AnswerBegun())
    assert fixed.handle(20, machine.AnswerBroken()) == machine.Cut()


def test_no_worker_and_no_time_are_refused_with_a_promise():
    request = exchange(workers=[worker("p", "prefill")])
    ends_with(request.handle(0, machine.Begin()), ErrorKind.NO_WORKER)
    request = exchange()
    ends_with(request.handle(2990, machine.Begin()), ErrorKind.OUT_OF_TIME_UNSENT)
    assert ANSWERS[ErrorKind.NO_WORKER].promises_not_run
    assert ANSWERS[ErrorKind.OUT_OF_TIME_UNSENT].promises_not_run


def test_a_request_without_a_chance_is_refused_at_once():
    request = exchange()
    request.policy.forecast = 5000.0
    ends_with(request.handle(0, machine.Begin()), ErrorKind.OVERLOADED)
    lowest = exchange()
    lowest.demand.lowest_priority = True
    lowest.policy.forecast, lowest.policy.meets = 1500.0, False
    ends_with(lowest.handle(0, machine.Begin()), ErrorKind.OVERLOADED)


@pytest.mark.parametrize("failures", [[f, g] for f in Failure for g in Failure])
@pytest.mark.parametrize("pair", [False, True])
def test_no_history_promises_what_may_have_run(failures, pair):
    """Whatever fails, in every order: a promise is made only when no run can have begun."""
    request = exchange(pair)
    action = request.handle(0, machine.Begin())
    may_have_run = False
    for failure in failures:
        if isinstance(action, machine.Read):
            action = request.handle(10, machine.PromptRead("h"))
        if not isinstance(action, machine.Run):
            break
        may_have_run |= failure is Failure.MAY_HAVE_RUN
        action = request.handle(20, machine.AttemptFailed(failure))
    if isinstance(action, machine.Answer):
        assert not (may_have_run and ANSWERS[action.kind].promises_not_run)
    else:
        assert not may_have_run, "a stream that may not be resumed was sent again"
