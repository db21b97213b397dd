"""`molespur system`: what is printed of a fleet's state, and the configuration changed from a terminal."""

import asyncio
import json
import os
import socket
import subprocess
import sys
import time
from pathlib import Path

import httpx
import pytest
from control import OneControlPlane

from molespur.system.client import cli, report
from molespur.system.client.configuration import ConfigurationClient, difference
from molespur.system.client.connection import open_channel
from molespur.system.client.schedulers import scheduler_rows
from molespur.system.client.shards import shard_rows
from molespur.system.client.state import FleetState
from molespur.system.errors import ErrorKind, FleetError
from molespur.system.membership.schedulers import SchedulerMonitor
from molespur.system.rpc import molespur_pb2 as pb
from molespur.system.shards.placement import CONFIGURATION, WORKER_GROUPS

ROOT = Path(__file__).resolve().parents[2]
SETTINGS = """
NodeName: "core-1"
Ip: "127.0.14.1"
Zone: "a"
PortRange: [19160, 19175]
SeedNodes: ["127.0.14.1:19146"]
Listen:
  ControlPlane: "127.0.14.1:19146"
Bootstrap: true
DataDirectory: "{folder}"
"""


def configuration(version, **limits):
    route = {"Name": "r", "Host": "h", "PathPrefix": "/p/", "Type": "idempotent", "Service": "s"}
    services = [{"Name": "s", "MaxConnections": 10}]
    return {"Version": version, "Routes": [route], "Services": services, "Limits": limits}


def worker(name, state=pb.READY, phase="decode"):
    return pb.Worker(
        id=name, service="s", address=f"10.0.0.{len(name)}:1", zone="a", state=state, phase=phase
    )


def update(group, index, payload, snapshot=True):
    return pb.Frame(update=pb.FeedUpdate(group=group, index=index, snapshot=snapshot, payload=payload))


@pytest.fixture
def state():
    state = FleetState(source="10.0.0.1:7000")
    state.take(update(CONFIGURATION, 9, pb.ConfigurationState(version=4, body=b"{}").SerializeToString()))
    known = pb.WorkerSet(workers=[worker("w-2", phase="prefill"), worker("w-1", pb.DRAINING)])
    state.take(update(WORKER_GROUPS[0], 3, known.SerializeToString()))
    beat = pb.FeedHeartbeat(schedulers=7, state_age_ms=40)
    beat.core.add(rpc_address="10.0.0.1:7000", control_address="10.0.0.1:80", zone="a")
    state.take(pb.Frame(feed_heartbeat=beat))
    return state


# -- Reports ---------------------------------------------------------------------------------------


def test_status_counts_workers_by_state_and_names_what_is_missing(state):
    told = report.status(state)
    assert told["configuration"] == 4 and told["schedulers"] == 7 and told["control_plane"] == 1
    assert told["workers"] == {"s draining": 1, "s ready": 1}
    assert told["missing"] == [WORKER_GROUPS[1]]
    assert "workers: s draining 1, s ready 1" in report.render(told, as_json=False)


def test_changes_after_the_snapshot_count(state):
    gone = pb.WorkerSet(workers=[worker("w-1", pb.GONE), worker("w-3")])
    state.take(update(WORKER_GROUPS[0], 5, gone.SerializeToString(), snapshot=False))
    state.take(update(WORKER_GROUPS[1], 2, b""))
    assert [row["id"] for row in report.worker_rows(state)] == ["w-2", "w-3"]
    assert report.feed_rows(state)[1] == {"shard": WORKER_GROUPS[0], "offset": 5}
    assert state.missing() == []


def test_a_state_of_which_nothing_is_known_says_so():
    told = report.status(FleetState(source="x"))
    assert told["configuration"] is None and told["missing"][-1] == "heartbeat"
    assert "schedulers: unknown" in report.render(told, as_json=False)
    assert report.render([], as_json=False) == "(none)"


def test_tables_are_aligned_and_json_can_be_read(state):
    lines = report.render(report.worker_rows(state), as_json=False).splitlines()
    assert (
        len({line.index("decode") if "decode" in line else line.index("prefill") for line in lines[1:]}) == 1
    )
    assert json.loads(report.render(report.member_rows(state), as_json=True))[0]["control"] == "10.0.0.1:80"


# -- Schedulers ------------------------------------------------------------------------------------


