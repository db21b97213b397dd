"""The dispatcher's decisions.  Its settings, events and actions are in molespur/interface.py.

Every ordinary job goes the same way: forecast its finish on each candidate worker, compare with its aim,
split the workers into those that meet and those that miss it, and draw one, most headroom first."""

from math import exp, log, sqrt
from operator import itemgetter
from random import Random
from statistics import fmean
from zlib import crc32

from . import interface as io
from .discovery_retry import DiscoveryRetry
from .interface import Effect, Lifecycle, Outcome, UpdateMode
from .load_report import LoadReport
from .policy.model import FinishTimeModel
from .policy.placement import draw_candidate, prefer_warm, select_tier
from .records import DEFAULT_SLOTS, KEYS_KEPT, Attempt, ClassState, Job, Worker
from .timer_queue import TimerQueue
from .token_bucket import Quotas

# -- Tunables ------------------------------------------------------------------------------------
CROSSING = 15.0  # headroom that a zone crossing costs in the draw: times its price, times the allowed time
SUBSET = 24  # workers of the own subset where a request's CPU, at one for each microsecond, sets no limit
HOME_MATCH = 0.9, 0.5  # key match of a worker that is one of the key's homes, or would be the next
HOT = 4.0  # further homes of a key for each fair share of one worker that it makes up of all jobs
REFIT_MS, REFIT_JOBS = 2000.0, 30  # least time and jobs between refits, each as dear as thirty forecasts
CLIP = (2.0, 3.0)  # most forecasts a run counts for, without and with a size hint: tails say little
PACE_GAIN = 0.04  # weight of one finish in a worker's own pace: a hint errs by more than workers differ
PACE_KEPT, HEAT_KEPT = 0.8, 0.9  # shares of a worker's pace and of a key's count kept at each refit
MARGIN_UP, MARGIN_DOWN, MARGIN_MOST = 0.1, 0.005, 3.0  # for a late job, one in time, at all; mean runs
ROOM_LEAST, ROOM_REGAINED = 0.5, 0.02  # queue room of a full worker at least; given back for each job served
RHO_GAIN = CLASS_GAIN = 0.05  # weight of a report in the usual load, of a job in its class's share in time
JOB_REST = 0.05  # mean runs a job waits after its second full answer; doubles with each further one
ALIKE, FEW = 1 / 5, 8  # jobs that an own one beyond the mean stands for, for each dispatcher over a few
LAG_KEPT_MS = 2000.0  # time after which a wait that a job met there counts 1/e
FAULTS = 3.0  # failures at which a worker is rested, each finished job halving their count
MUTE, HEARD_MS = 2, 300.0  # probes in a row and time without a word after which a worker has fallen silent
EJECT_MS, MAX_STRIKES = 2000.0, 4  # first rest of a failing worker, which doubles up to so many strikes
HANGS = 4.0  # mean runs by which an overdue job is no sign of a crowd: it, or its worker, hangs
PANIC_SHARE = 0.5  # with fewer healthy workers than this share, ejection is ignored
HELD_COST_MS = 1.0  # least time between goes through the held queue for each job in it
HOLD_SHARE = 0.1  # held jobs are tried again after this share of a mean run, and when a slot of ours frees
ANSWER_MARGIN_MS = 40.0  # a held job is answered this long before its client gives up
COLD_LOAD = 1.3  # a cold worker is sent this share of what it can do at least: more would only wait
COLD_BURST = 0.5  # but no more than this share of what the rule allows
COLD_LUMPS = 1.4  # share of what it can do at least, for jobs larger than a dispatcher's share of the window
PROBE_SPEND = 0.003  # score points that probes may cost for each request
PROBE_MS = (300.0, 2000.0)  # least time between probes of one worker, most between any two
SHARE_JOBS = 4.0  # jobs of a tenant that chance may bring at once to one of many dispatchers
ASK_FIRST, SAID_MS = 6, 1000.0  # workers asked before a job is sent; what they say is up to about so old


