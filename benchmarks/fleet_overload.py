"""Overload borne by the fleet as one, measured against each scheduler on its own, paired.

    python -m benchmarks.fleet_overload [--virtual 6,20] [--probes 10,50,200] [--real 6] [--restart 20]
        [--seeds 5] [--write]

Virtual: the decision module's instances before as many workers (2 slots, 100 ms a job, a queue of 8, reports
by probes), clients that try again at once up to four times within their 2 s (or, `patient`, after
Retry-After); two classes, 3 in 10 jobs worth five times the others.  For each offered load, a multiple of the
capacity, 30 s from a quiet start: goodput (served within 600 ms of the first try) of the capacity; worth in
time of what the best order would have (all of the higher class, then the other); upstream attempts for each
first one; 50th and 99th of served jobs.  Recovery: after 3 times the capacity for 15 s back to 0.7, the time
until a second has 95 % served in time.  Lost: half of the workers die at 0.6 of the capacity; retries for
each first attempt over 10 s.

Probes: the same with n schedulers before 20 workers at a low load: probes of one worker a second.

Real: six processes of `python -m molespur serve` before stand-in workers, behind the fault line, the same.
Restart: 108 jobs a second of 50 ms before three workers of 4 slots; one dies for a second and is back cold
for good, with half of its slots; what arrives in its busiest second, of what those can do.
"""

import argparse
import statistics
import tempfile
import time
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

from molespur.fleet.sharing import SharingConfig
from molespur.standins.fleet_load import Clients, FleetLoad, FleetWorker
from molespur.standins.members import SETTINGS, Members, ask
from molespur.standins.virtual_site import CLASSES, SHARES, FleetSite, Site

from .fleet_view import quantile

OUT = Path(__file__).parents[1] / "docs" / "measurements" / "fleet_overload.md"
LOADS = (0.5, 1.0, 1.5, 2.0, 3.0)
WAYS = ("alone", "fleet")
SHOWN = {"good": ".2f", "worth": ".2f", "amp": ".3f", "tries": ".1f"}
WORTH = {c.name: c.worth for c in CLASSES}


def site(way: str, n: int, workers: int, seed: int, patient: bool = False):
    more = {"seed": seed, "patient": patient, "may_probe": True}
    if way == "alone":
        return Site(n, workers, **more)
    share = SharingConfig(size=n, retry_ratio=0.1, retry_floor=2.0, watchers=2, priorities=(0, 1))
    return FleetSite(n, workers, share, **more)


def best_worth(offered: float, capacity: float) -> float:
    """Worth a second that the best order would have in time."""
    worth, left = 0.0, capacity
    for cls, share in sorted(zip(CLASSES, SHARES, strict=True), key=lambda pair: -pair[0].worth):
        served = min(offered * share, left)
        worth, left = worth + served * cls.worth, left - served
    return worth


def crowd(args) -> dict:
    way, n, times, seed, patient = args
    one = site(way, n, n, seed, patient)
    one.play(0.5 * one.capacity, 5_000.0)
    before = Counter(one.counts)
    done = one.play(times * one.capacity, 30_000.0)
    counts = Counter(one.counts)
    counts.subtract(before)
    took = [d.took_ms for d in done if d.end == "served"]
    worth = sum(d.good * WORTH[d.job.job_class] for d in done) / 30
    return {
        "good": sum(d.good for d in done) / 30 / min(one.capacity, times * one.capacity),
        "worth": worth / best_worth(times * one.capacity, one.capacity),
        "amp": 1 + counts["retries"] / max(counts["first attempts"], 1),
        "tries": counts["client tries"] / max(len(done), 1),
        "p50": quantile(took, 0.5), "p99": quantile(took, 0.99),
    }  # fmt: skip


def recovery(args) -> float:
    """Seconds after a crowd until a second has 95 % of its jobs in time."""
    way, n, seed = args
    one = site(way, n, n, seed)
    one.play(0.7 * one.capacity, 5_000.0)
    one.play(3.0 * one.capacity, 15_000.0)
    ended = one.now
    done = one.play(0.7 * one.capacity, 20_000.0, 3_000.0)
    for second in range(20):
        due = [d for d in done if second <= (d.job.due - ended) / 1000 < second + 1]
        if due and sum(d.good for d in due) >= 0.95 * len(due):
            return float(second)
    return 20.0