async def beat(address, heartbeat):
    """Send one heartbeat as a scheduler does."""
    async with open_channel(address, lambda _frame: None, asyncio.Event()) as channel:
        channel.send(pb.Frame(scheduler_heartbeat=heartbeat))
        await asyncio.sleep(0)


def heard(node, version, age=100, ago=50):
    told = pb.SchedulerHeartbeat(node=node, zone="a", configuration_version=version, configuration_age_ms=age)
    return pb.HeardScheduler(heartbeat=told, heard_ms_ago=ago)


def test_schedulers_that_lack_the_newest_version_come_first():
    known = pb.SchedulerList(
        configuration_version=9, schedulers=[heard("e-1", 9), heard("e-2", 7, 900), heard("e-3", 0, 1000)]
    )
    rows = scheduler_rows(known)
    assert [row["scheduler"] for row in rows] == ["e-2", "e-3", "e-1"]
    assert rows[0] == {
        "scheduler": "e-2", "zone": "a", "version": 7, "state": "older", "age_ms": 900, "heard_ms": 50,
    }  # fmt: skip
    assert (rows[1]["version"], rows[1]["state"], rows[2]["state"]) == ("-", "none yet", "newest")


def test_a_monitor_tells_of_schedulers_that_it_hears_and_that_others_hear():
    monitor = SchedulerMonitor()
    monitor.heartbeat(1000.0, pb.SchedulerHeartbeat(node="e-1", configuration_version=4))
    monitor.report(1300.0, pb.MonitorReport(alive=[pb.SchedulerHeartbeat(node="e-2")]))
    known = monitor.recent_schedulers(1500.0)
    assert [(told.heartbeat.node, told.heard_ms_ago) for told in known] == [("e-1", 500), ("e-2", 200)]
    assert monitor.recent_schedulers(60_000.0) == []


# -- Configuration ---------------------------------------------------------------------------------


def answering(*statuses):
    """A transport that gives these answers in turn, and the requests that it was sent."""
    left, sent = list(statuses), []

    def answer(request):
        sent.append(request)
        status = left.pop(0) if len(left) > 1 else left[0]
        if status is None:
            raise httpx.ConnectError("down")
        moved = {"Location": "http://10.0.0.2:80/api/config"} if status == 307 else {}
        return httpx.Response(status, headers=moved, text="{}")

    return httpx.MockTransport(answer), sent


def test_a_change_is_sent_again_until_the_answer_is_clear():
    transport, sent = answering(None, 503, 307, 200)
    paused = []
    ConfigurationClient(["10.0.0.1:80", "10.0.0.3:80"], transport, paused.append).put(b"{}", 3)
    assert len(paused) == 1 and paused[0] > 0
    assert [r.url.host for r in sent] == ["10.0.0.1", "10.0.0.3", "10.0.0.1", "10.0.0.2"]
    assert {r.headers["If-Match"] for r in sent} == {"3"}


@pytest.mark.parametrize(
    ("status", "kind"),
    [
        (412, ErrorKind.VERSION_MISMATCH),
        (400, ErrorKind.INVALID_CONFIGURATION),
        (503, ErrorKind.OUTCOME_UNKNOWN),
        (None, ErrorKind.OUTCOME_UNKNOWN),
    ],
)
def test_a_refusal_is_final_and_silence_is_unknown(status, kind):
    transport, sent = answering(status)
    with pytest.raises(FleetError) as raised:
        ConfigurationClient(["10.0.0.1:80"], transport, lambda _: None).put(b"{}", 3)
    assert raised.value.kind is kind
    assert len(sent) == (3 if kind is ErrorKind.OUTCOME_UNKNOWN else 1)


def test_a_difference_names_what_changes():
    assert difference(configuration(1), configuration(1)) == []
    lines = difference(configuration(1), configuration(2, MaxBodyBytes=5))
    assert '+  "MaxBodyBytes": 5' in lines and any(line.startswith("+++ version 2") for line in lines)
    assert difference(None, configuration(1))[0].startswith("--- version 0")


# -- A running control plane -----------------------------------------------------------------------


def listens(host, port):
    with socket.socket() as probe:
        return probe.connect_ex((host, port)) == 0


