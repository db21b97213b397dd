"""Calls from one control-plane process to another, and the matching of their replies.

A call has a number that no other call of this process's life has; numbers begin at a random place, so that a
reply to a call of an earlier life matches none of this one.
"""

import asyncio
import secrets
from collections.abc import Callable
from dataclasses import dataclass
from itertools import count

from ..errors import ErrorKind, FleetError
from . import molespur_pb2 as pb
from .channel import Dialer

ANSWER_S = 0.8  # callers of the control plane move on after a second
FIRST_NUMBER_BITS = 48


@dataclass(slots=True)
class _PendingCall:
    """A call that has no reply yet, and the address that alone may reply to it."""

    address: str
    reply: asyncio.Future


class PeerCalls:
    """Calls under way to other control-plane processes."""

    def __init__(self, dialer_of: Callable[[str], Dialer | None]):
        self._dialer_of = dialer_of
        self._numbers = count(secrets.randbits(FIRST_NUMBER_BITS))
        self._pending: dict[int, _PendingCall] = {}

    async def call(
        self, address: str, method: str, subject: str, body: bytes = b"", answer_s: float = ANSWER_S
    ) -> pb.Reply:
        """The reply of the process at an address, which has this long for it (s).

        Raises FleetError: NO_LEADER when the call has not left, OUTCOME_UNKNOWN when no reply came.
        """
        number = next(self._numbers)
        reply = asyncio.get_running_loop().create_future()
        self._pending[number] = _PendingCall(address, reply)
        dialer = self._dialer_of(address)
        frame = pb.Frame(call=pb.Call(id=number, method=method, subject=subject, body=body))
        try:
            if dialer is None or not dialer.send(frame):
                raise FleetError(ErrorKind.NO_LEADER, subject)
            return await asyncio.wait_for(reply, answer_s)
        except TimeoutError as error:
            raise FleetError(ErrorKind.OUTCOME_UNKNOWN, subject) from error
        finally:
            del self._pending[number]

    def replied(self, sender: str, reply: pb.Reply) -> None:
        """A reply has come from an address; one that nobody waits for, or from elsewhere, is dropped."""
        pending = self._pending.get(reply.id)
        if pending is not None and pending.address == sender and not pending.reply.done():
            pending.reply.set_result(reply)
