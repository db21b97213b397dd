"""Calls from one control-plane process to another, and the matching of replies to them.

Call IDs are unique within a process instance.  They start at a random number, so that a reply to a call of
an earlier instance does not match a call of this one.
"""

import asyncio
import secrets
from collections.abc import Callable
from dataclasses import dataclass
from itertools import count

from ..errors import ErrorKind, FleetError
from . import molespur_pb2 as pb
from .channel import Dialer

REPLY_TIMEOUT_S = 0.8  # below the 1 s after which callers of the control plane try another process
FIRST_CALL_ID_BITS = 48


@dataclass(slots=True)
class _PendingCall:
    """A call without a reply yet, and the only address from which a reply is accepted."""

    address: str
    reply: asyncio.Future


class PeerCalls:
    """Pending calls to other control-plane processes."""

    def __init__(self, dialer_by_address: Callable[[str], Dialer | None]):
        self._dialer_by_address = dialer_by_address
        self._call_ids = count(secrets.randbits(FIRST_CALL_ID_BITS))
        self._pending: dict[int, _PendingCall] = {}

    async def call(
        self, address: str, method: str, subject: str, body: bytes = b"", timeout_s: float = REPLY_TIMEOUT_S
    ) -> pb.Reply:
        """Call the process at an address and return its reply.

        Raises FleetError: NO_LEADER if the call was not sent, OUTCOME_UNKNOWN if no reply arrived in time.
        """
        call_id = next(self._call_ids)
        reply = asyncio.get_running_loop().create_future()
        self._pending[call_id] = _PendingCall(address, reply)
        dialer = self._dialer_by_address(address)
        frame = pb.Frame(call=pb.Call(id=call_id, method=method, subject=subject, body=body))
        try:
            if dialer is None or not dialer.send(frame):
                raise FleetError(ErrorKind.NO_LEADER, subject)
            return await asyncio.wait_for(reply, timeout_s)
        except TimeoutError as error:
            raise FleetError(ErrorKind.OUTCOME_UNKNOWN, subject) from error
        finally:
            del self._pending[call_id]

    def handle_reply(self, sender: str, reply: pb.Reply) -> None:
        """Complete the call that a reply belongs to.

        A reply to no pending call, or from an address other than the called one, is dropped.
        """
        pending = self._pending.get(reply.id)
        if pending is not None and pending.address == sender and not pending.reply.done():
            pending.reply.set_result(reply)
