"""Probes: whom this member pings, what it does for others, and what follows from silence."""

import hashlib

from ..model import Ack, MemberUpdate, Nack, Ping, PingReq, State
from .members import Member, Probe, Relay
from .verdicts import Verdicts

RELAYS_MOST = 256  # indirect probes served at once; the oldest goes first
NACK_SHARE = 0.8  # of what is left of a requester's period, for a helper to wait before its nack


class Probing(Verdicts):
    """Pings, direct and by others, in an order that all members share."""

    def _start_probe(self, now: float) -> None:
        target = self._next_target(now)
        tuning = self.tuning
        self._next_probe = now + tuning.scaled(tuning.period_ms, self.health)
        if target is None:
            return
        self._seq += 1
        timeout = now + tuning.scaled(tuning.probe_timeout_ms, self.health)
        self._probe = Probe(target.id, self._seq, timeout, self._next_probe)
        self.counts["probes"] += 1
        buddy = target.as_update(self.me) if target.state is State.SUSPECT else None
        self._send(
            target.address, Ping(self._seq, self.me, *self.address, target.id, self._take_updates(buddy))
        )

    def _next_target(self, now: float) -> Member | None:
        """Shuffled round robin, with the same shuffle at every member, shifted by one each period.

        The members held alive or suspect, this one among them, form a ring in an order drawn anew each
        round of n - 1 periods from the round's number; in period k the member at place p probes the one at
        p + 1 + k mod (n - 1).  Within a round each member probes every other once, and where the views
        agree each member is probed by exactly one other in each period, so that a death is found within
        about one period, not in e/(e - 1) on average with a long tail as with shuffles of their own.
        """
        k = int(now // self.tuning.period_ms)
        ring, places = self._ring(k)
        n = len(ring)
        if n < 2:
            return None
        place = places[self.me]
        for step in range(n - 1):
            member = self.members.get(ring[(place + 1 + (k + step) % (n - 1)) % n])
            if member is not None and member.state <= State.SUSPECT:
                return member
        return None

    def _ring(self, k: int) -> tuple[list[str], dict[str, int]]:
        size = len(self.alive()) + 1 if self._ring_size is None else self._ring_size
        key = (k // max(1, size - 1), self._ring_version)
        if self._ring_key != key:
            turn = key[0].to_bytes(8, "big")
            ids = [self.me, *self.alive()]
            ids.sort(key=lambda one: hashlib.blake2b(one.encode(), digest_size=8, salt=turn[:8]).digest())
            self._ring_cache = (ids, {one: place for place, one in enumerate(ids)})
            self._ring_key, self._ring_size = key, len(ids)
        return self._ring_cache

    def _indirect(self, now: float, probe: Probe) -> None:
        probe.indirect_sent = True
        target = self.members.get(probe.target)
        if target is None or target.state > State.SUSPECT:
            return
        helpers = [m for m in self.alive() if m != probe.target and self.members[m].state is State.ALIVE]
        chosen = self.rng.sample(helpers, min(len(helpers), self.tuning.indirect))
        for helper in chosen:
            request = PingReq(
                probe.seq, self.me, *self.address, target.id, *target.address, True, self._take_updates()
            )  # fmt: skip
            self._send(self.members[helper].address, request)
        probe.expected_nacks = len(chosen)
        self.counts["indirect_probes"] += len(chosen)

    def _probe_failed(self, now: float, probe: Probe) -> None:
        self._probe = None
        self.counts["probes_failed"] += 1
        if probe.expected_nacks:
            # nacks that did not come mean that the fault may be on our side
            self._raise_health(max(0, probe.expected_nacks - probe.nacks))
        else:
            self._raise_health(1)
        target = self.members.get(probe.target)
        if target is not None and target.state <= State.SUSPECT:
            # held suspect already, ours is an independent confirmation, which shortens the timeout
            self.counts["suspicions"] += 1
            said = MemberUpdate(target.id, *target.address, target.incarnation, State.SUSPECT, self.me)
            self._suspect(now, said)

    def _expire_relays(self, now: float) -> None:
        for seq in [seq for seq, relay in self._relays.items() if now >= relay.until]:
            relay = self._relays.pop(seq)
            if relay.nack:
                self._send(relay.requester, Nack(relay.their_seq, self.me, self._take_updates()))
                self.counts["nacks_sent"] += 1

    def _reconnect(self) -> None:
        """Ping one member held failed, telling it so: where it lives (a healed cut, a false death), it
        refutes on its ack, and is alive here again at once: a datagram each few periods, not a view."""
        failed = [m for m in self.members.values() if m.state is State.DEAD]
        if not failed:
            return
        member = self.rng.choice(failed)
        self._seq += 1
        self.counts["reconnects"] += 1
        ping = Ping(
            self._seq, self.me, *self.address, member.id, self._take_updates(member.as_update(self.me))
        )
        self._send(member.address, ping)

    def _pinged(self, ping: Ping) -> None:
        if ping.target != self.me:
            self.counts["pings_not_ours"] += 1
            return
        held = self.members.get(ping.src)
        # a member that we hold failed is told so, so that it refutes and is not a ghost in our view
        hint = held.as_update(self.me) if held is not None and held.state is not State.ALIVE else None
        self._send((ping.host, ping.port), Ack(ping.seq, self.me, self._take_updates(hint)))

    def _acked(self, ack: Ack) -> None:
        probe = self._probe
        if probe is not None and ack.seq == probe.seq:
            self._probe = None
            self._raise_health(-1)
            self.counts["acks"] += 1
            return
        relay = self._relays.pop(ack.seq, None)
        if relay is not None:
            self._send(relay.requester, Ack(relay.their_seq, ack.src, self._take_updates()))
            return
        self.counts["acks_late"] += 1

    def _asked(self, now: float, request: PingReq) -> None:
        if request.target == self.me:
            self._send((request.host, request.port), Ack(request.seq, self.me, self._take_updates()))
            return
        if len(self._relays) >= RELAYS_MOST:
            self._relays.pop(next(iter(self._relays)))
            self.counts["relays_dropped"] += 1
        self._seq += 1
        # the nack must reach the requester before its period ends, or it counts against the requester's
        # own health: it waits period - probe timeout after asking, so a helper waits a share of that
        until = now + NACK_SHARE * (self.tuning.period_ms - self.tuning.probe_timeout_ms)
        self._relays[self._seq] = Relay((request.host, request.port), request.seq, request.nack, until)
        target = (request.target_host, request.target_port)
        self._send(target, Ping(self._seq, self.me, *self.address, request.target, self._take_updates()))
        self.counts["indirect_served"] += 1
