"""What one scheduler knows of a worker: its own unfinished work there, reports, prefixes sent, failures."""

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum
from math import log

LAG_MS = 400.0  # a report tells of about this long ago
REPORT_KEPT_MS = 1500.0  # age at which a report counts half
FAULTS, FIRST_REST_MS, LONGEST_REST_MS = 2.0, 1000.0, 6000.0
PACE_GAIN, PACE_LEAST, PACE_MOST = 0.06, -0.7, 2.3


RANK_READ_MS = (0.0, 40.0, 80.0, 140.0, 260.0)  # longest read of each rank; a longer one has the last
RANKS = len(RANK_READ_MS) + 1
TYPICAL_READ_TOKENS = (0.0, 1500.0, 3000.0, 5500.0, 10_000.0, 17_500.0)  # of one read of each rank
IN_PROGRESS_LEFT = 0.6  # part of a read that has begun which is still to come, on the mean
IN_PROGRESS_CHANCE = 0.5  # that a read of a later rank has begun although earlier ones wait


def rank_of(read_ms):
    """Rank of a read by its length, 0 first."""
    return next((rank for rank, longest in enumerate(RANK_READ_MS) if read_ms <= longest), RANKS - 1)


class Part(Enum):
    """The part that a worker plays for a request; the model has a pace for each."""

    PREFILL = "prefill"
    DECODE = "decode"  # with the prompt's memory handed over
    DIRECT = "direct"  # reads the prompt itself
    PLAIN = "plain"  # a service without model workers


@dataclass(slots=True)
class Report:
    """Load of a worker by its own word."""

    at: float = float("-inf")
    active: int = 0
    queued: int = 0
    kv_used: float = 0.0
    kv_total: float = 0.0


@dataclass(slots=True)
class Rest:
    """Failures of a worker, and until when it is spared for them."""

    faults: float = 0.0
    until: float = float("-inf")
    length_ms: float = FIRST_REST_MS
    suspected: bool = False  # spared for its silence alone: its next word ends that


@dataclass(eq=False, slots=True)
class WorkerTrack:
    """One worker as one scheduler sees it."""

    id: str
    address: str
    zone: str
    phase: str
    slots: int
    usable: bool = True
    silent: bool = False
    capacity_tokens: float = 0.0
    prefill_tokens: list = field(
        default_factory=lambda: [0.0] * RANKS
    )  # own prompt tokens to be read there, by rank
    peer_prefill_tokens: list = field(
        default_factory=lambda: [0.0] * RANKS
    )  # the same of schedulers that tell
    peer_running: float = 0.0  # unfinished calls of schedulers that tell
    peer_scale: float = 0.0  # schedulers for each that tells; 0: none tells, so that reports have to do
    unfinished: int = 0  # own calls there
    response_due_at: OrderedDict = field(
        default_factory=OrderedDict
    )  # own call without a first answer -> when it is due
    report: Report = field(default_factory=Report)
    prefixes: OrderedDict = field(default_factory=OrderedDict)  # part id -> tokens, least lately sent first
    prefix_tokens: float = 0.0
    rest: Rest = field(default_factory=Rest)
    pace: dict = field(default_factory=dict)  # part -> log of observed over forecast time
    heard_at: float = float("-inf")  # when it answered anything, or went on to
    busy_since: float = float("-inf")  # since when own calls have been open there without a break

    def matched(self, parts):
        """Tokens of the leading parts that were lately sent there."""
        total = 0.0
        for part_id, tokens in parts:
            if part_id not in self.prefixes:
                break
            total += tokens
        return total

    def remember(self, parts):
        """These parts are there now; those unused longest give way."""
        for part_id, tokens in parts:
            if part_id in self.prefixes:
                self.prefixes.move_to_end(part_id)
            else:
                self.prefixes[part_id] = tokens
                self.prefix_tokens += tokens
        while self.prefix_tokens > max(self.capacity_tokens, 1.0) and self.prefixes:
            self.prefix_tokens -= self.prefixes.popitem(last=False)[1]

    @property
    def unknown_peer_share(self):
        """Share of the other schedulers whose work is not known; 1 where none tells."""
        return 1.0 - 1.0 / self.peer_scale if self.peer_scale else 1.0

    def others(self, now):
        """Requests of other schedulers there: by their own word, else by the last report and its age."""
        if self.peer_scale:
            return self.peer_running * self.peer_scale
        reported = self.report.active + self.report.queued
        trust = REPORT_KEPT_MS / (REPORT_KEPT_MS + max(now - self.report.at - LAG_MS, 0.0))
        return max(reported - self.unfinished, 0.0) * trust

    @property
    def reading(self):
        """Own prompt tokens to be read there."""
        return sum(self.prefill_tokens)

    def ahead(self, rank):
        """Prompt tokens that are read there before a new read of this rank."""
        pairs = zip(self.prefill_tokens, self.peer_prefill_tokens, strict=True)
        outstanding = [own + self.peer_scale * peers for own, peers in pairs]
        first, later = sum(outstanding[: rank + 1]), outstanding[rank + 1 :]
        in_progress = max(map(min, later, TYPICAL_READ_TOKENS[rank + 1 :]), default=0.0)
        return first + IN_PROGRESS_LEFT * in_progress * (IN_PROGRESS_CHANCE if first else 1.0)

    def overdue(self, now):
        """By how much the oldest call there that has no answer yet is late."""
        if not self.response_due_at:
            return 0.0
        return max(now - next(iter(self.response_due_at.values())), 0.0)

    def resting(self, now):
        """Whether it is spared now, for its failures or its silence."""
        return self.rest.until > now

    def rests(self, now, quiet_ms):
        """Whether it has own calls and has said nothing on any of them for so long."""
        return self.unfinished > 0 and now - max(self.heard_at, self.busy_since) >= quiet_ms

    def heard(self, now):
        """Bytes of an answer have come from it."""
        self.heard_at = now
        if self.rest.suspected:
            self.rest.suspected, self.rest.until = False, now

    def suspect(self, now):
        """It has been silent on all calls while another went on; no failure, and its next word refutes it."""
        if not self.resting(now):
            self.rest.suspected, self.rest.until = True, now + FIRST_REST_MS

    def record_failure(self, now, weight=1.0):
        """A call there has failed; several in a row let it rest, twice as long each time."""
        self.rest.faults += weight
        if self.rest.faults >= FAULTS and (self.rest.suspected or not self.resting(now)):
            self.rest.suspected = False
            self.rest.until = now + self.rest.length_ms
            self.rest.length_ms = min(2 * self.rest.length_ms, LONGEST_REST_MS)
            self.rest.faults = FAULTS / 2  # the next failure after its rest counts at once

    def served(self, now, part, forecast, elapsed):
        """A call there has gone well."""
        self.heard(now)
        self.rest.faults /= 2
        self.rest.length_ms = max(self.rest.length_ms / 2, FIRST_REST_MS)
        self.took(part, forecast, elapsed)

    def took(self, part, forecast, elapsed):
        """A call there took so long, or at least so long, where it was forecast otherwise."""
        ratio = log(max(elapsed, 1.0) / max(forecast, 1.0))
        pace = self.pace.get(part, 0.0) + PACE_GAIN * min(max(ratio, -1.5), 1.5)
        self.pace[part] = min(max(pace, PACE_LEAST), PACE_MOST)