def lost(args) -> float:
    """Retries for each first attempt over 10 s after half of the workers died."""
    way, n, seed = args
    one = site(way, n, n, seed)
    one.play(0.6 * one.capacity, 6_000.0)
    before = Counter(one.counts)
    rate = 0.6 * one.capacity
    for name in list(one.workers)[: n // 2]:
        one.lose(name)
    one.play(rate, 10_000.0)
    counts = Counter(one.counts)
    counts.subtract(before)
    return counts["retries"] / max(counts["first attempts"], 1)


def probes(args) -> float:
    """Probes of one worker a second."""
    way, n = args
    one = site(way, n, 20, 1)
    one.play(2.0 * n, 4_000.0)
    before = one.counts["probes"]
    one.play(2.0 * n, 4_000.0)
    return (one.counts["probes"] - before) / 4 / 20


def mean(rows, key) -> float:
    return statistics.mean(row[key] for row in rows)


def virtual(sizes, seeds, pool) -> str:
    lines = [
        "| schedulers | clients | offered | goodput: alone / fleet | worth of the best order"
        " | attempts for each first | tries of a job | served, p50 / p99 (ms): alone | fleet |",
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- |",
    ]
    for n in sizes:
        for patient in (False, True):
            for times in LOADS:
                a, b = (list(pool.map(crowd, [(way, n, times, s, patient) for s in seeds])) for way in WAYS)
                both = {key: f"{mean(a, key):{form}} / {mean(b, key):{form}}" for key, form in SHOWN.items()}
                tails = [f"{mean(rows, 'p50'):.0f} / {mean(rows, 'p99'):.0f}" for rows in (a, b)]
                row = [n, "patient" if patient else "at once", times, *both.values(), *tails]
                lines.append("| " + " | ".join(map(str, row)) + " |")
                print(lines[-1], flush=True)
    lines += [
        "",
        "| schedulers | recovered after (s), each play: alone | fleet"
        " | half lost, retries for each first attempt: alone / fleet |",
        "| --- | --- | --- | --- |",
    ]
    for n in sizes:
        back = [list(pool.map(recovery, [(way, n, s) for s in seeds])) for way in WAYS]
        storm = [statistics.mean(pool.map(lost, [(way, n, s) for s in seeds])) for way in WAYS]
        shown = [", ".join(f"{v:.0f}" for v in found) for found in back]
        lines.append(f"| {n} | {shown[0]} | {shown[1]} | {storm[0]:.3f} / {storm[1]:.3f} |")
        print(lines[-1], flush=True)
    return "\n".join(lines)


def probed(sizes, pool) -> str:
    lines = [
        "| schedulers | probes of one of 20 workers a second: alone | fleet |",
        "| --- | --- | --- |",
    ]
    for n in sizes:
        alone, fleet = pool.map(probes, [(way, n) for way in WAYS])
        lines.append(f"| {n} | {alone:.1f} | {fleet:.1f} |")
        print(lines[-1], flush=True)
    return "\n".join(lines)


# -- Real processes -----------------------------------------------------------------------------


def real(n: int, net: int, shares: bool) -> list[str]:
    workers = [FleetWorker(f"w{i}", i, slots=2, work_ms=100.0, queue=8) for i in range(n)]
    capacity = n * 2 * 1000 / 100.0
    names = ("lookup", "assessment")
    profiles = [
        {"name": name, "aim": 500.0, "deadline": 2000.0, "effect": "retryable", "worth": WORTH[name]}
        for name in names
    ]
    limits = {"peerMessages": True, "tryLimit": 3, "dialTimeout": 300.0, "probing": True, "cancelling": True,
              "retryAfter": True, "maxRetryAfter": 1000.0}  # fmt: skip
    more = {"familyInfo": {"classPriority": [0, 1]}, "report": {"via": "probe"}}
    settings = SETTINGS | more | {"profiles": profiles, "limits": limits}
    shared = {"enabled": shares, "witnesses": ["m0", "m1", "m2"]}
    lines, clients = [], Clients((("lookup", 0.7), ("assessment", 0.3)), 2000, 4)
    with tempfile.TemporaryDirectory() as place, FleetLoad(n, net, workers, 100_000, clients) as load:
        made = Members(Path(place), n, net=net, fleet={}, faultline=True, settings=settings, known=load.known,
                       tables={"shared": shared})  # fmt: skip
        made.open_line(seed=n)
        try:
            made.start_all()
            for i in range(n):
                made.ready(i, 60)
            made.wait_agreed(60)
            time.sleep(6)
            for times, seconds in ((0.7, 10), (2.0, 30), (3.0, 30), (0.7, 2), (0.7, 10)):
                before = _attempts(made)
                for i in range(n):
                    load.rates[i] = times * capacity / n
                begin, probed = load.now(), sum(len(w.probed) for w in workers)
                time.sleep(seconds)
                end = load.now()
                rate = (sum(len(w.probed) for w in workers) - probed) / (end - begin) / n
                attempts = _attempts(made) - before
                time.sleep(0.0 if seconds == 2 else 2.5)
                done = [d for d in load.done if begin <= d.due < end]
                good = [d for d in done if d.end == "served" and d.took_ms <= 600.0]
                took = [d.took_ms for d in done if d.end == "served"]
                worth = sum(WORTH[d.job_class] for d in good) / (end - begin)
                ends = Counter(d.end for d in done)
                row = [
                    n,
                    "fleet" if shares else "alone",
                    f"{times} ({seconds} s)",
                    f"{len(good) / (end - begin) / min(capacity, times * capacity):.2f}",
                    f"{worth / best_worth(times * capacity, capacity):.2f}",
                    f"{ends['refused']} / {ends['lost']} of {len(done)}",
                    f"{attempts / max(ends['served'], 1):.2f}",
                    f"{quantile(took, 0.5):.0f} / {quantile(took, 0.99):.0f}",
                    f"{rate:.1f}",
                ]
                lines.append("| " + " | ".join(map(str, row)) + " |")
                print(lines[-1], flush=True)
        finally:
            made.end()
    return lines


def restart(n: int, net: int, shares: bool) -> str:
    """A worker dies under n schedulers and is back cold: what reaches it in its busiest second after."""
    workers = [FleetWorker(f"w{i}", i, slots=4, work_ms=50.0) for i in range(3)]
    gone, bound = workers[0], 4 * 0.5 * 1000 / 50.0  # the slots that it has while cold
    profiles = [{"name": "lookup", "aim": 1000.0, "deadline": 3000.0, "effect": "retryable"}]
    rules = {"cold": 1e9, "startCapacity": 0.5, "overloadFactor": 2.0, "tipAfter": 1000.0}
    settings = SETTINGS | {"profiles": profiles, "rules": rules}
    shared = {"enabled": shares, "witnesses": ["m0", "m1", "m2"]}
    with tempfile.TemporaryDirectory() as place, FleetLoad(n, net, workers, 50_000) as load:
        made = Members(Path(place), n, net=net, fleet={}, faultline=True, settings=settings, known=load.known,
                       tables={"shared": shared}, filed=True)  # fmt: skip
        made.open_line(seed=n)
        try:
            made.start_all()
            for i in range(n):
                made.ready(i, 60)
            made.wait_agreed(60)
            time.sleep(8)
            for i in range(n):
                load.rates[i] = 108.0 / n
            time.sleep(4)
            gone.lost = True
            time.sleep(1)
            gone.lost, gone.born_ms, back = False, time.time() * 1000, load.now()
            made.relist()
            time.sleep(25)
            most, by = gone.busiest(1.0, since=back)
            end = load.now()
            used = gone.arrivals(end - 8, end) / 8 / bound
        finally:
            made.end()
    return f"| {n} | {'fleet' if shares else 'alone'} | {most / bound:.2f} | {len(by)} | {used:.2f} |"


def _attempts(made) -> int:
    """Upstream requests of all schedulers so far (each stream's tries at workers)."""
    found = 0
    for i in range(made.n):
        lines = dict(line.split("=") for line in ask(made.ops(i), "telemetry") if "=" in line)
        found += sum(int(v) for k, v in lines.items() if k.endswith("tries"))
    return found


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--virtual", default="6,20")
    parser.add_argument("--probes", default="10,50,200")
    parser.add_argument("--real", default="6")
    parser.add_argument("--restart", default="20")
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--jobs", type=int, default=5)
    parser.add_argument("--write", action="store_true")
    args = parser.parse_args()
    parts = ("virtual", "probes", "real", "restart")
    sizes = {name: [int(x) for x in getattr(args, name).split(",") if x] for name in parts}
    text = ""
    with ProcessPoolExecutor(args.jobs) as pool:
        if sizes["virtual"]:
            text += f"## Virtual time\n\n{virtual(sizes['virtual'], range(1, args.seeds + 1), pool)}\n\n"
        if sizes["probes"]:
            text += f"## Probes\n\n{probed(sizes['probes'], pool)}\n\n"
    if sizes["real"]:
        lines = [
            "| schedulers | | offered | goodput | worth of the best order | refused / lost"
            " | upstream requests for each served | served, p50 / p99 (ms) | probes of a worker a s |",
            "| --- | --- | --- | --- | --- | --- | --- | --- | --- |",
        ]
        for k, n in enumerate(sizes["real"]):
            lines += real(n, 54 + 2 * k, False) + real(n, 55 + 2 * k, True)
        text += "## Real processes\n\n" + "\n".join(lines) + "\n"
    if sizes["restart"]:
        lines = [
            "| schedulers | | busiest second after the restart, of the bound | schedulers in it"
            " | used, last 8 s |",
            "| --- | --- | --- | --- | --- |",
        ]
        for k, n in enumerate(sizes["restart"]):
            lines += [restart(n, 58 + 2 * k, False), restart(n, 59 + 2 * k, True)]
        text += "\n## A worker restarts cold, real processes\n\n" + "\n".join(lines) + "\n"
    print(text)
    if args.write:
        page = OUT.read_text() if OUT.exists() else ""
        OUT.write_text(page.partition("<!-- tables -->")[0] + "<!-- tables -->\n\n" + text)


if __name__ == "__main__":
    main()
