"""Which workers serve a request: a prefill and a decode worker, a decode worker alone, or a plain one.  Pure.

Each way is forecast as a whole by the finish-time model, from the workers' reports brought up to date with
own work; the design's filter, tiers and draw choose among the ways.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from math import exp
from random import Random
from zlib import crc32

from .model import FinishTimeModel
from .placement import draw_candidate, prefer_warm, select_tier
from .tracking import Part, WorkerTrack, rank_of

PREFILL_TOKENS_PER_MS = 50.0  # prior; the model learns the true pace
DIRECT_TOKENS_PER_MS = 25.0
FIRST_TOKEN_MS = 20.0
PLAIN_RUN_MS = 40.0  # until requests of the route have been served
HANDOVER_COST_MS = 20.0  # what moving a prompt's memory counts for in the draw
CROSSING_COST_MS = 12.0  # what a call into another zone counts for in the draw
ZONE_FACTOR = 2.0  # memory moves this much slower between zones
WARM_PENALTY_MS = 120.0
DIRECT_LONGEST_MS = (
    80.0  # a longer read holds up the answers that a decode worker gives: only without readers
)
DIRECT_COST = 1.0  # what a decode worker's reading counts for in the draw, for each ms of it
SUBSET = 8  # workers of a part that are looked at for one request
MATCH_TOKENS = 3000.0  # a shared prefix shorter than this counts as if it were so long: it is soon read
HOME_MATCH = 0.9  # prefix match of the worker that is the prefix's home: others may have sent it there
HOME_READ = 0.85  # share of a shared prefix that a home is expected to have
REREAD_COST_MS = 0.02  # what each shared token that is read away from its home counts for in the draw
REFIT_MS = 2000.0
DUE_FORECASTS, DUE_SLACK_MS = 1.5, 100.0  # a first answer is late after so many forecasts and this
USABLE_SILENT_MS = 2500.0  # a worker silent to the control plane is used if own calls went well this lately
PANIC_SHARE = 0.5
RUN_GAIN = 0.05


@dataclass(frozen=True, slots=True)
class EngineShape:
    """What the operator tells of a service's model workers."""

    token_bytes: float
    bandwidth_mbps: float
    capacity_tokens: float


@dataclass(slots=True)
class Demand:
    """What a request asks for.  Times are ms on the caller's clock."""

    route: str
    aim_at: float
    deadline_at: float
    engine: EngineShape | None = None
    tokens: float = 0.0
    parts: tuple[tuple[str, float], ...] = ()
    repeatable: bool = False
    lowest_priority: bool = False

    @property
    def shared(self):
        """The parts that other requests may have too: all but the last."""
        return self.parts[:-1]


@dataclass(slots=True)
class Step:
    """One call in a way: the terms of its forecast."""

    worker: WorkerTrack
    part: Part
    run: float
    wait: float
    use: float
    match: float
    forecast: float
    read: float = 0.0
    rank: int = 0  # place in a worker's order, 0 first: hand-overs, then short reads before long ones
    reread: float = 0.0  # shared tokens of `read` that another worker has probably read


@dataclass(slots=True)
class Way:
    """How a request could be served."""

    steps: tuple[Step, ...]
    forecast: float
    match: float
    cost: float

    @property
    def prefill(self):
        """The step that reads the prompt apart, if there is one."""
        return self.steps[0] if len(self.steps) > 1 else None

    @property
    def run(self):
        """The step whose answer goes to the client."""
        return self.steps[-1]


@dataclass(slots=True)
class Choice:
    """A way, and whether its forecast meets the aim."""

    way: Way
    meets: bool


