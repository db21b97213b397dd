"""What second attempts are worth while workers rest: a data plane before workers that stand still at random.

    python -m benchmarks.hedging [--seconds N] [--seed N] [--schedulers N] [--age forecast|quantile] [--json]

Sockets are real, time is the loop's own, so processor time counts for nothing and equal seeds give equal
arrivals and rests.  Each worker has `SLOTS` places; a request takes `EVENTS` events, `PAUSE_S` apart, and is
turned away where all places are taken.  Each worker rests for one to three seconds, on the mean once in
`BETWEEN_RESTS_S`.  Clients come open-loop at a multiple of what the workers can serve without rests, wait up
to `DEADLINE_MS` and try once.  Goodput counts whole answers a second.

`--schedulers`: so many share the traffic at random; each exchanges its work with 16 others at most, as in
service.  `--age quantile`: in place of a multiple of the forecast, a call counts as silent after the 99th
percentile of what the calls of all schedulers have shown (first answers by forecast, pauses as they are),
told to all of them at once: the most that an exchange of such figures could give.
"""

import argparse
import asyncio
import json
import sys
from bisect import insort
from contextlib import AsyncExitStack
from dataclasses import asdict, dataclass
from pathlib import Path
from random import Random

sys.path.insert(0, str(Path(__file__).parent.parent / "tests/system"))

from virtual_time import clock, run_virtual
from wire import (
    LAST_CHUNK,
    Client,
    ScriptedWorker,
    chunk,
    event,
    header,
    not_executed,
    request,
    scheduler,
    stream_head,
)

from molespur.system.data_plane import worker_call
from molespur.system.data_plane.peers import PeerSocket
from molespur.system.feed.source import peers_of

WORKERS, SLOTS = 8, 4
EVENTS, PAUSE_S = 20, 0.02
CAPACITY_PER_S = WORKERS * SLOTS / (EVENTS * PAUSE_S)
BETWEEN_RESTS_S = 6.0
REST_S = (1.0, 3.0)
DEADLINE_MS, GAP_MS = 5000, 250
PEER_PORT = 27_000
LOADS = (0.8, 1.0, 1.5, 2.0)
ATTEMPTS = {"no second attempt": 1, "second attempts": 2}


@dataclass(slots=True)
class Tally:
    """What became of the requests of one run."""

    attempts: str
    load: float
    requests: int = 0
    whole: int = 0
    cut: int = 0
    refused: int = 0
    failed: int = 0
    calls_per_request: float = 0.0
    goodput_per_s: float = 0.0
    p50_ms: float = 0.0
    p99_ms: float = 0.0


class SharedPauses:
    """What the calls of all schedulers have shown, and the ages that follow from it."""

    QUANTILE, LEAST, EVERY_S = 0.99, 200, 0.25

    def __init__(self):
        self.ratios: list[float] = []
        self.pauses_ms: list[float] = []
        self._plain = worker_call.silence_age_s

    def install(self) -> None:
        """Put these ages in place of the multiples of the forecast."""
        first, heard, shared = (
            worker_call.WorkerCall._on_first_response,
            worker_call.WorkerCall._on_bytes_received,
            self,
        )

        def first_answer(call):
            first(call)
            insort(
                shared.ratios, (call.first_response_at - call.started_at) / max(call.step.forecast_ms, 1.0)
            )

        def any_answer(call):
            if call.first_response_at is not None:
                insort(shared.pauses_ms, call.clock() - call.last_received_at)
            heard(call)

        worker_call.WorkerCall._on_first_response, worker_call.WorkerCall._on_bytes_received = (
            first_answer,
            any_answer,
        )
        worker_call.silence_age_s = self._age_s

    def _age_s(self, step, forecasts: float, least_ms: float) -> float:
        if len(self.ratios) < self.LEAST:
            return self._plain(step, forecasts, least_ms)
        return max(self._at(self.ratios) * step.forecast_ms, GAP_MS) / 1000.0

    def _at(self, ordered: list[float]) -> float:
        return ordered[int(self.QUANTILE * len(ordered))]

    async def run(self) -> None:
        """Keep the age of streams up to date."""
        while True:
            await asyncio.sleep(self.EVERY_S)
            if len(self.pauses_ms) >= self.LEAST:
                worker_call.SILENT_AFTER_GAPS = 0.0
                worker_call.MIN_STREAM_SILENCE_MS = max(self._at(self.pauses_ms), GAP_MS)


