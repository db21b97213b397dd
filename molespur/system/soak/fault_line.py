"""A line between the processes of the fleet on loopback that cuts, delays and resets what passes over it.

Each control-plane process binds its RPC port at an address of its own, `back`, and is reached at
another, `front`, which the fault line holds.  Processes dial from their `back` address, so both ends of
a connection are known.  Bytes that a cut holds up are kept and go on once it heals, as those of TCP do;
a connection that is dialled into a cut hangs.
"""

import asyncio
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field

CHUNK_BYTES = 64 << 10
LOOK_S = 0.02
STRANGER = "?"  # whoever dials from a host that is not known


@dataclass(eq=False)
class _Relay:
    """One connection, from the one end that dialled to the other."""

    source: str
    target: str
    writers: list[asyncio.StreamWriter] = field(default_factory=list)

    def reset(self) -> None:
        for writer in self.writers:
            writer.transport.abort()


class FaultLine:
    """Relays connections to the processes' fronts.  Names stand for both addresses of a process."""

    def __init__(self):
        self.cuts: set[tuple[str, str]] = set()  # (from, to): nothing passes that way
        self.delay_s: dict[str, float] = {}  # by process, for what it sends and gets
        self._names: dict[str, str] = {}  # back host -> name
        self._relays: set[_Relay] = set()
        self._servers: dict[str, asyncio.Server] = {}
        self._tasks: set[asyncio.Task] = set()

    def know(self, name: str, back: str) -> None:
        """A process dials from this host."""
        self._names[back] = name

    async def serve(self, name: str, front: str, back: str, port: int) -> None:
        """Relay what comes to a process's front."""
        self.know(name, back)

        async def accepted(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            source = self._names.get(writer.get_extra_info("peername")[0], STRANGER)
            await self._relay(_Relay(source, name, [writer]), reader, back, port)

        self._servers[name] = await asyncio.start_server(accepted, front, port)

    def close(self, name: str) -> None:
        """Relay to this process no more."""
        server = self._servers.pop(name, None)
        if server is not None:
            server.close()
        self.reset(name)

    def stop(self) -> None:
        """Relay nothing any more."""
        for name in list(self._servers):
            self.close(name)

    def cut_from_strangers(self, name: str) -> None:
        """Nothing passes between a process and all that dial it from a host that is not known."""
        self.cut(name, [STRANGER])

    # -- Faults --------------------------------------------------------------------------------

    def cut(self, name: str, others: list[str], outgoing: bool = True, incoming: bool = True) -> None:
        """Nothing passes from a process to these others, or to it, or both."""
        for other in others:
            if outgoing:
                self.cuts.add((name, other))
            if incoming:
                self.cuts.add((other, name))

    def heal(self, name: str) -> None:
        """All cuts and delays of a process are over."""
        self.cuts = {pair for pair in self.cuts if name not in pair}
        self.delay_s.pop(name, None)

    def reset(self, name: str) -> None:
        """Break all connections that a process has over this line."""
        for relay in [r for r in self._relays if name in (r.source, r.target)]:
            relay.reset()

    # -- Relaying ------------------------------------------------------------------------------

    async def _relay(self, relay: _Relay, reader: asyncio.StreamReader, back: str, port: int) -> None:
        self._relays.add(relay)
        try:
            await self._passable(relay.source, relay.target)
            await self._passable(relay.target, relay.source)
            onward, writer = await asyncio.open_connection(back, port)
            relay.writers.append(writer)
            async with asyncio.TaskGroup() as group:
                group.create_task(self._carry(reader, writer, relay.source, relay.target, relay.reset))
                group.create_task(
                    self._carry(onward, relay.writers[0], relay.target, relay.source, relay.reset)
                )
        except* (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            relay.reset()
            self._relays.discard(relay)

    async def _carry(self, reader, writer, source: str, target: str, end: Callable[[], None]) -> None:
        with suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                delay = max(self.delay_s.get(source, 0.0), self.delay_s.get(target, 0.0))
                if delay:
                    await asyncio.sleep(delay)
                await self._passable(source, target)
                writer.write(data)
                await writer.drain()
        end()

    async def _passable(self, source: str, target: str) -> None:
        while (source, target) in self.cuts:
            await asyncio.sleep(LOOK_S)
