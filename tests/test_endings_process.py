"""A real process that is stopped or killed with requests in flight."""

import json
import signal
import socket

import pytest
from processes import Site, split_address, wait_until


@pytest.fixture
def site(tmp_path):
    site = Site(tmp_path, wait_s=0.3)
    yield site
    site.end()


def job(name, left=2000):
    return (
        f"POST /lookup HTTP/1.1\r\nHost: x\r\nX-Request-ID: {name}\r\nX-Timeout-Ms: {left}\r\n"
        "Content-Length: 2\r\n\r\nhi"
    ).encode()


def connect(site):
    return socket.create_connection(split_address(site.listen), 5)


def response(sock):
    """Read the complete response to one job."""
    text = b""
    while b"\r\n\r\n" not in text or not text.partition(b"\r\n\r\n")[2]:
        data = sock.recv(65536)
        assert data, f"closed after {text!r}"
        text += data
    return text


def test_sigterm_loses_no_accepted_request(site):
    """In flight, on a kept connection, sent in parts, pipelined, and on a connection silent so far."""
    program = site.start()
    kept, in_flight, partial, pipelined, silent = (connect(site) for _ in range(5))
    kept.sendall(job("k1"))
    assert b"k1" in response(kept)
    in_flight.sendall(job("f1"))
    partial.sendall(job("p1")[:30])
    pipelined.sendall(job("q1") + job("q2"))
    program.send_signal(signal.SIGTERM)
    kept.sendall(job("k2"))
    assert b"k2" in response(kept)
    partial.sendall(job("p1")[30:])
    silent.sendall(job("s1"))
    for sock, name in ((in_flight, b"f1"), (partial, b"p1"), (silent, b"s1")):
        text = response(sock)
        assert text.startswith(b"HTTP/1.1 200 ") and text.endswith(name)
    text = response(pipelined)
    while b"q2" not in text:
        text += pipelined.recv(65536)
    assert text.count(b"HTTP/1.1 200 ") == 2
    for sock in (kept, in_flight, partial, pipelined, silent):
        assert sock.recv(65536) == b""  # closed in order, not reset
        sock.close()
    assert program.wait(10) == 0


def test_with_short_deadlines_the_process_exits_before_it_would_be_killed(site, tmp_path):
    file = json.loads((tmp_path / "config.json").read_text())
    for profile in file["settings"]["profiles"]:
        profile |= {"deadline": 1500.0, "aim": 1000.0}
    (tmp_path / "config.json").write_text(json.dumps(file))
    program = site.start()
    sock = connect(site)
    sock.sendall(job("r1", 1500))
    program.send_signal(signal.SIGTERM)
    assert b"r1" in response(sock)
    sock.close()
    assert program.wait(10) == 0


def test_after_a_kill_during_a_request_the_next_process_serves(site):
    first = site.start()
    sock = connect(site)
    sock.sendall(job("r1")[:20])
    first.kill()
    first.wait(10)
    site.start()
    wait_until(site.up)
    with pytest.raises(OSError):
        sock.sendall(job("r1")[20:])
        if not sock.recv(100):
            raise ConnectionResetError
    with connect(site) as again:
        again.sendall(job("r2"))
        assert b"r2" in response(again)
