"""Carries out what the session says: exchanges with the members, edits of the view.  Holds no rule."""

import itertools
from collections import Counter
from collections.abc import Awaitable, Callable

import msgspec
import trio

from .. import logs
from ..net.upstream import dial_tcp
from . import model as m
from .http import FAULTS, Link, broken, headers_of
from .model import Fault, Why
from .protocol import Answer
from .session import Session
from .view import Delta, Edit, View

log = logs.get(__name__)
TROUBLES_LOGGED = 50  # for one reading; the counters have them all


class Client:
    """Follows one registry for as long as `run` runs.

    `told(view, delta)` is awaited with each new view; `standing(fresh)` is told whether it is kept fresh.
    """

    def __init__(
        self, session: Session, protocol, members: list[tuple[str, int]], wheel, clock, counters: Counter,
        told: Callable[[View, Delta], Awaitable[None]], standing: Callable[[bool], None],
        dial_ms: float = 1000.0, read_ms: float = 5000.0, silence_ms: float = 15_000.0,
        most: int = 20_000, record_most: int = 4096, view: View | None = None, dial=dial_tcp,
    ):  # fmt: skip
        self.session, self.protocol, self.members = session, protocol, members
        self.wheel, self.clock, self.counters, self.dial = wheel, clock, counters, dial
        self.told, self.standing, self.view = told, standing, view or View()
        self.dial_ms, self.read_ms, self.silence_ms = dial_ms, read_ms, silence_ms
        self.bounds = {"most": most, "record_most": record_most}
        self._link: Link | None = None
        self._member = -1
        self._edit: Edit | None = None
        self._keys: set[str] = set()
        self._items = ()  # slices that came beside the event in hand

    async def run(self) -> None:
        """Follow the registry for good."""
        try:
            step = await self._feed(m.Begin(self.view.cluster, self.view.revision))
            while True:
                try:
                    step = await self._carry_out(step)
                except Exception as problem:
                    # guards against an answer's surprise ending the following for good
                    log.exception("registry.failed")
                    self.counters["registry.exceptions"] += 1
                    step = await self._feed(m.Failed(self.session.turn, Fault(Why.MALFORMED, repr(problem))))
        finally:
            await self._hang_up()

    async def _feed(self, event: m.Event) -> m.Exchange | None:
        """Give the session an event, do what it says, and give the exchange to begin, if there is one."""
        exchange = None
        for action in self.session.handle(self.clock.now(), event):
            if isinstance(action, m.Exchange):
                exchange = action
            elif isinstance(action, m.Note):
                self.counters[action.event] += 1
                log.info(action.event, **action.fields)
            elif isinstance(action, m.Standing):
                self.standing(action.fresh)
            elif isinstance(action, m.BeginRebuild):
                self._edit, self._keys = Edit(self.view, **self.bounds), set()
            elif isinstance(action, m.AddPage):
                await self._add(action.items)
            elif isinstance(action, m.FinishRebuild):
                self._edit.keep_only(self._keys)
                await self._finish(action.cluster, action.revision)
            elif isinstance(action, m.Apply):
                await self._apply(action)
        return exchange

    # -- The view --------------------------------------------------------------------------------

    async def _add(self, items) -> None:
        for part in itertools.chain((items,), self._items):
            for item in part:
                self._edit.put(item)
                self._keys.add(item.key)
            # guards against a long list holding up all that else waits to be done
            await trio.lowlevel.checkpoint()
        self._items = ()

    async def _apply(self, action: m.Apply) -> None:
        self._edit = Edit(self.view, **self.bounds)
        for change in action.changes:
            if change.item is None:
                self._edit.drop(change.key)
            else:
                self._edit.put(change.item)
        self.counters["registry.changes"] += len(action.changes)
        await self._finish(self.view.cluster, action.revision)

    async def _finish(self, cluster: str, revision: int) -> None:
        edit, self._edit = self._edit, None
        for _ in edit.settle():
            await trio.lowlevel.checkpoint()
        for n, trouble in enumerate(edit.troubles):
            self.counters[f"registry.{trouble.kind}"] += 1
            if n < TROUBLES_LOGGED:
                log.warning(f"registry.{trouble.kind}", key=trouble.key[:200], why=trouble.text)
        self.view, delta = edit.done(cluster, revision)
        await self.told(self.view, delta)

    # -- Exchanges -------------------------------------------------------------------------------

    async def _hang_up(self) -> None:
        link, self._link = self._link, None
        if link is not None:
            await link.close()

    async def _linked(self, member: int) -> Link:
        """A connection to this member, with nothing under way on it."""
        if self._link is not None and (self._member != member or not self._link.reusable):
            await self._hang_up()
        if self._link is None:
            self.counters["registry.dialled"] += 1
            self._link = await Link.open(self.members[member], self.dial, self._received)
            self._member = member
        return self._link

    def _received(self, size: int) -> None:
        self.counters["registry.bytes"] += size

    async def _carry_out(self, step: m.Exchange) -> m.Exchange:
        """Do an exchange to its end; give the next."""
        if isinstance(step, m.Wait):
            await self._hang_up()
            with self.wheel.limit(step.delay_ms):
                await trio.sleep_forever()
            return await self._feed(m.Due(step.turn))
        try:
            if isinstance(step, m.OpenWatch) and not self.protocol.long_poll:
                return await self._follow(step)
            event = await self._ask(step)
        except FAULTS as problem:
            await self._hang_up()
            event = m.Failed(step.turn, broken(problem))
        except (msgspec.DecodeError, ValueError, RecursionError) as problem:
            await self._hang_up()
            event = m.Failed(step.turn, Fault(Why.MALFORMED, str(problem)[:200]))
        return await self._feed(event)

    async def _ask(self, step: m.Exchange) -> m.Event:
        """One request and its whole answer."""
        protocol, limit_ms = self.protocol, self.read_ms
        if isinstance(step, m.Authenticate):
            request, read = protocol.authenticate(), protocol.authenticated
        elif isinstance(step, m.ReadPage):
            request, read = protocol.read(step), protocol.page
        else:
            request, read = protocol.watch(step), protocol.listed
            limit_ms += protocol.wait_ms * 17 / 16  # Consul adds up to a sixteenth of the wait
        answer, link = None, None
        with self.wheel.limit(self.dial_ms):
            link = await self._linked(step.member)
        if link is None:
            return m.Failed(step.turn, Fault(Why.BROKEN, "no connection in time"))
        with self.wheel.limit(limit_ms):
            answer = await link.ask(request)
        if answer is None:
            await self._hang_up()
            return m.Failed(step.turn, Fault(Why.BROKEN, "no answer in time"))
        got = read(step.turn, answer)
        if isinstance(got, tuple):
            got, self._items = got
        return got

    async def _follow(self, step: m.OpenWatch) -> m.Exchange:
        """A streamed watch: feed the session until it wants something else."""
        link, opened = None, False
        with self.wheel.limit(self.dial_ms):
            link = await self._linked(step.member)
        if link is None:
            return await self._feed(m.Failed(step.turn, Fault(Why.BROKEN, "no connection in time")))
        reader, head = self.protocol.reader(step.turn), None
        with self.wheel.limit(self.read_ms):
            head = await link.send(self.protocol.watch(step))
            if head.status_code != 200:
                answer = Answer(head.status_code, await link.body(), headers_of(head))
                return await self._feed(m.Failed(step.turn, self.protocol.refused(answer)))
            opened = True
        while opened:
            line, heard = None, False
            with self.wheel.limit(self.silence_ms):
                line = await link.line()
                heard = True
            if not heard:
                break
            if line is None:
                await self._hang_up()
                return await self._feed(m.Failed(step.turn, Fault(Why.BROKEN, "the watch ended")))
            for event in reader.line(line):
                following = await self._feed(event)
                if following is not None:
                    await self._hang_up()
                    return following
        await self._hang_up()
        silent = (
            Fault(Why.SILENT, "the watch said nothing") if opened else Fault(Why.BROKEN, "no answer in time")
        )
        return await self._feed(m.Failed(step.turn, silent))
