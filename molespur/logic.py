"""The dispatcher's decisions.  Its settings, events and actions are in molespur/interface.py.

For each ordinary job: forecast its finish time on each candidate worker, compare that with its aim, split the
workers into those that meet the aim and those that miss it, and draw one, favouring most headroom."""

from math import exp, log, sqrt
from operator import itemgetter
from random import Random
from statistics import fmean
from zlib import crc32

from . import interface
from .discovery_retry import DiscoveryRetry
from .interface import Effect, Lifecycle, Outcome, UpdateMode
from .load_report import LoadReport
from .policy.model import FinishTimeModel
from .policy.placement import draw_candidate, prefer_warm, select_tier
from .records import DEFAULT_SLOTS, MAX_KEYS, Attempt, ClassState, Job, Worker
from .timer_queue import TimerQueue
from .token_bucket import Quotas

# -- Tunables: a "run" is the mean run time of a job, a "gain" the weight of one observation -----
ZONE_CROSSING_FACTOR = 15.0  # draw cost of a call to another zone, times its price and the allowed time
SUBSET_SIZE = 24  # workers in the own subset; with cpu_per_request_us, one for each microsecond
PREFERRED_MATCH, NEXT_MATCH = 0.9, 0.5  # key match of a preferred worker, and of the next in order
KEY_SPREAD = 4.0  # further preferred workers of a key for each worker's fair share of all jobs
MIN_REFIT_INTERVAL_MS, MIN_REFIT_JOBS = 2000.0, 30  # between refits, each of which costs thirty forecasts
MAX_RUN_FORECASTS, MAX_HINTED_RUN_FORECASTS = 2.0, 3.0  # cap on a run in training: outliers say little
PACE_GAIN = 0.04  # for a worker's own pace: a hint errs by more than workers differ
PACE_DECAY, KEY_DECAY = 0.8, 0.9  # factors applied at each refit
MARGIN_RISE, MARGIN_FALL, MAX_MARGIN = 0.1, 0.005, 3.0  # in runs: for a late job, for one in time, in total
MIN_QUEUE_ROOM, QUEUE_ROOM_RISE = 0.5, 0.02  # slots beyond its own: min, and regained for each job
LOAD_GAIN = IN_TIME_GAIN = 0.05  # for the load by other dispatchers, and a class's share in time
FULL_BACKOFF_RUNS = 0.05  # delay of a job after its second FULL outcome; doubles with each further one
PEER_JOBS, SMALL_FLEET = 1 / 5, 8  # jobs of a dispatcher beyond a small fleet for each own one above the mean
LATENESS_DECAY_MS = 2000.0  # time after which the lateness of a job counts 1/e for its worker
EJECTION_FAILURES = 3.0  # failures that eject a worker; each finished job halves their count
SILENT_PROBES, MIN_SILENCE_MS = 2, 300.0  # failed probes in a row and time without contact, both to eject
EJECT_MS, MAX_EJECTION_COUNT = 2000.0, 4  # first ejection; it doubles with each further one that counts
HUNG_RUNS = 4.0  # a job overdue by more indicates no burst: the job, or its worker, hangs
PANIC_THRESHOLD = 0.5  # with a smaller share of healthy workers, ejections are ignored
HELD_SCAN_MS_PER_JOB = 1.0  # min interval between scans of the held queue for each job in it
HELD_RETRY_RUNS = 0.1  # interval of scans of the held queue, besides one whenever a job has been served
RESPONSE_MARGIN_MS = 40.0  # a held job gets its final response this long before its client gives up
COLD_LOAD = 1.3  # a cold worker is sent this share of its guaranteed capacity: more would only wait there
COLD_BUDGET_SHARE = 0.5  # but at most this share of cold_multiple, which rule 4 allows
COLD_LARGE_JOB_LOAD = 1.4  # like COLD_LOAD, for jobs larger than a dispatcher's share of the window
PROBE_COST = 0.003  # score points that probes may cost for each request
WORKER_PROBE_INTERVAL_MS, MAX_PROBE_INTERVAL_MS = 300.0, 2000.0  # min for one worker, max between any two
QUOTA_BURST_JOBS = 4.0  # min burst at one of many: its share may be below a job, and jobs cluster by chance
PROBES_PER_JOB, REPORT_AGE_MS = 6, 1000.0  # workers probed before a job is sent; max age of a report, about


