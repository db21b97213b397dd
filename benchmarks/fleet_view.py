"""The fleet view, measured: the pure machines in virtual time, and real processes on loopback.

    python -m benchmarks.fleet_view [--virtual 10,100,1000] [--real 5,20,50] [--seed N] [--write]

Virtual: n members with the default tuning (a probe each second) join through two seeds (more than 300 begin
with views that agree); then members are killed one after another (each started again once all hold it dead),
and we note for each death when the first member suspected it (detection), when the first declared it dead,
and when the last live member held it dead (spread), in probe periods.  False positives: deaths of live
members per member-hour under 0, 5 and 20 % loss.  Load: datagrams and bytes a member sends per second.
Healing: two halves cut for 30 s, then the time until all views agree.

Real: n processes of `python -m molespur serve` behind the fault line with the default tuning: time to agree
after the start, detection and spread of one SIGKILL, bytes a member sends per second, and CPU of a member.
`--write` keeps the tables in docs/measurements/fleet_view.md.
"""

import argparse
import math
import os
import statistics
import tempfile
import time
from pathlib import Path

from molespur.fleet.model import State, Tuning
from molespur.standins import viewcheck
from molespur.standins.members import Members
from molespur.standins.virtual_fleet import VirtualFleet

OUT = Path(__file__).parents[1] / "docs" / "measurements" / "fleet_view.md"
PERIOD = Tuning().period_ms
SETTLED = 300


def quantile(values, q):
    values = sorted(values)
    if not values:
        return float("nan")
    return values[min(len(values) - 1, int(q * len(values)))]


def settle(fleet: VirtualFleet, most_ms: float) -> float:
    """Virtual ms until all views agree."""
    began = fleet.now
    while fleet.now - began < most_ms:
        fleet.run(fleet.now + 250)
        if fleet.agreed():
            return fleet.now - began
    return float("inf")


def begin(fleet: VirtualFleet) -> None:
    """All join through two seeds; a fleet of more than SETTLED begins with views that agree."""
    if len(fleet.members) > SETTLED:
        fleet.start_settled()
        return
    for i in range(len(fleet.members)):
        fleet.start(i, seeds=(0, 1))


def deaths(n: int, seed: int, kills: int) -> dict:
    """Detection and spread of deaths, one at a time, and the load of a member meanwhile."""
    fleet = VirtualFleet(n, seed=seed)
    begin(fleet)
    joined = settle(fleet, 600_000)
    found = {"n": n, "join_s": joined / 1000, "detect": [], "dead": [], "spread": [], "to_all": []}
    fleet.run(fleet.now + 60_000)  # settled: what a member sends when nothing happens
    began = fleet.now
    sent = sum(fleet.sent_datagrams), sum(fleet.sent_bytes), sum(fleet.pushed_bytes)
    fleet.run(fleet.now + 120_000)
    span = (fleet.now - began) / 1000
    after = sum(fleet.sent_datagrams), sum(fleet.sent_bytes), sum(fleet.pushed_bytes)
    found["quiet"] = [(b - a) / n / span for a, b in zip(sent, after, strict=True)]
    for k in range(kills):
        victim = 2 + (k * 7919) % (n - 2)
        fleet.run(fleet.now + fleet.rng.uniform(0, PERIOD))
        at, seen_from = fleet.now, len(fleet.changes)
        fleet.kill(victim)
        name = f"m{victim}"
        holders = set()
        while len(holders) < n - 1 and fleet.now - at < 120_000:
            fleet.run(fleet.now + 50)
            for when, observer, change in fleet.changes[seen_from:]:
                if change.member != name:
                    continue
                if change.state is State.SUSPECT and not found["detect"][k:]:
                    found["detect"].append((when - at) / PERIOD)
                if change.state is State.DEAD:
                    if not found["dead"][k:]:
                        found["dead"].append((when - at) / PERIOD)
                    holders.add(observer)
            seen_from = len(fleet.changes)
        found["spread"].append((fleet.now - at) / PERIOD)
        found["to_all"].append(found["spread"][-1] - found["dead"][-1])
        fleet.start(victim, seeds=(0, 1))
        settle(fleet, 120_000)
    return found


def false_positives(n: int, seed: int, loss: float, minutes: float) -> float:
    """Deaths of live members per member-hour, under loss alone."""
    fleet = VirtualFleet(n, seed=seed)
    begin(fleet)
    settle(fleet, 600_000)
    fleet.line.loss = loss
    seen_from = len(fleet.changes)
    fleet.run(fleet.now + minutes * 60_000)
    wrong = {(c.member, c.incarnation) for _, _, c in fleet.changes[seen_from:] if c.state is State.DEAD}
    return len(wrong) / (n * minutes / 60)


