"""Real `python -m molespur serve` processes in a fleet, faults between them: cases 1 to 6 of issue 21.

Each member has its own address 127.N.2.x behind the fault line.  The tuning is fast (a probe each 200 ms), so
that each case takes seconds.  The bounds below are those of the design for it (docs/design/fleet_view.md).
"""

import random
import socket
import time

import msgspec
import pytest
from far_registry import registry_thread

from molespur.fleet import wire
from molespur.fleet.model import VERSION, Ack, MemberUpdate, Packet, Ping, State
from molespur.standins import viewcheck
from molespur.standins.loopback import reserved_net
from molespur.standins.members import FAST, GOSSIP_PORT, SETTINGS, Members, ask

AGREE_S = 10.0  # for views to agree after a change, at a probe each 200 ms
IDS9 = {f"m{i}" for i in range(9)}


@pytest.fixture
def rig(tmp_path):
    made = []

    def make(n, faultline=True, **kw):
        members = Members(tmp_path, n, faultline=faultline, **kw)
        made.append(members)
        if faultline:
            members.open_line(seed=n)
        return members

    yield make
    for members in made:
        members.end()


def until(condition, seconds):
    """Wait until a condition holds, bounded."""
    end = time.monotonic() + seconds
    while not condition():
        assert time.monotonic() < end, "the condition did not hold in time"
        time.sleep(0.1)


def check_logs(members, live, down=None):
    entries = viewcheck.read(members.log_path(i) for i in range(members.n))
    end = time.time()
    faults = viewcheck.disagreements(entries, live, end) + viewcheck.incarnations(entries)
    faults += viewcheck.false_deaths(entries, down or {}, end)
    assert faults == [], faults
    return entries


def test_join_late_kill_pause_and_restart_with_the_same_id(rig):
    """Cases 1 and 2."""
    fleet = rig(9)
    fleet.start_all(range(6))
    for i in range(6):
        fleet.ready(i)
    fleet.wait_agreed(AGREE_S, {f"m{i}" for i in range(6)})
    fleet.start_all(range(6, 9))
    for i in range(6, 9):
        fleet.ready(i)
    fleet.wait_agreed(AGREE_S, IDS9)

    down = {}
    began = time.time()
    fleet.kill(8)
    fleet.wait_agreed(AGREE_S, IDS9 - {"m8"})
    down["m8"] = [(began, time.time() + 60)]

    before = fleet.members(0)["m7"][1]
    began = time.time()
    fleet.pause(7)
    time.sleep(10)  # past every timeout: the longest suspicion is 4.6 s here
    assert fleet.members(0)["m7"][0] == "dead"
    fleet.cont(7)
    fleet.wait_agreed(AGREE_S, IDS9 - {"m8"})
    down["m7"] = [(began, time.time())]
    assert all(fleet.members(i)["m7"][1] > before for i in range(8)), "m7 came back by refuting"

    before = fleet.members(0)["m6"][1]
    began = time.time()
    fleet.restart(6)
    fleet.ready(6)
    # back before anyone missed it: its past instance stays alive in views until the new one's update arrives
    until(lambda: all(fleet.members(i)["m6"][1] > before for i in range(8)), AGREE_S)
    fleet.wait_agreed(AGREE_S, IDS9 - {"m8"})
    down["m6"] = [(began, time.time())]
    check_logs(fleet, IDS9 - {"m8"}, down)


def test_a_partition_heals_and_a_one_way_cut_makes_no_member_dead(rig):
    """Case 3: 5 | 4 for 20 s, then healed without a restart; then m0 receives from m1, but m1 not from m0."""
    fleet = rig(9)
    fleet.start_all()
    for i in range(9):
        fleet.ready(i)
    fleet.wait_agreed(AGREE_S, IDS9)
    pids = {i: p.pid for i, p in fleet.programs.items()}

    began = time.time()
    fleet.fault("partition 0,1,2,3,4 5,6,7,8")
    left, right = {f"m{i}" for i in range(5)}, {f"m{i}" for i in range(5, 9)}
    time.sleep(20)
    assert {m for m, (s, _) in fleet.members(0).items() if s == "alive"} == left
    assert {m for m, (s, _) in fleet.members(8).items() if s == "alive"} == right
    fleet.fault("heal")
    healed = time.time()
    took = fleet.wait_agreed(AGREE_S, IDS9)
    assert {i: p.pid for i, p in fleet.programs.items()} == pids
    down = {m: [(began, healed)] for m in IDS9}

    cut = time.time()
    fleet.fault("cut 0 1")  # m0's datagrams don't reach m1; m1's reach m0
    time.sleep(10)
    fleet.fault("heal")
    for i in range(9):
        view = fleet.members(i)
        assert view["m0"][0] == "alive" and view["m1"][0] == "alive"
    entries = check_logs(fleet, IDS9, down)
    after = [e for e in entries if e.at > cut and e.event == "fleet.member" and e.fields["state"] == "dead"]
    assert after == [], after
    assert took < AGREE_S


def test_loss_and_jitter_make_no_member_dead(rig):
    """Case 4: 20 % of datagrams lost and 200 ms of jitter throughout, with the default probe period."""
    fleet = rig(9, fleet=dict(FAST, period_ms=1000.0, probe_timeout_ms=500.0, gossip_ms=200.0))
    fleet.start_all()
    for i in range(9):
        fleet.ready(i)
    fleet.wait_agreed(AGREE_S, IDS9)
    fleet.fault("loss 0.2", "delay 0 200")
    time.sleep(30)
    fleet.fault("clear")
    fleet.wait_agreed(AGREE_S, IDS9)  # members left suspect by the loss refute or are cleared
    check_logs(fleet, IDS9)
    counts = [dict(line.split("=") for line in fleet_counters(fleet, i)) for i in range(9)]
    refuted = sum(int(c.get("fleet.suspicions_refuted", 0)) for c in counts)
    assert refuted > 0, "the loss caused suspicions, and each was refuted in time"


