"""One process replaced by another: what follows from who is there, the files, and real processes."""

import contextlib
import fcntl
import os
import signal
import socket
import subprocess
import sys
import threading
import time
from pathlib import Path
from types import SimpleNamespace

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from processes import ROOT, ClientLoad, Site, call_ops, split_address, wait_until
from scenario import target

from molespur.replacement.files import Rendezvous
from molespur.replacement.steer import steer
from molespur.replacement.succession import Succession
from molespur.replacement.view import LEAST_SOCKETS, Record, parse, sockets_for, used_to_tell, view

ADDRESS = ("127.0.0.1", 9)

# -- What follows from who is there --------------------------------------------------------------

records = st.builds(
    Record, st.integers(0, 9), serving=st.booleans(), room=st.booleans(), used=st.integers(0, 900)
)


@given(records, st.lists(records, max_size=4, unique_by=lambda r: r.started))
def test_of_two_processes_exactly_one_is_the_elder(own, others):
    seen = view(own, others)
    for one in others:
        back = view(one, [own])
        if one.started < own.started:
            assert back.younger is own and back.elder is None and seen.elder is not None
        elif one.started > own.started:
            assert back.elder is own and back.younger is None and seen.younger is not None
    assert seen.may_serve == (seen.elder is None or seen.elder.room)
    assert not (seen.succeeded and seen.younger is None)


@given(st.integers(256, 4096), st.lists(records, min_size=1, max_size=3))
def test_all_together_hold_no_more_than_is_granted(granted, others):
    mine = sockets_for(granted, others)
    assert mine >= LEAST_SOCKETS and mine <= granted // 2
    part = granted // (len(others) + 1)
    held = sum(max(one.used, part) for one in others)
    assert mine + held <= granted or mine == LEAST_SOCKETS
    assert sockets_for(granted, []) == granted


@given(st.integers(256, 4096), st.integers(0, 5000), st.integers(0, 3))
def test_what_is_told_of_descriptors_covers_what_is_held_beyond_a_part(granted, held, others):
    told, part = used_to_tell(granted, held, others), granted // (others + 1)
    assert max(told, part) >= min(held, granted) and told <= min(granted, held + 15)
    assert told == 0 or held > part


@pytest.mark.parametrize(
    "text", [b"", b"{", b"[]", b'{"started":"x"}', b"\xff", b'{"serving":true}', b"null"]
)
def test_what_is_no_record_is_none(text):
    assert parse(text) is None


# -- The files -----------------------------------------------------------------------------------


def other(directory, number, record, address=ADDRESS):
    """Another process's record, held as if it lived; gives the lock."""
    stem = directory / "molespur-{}_{}-{}".format(*address, number)
    lock = open(f"{stem}.lock", "w")  # noqa: SIM115 - it is held until the test lets go of it
    fcntl.flock(lock, fcntl.LOCK_EX)
    Path(f"{stem}.json").write_bytes(record if isinstance(record, bytes) else msgspec.json.encode(record))
    return lock


def test_records_of_the_living_are_seen_and_leftovers_removed(tmp_path):
    here = Rendezvous(str(tmp_path), ADDRESS)
    assert here.open() and here.others() == []
    alive = other(tmp_path, 1, Record(5, serving=True, targets=[target("w1")]))
    other(tmp_path, 2, Record(6)).close()
    other(tmp_path, 3, Record(7), ("127.0.0.1", 10)).close()
    broken = other(tmp_path, 4, b"{nonsense")
    assert here.others() == [Record(5, serving=True, targets=[target("w1")])]
    assert not list(tmp_path.glob("*_9-2.*")) and list(tmp_path.glob("*_10-3.*"))
    alive.close()
    broken.close()
    assert here.others() == []
    here.tell(Record(8))
    here.close()
    assert not list(tmp_path.glob("*_9-*"))


def test_what_else_stands_there_is_passed_over(tmp_path):
    (tmp_path / "molespur-127.0.0.1_9-7.lock").mkdir()
    (tmp_path / "molespur-127.0.0.1_9-8.lock").symlink_to("/dev/zero")
    os.mkfifo(tmp_path / "molespur-127.0.0.1_9-9.lock")
    (tmp_path / "molespur-127.0.0.1_9-x.lock").write_text("1")
    lock = other(tmp_path, 10, Record(1))
    (tmp_path / "molespur-127.0.0.1_9-10.json").unlink()
    os.mkfifo(tmp_path / "molespur-127.0.0.1_9-10.json")
    here = Rendezvous(str(tmp_path), ADDRESS)
    assert here.open() and here.others() == []
    lock.close()


def test_a_directory_that_cannot_be_used_leaves_the_process_alone(tmp_path):
    here = Rendezvous(str(tmp_path / "nowhere"), ADDRESS)
    assert not here.open() and here.others() == []
    here.tell(Record(1))
    here.close()


def listen(port=0):
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    sock.bind(("127.0.0.1", port))
    sock.listen(64)
    sock.setblocking(False)
    return sock


def waiting(sock):
    count = 0
    with contextlib.suppress(BlockingIOError):
        while True:
            sock.accept()[0].close()
            count += 1
    return count


def test_the_filter_leads_all_to_the_latest_and_to_whoever_is_left():
    first = listen()
    port = first.getsockname()[1]
    second = listen(port)
    if not steer(first, 1):
        pytest.skip("the platform has no such filter")
    clients = [socket.create_connection(("127.0.0.1", port)) for _ in range(20)]
    assert (waiting(first), waiting(second)) == (0, 20)
    second.close()
    clients += [socket.create_connection(("127.0.0.1", port)) for _ in range(20)]
    assert waiting(first) == 20
    for sock in (first, *clients):
        sock.close()