class Dispatcher:
    """Decides for one dispatcher; equal settings, seed and events give equal actions."""

    def __init__(self, settings, seed):
        self.rng, self.classes, self.quotas = Random(seed), {}, Quotas()
        self.watch_retry = DiscoveryRetry(self.rng)
        self._on_settings_changed(interface.SettingsChanged(settings))
        self.preferred, self.workers, self.live, self.pools, self.jobs, self.held = {}, {}, [], {}, {}, []
        # preferred: key -> {worker id: match}; live: in service, own subset first; pools: by (kind, group)
        self.timers, self.model = TimerQueue(), FinishTimeModel()
        self.mean_run = sum(c.median for c in self.classes.values()) / len(self.classes)
        self.others_load = [0.3, 0.0]  # usual load of a slot by other dispatchers: on warm, on cold workers
        # recent jobs by key; needed kind -> (headroom for cheaper jobs to leave, in runs; worth of late jobs)
        self.key_jobs, self.key_total, self.margins = {}, 0.0, {}
        self.arrivals, self.started_at, self.held_scanned_at, self.has_reports = 0, 0.0, 0.0, False
        self.shared = interface.SharedStateUpdate()
        self.handlers = {
            interface.Submitted: self._on_submitted, interface.AttemptEnded: self._on_attempt_ended,
            interface.Progressed: self._on_progressed, interface.TimerFired: self.timers.on_timer,
            interface.FleetUpdate: self._on_fleet_update, interface.ClientGone: self._on_client_gone,
            interface.ProbeEnded: self._on_probe_ended, interface.StreamBegun: self._on_stream_begun,
            interface.Started: self._on_started, interface.SettingsChanged: self._on_settings_changed,
            interface.SharedStateUpdate: self._on_shared_state,
        }  # fmt: skip

    def _on_settings_changed(self, event):
        """Apply these settings; what was learned of the classes and tenants that remain is kept."""
        s, old = event.settings, self.classes
        low = {c: c.priority == min(other.priority for other in s.classes) for c in s.classes}
        self.classes = {c.name: old.get(c.name, ClassState(c, low[c])).updated(c, low[c]) for c in s.classes}
        self.settings = s
        self.subset_size = max(int(s.cpu_per_request_us), 2) if s.cpu_per_request_us else SUBSET_SIZE
        self.extra_dispatchers = max(s.balancers - SMALL_FLEET, 0)
        self.watch_retry.configure(s.balancers, s.must_ask_in_ms)
        rates = {t.name: t.quota_per_s / s.balancers for t in s.tenants if t.quota_per_s}
        self.quotas.configure(rates, QUOTA_BURST_JOBS if self.extra_dispatchers else 1.0)

    def handle(self, now, event):
        """Take one event at time now (ms) and return the actions it calls for, in order."""
        self.now, self.timers.now, self.actions = now, now, []
        self.handlers[type(event)](event)
        if (delay := self.timers.next_delay_ms()) is not None:
            self.actions.append(interface.SetTimer(delay, "due"))
        return self.actions

    def _on_started(self, _event):
        self.started_at = self.now
        self.timers.after(MIN_REFIT_INTERVAL_MS * (0.2 + 0.3 * self.rng.random()), self._refit)
        if self.settings.subscribes:
            self._subscribe(0)
        if self.settings.may_probe:
            self.timers.after(WORKER_PROBE_INTERVAL_MS * self.rng.random(), self._probe_next)

    def _on_shared_state(self, event):
        """Take in the state that dispatchers share, and report the use of each shared cold budget."""
        self.shared = event
        for w in self.live:
            if w.id in event.bad_workers:
                self._eject(w)
            w.cold_share, requested, w.cold_requested = event.cold_shares.get(w.id), w.cold_requested, 0.0
            if w.cold_share is not None:
                _, limit, sent = self._cold_budget(w)
                self.actions.append(interface.ColdUsage(w.id, sent / limit, requested))

    def _subscribe(self, failures):
        """Watch discovery.  Each call gets a reply, and only its failure causes the next call."""
        if failures == self.watch_retry.failures:  # guards against calls that double at each error
            self.actions.append(interface.Watch())

    def _on_fleet_update(self, event):
        if event.mode is UpdateMode.ERROR:
            # guards against dispatchers that call in step, or so often that discovery answers no call in time
            self.timers.after(self.watch_retry.record_failure(), self._subscribe, self.watch_retry.failures)
            return
        if event.mode is not UpdateMode.PERSISTED:
            self.watch_retry.record_success()
        for worker in () if event.mode is UpdateMode.PARTIAL else self.workers.values():
            worker.in_service = False
        for entry in event.entries:
            worker = self.workers.get(entry.worker)
            if worker is None:
                worker = self.workers[entry.worker] = Worker(entry, self.now, self.rng.random())
            elif entry.born_ms > worker.started_at:
                worker.reset(entry, self.now)
            worker.power, worker.in_service = entry.power, entry.lifecycle is Lifecycle.IN_SERVICE
        self.live = [w for w in self.workers.values() if w.in_service]
        others = max(len({w.zone for w in self.live}) - 1, 1)
        self.live.sort(key=lambda w: w.rank / others if w.zone == self.settings.zone else w.rank)
        self.pools, self.preferred = {}, {}
        self._update_slopes()
        self._retry_held()

    def _update_slopes(self):
        """Set each worker's prior run time from its listed power, pooled by kind, and its slope."""
        kinds, sized = {}, self.settings.power_is_size
        for worker in self.live:
            kinds.setdefault(worker.kind, []).append(worker)
        known = [w.slots for w in self.live if w.slots_known] or [DEFAULT_SLOTS]
        for group in kinds.values():
            mean = fmean([w.slots for w in group if w.slots_known] or known)
            for worker in group:
                worker.slots = worker.slots if worker.slots_known else mean
        fleet = sum(w.power for w in self.live) / max(sum(w.slots for w in self.live), 1.0)
        for group in kinds.values():
            speed = sum(w.power for w in group) / sum(w.slots for w in group)
            for worker in group:
                worker.prior_slope = fleet / max(speed, 1e-9) if sized else 1.0
                self._set_slope(worker)

    def _set_slope(self, worker):
        worker.slope = worker.prior_slope * self.model.pace(worker.kind) * exp(worker.pace)

    def _warmth(self, worker):
        """The share of its capacity that a worker has at least."""
        return self.settings.warmth(self.now - worker.started_at) if worker.started_at else 1.0

    def _apply_report(self, w, fields):
        """Take in a load report: slots used by other dispatchers as of about REPORT_LAG_MS ago."""
        report = LoadReport.from_fields(fields)
        if not report.has_load:
            return
        if report.slots is not None:
            w.learn_slots(report.slots)
        used = report.used(w.slots)
        w.lateness *= report.free_slots is None or used >= w.slots  # 0 where a slot and memory are free
        w.other_slots, w.measured_at = max(0.0, used - w.reported_own(self.now)), self.now
        cold, self.has_reports = self._warmth(w) < 1, True
        # guards against an estimate from own jobs and the number of dispatchers: mostly noise for few jobs
        self.others_load[cold] += LOAD_GAIN * (min(w.other_slots / w.slots, 2.0) - self.others_load[cold])
        if report.is_failing:
            self._eject(w)

    def _back_off(self, w):
        """Send nothing to a full worker until a slot may be free: jobs would use up their attempts on it."""
        w.full_until = self.now + self.mean_run * w.slope / w.slots * (0.5 + self.rng.random()) * 2**w.fulls

    def _eject(self, w):
        """Eject a failing worker for a time; guards against one that attracts all jobs by failing fast."""
        if w.ejected_until <= self.now:
            w.ejections = min(w.ejections + 1, MAX_EJECTION_COUNT)
            w.ejected_until = self.now + EJECT_MS * 2 ** (w.ejections - 1) * (0.8 + 0.4 * self.rng.random())
            w.probation = True

    def ejected_workers(self, now):
        """The ids of workers that get no new jobs; none where too many would be."""
        ejected = {w.id for w in self.live if w.ejected_until > now}
        return ejected if len(ejected) <= (1 - PANIC_THRESHOLD) * len(self.live) else set()

    def _expected_wait(self, worker, slots_needed):
        """Prior of a job's waiting time, and by how many slots it would exceed those that the worker has."""
        known = self.mean_run / (self.mean_run + self.now - worker.measured_at)  # half after a mean run
        # a cold worker runs a few jobs as fast as a warm one, but has fewer slots to run them on
        warmth, slots = self._warmth(worker), worker.slots * self._warmth(worker)
        usual = worker.slots * self.others_load[warmth < 1]
        # guards against all dispatchers picking one key's worker: own jobs beyond the mean stand for theirs
        mean = (len(self.jobs) - len(self.held)) / max(len(self.live), 1)
        usual += PEER_JOBS * self.extra_dispatchers * max(worker.own_slots - mean, 0.0)
        excess = worker.own_slots + usual + (worker.other_slots - usual) * known + slots_needed - slots
        uncertainty = 0.16 * usual * (1 - known) + 0.02
        wait = self.mean_run * worker.slope / slots * 0.5 * (excess + sqrt(excess * excess + 4 * uncertainty))
        # guards against cut-off, slow or overloaded workers, which look idle or at most just full
        overdue = self.now - next(iter(worker.unfinished)).due_at if worker.unfinished else 0.0
        if not self.extra_dispatchers and overdue < (1.5 * self.settings.progress_ms or 4 * self.mean_run):
            overdue = 0.0  # in a small fleet own jobs and reports show all queues, except at a silent worker
        lateness = worker.lateness * exp((worker.lateness_at - self.now) / LATENESS_DECAY_MS)
        return max(wait, lateness, overdue), excess

    def _key_match(self, worker, key):
        """How recently this key was sent there, from 1 (last) to 0 (not among those kept)."""
        sent = 1 - list(reversed(worker.keys)).index(key) / MAX_KEYS if key in worker.keys else 0.0
        return max(sent, self._preferred_workers(key).get(worker.id, 0.0))

    def _preferred_workers(self, key):
        """Preferred workers of a key, by a hash that all dispatchers share; more for a frequent key."""
        preferred = self.preferred.get(key)
        if preferred is None:
            order = sorted(self.live, key=lambda w: crc32(f"{w.id}/{key}".encode()))
            count = 1 + int(KEY_SPREAD * len(order) * self.key_jobs.get(key, 0.0) / max(self.key_total, 20.0))
            preferred = self.preferred[key] = {
                w.id: NEXT_MATCH if i == count else PREFERRED_MATCH for i, w in enumerate(order[: count + 1])
            }
        return preferred

    def _refit(self):
        """Fit the model again, and decay what is learned apart from it."""
        for worker in self.live:
            worker.pace *= PACE_DECAY
        self.model.refit(0.1 * self.mean_run, dict.fromkeys(w.kind for w in self.live))
        self.key_jobs = {k: n * KEY_DECAY for k, n in self.key_jobs.items() if n > 0.1}
        self.key_total, self.preferred = self.key_total * KEY_DECAY, {}
        for cold in () if self.has_reports else (False, True):  # apart: cold workers get less than warm ones
            group = [w for w in self.live if (self._warmth(w) < 1) is cold]
            own, slots = sum(w.reported_own(self.now) for w in group), sum(w.slots for w in group)
            self.others_load[cold] = min((self.settings.balancers - 1) * own / max(slots, 1.0), 1.5)
        self._update_slopes()
        jobs_take = MIN_REFIT_JOBS * (self.now - self.started_at) / max(self.arrivals, 1)
        interval = max(MIN_REFIT_INTERVAL_MS, min(jobs_take, 4 * MIN_REFIT_INTERVAL_MS))
        self.timers.after(interval * (0.8 + 0.4 * self.rng.random()), self._refit)

    def _eligible_workers(self, job):
        """Workers of the kind that the job needs, and once it may have run, those that drop its repeats."""
        ran = job.possible_runs()
        group = job.state.cls.dedup_group_of(ran[0].worker) if ran else None
        pool = self.pools.get((job.kind, group))
        if pool is None:
            pool = [w for w in self.live if job.kind in (None, w.kind) and group in (None, w.zone, w.cell)]
            self.pools[job.kind, group] = pool
        return pool

    def _choose(self, job, pool):
        """Choose a worker: (worker, sample, whether it meets the aim, forecast); None without a candidate."""
        now, run, slots = self.now, job.run, job.slots
        # not ejected, and on probation only with one more job of this dispatcher at most
        healthy = [w for w in pool if w.ejected_until <= now and (not w.probation or w.own_slots <= 1)]
        if len(healthy) < PANIC_THRESHOLD * len(pool):
            healthy = pool  # guards against ejecting the whole fleet for a fault that is not its own
        unsafe, time_left = job.state.cls.effect is not Effect.SAFE, job.aim_at - now
        jobs = self.jobs.values() if self.extra_dispatchers else ()  # guards against unreported bursts
        waits = [max(now - a.due_at, 0.0) for j in jobs for a in j.attempts if a.outcome is None]
        overdue = [wait for wait in waits if wait < HUNG_RUNS * self.mean_run]
        burst_wait = 2 * sum(overdue) / max(len(overdue), 1)  # on average, half of a wait has passed
        candidates, near_free, margins = [], False, {}
        if job.sheddable and any(margin for margin, _ in self.margins.values()):
            worth = self._worth_per_work(job, self._worst_class())
            rows = self.margins.items()
            margins = {k: m * self.mean_run * max(0.0, 1 - worth / top) for k, (m, top) in rows if m and top}
        for w in healthy:
            full = w.full_until > now or (w.slots_known and slots > w.slots)
            if full or w in job.tried or (unsafe and w.probation):  # safe jobs test workers on probation
                continue
            if w.started_at and now - w.started_at < self.settings.cold_ms and not self._cold_allows(w, job):
                continue
            wait, excess = self._expected_wait(w, slots)
            if excess > w.queue_room:
                continue  # guards against sends to workers whose queue is known to take no more
            match = 1.0 if job.key is None else self._key_match(w, job.key)
            miss = (1 - match) * self.mean_run
            forecast = self.model.forecast(run * w.slope, wait, miss) + burst_wait
            forecast += margins.get(w.kind, 0.0) + margins.get(None, 0.0)
            near_free = near_free or (excess <= 0 and w.zone == self.settings.zone)
            candidates.append((forecast, w, wait, match, miss))
        if not candidates:
            return None
        if job.key is not None:  # prefer workers that have it, unless a mean run slower than the best
            candidates = prefer_warm(self.rng, candidates, self.mean_run, itemgetter(0), itemgetter(3))
        tier, meets = select_tier(self.rng, candidates, time_left, itemgetter(0), not unsafe)
        crossing = ZONE_CROSSING_FACTOR * self.settings.cross_zone_price * job.allowed * near_free
        costs = [c[0] + crossing * (c[1].zone != self.settings.zone) for c in tier]
        forecast, w, wait, match, miss = draw_candidate(self.rng, tier, costs)
        prior_run = run * w.slope / self.model.pace(w.kind)
        return w, (w.kind, prior_run, wait, miss, min(w.own_slots / w.slots, 2.0), match), meets, forecast

    def _worst_class(self):
        """The class served worst, and the factor by which the goal raises its worth."""
        worst = min(self.classes.values(), key=lambda c: c.in_time)
        offered = sum(c.offered for c in self.classes.values())
        weight = self.settings.goal_worst_class / self.settings.goal_whole
        return worst, 1 + weight * offered / max(worst.offered, 1e-9)

    def _worth_per_work(self, job, worst):
        size = 1.0 if self.settings.worth_by_work else max(job.state.mean * job.slots, 1.0)
        return job.worth / size * (worst[1] if job.state is worst[0] else 1.0)

    def _on_submitted(self, event):
        state = self.classes.get(event.job_class)
        if state is None:
            raise ValueError(f"job_class: unknown class {event.job_class!r}")
        self.arrivals += 1
        job = Job(event, state, self.settings.max_attempts, self.now)
        if job.hinted:
            state.learn_run(job.hint)
        state.offered += job.worth * (job.run if self.settings.worth_by_work else 1.0)
        self.mean_run += 0.02 * (state.mean * job.slots - self.mean_run)
        if not self.quotas.take(event.tenant, self.now):
            job.sheddable, job.worth = True, job.worth * self.settings.over_share_worth
        self.jobs[job.id] = job
        self.key_jobs[job.key] = self.key_jobs.get(job.key, 0.0) + 1
        self.key_total += 1
        if job.deadline - self.now <= RESPONSE_MARGIN_MS or self.shared.sheds(event):
            self._give_up(job)
        elif self._probe_first(job) or not self._try_send(job):
            self._hold(job)

    def _probe_first(self, job):
        """Probe a few workers where each of many dispatchers knows little of them; return whether to wait."""
        pool = self._eligible_workers(job)[: self.subset_size]
        few = [w for w in pool if self.settings.may_probe and w.ejected_until <= self.now]
        wait = HELD_RETRY_RUNS * min(self.mean_run, job.aim_at - self.now, job.deadline - self.now)
        useful = min(wait, job.allowed - REPORT_AGE_MS) > 0
        if few and self.extra_dispatchers and self.shared.probe_workers is None and useful:
            job.probed = {w: self._probe(w) for w in self.rng.sample(few, min(PROBES_PER_JOB, len(few)))}
            job.not_before += wait
            self.timers.after(wait, self._try_send, job)
        return bool(job.probed)

    def _try_send(self, job):
        """Send the job if a worker for it is found now; return whether it is sent or answered."""
        if self.now < job.not_before or not self._may_send(job):
            return False
        pool = self._eligible_workers(job)
        # guards against workers seen too seldom to be known: those that answered a probe, or the own subset
        few = [w for w in pool if job.probed.get(w) and not job.attempts] or pool[: self.subset_size]
        if job.key is not None and len(pool) > len(few):
            # guards against a key fetched everywhere, since few dispatchers have its workers in their subset
            few += [w for w in pool if w.id in self._preferred_workers(job.key) and w not in few]
        choice = self._choose(job, few)
        if (choice is None or not choice[2]) and len(pool) > len(few):
            # guards against a subset that is full or failing while others have room
            choice = self._choose(job, self.rng.sample(pool, min(self.subset_size, len(pool)))) or choice
        if choice is None:
            return False
        worker, sample, meets, forecast = choice
        send = meets or not (job.sheddable or job.attempts)
        if not send:
            if self.now + min(w.slope for w in few) * job.run <= job.aim_at:
                return False  # an idle worker would still be in time: wait for one
            if not job.state.cls.late_worth:
                self._give_up(job)  # a late job is worth nothing: its slot goes to one that can be in time
                return True
            # it is late already, and worth the same until its deadline: it waits for room like a new job
            send = forecast <= job.allowed and self.now + forecast < job.deadline
        if send:
            self._send(job, worker, sample)
        return send

    def _note_lateness(self, job, late, waited):
        """Record how late a job was, for its class's share in time and the margins of cheaper jobs."""
        state, in_time = job.state, late <= 0
        state.in_time += IN_TIME_GAIN * (in_time - state.in_time)
        if not job.sheddable:
            # guards against sheddable jobs that delay others; lateness above the wait only shows a bad hint
            density = self._worth_per_work(job, self._worst_class())
            margin, worth = self.margins.get(job.kind, (0.0, density))
            margin += -MARGIN_FALL * (1 + 6 * margin) if in_time else MARGIN_RISE * (late <= waited)
            worth += 0.0 if in_time else 0.1 * (density - worth)
            self.margins[job.kind] = min(max(margin, 0.0), MAX_MARGIN), worth

    def _hold(self, job):
        self.held.append(job)
        self.timers.after(max(job.deadline - self.now - RESPONSE_MARGIN_MS, 1.0), self._on_hold_timeout, job)
        if len(self.held) == 1:
            self.timers.after(HELD_RETRY_RUNS * self.mean_run, self._on_held_timer)

    def _on_hold_timeout(self, job):
        if job.open and not job.unfinished:
            self._give_up(job)  # rule 1: a held job is answered while its client still waits

    def _on_held_timer(self):
        self._retry_held()
        if self.held:
            self.timers.after(HELD_RETRY_RUNS * self.mean_run, self._on_held_timer)

    def _retry_held(self):
        """Retry held jobs: in-time ones before late ones, then by descending worth per work, then by id."""
        now = self.now
        # guards against the cost of a long queue: the longer it is, the less often it is scanned
        if not self.held or now - self.held_scanned_at < HELD_SCAN_MS_PER_JOB * len(self.held):
            return
        self.held_scanned_at, worst = now, self._worst_class()
        self.held = [j for j in self.held if j.open and not j.unfinished]
        self.held.sort(key=lambda j: (j.aim_at < now, -self._worth_per_work(j, worst), j.id))
        waiting, failed = [], set()
        for job in self.held:
            like = (job.state.cls.name, job.slots, job.key, job.aim_at < now)  # equal jobs fail alike
            if like in failed or not self._try_send(job):
                waiting.append(job)
                if now >= job.not_before:
                    failed.add(like)
        self.held = [j for j in waiting if j.open]

    def _give_up(self, job):
        """Final response: a refusal where no attempt can have run or repeats are harmless, else a failure."""
        unsafe = job.possible_runs() and not job.state.cls.repeats_are_harmless  # to repeat
        response = interface.Fail(job.id) if unsafe else interface.Refuse(job.id, self.settings.pause_ms)
        self.actions.append(response)
        job.state.in_time -= IN_TIME_GAIN * job.state.in_time
        self._close(job)

    def _close(self, job):
        """Cancel what still runs, since no response is owed any more; forget the job once nothing runs."""
        job.open = False
        for attempt in job.attempts:
            self._cancel(attempt)
        if not job.unfinished:
            self.jobs.pop(job.id, None)

    def _may_send(self, job):
        """Whether the rules allow a further attempt of this job at all."""
        late = job.deadline - self.now <= RESPONSE_MARGIN_MS
        spent = self.shared.retries_left < 1 and job.was_tried()  # the retries of the whole fleet are bounded
        if late or spent or not job.open or job.unfinished or len(job.attempts) >= job.max_attempts:
            return False
        # guards against a repeat that the workers no longer recognize as one
        return self.now < job.state.cls.repeat_deadline(job.possible_runs()) - RESPONSE_MARGIN_MS

    def _send(self, job, worker, sample):
        due_at = self.now + job.run * worker.slope + self.mean_run  # fetching a missing key may take a run
        begin_by = job.state.cls.repeat_deadline(job.possible_runs()) - RESPONSE_MARGIN_MS
        attempt = Attempt(job, worker, sample, self.now, due_at)
        worker.unfinished[attempt] = None
        self.shared.retries_left -= job.was_tried()
        job.attempts.append(attempt)
        job.unfinished += 1
        worker.last_contact_at = worker.last_contact_at if worker.own_slots > 0 else self.now
        if worker.fulls:
            self._back_off(worker)  # one job at a time while it is full
        worker.add_own(job.slots, self.now)
        if job.key is not None:
            worker.keys = dict.fromkeys([*(k for k in worker.keys if k != job.key), job.key][-MAX_KEYS:])
        if worker.started_at and self.now - worker.started_at < self.settings.cold_ms:
            worker.cold_work.add(self.now, self._counted_work(job))
            worker.large_job_since, worker.large_job_delay = self.now, 1.0
        self.actions.append(interface.Send(job.id, worker.id, 0.0, begin_by))

    def _unfinished_attempt(self, event):
        """The attempt of an event; None if it is unknown or has ended."""
        job = self.jobs.get(event.request)
        known = job.attempts[event.attempt : event.attempt + 1] if job else ()
        return known[0] if known and known[0].outcome is None else None

    def _on_progressed(self, event):
        if (attempt := self._unfinished_attempt(event)) is None:
            return
        worker = attempt.worker
        worker.last_contact_at = self.now
        if attempt.began_at is None:
            attempt.began_at = self.now if event.share is None else attempt.sent_at
            # a start is a fresh report: there was room for this job, and no more if it had to wait
            room = max(worker.slots - worker.own_slots, 0.0)
            if worker.other_slots > room or worker.measured_at < attempt.sent_at:
                worker.other_slots, worker.measured_at = min(max(worker.other_slots, 0.0), room), self.now

    def _cancel(self, attempt):
        if self.settings.may_cancel and not attempt.cancelled and attempt.outcome is None:
            attempt.cancelled = True
            self.actions.append(interface.Cancel(attempt.job.id, attempt.number))

    def _on_attempt_ended(self, event):
        if (attempt := self._unfinished_attempt(event)) is None:
            return
        outcome = attempt.outcome = event.outcome
        job, worker, now = attempt.job, attempt.worker, self.now
        job.unfinished -= 1
        worker.unfinished.pop(attempt, None)
        if attempt.sent_at >= worker.started_at:
            worker.add_own(-attempt.slots, now)
        self._learn(attempt, outcome, event.elapsed_ms, now)
        self._apply_report(worker, event.report or {})
        job.open = job.open and not event.answered
        if job.open:
            self._retry_or_give_up(job, attempt, outcome)
        if not job.unfinished and not job.open:
            self.jobs.pop(job.id, None)
        attempt.job = None  # guards against reference cycles, which only a full garbage collection frees
        if outcome is Outcome.OK:
            self._retry_held()  # a slot is free

    def _learn(self, attempt, outcome, elapsed, now):
        """Update what is known of a worker, and the model, by the outcome of an attempt."""
        w, job = attempt.worker, attempt.job
        if outcome is Outcome.OK:
            w.last_contact_at, w.failures = now, w.failures / 2
            w.lateness, w.lateness_at = max(now - attempt.due_at, 0.0) if self.extra_dispatchers else 0.0, now
            w.queue_room += QUEUE_ROOM_RISE
            w.full_until, w.fulls = 0.0, max(w.fulls - 1, 0)  # one of its slots has just come free
            w.probation = w.probation and attempt.sent_at <= w.ejected_until
            w.ejections = max(0, w.ejections - 0.25 * (not w.probation))
            ran = now - attempt.began_at if attempt.began_at is not None else elapsed
            longer = 0.0 if job.hinted else ran / w.prior_slope - job.run
            self._note_lateness(job, now - job.aim_at - job.state.cls.aim_stretch * longer, attempt.sample[2])
            forecasts = MAX_HINTED_RUN_FORECASTS if job.hinted else MAX_RUN_FORECASTS
            max_run = forecasts * sum(attempt.sample[1 : 4 if attempt.began_at is None else 2])
            self.model.train(*attempt.sample, elapsed - ran + min(ran, max_run))
            waited = 0.0 if attempt.began_at is not None else sum(attempt.sample[2:4])
            if job.hinted:
                job.state.learn_hint(job.hint, max(ran - waited, 0.1 * ran) / w.slope)
            else:
                job.state.learn_run(ran / w.prior_slope)
            ratio = log(max(ran, 1.0) / max(job.run * w.slope + waited, 1.0))
            w.pace = min(max(w.pace + PACE_GAIN * min(max(ratio, -1.5), 1.5), -0.7), 2.5)
            self._set_slope(w)
        elif outcome is Outcome.FULL:
            w.queue_room = max(min(w.queue_room, self._expected_wait(w, attempt.slots)[1]), MIN_QUEUE_ROOM)
            w.other_slots, w.measured_at = max(w.other_slots, w.slots - w.own_slots + w.queue_room), now
            self._back_off(w)
            w.last_contact_at, w.fulls = now, min(w.fulls + 1, 3)
        elif outcome in (Outcome.ERROR, Outcome.RESET, Outcome.CONNECT_FAILED, Outcome.TIMEOUT):
            if outcome is not Outcome.TIMEOUT or w.last_contact_at <= attempt.sent_at:  # no contact since
                # guards against ejecting workers for single broken connections, as lossy networks have them
                w.failures += EJECTION_FAILURES if outcome is Outcome.TIMEOUT else 1.0
                if w.failures >= EJECTION_FAILURES:
                    self._eject(w)
            self.model.train(*attempt.sample, max(elapsed, sum(attempt.sample[1:4])))

    def _retry_or_give_up(self, job, attempt, outcome):
        if outcome is Outcome.FULL:
            # guards against spending all attempts within a few milliseconds of one burst
            job.not_before = self.now + FULL_BACKOFF_RUNS * self.mean_run * (2 ** (len(job.attempts) - 1) - 1)
        elif attempt.worker not in job.tried:
            tried = (*job.tried, attempt.worker)
            job.tried = tried if len(tried) < len(self._eligible_workers(job)) else ()
        if not self._may_send(job):
            self._give_up(job)
        elif not self._try_send(job) and job.open:
            self._hold(job)

    def _on_stream_begun(self, event):
        if job := self.jobs.get(event.request):
            job.open = False  # its client has the response: the attempt is not cancelled or answered again

    def _on_client_gone(self, event):
        if job := self.jobs.get(event.request):
            self._close(job)

    def _counted_work(self, job):
        """Core time that a send is counted at: at least its hint and its class's mean, since hints err."""
        return max(job.run, job.hint or 0.0, job.state.mean) * job.slots

    def _cold_budget(self, w):
        """Work in a window: a cold worker's guaranteed capacity, the limit for all, what was sent here."""
        slope = w.prior_slope * self.model.pace(w.kind)
        capacity = self._warmth(w) * w.slots / slope * self.settings.cold_window_ms
        limit = max(min(COLD_BUDGET_SHARE * self.settings.cold_multiple, COLD_LOAD) * capacity, 1e-9)
        return capacity, limit, w.cold_work.sum_since(self.now - self.settings.cold_window_ms)

    def _cold_allows(self, worker, job):
        """Rule 4: whether this dispatcher's share of a cold worker's budget has room for the job."""
        share = 1 / self.settings.balancers if worker.cold_share is None else worker.cold_share
        (capacity, limit, sent), work = self._cold_budget(worker), self._counted_work(job)
        worker.cold_requested = max(worker.cold_requested, (sent + work) / limit)
        capacity, limit = capacity * share, limit * share
        if work <= limit or self.mean_run <= limit:
            return sent + work <= limit
        # guards against cold workers that get nothing where a share is below a job: then one job at a time
        interval = work * self.settings.cold_window_ms / max(COLD_LARGE_JOB_LOAD * capacity, 1e-9)
        if worker.large_job_since is None:
            # drawn once: else the wait of a large job would let a small one through early
            worker.large_job_since, worker.large_job_delay = self.now, self.rng.random()
        return self.now >= worker.large_job_since + worker.large_job_delay * interval

    def _probe(self, worker):
        worker.probed_at = self.now
        self.actions.append(interface.Probe(worker.id))

    def _probe_next(self):
        """Probe the worker that has gone unprobed longest, at an interval set by the price of a probe."""
        targets = self.shared.probe_workers
        few = self.live[: self.subset_size] if targets is None else [w for w in self.live if w.id in targets]
        if few:
            self._probe(min(few, key=lambda w: w.probed_at))
        priced = (self.now - self.started_at) / max(self.arrivals, 1) * self.settings.probe_price / PROBE_COST
        interval = max(min(priced, MAX_PROBE_INTERVAL_MS), WORKER_PROBE_INTERVAL_MS / max(len(few), 1))
        self.timers.after(interval * (0.8 + 0.4 * self.rng.random()), self._probe_next)

    def _on_probe_ended(self, event):
        w = self.workers.get(event.worker)
        if w and event.outcome is Outcome.OK:
            w.last_contact_at, w.failed_probes = self.now, 0
            self._apply_report(w, event.report or {})
        elif w and event.outcome in (Outcome.CONNECT_FAILED, Outcome.TIMEOUT):
            w.failed_probes += self.now - event.elapsed_ms >= w.measured_at  # concurrent probes count once
            w.other_slots, w.measured_at = max(w.other_slots, w.slots - w.own_slots + 1), self.now
            if w.failed_probes >= SILENT_PROBES and self.now - w.last_contact_at > MIN_SILENCE_MS:
                self._eject(w)  # it is silent: its jobs go elsewhere while they can be in time
                for attempt in w.unfinished:
                    if attempt.job.open and attempt.sent_at >= w.last_contact_at - MIN_SILENCE_MS:
                        self._cancel(attempt)
        for job in [j for j in self.held if w in j.probed]:
            job.probed[w] = event.outcome is Outcome.OK
            if None not in job.probed.values():
                job.not_before = self.now
                self._try_send(job)
