"""Complete views over TCP: joining, push-pulls, and merging another member's view."""

from .. import wire
from ..model import Exchange, Gossip, MemberUpdate, State
from .members import QueuedUpdate
from .records import Changed, Push, Start
from .updates import UpdateHandling

UNKNOWN_SEED_ROUNDS = 3  # one push-pull in this many goes to a seed that is not in the view
JOIN_SEEDS = 3  # seeds contacted at each attempt to join


class Exchanging(UpdateHandling):
    """Starts, joins, leaves, and exchanges views."""

    def _start(self, now: float, event: Start) -> None:
        if self.started:
            return
        self.started = True
        self.incarnation = max(self.incarnation, int(event.unix_ms))
        self._seeds = tuple(s for s in event.seeds if s != self.address)
        period = self.tuning.period_ms
        self._next_probe = now + self.rng.uniform(0.0, period)
        self._next_gossip = now + self.rng.uniform(0.0, self.tuning.gossip_ms)
        self._next_push = now + self.tuning.push_pull_ms * self.rng.uniform(0.5, 1.0)
        self._out.append(Changed(self.own_id, self.address, State.ALIVE, self.incarnation, None, self.own_id))
        self._join(now)

    def _join(self, now: float) -> None:
        if not self._seeds:
            self._join_at = None
            return
        for seed in self.rng.sample(self._seeds, min(JOIN_SEEDS, len(self._seeds))):
            self._out.append(Push(seed, self._encode_state(True), True))
        self.counts["join_tries"] += 1
        backoff = self.tuning.join_retry_ms * 2 ** min(self._join_tries, 4)
        self._join_tries += 1
        self._join_at = now + backoff * self.rng.uniform(0.5, 1.0)

    def _leave(self, now: float) -> None:
        if self.leaving or not self.started:
            return
        self.leaving = True
        left = MemberUpdate(
            self.own_id, self.address[0], self.address[1], self.incarnation, State.LEFT, self.own_id
        )
        self._queue[self.own_id] = QueuedUpdate(left)
        others = self.alive()
        for member_id in self.rng.sample(others, min(len(others), 2 * self.tuning.gossip_nodes)):
            self._send(self.members[member_id].address, Gossip(self.own_id, [left]))
        self._probe = None

    def _encode_state(self, join: bool) -> bytes:
        own = MemberUpdate(
            self.own_id, self.address[0], self.address[1], self.incarnation,
            State.LEFT if self.leaving else State.ALIVE, self.own_id,
        )  # fmt: skip
        members = [own] + [m.as_update() for m in self.members.values()]
        return wire.encode_exchange(self.cluster, self.own_id, join, members, self.shared_state())

    def _push_pull(self) -> None:
        """Push to an alive member, every other time to a dead one, so that halves of a partition rejoin.

        After a partition that outlasts the tombstones neither half has a member of the other in its view, so
        that some push-pulls go to a seed that is not in the view.
        """
        self._push_round += 1
        alive = self.alive()
        failed = [m.id for m in self.members.values() if m.state is State.DEAD]
        known = {member.address for member in self.members.values()}
        unknown = [seed for seed in self._seeds if seed not in known]
        if unknown and self._push_round % UNKNOWN_SEED_ROUNDS == 0:
            target = self.rng.choice(unknown)
        elif failed and (not alive or self._push_round % 2 == 0):
            target = self.members[self.rng.choice(failed)].address
        elif alive:
            target = self.members[self.rng.choice(alive)].address
        elif self._seeds:
            target = self.rng.choice(self._seeds)
        else:
            return
        self.counts["pushes"] += 1
        self._out.append(Push(target, self._encode_state(False), False))

    def _merge(self, now: float, exchange: Exchange) -> None:
        """Merge a view as memberlist does: a member that is dead in it becomes only suspect here."""
        if exchange.join:
            self.counts["joins"] += 1
        self.joined = True
        for update in exchange.members[: self.tuning.most_members + 1]:
            if update.state is State.DEAD:
                update = MemberUpdate(
                    update.member, update.host, update.port, update.incarnation, State.SUSPECT, exchange.src
                )
            self._apply(now, update)