class Dispatcher:
    """Decides for one dispatcher; equal settings, seed and events give equal actions."""

    def __init__(self, settings, seed):
        self.rng, self.classes, self.quotas = Random(seed), {}, Quotas()
        self.asking = DiscoveryRetry(self.rng)
        self._retuned(io.SettingsChanged(settings))
        self.homes, self.workers, self.live, self.pools, self.jobs, self.held = {}, {}, [], {}, {}, []
        self.timers, self.model = TimerQueue(), FinishTimeModel()
        self.turn = sum(c.median for c in self.classes.values()) / len(self.classes)
        self.rho = [0.3, 0.0]  # usual load of a slot by others: on warm workers, and on cold ones
        # how often each key was asked for lately; needed kind -> (mean runs of headroom, worth of late jobs)
        self.heat, self.heat_all, self.margins = {}, 0.0, {}
        self.arrivals, self.born, self.served_at, self.reported = 0, 0.0, 0.0, False
        self.shared = io.SharedState()
        self.routes = {
            io.Submitted: self._submitted, io.AttemptEnded: self._ended, io.Progressed: self._progressed,
            io.TimerFired: self.timers.fired, io.FleetUpdate: self._news, io.ClientGone: self._client_gone,
            io.ProbeEnded: self._probe_ended, io.StreamBegun: self._begun, io.Started: self._started,
            io.SettingsChanged: self._retuned, io.SharedState: self._shared,
        }  # fmt: skip

    def _retuned(self, event):
        """Go by these settings, and keep what was learnt of the classes and tenants that stay."""
        s, old = event.settings, self.classes
        low = {c: c.priority == min(other.priority for other in s.classes) for c in s.classes}
        self.classes = {c.name: old.get(c.name, ClassState(c, low[c])).under(c, low[c]) for c in s.classes}
        self.s, self.subset = s, max(int(s.cpu_per_request_us), 2) if s.cpu_per_request_us else SUBSET
        self.many = max(s.balancers - FEW, 0)  # over a few
        self.asking.set(s.balancers, s.must_ask_in_ms)
        rates = {t.name: t.quota_per_s / s.balancers for t in s.tenants if t.quota_per_s}
        self.quotas.set(rates, SHARE_JOBS if self.many else 1.0)  # guards against a share too thin for a job

    def handle(self, now, event):
        """Take one event at time now (ms) and return the actions it calls for, in order."""
        self.now, self.timers.now, self.actions = now, now, []
        self.routes[type(event)](event)
        if (delay := self.timers.wake_up_in()) is not None:
            self.actions.append(io.SetTimer(delay, "due"))
        return self.actions

    # -- Fleet view and health -------------------------------------------------------------------

    def _started(self, _event):
        self.born = self.now
        self.timers.after(REFIT_MS * (0.2 + 0.3 * self.rng.random()), self._refit)
        if self.s.subscribes:
            self._ask(0)
        if self.s.may_probe:
            self.timers.after(PROBE_MS[0] * self.rng.random(), self._probe_next)

    def _shared(self, event):
        """What dispatchers share: cold budgets, workers bad for all, retries, probes, jobs to turn away."""
        self.shared = event
        for w in self.live:
            if w.id in event.bad_workers:
                self._strike(w)
            w.part, asked, w.part_asked = event.cold_shares.get(w.id), w.part_asked, 0.0
            if w.part is not None:
                _, may, sent = self._cold(w)
                self.actions.append(io.ColdUsage(w.id, sent / may, asked))

    def _ask(self, turn):
        """Subscribe.  Each call is answered, and only its failure calls for the next."""
        if turn == self.asking.failures:  # guards against askings that double at each error
            self.actions.append(io.Watch())

    def _news(self, event):
        if event.mode is UpdateMode.ERROR:
            # guards against a fleet that asks in step, or so fast that discovery answers no call in time
            self.timers.after(self.asking.failed(), self._ask, self.asking.failures)
            return
        if event.mode is not UpdateMode.PERSISTED:
            self.asking.succeeded()
        for worker in () if event.mode is UpdateMode.PARTIAL else self.workers.values():
            worker.list_ok = False
        for entry in event.entries:
            worker = self.workers.get(entry.worker)
            if worker is None:
                worker = self.workers[entry.worker] = Worker(entry, self.now, self.rng.random())
            elif entry.born_ms > worker.born:
                worker.forget(entry, self.now)
            worker.power, worker.list_ok = entry.power, entry.lifecycle is Lifecycle.IN_SERVICE
        self.live = [w for w in self.workers.values() if w.list_ok]
        others = max(len({w.zone for w in self.live}) - 1, 1)
        self.live.sort(key=lambda w: w.rank / others if w.zone == self.s.zone else w.rank)
        self.pools, self.homes = {}, {}
        self._rebase()
        self._serve_held()

    def _rebase(self):
        """Set each worker's prior run time from its listed power, pooled by kind, and its slope."""
        kinds, sized = {}, self.s.power_is_size
        for w in self.live:
            kinds.setdefault(w.kind, []).append(w)
        known = [w.slots for w in self.live if w.slots_known] or [DEFAULT_SLOTS]
        for group in kinds.values():
            mean = fmean([w.slots for w in group if w.slots_known] or known)
            for w in group:
                w.slots = w.slots if w.slots_known else mean
        fleet = sum(w.power for w in self.live) / max(sum(w.slots for w in self.live), 1.0)
        for group in kinds.values():
            speed = sum(w.power for w in group) / sum(w.slots for w in group)
            for w in group:
                w.base = fleet / max(speed, 1e-9) if sized else 1.0
                self._set_slope(w)

    def _set_slope(self, w):
        w.slope = w.base * self.model.pace(w.kind) * exp(w.pace)

    def _warmth(self, w):
        """The share of its capacity that a worker has at least."""
        return self.s.warmth(self.now - w.born) if w.born else 1.0

    def _report(self, w, fields):
        """Take in a load report: others' slots in use there, as of about LAG_MS ago."""
        report = LoadReport.read(fields)
        if not report.tells_load:
            return
        if report.slots is not None:
            w.learn_slots(report.slots)
        used = report.used(w.slots)
        w.lag *= report.free_slots is None or used >= w.slots  # nobody waits where a slot and memory are free
        w.others, w.seen = max(0.0, used - w.recent(self.now)), self.now
        cold, self.reported = self._warmth(w) < 1, True
        # guards against own few jobs times the number of dispatchers standing for all: mostly noise
        self.rho[cold] += RHO_GAIN * (min(w.others / w.slots, 2.0) - self.rho[cold])
        if report.failing:
            self._strike(w)

    def _rest(self, w):
        """Let a full worker be until a slot may be free, lest jobs burn their attempts on it."""
        w.full_until = self.now + self.turn * w.slope / w.slots * (0.5 + self.rng.random()) * 2**w.fulls

    def _strike(self, w):
        """Rest a failing worker; guards against the black hole that a fast failure makes."""
        if w.ejected_until <= self.now:
            w.strikes = min(w.strikes + 1, MAX_STRIKES)
            w.ejected_until = self.now + EJECT_MS * 2 ** (w.strikes - 1) * (0.8 + 0.4 * self.rng.random())
            w.probation = True

    def ejected_workers(self, now):
        """The listed workers that get nothing new now; none where too many would be."""
        resting = {w.id for w in self.live if w.ejected_until > now}
        return resting if len(resting) <= (1 - PANIC_SHARE) * len(self.live) else set()

    # -- Forecast --------------------------------------------------------------------------------

    def _wait(self, w, ask):
        """Prior of the waiting time, and the slots by which the job would be over what the worker has."""
        known = self.turn / (self.turn + self.now - w.seen)  # a report counts half after a mean run
        # a cold worker runs a few jobs as fast as a warm one, but has fewer slots to run them on
        warmth, slots = self._warmth(w), w.slots * self._warmth(w)
        usual = w.slots * self.rho[warmth < 1]
        # guards against all dispatchers picking one key's home: own jobs beyond the mean are a sign of theirs
        mean = (len(self.jobs) - len(self.held)) / max(len(self.live), 1)
        usual += ALIKE * self.many * max(w.own - mean, 0.0)
        over = w.own + usual + (w.others - usual) * known + ask - slots
        ignorance = 0.16 * usual * (1 - known) + 0.02
        wait = self.turn * w.slope / slots * 0.5 * (over + sqrt(over * over + 4 * ignorance))
        # guards against cut-off, slow or flooded workers, which look idle or at most just full
        overdue = self.now - next(iter(w.unended)).due if w.unended else 0.0
        if not self.many and overdue < (1.5 * self.s.progress_ms or 4 * self.turn):
            overdue = 0.0  # a few see all that waits in own jobs and reports, but for silence
        lag = w.lag * exp((w.lag_at - self.now) / LAG_KEPT_MS)
        return max(wait, lag, overdue), over

    def _match(self, w, key):
        """How recently this key was sent there, from 1 (last) to 0 (not among those kept)."""
        sent = 1 - list(reversed(w.keys)).index(key) / KEYS_KEPT if key in w.keys else 0.0
        return max(sent, self._homes(key).get(w.id, 0.0))

    def _homes(self, key):
        """Homes of a key, by a hash that all dispatchers share; the more it is asked for, the more homes."""
        homes = self.homes.get(key)
        if homes is None:
            order = sorted(self.live, key=lambda v: crc32(f"{v.id}/{key}".encode()))
            many = 1 + int(HOT * len(order) * self.heat.get(key, 0.0) / max(self.heat_all, 20.0))
            homes = self.homes[key] = {v.id: HOME_MATCH[i == many] for i, v in enumerate(order[: many + 1])}
        return homes

    def _refit(self):
        """Fit the model anew, and let what was learnt apart from it fade."""
        for w in self.live:
            w.pace *= PACE_KEPT
        self.model.refit(0.1 * self.turn, dict.fromkeys(w.kind for w in self.live))
        self.heat = {key: heat * HEAT_KEPT for key, heat in self.heat.items() if heat > 0.1}
        self.heat_all, self.homes = self.heat_all * HEAT_KEPT, {}
        for cold in () if self.reported else (False, True):  # apart: cold workers get less than warm ones
            alike = [w for w in self.live if (self._warmth(w) < 1) is cold]
            own, slots = sum(w.recent(self.now) for w in alike), sum(w.slots for w in alike)
            self.rho[cold] = min((self.s.balancers - 1) * own / max(slots, 1.0), 1.5)
        self._rebase()
        jobs_take = REFIT_JOBS * (self.now - self.born) / max(self.arrivals, 1)
        gap = max(REFIT_MS, min(jobs_take, 4 * REFIT_MS))
        self.timers.after(gap * (0.8 + 0.4 * self.rng.random()), self._refit)

    # -- Choose: filter, tiers, draw -------------------------------------------------------------

    def _pool(self, job):
        """Workers the job may go to: of the kind it needs, and once it may have run, of its key's group."""
        ran = job.may_have_run()
        tied = job.state.cls.dedup_group_of(ran[0].worker) if ran else None
        pool = self.pools.get((job.bound, tied))
        if pool is None:
            pool = [w for w in self.live if job.bound in (None, w.kind) and tied in (None, w.zone, w.cell)]
            self.pools[job.bound, tied] = pool
        return pool

    def _choose(self, job, pool):
        """The design's choice among some workers: (worker, sample, meets, forecast), or None without any."""
        now, run, ask = self.now, job.run, job.ask
        # not resting, and on probation with one more job of ours there at most
        healthy = [w for w in pool if w.ejected_until <= now and (not w.probation or w.own <= 1)]
        if len(healthy) < PANIC_SHARE * len(pool):
            healthy = pool  # guards against ejecting the whole fleet for a fault that is not its own
        unsafe, left = job.state.cls.effect is not Effect.SAFE, job.aim_at - now
        jobs = self.jobs.values() if self.many else ()  # guards against crowds that no report shows
        waits = [max(now - a.due, 0.0) for j in jobs for a in j.attempts if a.outcome is None]
        overdue = [o for o in waits if o < HANGS * self.turn]  # one that hangs is no crowd
        slip = 2 * sum(overdue) / max(len(overdue), 1)  # a wait under way is half over, on the mean
        found, near_free, margins = [], False, {}
        if job.sheddable and any(m for m, _ in self.margins.values()):
            worth = self._density(job, self._favour())
            levels = self.margins.items()
            margins = {k: m * self.turn * max(0.0, 1 - worth / than) for k, (m, than) in levels if m and than}
        for w in healthy:
            full = w.full_until > now or (w.slots_known and ask > w.slots)
            if full or w in job.tried or (unsafe and w.probation):  # harmless jobs try out what failed lately
                continue
            if w.born and now - w.born < self.s.cold_ms and not self._cold_allows(w, job):
                continue
            wait, over = self._wait(w, ask)
            if over > w.room:
                continue  # guards against sends to workers whose queue is known to take no more
            match = 1.0 if job.key is None else self._match(w, job.key)
            miss = (1 - match) * self.turn
            time = self.model.forecast(run * w.slope, wait, miss) + slip
            time += margins.get(w.kind, 0.0) + margins.get(None, 0.0)
            near_free = near_free or (over <= 0 and w.zone == self.s.zone)
            found.append((time, w, wait, match, miss))
        if not found:
            return None
        if job.key is not None:  # warm workers lose their claim if a mean run slower than the best
            found = prefer_warm(self.rng, found, self.turn, itemgetter(0), itemgetter(3))
        tier, meets = select_tier(self.rng, found, left, itemgetter(0), not unsafe)
        crossing = CROSSING * self.s.cross_zone_price * job.allowed * near_free
        costs = [f[0] + crossing * (f[1].zone != self.s.zone) for f in tier]
        time, w, wait, match, miss = draw_candidate(self.rng, tier, costs)
        prior_run = run * w.slope / self.model.pace(w.kind)
        return w, (w.kind, prior_run, wait, miss, min(w.own / w.slots, 2.0), match), meets, time

    def _favour(self):
        """The class served worst, and how much more its worth counts by the goal."""
        worst = min(self.classes.values(), key=lambda c: c.in_time)
        offered = sum(c.offered for c in self.classes.values())
        return worst, 1 + self.s.goal_worst_class / self.s.goal_whole * offered / max(worst.offered, 1e-9)

    def _density(self, job, favour):
        """Worth of a job for each unit of work."""
        size = 1.0 if self.s.worth_by_work else max(job.state.mean * job.ask, 1.0)
        return job.worth / size * (favour[1] if job.state is favour[0] else 1.0)

    # -- Admission -------------------------------------------------------------------------------

    def _submitted(self, event):
        state = self.classes.get(event.job_class)
        if state is None:
            raise ValueError(f"job_class: unknown class {event.job_class!r}")
        self.arrivals += 1
        job = Job(event, state, self.s.max_attempts, self.now)
        if job.hinted:
            state.learn(job.hint)
        state.offered += job.worth * (job.run if self.s.worth_by_work else 1.0)
        self.turn += 0.02 * (state.mean * job.ask - self.turn)
        if not self.quotas.take(event.tenant, self.now):
            job.sheddable, job.worth = True, job.worth * self.s.over_share_worth
        self.jobs[job.id] = job
        self.heat[job.key] = self.heat.get(job.key, 0.0) + 1
        self.heat_all += 1
        if job.deadline - self.now <= ANSWER_MARGIN_MS or self.shared.sheds(event):
            self._give_up(job)
        elif self._asks_first(job) or not self._try_send(job):
            self._hold(job)

    def _asks_first(self, job):
        """Whether it waits for what a few workers say, which one of many dispatchers meets too seldom."""
        few = [w for w in self._pool(job)[: self.subset] if self.s.may_probe and w.ejected_until <= self.now]
        wait = HOLD_SHARE * min(self.turn, job.aim_at - self.now, job.deadline - self.now)
        if few and self.many and self.shared.probe_workers is None and min(wait, job.allowed - SAID_MS) > 0:
            job.asked = {w: self._probe(w) for w in self.rng.sample(few, min(ASK_FIRST, len(few)))}
            job.not_before += wait
            self.timers.after(wait, self._try_send, job)
        return bool(job.asked)

    def _try_send(self, job):
        """Send the job if the design finds a worker for it now; tell whether it needs holding no more."""
        if self.now < job.not_before or not self._may_send(job):
            return False
        pool = self._pool(job)
        # guards against meeting each worker too seldom to know it: those that have said, or the lowest ranks
        few = [w for w in pool if job.asked.get(w) and not job.attempts] or pool[: self.subset]
        if job.key is not None and len(pool) > len(few):
            # guards against homes that most dispatchers never look at, so that a key is fetched everywhere
            few += [w for w in pool if w.id in self._homes(job.key) and w not in few]
        choice = self._choose(job, few)
        if (choice is None or not choice[2]) and len(pool) > len(few):
            # guards against a subset that is full or failing while others have room
            choice = self._choose(job, self.rng.sample(pool, min(self.subset, len(pool)))) or choice
        if choice is None:
            return False
        w, sample, meets, time = choice
        go = meets or not (job.sheddable or job.attempts)
        if not go:
            if self.now + min(v.slope for v in few) * job.run <= job.aim_at:
                return False  # an idle worker would still be in time: wait for one
            if not job.state.cls.late_worth:
                self._give_up(job)  # lateness earns nothing, so the slots go to jobs that can be in time
                return True
            # late already, and worth the same until the deadline: it waits for room as if it had just come
            go = time <= job.allowed and self.now + time < job.deadline
        if go:
            self._send(job, w, sample)
        return go

    def _count(self, job, late, waited):
        """Note by how much a job was late, for its class's share and the margin others must leave."""
        state, in_time = job.state, late <= 0
        state.in_time += CLASS_GAIN * (in_time - state.in_time)
        if not job.sheddable:
            # guards against sheddable jobs crowding out the rest, not against misjudged jobs that had no wait
            density = self._density(job, self._favour())
            level, worth = self.margins.get(job.bound, (0.0, density))
            level += -MARGIN_DOWN * (1 + 6 * level) if in_time else MARGIN_UP * (late <= waited)
            worth += 0.0 if in_time else 0.1 * (density - worth)
            self.margins[job.bound] = min(max(level, 0.0), MARGIN_MOST), worth

    def _hold(self, job):
        self.held.append(job)
        self.timers.after(max(job.deadline - self.now - ANSWER_MARGIN_MS, 1.0), self._held_out, job)
        if len(self.held) == 1:
            self.timers.after(HOLD_SHARE * self.turn, self._hold_tick)

    def _held_out(self, job):
        if job.open and not job.out:
            self._give_up(job)  # rule 1: whatever is held is answered while its client still waits

    def _hold_tick(self):
        self._serve_held()
        if self.held:
            self.timers.after(HOLD_SHARE * self.turn, self._hold_tick)

    def _serve_held(self):
        """Try held jobs again: those still in time first, and of these the most worth first."""
        now = self.now
        # guards against the cost of a long queue: the longer it is, the seldomer it is gone through
        if not self.held or now - self.served_at < HELD_COST_MS * len(self.held):
            return
        self.served_at, favour = now, self._favour()
        self.held = [j for j in self.held if j.open and not j.out]
        self.held.sort(key=lambda j: (j.aim_at < now, -self._density(j, favour), j.id))
        waiting, stuck = [], set()
        for job in self.held:
            like = (job.state.cls.name, job.ask, job.key, job.aim_at < now)  # what fails once fails for all
            if like in stuck or not self._try_send(job):
                waiting.append(job)
                if now >= job.not_before:
                    stuck.add(like)
        self.held = [j for j in waiting if j.open]

    def _give_up(self, job):
        """Final answer: a refusal where no attempt can have run or repeats are harmless, else a failure."""
        harm = job.may_have_run() and not job.state.cls.repeats_are_harmless  # that a repeat may do
        self.actions.append(io.Fail(job.id) if harm else io.Refuse(job.id, self.s.pause_ms))
        job.state.in_time -= CLASS_GAIN * job.state.in_time
        self._close(job)

    def _close(self, job):
        """Nothing more is owed: call off what is still out, and forget the job once it is all in."""
        job.open = False
        for attempt in job.attempts:
            self._cancel(attempt)
        if not job.out:
            self.jobs.pop(job.id, None)

    # -- Attempts --------------------------------------------------------------------------------

    def _may_send(self, job):
        """Whether the rules allow a further attempt of this job at all."""
        late = job.deadline - self.now <= ANSWER_MARGIN_MS
        spent = self.shared.retries_left < 1 and job.is_tried()  # all retries of the fleet are bounded
        if late or spent or not job.open or job.out or len(job.attempts) >= job.most:
            return False
        # guards against a repeat that the workers have forgotten
        return self.now < job.state.cls.repeat_deadline(job.may_have_run()) - ANSWER_MARGIN_MS

    def _send(self, job, w, sample):
        due = self.now + job.run * w.slope + self.turn  # a missing key may take as long as a run
        begin_by = job.state.cls.repeat_deadline(job.may_have_run()) - ANSWER_MARGIN_MS
        attempt = Attempt(job, w, sample, self.now, due)
        w.unended[attempt] = None
        self.shared.retries_left -= job.is_tried()
        job.attempts.append(attempt)
        job.out += 1
        w.heard = w.heard if w.own > 0 else self.now
        if w.fulls:
            self._rest(w)  # one at a time while it is full
        w.count(job.ask, self.now)
        if job.key is not None:
            w.keys = dict.fromkeys([*(key for key in w.keys if key != job.key), job.key][-KEYS_KEPT:])
        if w.born and self.now - w.born < self.s.cold_ms:
            w.budget.add(self.now, self._work(job))
            w.lump_from, w.lump_part = self.now, 1.0
        self.actions.append(io.Send(job.id, w.id, 0.0, begin_by))

    def _still_out(self, event):
        """The attempt that the event tells of, unless it is unknown or has ended."""
        job = self.jobs.get(event.request)
        known = job.attempts[event.attempt : event.attempt + 1] if job else ()
        return known[0] if known and known[0].outcome is None else None

    def _progressed(self, event):
        if (attempt := self._still_out(event)) is None:
            return
        w = attempt.worker
        w.heard = self.now
        if attempt.began is None:
            attempt.began = self.now if event.share is None else attempt.sent
            # a start is a fresh report: it had room for this job, and none to spare if the job waited
            room = max(w.slots - w.own, 0.0)
            if w.others > room or w.seen < attempt.sent:
                w.others, w.seen = min(max(w.others, 0.0), room), self.now

    def _cancel(self, attempt):
        if self.s.may_cancel and not attempt.cancelled and attempt.outcome is None:
            attempt.cancelled = True
            self.actions.append(io.Cancel(attempt.job.id, attempt.number))

    def _ended(self, event):
        if (attempt := self._still_out(event)) is None:
            return
        outcome = attempt.outcome = event.outcome
        job, w, now = attempt.job, attempt.worker, self.now
        job.out -= 1
        w.unended.pop(attempt, None)
        if attempt.sent >= w.born:
            w.count(-attempt.ask, now)
        self._learn(attempt, outcome, event.elapsed_ms, now)
        self._report(w, event.report or {})
        job.open = job.open and not event.answered
        if job.open:
            self._after_failure(job, attempt, outcome)
        if not job.out and not job.open:
            self.jobs.pop(job.id, None)
        attempt.job = None  # guards against cycles, which only a full collection of garbage would free
        if outcome is Outcome.OK:
            self._serve_held()  # a slot is free

    def _learn(self, attempt, outcome, elapsed, now):
        """Let one outcome speak for its worker."""
        w, job = attempt.worker, attempt.job
        if outcome is Outcome.OK:
            w.heard, w.faults = now, w.faults / 2
            w.lag, w.lag_at = max(now - attempt.due, 0.0) if self.many else 0.0, now
            w.room += ROOM_REGAINED
            w.full_until, w.fulls = 0.0, max(w.fulls - 1, 0)  # one of its slots has just come free
            w.probation = w.probation and attempt.sent <= w.ejected_until
            w.strikes = max(0, w.strikes - 0.25 * (not w.probation))
            ran = now - attempt.began if attempt.began is not None else elapsed
            longer = 0.0 if job.hinted else ran / w.base - job.run
            self._count(job, now - job.aim_at - job.state.cls.aim_stretch * longer, attempt.sample[2])
            most = CLIP[job.hinted] * sum(attempt.sample[1 : 4 if attempt.began is None else 2])
            self.model.train(*attempt.sample, elapsed - ran + min(ran, most))
            waited = 0.0 if attempt.began is not None else sum(attempt.sample[2:4])
            if job.hinted:
                job.state.weigh(job.hint, max(ran - waited, 0.1 * ran) / w.slope)
            else:
                job.state.learn(ran / w.base)
            ratio = log(max(ran, 1.0) / max(job.run * w.slope + waited, 1.0))
            w.pace = min(max(w.pace + PACE_GAIN * min(max(ratio, -1.5), 1.5), -0.7), 2.5)
            self._set_slope(w)
        elif outcome is Outcome.FULL:
            w.room = max(min(w.room, self._wait(w, attempt.ask)[1]), ROOM_LEAST)
            w.others, w.seen = max(w.others, w.slots - w.own + w.room), now
            self._rest(w)
            w.heard, w.fulls = now, min(w.fulls + 1, 3)
        elif outcome in (Outcome.ERROR, Outcome.RESET, Outcome.CONNECT_FAILED, Outcome.TIMEOUT):
            if outcome is not Outcome.TIMEOUT or w.heard <= attempt.sent:  # never heard of again
                # guards against resting workers for single breaks, as lossy networks have them
                w.faults += FAULTS if outcome is Outcome.TIMEOUT else 1.0
                if w.faults >= FAULTS:
                    self._strike(w)
            self.model.train(*attempt.sample, max(elapsed, sum(attempt.sample[1:4])))

    def _after_failure(self, job, attempt, outcome):
        """An attempt ended without an answer: try again where the class allows, or end the job."""
        if outcome is Outcome.FULL:
            # guards against spending every attempt within a few milliseconds of one crowded moment
            job.not_before = self.now + JOB_REST * self.turn * (2 ** (len(job.attempts) - 1) - 1)
        elif attempt.worker not in job.tried:
            tried = (*job.tried, attempt.worker)
            job.tried = tried if len(tried) < len(self._pool(job)) else ()
        if not self._may_send(job):
            self._give_up(job)
        elif not self._try_send(job) and job.open:
            self._hold(job)

    def _begun(self, event):
        if job := self.jobs.get(event.request):
            job.open = False  # the client owns it now: neither cancelled nor answered again

    def _client_gone(self, event):
        if job := self.jobs.get(event.request):
            self._close(job)

    # -- Cold budget -----------------------------------------------------------------------------

    def _work(self, job):
        """Core time that a send is counted at: at least its hint and its class's mean, for hints err."""
        return max(job.run, job.hint or 0.0, job.state.mean) * job.ask

    def _cold(self, w):
        """Work in a window: what a cold worker can do at least, may be sent by all, and was sent by us."""
        able = self._warmth(w) * w.slots / (w.base * self.model.pace(w.kind)) * self.s.cold_window_ms
        may = max(min(COLD_BURST * self.s.cold_multiple, COLD_LOAD) * able, 1e-9)
        return able, may, w.budget.since(self.now - self.s.cold_window_ms)

    def _cold_allows(self, w, job):
        """Rule 4: this dispatcher's part of what a cold worker may be sent within the window."""
        part = 1 / self.s.balancers if w.part is None else w.part
        (able, may, sent), work = self._cold(w), self._work(job)
        w.part_asked = max(w.part_asked, (sent + work) / may)
        able, limit = able * part, may * part
        if work <= limit or self.turn <= limit:
            return sent + work <= limit
        # guards against cold workers that get nothing where a share is below a job: then one at a time,
        # the first after a part of its gap drawn once, lest a large job's wait lets a small one through
        gap = work * self.s.cold_window_ms / max(COLD_LUMPS * able, 1e-9)
        if w.lump_from is None:
            w.lump_from, w.lump_part = self.now, self.rng.random()
        return self.now >= w.lump_from + w.lump_part * gap

    # -- Probes and timers -----------------------------------------------------------------------

    def _probe(self, w):
        w.probed = self.now
        self.actions.append(io.Probe(w.id))

    def _probe_next(self):
        """Probe the worker longest unprobed, as often as the price is worth."""
        mine = self.shared.probe_workers
        few = self.live[: self.subset] if mine is None else [w for w in self.live if w.id in mine]
        if few:
            self._probe(min(few, key=lambda v: v.probed))
        priced = (self.now - self.born) / max(self.arrivals, 1) * self.s.probe_price / PROBE_SPEND
        gap = max(min(priced, PROBE_MS[1]), PROBE_MS[0] / max(len(few), 1))
        self.timers.after(gap * (0.8 + 0.4 * self.rng.random()), self._probe_next)

    def _probe_ended(self, event):
        w = self.workers.get(event.worker)
        if w and event.outcome is Outcome.OK:
            w.heard, w.mute = self.now, 0
            self._report(w, event.report or {})
        elif w and event.outcome in (Outcome.CONNECT_FAILED, Outcome.TIMEOUT):
            w.mute += self.now - event.elapsed_ms >= w.seen  # two out at once are one silence
            w.others, w.seen = max(w.others, w.slots - w.own + 1), self.now
            if w.mute >= MUTE and self.now - w.heard > HEARD_MS:
                self._strike(w)  # fallen silent: its jobs go elsewhere while they can be in time
                for attempt in w.unended:
                    if attempt.job.open and attempt.sent >= w.heard - HEARD_MS:
                        self._cancel(attempt)
        for job in [j for j in self.held if w in j.asked]:
            job.asked[w] = event.outcome is Outcome.OK
            if None not in job.asked.values():
                job.not_before = self.now
                self._try_send(job)
