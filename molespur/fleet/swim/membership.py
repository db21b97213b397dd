"""The entry point of the membership: events in, actions out."""

from ..model import Ack, Exchange, Message, Nack, Ping, PingReq, State
from .exchange import Exchanging
from .probing import Probing
from .records import Leave, PushFailed, PushSucceeded, Received, Seeds, Start, Tick

PURGE_EVERY_MS = 1_000.0
RECONNECT_PERIODS = 2.0  # interval of pings to a dead member, in probe periods


class Membership(Probing, Exchanging):
    """One member's view of the fleet, and what it sends to maintain it.

    `handle(now, event) -> list of actions`; `answer_push(now, exchange) -> (bytes, actions)` for a push-pull
    that another member opened; `view()` returns the view.  `counts` are counters of what happened, by name.
    """

    # -- The two entries -----------------------------------------------------------------------

    def handle(self, now: float, event) -> list:
        """Take one event; return the actions that follow, those of expired timers included."""
        self._out = []
        self._postpone_after_stall(now)
        if isinstance(event, Received):
            self._receive(now, event.message)
        elif isinstance(event, Start):
            self._start(now, event)
        elif isinstance(event, PushSucceeded):
            self._merge(now, event.exchange)
        elif isinstance(event, PushFailed):
            self.counts["push_failed"] += 1
        elif isinstance(event, Seeds):
            self._seeds = tuple(s for s in event.seeds if s != self.address)
        elif isinstance(event, Leave):
            self._leave(now)
        if self.started and isinstance(event, (Tick, Start)):
            # only a tick runs the timers: the transport reads all pending datagrams before it ticks
            self._run_timers(now)
        return self._out

    def answer_push(self, now: float, exchange: Exchange) -> tuple[bytes, list]:
        """Another member pushed its view: merge it, and reply with ours after the merge."""
        self._out = []
        self._postpone_after_stall(now)
        self.counts["pushes_taken"] += 1
        self._merge(now, exchange)
        return self._encode_state(exchange.join), self._out

    # -- Time ----------------------------------------------------------------------------------

    def _postpone_after_stall(self, now: float) -> None:
        """Lifeguard: a long gap since the last call means that we were stalled, not that others were silent.

        Pending timeouts are postponed by the gap, so that acks that arrived meanwhile are read first.
        """
        if self._last_call_at is not None and now - self._last_call_at > self.tuning.stall_threshold_ms:
            gap = now - self._last_call_at
            self.counts["held"] += 1
            self._raise_health(1)
            if self._probe is not None:
                self._probe.timeout_at += gap
                self._probe.ends_at += gap
            for member_id in self._suspects:
                suspicion = self.members[member_id].suspicion
                if suspicion is not None:
                    suspicion.start += gap
            for relay in self._relays.values():
                relay.until += gap
        self._last_call_at = now if self._last_call_at is None else max(self._last_call_at, now)

    def _run_timers(self, now: float) -> None:
        tuning = self.tuning
        if self._probe is not None:
            probe = self._probe
            if not probe.indirect_sent and now >= probe.timeout_at:
                self._send_indirect(now, probe)
            if now >= probe.ends_at:
                self._probe_failed(now, probe)
        if self._probe is None and now >= self._next_probe and not self.leaving:
            self._start_probe(now)
        if self._relays:
            self._expire_relays(now)
        if self._suspects:
            for member_id in [m for m in self._suspects if self._suspicion_expired(m, now)]:
                member = self.members[member_id]
                self._declare(now, member, State.DEAD, member.incarnation, self.own_id)
        if now >= self._next_gossip:
            self._next_gossip = now + tuning.gossip_ms
            if self._queue:
                self._gossip()
        if now >= self._next_push and not self.leaving:
            interval_ms = tuning.push_pull_interval_ms(len(self.members) + 1)
            self._next_push = now + interval_ms * self.rng.uniform(0.75, 1.25)
            self._push_pull()
        if self._join_at is not None and now >= self._join_at and not self.joined:
            self._join(now)
        if now >= self._next_purge:
            self._next_purge = now + PURGE_EVERY_MS
            self._purge(now)
        if now >= self._next_reconnect and not self.leaving:
            self._next_reconnect = now + RECONNECT_PERIODS * tuning.period_ms * self.rng.uniform(0.75, 1.25)
            self._reconnect()

    # -- Messages ------------------------------------------------------------------------------

    def _receive(self, now: float, message: Message) -> None:
        if not self.started:
            return
        for update in message.updates:
            self._apply(now, update)
        if isinstance(message, Ping):
            self._handle_ping(message)
        elif isinstance(message, Ack):
            self._handle_ack(message)
        elif isinstance(message, PingReq):
            self._handle_ping_req(now, message)
        elif isinstance(message, Nack):
            if self._probe is not None and message.seq == self._probe.seq:
                self._probe.nacks += 1
            self.counts["nacks_taken"] += 1
