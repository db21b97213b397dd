"""Random state machines for the ends of streams and attempts, and for the lifecycle of the process."""

import heapq

from helpers import CLASSES, entry
from hypothesis import settings as run_settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from molespur import Dispatcher, Settings
from molespur import interface as io
from molespur.interface import Lifecycle, UpdateMode
from molespur.lifecycle import ProcessEvent, ProcessLifecycle
from molespur.net.counters import Counters
from molespur.net.failure import Cause, Failure, Served, Stage
from molespur.net.host import Arrival, Host
from molespur.net.upstream import UpstreamRequest

RESULTS = [
    Served(b"it"), Failure(Stage.CONNECTING, Cause.BROKEN), Failure(Stage.CONNECTING, Cause.NOT_SENT),
    Failure(Stage.SENT, Cause.BROKEN), Failure(Stage.SENT, Cause.TIMED_OUT),
    Failure(Stage.RESPONDING, Cause.ERROR), Failure(Stage.RESPONDING, Cause.REJECTED),
    Failure(Stage.RESPONDING, Cause.MALFORMED), Failure(Stage.RESPONDING, Cause.LOST),
]  # fmt: skip


class FakeTime:
    """Clock and timer wheel in one.  Timers fire when the test advances the time."""

    def __init__(self):
        self.at, self.calls, self.serial = 1000.0, [], 0

    def now(self):
        return self.at

    def after(self, delay_ms, call, *args):
        self.serial += 1
        timer = Timer()
        heapq.heappush(self.calls, (self.at + max(delay_ms, 1.0), self.serial, timer, call, args))
        return timer

    def advance(self, ms):
        end = self.at + ms
        while self.calls and self.calls[0][0] <= end:
            self.at, _, timer, call, args = heapq.heappop(self.calls)
            if not timer.off:
                call(*args)
        self.at = end


class Timer:
    off = False

    def cancel(self):
        self.off = True


class Upstream:
    """Records attempts; the state machine ends them."""

    keeping = True

    def __init__(self, machine):
        self.machine, self.in_flight = machine, []

    def send(self, worker, payload, until, begin_by, ended, progressed):
        stream = self.machine.streams[payload]
        assert begin_by <= until, "may be written after it is abandoned"
        assert not stream.responses and not stream.disconnected, "sent for a closed stream"
        assert self.machine.lifecycles.get(worker) is Lifecycle.IN_SERVICE, "sent to a worker not in service"
        assert not self.machine.host.is_closed, "sent after all streams were closed"
        stream.attempts += 1
        attempt = Attempt(self, stream)

        def settled(result):
            attempt.ended(result, ended)

        attempt.request = UpstreamRequest(payload, until, begin_by, settled, progressed)
        self.in_flight.append(attempt)
        return attempt.request

    def probe(self, worker, ended):
        ended(io.Outcome.OK, {"x0": 2.0})


class Attempt:
    def __init__(self, upstream, stream):
        self.upstream, self.stream, self.outcomes = upstream, stream, 0

    def ended(self, result, report):
        self.outcomes += 1
        assert self.outcomes == 1, "two outcomes of one attempt"
        self.upstream.in_flight.remove(self)
        self.stream.ended += 1
        report(result)


class Client:
    """The expected state of one stream."""

    def __init__(self, job_class, deadline):
        self.job_class, self.deadline, self.responses, self.disconnected = job_class, deadline, [], False
        self.attempts = self.ended = 0


