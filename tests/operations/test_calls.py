"""The operators' calls, figures and listener, without sockets."""

import pytest
import trio
from trio.testing import MockClock, memory_stream_pair, wait_all_tasks_blocked

from molespur.lifecycle import ProcessEvent, ProcessLifecycle
from molespur.net.counters import BAD_GATEWAY, DROPPED, PASSED, UPSTREAM_TRIES, Counters, response_counter
from molespur.net.wheel import Wheel
from molespur.operations.calls import Calls
from molespur.operations.figures import Gauges, figures
from molespur.operations.listener import CALLERS_MOST, Operations


def make_calls(process, lines=("app.loads=0",)):
    return Calls(
        lambda told: process.handle(0.0, told), lambda: process.serving_state(0.0), lambda: list(lines)
    )


@pytest.mark.parametrize(
    ("line", "answer"),
    [
        (b"readyz", "ok"),
        (b" readyz \r", "ok"),
        (b"telemetry", "app.loads=0 eof"),
        (b"evacuate", "ok"),
        (b"activate", "ok"),
        (b"", "fail"),
        (b"READYZ", "fail"),
        (b"readyz now", "fail"),
        (b"\xff\x00\xfe", "fail"),
        (b"x" * 5000, "fail"),
        (b"ready", "fail"),  # a word of the state machine's that is no call
        (b"stop", "fail"),
        (b"successor", "fail"),
    ],
)
def test_each_call_has_an_answer(line, answer):
    process = ProcessLifecycle()
    process.handle(0.0, ProcessEvent.READY)
    lines = make_calls(process).answer(line)
    assert " ".join(lines).startswith(answer) and all("\n" not in one for one in lines)
    assert lines[0].startswith(("ok", "fail")) or lines[-1] == "eof"
    assert process.ready and process.stopping_since is process.successor_since is None


def test_calls_follow_the_state_machine():
    process = ProcessLifecycle()
    calls = make_calls(process)
    assert calls.answer(b"readyz") == ["fail starting"]
    process.handle(0.0, ProcessEvent.READY)
    assert calls.answer(b"readyz") == ["ok"]
    calls.answer(b"evacuate")
    assert calls.answer(b"readyz") == ["fail draining"]
    calls.answer(b"activate")
    assert calls.answer(b"readyz") == ["ok"]
    process.handle(0.0, ProcessEvent.STOP)
    assert calls.answer(b"readyz")[0] == calls.answer(b"evacuate")[0] == "fail stopping"


def test_figures_name_each_class_once_and_keep_a_dropped_ones():
    counts = {
        response_counter(PASSED, "a"): 3,
        response_counter(DROPPED, "old"): 2,
        UPSTREAM_TRIES: 7,
        "in.streams": 9,
    }
    lines = figures(counts, ["a", "b"], Gauges(4, 14, 1))
    assert len(lines) == len(set(lines)) == 15
    for line in (
        "app.passed.a=3", "app.passed.b=0", "app.passed.old=0", "app.dropped.old=2", "app.bad_gateway.a=0",
        "app.upstream_tries=7", "app.loads=0", "app.load_errors=0", "app.in_progress=4",
        "app.known_records_workers=14", "app.skipped_records_workers=1",
    ):  # fmt: skip
        assert line in lines
    assert not any("streams" in line for line in lines) and response_counter(BAD_GATEWAY, "a") not in counts


def on_the_listener(scenario):
    """Play a scenario against the listener; it gets a way to connect, and the counters."""

    async def main():
        async with trio.open_nursery() as nursery:
            wheel, counters, process = Wheel(4.0), Counters(), ProcessLifecycle()
            process.handle(0.0, ProcessEvent.READY)
            operations = Operations(make_calls(process), wheel, counters)
            nursery.start_soon(wheel.run)

            def connect():
                ours, theirs = memory_stream_pair()
                nursery.start_soon(operations.serve, ours)
                return theirs

            await scenario(connect, counters)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=MockClock(autojump_threshold=0))


async def everything(stream):
    """What comes up to the close."""
    with trio.fail_after(30):
        return b"".join([data async for data in stream])


async def ask(connect, *parts):
    stream = connect()
    for part in parts:
        await stream.send_all(part)
        await trio.sleep(0.01)
    return await everything(stream)


def test_a_line_comes_in_pieces_and_only_the_first_counts():
    async def scenario(connect, counters):
        assert await ask(connect, b"rea", b"dyz", b"\n") == b"ok\n"
        assert await ask(connect, b"readyz\nevacuate\n") == b"ok\n"
        assert await ask(connect, b"readyz\r\n") == b"ok\n"
        assert (await ask(connect, b"y" * 400)).startswith(b"fail")
        assert counters["ops.calls"] == 4

    on_the_listener(scenario)


def test_a_line_that_the_callers_end_ends_is_a_call():
    async def scenario(connect, counters):
        stream = connect()
        await stream.send_all(b"telemetry")
        await stream.send_eof()
        assert await everything(stream) == b"app.loads=0\neof\n"

    on_the_listener(scenario)


def test_callers_that_finish_no_call_delay_nobody_and_go():
    """Guards against callers that hold their connections: they are bounded in time and number."""

    async def scenario(connect, counters):
        silent = [connect() for _ in range(CALLERS_MOST + 5)]
        await wait_all_tasks_blocked()
        start = trio.current_time()
        for _ in range(3):
            assert await ask(connect, b"readyz\n") == b"ok\n"
        assert trio.current_time() - start < 0.1
        assert await everything(silent[0]) == b""
        assert counters["ops.shed"] >= 5
        for stream in silent[1:]:
            assert await everything(stream) == b""
        early = connect()
        await early.aclose()
        assert await ask(connect, b"readyz\n") == b"ok\n"

    on_the_listener(scenario)
