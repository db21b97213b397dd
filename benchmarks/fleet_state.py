"""Shared state, measured: budgets, judgements and their cost, in virtual time and on real processes.

    python -m benchmarks.fleet_state [--virtual 100,300] [--real 5,20,50] [--seed N] [--write]

Budgets, virtual: n members share a cold worker's budget (100 a second).  *Even*: all want it, half as much
again in sum; *skewed*: one in eight wants all of that.  Overspend: the most that all spent in any window over
the bound; used: the share of the bound that was spent over 20 s once settled.  The baselines are on the same
demand: a share of bound / n for each (static), and each as if it were alone (none).  Healing: two halves cut
for 20 s, then the time until 90 % of the bound is used again.  Bytes: datagrams that a member sends a second,
the fleet view's included, over the settled 20 s.

Judgements, virtual: n of the decision module's instances, 40 workers, 2 of them bad (they fail at once) and 2
paths broken (one scheduler cannot reach one healthy worker), 20 jobs a second at each: failed requests at the
bad ones in the first 10 s and in 30 s, and healthy workers judged bad; by today's local judgement alone and
with the fleet's, three plays each on the same seeds.

Real: n processes with the default settings, a cold worker and open-loop clients, behind the fault line; two
halves cut for 20 s.
"""

import argparse
import random
import statistics
import tempfile
import time
import timeit
from pathlib import Path

from molespur import Dispatcher, Settings
from molespur import interface as io
from molespur.fleet import shared
from molespur.fleet.crdt import CounterRow, FleetCounters
from molespur.fleet.escrow import Escrow
from molespur.fleet.sharing import (
    BudgetKind,
    LoanRequest,
    SharingConfig,
    Shortfall,
    TicketRequest,
    tickets_for,
)
from molespur.fleet.tickets import Witness, to_bitmap
from molespur.interface import FleetUpdate, JobClass, Outcome, UpdateMode, WorkerEntry
from molespur.standins.fleet_load import FleetLoad, FleetWorker
from molespur.standins.members import SETTINGS, Members, ask
from molespur.standins.virtual_state import Spender, VirtualState

from .fleet_view import begin, cpu_s

OUT = Path(__file__).parents[1] / "docs" / "measurements" / "fleet_state.md"
BOUND, WANTED, SETTLED_MS = 100.0, 150.0, 20_000.0
WITNESSES = ("m0", "m1", "m2")


class Static(VirtualState):
    """Members that spend by a rule of their own, with nothing shared: `each` in a window."""

    each = BOUND

    def _spend(self, i, name, wanted):
        now, window = self.clock(i), self.share.kind_of(name).grace_ms
        part = wanted * self.tick_ms / window
        spent = self.spenders[i].setdefault(name, Spender(window))
        self.book(i, name, max(0.0, min(part, self.each - spent.used(now))))


