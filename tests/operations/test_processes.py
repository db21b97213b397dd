"""Drain, figures and changed settings of a real process, with clients on real sockets."""

import json
import signal
import socket
import threading
import time

import pytest
from processes import ClientLoad, Site, call_ops, split_address, wait_until
from scenario import SETTINGS


@pytest.fixture
def site(tmp_path):
    site = Site(tmp_path, 0.02)
    yield site
    site.end()


def post(site, job_class, name):
    """The status of one job."""
    with socket.create_connection(split_address(site.listen), 5) as sock:
        head = f"POST /{job_class} HTTP/1.1\r\nHost: x\r\nX-Request-ID: {name}\r\nIdempotency-Key: {name}\r\n"
        sock.sendall(f"{head}Content-Length: 2\r\n\r\nhi".encode())
        return int(sock.recv(65536).split()[1])


def figure(program, name):
    lines = call_ops(program.ops, "telemetry").splitlines()
    assert lines[-1] == "eof"
    return dict(line.removeprefix("app.").split("=") for line in lines[:-1])[name]


def test_a_drain_among_clients_loses_no_job_and_holds_no_connection(site):
    program = site.start()
    idle = socket.create_connection(split_address(site.listen), 5)
    used = socket.create_connection(split_address(site.listen), 5)
    used.sendall(b"POST /lookup HTTP/1.1\r\nHost: x\r\nX-Request-ID: u\r\nContent-Length: 2\r\n\r\nhi")
    assert b"200" in used.recv(65536)
    crowd = ClientLoad(site)
    time.sleep(0.3)
    assert call_ops(program.ops, "evacuate") == "ok\n" and not site.up()
    time.sleep(0.6)
    for sock in (idle, used):
        sock.settimeout(4)
    assert used.recv(100) == b""
    served, lost = crowd.stop()
    assert served > 50 and not lost, lost[:5]
    # what brought nothing is closed too, and then nothing is held
    assert idle.recv(100) == b""
    assert figure(program, "in_progress") == "0" and not site.up()
    assert figure(program, "passed.lookup") == str(served + 1)
    assert call_ops(program.ops, "activate") == "ok\n" and site.up()
    assert call_ops(program.ops, "readyz") == "ok\n"
    call_ops(program.ops, "evacuate")
    program.send_signal(signal.SIGTERM)
    start = time.monotonic()
    assert program.wait(10) == 0 and time.monotonic() - start < 2.4
    idle.close()
    used.close()


def test_changed_settings_are_taken_whole_or_not_at_all(site):
    program = site.start()
    path = site.env["LB_CONFIG"]
    with open(path) as file:
        text = file.read()
    given = json.loads(text)
    assert post(site, "lookup", "a") == 200 and post(site, "fresh", "b") == 404
    for number, broken in enumerate(["", text[:200], text.replace("tryLimit", "x")], 1):
        with open(path, "w") as file:
            file.write(broken)
        program.send_signal(signal.SIGHUP)
        wait_until(lambda number=number: figure(program, "load_errors") == str(number))
    assert figure(program, "loads") == "0" and post(site, "lookup", "c") == 200
    assert post(site, "fresh", "d") == 404
    given["settings"]["profiles"] = [
        p | {"name": p["name"].replace("lookup", "fresh")} for p in SETTINGS["profiles"]
    ]
    with open(path, "w") as file:
        json.dump(given, file)
    program.send_signal(signal.SIGHUP)
    wait_until(lambda: figure(program, "loads") == "1")
    # until clients follow both are served, then only the new one
    assert post(site, "fresh", "e") == post(site, "lookup", "f") == 200
    time.sleep(1.6)
    assert post(site, "fresh", "g") == 200 and post(site, "lookup", "h") == 404
    assert (figure(program, "passed.lookup"), figure(program, "passed.fresh")) == ("3", "2")


def test_calls_are_answered_while_the_loop_is_busy_and_callers_stay_silent(site):
    program = site.start()
    silent = [socket.create_connection(split_address(program.ops), 5) for _ in range(40)]
    crowd, took = ClientLoad(site, 24), []

    def ask():
        for _ in range(20):
            start = time.monotonic()
            assert call_ops(program.ops, "telemetry").endswith("eof\n")
            took.append(time.monotonic() - start)

    askers = [threading.Thread(target=ask) for _ in range(3)]
    for asker in askers:
        asker.start()
    for asker in askers:
        asker.join(60)
    served, lost = crowd.stop()
    assert len(took) == 60 and served and not lost, lost[:5]
    assert max(took) < 1.0, max(took)
    for sock in silent:
        sock.close()


def test_signals_amid_a_stop_change_nothing(site):
    """SIGHUP, a second SIGTERM and calls while stopping: it ends in order, and on time."""
    program = site.start()
    crowd = ClientLoad(site, 4)
    program.send_signal(signal.SIGTERM)
    wait_until(lambda: not site.up())
    for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGUSR1, signal.SIGHUP):
        program.send_signal(number)
    assert call_ops(program.ops, "evacuate") == call_ops(program.ops, "activate") == "fail stopping\n"
    assert call_ops(program.ops, "readyz") == "fail stopping\n"
    crowd.stop()
    assert program.wait(10) == 0
