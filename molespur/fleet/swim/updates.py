"""Updates about members (alive, suspect, dead, left), and refutation of those about this member."""

import math

from ..model import Address, MemberUpdate, State
from .members import Member, QueuedUpdate, Suspicion
from .records import Changed, Conflict, Refuted
from .state import MembershipState

CONFLICT_INTERVAL_MS = 10_000.0  # min time between two actions for the same conflict
MAX_CONFLICTS = 64  # conflicts whose last action is remembered


class UpdateHandling(MembershipState):
    """Applies updates to the members."""

    def _apply(self, now: float, update: MemberUpdate) -> None:
        if update.state is State.ALIVE:
            self._apply_alive(now, update)
        elif update.state is State.SUSPECT:
            self._apply_suspect(now, update)
        else:
            self._apply_dead(now, update)

    def _apply_alive(self, now: float, update: MemberUpdate) -> None:
        if update.member == self.own_id:
            if self.leaving or update.incarnation < self.incarnation:
                return
            if update.address == self.address and update.incarnation == self.incarnation:
                return
            if update.address != self.address:
                self._report_conflict(now, self.own_id, self.address, update.address)
            self._refute(update.incarnation, "alive update about us that we did not send")
            return
        member = self.members.get(update.member)
        if member is None:
            self._add(now, update)
            return
        if update.address != member.address:
            if member.state <= State.SUSPECT or update.incarnation <= member.incarnation:
                self._report_conflict(now, member.id, member.address, update.address)
                return
        elif update.incarnation <= member.incarnation:
            return
        if member.state is State.SUSPECT:
            self.counts["suspicions_refuted"] += 1
        member.address = update.address
        self._declare(now, member, State.ALIVE, update.incarnation, update.by)

    def _add(self, now: float, update: MemberUpdate) -> None:
        if len(self.members) >= self.tuning.most_members:
            self._purge(now, force=True)
        if len(self.members) >= self.tuning.most_members:
            self.counts["table_full"] += 1
            return
        member = Member(update.member, update.address, update.incarnation, State.ALIVE, now)
        self.members[member.id] = member
        self._ring_version += 1
        self._out.append(Changed(member.id, member.address, State.ALIVE, member.incarnation, None, update.by))
        self._queue[member.id] = QueuedUpdate(member.as_update(update.by))

    def _apply_suspect(self, now: float, update: MemberUpdate) -> None:
        if update.member == self.own_id:
            if not self.leaving and update.incarnation >= self.incarnation:
                self._raise_health(1)
                self._refute(update.incarnation, f"suspected by {update.by}")
            return
        member = self.members.get(update.member)
        if member is None or update.incarnation < member.incarnation or member.state > State.SUSPECT:
            return
        if member.state is State.SUSPECT:
            if member.suspicion is not None and member.suspicion.confirm(update.by):
                self.counts["confirmations"] += 1
                self._queue[member.id] = QueuedUpdate(member.as_update(update.by))
            return
        self._declare(now, member, State.SUSPECT, update.incarnation, update.by)
        n = len(self.members) + 1
        min_ms, max_ms = self.tuning.suspicion_bounds(n)
        k = max(0, min(int(self.tuning.suspicion_mult) - 2, n - 2))
        member.suspicion = Suspicion(now, min_ms, max_ms, k, update.by)
        self._suspects.add(member.id)

    def _suspicion_expired(self, member_id: str, now: float) -> bool:
        suspicion = self.members[member_id].suspicion
        return suspicion is not None and now >= suspicion.deadline()

    def _apply_dead(self, now: float, update: MemberUpdate) -> None:
        left = update.state is State.LEFT
        if update.member == self.own_id:
            if not self.leaving and update.incarnation >= self.incarnation:
                self._refute(update.incarnation, f"declared {update.state.name.lower()} by {update.by}")
            return
        member = self.members.get(update.member)
        if member is None or update.incarnation < member.incarnation or member.state is State.LEFT:
            return
        if member.state is State.DEAD and not left:
            return
        self._declare(now, member, update.state, update.incarnation, update.by)

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
        self._queue[member.id] = QueuedUpdate(member.as_update(by))

    def _refute(self, incarnation: int, why: str) -> None:
        self.incarnation = max(self.incarnation, incarnation) + 1
        self.counts["refutations"] += 1
        own = MemberUpdate(
            self.own_id, self.address[0], self.address[1], self.incarnation, State.ALIVE, self.own_id
        )
        self._queue[self.own_id] = QueuedUpdate(own)
        self._out.append(Refuted(self.incarnation, why))

    def _report_conflict(self, now: float, member: str, held: Address, claimed: Address) -> None:
        self.counts["conflicts"] += 1
        key = (member, claimed)
        if now - self._conflicts.get(key, -math.inf) < CONFLICT_INTERVAL_MS:
            return
        if len(self._conflicts) >= MAX_CONFLICTS:
            self._conflicts.clear()
        self._conflicts[key] = now
        self._out.append(Conflict(member, held, claimed))

    def _purge(self, now: float, force: bool = False) -> None:
        """Drop expired tombstones; with `force` and a full table, drop the oldest at once."""
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
