"""One scheduler's view of a worker: its own calls there, load reports, cached prefixes and failures."""

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum
from math import log

REPORT_LAG_MS = 400.0  # a report describes the load of about this long ago
REPORT_HALF_WEIGHT_MS = 1500.0  # age, beyond the lag, at which a report has half its weight
EJECTION_FAILURES, MIN_EJECTION_MS, MAX_EJECTION_MS = 2.0, 1000.0, 6000.0
MAX_PREFIX_SEGMENTS = 2048  # remembered of one worker
PACE_GAIN, MIN_LOG_PACE, MAX_LOG_PACE = 0.06, -0.7, 2.3

# workers run short prefills first: the rank of a prefill, 0 first, follows from its expected duration
RANK_MAX_PREFILL_MS = (0.0, 40.0, 80.0, 140.0, 260.0)  # longer prefills have the last rank
RANKS = len(RANK_MAX_PREFILL_MS) + 1
TYPICAL_PREFILL_TOKENS = (0.0, 1500.0, 3000.0, 5500.0, 10_000.0, 17_500.0)  # of one prefill of each rank
IN_PROGRESS_REMAINING_SHARE = 0.6  # average share that is left of a prefill in progress
IN_PROGRESS_PROBABILITY = 0.5  # that a prefill of a later rank is in progress although earlier ranks wait


def prefill_rank(prefill_ms):
    """The rank of a prefill by its duration."""
    return next((rank for rank, max_ms in enumerate(RANK_MAX_PREFILL_MS) if prefill_ms <= max_ms), RANKS - 1)


class ServingPhase(Enum):
    """What a worker does for a request; the model has a pace for each."""

    PREFILL = "prefill"
    DECODE = "decode"  # continues from the KV cache of a prefill worker
    DIRECT = "direct"  # prefill and decode at the same worker
    PLAIN = "plain"  # a service without model workers


@dataclass(slots=True)
class LoadReport:
    """The load that a worker reported for itself."""

    updated_at: float = float("-inf")
    active: int = 0
    queued: int = 0
    kv_used: float = 0.0
    kv_total: float = 0.0


@dataclass(slots=True)
class Ejection:
    """Outlier ejection: the failures of a worker, and until when it gets no requests for them."""

    failures: float = 0.0
    until: float = float("-inf")
    next_duration_ms: float = MIN_EJECTION_MS
    suspected: bool = False  # ejected only for its silence: the next bytes from it end the ejection