def test_a_starved_member_suspects_nobody(rig):
    """Case 5: m0 gets the CPU 50 ms in each 300 (SIGSTOP and SIGCONT) for 12 s: Lifeguard's local health."""
    fleet = rig(7)
    fleet.start_all()
    for i in range(7):
        fleet.ready(i)
    ids = {f"m{i}" for i in range(7)}
    fleet.wait_agreed(AGREE_S, ids)
    began = time.time()
    until = time.monotonic() + 12
    while time.monotonic() < until:
        fleet.pause(0)
        time.sleep(0.25)
        fleet.cont(0)
        time.sleep(0.05)
    fleet.wait_agreed(AGREE_S, ids)
    entries = viewcheck.read([fleet.log_path(0)])
    accused = [
        e.fields for e in entries
        if e.event == "fleet.member" and e.fields["by"] == "m0" and e.fields["state"] in ("suspect", "dead")
    ]  # fmt: skip
    assert accused == []
    check_logs(fleet, ids, {"m0": [(began, time.time())]})


def rss_kb(pid):
    with open(f"/proc/{pid}/status") as status:
        return next(int(line.split()[1]) for line in status if line.startswith("VmRSS"))


def garbage(rng, real):
    """One datagram that must be dropped or ignored."""
    kind = rng.choice(["random", "cut", "replayed", "oversized", "version", "cluster", "ack"])
    if kind == "random":
        return rng.randbytes(rng.randint(0, 1400))
    if kind == "cut":
        return real[: rng.randint(1, len(real) - 1)]
    if kind == "replayed":
        return real
    if kind == "oversized":
        return rng.randbytes(rng.randint(1401, 9000))
    if kind == "version":
        return msgspec.msgpack.encode(Packet(VERSION + rng.randint(1, 9), "molespur", msgspec.Raw(b"\x90")))
    if kind == "cluster":
        return wire.encode("another", Ack(rng.randint(0, 2**40), "m1"))
    return wire.encode("molespur", Ack(rng.randint(0, 2**40), f"m{rng.randint(0, 9)}"))


def test_garbage_at_the_gossip_port_is_counted_and_dropped(rig):
    """Case 6: 40,000 datagrams at full speed: random, truncated, replayed, oversized and foreign ones."""
    fleet = rig(5, faultline=False)
    fleet.start_all()
    for i in range(5):
        fleet.ready(i)
    ids = {f"m{i}" for i in range(5)}
    fleet.wait_agreed(AGREE_S, ids)
    pid, target = fleet.programs[0].pid, (fleet.host(0), GOSSIP_PORT)
    rss = rss_kb(pid)
    real = wire.encode("molespur", Ping(7, "m1", fleet.host(1), GOSSIP_PORT, "m0", [
        MemberUpdate("m1", fleet.host(1), GOSSIP_PORT, 1, State.ALIVE, "m1")
    ]))  # fmt: skip
    rng = random.Random(21)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind((fleet.host(1), 0))
        for n in range(40_000):
            sock.sendto(garbage(rng, real), target)
            if n % 500 == 0:
                time.sleep(0.01)  # otherwise the socket's buffer drops the rest before the member reads it
    fleet.wait_agreed(AGREE_S, ids)
    counts = dict(line.split("=") for line in fleet_counters(fleet, 0))
    for reason in ("malformed", "oversized", "version", "cluster"):
        assert int(counts.get(f"fleet.dropped.{reason}", 0)) > 100, (reason, counts)
    assert int(counts["fleet.acks_late"]) > 100
    assert fleet.programs[0].poll() is None
    assert rss_kb(pid) - rss < 8_000, "memory stays bounded"
    check_logs(fleet, ids)


def fleet_counters(fleet, i):
    return [line for line in ask(fleet.ops(i), "fleet counters") if line != "eof"]


def test_members_find_each_other_through_the_registry(rig):
    """No seeds but the records that each member keeps in a (stand-in) registry."""
    with registry_thread() as address:
        tables = {"registry": {"endpoints": [address]}, "registration": {"ttl_s": 5}}
        fleet = rig(3, faultline=False, fleet=dict(FAST, seeds_from_registry=True), seeds=(), tables=tables)
        fleet.start(0)
        fleet.ready(0)  # the first member: it finds no other, and is found by the next
        fleet.start_all(range(1, 3))
        for i in range(3):
            fleet.ready(i)
        fleet.wait_agreed(AGREE_S, {"m0", "m1", "m2"})
        fleet.terminate(2)
        until(lambda: fleet.members(0)["m2"][0] == "left", AGREE_S)  # it announced that it leaves: not failed


def test_off_where_peers_may_not_talk(rig):
    """The platform's settings forbid peer messages: [fleet] is enabled, but nothing listens."""
    settings = dict(SETTINGS, limits=dict(SETTINGS["limits"], peerMessages=False))
    fleet = rig(2, faultline=False, settings=settings)
    fleet.start(0)
    fleet.ready(0)
    assert ask(fleet.ops(0), "fleet members") == ["fail the fleet view is off"]
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind((fleet.host(0), GOSSIP_PORT))  # free: the member did not take it
    assert '"fleet.off"' in fleet.log_path(0).read_text()


def test_no_two_fleets_of_this_machine_draw_the_same_net():
    kept = [reserved_net() for _ in range(60)]
    assert len({net for _, net in kept}) == 60 and min(net for _, net in kept) > 38
    for lock, _ in kept:
        lock.close()
