"""Running it day to day, measured: figures under load, and one process replaced by another.

    python -m benchmarks.operations [--jobs N] [--root CHECKOUT] [--write]

Real processes on loopback: a scheduler, three stand-in workers and clients with kept connections.  `--root`
measures the program of another checkout, which may know no operators' address; `--write` keeps the table.
"""

import argparse
import contextlib
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import trio

from molespur.standins.jobs import SETTINGS
from molespur.standins.site import free_port
from molespur.standins.workers import Worker

ROOT = Path(__file__).parents[1]
OUT = ROOT / "docs" / "measurements" / "operations.md"
WORK_MS, CLIENTS, SOCKETS = 5.0, 24, 384


class Program:
    """One process of the scheduler."""

    def __init__(self, root: Path, folder: Path, config: dict, ops: bool):
        path = folder / "config.json"
        path.write_text(json.dumps(config))
        env = {k: v for k, v in os.environ.items() if not k.startswith(("LB_", "MOLESPUR_"))}
        env |= {"LB_CONFIG": str(path), "TMPDIR": str(folder / "tmp"), "PYTHONPATH": str(root)}
        (folder / "tmp").mkdir(exist_ok=True)
        self.ops = ("127.0.0.1", free_port()) if ops else None
        if ops:
            env["LB_OPS"] = "{}:{}".format(*self.ops)
        self.started = time.monotonic()
        with open(folder / "log", "a") as log:
            self.process = subprocess.Popen([sys.executable, "-m", "molespur"], cwd=root, env=env, stderr=log)

    def cpu_s(self) -> float:
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def held(self) -> tuple[int, float]:
        """Descriptors and megabytes."""
        with contextlib.suppress(OSError, IndexError):
            status = Path(f"/proc/{self.process.pid}/status").read_text()
            rss = int(status.partition("VmRSS:")[2].split()[0]) / 1024
            return len(os.listdir(f"/proc/{self.process.pid}/fd")), rss
        return 0, 0.0

    async def call(self, line: str) -> tuple[list[str], float]:
        """The answer and how long it took, in ms."""
        begun = time.monotonic()
        stream = await trio.open_tcp_stream(*self.ops)
        async with stream:
            await stream.send_all(line.encode() + b"\n")
            text = b"".join([data async for data in stream])
        return text.decode().splitlines(), (time.monotonic() - begun) * 1000

    async def ready(self, address) -> float:
        """Until it says yes; how long that took from its start, in ms."""
        with trio.fail_after(30):
            while True:
                with contextlib.suppress(OSError):
                    if self.ops is None:
                        (await trio.open_tcp_stream(*address)).socket.close()
                        break
                    if (await self.call("readyz"))[0] == ["ok"]:
                        break
                await trio.sleep(0.005)
        return (time.monotonic() - self.started) * 1000


class Load:
    """Clients with kept connections that hand in one job after another."""

    def __init__(self, address):
        self.address, self.going, self.served, self.lost, self.again = address, True, 0, 0, 0
        self.left = float("inf")

    async def client(self, number: int, pause_s: float) -> None:
        stream, count = None, 0
        while self.going and self.left > 0:
            self.left -= 1
            count += 1
            request = (
                f"POST /lookup HTTP/1.1\r\nHost: x\r\nX-Request-ID: {id(self)}-{number}-{count}\r\n"
                "X-Timeout-Ms: 5000\r\nContent-Length: 2\r\n\r\nhi"
            ).encode()
            for _ in range(2):
                kept, answer = stream is not None, b""
                with contextlib.suppress(OSError, trio.BrokenResourceError):
                    stream = stream or await trio.open_tcp_stream(*self.address)
                    await stream.send_all(request)
                    answer = await stream.receive_some(65536)
                if answer or not kept:
                    break
                # the close of a kept connection crossed the request: it is sent once more
                self.again += 1
                await stream.aclose()
                stream = None
            if answer.startswith(b"HTTP/1.1 200"):
                self.served += 1
            else:
                self.lost += 1
            if stream and (not answer or b"onnection: close" in answer):
                await stream.aclose()
                stream = None
            if pause_s:
                await trio.sleep(pause_s)
        if stream:
            await stream.aclose()


def percentile(values: list[float], share: float) -> float:
    ranked = sorted(values)
    return ranked[min(int(share * len(ranked)), len(ranked) - 1)]


async def scrape(program: Program, every_s: float, found: list[float]) -> None:
    while True:
        found.append((await program.call("telemetry"))[1])
        await trio.sleep(every_s)


