"""The program as it is started: configuration, signals, exit, and its timer wheel."""

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
    """The good file with one key replaced."""
    text = json.loads(json.dumps(GOOD))
    *way, last = path.split(".")
    part = text
    for key in way:
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
def test_bad_configuration_names_the_key_in_one_line(tmp_path, content, names):
    with pytest.raises(config.ConfigError) as caught:
        load(tmp_path, content)
    text = str(caught.value)
    assert "\n" not in text and all(name in text for name in names), text


def test_configuration_is_complete_and_variables_go_first(tmp_path):
    given = load(tmp_path, GOOD, LB_LISTEN="127.0.0.9:80", LB_NAME="m")
    assert (given.listen, given.name, given.seed) == (("127.0.0.9", 80), "m", 0x8C1F)
    assert given.dial_timeout_ms == 150.0 and given.known.rev == 4
    assert given.settings.classes[0].deadline_ms == 5000.0


def test_no_configuration_exits_with_one_line():
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
    """The program, up, with a way to read its log up to a word."""
    path = tmp_path / "config.json"
    path.write_text(json.dumps(GOOD | {"listen": listen, "discovery": free_address()}))
    env = (
        {k: v for k, v in os.environ.items() if not k.startswith("LB_")} | {"LB_CONFIG": str(path)} | environ
    )
    run = [sys.executable, "-m", "molespur"]
    program = subprocess.Popen(run, cwd=ROOT, env=env, stderr=subprocess.PIPE, text=True)
    # guards against a test that waits for good for a line that never comes
    late = threading.Timer(120, program.kill)
    late.start()

    def read_to(word):
        while word not in (line := program.stderr.readline()):
            assert line, "the program has ended"
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


def test_program_comes_up_tells_its_counters_leaves_and_binds_again(tmp_path):
    """Discovery is down: the program serves with the list it has, and SIGTERM ends it with 0."""
    here = free_address()
    for _ in range(2):
        with running(tmp_path, here) as (program, _, read_to):
            program.send_signal(signal.SIGUSR1)
            assert '"in.connections":1' in read_to("counters n")


def test_a_reload_goes_to_the_new_discovery_and_never_ends_the_program(tmp_path):
    """Guards against a SIGHUP that kills, a file that can't be used, and a variable that masks the file."""
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
        asked, _ = discovery.accept()
        assert asked.recv(4096).startswith(b"GET /discovery/hosts?watch=1 ")
        program.send_signal(signal.SIGTERM)  # amid the reload: it ends with 0 all the same
        program.send_signal(signal.SIGHUP)
        asked.close()


def test_timers_come_in_order_at_ticks_and_can_be_called_off():
    async def main():
        wheel, seen = Wheel(4.0), []

        def note(name):
            seen.append((name, trio.current_time() * 1000 % 4 < 0.001))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(wheel.run)
            wheel.after(9000.0, note, "a long one")  # more than a turn of the wheel
            wheel.after(50.0, note, "b")
            wheel.after(10.0, note, "a")
            wheel.after(20.0, note, "never").cancel()
            wheel.after(30.0, lambda: 1 / 0)  # guards against one bad timer that stops the others
            await trio.sleep(0.1)
            assert seen == [("a", True), ("b", True)]
            await trio.sleep(9)
            assert len(seen) == 3
            nursery.cancel_scope.cancel()

    trio.run(main, clock=MockClock(autojump_threshold=0))


@pytest.mark.parametrize("cause", Cause)
@pytest.mark.parametrize("stage", Stage)
def test_only_proof_counts_as_never_ran(stage, cause):
    proof = stage < Stage.SENT or cause in (Cause.REJECTED, Cause.NOT_SENT)
    never = Failure(stage, cause).outcome in NEVER_RAN
    assert never == (proof and cause is not Cause.CANCELLED)


def test_a_wake_up_at_a_tick_counts_as_that_tick():
    """Guards against a wheel that spins: at some ticks the clock's reading rounds to just before them."""

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
def test_each_kind_of_address_is_listened_on(host):
    async def main():
        try:
            listener = await open_listener((host, 0), "LB_LISTEN", shared=True)
        except config.ConfigError:
            pytest.skip("this machine has no such address")
        assert listener.socket.getsockname()[0] == host
        await listener.aclose()

    trio.run(main)
