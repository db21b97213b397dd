"""The command line as an operator uses it, against a stand-in registry on free ports."""

import json
import os
import signal
import socket
import subprocess
import sys
import threading
import time
from pathlib import Path

import pytest
from far_registry import registry_thread
from test_program import GOOD, free_address, running

from molespur.cli.ops import changes
from molespur.config import ConfigError, deployment

ROOT = Path(__file__).parents[2]


def molespur(*words, **variables):
    env = {k: v for k, v in os.environ.items() if not k.startswith(("LB_", "MOLESPUR_"))} | variables
    command = [sys.executable, "-m", "molespur", *words]
    done = subprocess.run(command, cwd=ROOT, env=env, capture_output=True, text=True, timeout=60)
    return done.returncode, done.stdout, done.stderr


@pytest.mark.parametrize("kind", ["etcd", "consul"])
def test_a_registry_by_hand(kind, tmp_path):
    with registry_thread() as place:
        given = {"MOLESPUR_CLUSTER_SOURCE": kind, "MOLESPUR_REGISTRY_ENDPOINTS": f"127.0.0.1:1,{place}"}

        def run(*words, code=0):
            got, out, err = molespur("registry", *words, **given)
            assert got == code, (words, out, err)
            return out + err

        for n in (1, 2, 3):
            run("put", f"records-{n}", "--endpoint", f"127.0.0.1:{3000 + n}", "--az", "z")
        run("drain", "records-2")
        listed = json.loads(run("list", "--json"))
        assert {w["uid"]: w.get("state", "active") for w in listed["workers"]} == {
            "records-1": "active", "records-2": "leaving", "records-3": "active",
        }  # fmt: skip
        assert "records-2" in run("list") and "leaving" in run("list")
        run("remove", "records-3")
        assert "no worker 'records-3'" in run("remove", "records-3", code=1)
        assert "no worker 'x'" in run("drain", "x", code=1)
        exported = tmp_path / "workers.json"
        run("export", str(exported))
        assert [w["uid"] for w in json.loads(exported.read_text())["workers"]] == ["records-1", "records-2"]
        run("remove", "records-1")
        run("import", str(exported))
        watched = run("watch", "--count", "2", "--json")
        assert [json.loads(line)["event"] for line in watched.splitlines() if line[0] == "{"] == [
            "put",
            "put",
        ]
        run("check")
        run("put", "records-9", "--endpoint", "127.0.0.1:3001")
        assert "same_endpoint" in run("check", code=1)
        assert "endpoint" in run("put", "bad", "--endpoint", "nowhere", code=2)
        exported.write_text('{"workers":[{"uid":"a","endpoint":"x"}]}')
        assert "a: endpoint" in run("import", str(exported), code=2)


@pytest.mark.parametrize("kind", ["etcd", "consul"])
def test_a_worker_is_kept_registered_drained_and_leaves(kind):
    with registry_thread() as place:
        given = {"MOLESPUR_CLUSTER_SOURCE": kind, "MOLESPUR_REGISTRY_ENDPOINTS": place}

        def states():
            _, out, _ = molespur("registry", "list", "--json", **given)
            return {w["uid"]: w.get("state", "active") for w in json.loads(out)["workers"]}

        words = ["registry", "register", "records-1", "--endpoint", "127.0.0.1:3001"]
        command = [sys.executable, "-m", "molespur", *words, "--registration-ttl-s", "3"]
        env = {**os.environ, **given, "PYTHONUNBUFFERED": "1"}
        worker = subprocess.Popen(command, cwd=ROOT, env=env, stdout=subprocess.PIPE, text=True)
        late = threading.Timer(60, worker.kill)
        late.start()
        try:
            assert worker.stdout.readline() == "listed\n"
            assert states() == {"records-1": "active"}
            worker.send_signal(signal.SIGUSR1)
            while states() != {"records-1": "leaving"}:
                assert worker.poll() is None
            worker.send_signal(signal.SIGTERM)
            assert worker.wait(30) == 0 and states() == {}
        finally:
            late.cancel()
            worker.kill()


def test_no_registry_is_one_line_and_exit_1():
    code, _, err = molespur("registry", "list", MOLESPUR_REGISTRY_ENDPOINTS="127.0.0.1:1")
    assert (
        code == 1
        and err.startswith("molespur: registry: no member could answer: 127.0.0.1:1")
        and err.count("\n") == 1
    )


