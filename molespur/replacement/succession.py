"""Looks at the other processes of the same address and carries out what follows from them."""

import os
import time

import trio

from .. import logs
from ..lifecycle import ProcessEvent
from .files import Rendezvous
from .steer import steer
from .view import Record, View, sockets_for, used_to_tell, view

log = logs.get(__name__)
LOOK_MS = 100.0
ROOM_S = 1.5  # for an elder to make room; one that does not is taken as hung


def descriptors_held() -> int:
    """Descriptors that this process holds."""
    try:
        return len(os.listdir("/proc/self/fd"))
    except OSError:
        return 0


class Succession:
    """This process among those that serve the same address, one after the other."""

    def __init__(self, directory: str, config, wheel, resize):
        self.rendezvous, self.wheel, self.resize = Rendezvous(directory, config.listen), wheel, resize
        self.granted, self.record = config.sockets, Record(time.monotonic_ns())
        self._seen: tuple[int, bool] | None = None
        self._told: tuple[bool, bool, int] | None = None
        self.service = self.socket = self._listed = None  # set by serving

    async def wait_for_room(self) -> Record | None:
        """Announce this process and wait for the elder, if there is one, to make room for it."""
        if not self.rendezvous.open():
            return None
        self.rendezvous.tell(self.record)
        until = trio.current_time() + ROOM_S
        while True:
            others = self.rendezvous.others()
            seen = view(self.record, others)
            if seen.may_serve or trio.current_time() > until:
                break
            await trio.sleep(LOOK_MS / 4000)
        if seen.elder is not None:
            log.info("replacement.elder", made_room=seen.elder.room, holds=seen.elder.used)
        self._resize(others)
        return seen.elder

    def serving(self, service, socket, listed) -> None:
        """This process takes clients on the socket; from now on others are told so, and looked after."""
        self.service, self.socket, self._listed = service, socket, listed
        self.record.serving = True
        self._tell()
        self.wheel.after(LOOK_MS, self._look_again)

    def look(self) -> None:
        """See who is there, and do what follows."""
        if self.service is None:
            return
        others = self.rendezvous.others()
        seen = view(self.record, others)
        self._resize(others)
        self._hand_over(seen)
        # guards a next younger against the word, and the list, that were meant for one that has died
        if others or self.record.room:
            self.record.room = seen.younger is not None
            self._tell(len(others))

    def _look_again(self) -> None:
        self.wheel.after(LOOK_MS, self._look_again)  # first, whatever the look may meet
        self.look()

    def _hand_over(self, seen: View) -> None:
        now = (seen.others, seen.succeeded)
        if now == self._seen:
            return
        if seen.succeeded:
            # those that serve stand in the order of their starts, so the latest is the last of them
            steer(self.socket, seen.others)
            self.service.handle(ProcessEvent.SUCCESSOR)
        elif self._seen is not None and self._seen[1]:
            self.service.handle(ProcessEvent.SUCCESSOR_GONE)
        self._seen = now

    def _resize(self, others: list[Record]) -> None:
        self.resize(sockets_for(self.granted, others))

    def _tell(self, others: int = 0) -> None:
        """Put the record where others read it, if there is news in it.

        Guards against a loop that waits for a disk: where TMPDIR is on one, each file that is replaced is
        written out; ten times a second that took 60 ms each.
        """
        used = used_to_tell(self.granted, descriptors_held(), others)
        news = (self.record.serving, self.record.room, used)
        if news == self._told:
            return
        self._told, self.record.used = news, used
        self.record.targets = None
        if self.record.room:
            for name, value in self._listed().items():
                setattr(self.record, name, value)
        self.rendezvous.tell(self.record)

    def close(self) -> None:
        """This process is at its end."""
        self.rendezvous.close()
