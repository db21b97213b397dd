"""Probes: which member is pinged, indirect probes for others, and what follows from a missing ack."""

import hashlib

from ..model import Ack, MemberUpdate, Nack, Ping, PingReq, State
from .members import Member, Probe, Relay
from .updates import UpdateHandling

MAX_RELAYS = 256  # concurrent indirect probes for others; beyond that the oldest is dropped
NACK_SHARE = 0.8  # of the rest of the requester's period, after which a helper sends its nack


class Probing(UpdateHandling):
    """Direct and indirect pings, in an order that all members share."""

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
        buddy = target.as_update(self.own_id) if target.state is State.SUSPECT else None
        self._send(
            target.address, Ping(self._seq, self.own_id, *self.address, target.id, self._take_updates(buddy))
        )

    def _next_target(self, now: float) -> Member | None:
        """Shuffled round robin, with the same shuffle at every member, shifted by one each period.

        The members that are alive or suspect, this one among them, form a ring.  Its order is derived from
        the number of the round, which lasts n - 1 periods.  In period k the member at place p probes the one
        at p + 1 + k mod (n - 1).  Within a round each member probes every other once.  Where the views agree,
        each member is probed by exactly one other in each period.  So a failure is detected within about one
        period; with independent shuffles it takes e/(e - 1) periods on average, with a long tail.
        """
        k = int(now // self.tuning.period_ms)
        ring, places = self._ring(k)
        n = len(ring)
        if n < 2:
            return None
        place = places[self.own_id]
        for step in range(n - 1):
            member = self.members.get(ring[(place + 1 + (k + step) % (n - 1)) % n])
            if member is not None and member.state <= State.SUSPECT:
                return member
        return None

    def _ring(self, k: int) -> tuple[list[str], dict[str, int]]:
        size = len(self.alive()) + 1 if self._ring_size is None else self._ring_size
        key = (k // max(1, size - 1), self._ring_version)
        if self._ring_key != key:
            salt = key[0].to_bytes(8, "big")
            ids = [self.own_id, *self.alive()]
            ids.sort(key=lambda one: hashlib.blake2b(one.encode(), digest_size=8, salt=salt[:8]).digest())
            self._ring_cache = (ids, {one: place for place, one in enumerate(ids)})
            self._ring_key, self._ring_size = key, len(ids)
        return self._ring_cache

    def _send_indirect(self, now: float, probe: Probe) -> None:
        probe.indirect_sent = True
        target = self.members.get(probe.target)
        if target is None or target.state > State.SUSPECT:
            return
        helpers = [m for m in self.alive() if m != probe.target and self.members[m].state is State.ALIVE]
        chosen = self.rng.sample(helpers, min(len(helpers), self.tuning.indirect))
        for helper in chosen:
            request = PingReq(
                probe.seq, self.own_id, *self.address, target.id, *target.address, True, self._take_updates()
            )  # fmt: skip
            self._send(self.members[helper].address, request)
        probe.expected_nacks = len(chosen)
        self.counts["indirect_probes"] += len(chosen)

    def _probe_failed(self, now: float, probe: Probe) -> None:
        self._probe = None
        self.counts["probes_failed"] += 1
        if probe.expected_nacks:
            # missing nacks mean that the fault may be on our side
            self._raise_health(max(0, probe.expected_nacks - probe.nacks))
        else:
            self._raise_health(1)
        target = self.members.get(probe.target)
        if target is not None and target.state <= State.SUSPECT:
            # for a member that is already suspect this is a confirmation, which shortens its timeout
            self.counts["suspicions"] += 1
            update = MemberUpdate(target.id, *target.address, target.incarnation, State.SUSPECT, self.own_id)
            self._apply_suspect(now, update)

    def _expire_relays(self, now: float) -> None:
        for seq in [seq for seq, relay in self._relays.items() if now >= relay.until]:
            relay = self._relays.pop(seq)
            if relay.nack:
                self._send(relay.requester, Nack(relay.requester_seq, self.own_id, self._take_updates()))
                self.counts["nacks_sent"] += 1

    def _reconnect(self) -> None:
        """Ping one dead member with the update that declares it dead.

        If it is in fact alive (after a healed partition, or declared dead falsely) its ack carries the
        refutation, and it is alive here again at once.  This costs one datagram each few periods, not a view.
        """
        failed = [m for m in self.members.values() if m.state is State.DEAD]
        if not failed:
            return
        member = self.rng.choice(failed)
        self._seq += 1
        self.counts["reconnects"] += 1
        ping = Ping(
            self._seq,
            self.own_id,
            *self.address,
            member.id,
            self._take_updates(member.as_update(self.own_id)),
        )
        self._send(member.address, ping)

    def _handle_ping(self, ping: Ping) -> None:
        if ping.target != self.own_id:
            self.counts["pings_not_ours"] += 1
            return
        held = self.members.get(ping.src)
        # tells a member that is not alive in our view so, so that it can refute
        hint = held.as_update(self.own_id) if held is not None and held.state is not State.ALIVE else None
        self._send((ping.host, ping.port), Ack(ping.seq, self.own_id, self._take_updates(hint)))

    def _handle_ack(self, ack: Ack) -> None:
        probe = self._probe
        if probe is not None and ack.seq == probe.seq:
            self._probe = None
            self._raise_health(-1)
            self.counts["acks"] += 1
            return
        relay = self._relays.pop(ack.seq, None)
        if relay is not None:
            self._send(relay.requester, Ack(relay.requester_seq, ack.src, self._take_updates()))
            return
        self.counts["acks_late"] += 1

    def _handle_ping_req(self, now: float, request: PingReq) -> None:
        if request.target == self.own_id:
            self._send((request.host, request.port), Ack(request.seq, self.own_id, self._take_updates()))
            return
        if len(self._relays) >= MAX_RELAYS:
            self._relays.pop(next(iter(self._relays)))
            self.counts["relays_dropped"] += 1
        self._seq += 1
        # a nack that arrives after the requester's period counts against the requester's own health; the
        # requester waits period - probe timeout after its request, so a helper waits a share of that
        until = now + NACK_SHARE * (self.tuning.period_ms - self.tuning.probe_timeout_ms)
        self._relays[self._seq] = Relay((request.host, request.port), request.seq, request.nack, until)
        target = (request.target_host, request.target_port)
        self._send(target, Ping(self._seq, self.own_id, *self.address, request.target, self._take_updates()))
        self.counts["indirect_served"] += 1
