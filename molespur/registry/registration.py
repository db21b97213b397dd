"""Carries out a worker's registration: exchanges with the registry's members, and waits."""

import math
from collections import Counter
from collections.abc import Callable

import msgspec
import trio

from .. import logs
from ..net.upstream import dial_tcp
from . import lease as le
from .http import FAULTS, Link, broken
from .model import Fault, Why
from .records import Record, encode
from .writes import writes_of

log = logs.get(__name__)
ASK_SHARE = 6  # an exchange may take this part of the time to live


class Registrar:
    """Keeps one worker registered while `run` runs; `listed(bool)` is told whenever that changes."""

    def __init__(
        self, machine: le.Registration, protocol, members: list[tuple[str, int]], key: str, record: Record,
        wheel, clock, counters: Counter, listed: Callable[[bool], None] = lambda listed: None, dial=dial_tcp,
    ):  # fmt: skip
        self.machine, self.protocol, self.members = machine, protocol, members
        self.writes, self.key, self.record = writes_of(protocol), key, record
        self.wheel, self.clock, self.counters = wheel, clock, counters
        self.listed, self.dial = listed, dial
        self._wake = trio.Event()
        self._signals: list = []

    def drain(self) -> None:
        """Want nothing new from now on."""
        self._signal(le.Drain())

    def leave(self) -> None:
        """End the registration; `run` then comes back."""
        self._signal(le.Leave())

    def _signal(self, event) -> None:
        self._signals.append(event)
        self._wake.set()

    async def run(self) -> None:
        """Register, and stay so until `leave`."""
        step = self._feed(le.Register())
        while not self.machine.over:
            if isinstance(step, le.Wait):
                with self.wheel.limit(step.delay_ms):
                    await self._wake.wait()
                event = le.Due(step.turn)
            else:
                event = await self._carry_out(step)
            self._wake = trio.Event()
            signals, self._signals = self._signals, []
            step = None
            for one in (*signals, event):
                step = self._feed(one) or step

    def _feed(self, event):
        """Give the machine an event; give the exchange or wait that follows, if there is one."""
        following = None
        for action in self.machine.handle(self.clock.now(), event):
            if isinstance(action, le.Listed):
                self.counters["registration.listed" if action.listed else "registration.lost"] += 1
                log.info("registration.listed" if action.listed else "registration.lost", key=self.key)
                self.listed(action.listed)
            elif not isinstance(action, le.Over):
                following = action
        return following

    async def _carry_out(self, step: le.Exchange):
        """One exchange, bounded well inside the time to live."""
        limit = self.machine.ttl_ms / ASK_SHARE
        try:
            result = None
            with self.wheel.limit(limit):
                result = await self._exchange(step)
            if result is None:
                result = Fault(Why.BROKEN, "no answer in time")
        except FAULTS as problem:
            result = broken(problem)
        except (msgspec.DecodeError, ValueError) as problem:
            result = Fault(Why.MALFORMED, str(problem)[:200])
        if isinstance(result, Fault):
            self.counters["registration.failed"] += 1
            log.info(
                "registration.failed", step=type(step).__name__, why=result.why.value, detail=result.detail
            )
            if result.why is Why.TOKEN and getattr(self.protocol, "user", ""):
                await self._authenticate(step.member, limit)
            return le.Failed(step.turn, result)
        if isinstance(result, str):
            return le.Done(step.turn, result)
        return le.Done(step.turn) if result else le.NotSo(step.turn)

    async def _ask(self, member: int, request):
        link = await Link.open(self.members[member], self.dial)
        try:
            return await link.ask(request)
        finally:
            await link.close()

    async def _authenticate(self, member: int, limit: float) -> None:
        try:
            with self.wheel.limit(limit):
                self.protocol.authenticated(0, await self._ask(member, self.protocol.authenticate()))
        except (*FAULTS, msgspec.DecodeError) as problem:
            log.info("registration.token", why=str(problem))

    async def _exchange(self, step: le.Exchange) -> str | bool | Fault:
        writes = self.writes
        if isinstance(step, le.Grant):
            # the registry's time to live is whole seconds, and not less than ours
            ttl = math.ceil(self.machine.ttl_ms / 1000)
            return writes.granted(await self._ask(step.member, writes.grant(ttl)))
        if isinstance(step, le.KeepAlive):
            return writes.kept(await self._ask(step.member, writes.keep_alive(step.lease)))
        if isinstance(step, le.Revoke):
            answer = await self._ask(step.member, writes.revoke(step.lease))
            return True if answer.status in (200, 404) else self.protocol.refused(answer)
        state = "leaving" if step.leaving else "active"
        value = encode(msgspec.structs.replace(self.record, state=state))
        answer = await self._ask(step.member, writes.put(self.key, value, step.lease))
        gone = b"lease not found" in answer.body or b"invalid session" in answer.body
        return False if answer.status != 200 and gone else writes.done(answer)