class PairPolicy:
    """Decides for one scheduler; equal settings, seed and events give equal choices."""

    def __init__(self, zone: str, random: Random):
        self.zone, self.random = zone, random
        self.model = FinishTimeModel(Part)
        self.plain_run: dict[str, float] = {}
        self.refit_at = 0.0

    # -- Choose --------------------------------------------------------------------------------

    def choose(
        self, now: float, workers: Iterable[WorkerTrack], demand: Demand, avoid: Sequence[str] = ()
    ) -> Choice | None:
        """The design's choice among the usable workers; None without any."""
        usable = self._usable(now, workers, avoid)
        if demand.engine is None:
            ways = [self._alone(now, w, Part.PLAIN, demand) for w in usable]
        else:
            ways = self._engine_ways(now, usable, demand)
        if not ways:
            return None
        left = demand.aim_at - now
        if len(demand.parts) > 1:
            ways = prefer_warm(self.random, ways, WARM_PENALTY_MS, _forecast, lambda way: way.match)
        chosen, meets = select_tier(self.random, ways, left, _forecast, demand.repeatable)
        return Choice(draw_candidate(self.random, chosen, [way.cost for way in chosen]), meets)

    def choose_decode(
        self,
        now: float,
        workers: Iterable[WorkerTrack],
        demand: Demand,
        source: WorkerTrack,
        avoid: Sequence[str],
    ) -> Step | None:
        """The worker that takes the memory over from the one that has read the prompt."""
        usable = [w for w in self._usable(now, workers, avoid) if w.phase != "prefill"]
        steps = [self._handover(now, source, w, demand) for w in usable]
        if not steps:
            return None
        costs = [s.forecast + self._crossing(s.worker) + _move_crossing(source, s.worker) for s in steps]
        return draw_candidate(self.random, steps, costs)

    def _usable(self, now, workers, avoid):
        known = [
            w
            for w in workers
            if w.usable and w.id not in avoid and (not w.silent or now - w.heard_at < USABLE_SILENT_MS)
        ]
        healthy = [w for w in known if not w.resting(now)]
        return healthy if len(healthy) >= PANIC_SHARE * len(known) else known

    def _engine_ways(self, now, usable, demand):
        readers = self._subset([w for w in usable if w.phase == "prefill"], demand)
        runners = self._subset([w for w in usable if w.phase != "prefill"], demand)
        ways = [self._alone(now, w, Part.DIRECT, demand) for w in runners]
        if readers:
            short = [way for way in ways if way.run.read / DIRECT_TOKENS_PER_MS <= DIRECT_LONGEST_MS]
            ways = short if runners else ways
        home = min(readers, key=lambda w: _home_rank(w, demand)) if readers and demand.shared else None
        for reader in readers:
            read = self._read_step(now, reader, Part.PREFILL, demand, home=reader is home)
            for runner in runners:
                move = self._handover(now, reader, runner, demand)
                cost = read.forecast + move.forecast + HANDOVER_COST_MS
                cost += self._crossing(reader) + self._crossing(runner)
                cost += _move_crossing(reader, runner) + REREAD_COST_MS * read.reread
                ways.append(Way((read, move), read.forecast + move.forecast, read.match, cost))
        return ways

    def _subset(self, workers, demand):
        """A few of many: the homes of the prefix, and some at random."""
        if len(workers) <= SUBSET:
            return workers
        homes = sorted(workers, key=lambda w: _home_rank(w, demand))[: SUBSET // 4]
        rest = [w for w in workers if w not in homes]
        return homes + self.random.sample(rest, SUBSET - len(homes))

    def _crossing(self, worker):
        return CROSSING_COST_MS * (worker.zone != self.zone)

    # -- Forecast ------------------------------------------------------------------------------

    def _alone(self, now, worker, part, demand):
        if part is Part.PLAIN:
            step = self._plain_step(now, worker, demand)
        else:
            step = self._read_step(now, worker, part, demand)
        cost = step.forecast + self._crossing(worker)
        if part is Part.DIRECT:
            cost += REREAD_COST_MS * step.reread
            cost += DIRECT_COST * (step.read + worker.ahead(step.rank)) / DIRECT_TOKENS_PER_MS
        return Way((step,), step.forecast, step.match, cost)

    def _read_step(self, now, worker, part, demand, home=False):
        matched = worker.matched(demand.parts)
        shared = sum(tokens for _, tokens in demand.shared)
        missing = max(shared - worker.matched(demand.shared), 0.0)
        match = 1.0 - missing / max(shared, MATCH_TOKENS)
        if home:
            match, matched = (
                max(match, HOME_MATCH),
                max(matched, HOME_READ * shared * worker.unknown_peer_share),
            )
        unread = max(demand.tokens - matched, 0.0)
        reread = 0.0 if home else max(shared - matched, 0.0)
        pace = PREFILL_TOKENS_PER_MS if part is Part.PREFILL else DIRECT_TOKENS_PER_MS
        run = unread / pace + FIRST_TOKEN_MS
        rank = rank_of(unread / pace)
        wait = worker.ahead(rank) / pace
        others = worker.others(now)
        if part is Part.DIRECT:
            wait += self._slot_wait(worker, others)
        elif not worker.peer_scale:
            wait += others * demand.tokens / PREFILL_TOKENS_PER_MS / 2
        step = self._step(now, worker, part, run, wait, match, unread)
        step.reread, step.rank = reread, rank
        return step

    def _handover(self, now, source, worker, demand):
        matched = worker.matched(demand.parts)
        bits = max(demand.tokens - matched, 0.0) * demand.engine.token_bytes * 8
        factor = 1.0 if source.zone == worker.zone else ZONE_FACTOR
        move = bits / max(demand.engine.bandwidth_mbps * 1000.0, 1.0) * factor
        wait = self._slot_wait(worker, worker.others(now)) + worker.ahead(0) / DIRECT_TOKENS_PER_MS / 4
        return self._step(now, worker, Part.DECODE, move + FIRST_TOKEN_MS, wait, 1.0, 0.0)

    @staticmethod
    def _slot_wait(worker, others):
        """Waiting for a place in the batch; more running requests make each token slower."""
        over = worker.unfinished + others - worker.slots
        load = (worker.unfinished + others) / max(worker.slots, 1)
        return 10.0 * load + max(over, 0.0) * 5.0

    def _plain_step(self, now, worker, demand):
        run = self.plain_run.get(demand.route, PLAIN_RUN_MS)
        load = worker.unfinished + worker.others(now)
        over = load + 1 - worker.slots
        wait = max(over, 0.0) * run / max(worker.slots, 1) + 0.3 * run * min(load / max(worker.slots, 1), 1.0)
        return self._step(now, worker, Part.PLAIN, run, wait, 1.0, 0.0)

    def _step(self, now, worker, part, run, wait, match, read):
        wait = max(wait, worker.overdue(now))
        paced = run * exp(worker.pace.get(part, 0.0))
        use = (worker.unfinished + worker.others(now)) / max(worker.slots, 1)
        return Step(
            worker,
            part,
            run,
            wait,
            min(use, 2.0),
            match,
            self.model.forecast(self.model.pace(part) * paced, wait, 0.0),
            read,
        )

    # -- Own work ------------------------------------------------------------------------------

    def begin(self, now: float, step: Step, demand: Demand, key) -> None:
        """A call has been sent to a worker."""
        worker = step.worker
        if not worker.unfinished:
            worker.busy_since = now
        worker.unfinished += 1
        worker.awaited[key] = now + DUE_FORECASTS * step.forecast + DUE_SLACK_MS
        worker.reads[step.rank] += step.read
        if step.part is not Part.PLAIN:
            worker.remember(demand.parts)

    def first_answer(self, now: float, step: Step, demand: Demand, key, elapsed: float) -> None:
        """The prompt has been read, or the first event or whole answer has come, after `elapsed` ms."""
        step.worker.awaited.pop(key, None)
        self._read_done(step)
        step.worker.served(now, step.part, step.forecast, elapsed)
        self.model.train(
            step.part, step.run, step.wait, 0.0, step.use, step.match, min(elapsed, 10 * step.forecast)
        )
        if step.part is Part.PLAIN:
            run = self.plain_run.setdefault(demand.route, PLAIN_RUN_MS)
            self.plain_run[demand.route] = run + RUN_GAIN * (max(elapsed - step.wait, 1.0) - run)
        if now >= self.refit_at:
            self.refit_at = now + REFIT_MS
            self.model.refit(FIRST_TOKEN_MS, Part)

    def overtaken(self, now: float, step: Step, begun: float, last_heard: float, answered: bool) -> None:
        """A call is about to be ended because another was faster.  This is no failure of its worker.

        `last_heard`: when something of the call came last, or it began; `answered`: whether an answer has
        begun.  A worker silent on all calls since then is spared until its next word; of another one it is
        known that the call would have taken at least this long.
        """
        if step.worker.heard_at <= last_heard:
            step.worker.suspect(now)
        elif not answered and now - begun > step.forecast:
            step.worker.took(step.part, step.forecast, now - begun)

    def ended(self, now: float, step: Step, key, failed: bool = False, elapsed: float = 0.0) -> None:
        """A call is over, one way or another."""
        worker = step.worker
        worker.unfinished -= 1
        worker.awaited.pop(key, None)
        self._read_done(step)
        if failed:
            worker.failed(now)
            self.model.train(
                step.part, step.run, step.wait, 0.0, step.use, step.match, max(elapsed, step.forecast)
            )

    @staticmethod
    def _read_done(step):
        reads = step.worker.reads
        reads[step.rank] = max(reads[step.rank] - step.read, 0.0)
        step.read = 0.0


def _move_crossing(reader, runner):
    """What the draw counts for a move of memory between zones (ms): it is slower and dearer."""
    return HANDOVER_COST_MS * (reader.zone != runner.zone)


def _forecast(way):
    return way.forecast


def _home_rank(worker, demand):
    """Position of a worker among the homes of a request's shared prefix: alike at every scheduler."""
    key = demand.shared[-1][0] if demand.shared else demand.route
    return crc32(f"{worker.id}/{key}".encode())
