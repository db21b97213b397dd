"""News of members: who is alive, suspect, dead or has left, and what this member says of itself."""

import math

from ..model import Address, News, State
from .members import Member, QueuedNews, Suspicion
from .records import Changed, Conflict, Refuted
from .state import MembershipState

CONFLICTS_EVERY_MS = 10_000.0  # one action for the same clash of ids in this time
CONFLICTS_KEPT = 64


class Verdicts(MembershipState):
    """Takes news in, and changes what is held of members."""

    def _apply(self, now: float, news: News) -> None:
        if news.state is State.ALIVE:
            self._alive(now, news)
        elif news.state is State.SUSPECT:
            self._suspect(now, news)
        else:
            self._dead(now, news)

    def _alive(self, now: float, news: News) -> None:
        if news.member == self.me:
            if self.leaving or news.incarnation < self.incarnation:
                return
            if news.address == self.address and news.incarnation == self.incarnation:
                return
            if news.address != self.address:
                self._conflict(now, self.me, self.address, news.address)
            self._refute(news.incarnation, "alive news of us that we did not send")
            return
        member = self.members.get(news.member)
        if member is None:
            self._add(now, news)
            return
        if news.address != member.address:
            if member.state <= State.SUSPECT or news.incarnation <= member.incarnation:
                self._conflict(now, member.id, member.address, news.address)
                return
        elif news.incarnation <= member.incarnation:
            return
        if member.state is State.SUSPECT:
            self.counts["suspicions_refuted"] += 1
        member.address = news.address
        self._declare(now, member, State.ALIVE, news.incarnation, news.by)

    def _add(self, now: float, news: News) -> None:
        if len(self.members) >= self.tuning.most_members:
            self._purge(now, force=True)
        if len(self.members) >= self.tuning.most_members:
            self.counts["table_full"] += 1
            return
        member = Member(news.member, news.address, news.incarnation, State.ALIVE, now)
        self.members[member.id] = member
        self._ring_version += 1
        self._out.append(Changed(member.id, member.address, State.ALIVE, member.incarnation, None, news.by))
        self._queue[member.id] = QueuedNews(member.news(news.by))

    def _suspect(self, now: float, news: News) -> None:
        if news.member == self.me:
            if not self.leaving and news.incarnation >= self.incarnation:
                self._raise_health(1)
                self._refute(news.incarnation, f"suspected by {news.by}")
            return
        member = self.members.get(news.member)
        if member is None or news.incarnation < member.incarnation or member.state > State.SUSPECT:
            return
        if member.state is State.SUSPECT:
            if member.suspicion is not None and member.suspicion.confirm(news.by):
                self.counts["confirmations"] += 1
                self._queue[member.id] = QueuedNews(member.news(news.by))
            return
        self._declare(now, member, State.SUSPECT, news.incarnation, news.by)
        n = len(self.members) + 1
        least, most = self.tuning.suspicion_bounds(n)
        k = max(0, min(int(self.tuning.suspicion_mult) - 2, n - 2))
        member.suspicion = Suspicion(now, least, most, k, news.by)
        self._suspects.add(member.id)

    def _due(self, member_id: str, now: float) -> bool:
        suspicion = self.members[member_id].suspicion
        return suspicion is not None and now >= suspicion.deadline()

    def _dead(self, now: float, news: News) -> None:
        left = news.state is State.LEFT
        if news.member == self.me:
            if not self.leaving and news.incarnation >= self.incarnation:
                self._refute(news.incarnation, f"declared {news.state.name.lower()} by {news.by}")
            return
        member = self.members.get(news.member)
        if member is None or news.incarnation < member.incarnation or member.state is State.LEFT:
            return
        if member.state is State.DEAD and not left:
            return
        self._declare(now, member, news.state, news.incarnation, news.by)

    def _declare(self, now: float, member: Member, state: State, incarnation: int, by: str) -> None:
        before = member.state
        if (before <= State.SUSPECT) != (state <= State.SUSPECT):
            self._ring_version += 1
        member.state, member.incarnation, member.since = state, incarnation, now
        if state is not State.SUSPECT:
            member.suspicion = None
            self._suspects.discard(member.id)
        if state is State.DEAD:
            self.counts["declared_dead"] += 1
        self._out.append(Changed(member.id, member.address, state, incarnation, before, by))
        self._queue[member.id] = QueuedNews(member.news(by))

    def _refute(self, incarnation: int, why: str) -> None:
        self.incarnation = max(self.incarnation, incarnation) + 1
        self.counts["refutations"] += 1
        own = News(self.me, self.address[0], self.address[1], self.incarnation, State.ALIVE, self.me)
        self._queue[self.me] = QueuedNews(own)
        self._out.append(Refuted(self.incarnation, why))

    def _conflict(self, now: float, member: str, held: Address, claimed: Address) -> None:
        self.counts["conflicts"] += 1
        key = (member, claimed)
        if now - self._conflicts.get(key, -math.inf) < CONFLICTS_EVERY_MS:
            return
        if len(self._conflicts) >= CONFLICTS_KEPT:
            self._conflicts.clear()
        self._conflicts[key] = now
        self._out.append(Conflict(member, held, claimed))

    def _purge(self, now: float, force: bool = False) -> None:
        """Tombstones go after their time; with a full table the oldest goes at once."""
        tombs = [m for m in self.members.values() if m.state > State.SUSPECT]
        for member in tombs:
            if now - member.since >= self.tuning.tombstone_ms:
                del self.members[member.id]
                self.counts["tombstones_dropped"] += 1
        if force and tombs and len(self.members) >= self.tuning.most_members:
            oldest = min((m for m in tombs if m.id in self.members), key=lambda m: m.since, default=None)
            if oldest is not None:
                del self.members[oldest.id]
                self.counts["tombstones_dropped"] += 1
