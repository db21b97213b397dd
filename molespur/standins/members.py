"""Real `python -m molespur serve` processes as members of one fleet, each on its own 127.0.0.x.

Member i has the host 127.N.2.(i+1) for clients, operators and gossip; behind a fault line it is reached at
127.N.1.(i+1) (see `faultline.py`), else at its own host.  Processes are killed (SIGKILL), paused (SIGSTOP)
and continued, and restarted with the same id.  Each writes its log as JSON lines to a file of its own;
`members(i)` asks its view through the operators' address.  For tests and measurements; never imported by
`serve`.
"""

import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path

from .loopback import reserved_net

GOSSIP_PORT, LISTEN_PORT, OPS_PORT, DISCOVERY_PORT = 7946, 3000, 9100, 8500

SETTINGS = {
    "discovery": "subscribe",
    "tick": 4.0,
    "profiles": [{"name": "lookup", "aim": 200.0, "deadline": 5000.0, "effect": "retryable"}],
    "limits": {"peerMessages": True, "tryLimit": 2},
}

FAST = {  # a fleet view that settles in seconds, for tests
    "period_ms": 200.0,
    "probe_timeout_ms": 80.0,
    "gossip_ms": 50.0,
    "push_pull_ms": 2_000.0,
    "tombstone_ms": 30_000.0,
    "tick_ms": 20.0,
}

SHARED = {  # shared state that settles in seconds, for tests; m0 to m2 are its witnesses
    "enabled": True,
    "witnesses": ["m0", "m1", "m2"],
    "lease_ms": 2_000.0,
    "loan_ms": 1_000.0,
    "renew_ms": 400.0,
    "margin_ms": 150.0,
    "bad_ms": 5_000.0,
}


def ask(address: tuple[str, int], line: str, wait_s: float = 2.0) -> list[str]:
    """One call at an operators' address.  Raises OSError where none comes."""
    with socket.create_connection(address, wait_s) as sock:
        sock.sendall(line.encode() + b"\n")
        text = b"".join(iter(lambda: sock.recv(65536), b""))
    return text.decode().splitlines()