class Streams(RuleBasedStateMachine):
    @initialize(cancel=st.booleans(), attempts=st.integers(1, 4))
    def begin(self, cancel, attempts):
        self.time, self.streams = FakeTime(), {}
        self.lifecycles = {f"w{i}": Lifecycle.IN_SERVICE for i in range(3)}
        self.given = Settings(classes=CLASSES, max_attempts=attempts, may_cancel=cancel, may_probe=True)
        self.host = Host(Dispatcher(self.given, 1), self.time, self.time, Counters(), self.given, 20)
        self.upstream = Upstream(self)
        self.host.connect(self.upstream, self)
        self.host.deliver(io.Started())
        entries = tuple(entry(name) for name in self.lifecycles)
        self.host.deliver(io.FleetUpdate(UpdateMode.COMPLETE, entries))

    # The interface of Cluster that the host uses.
    def lifecycle(self, worker):
        return self.lifecycles.get(worker)

    def watch(self):
        pass

    @rule(job_class=st.sampled_from([c.name for c in CLASSES]), left=st.sampled_from([30.0, 200.0, 3000.0]))
    def accept(self, job_class, left):
        if job_class not in self.host.classes:
            return
        name = len(self.streams)
        client = self.streams[name] = Client(job_class, self.time.at + left)
        client.stream = self.host.accept(Arrival(job_class, left, name), client.responses.append)
        assert client.stream is not None or len(client.responses) == 1

    def draw_attempt(self, data):
        return data.draw(st.sampled_from(self.upstream.in_flight))

    @precondition(lambda self: self.upstream.in_flight)
    @rule(data=st.data(), result=st.sampled_from(RESULTS))
    def end(self, data, result):
        attempt = self.draw_attempt(data)
        attempt.request.stage = result.stage if isinstance(result, Failure) else Stage.RESPONDING
        attempt.request.settle(result)
        attempt.request.settle(result)  # a second outcome has no effect

    @precondition(lambda self: self.upstream.in_flight)
    @rule(data=st.data(), stage=st.sampled_from([Stage.WRITING, Stage.SENT, Stage.RESPONDING]))
    def advance_stage(self, data, stage):
        request = self.draw_attempt(data).request
        request.stage = max(request.stage, stage)

    @precondition(lambda self: any(not s.disconnected and not s.responses for s in self.streams.values()))
    @rule(data=st.data())
    def disconnect(self, data):
        waiting = [s for s in self.streams.values() if not s.disconnected and not s.responses]
        client = data.draw(st.sampled_from(waiting))
        client.disconnected = True
        self.host.client_disconnected(client.stream)
        # An attempt that is not written yet is withdrawn, even if the settings do not allow cancellation.
        stages = [a.request.stage for a in self.upstream.in_flight if a.stream is client]
        assert Stage.CONNECTING not in stages
        self.host.client_disconnected(client.stream)

    @rule(ms=st.sampled_from([1.0, 20.0, 300.0, 2000.0]))
    def wait(self, ms):
        self.time.advance(ms)

    @rule(worker=st.sampled_from(["w0", "w1", "w2"]), lifecycle=st.sampled_from(list(Lifecycle)))
    def update_worker(self, worker, lifecycle):
        self.lifecycles[worker] = lifecycle
        self.host.deliver(io.FleetUpdate(UpdateMode.PARTIAL, (entry(worker, lifecycle=lifecycle),)))

    @rule(classes=st.sets(st.sampled_from(range(len(CLASSES))), min_size=1), attempts=st.integers(1, 4))
    def reload(self, classes, attempts):
        kept = tuple(CLASSES[i] for i in sorted(classes))
        self.host.apply_settings(
            Settings(classes=kept, max_attempts=attempts, may_cancel=self.given.may_cancel)
        )

    @rule()
    def finish(self):
        self.host.close_all_streams()

    @invariant()
    def at_most_one_response(self):
        for client in self.streams.values():
            assert len(client.responses) + client.disconnected <= 1
            assert client.attempts <= 4
            if self.time.at > client.deadline + 45:
                assert client.disconnected or client.responses, "no response after the deadline"

    def teardown(self):
        self.host.close_all_streams()
        assert all(s.disconnected or len(s.responses) == 1 for s in self.streams.values())
        for attempt in list(self.upstream.in_flight):
            attempt.request.settle(Failure(Stage.SENT, Cause.BROKEN))
        assert all(s.ended == s.attempts for s in self.streams.values())
        assert not self.host.streams and self.host.open_streams == 0
        self.time.advance(10_000)
        assert not self.host.dispatcher.jobs


class ProcessStates(RuleBasedStateMachine):
    """The serving state of the process, for any events at any times."""

    def __init__(self):
        super().__init__()
        self.process, self.now, self.before = ProcessLifecycle(), 0.0, None

    @rule(event=st.sampled_from(list(ProcessEvent)), longest=st.sampled_from([500.0, 2200.0, 6000.0]))
    def handle(self, event, longest):
        self.process.max_deadline_ms = longest
        if event is ProcessEvent.STOP and self.process.stopping_since is None:
            self.longest = longest
        refusal = self.process.handle(self.now, event)
        reversible = event in (ProcessEvent.EVACUATE, ProcessEvent.ACTIVATE)
        assert (refusal is not None) == (self.process.stopping_since is not None and reversible)

    @rule(ms=st.sampled_from([1.0, 99.0, 500.0, 2500.0]))
    def wait(self, ms):
        self.now += ms

    @invariant()
    def holds(self):
        state, before = self.process.serving_state(self.now), self.before
        assert state.changes_at > self.now
        assert not (state.up and not state.accepting)
        assert state.accepting or state.closing  # a process that accepts no connections keeps none either
        assert not state.ended or not state.accepting
        if before is not None:
            assert not before.ended or state.ended
            assert before.accepting or not state.accepting  # a closed listener is not opened again
        if self.process.stopping_since is not None:
            # SIGKILL comes 0.7 s after the longest deadline, which counts as 3 s at most.  All requests get a
            # response 0.3 s before SIGKILL, by the deadlines at SIGTERM, even if the settings change later.
            assert self.process._stop_ms == min(self.longest, 3000.0) + 400.0
            assert state.ended == (self.now >= self.process.stopping_since + self.process._stop_ms)
        self.before = state


quick = run_settings(max_examples=60, stateful_step_count=40, deadline=None, derandomize=True)
TestStreams = Streams.TestCase
TestStreams.settings = quick
TestProcessStates = ProcessStates.TestCase
TestProcessStates.settings = quick