def test_credentials():
    with registry_thread(user="op", password="secret") as place:
        given = {"MOLESPUR_REGISTRY_ENDPOINTS": place, "MOLESPUR_REGISTRY_USER": "op"}
        assert molespur("registry", "list", MOLESPUR_REGISTRY_PASSWORD="secret", **given)[0] == 0
        code, _, err = molespur("registry", "list", MOLESPUR_REGISTRY_PASSWORD="wrong", **given)
        assert code == 1 and "authentication failed" in err


@pytest.mark.parametrize("words", [("--help",), ("serve", "--help"), ("registry", "--help"), ("--version",)])
def test_help(words):
    code, out, _ = molespur(*words)
    assert code == 0 and "molespur" in out


@pytest.mark.parametrize(
    ("words", "variables", "named"),
    [
        (("serv",), {}, "No such command"),
        (("config", "show", "--registry-pages", "3"), {}, "--registry-pages"),
        (("config", "show", "--registry-page", "none"), {}, "registry.page"),
        (("config", "show"), {"MOLESPUR_REGISTRY_PAGES": "3"}, "did you mean MOLESPUR_REGISTRY_PAGE?"),
        (("config", "check"), {"LB_CONFIG": "/nowhere"}, "LB_CONFIG"),
        (("serve", "--cluster-source", "file"), {}, "cluster.file"),
    ],
)
def test_wrong_usage_exits_with_2_and_names_it(words, variables, named):
    code, out, err = molespur(*words, **variables)
    assert code == 2 and named in err and "Traceback" not in err and not out


@pytest.mark.parametrize(
    ("flags", "named"),
    [
        (("--cluster-source", "file", "--cluster-file", "/nowhere.json"), "cluster.file: /nowhere.json"),
        (("--cluster-source", "etcd", "--registry-snapshot", "/nowhere/x"), "registry.snapshot: no such"),
        (("--cluster-source", "discovery"), "known: endpoint"),
    ],
)
def test_a_start_that_cannot_be_is_one_line_and_exit_2(tmp_path, flags, named):
    """Also where it is found out only once connections are open."""
    path = tmp_path / "config.json"
    endpoint = "nowhere" if "discovery" in flags else "127.0.0.1:9"
    known = {"rev": 1, "all": True, "targets": [{"uid": "w1", "endpoint": endpoint}]}
    path.write_text(json.dumps(GOOD | {"listen": free_address(), "known": known}))
    code, out, err = molespur("serve", *flags, LB_CONFIG=str(path))
    assert code == 2 and named in err and err.count("\n") == 1 and not out


@pytest.mark.parametrize(
    ("text", "named"),
    [
        ("[registry]\npaeg = 3", "registry.paeg: unknown key, did you mean registry.page?"),
        ("[registri]\npage = 3", "registri: unknown table, did you mean registry?"),
        ("[registry]\npage = 0", "registry.page"),
        ('[registry]\npage = "3"', "registry.page"),
        ("registry = 3", "registry: must be a table"),
        ('[registry]\nendpoints = ["nowhere"]', "registry.endpoints"),
        ('[registry]\nprefix = ""', "registry.prefix"),
        ("[registry]\nbackoff_most_ms = 1", "registry.backoff_most_ms"),
        ("nonsense", "not TOML"),
    ],
)
def test_a_faulty_deployment_file_names_the_key(tmp_path, text, named):
    path = tmp_path / "d.toml"
    path.write_text(text)
    with pytest.raises(ConfigError) as caught:
        deployment.read(str(path), {})
    assert named in str(caught.value) and "\n" not in str(caught.value)


def test_flag_goes_before_environment_before_file_before_default(tmp_path):
    path = tmp_path / "d.toml"
    path.write_text('[registry]\npage = 5\nwait_ms = 7\nsilence_ms = 9\nendpoints = ["127.0.0.1:5"]\n')
    environ = {
        "MOLESPUR_DEPLOYMENT": str(path),
        "MOLESPUR_REGISTRY_PAGE": "6",
        "MOLESPUR_REGISTRY_WAIT_MS": "8",
    }
    given, origins = deployment.read(None, environ, {"registry.page": "4"})
    registry = given.registry
    assert (registry.page, registry.wait_ms, registry.silence_ms, registry.dial_ms) == (4, 8.0, 9.0, 1000.0)
    source = {origin.key.name: origin.source for origin in origins}
    assert [source[f"registry.{k}"] for k in ("page", "wait_ms", "silence_ms", "dial_ms")] == [
        "flag", "environment", f"file {path}", "default",
    ]  # fmt: skip


