"""A stand-in model worker of a soak: it reads prompts for others or gives answers, as it is ordered.

Prompt memory that it has read waits under a handle, and is taken once, given back or lapses.  It notes each
of these, and each order with its holder and fencing token, for the checker.
"""

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass

from .plain_worker import PlainWorker, Request
from .records import HandleDeed, HandleEvent, Log, OrderTaken

PREFILL, DECODE = "prefill", "decode"
HANDLE_S = 5.0  # HandleTtlS
SWITCH_S = 1.0  # RoleSwitchS
READ_S, FETCH_S = 0.015, 0.005
SERIAL_DIGITS = 12
TAKEN, HOLDS, NO_SUCH_ORDER, CONFLICT, FENCED_OFF = 202, 200, 400, 409, 412


@dataclass(frozen=True, slots=True)
class HeldMemory:
    """What was read and waits to be taken."""

    attempt: str
    until: float  # on the clock of the log, s


class ModelWorker(PlainWorker):
    """One model worker, for one life."""

    def __init__(
        self, *arguments, phase: str, log: Log, clock: Callable[[], float],
        others: Callable[[str], "ModelWorker | None"], **named
    ):  # fmt: skip
        """`others`: the model worker at an address; the rest as for `PlainWorker`."""
        super().__init__(*arguments, **named)
        self.phase, self.log, self.clock, self.others = phase, log, clock, others
        self._held: dict[str, HeldMemory] = {}
        self._handles = self._orders = 0
        self._newest_token = -1
        self._switching_until = float("-inf")

    def _registration(self, state: str) -> dict:
        return {**super()._registration(state), "Phase": self.phase, "Models": [{"Name": "m", "Version": 1}]}

    # -- Requests ------------------------------------------------------------------------------

    async def _answer(self, writer, request: Request) -> None:
        if request.path == "/api/report":
            self._write_json(writer, request, 200, self._report())
        elif request.path == "/api/order":
            self._write_json(writer, request, self._order(request.body), {})
        elif request.method == "DELETE":
            self._give_back(request.path.rpartition("/")[2])
            self._write_json(writer, request, 200, {})
        elif request.field("molespur-expected-instance", self.name) != self.name:
            self._write_refusal(writer, request, "421 Misdirected")
        elif self._switches():
            self._write_refusal(writer, request, "503 Switching", executed=False)
        elif (request.field("molespur-serving-phase") == PREFILL) != (self.phase == PREFILL):
            self._write_refusal(writer, request, "421 Misdirected")
        elif self.phase == PREFILL:
            await self._read_prompt(writer, request)
        elif await self._fetch(request):
            await super()._answer(writer, request)
        else:
            self._write_refusal(writer, request, "503 Gone", executed=False)

    def _write_json(self, writer, request: Request, status: int, body: dict) -> None:
        text = json.dumps(body).encode()
        head = f"HTTP/1.1 {status} -\r\nMolespur-Attempt-Id: {request.attempt}\r\n"
        head += f"Content-Type: application/json\r\nContent-Length: {len(text)}\r\n\r\n"
        writer.write(head.encode() + text)

    def _report(self) -> dict:
        return {
            "Phase": self.phase, "Models": [], "Utilization": self._switches(), "Sequence": self._orders,
            "Queued": 0, "Active": self._running, "KvUsed": 0, "KvTotal": 100_000, "Handles": len(self._held),
        }  # fmt: skip

    # -- Prompt memory -------------------------------------------------------------------------

    async def _read_prompt(self, writer, request: Request) -> None:
        await self._work(READ_S)
        self._perhaps_break(writer, request.attempt)
        self._handles += 1
        handle = f"{self._handles:0{SERIAL_DIGITS}x}"
        self._held[handle] = HeldMemory(request.attempt, self.clock() + HANDLE_S)
        self._note(handle, HandleDeed.READ, request.attempt)
        asyncio.get_running_loop().call_later(HANDLE_S, self._lapse, handle)
        body = {"PrefillHandle": handle, "Tokens": 1000, "Version": 1}
        self._write_json(writer, request, 200, body)
        await writer.drain()

    async def _fetch(self, request: Request) -> bool:
        """Take memory over from another worker, if the request names some; False when it is gone."""
        source = request.field("kv-from")
        if not source:
            return True
        address, _, handle = source.partition("/")
        other = self.others(address)
        if other is None or not other.take(handle, request.attempt):
            return False
        await self._work(FETCH_S)
        return True

    def take(self, handle: str, attempt: str) -> bool:
        """Another worker takes memory over for a request; False when it is gone."""
        if self._held.pop(handle, None) is None:
            return False
        self._note(handle, HandleDeed.TAKEN, attempt)
        return True

    def _give_back(self, handle: str) -> None:
        held = self._held.pop(handle, None)
        if held is not None:
            self._note(handle, HandleDeed.FREED, held.attempt)

    def _lapse(self, handle: str) -> None:
        held = self._held.pop(handle, None)
        if held is not None and not self.down.is_set():
            self._note(handle, HandleDeed.LAPSED, held.attempt)

    def _note(self, handle: str, deed: HandleDeed, attempt: str) -> None:
        self.log.handles.append(HandleEvent(self.clock(), self.name, handle, deed, attempt))

    # -- Orders --------------------------------------------------------------------------------

    def _switches(self) -> bool:
        return self.clock() < self._switching_until

    def _order(self, body: bytes) -> int:
        """The status that an order is answered with."""
        order = json.loads(body)
        token, phase = order["FencingToken"], order.get("Phase")
        if order.get("Operation") != "Phase" or phase not in (PREFILL, DECODE):
            return NO_SUCH_ORDER
        if token < self._newest_token:
            return FENCED_OFF
        self._newest_token = token
        self.log.orders.append(OrderTaken(self.clock(), self.name, order["Holder"], token))
        if phase == self.phase:
            return HOLDS
        if self._switches() or order.get("IfRevision", self._orders) != self._orders:
            return CONFLICT
        self._orders += 1
        self.phase, self._switching_until = phase, self.clock() + SWITCH_S
        return TAKEN
