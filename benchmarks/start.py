"""`python -m benchmarks.start`: processes that start together on one machine, until they are up.

Reports the CPU time of one process up to then (user and system), its share of the time that passed, and
when nine in ten were up.  Wall time depends on the machine and what else runs there; CPU time much less.
"""

import argparse
import json
import os
import socket
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path

SETTINGS = {
    "balancers": 30, "discovery": "subscribe", "zone": "z", "shapes": ["k"], "tick": 4.0,
    "profiles": [{"name": "job", "aim": 300.0, "deadline": 5000.0, "effect": "retryable"}],
    "limits": {"tryLimit": 3, "dialTimeout": 150.0, "connIdle": 30000.0, "probing": False},
    "rules": {"mustAskIn": 10000.0},
}  # fmt: skip
WORKERS = 100
UP_S = 60.0


def cpu_s(pid: int) -> float:
    """User and system time of a process so far, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def is_up(address: tuple[str, int]) -> bool:
    try:
        with socket.create_connection(address, 1) as sock:
            sock.sendall(b"GET /up HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            return sock.recv(100).startswith(b"HTTP/1.1 200")
    except OSError:
        return False


def measure(many: int, folder: Path) -> tuple[float, float, float]:
    """Median CPU seconds of a process, its median share of the time, seconds until nine in ten are up."""
    place = {"az": "z", "model": "k"}
    targets = [{"uid": f"w{i}", "endpoint": f"127.0.0.1:{20000 + i}"} | place for i in range(WORKERS)]
    programs, up = [], {}
    try:
        began = time.monotonic()
        for i in range(many):
            with socket.create_server(("127.0.0.1", 0)) as free:
                address = free.getsockname()
            file = folder / f"{i}.json"
            file.write_text(json.dumps({
                "name": f"n{i}", "listen": "{}:{}".format(*address), "discovery": "127.0.0.1:9", "seed": "7",
                "settings": SETTINGS, "known": {"rev": 1, "all": True, "targets": targets},
            }))  # fmt: skip
            env = {k: v for k, v in os.environ.items() if not k.startswith("LB_")} | {"LB_CONFIG": str(file)}
            run = [sys.executable, "-m", "molespur"]
            program = subprocess.Popen(run, env=env, stderr=subprocess.DEVNULL)
            programs.append((program, address, time.monotonic()))
        while len(up) < many and time.monotonic() - began < UP_S:
            for program, address, since in programs:
                if program.pid not in up and is_up(address):
                    passed = time.monotonic() - since
                    up[program.pid] = (cpu_s(program.pid), passed, time.monotonic() - began)
            time.sleep(0.01)
    finally:
        for program, *_ in programs:
            program.kill()
            program.wait()
    assert len(up) == many, f"{many - len(up)} were not up after {UP_S:.0f} s"
    times = sorted(at for *_, at in up.values())
    shares = [cpu / passed for cpu, passed, _ in up.values()]
    used = statistics.median(cpu for cpu, *_ in up.values())
    return used, statistics.median(shares), times[-(-9 * many // 10) - 1]


def main() -> None:
    raw = argparse.RawDescriptionHelpFormatter
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=raw)
    parser.add_argument("--many", default="1,30")
    many = parser.parse_args().many
    print("| processes | CPU s of one | share of its time until up | nine in ten up after s |")
    print("| --- | --- | --- | --- |")
    for count in map(int, many.split(",")):
        with tempfile.TemporaryDirectory() as folder:
            used, share, ninth = measure(count, Path(folder))
        print(f"| {count} | {used:.2f} | {share:.2f} | {ninth:.1f} |")


if __name__ == "__main__":
    main()
