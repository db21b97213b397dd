"""Real scheduler processes at one address, with a worker and clients on loopback."""

import contextlib
import json
import os
import socket
import subprocess
import sys
import threading
import time
from pathlib import Path

from scenario import SETTINGS, target
from test_program import free_address

ROOT = Path(__file__).parent.parent


def split_address(address):
    host, _, port = address.rpartition(":")
    return host, int(port)


def call_ops(ops, line):
    with socket.create_connection(split_address(ops), 5) as sock:
        sock.sendall(line.encode() + b"\n")
        return b"".join(iter(lambda: sock.recv(4096), b"")).decode()


def wait_until(condition, seconds=15):
    """Wait until a condition holds, for a bounded time."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        with contextlib.suppress(OSError):
            if condition():
                return
        time.sleep(0.02)
    raise AssertionError("the condition did not hold in time")


class Worker:
    """A records worker that answers each job after wait_s, in threads of its own."""

    def __init__(self, wait_s):
        self.wait_s, self.server = wait_s, socket.create_server(("127.0.0.1", 0))
        self.port = self.server.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        with contextlib.suppress(OSError):
            while True:
                threading.Thread(target=self.serve, args=(self.server.accept()[0],), daemon=True).start()

    def serve(self, sock):
        with sock, contextlib.suppress(OSError):
            text = b""
            while data := sock.recv(65536):
                text += data
                while b"\r\n\r\nhi" in text:
                    head, _, text = text.partition(b"\r\n\r\nhi")
                    lines = head.lower().split(b"\r\n")
                    name = next(x for x in lines if x.startswith(b"x-request-id:")).split()[1].decode()
                    time.sleep(self.wait_s)
                    line = json.dumps({"id": name, "state": "done", "result": name}).encode() + b"\n"
                    sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(line), line))


class Site:
    """Processes of one scheduler at one address."""

    def __init__(self, tmp_path, wait_s=0.0):
        self.worker, self.listen, self.tmp = Worker(wait_s), free_address(), tmp_path / "tmp"
        self.tmp.mkdir()
        known = {
            "rev": 4,
            "all": True,
            "targets": [target("w1") | {"endpoint": f"127.0.0.1:{self.worker.port}"}],
        }
        file = {
            "name": "n", "listen": self.listen, "discovery": free_address(), "seed": "8c1f",
            "settings": SETTINGS, "known": known, "limits": {"memory_mb": 192, "sockets": 384},
        }  # fmt: skip
        (tmp_path / "config.json").write_text(json.dumps(file))
        env = {k: v for k, v in os.environ.items() if not k.startswith("LB_")}
        self.env = env | {"LB_CONFIG": str(tmp_path / "config.json"), "TMPDIR": str(self.tmp)}
        self.programs, self.log = [], open(tmp_path / "log", "w")  # noqa: SIM115 - closed at the end

    def start(self, ready=True):
        ops = free_address()
        run = [sys.executable, "-m", "molespur"]
        program = subprocess.Popen(run, cwd=ROOT, env=self.env | {"LB_OPS": ops}, stderr=self.log)
        program.ops = ops
        self.programs.append(program)
        if ready:
            wait_until(lambda: call_ops(ops, "readyz") == "ok\n")
        return program

    def up(self):
        with socket.create_connection(split_address(self.listen), 5) as sock:
            sock.sendall(b"GET /up HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            return sock.recv(100).startswith(b"HTTP/1.1 200")

    def end(self):
        for program in self.programs:
            program.kill()
            program.wait(30)
        self.log.close()
        self.worker.server.close()


class ClientLoad:
    """Clients that submit one job after another until `stop`, and count served and lost jobs."""

    def __init__(self, site, many=8):
        self.site, self.running, self.served, self.lost = site, True, 0, []
        self.threads = [threading.Thread(target=self.go, args=(i,), daemon=True) for i in range(many)]
        for thread in self.threads:
            thread.start()

    def go(self, number):
        sock, count = None, 0
        while self.running and count < 2000:
            count += 1
            name = f"r{number}-{count}"
            head = f"POST /lookup HTTP/1.1\r\nHost: x\r\nX-Request-ID: {name}\r\nX-Timeout-Ms: 5000\r\n"
            for attempt in range(2):
                try:
                    kept = sock is not None
                    sock = sock or socket.create_connection(split_address(self.site.listen), 5)
                    sock.sendall(f"{head}Content-Length: 2\r\n\r\nhi".encode())
                    answer = sock.recv(65536)
                except OSError as problem:
                    answer, why = b"", repr(problem)
                else:
                    why = "closed"
                if answer.startswith(b"HTTP/1.1 200") and answer.endswith(name.encode()):
                    self.served += 1
                else:
                    # the connection was closed while the request was on its way: it is sent once more
                    if not (kept and not answer and attempt == 0):
                        self.lost.append((name, why, answer[:80]))
                    sock.close()
                    sock = None
                    if attempt == 0 and kept and not answer:
                        continue
                if b"connection: close" in answer.lower() and sock:
                    sock.close()
                    sock = None
                break

    def stop(self):
        self.running = False
        for thread in self.threads:
            thread.join(20)
        return self.served, self.lost
