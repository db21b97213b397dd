"""Real processes of the fleet: a settings file that can't be used, a SIGHUP, a SIGTERM."""

import os
import signal
import socket
import subprocess
import sys
from pathlib import Path

import pytest

from molespur.system.data_plane.role import GRACE_MARGIN_S, plan_stop

ROOT = Path(__file__).resolve().parents[2]
SETTINGS = """
NodeName: "{role}"
Ip: "127.0.12.{host}"
Zone: "a"
PortRange: [19060, 19075]
SeedNodes: ["127.0.12.1:19046"]
Listen:
  ControlPlane: "127.0.12.{host}:19046"
  Frontend: "127.0.12.{host}:19044"
  Readiness: "127.0.12.{host}:19040"
Bootstrap: true
DataDirectory: "{folder}"
"""


def start(role, folder, text):
    path = folder / "boot.yaml"
    path.write_text(text)
    environment = {**os.environ, "MOLESPUR_SETTINGS": str(path)}
    return subprocess.Popen(
        [sys.executable, "-m", "molespur", role], cwd=ROOT, env=environment, stderr=subprocess.PIPE, text=True
    )


def wait_for(process, word):
    for line in process.stderr:
        if word in line:
            return line
    raise AssertionError(f"the process ended before it said {word!r}")


@pytest.mark.parametrize(("role", "host"), [("control-plane", 1), ("data-plane", 2)])
def test_a_process_heeds_sighup_and_ends_with_0_on_sigterm(tmp_path, role, host):
    text = SETTINGS.format(role=role, host=host, folder=tmp_path / "disk")
    process = start(role, tmp_path, text)
    try:
        wait_for(process, role.replace("-", " "))
        (tmp_path / "boot.yaml").write_text("- not settings")
        process.send_signal(signal.SIGHUP)
        assert "settings not read again" in wait_for(process, "settings not read")
        process.send_signal(signal.SIGTERM)
        wait_for(process, "stopping")
        process.stderr.read()
        assert process.wait(20) == 0
    finally:
        process.kill()
        process.wait()


@pytest.mark.parametrize("text", ["- a list", "NodeName: x\nIp: 1\n"])
def test_settings_that_cannot_be_used_end_the_process_with_one_line(tmp_path, text):
    process = start("data-plane", tmp_path, text)
    _, said = process.communicate(timeout=20)
    assert process.returncode == 2
    assert said.startswith("molespur: bad-settings: ") and said.count("\n") == 1


def test_a_process_that_cannot_listen_ends_and_says_why(tmp_path):
    text = SETTINGS.format(role="data-plane", host=3, folder=tmp_path / "disk")
    with socket.create_server(("127.0.12.3", 19044)):
        process = start("data-plane", tmp_path, text)
        _, said = process.communicate(timeout=20)
    assert process.returncode == 1
    assert said.splitlines()[-1].startswith("molespur: ") and "ddress" in said.splitlines()[-1]


@pytest.mark.parametrize("grace_period_s", [5.0, 8.0, 30.0])
def test_a_scheduler_that_stops_uses_its_whole_grace_period(grace_period_s):
    """Guards against responses that are cut early: the wait before was shorter than what was subtracted."""
    times = plan_stop(grace_period_s)
    assert times.leave_delay_s <= 2.4 and times.leave_delay_s <= grace_period_s / 3
    assert times.leave_delay_s + times.open_requests_s + GRACE_MARGIN_S == pytest.approx(grace_period_s)


def test_a_very_short_grace_period_leaves_a_second_for_open_requests():
    assert plan_stop(1.0).open_requests_s == 1.0