def test_a_record_is_written_only_when_there_is_news_in_it(tmp_path):
    """Guards against a loop that waits for the disk under TMPDIR ten times a second."""
    resized, told, phases = [], [], []
    wheel = SimpleNamespace(after=lambda *_: None)
    config = SimpleNamespace(listen=ADDRESS, sockets=384)
    mine = Succession(str(tmp_path), config, wheel, resized.append)
    assert mine.rendezvous.open()
    whole = mine.rendezvous.tell
    mine.rendezvous.tell = lambda record: (told.append(record.room), whole(record))
    listed = {"rev": 3, "targets": [target("w1")], "discovery": "127.0.0.1:2"}
    mine.serving(SimpleNamespace(handle=phases.append), None, lambda: listed)
    for _ in range(20):
        mine.look()
    assert told == [False]
    lock = other(tmp_path, 1, Record(mine.record.started + 1))
    for _ in range(20):
        mine.look()
    assert told == [False, True] and resized[-1] == 192 and mine.record.targets == listed["targets"]
    lock.close()
    for _ in range(20):
        mine.look()
    # what was said to one that has died does not stand for the next
    assert told == [False, True, False] and resized[-1] == 384 and not phases
    listed["rev"], lock = 4, other(tmp_path, 2, Record(mine.record.started + 2))
    assert not Rendezvous(str(tmp_path), ADDRESS)._record(mine.rendezvous._own).room
    mine.look()
    assert Rendezvous(str(tmp_path), ADDRESS)._record(mine.rendezvous._own).rev == 4
    lock.close()
    mine.close()


# -- Real processes ------------------------------------------------------------------------------


@pytest.fixture
def site(tmp_path):
    site = Site(tmp_path, 0.05)
    yield site
    site.end()


def test_two_replacements_in_a_row_lose_nothing(site):
    """With real processes: every job is served, the address never says no, and each leaves in order."""
    first = site.start()
    crowd, ups, asking = ClientLoad(site), [], threading.Event()

    def ask():
        while not asking.wait(0.1):
            ups.append(site.up())

    asker = threading.Thread(target=ask, daemon=True)
    asker.start()
    time.sleep(0.5)
    for _ in range(2):
        second = site.start()
        first.send_signal(signal.SIGTERM)
        assert first.wait(10) == 0
        first = second
        time.sleep(0.3)
    asking.set()
    asker.join(10)
    served, lost = crowd.stop()
    assert served > 100 and not lost, lost[:5]
    assert ups and all(ups)
    assert "passed.lookup=0\n" not in call_ops(first.ops, "telemetry")
    first.send_signal(signal.SIGTERM)
    assert first.wait(10) == 0
    assert not list(site.tmp.iterdir())


def test_leftovers_and_a_second_that_dies_before_yes(site):
    """A first that was killed leaves its record; a second that dies leaves the first serving as before."""
    first = site.start()
    first.kill()
    first.wait(10)
    assert list(site.tmp.glob("*.lock"))
    first = site.start()
    assert len(list(site.tmp.glob("*.lock"))) == 1
    second = site.start(ready=False)
    wait_until(lambda: len(list(site.tmp.glob("*.lock"))) == 2 or second.poll() is not None)
    second.kill()
    second.wait(10)
    crowd = ClientLoad(site, 4)
    time.sleep(0.5)
    served, lost = crowd.stop()
    assert served and not lost, lost[:5]
    assert site.up() and call_ops(first.ops, "readyz") == "ok\n"


def test_a_successor_that_dies_leaves_the_first_serving(site):
    """One that was never followed by SIGTERM, and then is killed: the first takes its clients again."""
    first = site.start()
    second = site.start()
    time.sleep(0.5)
    assert site.up()
    second.kill()
    second.wait(10)
    wait_until(site.up)
    time.sleep(0.3)
    crowd = ClientLoad(site, 4)
    time.sleep(0.5)
    served, lost = crowd.stop()
    assert served and not lost, lost[:5]
    assert call_ops(first.ops, "readyz") == "ok\n"
    first.send_signal(signal.SIGTERM)
    assert first.wait(10) == 0


def test_sigterm_before_the_second_says_yes(site):
    """The first has no successor yet: it stops as ever, and the second serves once it is there."""
    first = site.start()
    second = site.start(ready=False)
    first.send_signal(signal.SIGTERM)
    wait_until(lambda: call_ops(second.ops, "readyz") == "ok\n")
    assert first.wait(10) == 0
    wait_until(site.up, 5)
    assert second.poll() is None


def test_a_foreign_process_on_the_address_is_one_line_and_exit_2(site, tmp_path):
    with socket.create_server(split_address(site.listen)):
        program = site.start(ready=False)
        assert program.wait(30) == 2
    site.log.flush()
    lines = [line for line in (tmp_path / "log").read_text().splitlines() if line.startswith("molespur:")]
    assert len(lines) == 1 and "LB_LISTEN" in lines[0]


def test_an_operators_address_that_cannot_be_bound_is_one_line_and_exit_2(site, tmp_path):
    site.env["LB_OPS"] = site.listen
    run = [sys.executable, "-m", "molespur"]
    with socket.create_server(split_address(site.listen)):
        done = subprocess.run(run, cwd=ROOT, env=site.env, capture_output=True, text=True, timeout=60)
    assert done.returncode == 2 and done.stderr.count("molespur:") == 1 and "LB_OPS" in done.stderr
