"""A channel of the operators' command to one control-plane process."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable
from contextlib import asynccontextmanager
from typing import TypeVar

from ..errors import ErrorKind, FleetError
from ..rpc import molespur_pb2 as pb
from ..rpc.channel import Channel

CONNECT_S = 1.0
Answer = TypeVar("Answer")


@asynccontextmanager
async def open_channel(
    address: str, on_frame: Callable[[pb.Frame], None], lost: asyncio.Event
) -> AsyncIterator[Channel]:
    """A channel that is closed at the end; `lost` is set once it breaks.  Raises OSError or TimeoutError."""
    host, _, port = address.rpartition(":")
    made = asyncio.get_running_loop().create_connection(
        lambda: Channel(lambda _channel, frame: on_frame(frame), lambda _channel: lost.set()),
        host,
        int(port),
    )
    _transport, channel = await asyncio.wait_for(made, CONNECT_S)
    try:
        yield channel
    finally:
        channel.close()


async def first_answer(addresses: Iterable[str], ask: Callable[[str], Awaitable[Answer]]) -> Answer:
    """What the first of these RPC addresses answers.  Raises FleetError(NO_LEADER) when none does."""
    failures = []
    for address in addresses:
        try:
            return await ask(address)
        except (OSError, TimeoutError) as error:
            failures.append(f"{address}: {error or 'no answer'}")
    raise FleetError(ErrorKind.NO_LEADER, "; ".join(failures))