def healing(n: int, seed: int) -> float:
    """Seconds until the views agree after two halves were cut for 30 s."""
    fleet = VirtualFleet(n, seed=seed)
    begin(fleet)
    settle(fleet, 600_000)
    fleet.partition(set(range(n // 2)), set(range(n // 2, n)))
    fleet.run(fleet.now + 30_000)
    fleet.heal()
    return settle(fleet, 600_000) / 1000


def virtual(sizes, seed):
    rows = []
    for n in sizes:
        kills = 30 if n <= 100 else 10 if n <= SETTLED else 5
        t = time.process_time()
        found = deaths(n, seed, kills)
        minutes = 30 if n <= 100 else 5 if n <= SETTLED else 2
        fp = {loss: false_positives(n, seed, loss, minutes) for loss in (0.0, 0.05, 0.2)}
        heal_s = healing(n, seed)
        rows.append((found, fp, heal_s, time.process_time() - t))
        print(format_virtual([rows[-1]]).splitlines()[-1], f"({rows[-1][3]:.0f} s of CPU)", flush=True)
    return rows


def both(values, digits=1) -> str:
    """The 50th and the 99th percentile."""
    return f"{quantile(values, 0.5):.{digits}f} / {quantile(values, 0.99):.{digits}f}"


def format_virtual(rows) -> str:
    lines = [
        "| n | joined (s) | detected (periods, p50 / p99) | first dead | all hold dead | first dead to all"
        " | log n + 3 | false deaths a member-hour, 0 / 5 / 20 % loss"
        " | a member a s, quiet: datagrams / bytes / push-pull bytes | halves agree (s) |",
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |",
    ]
    for found, fp, heal_s, _ in rows:
        n, quiet = found["n"], found["quiet"]
        lines.append(
            f"| {n} | {found['join_s']:.1f} | {both(found['detect'], 2)} | {both(found['dead'])}"
            f" | {both(found['spread'])} | {both(found['to_all'])} | {math.log10(n) + 3:.1f}"
            f" | {fp[0.0]:.2f} / {fp[0.05]:.2f} / {fp[0.2]:.2f}"
            f" | {quiet[0]:.2f} / {quiet[1]:.0f} / {quiet[2]:.0f} | {heal_s:.1f} |"
        )
    return "\n".join(lines)


# -- Real processes ---------------------------------------------------------------------------


def cpu_s(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def real(n: int, net: int) -> dict:
    tuning = {"tombstone_ms": 60_000.0}
    with tempfile.TemporaryDirectory() as place:
        fleet = Members(Path(place), n, net=net, fleet=tuning, faultline=True)
        fleet.open_line(seed=n)
        try:
            began = time.monotonic()
            fleet.start_all()
            for i in range(n):
                fleet.ready(i, 60)
            ready = time.monotonic() - began
            agreed = fleet.wait_agreed(120)
            time.sleep(30)  # the news of all the joins has gone out its number of times
            before = _sent(fleet)
            cpu0, t0 = cpu_s(fleet.programs[1].pid), time.monotonic()
            time.sleep(30)
            after, span = _sent(fleet), time.monotonic() - t0
            bytes_s = statistics.mean(a[0] - b[0] for a, b in zip(after, before, strict=True)) / span
            datagrams_s = statistics.mean(a[1] - b[1] for a, b in zip(after, before, strict=True)) / span
            cpu_share = (cpu_s(fleet.programs[1].pid) - cpu0) / span
            killed_at = time.time()
            fleet.kill(n - 1)
            fleet.wait_agreed(120)
            entries = viewcheck.read(fleet.log_path(i) for i in range(n))
            about = [
                e
                for e in entries
                if e.event == "fleet.member" and e.fields["member"] == f"m{n - 1}" and e.at > killed_at
            ]
            suspected = min((e.at for e in about if e.fields["state"] == "suspect"), default=float("nan"))
            dead = [e.at for e in about if e.fields["state"] == "dead"]
            return {
                "n": n, "ready_s": ready, "agreed_s": agreed, "bytes_s": bytes_s, "cpu": cpu_share,
                "datagrams_s": datagrams_s,
                "detect": (suspected - killed_at) * 1000 / PERIOD,
                "spread": (max(dead) - killed_at) * 1000 / PERIOD if dead else float("nan"),
            }  # fmt: skip
        finally:
            fleet.end()


def _sent(fleet) -> list[tuple[int, int]]:
    """Bytes and datagrams that each member has sent."""
    found = []
    for i in range(fleet.n):
        counts = dict(line.split("=") for line in _counters(fleet, i))
        found.append((int(counts.get("fleet.bytes_sent", 0)), int(counts.get("fleet.datagrams_sent", 0))))
    return found


def _counters(fleet, i):
    from molespur.standins.members import ask

    return [line for line in ask(fleet.ops(i), "fleet counters") if line != "eof"]


def format_real(rows) -> str:
    lines = [
        "| processes | all ready (s) | views agree after (s) | one killed: detected / all hold dead"
        " (periods) | a member a s, quiet: datagrams / bytes | CPU of a whole process (share of a core) |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    for r in rows:
        lines.append(
            f"| {r['n']} | {r['ready_s']:.1f} | {r['agreed_s']:.1f} | {r['detect']:.2f} / {r['spread']:.1f}"
            f" | {r['datagrams_s']:.2f} / {r['bytes_s']:.0f} | {r['cpu']:.4f} |"
        )
    return "\n".join(lines)


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--virtual", default="10,100,1000")
    parser.add_argument("--real", default="5,20,50")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--write", action="store_true")
    args = parser.parse_args()
    sizes = [int(x) for x in args.virtual.split(",") if x]
    text = ""
    if sizes:
        text += "## Virtual time\n\n" + format_virtual(virtual(sizes, args.seed)) + "\n\n"
        print(text, flush=True)
    reals = [int(x) for x in args.real.split(",") if x]
    if reals:
        rows = []
        for k, n in enumerate(reals):
            rows.append(real(n, 60 + k))
            print(format_real(rows[-1:]).splitlines()[-1], flush=True)
        text += "## Real processes\n\n" + format_real(rows) + "\n"
    print(text)
    if args.write:
        page = OUT.read_text() if OUT.exists() else ""
        OUT.write_text(page.partition("<!-- tables -->")[0] + "<!-- tables -->\n\n" + text)


if __name__ == "__main__":
    main()