@dataclass(eq=False, slots=True)
class WorkerTrack:
    """One worker as one scheduler sees it."""

    id: str
    address: str
    zone: str
    phase: str
    slots: int
    usable: bool = True
    silent: bool = False  # to the control plane
    capacity_tokens: float = 0.0
    prefill_tokens: list = field(default_factory=lambda: [0.0] * RANKS)  # of own unfinished prefills, by rank
    peer_prefill_tokens: list = field(default_factory=lambda: [0.0] * RANKS)  # of peers' prefills, by rank
    peer_running: float = 0.0  # peers' unfinished calls
    # number of all other schedulers / of those that announce their work; 0: none does, and reports are used
    peer_scale: float = 0.0
    unfinished: int = 0  # own calls
    # own call without a first response -> when that is due
    response_due_at: OrderedDict = field(default_factory=OrderedDict)
    report: LoadReport = field(default_factory=LoadReport)
    prefixes: OrderedDict = field(default_factory=OrderedDict)  # cached segment id -> tokens, in LRU order
    prefix_tokens: float = 0.0
    ejection: Ejection = field(default_factory=Ejection)
    log_pace: dict = field(default_factory=dict)  # phase -> log of observed over forecast time
    last_received_at: float = float("-inf")  # when bytes of any response last came from it
    busy_since: float = float("-inf")  # since when it has had own calls without a break

    def cached_tokens(self, segments):
        """Tokens of the leading segments that were recently sent there."""
        total = 0.0
        for segment_id, tokens in segments:
            if segment_id not in self.prefixes:
                break
            total += tokens
        return total

    def add_prefix(self, segments):
        """Note that these segments are cached there now; evict the least recently used ones."""
        for segment_id, tokens in segments:
            if segment_id in self.prefixes:
                self.prefixes.move_to_end(segment_id)
            else:
                self.prefixes[segment_id] = tokens
                self.prefix_tokens += tokens
        while self.prefixes and self._has_too_many_prefixes():
            self.prefix_tokens -= self.prefixes.popitem(last=False)[1]

    def _has_too_many_prefixes(self):
        """Whether the segments exceed the worker's memory, or the number that is remembered."""
        too_many_tokens = self.prefix_tokens > max(self.capacity_tokens, 1.0)
        return too_many_tokens or len(self.prefixes) > MAX_PREFIX_SEGMENTS

    @property
    def unknown_peer_share(self):
        """Share of the other schedulers whose work is unknown; 1 if none announces its work."""
        return 1.0 - 1.0 / self.peer_scale if self.peer_scale else 1.0

    def other_requests(self, now):
        """Requests of other schedulers: as peers announced them, else from the last report by its age."""
        if self.peer_scale:
            return self.peer_running * self.peer_scale
        reported = self.report.active + self.report.queued
        weight = REPORT_HALF_WEIGHT_MS / (
            REPORT_HALF_WEIGHT_MS + max(now - self.report.updated_at - REPORT_LAG_MS, 0.0)
        )
        return max(reported - self.unfinished, 0.0) * weight

    @property
    def total_prefill_tokens(self):
        """Tokens of all own unfinished prefills."""
        return sum(self.prefill_tokens)

    def prefill_tokens_ahead(self, rank):
        """Tokens that the worker prefills before a new prefill of this rank."""
        pairs = zip(self.prefill_tokens, self.peer_prefill_tokens, strict=True)
        outstanding = [own + self.peer_scale * peers for own, peers in pairs]
        first, later = sum(outstanding[: rank + 1]), outstanding[rank + 1 :]
        in_progress = max(map(min, later, TYPICAL_PREFILL_TOKENS[rank + 1 :]), default=0.0)
        return first + IN_PROGRESS_REMAINING_SHARE * in_progress * (IN_PROGRESS_PROBABILITY if first else 1.0)

    def overdue_ms(self, now):
        """By how much the first response of the oldest call without one is late."""
        if not self.response_due_at:
            return 0.0
        return max(now - next(iter(self.response_due_at.values())), 0.0)

    def is_ejected(self, now):
        """Whether it gets no requests now because of failures or silence."""
        return self.ejection.until > now

    def is_unresponsive(self, now, silence_ms):
        """Whether it has own calls and has sent nothing on any of them for this long."""
        return self.unfinished > 0 and now - max(self.last_received_at, self.busy_since) >= silence_ms

    def record_received(self, now):
        """Bytes of a response have come from it: ends an ejection for silence."""
        self.last_received_at = now
        if self.ejection.suspected:
            self.ejection.suspected, self.ejection.until = False, now

    def suspect(self, now):
        """Eject it because it was silent on all calls; this is no failure, and its next bytes end it."""
        if not self.is_ejected(now):
            self.ejection.suspected, self.ejection.until = True, now + MIN_EJECTION_MS

    def record_failure(self, now, weight=1.0):
        """A call there has failed; several in a row eject it, each time for twice as long."""
        self.ejection.failures += weight
        if self.ejection.failures >= EJECTION_FAILURES and (
            self.ejection.suspected or not self.is_ejected(now)
        ):
            self.ejection.suspected = False
            self.ejection.until = now + self.ejection.next_duration_ms
            self.ejection.next_duration_ms = min(2 * self.ejection.next_duration_ms, MAX_EJECTION_MS)
            # the next failure after the ejection ejects it again at once
            self.ejection.failures = EJECTION_FAILURES / 2

    def record_success(self, now, phase, forecast_ms, elapsed_ms):
        """A call there has had its first response."""
        self.record_received(now)
        self.ejection.failures /= 2
        self.ejection.next_duration_ms = max(self.ejection.next_duration_ms / 2, MIN_EJECTION_MS)
        self.learn_pace(phase, forecast_ms, elapsed_ms)

    def learn_pace(self, phase, forecast_ms, elapsed_ms):
        """Adjust the pace by a call that took this long, or at least this long, in place of its forecast."""
        ratio = log(max(elapsed_ms, 1.0) / max(forecast_ms, 1.0))
        pace = self.log_pace.get(phase, 0.0) + PACE_GAIN * min(max(ratio, -1.5), 1.5)
        self.log_pace[phase] = min(max(pace, MIN_LOG_PACE), MAX_LOG_PACE)
