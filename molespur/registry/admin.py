"""What operators do with a registry by hand: read all, put, drain, remove, import."""

from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from ..config import parse_address
from ..config.deployment import Deployment
from ..net.upstream import dial_tcp
from ..net.wheel import Wheel
from . import model as m
from .http import FAULTS, Link, broken
from .model import Fault, Item, Why
from .protocol import Answer, Request
from .records import Record, encode
from .source import protocol_of
from .view import View, rebuilt
from .writes import writes_of

TRIES = 3  # of a change that another writer was faster at


class RegistryError(Exception):
    """The registry could not do it; the text says why."""


@dataclass(frozen=True, slots=True)
class Reading:
    """A full read: the view, and what could not be shown as it stands (key, kind, text)."""

    view: View
    troubles: list


class Admin:
    """One-off exchanges with a registry, each tried at every member."""

    def __init__(self, given: Deployment, wheel: Wheel, dial: Callable = dial_tcp):
        self.registry, self.wheel, self.dial = given.registry, wheel, dial
        self.protocol = protocol_of(given)
        self.writes = writes_of(self.protocol)
        self.members = [parse_address(e, "registry.endpoints") for e in given.registry.endpoints]

    def key(self, uid: str) -> str:
        return self.registry.prefix + uid

    async def _ask_one(self, address, request: Request) -> Answer | Fault:
        link = None
        try:
            with self.wheel.limit(self.registry.read_ms):
                link = await Link.open(address, self.dial)
                return await link.ask(request)
        except FAULTS as problem:
            return broken(problem)
        finally:
            if link is not None:
                await link.close()
        return Fault(Why.BROKEN, "no answer in time")

    async def _ask(self, make: Callable[[], Request]) -> Answer:
        """An answer from whichever member gives one.  Raises RegistryError where none does."""
        told = []
        for address in self.members:
            where = "{}:{}".format(*address)
            if self.registry.user and not getattr(self.protocol, "token", "x"):
                answer = await self._ask_one(address, self.protocol.authenticate())
                if isinstance(answer, Answer):
                    got = self.protocol.authenticated(0, answer)
                    if isinstance(got, m.Failed):
                        raise RegistryError(f"{where}: {got.fault.detail}")
            answer = await self._ask_one(address, make())
            if isinstance(answer, Answer) and answer.status < 500:
                return answer
            told.append(f"{where}: {answer.detail if isinstance(answer, Fault) else answer.status}")
        raise RegistryError("no member could answer: " + "; ".join(told))

    async def read(self) -> Reading:
        """All of it, at one revision.  Raises RegistryError."""
        for _ in range(TRIES):
            items: list[Item] = []
            step = m.ReadPage(0, 0, proof=True)
            while True:
                event, parts = self.protocol.page(0, await self._ask(lambda s=step: self.protocol.read(s)))
                if isinstance(event, m.Failed):
                    break
                for part in parts:
                    items += part
                at = step.revision or event.revision
                if event.next_key is None:
                    bounds = {"most": self.registry.most_workers, "record_most": self.registry.record_most}
                    view, _, troubles = rebuilt(View(), event.cluster, at, items, **bounds)
                    return Reading(view, troubles)
                step = m.ReadPage(0, 0, at, event.next_key)
            if event.fault.why is not Why.COMPACTED:
                break
        raise RegistryError(event.fault.detail)

    async def _write(self, make: Callable[[], Request]) -> bool:
        done = self.writes.done(await self._ask(make))
        if isinstance(done, Fault):
            raise RegistryError(done.detail)
        return done

    async def put(self, record: Record) -> None:
        """Put a worker's record, whatever stood there."""
        await self._write(lambda: self.writes.put(self.key(record.uid), encode(record)))

    async def drain(self, uid: str) -> None:
        """Have a worker want nothing new.  Its lease stands, and a change made meanwhile is not lost."""
        for _ in range(TRIES):
            view = (await self.read()).view
            key = next(iter(view.by_uid.get(uid, ())), None)
            if key is None:
                raise RegistryError(f"no worker {uid!r}")
            entry = view.entries[key]
            value = encode(msgspec.structs.replace(entry.record, state="leaving"))
            changed = entry.item.changed
            if await self._write(
                lambda k=key, v=value, c=changed: self.writes.put(k, v, expect=c, keep_lease=True)
            ):
                return
        raise RegistryError(f"{uid}: changed by another writer, {TRIES} times in a row")

    async def remove(self, uid: str) -> None:
        """Delete a worker's record, also one that is malformed."""
        view = (await self.read()).view
        keys = view.by_uid.get(uid, ()) or tuple(k for k in view.entries if k == self.key(uid))
        if not keys:
            raise RegistryError(f"no worker {uid!r}")
        for key in keys:
            await self._write(lambda k=key: self.writes.delete(k))