def test_every_key_is_a_flag_and_a_variable_and_the_shipped_file_is_good():
    names = {key.flag for key in deployment.all_keys()}
    _, out, _ = molespur("config", "show", "--help")
    assert len(names) >= 24 and all(flag in out for flag in names)
    code, out, _ = molespur(
        "config", "show", "--deployment", "deploy/molespur.toml", MOLESPUR_REGISTRY_PASSWORD="hush"
    )
    assert code == 0 and "hush" not in out and "(set)" in out and "file deploy/molespur.toml" in out


def test_off_costs_nothing():
    """Without arguments neither registry, command line nor stand-ins are imported, nor what they stand on."""
    code = (
        "import sys, molespur.program as p\n"
        "off = ('molespur.registry','molespur.cli','molespur.standins','molespur.config.deployment',"
        "'click','structlog','immutables','blake3','rich','molespur.fleet')\n"
        "print([n for n in sys.modules if n.startswith(off)])"
    )
    done = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, timeout=60)
    assert done.stdout.strip() == "[]", done.stdout + done.stderr
    on = code.replace("as p", "as p, molespur.registry.source")
    done = subprocess.run([sys.executable, "-c", on], cwd=ROOT, capture_output=True, text=True, timeout=60)
    assert "immutables" in done.stdout and "standins" not in done.stdout


def test_logs_are_events_with_fields():
    code = (
        "from molespur import logs\n"
        "logs.configure_structured({!r}, 'info'); log = logs.get('m')\n"
        "log.debug('off', x=1); log.info('a.b', key='k', n=2)"
    )
    lines = {}
    for form in ("json", "console", "plain"):
        run = [sys.executable, "-c", code.format(form)]
        lines[form] = subprocess.run(run, cwd=ROOT, capture_output=True, text=True, timeout=60).stderr
    told = json.loads(lines["json"])
    assert (told["event"], told["key"], told["n"], told["level"], told["logger"]) == (
        "a.b",
        "k",
        2,
        "info",
        "m",
    )
    assert all("a.b" in line and "off" not in line and "key" in line for line in lines.values())


def test_operators_calls(tmp_path):
    """Each call of the on-call page, as it is typed there."""
    at = free_address()
    with running(tmp_path, free_address(), LB_OPS=at) as (_, _, read_to):

        def ops(*words, code=0):
            got, out, err = molespur("ops", *words, LB_OPS=at)
            assert got == code, (words, out, err)
            return out

        assert ops("readyz") == "ok\n"
        figures = ops("telemetry").splitlines()
        assert "app.passed.lookup=0" in figures and "app.loads=0" in figures and figures[-1] == "eof"
        assert ops("evacuate") == "ok\n"
        assert ops("readyz", code=1) == "fail draining\n"
        assert ops("activate") == "ok\n"
        shown = ops("telemetry", "--every", "0.1", "--times", "2").splitlines()
        assert shown[-1] == "-- after 0.1 s"
        assert molespur("ops", "readyz", "--every", "1", LB_OPS=at)[0] == 2
        read_to("draining")
    assert molespur("ops", "readyz", "--at", at)[0] == 1
    assert molespur("ops", "readyz", "--at", "nowhere")[0] == 2


def test_a_silent_operators_address_is_an_error_in_time():
    with socket.create_server(("127.0.0.1", 0)) as server:
        at = "{}:{}".format(*server.getsockname())
        start = time.monotonic()
        code, out, err = molespur("ops", "telemetry", "--at", at, "--wait", "0.3")
        assert code == 1 and not out and at in err and time.monotonic() - start < 20


def test_changes_of_figures():
    assert changes(["a=1", "b=2", "eof"], ["a=1", "b=5", "c=4", "eof"]) == ["b=5 (+3)", "c=4 (+4)"]
