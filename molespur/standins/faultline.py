"""A fault line on loopback between every pair of members: drop, delay, duplicate, reorder, cut, partition.

Member i listens at its own host `back(i)` and is reached at `front(i)`, which the fault line holds: a
datagram that member a sends to front(b) comes from back(a), so the fault line knows both ends, applies what
is set for a -> b, and sends it on from front(a) to back(b), where it seems to come from front(a).  A
push-pull over TCP goes the same way, refused where a -> b is cut and left without answer where b -> a is.

Commands, a line each on the control address, answered `ok` or `fail ...`:

    loss P | delay MS [JITTER] | dup P | reorder P      for all pairs (P a share, 0 to 1)
    cut A B | uncut A B                                 nothing from A reaches B (one way)
    partition 0,1,2 3,4 | partition east=0,1 west=2,3   groups (named or not), cut from each other both ways
    heal                                                all cuts and partitions gone
    clear                                               all faults gone
    counts                                              what passed and what was dropped, by reason

For tests and measurements; never imported by `serve`.
"""

import random
from collections import Counter

import trio

REORDER_MS = 50.0  # extra delay of a datagram picked to come out of order
PIPE_MOST = 1 << 21  # bytes of one push-pull, each way
CONTROL_LINE_MOST = 4096


class Faults:
    """What is set between members; pure.  `rng` decides each datagram's fate."""

    def __init__(self, rng: random.Random):
        self.rng = rng
        self.loss = self.dup = self.reorder = 0.0
        self.delay_ms = self.jitter_ms = 0.0
        self.cuts: set[tuple[int, int]] = set()
        self.counts: Counter = Counter()

    def fate(self, source: int, target: int) -> list[float]:
        """Delays (ms) of the copies that go on: none where dropped, two where duplicated."""
        if (source, target) in self.cuts:
            self.counts["cut"] += 1
            return []
        if self.rng.random() < self.loss:
            self.counts["lost"] += 1
            return []
        copies = 2 if self.rng.random() < self.dup else 1
        if copies == 2:
            self.counts["duplicated"] += 1
        delays = []
        for _ in range(copies):
            delay = self.delay_ms + self.rng.uniform(0.0, self.jitter_ms)
            if self.rng.random() < self.reorder:
                delay += REORDER_MS
                self.counts["reordered"] += 1
            delays.append(delay)
        self.counts["passed"] += 1
        return delays

    def command(self, line: str, members: int) -> str:
        """Carry out one command; the answer's line."""
        word, *args = line.split()
        try:
            if word in ("loss", "dup", "reorder"):
                share = float(args[0])
                if not 0.0 <= share <= 1.0:
                    return "fail a share is 0 to 1"
                setattr(self, word, share)
            elif word == "delay":
                self.delay_ms, self.jitter_ms = float(args[0]), float(args[1]) if len(args) > 1 else 0.0
                if self.delay_ms < 0 or self.jitter_ms < 0:
                    return "fail a delay is not negative"
            elif word in ("cut", "uncut"):
                pair = (int(args[0]), int(args[1]))
                if not all(0 <= x < members for x in pair):
                    return "fail no such member"
                self.cuts.add(pair) if word == "cut" else self.cuts.discard(pair)
            elif word == "partition":
                groups = [{int(x) for x in group.rpartition("=")[2].split(",")} for group in args]
                if len(groups) < 2 or not all(0 <= x < members for g in groups for x in g):
                    return "fail partition needs two groups of members"
                for a in groups:
                    for b in groups:
                        if a is not b:
                            self.cuts |= {(x, y) for x in a for y in b}
            elif word == "heal":
                self.cuts.clear()
            elif word == "clear":
                self.cuts.clear()
                self.loss = self.dup = self.reorder = self.delay_ms = self.jitter_ms = 0.0
            elif word == "counts":
                return " ".join(f"{k}={v}" for k, v in sorted(self.counts.items())) or "none"
            else:
                return "fail unknown command"
        except (IndexError, ValueError):
            return "fail bad arguments"
        return "ok"


