"""How long an acknowledged change takes until it is in force at each scheduler, on the virtual fleet.

An operator changes the configuration again and again while control-plane processes are in trouble.  Times are
milliseconds of virtual time, from an acknowledgement until a scheduler has that version or a newer one.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from virtual_fleet import ADDRESSES, Disk, VirtualFleet, configuration

from molespur.system.rpc import molespur_pb2 as pb
from molespur.system.shards.placement import CONFIGURATION

CHANGE_EVERY_S = 0.05
SETTLED_S = 6.0
BEFORE_S = 2.0
AFTER_S = 4.0
HEALED_S = 1.0  # between two troubles
DISK_HANGS = 1e4  # times as slow
LOST_SHARE = 0.1  # of the packets on lossy links
SMALL_BYTES = 1400  # largest frame that passes links for small ones only
LARGE_BODY, SMALL_BODY = 1 << 20, 3000
LARGE_EVERY_S = 0.5  # changes of a megabyte
SLOW_S = (
    0.01  # of processor time for each thing that a process is told, where it has a tenth of its processor
)
CALL_S = 1.0  # an operator waits this long for an answer
RETRY_S = 0.05
SUCCESSOR = 200  # the last part of its address


@dataclass(frozen=True)
class Acknowledgement:
    """A version that an operator was told is taken, and when (ms)."""

    at: float
    version: int


@dataclass
class Propagation:
    """What operators were told, and when each scheduler had which version.

    `answer_times`: for each change the time until a clear answer came (ms), less what the operator waited at
    a process of its own choice that does not answer at all.
    """

    clock: Callable[[], float]
    answer_times: list[float] = field(default_factory=list)
    acknowledged: list[Acknowledgement] = field(default_factory=list)
    in_force: dict[str, list[Acknowledgement]] = field(default_factory=dict)  # by scheduler

    def watch(self, name: str, follower) -> None:
        """Note each version that a scheduler puts in force."""
        told, seen = follower.on_update, self.in_force.setdefault(name, [])

        def update(group: str, snapshot: bool, payload: bytes) -> None:
            told(group, snapshot, payload)
            if group == CONFIGURATION:
                seen.append(Acknowledgement(self.clock(), pb.ConfigurationState.FromString(payload).version))

        follower.on_update = update

    def delays(self) -> list[float]:
        """For each acknowledged change and scheduler: the time until it was in force; inf: never."""
        return [
            max(next((s.at for s in seen if s.version >= told.version), float("inf")) - told.at, 0.0)
            for seen in self.in_force.values()
            for told in self.acknowledged
        ]

    def worst(self) -> float:
        """The longest time."""
        return max(self.delays())


async def change_again_and_again(fleet: VirtualFleet, seen: Propagation, body_bytes: int) -> None:
    """One operator, whose next change is built on the last one that was taken."""
    version = 0
    while True:
        body = configuration(version + 1, f"m{version + 1}", padding=body_bytes)
        status = await until_clear(fleet, seen, version, body)
        if status == 200:
            version += 1
            seen.acknowledged.append(Acknowledgement(fleet.clock(), version))
        await asyncio.sleep(LARGE_EVERY_S if body_bytes >= LARGE_BODY else CHANGE_EVERY_S)


async def until_clear(fleet: VirtualFleet, seen: Propagation, base: int, body: bytes) -> int:
    """Send a change until the answer is clear; return its status, and note how long it took."""
    fleet.checker.sent(base + 1, base, body)
    began, silent_ms = fleet.clock(), 0.0
    address, led = fleet.random.choice(list(fleet.processes)), False
    while True:
        asked = fleet.clock()
        answer = await fleet.call("PUT", "/api/config", body, {"If-Match": str(base)}, address)
        if answer is None and not led:
            silent_ms += fleet.clock() - asked
        if answer is not None and answer[0] == 307 and not led:
            address, led = answer[2].removeprefix("http://").partition(":")[0], True
            continue
        if answer is not None and answer[0] in (200, 400, 412):
            fleet.checker.answered(body, answer[0])
            seen.answer_times.append(fleet.clock() - began - silent_ms)
            return answer[0]
        address, led = fleet.random.choice(list(fleet.processes)), False
        await asyncio.sleep(RETRY_S)


def others(fleet: VirtualFleet, address: str) -> list[str]:
    """The other control-plane processes."""
    return [other for other in fleet.processes if other != address]


def cut_off(fleet, address):
    """Nothing passes between it and anybody."""
    fleet.isolate(address)


def cut_from_control(fleet, address):
    """Nothing passes between it and the other control-plane processes."""
    fleet.isolate(address, core_only=True)


def lose_outgoing(fleet, address):
    """What it sends to the other control-plane processes is lost."""
    fleet.one_way |= {(address, other) for other in others(fleet, address)}


def lose_incoming(fleet, address):
    """What the other control-plane processes send to it is lost."""
    fleet.one_way |= {(other, address) for other in others(fleet, address)}


def freeze(fleet, address):
    """It stands still."""
    fleet.processes[address].freeze()


def hang_disk(fleet, address):
    """Its disk answers nothing."""
    fleet.processes[address].disk_slowness = DISK_HANGS


def fill_disk(fleet, address):
    """Its disk refuses every write."""
    fleet.processes[address].disk_full = True


def lossy(fleet, address):
    """Its links lose packets."""
    fleet.lossy[address] = LOST_SHARE


def small_frames(fleet, address):
    """Its links pass small frames only: whatever is behind a larger one is stuck."""
    fleet.small[address] = SMALL_BYTES


def slow_processor(fleet, address):
    """It has a tenth of its processor."""
    fleet.processes[address].slow_s = SLOW_S


FAULTS = {
    "cut off": cut_off,
    "cut from control": cut_from_control,
    "not heard": lose_outgoing,
    "not hearing": lose_incoming,
    "frozen": freeze,
    "disk hangs": hang_disk,
    "disk full": fill_disk,
    "lossy": lossy,
    "small frames only": small_frames,
    "slow processor": slow_processor,
}


def heal(fleet, address):
    """The trouble is over."""
    fleet.heal()
    process = fleet.processes[address]
    process.disk_slowness, process.disk_full, process.slow_s = 1.0, False, 0.0
    if process.frozen:
        process.thaw()


def chosen(fleet: VirtualFleet, role: str, but: str = "") -> str:
    """The leader of the configuration's shard, or a follower."""
    leader = fleet.leader()
    if role == "leader" and leader not in (None, but):
        return leader
    return next(a for a in fleet.processes if a not in (leader, but))


