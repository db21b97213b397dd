"""A real process told to end, or killed, with requests in flight."""

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


def answer(sock):
    """The whole answer to one job."""
    text = b""
    while b"\r\n\r\n" not in text or not text.partition(b"\r\n\r\n")[2]:
        data = sock.recv(65536)
        assert data, f"closed after {text!r}"
        text += data
    return text


def test_sigterm_loses_nothing_that_was_taken(site):
    """In flight, on a kept connection, in pieces, pipelined, and connected without a word as yet."""
    program = site.start()
    kept, flying, pieces, piped, silent = (connect(site) for _ in range(5))
    kept.sendall(job("k1"))
    assert b"k1" in answer(kept)
    flying.sendall(job("f1"))
    pieces.sendall(job("p1")[:30])
    piped.sendall(job("q1") + job("q2"))
    program.send_signal(signal.SIGTERM)
    kept.sendall(job("k2"))
    assert b"k2" in answer(kept)
    pieces.sendall(job("p1")[30:])
    silent.sendall(job("s1"))
    for sock, name in ((flying, b"f1"), (pieces, b"p1"), (silent, b"s1")):
        text = answer(sock)
        assert text.startswith(b"HTTP/1.1 200 ") and text.endswith(name)
    text = answer(piped)
    while b"q2" not in text:
        text += piped.recv(65536)
    assert text.count(b"HTTP/1.1 200 ") == 2
    for sock in (kept, flying, pieces, piped, silent):
        assert sock.recv(65536) == b""  # the end in order, not a reset
        sock.close()
    assert program.wait(10) == 0


def test_with_short_deadlines_the_process_ends_by_itself(site, tmp_path):
    file = json.loads((tmp_path / "config.json").read_text())
    for profile in file["settings"]["profiles"]:
        profile |= {"deadline": 1500.0, "aim": 1000.0}
    (tmp_path / "config.json").write_text(json.dumps(file))
    program = site.start()
    sock = connect(site)
    sock.sendall(job("r1", 1500))
    program.send_signal(signal.SIGTERM)
    assert b"r1" in answer(sock)
    sock.close()
    assert program.wait(10) == 0


def test_killed_right_after_an_accept_the_next_process_serves(site):
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
        assert b"r2" in answer(again)
