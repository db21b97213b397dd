"""Measures, on the virtual fleet, how long an acknowledged change takes to be in force at each scheduler.

An operator keeps changing the configuration while faults are injected into control-plane processes.  Times
are milliseconds of virtual time, from an acknowledgement until a scheduler has that version or a newer one.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from virtual_fleet import ADDRESSES, Disk, VirtualFleet, configuration

from molespur.system.rpc import molespur_pb2 as pb
from molespur.system.shards.placement import CONFIGURATION

CHANGE_INTERVAL_S = 0.05
STARTUP_S = 6.0  # before the operator starts
BEFORE_FAULT_S = 2.0
AFTER_FAULT_S = 4.0
BETWEEN_FAULTS_S = 1.0
HANGING_DISK_SLOWDOWN = 1e4
LOSS_SHARE = 0.1  # share of packets lost on lossy links
MAX_SMALL_FRAME_BYTES = 1400  # largest frame that links with the "small frames only" fault pass
LARGE_BODY, SMALL_BODY = 1 << 20, 3000  # bytes
LARGE_CHANGE_INTERVAL_S = 0.5  # for changes of a megabyte
SLOW_EVENT_S = 0.01  # processor time per event of a process that has a tenth of its processor
CALL_TIMEOUT_S = 1.0  # an operator waits this long for a response
RETRY_S = 0.05
SUCCESSOR_NUMBER = 200  # last octet of the address of a replacement


@dataclass(frozen=True)
class Acknowledgement:
    """A version and the time at which it was acknowledged, or in force at a scheduler (ms)."""

    at: float
    version: int


@dataclass
class Propagation:
    """The acknowledged versions, and when each scheduler put which version in force.

    `response_times_ms`: for each change the time until a definite response, less the time that the operator
    waited for processes of its own choice that do not respond at all.
    """

    clock: Callable[[], float]
    response_times_ms: list[float] = field(default_factory=list)
    acknowledged: list[Acknowledgement] = field(default_factory=list)
    in_force: dict[str, list[Acknowledgement]] = field(default_factory=dict)  # by scheduler

    def record_updates(self, name: str, follower) -> None:
        """Record each version that a scheduler puts in force."""
        on_update, seen = follower.on_update, self.in_force.setdefault(name, [])

        def update(group: str, snapshot: bool, payload: bytes) -> None:
            on_update(group, snapshot, payload)
            if group == CONFIGURATION:
                seen.append(Acknowledgement(self.clock(), pb.ConfigurationState.FromString(payload).version))

        follower.on_update = update

    def delays(self) -> list[float]:
        """The time until each acknowledged change was in force at each scheduler; inf: never."""
        return [
            max(next((s.at for s in seen if s.version >= change.version), float("inf")) - change.at, 0.0)
            for seen in self.in_force.values()
            for change in self.acknowledged
        ]

    def worst(self) -> float:
        """The longest delay."""
        return max(self.delays())


async def change_repeatedly(fleet: VirtualFleet, propagation: Propagation, body_bytes: int) -> None:
    """One operator; each change is based on the last one that was accepted."""
    version = 0
    while True:
        body = configuration(version + 1, f"m{version + 1}", padding=body_bytes)
        status = await put_until_definite(fleet, propagation, version, body)
        if status == 200:
            version += 1
            propagation.acknowledged.append(Acknowledgement(fleet.clock(), version))
        await asyncio.sleep(LARGE_CHANGE_INTERVAL_S if body_bytes >= LARGE_BODY else CHANGE_INTERVAL_S)


async def put_until_definite(fleet: VirtualFleet, propagation: Propagation, base: int, body: bytes) -> int:
    """Send a change until the response is definite; return its status, and record the time that it took."""
    fleet.checker.record_sent(base + 1, base, body)
    started_at, unresponsive_ms = fleet.clock(), 0.0
    address, was_redirected = fleet.random.choice(list(fleet.processes)), False
    while True:
        sent_at = fleet.clock()
        response = await fleet.call("PUT", "/api/config", body, {"If-Match": str(base)}, address)
        if response is None and not was_redirected:
            unresponsive_ms += fleet.clock() - sent_at
        if response is not None and response[0] == 307 and not was_redirected:
            address, was_redirected = response[2].removeprefix("http://").partition(":")[0], True
            continue
        if response is not None and response[0] in (200, 400, 412):
            fleet.checker.record_response(body, response[0])
            propagation.response_times_ms.append(fleet.clock() - started_at - unresponsive_ms)
            return response[0]
        address, was_redirected = fleet.random.choice(list(fleet.processes)), False
        await asyncio.sleep(RETRY_S)


def others(fleet: VirtualFleet, address: str) -> list[str]:
    """The other control-plane processes."""
    return [other for other in fleet.processes if other != address]


def cut_off(fleet, address):
    """No messages pass between the process and any other machine."""
    fleet.isolate(address)


def cut_from_control(fleet, address):
    """No messages pass between the process and the other control-plane processes."""
    fleet.isolate(address, core_only=True)


def lose_outgoing(fleet, address):
    """Messages from the process to the other control-plane processes are lost."""
    fleet.one_way |= {(address, other) for other in others(fleet, address)}


def lose_incoming(fleet, address):
    """Messages from the other control-plane processes to the process are lost."""
    fleet.one_way |= {(other, address) for other in others(fleet, address)}


def freeze(fleet, address):
    """The process is stopped, as with SIGSTOP."""
    fleet.processes[address].freeze()


def hang_disk(fleet, address):
    """Writes to the disk of the process do not complete."""
    fleet.processes[address].disk_slowness = HANGING_DISK_SLOWDOWN


def fill_disk(fleet, address):
    """Writes to the disk of the process fail."""
    fleet.processes[address].disk_full = True


def lose_packets(fleet, address):
    """The links of the process lose packets."""
    fleet.loss_share[address] = LOSS_SHARE


def pass_small_frames_only(fleet, address):
    """The links of the process pass small frames only: a larger frame blocks those behind it."""
    fleet.max_frame_bytes[address] = MAX_SMALL_FRAME_BYTES


def slow_processor(fleet, address):
    """The process has a tenth of its processor."""
    fleet.processes[address].slow_s = SLOW_EVENT_S


FAULTS = {
    "cut off": cut_off,
    "cut from control": cut_from_control,
    "not heard": lose_outgoing,
    "not hearing": lose_incoming,
    "frozen": freeze,
    "disk hangs": hang_disk,
    "disk full": fill_disk,
    "lossy": lose_packets,
    "small frames only": pass_small_frames_only,
    "slow processor": slow_processor,
}


def heal(fleet, address):
    """End all faults of a process."""
    fleet.heal()
    process = fleet.processes[address]
    process.disk_slowness, process.disk_full, process.slow_s = 1.0, False, 0.0
    if process.frozen:
        process.thaw()


def choose_process(fleet: VirtualFleet, role: str, exclude: str = "") -> str:
    """The leader of the configuration shard, or a follower."""
    leader = fleet.leader()
    if role == "leader" and leader not in (None, exclude):
        return leader
    return next(a for a in fleet.processes if a not in (leader, exclude))


async def one_fault(fleet: VirtualFleet, fault, role: str, duration_s: float) -> None:
    """One process has the fault."""
    address = choose_process(fleet, role)
    fault(fleet, address)
    await asyncio.sleep(duration_s)
    heal(fleet, address)


async def two_in_a_row(fleet: VirtualFleet, fault, role: str, duration_s: float) -> None:
    """One process has the fault, then another one."""
    first = choose_process(fleet, role)
    fault(fleet, first)
    await asyncio.sleep(duration_s)
    heal(fleet, first)
    await asyncio.sleep(BETWEEN_FAULTS_S)
    second = choose_process(fleet, role, exclude=first)
    fault(fleet, second)
    await asyncio.sleep(duration_s)
    heal(fleet, second)


async def again_and_again(fleet: VirtualFleet, fault, role: str, duration_s: float) -> None:
    """The fault of one process starts and ends every second."""
    address = choose_process(fleet, role)
    for _ in range(int(duration_s / 2)):
        fault(fleet, address)
        await asyncio.sleep(1.0)
        heal(fleet, address)
        await asyncio.sleep(1.0)


async def replaced_meanwhile(fleet: VirtualFleet, fault, role: str, duration_s: float) -> None:
    """One process has the fault during the planned replacement of another one by a new machine."""
    address = choose_process(fleet, role)
    fault(fleet, address)
    leaving = next(a for a in fleet.processes if a not in (address, fleet.leader()))
    fleet.start(f"10.0.0.{SUCCESSOR_NUMBER}", Disk())
    await asyncio.sleep(1.0)
    await fleet.stop(leaving)
    fleet.remove(leaving)
    await asyncio.sleep(duration_s)
    heal(fleet, address)


COURSES = {
    "one": one_fault,
    "two in a row": two_in_a_row,
    "again and again": again_and_again,
    "replaced meanwhile": replaced_meanwhile,
}


@dataclass(frozen=True)
class Run:
    """The parameters of one run."""

    fault: str
    role: str = "follower"
    duration_s: float = 4.0
    seed: int = 1
    course: str = "one"
    schedulers: int = 9
    voters: int = 3
    body_bytes: int = 0  # padding of each configuration

    def size(self) -> int:
        """Padding of each configuration (bytes); with "small frames only" it exceeds a small frame."""
        return max(self.body_bytes, SMALL_BODY if self.fault == "small frames only" else 0)


def measure(monkeypatch, run: Run) -> Propagation:
    """Play one run; return the recorded propagation."""
    propagation = None

    async def history(fleet):
        nonlocal propagation
        await asyncio.sleep(STARTUP_S)
        propagation = Propagation(fleet.clock)
        for name, follower in fleet.followers:
            propagation.record_updates(name, follower)
        operator = asyncio.create_task(change_repeatedly(fleet, propagation, run.size()))
        await asyncio.sleep(BEFORE_FAULT_S)
        await COURSES[run.course](fleet, FAULTS[run.fault], run.role, run.duration_s)
        await asyncio.sleep(AFTER_FAULT_S)
        operator.cancel()
        await asyncio.sleep(AFTER_FAULT_S)

    spares = tuple(f"10.0.0.{number}" for number in range(len(ADDRESSES) + 1, run.voters + 1))
    fleet = VirtualFleet(
        run.seed, monkeypatch, schedulers=run.schedulers, tolerance=run.voters // 2, spares=spares
    )
    fleet.unresponsive_s = CALL_TIMEOUT_S
    fleet.run(history)
    return propagation