def fleet(n, hot, seed, kind=VirtualState, each=BOUND, settle=40_000):
    """A fleet in which `hot` members want all of the budget together."""
    kinds = {"cold": BudgetKind(BOUND, 1000.0)}
    made = kind(n, SharingConfig(witnesses=WITNESSES, size=n, tickets=tickets_for(n), kinds=kinds), seed=seed)
    made.each = each
    made.demand = lambda i, now: {"cold/w": WANTED / hot} if i % (n // hot) == 0 else {}
    begin(made)
    made.run(settle)
    return made


def used(made, ms=SETTLED_MS):
    before = made.passed.get("cold/w", 0.0)
    made.run(made.now + ms)
    return (made.passed.get("cold/w", 0.0) - before) * 1000 / ms / BOUND


def budgets(n: int, seed: int) -> dict:
    found = {"n": n}
    for name, hot in (("even", n), ("skewed", max(n // 8, 1))):
        made = fleet(n, hot, seed)
        sent = sum(made.sent_bytes)
        found[name] = used(made)
        found[name + "_bytes"] = (sum(made.sent_bytes) - sent) / n / (SETTLED_MS / 1000)
        if name == "even":
            made.partition(set(range(n // 2)), set(range(n // 2, n)))
            made.run(made.now + 20_000)
            made.heal()
            began = made.now
            while used(made, 1000) < 0.9 and made.now - began < 120_000:
                pass
            found["healed_s"] = (made.now - began) / 1000
        found[name + "_over"] = max(0.0, made.peak["cold/w"] - BOUND)
        for base, each in (("static", BOUND / n), ("none", BOUND)):
            other = fleet(n, hot, seed, Static, each, 3000)
            found[f"{name}_{base}"] = used(other, 3000)
            found[f"{name}_{base}_over"] = max(0.0, other.peak["cold/w"] - BOUND)
    return found


def format_budgets(rows) -> str:
    lines = [
        "| n | demand | used of the bound: shared / static / none | overspend (of 100): the same"
        " | bytes a member sends a s | healed (s) |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    for r in rows:
        for name in ("even", "skewed"):
            healed = f"{r['healed_s']:.0f}" if name == "even" else ""
            lines.append(
                f"| {r['n']} | {name} | {r[name]:.2f} / {r[name + '_static']:.2f} / {r[name + '_none']:.2f}"
                f" | {r[name + '_over']:.2f} / {r[name + '_static_over']:.2f} / {r[name + '_none_over']:.0f}"
                f" | {r[name + '_bytes']:.0f} | {healed} |"
            )
    return "\n".join(lines)


# -- Judgements ---------------------------------------------------------------------------------


class Schedulers:
    """n instances of the decision module on one fleet of workers, with or without shared evidence."""

    STEP_MS, RATE, SERVED_MS = 20.0, 20.0, 60.0
    BAD, BROKEN = {"w3", "w7"}, {(1, "w5"), (2, "w9")}  # workers; (scheduler, worker)

    def __init__(self, n: int, seed: int, share: bool):
        self.n, self.rng, self.share = n, random.Random(seed), share
        settings = Settings(classes=(JobClass("lookup", 400.0, 3000.0),), balancers=n, max_attempts=3)
        self.made = [Dispatcher(settings, seed * 1000 + i) for i in range(n)]
        self.state = VirtualState(n, SharingConfig(witnesses=WITNESSES, size=n), seed=seed)
        entries = tuple(WorkerEntry(f"w{k}") for k in range(40))
        for i, one in enumerate(self.made):
            self.state.start(i, (0, 1))
            one.handle(0.0, io.Started())
            one.handle(0.0, FleetUpdate(UpdateMode.COMPLETE, entries))
        self.state.run(10_000)
        self.due, self.number = [], 0  # (when, scheduler, request, attempt, outcome, worker)
        self.failed, self.last_fail, self.wrong = 0, 0.0, set()
        self.timers = [[] for _ in range(n)]
        self.failed_by = []

    def act(self, i, now, actions):
        for a in actions:
            if isinstance(a, io.Send):
                self.attempts[a.request] = self.attempts.get(a.request, -1) + 1
                bad = a.worker in self.BAD or (i, a.worker) in self.BROKEN
                wait = 5.0 if bad else self.rng.expovariate(1 / self.SERVED_MS) + 10
                outcome = Outcome.ERROR if bad else Outcome.OK
                self.due.append((now + wait, i, a.request, self.attempts[a.request], outcome, a.worker, now))
            elif isinstance(a, io.SetTimer):
                self.timers[i].append(now + a.delay_ms)

    def run(self, ms: float) -> "Schedulers":
        self.attempts, began = {}, self.state.now
        while self.state.now < began + ms:
            now = self.state.now
            for i, one in enumerate(self.made):
                if any(t <= now for t in self.timers[i]):
                    self.timers[i] = [t for t in self.timers[i] if t > now]
                    self.act(i, now, one.handle(now, io.TimerFired("due")))
                if self.rng.random() < self.RATE * self.STEP_MS / 1000:
                    self.number += 1
                    self.act(i, now, one.handle(now, io.Submitted(self.number, "lookup", 3000.0)))
            ready = [d for d in self.due if d[0] <= now]
            self.due = [d for d in self.due if d[0] > now]
            for _, i, request, attempt, outcome, worker, sent in ready:
                failed = outcome is not Outcome.OK
                self.failed += failed and worker in self.BAD
                if failed and worker in self.BAD:
                    self.failed_by.append(now - began)
                event = io.AttemptEnded(request, attempt, outcome, now - sent, not failed)
                self.act(i, now, self.made[i].handle(now, event))
                if self.share:
                    self.state.tell(i, shared.RequestEnded(worker, failed))
            self.state.run(now + self.STEP_MS)
            if self.share and int(now / 100) != int((now + self.STEP_MS) / 100):
                for i, one in enumerate(self.made):
                    bad = self.state.shared[i].bad_workers(self.state.clock(i))
                    self.wrong |= bad - self.BAD
                    self.act(i, now, one.handle(now, io.SharedStateUpdate(bad_workers=frozenset(bad))))
        return self


def judgements(n: int, seeds) -> dict:
    found = {"n": n}
    for name, share in (("local", False), ("fleet", True)):
        plays = [Schedulers(n, seed, share).run(30_000) for seed in seeds]
        first = [sum(t < 10_000 for t in play.failed_by) for play in plays]
        found[name] = statistics.mean(play.failed for play in plays)
        found[name + "_first"] = statistics.mean(first)
        found[name + "_wrong"] = sum(len(play.wrong) for play in plays)
        if share:
            judged = [
                min((t for t, _, a in play.state.notes if isinstance(a, shared.WorkerJudgedBad)), default=1e9)
                for play in plays
            ]
            found["judged_s"] = statistics.mean(t - 10_000 for t in judged) / 1000
    return found


def format_judgements(rows) -> str:
    lines = [
        "| schedulers | first judged after (s) | failed requests in the first 10 s: local / fleet"
        " | in 30 s: local / fleet | healthy workers judged bad |",
        "| --- | --- | --- | --- | --- |",
    ]
    for r in rows:
        lines.append(
            f"| {r['n']} | {r['judged_s']:.1f} | {r['local_first']:.0f} / {r['fleet_first']:.0f}"
            f" | {r['local']:.0f} / {r['fleet']:.0f} | {r['fleet_wrong']} |"
        )
    return "\n".join(lines)


# -- CPU ----------------------------------------------------------------------------------------


def cpu() -> str:
    """Microseconds of each merge and answer."""
    share = SharingConfig(witnesses=WITNESSES, size=200, kinds={"cold": BudgetKind(BOUND, 1000.0)})
    rows = [CounterRow(f"m{i}", 1, {f"c{k}": (k * i, 0) for k in range(6)}) for i in range(200)]
    totals = FleetCounters("m0", 1)
    witness = Witness("m0", share.tickets, share.hold_ms, -1e9)
    escrow = Escrow("m0", 1, share, lambda now: [1e9] * 2, lambda b, now: 0.0, random.Random(1), -1e9)
    bits, turn = to_bitmap([3, 9, 77]), [0]

    def seq():
        turn[0] += 1
        return turn[0]

    wishes = [Shortfall(f"cold/w{k}", 1.0) for k in range(24)]
    asks = {
        "a row merged": lambda: totals.merge(rows[seq() % 200], 0.0),
        "tickets asked of a witness (3)": lambda: witness.handle_request(
            TicketRequest(seq(), "m9", 1, share.fingerprint, bits), 1.0
        ),
        "loans asked of a lender (24 budgets)": lambda: escrow.handle_request(
            LoanRequest(seq(), "m9", 1, share.fingerprint, wishes), 1.0
        ),
        "what may be spent of a budget": lambda: escrow.available("cold/w1", 1.0),
    }
    lines = ["| what | CPU (µs) |", "| --- | --- |"]
    for name, call in asks.items():
        count = 2000
        lines.append(f"| {name} | {min(timeit.repeat(call, number=count, repeat=3)) / count * 1e6:.1f} |")
        escrow.budgets.clear()
    return "\n".join(lines)


# -- Real processes -----------------------------------------------------------------------------


def real(n: int, net: int) -> dict:
    rules = {"cold": 1e9, "startCapacity": 0.5, "overloadFactor": 2.0, "tipAfter": 1000.0}
    worker = FleetWorker("w0", 0, slots=4, work_ms=25.0, born_ms=time.time() * 1000)
    bound = 4 * 0.5 * 1000 / 25.0  # a second: the slots that it has while cold
    profiles = [{"name": "lookup", "aim": 1000.0, "deadline": 3000.0, "effect": "retryable"}]
    settings = SETTINGS | {"profiles": profiles, "rules": rules}
    with tempfile.TemporaryDirectory() as place, FleetLoad(n, net, [worker], cost_us=25_000) as load:
        made = Members(
            Path(place), n, net=net, fleet={}, faultline=True, settings=settings, known=load.known,
            tables={"shared": {"enabled": True, "witnesses": list(WITNESSES)}},
        )  # fmt: skip
        made.open_line(seed=n)
        try:
            made.start_all()
            for i in range(n):
                made.ready(i, 60)
            made.wait_agreed(60)
            time.sleep(7)
            for i in range(n):
                load.rates[i] = 1.5 * bound / n
            time.sleep(12)
            before, begin, cpu0 = _sent(made), load.now(), cpu_s(made.programs[n - 1].pid)
            time.sleep(10)
            end = load.now()
            span = end - begin
            sent = [b - a for a, b in zip(before, _sent(made), strict=True)]
            found = {"n": n, "even": worker.arrivals(begin, end) / span / bound,
                     "bytes": statistics.mean(sent) / span, "most_bytes": max(sent) / span,
                     "cpu": (cpu_s(made.programs[n - 1].pid) - cpu0) / span}  # fmt: skip
            half = ",".join(map(str, range(n // 2 + 1))), ",".join(map(str, range(n // 2 + 1, n)))
            made.fault(f"partition {half[0]} {half[1]}")
            time.sleep(20)
            made.fault("heal")
            healed = load.now()
            while load.now() - healed < 60:
                begin = load.now()
                time.sleep(1)
                late = set(range(n // 2 + 1, n))
                if worker.arrivals(begin, load.now(), late) > 0.5 * bound * len(late) / n:
                    break
            found["healed_s"] = load.now() - healed
            found["busiest"] = worker.busiest(1.0)[0] / bound
            return found
        finally:
            made.end()


def _sent(made) -> list[int]:
    found = []
    for i in range(made.n):
        lines = [line for line in ask(made.ops(i), "fleet counters") if line != "eof"]
        found.append(int(dict(line.split("=") for line in lines).get("fleet.bytes_sent", 0)))
    return found


def format_real(rows) -> str:
    lines = [
        "| processes | used of the bound | busiest second, partition included (of the bound)"
        " | a member sends a s: bytes, mean / most | the cut half has its part again after (s)"
        " | CPU of a whole process, its jobs included |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    for r in rows:
        lines.append(
            f"| {r['n']} | {r['even']:.2f} | {r['busiest']:.2f} | {r['bytes']:.0f} / {r['most_bytes']:.0f}"
            f" | {r['healed_s']:.0f} | {r['cpu']:.3f} |"
        )
    return "\n".join(lines)


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--virtual", default="100,300")
    parser.add_argument("--judges", default="10,40")
    parser.add_argument("--real", default="5,20,50")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--write", action="store_true")
    args = parser.parse_args()

    def part(title, sizes, play, shown):
        rows = []
        for k, n in enumerate(int(x) for x in sizes.split(",") if x):
            rows.append(play(n, k))
            print(shown(rows[-1:]), flush=True)
        return f"## {title}\n\n{shown(rows)}\n\n" if rows else ""

    text = part("Budgets, virtual time", args.virtual, lambda n, k: budgets(n, args.seed), format_budgets)
    seeds = range(args.seed, args.seed + 3)
    text += part(
        "Judgements, virtual time", args.judges, lambda n, k: judgements(n, seeds), format_judgements
    )
    text += part("Real processes", args.real, lambda n, k: real(n, 50 + k), format_real)
    text += f"## CPU\n\n{cpu()}\n"
    print(text)
    if args.write:
        page = OUT.read_text() if OUT.exists() else ""
        OUT.write_text(page.partition("<!-- tables -->")[0] + "<!-- tables -->\n\n" + text)


if __name__ == "__main__":
    main()