class Members:
    """n members in `directory`; `net` picks the second octet of their hosts.

    `fleet` is the deployment's [fleet] table beside the id, the addresses and the seeds; `seeds` are the
    numbers of the members that the others join by; `known` gives the workers that member i has listed, and
    with `filed` they come from a file of its own, which `relist` writes anew.
    """

    def __init__(
        self,
        directory: Path,
        n: int,
        net: int | None = None,
        fleet: dict | None = None,
        faultline: bool = False,
        seeds: tuple[int, ...] = (0, 1),
        python: str = sys.executable,
        settings: dict | None = None,
        tables: dict | None = None,
        known: Callable[[int], list[dict]] = lambda i: [],
        filed: bool = False,
    ):
        self.directory, self.n, self.python = Path(directory), n, python
        self._net_lock, self.net = reserved_net() if net is None else (None, net)
        self.fleet, self.faultline, self.seeds = dict(FAST if fleet is None else fleet), faultline, seeds
        self.settings = SETTINGS if settings is None else settings  # the platform's, in LB_CONFIG
        self.tables = tables or {}  # more tables of the deployment file, such as [registry]
        self.known = known  # the workers that a member's configuration lists, in discovery's form
        self.filed = filed
        self.programs: dict[int, subprocess.Popen] = {}
        self.line: subprocess.Popen | None = None
        self.control: tuple[str, int] | None = None
        self.paused: set[int] = set()
        self._logs: dict[int, object] = {}
        self.root = Path(__file__).resolve().parent.parent.parent

    # -- Addresses -----------------------------------------------------------------------------

    def host(self, i: int) -> str:
        return f"127.{self.net}.2.{i + 1}"

    def front(self, i: int) -> str:
        """Where the others reach member i."""
        return f"127.{self.net}.1.{i + 1}" if self.faultline else self.host(i)

    def ops(self, i: int) -> tuple[str, int]:
        return (self.host(i), OPS_PORT)

    def log_path(self, i: int) -> Path:
        return self.directory / f"m{i}.log"

    # -- The fault line ------------------------------------------------------------------------

    def open_line(self, seed: int = 1, wait_s: float = 15.0) -> None:
        """Start the fault line between the members.  Raises RuntimeError where it does not come up."""
        run = [
            self.python, "-m", "molespur", "standin", "faultline", "--members", str(self.n),
            "--front", f"127.{self.net}.1", "--back", f"127.{self.net}.2", "--port", str(GOSSIP_PORT),
            "--control", f"127.{self.net}.3.1:0", "--seed", str(seed),
        ]  # fmt: skip
        self.line = subprocess.Popen(run, cwd=self.root, stdout=subprocess.PIPE, stderr=subprocess.PIPE)
        until = time.monotonic() + wait_s
        first = self.line.stdout.readline().decode()
        if not first.startswith("control at ") or time.monotonic() > until:
            raise RuntimeError(f"the fault line did not come up: {first!r} {self.line.stderr.read(400)!r}")
        host, _, port = first.split()[-1].rpartition(":")
        self.control = (host, int(port))

    def fault(self, *commands: str) -> list[str]:
        """Tell the fault line; its answers.  Raises AssertionError where one is not ok."""
        answers = ask(self.control, "\n".join(commands), 5.0)
        if any(a.startswith("fail") for a in answers):
            raise AssertionError(f"the fault line said {answers} to {commands}")
        return answers

    # -- Processes -----------------------------------------------------------------------------

    def _write(self, i: int) -> dict:
        place = self.directory / f"m{i}"
        place.mkdir(parents=True, exist_ok=True)
        file = {
            "name": f"m{i}",
            "listen": f"{self.host(i)}:{LISTEN_PORT}",
            "discovery": f"{self.host(i)}:{DISCOVERY_PORT}",
            "seed": f"{i + 1:x}",
            "settings": self.settings | {"balancers": self.n},
            "known": {"rev": 1, "all": True, "targets": self.known(i)},
            "limits": {"memory_mb": 192, "sockets": 256},
        }
        (place / "config.json").write_text(json.dumps(file))
        fleet = self.fleet | {
            "enabled": True,
            "id": f"m{i}",
            "bind": f"{self.host(i)}:{GOSSIP_PORT}",
            "advertise": f"{self.front(i)}:{GOSSIP_PORT}",
            "seeds": [f"{self.front(s)}:{GOSSIP_PORT}" for s in self.seeds if s != i],
        }
        lines, tables = [], {"log": {"format": "json"}, **self.tables, "fleet": fleet}
        if self.filed:
            tables["cluster"] = {"source": "file", "file": str(self._list(i))}
        for name, table in tables.items():
            lines += [f"[{name}]", *(f"{key} = {json.dumps(value)}" for key, value in table.items())]
        (place / "deployment.toml").write_text("\n".join(lines) + "\n")
        env = {k: v for k, v in os.environ.items() if not k.startswith(("LB_", "MOLESPUR_"))}
        return env | {
            "LB_CONFIG": str(place / "config.json"),
            "LB_OPS": "{}:{}".format(*self.ops(i)),
            "MOLESPUR_DEPLOYMENT": str(place / "deployment.toml"),
            "TMPDIR": str(place),
        }

    def _list(self, i: int) -> Path:
        """Write member i's list of workers."""
        path = self.directory / f"m{i}" / "workers.json"
        path.with_suffix(".new").write_text(json.dumps({"workers": self.known(i)}))
        path.with_suffix(".new").replace(path)
        return path

    def relist(self) -> None:
        """Tell each member its list of workers as it is now (SIGHUP)."""
        for i in self.running():
            self._list(i)
            self.programs[i].send_signal(signal.SIGHUP)

    def start(self, i: int) -> subprocess.Popen:
        """Start member i (again, with the same id)."""
        env = self._write(i)
        if i not in self._logs:
            self._logs[i] = open(self.log_path(i), "ab")  # noqa: SIM115 - closed in `end`
        program = subprocess.Popen(
            [self.python, "-m", "molespur", "serve"], cwd=self.root, env=env,
            stdout=subprocess.DEVNULL, stderr=self._logs[i],
        )  # fmt: skip
        self.programs[i] = program
        self.paused.discard(i)
        return program

    def start_all(self, which=None) -> None:
        for i in range(self.n) if which is None else which:
            self.start(i)

    def ready(self, i: int, wait_s: float = 20.0) -> None:
        """Wait until member i answers its operators.  Raises TimeoutError."""
        until = time.monotonic() + wait_s
        while time.monotonic() < until:
            with contextlib.suppress(OSError):
                if ask(self.ops(i), "readyz", 1.0) == ["ok"]:
                    return
            if self.programs[i].poll() is not None:
                raise RuntimeError(f"m{i} ended with {self.programs[i].returncode}")
            time.sleep(0.05)
        raise TimeoutError(f"m{i} is not ready after {wait_s} s")

    def kill(self, i: int) -> None:
        program = self.programs.pop(i, None)
        if program is not None:
            with contextlib.suppress(ProcessLookupError):
                program.send_signal(signal.SIGKILL)
            program.wait(10)
        self.paused.discard(i)

    def pause(self, i: int) -> None:
        self.programs[i].send_signal(signal.SIGSTOP)
        self.paused.add(i)

    def cont(self, i: int) -> None:
        self.programs[i].send_signal(signal.SIGCONT)
        self.paused.discard(i)

    def terminate(self, i: int, wait_s: float = 10.0) -> int:
        """SIGTERM, and wait for the end; its exit code."""
        program = self.programs.pop(i)
        program.send_signal(signal.SIGTERM)
        return program.wait(wait_s)

    def restart(self, i: int) -> None:
        self.kill(i)
        self.start(i)

    def running(self) -> set[int]:
        return {i for i, p in self.programs.items() if p.poll() is None}

    def live_ids(self) -> set[str]:
        """Members that run and are not paused."""
        return {f"m{i}" for i in self.running() - self.paused}

    # -- Views ---------------------------------------------------------------------------------

    def members(self, i: int) -> dict[str, tuple[str, int]]:
        """Member i's view: id to (state, incarnation).  Raises OSError where it does not answer."""
        lines = ask(self.ops(i), "fleet members")
        if not lines or lines[-1] != "eof":
            raise OSError(f"m{i}: {lines[:1]}")
        return {row[0]: (row[2], int(row[3])) for row in (line.split() for line in lines[:-1])}

    def agreed(self, expected: set[str] | None = None) -> bool:
        """Every live member holds exactly the live members alive, and no suspect (or `expected` alive)."""
        expected = self.live_ids() if expected is None else expected
        for i in self.running() - self.paused:
            try:
                view = self.members(i)
            except OSError:
                return False
            if {m for m, (state, _) in view.items() if state == "alive"} != expected:
                return False
            if any(state == "suspect" for state, _ in view.values()):
                return False
        return True

    def wait_agreed(self, wait_s: float, expected: set[str] | None = None) -> float:
        """Seconds until all views agree.  Raises TimeoutError."""
        began = time.monotonic()
        while time.monotonic() - began < wait_s:
            if self.agreed(expected):
                return time.monotonic() - began
            time.sleep(0.1)
        raise TimeoutError(f"views did not agree within {wait_s} s")

    def end(self) -> None:
        for i in list(self.programs):
            if i in self.paused:
                with contextlib.suppress(ProcessLookupError):
                    self.programs[i].send_signal(signal.SIGCONT)
            self.kill(i)
        for log in self._logs.values():
            log.close()
        if self.line is not None:
            self.line.kill()
            self.line.wait(10)
            self.line.stdout.close()
            self.line.stderr.close()