async def cost(program: Program, address, jobs: int, every_s: float | None) -> tuple[float, list[float]]:
    """CPU for a job, in ms, and how long each scrape took."""
    load, found, before = Load(address), [], program.cpu_s()
    load.left = jobs
    async with trio.open_nursery() as nursery:
        if every_s is not None:
            nursery.start_soon(scrape, program, every_s, found)
        async with trio.open_nursery() as clients:
            for number in range(CLIENTS):
                clients.start_soon(load.client, number, 0.0)
        nursery.cancel_scope.cancel()
    if load.lost:
        raise RuntimeError(f"{load.lost} jobs were lost")
    return (program.cpu_s() - before) * 1000 / jobs, found


async def watch(programs: list[Program], most: list[tuple[int, float]]) -> None:
    """The most that two processes hold together."""
    while True:
        held = [program.held() for program in programs[-2:]]
        most.append((sum(fds for fds, _ in held), sum(rss for _, rss in held)))
        await trio.sleep(0.01)


async def measure(root: Path, jobs: int) -> list[tuple[str, str]]:
    rows = []
    knows_ops = (root / "molespur" / "operations").is_dir()
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        address = ("127.0.0.1", free_port())
        async with trio.open_nursery() as nursery:
            targets = []
            for n in range(3):
                place = await nursery.start(Worker(f"w{n}", 64, WORK_MS).run)
                targets.append({"uid": f"w{n}", "endpoint": "{}:{}".format(*place), "az": "z", "model": "k"})
            config = {
                "name": "n", "listen": "{}:{}".format(*address), "seed": "1",
                "discovery": f"127.0.0.1:{free_port()}",
                "settings": SETTINGS, "known": {"rev": 1, "all": True, "targets": targets},
                "limits": {"memory_mb": 192, "sockets": SOCKETS},
            }  # fmt: skip
            programs = [Program(root, folder, config, knows_ops)]
            try:
                await programs[0].ready(address)
                await cost(programs[0], address, jobs // 4, None)
                plain = [(await cost(programs[0], address, jobs, None))[0] for _ in range(3)]
                rows.append(("CPU for a job, ms (median of 3)", f"{percentile(plain, 0.5):.3f}"))
                if knows_ops:
                    asked = [await cost(programs[0], address, jobs, 0.5) for _ in range(3)]
                    rows.append(
                        ("the same with a scrape each 0.5 s", f"{percentile([c for c, _ in asked], 0.5):.3f}")
                    )
                    _, found = await cost(programs[0], address, jobs, 0.02)
                    spread = [f"{percentile(found, q):.1f}" for q in (0.5, 0.99, 1.0)]
                    rows.append(
                        (f"scrape while saturated, ms: 50th, 99th, most of {len(found)}", ", ".join(spread))
                    )
                    rows += await replace(root, folder, config, address, programs)
            finally:
                for program in programs:
                    program.process.kill()
                    program.process.wait()
            nursery.cancel_scope.cancel()
    return rows


async def replace(root, folder, config, address, programs) -> list[tuple[str, str]]:
    """Three replacements in a row under a steady load."""
    load, most, readies, leaves = Load(address), [], [], []
    alone = programs[0].held()
    async with trio.open_nursery() as nursery:
        for number in range(CLIENTS):
            nursery.start_soon(load.client, number, 0.05)
        watching = trio.CancelScope()

        async def look():
            with watching:
                await watch(programs, most)

        nursery.start_soon(look)
        await trio.sleep(0.5)
        for _ in range(3):
            old = programs[-1]
            programs.append(Program(root, folder, config, True))
            readies.append(await programs[-1].ready(address))
            old.process.send_signal(signal.SIGTERM)
            told = time.monotonic()
            with trio.fail_after(10):
                while old.process.poll() is None:
                    await trio.sleep(0.005)
            leaves.append((time.monotonic() - told) * 1000)
            await trio.sleep(0.5)
        load.going = False
        watching.cancel()
    fds, megabytes = max(f for f, _ in most), max(m for _, m in most)
    return [
        ("one process: descriptors, MB", f"{alone[0]}, {alone[1]:.0f}"),
        ("two processes: most descriptors, most MB", f"{fds}, {megabytes:.0f}"),
        ("three replacements: yes after, ms", ", ".join(f"{x:.0f}" for x in readies)),
        ("the old one gone after SIGTERM, ms", ", ".join(f"{x:.0f}" for x in leaves)),
        ("jobs served, lost, sent once more", f"{load.served}, {load.lost}, {load.again}"),
    ]


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--jobs", type=int, default=4000)
    parser.add_argument("--root", type=Path, default=ROOT)
    parser.add_argument("--write", action="store_true")
    given = parser.parse_args()
    rows = trio.run(measure, given.root.resolve(), given.jobs)
    rows = [("what", "figure"), ("---", "---"), *rows]
    table = "\n".join(f"| {name} | {value} |" for name, value in rows)
    print(table)
    if given.write:
        OUT.write_text(f"{OUT.read_text().partition('<!-- table -->')[0]}<!-- table -->\n\n{table}\n")


if __name__ == "__main__":
    main()
