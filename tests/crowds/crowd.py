"""A crowd of clients that do not behave, and what a process holds while the crowd is there."""

import asyncio
import socket
from contextlib import suppress
from dataclasses import dataclass, field

from fleet_under_crowd import MAX_OPEN_FILES, MEMORY_MB, RESERVED_FILES
from process_usage import Usage, usage

SAMPLE_S = 0.05
HOLD_S = 4.0  # how long a crowd stays after it has sent what it has to send
SEND_S = 6.0  # the longest time that a crowd may take for that
ORDINARY_TRIES = 60
ORDINARY_PAUSE_S = 0.25
ORDINARY_S = 45.0  # a bound for a process that hangs
CONNECT_S = 5.0
MAX_MEMORY_BYTES = MEMORY_MB * 1_000_000
MAX_SOCKETS = MAX_OPEN_FILES - RESERVED_FILES
MAX_LEFT_SOCKETS = 32  # connections to workers that are kept, and callers of other listeners
SETTLE_LOOKS = 120
PIECE = bytes(1 << 16)


class Client:
    """One connection of the crowd.  What the process answers is left unread unless `read` is called."""

    def __init__(self, reader, writer):
        self.reader, self.writer = reader, writer

    @classmethod
    async def connect(cls, address):
        """Open a connection whose receive buffer stays small.  Raises OSError or TimeoutError."""
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.setblocking(False)
        try:
            async with asyncio.timeout(CONNECT_S):
                await asyncio.get_running_loop().sock_connect(sock, address)
        except BaseException:
            sock.close()
            raise
        reader, writer = await asyncio.open_connection(sock=sock)
        writer.transport.pause_reading()
        return cls(reader, writer)

    async def send(self, data):
        """Send bytes.  Raises OSError once the process has closed the connection."""
        self.writer.write(data)
        await self.writer.drain()

    async def send_zeros(self, size):
        """Send that many bytes."""
        while size > 0:
            await self.send(PIECE[:size])
            size -= len(PIECE)

    def abort(self):
        """Close the connection with a reset."""
        self.writer.transport.abort()


@dataclass
class Crowd:
    """Clients that each do the same at one address; `behave` is a coroutine function of a client."""

    address: tuple[str, int]
    behave: object
    size: int
    clients: list[Client] = field(default_factory=list)
    _tasks: list[asyncio.Task] = field(default_factory=list)

    async def arrive(self):
        """Start all clients, and wait until all have sent what they can, at most SEND_S."""
        self._tasks = [asyncio.create_task(self._client(number)) for number in range(self.size)]
        await asyncio.wait(self._tasks, timeout=SEND_S)

    async def _client(self, number):
        with suppress(OSError, TimeoutError):
            client = await Client.connect(self.address)
            self.clients.append(client)
            await self.behave(client, number)

    async def leave(self):
        """End all clients."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for client in self.clients:
            client.abort()


class Watch:
    """Samples a process until stopped, and keeps the most that it held."""

    def __init__(self, pid, host):
        self._pid, self._host = pid, host
        self.most_memory = self.most_sockets = Usage(0, 0, 0, 0)
        self.ended = False
        self._task = asyncio.create_task(self._run())

    async def _run(self):
        while True:
            try:
                sample = await asyncio.to_thread(usage, self._pid, self._host)
            except (FileNotFoundError, ProcessLookupError):
                self.ended = True
                return
            self.most_memory = max(self.most_memory, sample, key=lambda one: one.memory_bytes)
            self.most_sockets = max(self.most_sockets, sample, key=lambda one: one.sockets)
            await asyncio.sleep(SAMPLE_S)

    async def stop(self):
        """End the sampling."""
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)


async def is_served(call):
    """Whether an ordinary caller that comes again and again is answered with 200 in the end."""
    with suppress(TimeoutError):
        async with asyncio.timeout(ORDINARY_S):
            for _ in range(ORDINARY_TRIES):
                with suppress(OSError, TimeoutError):
                    if (await call())[0] == 200:
                        return True
                await asyncio.sleep(ORDINARY_PAUSE_S)
    return False


async def endure(process, host, crowds, ordinary_calls):
    """Let crowds come and stay, one after the other if several; then check what has to hold.

    The process lives, its memory and its sockets stay under their bounds, and ordinary callers are answered
    while the crowd is there and after it has left.
    """
    before = usage(process.pid, host)
    watch = Watch(process.pid, host)
    served_beside, served_after = [], []
    try:
        for crowd in crowds:
            await crowd.arrive()
        await asyncio.sleep(HOLD_S)
        served_beside = [await is_served(call) for call in ordinary_calls]
    finally:
        for crowd in crowds:
            await crowd.leave()
    served_after = [await is_served(call) for call in ordinary_calls]
    sockets_after = await _sockets_once_settled(process, host, before.sockets)
    await watch.stop()
    print(f"before {before}, most memory {watch.most_memory}, most sockets {watch.most_sockets.sockets}, "
          f"sockets after {sockets_after}, served {served_beside} {served_after}")  # fmt: skip
    assert process.poll() is None and not watch.ended, "the process has ended"
    assert watch.most_memory.memory_bytes <= MAX_MEMORY_BYTES, watch.most_memory
    assert watch.most_sockets.sockets <= MAX_SOCKETS, watch.most_sockets
    assert all(served_beside), "no ordinary caller was answered beside the crowd"
    assert all(served_after), "no ordinary caller was answered after the crowd"
    assert sockets_after <= before.sockets + MAX_LEFT_SOCKETS, "sockets of the crowd were not closed"


async def _sockets_once_settled(process, host, before):
    """The sockets that are left after the crowd, within a bounded wait for those that are to be closed."""
    for _ in range(SETTLE_LOOKS):
        if process.poll() is not None:
            return 0
        sockets = usage(process.pid, host).sockets
        if sockets <= before + MAX_LEFT_SOCKETS:
            break
        await asyncio.sleep(ORDINARY_PAUSE_S)
    return sockets