async def one_trouble(fleet: VirtualFleet, trouble, role: str, duration_s: float) -> None:
    """One process is in trouble."""
    address = chosen(fleet, role)
    trouble(fleet, address)
    await asyncio.sleep(duration_s)
    heal(fleet, address)


async def two_in_a_row(fleet: VirtualFleet, trouble, role: str, duration_s: float) -> None:
    """One process after the other is in the same trouble."""
    first = chosen(fleet, role)
    trouble(fleet, first)
    await asyncio.sleep(duration_s)
    heal(fleet, first)
    await asyncio.sleep(HEALED_S)
    second = chosen(fleet, role, but=first)
    trouble(fleet, second)
    await asyncio.sleep(duration_s)
    heal(fleet, second)


async def again_and_again(fleet: VirtualFleet, trouble, role: str, duration_s: float) -> None:
    """The trouble of one process comes and goes every second."""
    address = chosen(fleet, role)
    for _ in range(int(duration_s / 2)):
        trouble(fleet, address)
        await asyncio.sleep(1.0)
        heal(fleet, address)
        await asyncio.sleep(1.0)


async def replaced_meanwhile(fleet: VirtualFleet, trouble, role: str, duration_s: float) -> None:
    """One process is in trouble while another one is replaced by a new machine, planned."""
    address = chosen(fleet, role)
    trouble(fleet, address)
    leaving = next(a for a in fleet.processes if a not in (address, fleet.leader()))
    fleet.start(f"10.0.0.{SUCCESSOR}", Disk())
    await asyncio.sleep(1.0)
    await fleet.stop(leaving)
    fleet.remove(leaving)
    await asyncio.sleep(duration_s)
    heal(fleet, address)


COURSES = {
    "one": one_trouble,
    "two in a row": two_in_a_row,
    "again and again": again_and_again,
    "replaced meanwhile": replaced_meanwhile,
}


@dataclass(frozen=True)
class Run:
    """What is played."""

    fault: str
    role: str = "follower"
    duration_s: float = 4.0
    seed: int = 1
    course: str = "one"
    schedulers: int = 9
    voters: int = 3
    body_bytes: int = 0  # a configuration is so much larger

    def size(self) -> int:
        """Bytes by which each configuration is larger: over what small frames hold, in that trouble."""
        return max(self.body_bytes, SMALL_BODY if self.fault == "small frames only" else 0)


def measure(monkeypatch, run: Run) -> Propagation:
    """Play one run; return what was seen."""
    seen = None

    async def history(fleet):
        nonlocal seen
        await asyncio.sleep(SETTLED_S)
        seen = Propagation(fleet.clock)
        for name, follower in fleet.followers:
            seen.watch(name, follower)
        operator = asyncio.create_task(change_again_and_again(fleet, seen, run.size()))
        await asyncio.sleep(BEFORE_S)
        await COURSES[run.course](fleet, FAULTS[run.fault], run.role, run.duration_s)
        await asyncio.sleep(AFTER_S)
        operator.cancel()
        await asyncio.sleep(AFTER_S)

    spares = tuple(f"10.0.0.{number}" for number in range(len(ADDRESSES) + 1, run.voters + 1))
    fleet = VirtualFleet(
        run.seed, monkeypatch, schedulers=run.schedulers, tolerance=run.voters // 2, spares=spares
    )
    fleet.silence_s = CALL_S
    fleet.run(history)
    return seen