class Worker(ScriptedWorker):
    """A worker with places that rests now and then."""

    def __init__(self, name: str, random: Random):
        super().__init__(name, None)
        self.random, self.running, self.rests_until = random, 0, 0.0

    async def rest(self) -> None:
        """Stand still at random, for ever."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(self.random.expovariate(1.0 / BETWEEN_RESTS_S))
            self.rests_until = loop.time() + self.random.uniform(*REST_S)
            await asyncio.sleep(self.rests_until - loop.time())

    async def _connection(self, reader, writer):
        try:
            while True:
                received = await reader.readuntil(b"\r\n\r\n")
                self.requests.append(received)
                if self.running >= SLOTS:
                    writer.write(not_executed(received))
                    continue
                self.running += 1
                try:
                    await self._stream(received, writer)
                finally:
                    self.running -= 1
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _stream(self, received, writer) -> None:
        loop = asyncio.get_running_loop()
        writer.write(stream_head(received))
        for number in range(int(header(received, b"Last-Event-Id") or 0) + 1, EVENTS + 1):
            await asyncio.sleep(max(self.rests_until - loop.time(), 0.0) + PAUSE_S)
            if writer.is_closing():
                raise ConnectionResetError
            writer.write(chunk(event(number)))
            await writer.drain()
        writer.write(LAST_CHUNK)


def configuration(attempts: int) -> bytes:
    """One resumable route."""
    route = {
        "Name": "r", "Host": "shop.example", "PathPrefix": "/p/", "Type": "streaming", "Service": "s",
        "TimeoutMs": DEADLINE_MS, "TargetLatencyMs": 400, "gap_aim_ms": GAP_MS, "Resumable": True,
        "MaxAttempts": attempts,
    }  # fmt: skip
    return json.dumps(
        {"Version": 1, "Routes": [route], "Services": [{"Name": "s", "MaxConnections": 4000}]}
    ).encode()


async def one_request(port: int, number: int, tally: Tally, times: list[float]) -> None:
    """One client: a connection, a request, its answer."""
    began = clock()
    client = await Client.connect(port)
    try:
        await client.send(request(attempt=b"n%d" % number, deadline=DEADLINE_MS))
        async with asyncio.timeout(DEADLINE_MS / 1000 + 1):
            status, _head, body, whole = await client.response()
    except (asyncio.IncompleteReadError, ConnectionError, TimeoutError):
        status, body, whole = 0, b"", False
    finally:
        client.writer.transport.abort()
    if status == 200 and whole:
        expected = b"".join(event(n) for n in range(1, EVENTS + 1))
        assert body == expected, "an answer that is not the worker's"
        tally.whole += 1
        times.append(clock() - began)
    elif status == 200:
        tally.cut += 1
    elif status == 503:
        tally.refused += 1
    else:
        tally.failed += 1


async def exchange_work(stack: AsyncExitStack, ingresses: list) -> None:
    """Let schedulers tell each other their work, each its neighbours on the ring."""
    addresses = {}
    for number, ingress in enumerate(ingresses):
        addresses[ingress.state.settings.node_name] = f"127.0.0.1:{PEER_PORT + number}"
    for ingress in ingresses:
        node = ingress.state.settings.node_name
        peers = PeerSocket(addresses[node], ingress.state.peer_work, clock)
        peers.count_schedulers = lambda: len(ingresses)
        peers.set_peers(peers_of(node, addresses))
        stack.callback(asyncio.create_task(peers.run()).cancel)


async def play(name: str, load: float, options: argparse.Namespace) -> Tally:
    """One run at one load."""
    seed, seconds = options.seed, options.seconds
    random = Random(seed)
    workers = [Worker(f"w{n}", Random(f"{seed} {n}")) for n in range(WORKERS)]
    tally, times = Tally(name, load), []
    async with AsyncExitStack() as stack:
        for worker in workers:
            await worker.start()
        body, shape = configuration(ATTEMPTS[name]), {"clock": clock, "schedulers": options.schedulers}
        served = [
            await stack.enter_async_context(scheduler(body, *workers, node=f"edge-{n + 1}", **shape))
            for n in range(options.schedulers)
        ]
        if options.schedulers > 1:
            await exchange_work(stack, [ingress for _port, ingress in served])
        if options.shared is not None:
            stack.callback(asyncio.create_task(options.shared.run()).cancel)
        resting = [asyncio.create_task(worker.rest()) for worker in workers]
        async with asyncio.TaskGroup() as clients:
            until = clock() + seconds * 1000.0
            while clock() < until:
                tally.requests += 1
                port, _ingress = random.choice(served)
                clients.create_task(one_request(port, tally.requests, tally, times))
                await asyncio.sleep(random.expovariate(load * CAPACITY_PER_S))
        for task in resting:
            task.cancel()
        for worker in workers:
            worker.server.close()
    times.sort()
    tally.calls_per_request = round(sum(len(w.requests) for w in workers) / tally.requests, 3)
    tally.goodput_per_s = round(tally.whole / seconds, 1)
    tally.p50_ms = round(times[len(times) // 2])
    tally.p99_ms = round(times[int(0.99 * len(times))])
    return tally


def main() -> None:
    """Play all loads and print a line each."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--schedulers", type=int, default=1)
    parser.add_argument("--age", choices=("forecast", "quantile"), default="forecast")
    parser.add_argument("--json", action="store_true")
    options = parser.parse_args()
    options.shared = SharedPauses() if options.age == "quantile" else None
    if options.shared is not None:
        options.shared.install()
    for name in ATTEMPTS:
        for load in LOADS:
            tally = run_virtual(play(name, load, options), max_virtual_s=600.0)
            print(json.dumps(asdict(tally)) if options.json else tally, flush=True)


if __name__ == "__main__":
    main()