@pytest.fixture
def control_plane(tmp_path):
    settings = tmp_path / "boot.yaml"
    settings.write_text(SETTINGS.format(folder=tmp_path / "disk"))
    environment = {**os.environ, "MOLESPUR_SETTINGS": str(settings)}
    process = subprocess.Popen(
        [sys.executable, "-m", "molespur", "control-plane"],
        cwd=ROOT,
        env=environment,
        stderr=subprocess.PIPE,
        text=True,
    )
    try:
        owned = set()
        for line in process.stderr:
            owned |= {name for name in (CONFIGURATION, *WORKER_GROUPS) if f"{name}: role leader" in line}
            if len(owned) == 3:
                break
        until = time.monotonic() + 20.0
        while not listens("127.0.14.1", 19146) and time.monotonic() < until:
            pass
        yield settings
    finally:
        process.kill()
        process.wait()


def test_a_running_fleet_is_read_and_its_configuration_changed(control_plane, tmp_path, capsys):
    given = f"--settings={control_plane}"
    proposed = tmp_path / "configuration.json"
    proposed.write_text(json.dumps(configuration(3)))
    assert cli.main(["config", "diff", str(proposed), given]) == cli.DIFFERENT
    assert cli.main(["config", "put", str(proposed), given]) == cli.DONE
    assert cli.main(["config", "put", str(proposed), "--on=0", given]) == cli.DONE, "a repeat is taken again"
    assert cli.main(["config", "diff", str(proposed), given]) == cli.DONE
    proposed.write_text(json.dumps(configuration(5)))
    assert cli.main(["config", "put", str(proposed), "--on=1", given]) == cli.FAILED
    capsys.readouterr()
    assert cli.main(["config", "get", given]) == cli.DONE
    assert json.loads(capsys.readouterr().out)["Version"] == 3
    assert cli.main(["status", "--json", given]) == cli.DONE
    told = json.loads(capsys.readouterr().out)
    assert told["configuration"] == 3 and told["missing"] == [] and told["control_plane"] == 1
    assert cli.main(["members", given]) == cli.DONE
    assert "127.0.14.1:19146" in capsys.readouterr().out
    assert cli.main(["shards", "--json", given]) == cli.DONE
    rows = json.loads(capsys.readouterr().out)
    assert [row["shard"] for row in rows] == sorted([CONFIGURATION, *WORKER_GROUPS])
    assert {(row["process"], row["leader"], row["voters"]) for row in rows} == {("127.0.14.1:19146", 1, 1)}
    for node, version in (("e-1", 3), ("e-2", 2)):
        word = pb.SchedulerHeartbeat(node=node, zone="a", configuration_version=version)
        asyncio.run(beat("127.0.14.1:19160", word))
    assert cli.main(["config", "where", "--json", given]) == cli.DONE
    rows = json.loads(capsys.readouterr().out)
    assert [(row["scheduler"], row["version"], row["state"]) for row in rows] == [
        ("e-2", 2, "older"),
        ("e-1", 3, "newest"),
    ]
    kept = tmp_path / "kept.json"
    assert cli.main(["snapshot", "save", str(kept), given]) == cli.DONE
    capsys.readouterr()
    assert cli.main(["snapshot", "look", str(kept), "--json"]) == cli.DONE
    looked = json.loads(capsys.readouterr().out)
    assert looked["configuration"] == 3 and set(looked["offsets"]) == {CONFIGURATION, *WORKER_GROUPS}
    assert json.loads(kept.read_text())["configuration"]["Version"] == 3


def test_a_disk_is_looked_at_without_its_process(tmp_path, capsys):
    plane = OneControlPlane(tmp_path / "disk")
    assert plane.put(json.dumps(configuration(2)).encode(), 0)[0] == 200
    plane.close()
    assert cli.main(["snapshot", "look", str(tmp_path / "disk"), "--json"]) == cli.DONE
    rows = {row["shard"]: row for row in json.loads(capsys.readouterr().out)}
    assert set(rows) == {CONFIGURATION, *WORKER_GROUPS}
    told = rows[CONFIGURATION]
    assert (told["replica"], told["members"], told["snapshot"]) == ("10.0.0.1:7000#0", "10.0.0.1:7000#0", 1)
    assert told["term"] >= 2 and told["last"] == 3, "the first membership, a leader's own entry, a change"


@pytest.mark.parametrize("text", ["", "{}", '{"format": 9}', "[1]"])
def test_what_is_no_snapshot_is_refused(tmp_path, capsys, text):
    (tmp_path / "file").write_text(text)
    assert cli.main(["snapshot", "look", str(tmp_path / "file")]) == cli.WRONG_USAGE
    assert cli.main(["snapshot", "look", str(tmp_path)]) == cli.WRONG_USAGE
    assert cli.main(["snapshot", "look", str(tmp_path / "none")]) == cli.WRONG_USAGE
    assert capsys.readouterr().err.count("molespur: ") == 3


