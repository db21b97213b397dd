"""An answer under way ends for a fact, never because its worker rests.

What users saw: beside a change of the configuration a whole request ended without an answer.  A pricing note
was 4.6 s old, with more than 3 s of its time left; a part of its stream had arrived, and the connection was
closed in the middle of it.  Its worker was sound and still at work on it.

The order of events: more requests come than the workers bear, and all of them rest between two tokens for
longer than a second.  The scheduler takes the silence of the stream for its end and closes the call to the
worker; then it looks for another worker to go on, finds none that is allowed (all attempts used, no right to
a repeat, no worker, or one that refuses), and closes the client's connection 3 ms after the worker's.

The cause: a guess (silence for a while) ended what worked before anything better was at hand.

The evidence: the worker's own record has its run cut from outside, 3 ms before the client's connection ends;
the route's time-out and the client's deadline were 3.4 s away; the scheduler was neither told to stop nor cut
off, and the change of the configuration was in force 2.3 s earlier.  Played here, the cut comes the constant
1.2 s (four allowed pauses) after the last event, whatever the worker would have done next.
"""

import asyncio
import json

from virtual_time import clock, run_virtual
from wire import (
    LAST_CHUNK,
    Client,
    ScriptedWorker,
    chunk,
    data_plane,
    event,
    header,
    not_executed,
    request,
    stream_head,
)

REST_S = 2.2  # of a sound worker in the middle of its stream
FIRST_EVENT_S = 3.0  # of a sound worker that reads a long prompt
DEADLINE_MS = 8000
PLENTY, NONE = 1000.0, 0.0  # the minimum of the retry budget


def configuration(version=1, **route):
    made = {"Name": "r", "Host": "shop.example", "PathPrefix": "/p/", "Type": "streaming", "Service": "s"}
    made.update({"TimeoutMs": DEADLINE_MS, "TargetLatencyMs": 300, "gap_aim_ms": 300})
    made.update({"Resumable": True, "MaxAttempts": 2, **route})
    service = {"Name": "s", "MaxConnections": 50}
    return json.dumps({"Version": version, "Routes": [made], "Services": [service]}).encode()


class RestingWorker(ScriptedWorker):
    """Runs its scripts with rests: a number among the parts of an answer is a time in seconds."""

    async def _connection(self, reader, writer):
        self.connections += 1
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                self.requests.append(head)
                script = self.scripts.pop(0) if len(self.scripts) > 1 else self.scripts[0]
                for part in script(head):
                    if part is None:
                        return
                    if isinstance(part, float):
                        await asyncio.sleep(part)
                        continue
                    writer.write(part)
                    await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


def streams(*rests, events=5):
    """A script: events from the one that is asked for on; it rests `rests[n - 1]` s before event n."""

    def script(received):
        first = int(header(received, b"Last-Event-Id") or 0) + 1
        parts = [stream_head(received)]
        for number in range(first, events + 1):
            rest = rests[number - 1] if number <= len(rests) else 0.0
            parts += [rest, chunk(event(number))] if rest else [chunk(event(number))]
        return [*parts, LAST_CHUNK]

    return script


RESTS_IN_THE_MIDDLE = streams(0.05, 0.05, REST_S)
RESTS_AT_FIRST = streams(FIRST_EVENT_S)
GOES_ON = streams()


def rejects(received):
    return [not_executed(received)]


def breaks_off(_received):
    return [None]


async def asked(port, extra=b""):
    """(status, body, whole, milliseconds) of one request."""
    began = clock()
    client = await Client.connect(port)
    await client.send(request(deadline=DEADLINE_MS, extra=extra))
    async with asyncio.timeout(DEADLINE_MS / 1000 + 2):
        status, _head, body, whole = await client.response()
    return status, body, whole, clock() - began


WHOLE = b"".join(event(number) for number in range(1, 6))

OTHERS = {
    "no other worker": [],
    "another that rejects": [rejects],
    "another that breaks off at once": [breaks_off],
    "another that rests as well": [RESTS_IN_THE_MIDDLE],
    "two others that rest as well": [RESTS_IN_THE_MIDDLE, RESTS_IN_THE_MIDDLE],
}


async def resting(first, others, budget, meanwhile=None, longest_ms=None, **route):
    """A request at a worker that rests and others whose first script is theirs; its answer must be whole.

    Which worker is asked first is drawn, so all of them rest when they are asked first.
    """
    met = []

    def in_turn(script):
        def answered(received):
            met.append(received)
            return first(received) if len(met) == 1 else script(received)

        return answered

    workers = [RestingWorker("w0", in_turn(first))]
    workers += [RestingWorker(f"w{n}", in_turn(script)) for n, script in enumerate(others, 1)]
    async with data_plane(configuration(**route), *workers, clock=clock, retry_budget_min=budget) as (
        port,
        ingress,
    ):
        changing = meanwhile and asyncio.create_task(meanwhile(ingress.state, workers))
        status, body, whole, took = await asked(port)
        if changing:
            await changing
    assert (status, whole) == (200, True), f"{status}, {body!r} after {took:.0f} ms"
    assert body == WHOLE
    assert longest_ms is None or took < longest_ms, took
    return met


def test_no_answer_is_cut_while_its_worker_rests():
    """The failure itself, in each way in which there may be nobody who goes on at once."""
    cut = []
    for budget in (PLENTY, NONE):
        for others, scripts in OTHERS.items():
            try:
                run_virtual(resting(RESTS_IN_THE_MIDDLE, scripts, budget))
            except AssertionError as error:
                cut.append(f"{others}, {budget:.0f} repeats: {error}")
    assert cut == []
