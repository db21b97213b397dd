"""The program as a process: configuration, signals, exit; and its timer wheel and listeners."""

import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import threading
import time
import urllib.request
from pathlib import Path

import pytest
import trio
from scenario import SETTINGS, target
from trio.testing import MockClock

from molespur import config
from molespur.interface import NEVER_RAN
from molespur.net.failure import Cause, Failure, Stage
from molespur.net.listening import open_listener
from molespur.net.wheel import Wheel

ROOT = Path(__file__).parent.parent
GOOD = {
    "name": "n", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "seed": "8c1f", "settings": SETTINGS,
    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
    "known": {"rev": 4, "all": True, "targets": [target("w1")]},
}  # fmt: skip


def changed(path, value):
    """The valid configuration with one key replaced."""
    text = json.loads(json.dumps(GOOD))
    *parents, last = path.split(".")
    part = text
    for key in parents:
        part = part[int(key) if key.isdecimal() else key]
    part[last] = value
    return text


def load(tmp_path, content, **environ):
    path = tmp_path / "config.json"
    path.write_text(content if isinstance(content, str) else json.dumps(content))
    return config.load({"LB_CONFIG": str(path)} | environ)


@pytest.mark.parametrize(
    ("content", "names"),
    [
        (changed("listen", "nowhere"), ["LB_LISTEN", "nowhere"]),
        (changed("discovery", "127.0.0.1:x"), ["LB_CONFIG: discovery"]),
        (changed("seed", "xyz"), ["seed"]),
        (changed("limits.sockets", 8), ["limits.sockets"]),
        (changed("settings.profiles.0.aim", "soon"), ["settings.profiles[0].aim"]),
        (changed("settings.profiles.1.effect", "odd"), ["settings.profiles[1].effect"]),
        (changed("settings.profiles", []), ["settings", "classes"]),
        (changed("settings.tick", -1), ["settings.tick"]),
        (changed("known.targets.0.state", "odd"), ["known.targets[0].state"]),
        ("{nonsense", ["LB_CONFIG", "JSON"]),
        ({"name": "n"}, ["settings"]),
    ],
)
def test_an_invalid_configuration_names_the_key_in_one_line(tmp_path, content, names):
    with pytest.raises(config.ConfigError) as caught:
        load(tmp_path, content)
    text = str(caught.value)
    assert "\n" not in text and all(name in text for name in names), text


def test_the_configuration_has_defaults_and_variables_take_precedence(tmp_path):
    given = load(tmp_path, GOOD, LB_LISTEN="127.0.0.9:80", LB_NAME="m")
    assert (given.listen, given.name, given.seed) == (("127.0.0.9", 80), "m", 0x8C1F)
    assert given.dial_timeout_ms == 150.0 and given.known.rev == 4
    assert given.settings.classes[0].deadline_ms == 5000.0


def test_a_missing_configuration_ends_the_program_with_one_line():
    run = [sys.executable, "-m", "molespur"]
    env = {k: v for k, v in os.environ.items() if not k.startswith("LB_")}
    done = subprocess.run(run, cwd=ROOT, env=env, capture_output=True, text=True, timeout=60)
    assert done.returncode != 0 and done.stderr == "molespur: LB_CONFIG: not set\n"


def free_address():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{sock.getsockname()[1]}"


@contextlib.contextmanager
def running(tmp_path, listen, **environ):
    """A running program, its configuration file, and a function that reads its log up to a word."""
    path = tmp_path / "config.json"
    path.write_text(json.dumps(GOOD | {"listen": listen, "discovery": free_address()}))
    env = (
        {k: v for k, v in os.environ.items() if not k.startswith("LB_")} | {"LB_CONFIG": str(path)} | environ
    )
    run = [sys.executable, "-m", "molespur"]
    program = subprocess.Popen(run, cwd=ROOT, env=env, stderr=subprocess.PIPE, text=True)
    # guards against a test that waits forever for a line that never comes
    late = threading.Timer(120, program.kill)
    late.start()

    def read_to(word):
        while word not in (line := program.stderr.readline()):
            assert line, "the program has ended before it logged the word"
        return line

    try:
        while program.poll() is None:
            try:
                with urllib.request.urlopen(f"http://{listen}/up") as answer:
                    assert answer.status == 200
                break
            except OSError:
                time.sleep(0.05)
        yield program, path, read_to
        program.send_signal(signal.SIGTERM)
        _, rest = program.communicate(timeout=60)
        assert program.returncode == 0 and "counters n" in rest
    finally:
        late.cancel()
        program.kill()