class FaultLine:
    """The fault line for n members: fronts are `front_net`.(i+1), backs `back_net`.(i+1), one port."""

    def __init__(self, n: int, front_net: str, back_net: str, port: int, seed: int = 1):
        self.n, self.port = n, port
        self.fronts = [f"{front_net}.{i + 1}" for i in range(n)]
        self.backs = [f"{back_net}.{i + 1}" for i in range(n)]
        self._by_back = {host: i for i, host in enumerate(self.backs)}
        self.faults = Faults(random.Random(seed))
        self._udp: list = []

    async def serve(self, control: tuple[str, int], *, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Take all fronts and the control address, and carry datagrams for good."""
        async with trio.open_nursery() as nursery:
            for i, host in enumerate(self.fronts):
                sock = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM)
                await sock.bind((host, self.port))
                self._udp.append(sock)
                nursery.start_soon(self._datagrams, i, nursery)
                listeners = await trio.open_tcp_listeners(self.port, host=host)
                nursery.start_soon(trio.serve_listeners, self._stream_handler(i), listeners)
            listeners = await trio.open_tcp_listeners(control[1], host=control[0])
            nursery.start_soon(trio.serve_listeners, self._control, listeners)
            task_status.started(listeners[0].socket.getsockname())

    async def _datagrams(self, target: int, nursery) -> None:
        sock = self._udp[target]
        while True:
            try:
                data, (host, _) = await sock.recvfrom(65536)
            except OSError:
                continue
            source = self._by_back.get(host)
            if source is None:
                self.faults.counts["unknown_source"] += 1
                continue
            for delay in self.faults.fate(source, target):
                nursery.start_soon(self._later, delay, source, target, data)

    async def _later(self, delay_ms: float, source: int, target: int, data: bytes) -> None:
        if delay_ms > 0:
            await trio.sleep(delay_ms / 1000)
        try:
            await self._udp[source].sendto(data, (self.backs[target], self.port))
        except OSError:
            self.faults.counts["send_failed"] += 1

    def _stream_handler(self, target: int):
        async def handle(stream) -> None:
            host = stream.socket.getpeername()[0]
            source = self._by_back.get(host)
            if source is None or (source, target) in self.faults.cuts:
                self.faults.counts["stream_refused"] += 1
                await trio.aclose_forcefully(stream)
                return
            deaf = (target, source) in self.faults.cuts
            try:
                sock = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_STREAM)
                await sock.bind((self.fronts[source], 0))
                await sock.connect((self.backs[target], self.port))
            except OSError:
                self.faults.counts["stream_unreached"] += 1
                await trio.aclose_forcefully(stream)
                return
            onward = trio.SocketStream(sock)
            delay = self.faults.delay_ms / 1000
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_pipe, stream, onward, delay, False)
                nursery.start_soon(_pipe, onward, stream, delay, deaf)
            self.faults.counts["streams"] += 1
            await trio.aclose_forcefully(stream)
            await trio.aclose_forcefully(onward)

        return handle

    async def _control(self, stream) -> None:
        try:
            text = b""
            with trio.move_on_after(10):
                while b"\n" not in text and len(text) < CONTROL_LINE_MOST:
                    data = await stream.receive_some(4096)
                    if not data:
                        break
                    text += data
            answers = [
                self.faults.command(line, self.n) for line in text.decode().splitlines() if line.strip()
            ]
            await stream.send_all(("\n".join(answers) + "\n").encode())
        except (OSError, trio.BrokenResourceError, UnicodeDecodeError):
            pass
        finally:
            await trio.aclose_forcefully(stream)


async def _pipe(source, target, delay_s: float, deaf: bool) -> None:
    """Carry bytes one way, each piece after the delay; a deaf way swallows them."""
    sent = 0
    try:
        while sent < PIPE_MOST:
            data = await source.receive_some(65536)
            if not data:
                break
            if deaf:
                continue
            if delay_s:
                await trio.sleep(delay_s)
            await target.send_all(data)
            sent += len(data)
        if not deaf:
            await target.send_eof()
    except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
        pass