def test_shards_are_read_from_each_process_that_answers():
    def answer(request):
        if request.url.host == "10.0.0.2":
            raise httpx.ConnectError("down")
        if request.url.host == "10.0.0.3":
            return httpx.Response(404)
        lines = ['molespur_shard_leader{shard="s-1"} 1.0', 'molespur_shard_term{shard="s-1"} 4.0']
        return httpx.Response(200, text="\n".join([*lines, "molespur_schedulers 2.0", ""]))

    rows = shard_rows(["10.0.0.3:80", "10.0.0.2:80", "10.0.0.1:80"], httpx.MockTransport(answer))
    assert [row["process"] for row in rows] == ["10.0.0.2:80", "10.0.0.3:80", "10.0.0.1:80"]
    assert rows[0]["leader"] == "not read: ConnectError" and rows[1]["leader"] == "not read: HTTPStatusError"
    assert (rows[2]["shard"], rows[2]["leader"], rows[2]["term"], rows[2]["voters"]) == ("s-1", 1, 4, "?")


# -- Files -----------------------------------------------------------------------------------------

GOOD_SETTINGS = 'NodeName: a\nIp: "10.0.0.1"\nZone: z\nPortRange: [1, 2]\nSeedNodes: []\n'


@pytest.mark.parametrize(
    ("kind", "text", "line", "problem"),
    [
        ("settings", GOOD_SETTINGS, None, ""),
        ("settings", GOOD_SETTINGS.replace("2]", "x]"), 4, "PortRange[1]"),
        ("settings", GOOD_SETTINGS + "Bounds:\n  LeaseMs: soon\n", 7, "Bounds.LeaseMs"),
        ("settings", GOOD_SETTINGS + "Listen: ]\nx: 1\n", 6, "not YAML"),
        ("settings", "NodeName: a\n", 1, "Ip"),
        ("configuration", json.dumps(configuration(1), indent=1), None, ""),
        ("configuration", json.dumps(configuration(0), indent=1), 2, "Version"),
        (
            "configuration",
            json.dumps(configuration(1), indent=1).replace('"s"', '"t"', 1),
            9,
            "unknown service",
        ),
        ("configuration", '{"Version": 3,\n', 2, "not JSON"),
    ],
)
def test_a_file_is_checked_and_the_line_at_fault_named(tmp_path, capsys, kind, text, line, problem):
    path = tmp_path / "file"
    path.write_text(text)
    code = cli.main(["check", kind, str(path)])
    said = capsys.readouterr()
    assert code == (cli.DONE if line is None else cli.WRONG_USAGE)
    if line is None:
        assert said.out == f"{path}: can be used\n"
    else:
        assert said.err.startswith(f"{path}:{line}: ") and problem in said.err


def test_a_fleet_that_is_not_there_and_files_that_cannot_be_used(tmp_path, capsys):
    settings = tmp_path / "boot.yaml"
    with socket.create_server(("127.0.0.1", 0)) as probe:
        port = probe.getsockname()[1]
    text = SETTINGS.format(folder=tmp_path).replace("127.0.14.1", "127.0.0.1").replace("19160", str(port))
    settings.write_text(text)
    given = f"--settings={settings}"
    assert cli.main(["status", given]) == cli.FAILED
    (tmp_path / "bad.json").write_text("{")
    assert cli.main(["config", "put", str(tmp_path / "bad.json"), given]) == cli.WRONG_USAGE
    assert cli.main(["config", "put", str(tmp_path / "none.json"), given]) == cli.WRONG_USAGE
    settings.write_text("- nothing")
    assert cli.main(["workers", given]) == cli.WRONG_USAGE
    assert all(line.startswith("molespur: ") for line in capsys.readouterr().err.splitlines())


def test_the_help_has_a_line_for_each_command(capsys):
    with pytest.raises(SystemExit):
        cli.main(["--help"])
    lines = capsys.readouterr().out.splitlines()
    told = lines[lines.index("Commands:") + 1 : lines.index("Options:") - 1]
    commands = [line[2:17].strip() for line in told if line[2] != " "]
    assert commands == [
        "status", "workers", "members", "feed", "shards", "config get", "config put", "config diff",
        "config where", "check", "snapshot save", "snapshot look", "demo", "soak",
    ]  # fmt: skip
    assert max(map(len, lines)) <= 110