def test_the_program_starts_prints_its_counters_stops_and_binds_again(tmp_path):
    """Discovery is down: the program serves with the list that it has, and exits with 0 after SIGTERM."""
    here = free_address()
    for _ in range(2):
        with running(tmp_path, here) as (program, _, read_to):
            program.send_signal(signal.SIGUSR1)
            assert '"in.connections":1' in read_to("counters n")


def test_a_reload_connects_to_the_new_discovery_and_never_ends_the_program(tmp_path):
    """Guards against a SIGHUP that kills, an invalid file, and a variable that hides the file's value."""
    with (
        socket.create_server(("127.0.0.1", 0)) as discovery,
        running(tmp_path, free_address(), LB_DISCOVERY=free_address()) as (program, path, read_to),
    ):
        for content, named in (("{nonsense", "JSON"), (json.dumps(changed("discovery", "x")), "discovery")):
            path.write_text(content)
            program.send_signal(signal.SIGHUP)
            assert named in read_to("keeping the running configuration")
        new = "{}:{}".format(*discovery.getsockname())
        path.write_text(json.dumps(changed("discovery", new) | {"listen": "127.0.0.9:80"}))
        program.send_signal(signal.SIGHUP)
        assert "listen" in read_to("reload.needs_restart")
        discovery.settimeout(60)
        connection, _ = discovery.accept()
        assert connection.recv(4096).startswith(b"GET /discovery/hosts?watch=1 ")
        program.send_signal(signal.SIGTERM)  # during the reload: the exit code is 0 all the same
        program.send_signal(signal.SIGHUP)
        connection.close()


def test_timers_fire_in_order_at_ticks_and_can_be_cancelled():
    async def main():
        wheel, seen = Wheel(4.0), []

        def note(name):
            seen.append((name, trio.current_time() * 1000 % 4 < 0.001))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(wheel.run)
            wheel.after(9000.0, note, "a long one")  # more than one revolution of the wheel
            wheel.after(50.0, note, "b")
            wheel.after(10.0, note, "a")
            wheel.after(20.0, note, "never").cancel()
            wheel.after(30.0, lambda: 1 / 0)  # guards against an exception in one timer that stops the others
            await trio.sleep(0.1)
            assert seen == [("a", True), ("b", True)]
            await trio.sleep(9)
            assert len(seen) == 3
            nursery.cancel_scope.cancel()

    trio.run(main, clock=MockClock(autojump_threshold=0))


@pytest.mark.parametrize("cause", Cause)
@pytest.mark.parametrize("stage", Stage)
def test_only_proof_counts_as_an_attempt_that_never_ran(stage, cause):
    proof = stage < Stage.SENT or cause in (Cause.REJECTED, Cause.NOT_SENT)
    never = Failure(stage, cause).outcome in NEVER_RAN
    assert never == (proof and cause is not Cause.CANCELLED)


def test_a_wake_up_at_a_tick_fires_the_timers_of_that_tick():
    """Guards against a busy loop: at some ticks the clock's reading rounds to just before them."""

    async def main():
        wheel, seen = Wheel(4.0), []
        ticks = [t for t in range(1, 3000) if int(t * 4.0 / 1000 * 1000 / 4.0) < t]
        assert ticks
        for tick in ticks:
            wheel.after(tick * 4.0 - 1, seen.append, tick)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(wheel.run)
            with trio.move_on_after(13):
                while len(seen) < len(ticks):
                    await trio.sleep(0.5)
            nursery.cancel_scope.cancel()
        assert seen == ticks

    trio.run(main, clock=MockClock(autojump_threshold=0))


@pytest.mark.parametrize("host", ["127.0.0.1", "::1"])
def test_the_program_listens_on_each_kind_of_address(host):
    async def main():
        try:
            listener = await open_listener((host, 0), "LB_LISTEN", shared=True)
        except config.ConfigError:
            pytest.skip("this machine has no such address")
        assert listener.socket.getsockname()[0] == host
        await listener.aclose()

    trio.run(main)
