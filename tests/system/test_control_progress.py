"""Progress of a replica group from the states that a restart in the middle of changes may leave.

These tests guard against states without a way out on the control side (docs/design/progress.md).  A random
history of kills, cuts, freezes, planned leaves and lost disks ends with the final fault: all processes lose
power, and as many more disks are lost as the group tolerates.  Then everything is back, and within the
recovery time a leader has all that was acknowledged, takes a change, and has its number of voters.  Times are
in milliseconds of virtual time.
"""

from random import Random

import pytest
from virtual_group import Disk, VirtualGroup

from molespur.system.consensus import replica as raft

SETTLE_MS = 3000
STEPS = 24
MAX_STEP_MS = 700
RECOVERY_MS = 15_000
SYNC_TIME_MS = 4000  # a process with an empty disk counts as lost for so long
SYNCS_MS = (5.0, 40.0, 90.0)
# histories that left no majority when a lost voter was removed before a learner had its vote
LEFT_NO_MAJORITY = (1126, 1137, 1204, 1217, 1363, 1562, 1570, 1813, 1834, 1844)


class History:
    """A group under random trouble, with what it has acknowledged."""

    def __init__(self, seed, tolerated):
        self.random = Random(seed)
        self.tolerated, self.voters = tolerated, 2 * tolerated + 1
        self.group = VirtualGroup(seed, self.voters, target_voters=self.voters)
        self.group.sync_ms = self.random.choice(SYNCS_MS)
        self.wiped_at = {}  # address -> when its disk was lost
        self.proposed, self.acknowledged = [], []
        self.group.run(SETTLE_MS)
        self._add_spare()

    def _add_spare(self):
        """One more process, which becomes a learner."""
        address = f"10.0.0.{self.voters + 1}:1"
        self.group.serial += 1
        self.group.start(address, Disk(f"{address}#{self.group.serial}"))
        self.group.run(SETTLE_MS)

    def step(self):
        """One random deed, and some time."""
        deeds = (self.propose, self.propose, self.kill, self.restart, self.restart, self.lose_disk, self.cut,
                 self.heal, self.freeze, self.announce_leave)  # fmt: skip
        self.random.choice(deeds)()
        self.group.run(self.random.random() * MAX_STEP_MS)
        self._record_acknowledged()

    def _record_acknowledged(self):
        for proposed, command in self.proposed:
            if self.group.is_acknowledged(proposed) and command not in self.acknowledged:
                self.acknowledged.append(command)

    # -- Deeds ---------------------------------------------------------------------------------

    def propose(self):
        command = b"command-%d" % len(self.proposed)
        proposed = self.group.propose(command)
        if proposed is not None:
            self.proposed.append((proposed, command))

    def kill(self):
        """The power of one process fails, if a majority of the addresses is left."""
        if len(self.group.down) < self.tolerated:
            self.group.kill(self.random.choice(self._running()))

    def restart(self):
        if self.group.down:
            self.group.restart(self.random.choice(sorted(self.group.down)))

    def lose_disk(self):
        """One disk is lost, within what is tolerated at once."""
        if self.may_lose_disk():
            self._wipe(self.random.choice(sorted(self.group.processes)))

    def cut(self):
        self.group.isolate(self.random.choice(self._running()))

    def heal(self):
        self.group.heal()

    def freeze(self):
        self.group.freeze(self.random.choice(self._running()), self.random.random() * 2000)

    def announce_leave(self):
        """The leader hears that a process is about to stop; it may go on for all that."""
        leader = self.group.leader()
        if leader is not None:
            member = self.random.choice(list(leader.replica.log.membership.members))
            leader.planner.record_leaving(member.replica_id, self.group.now)

    # -- Losses --------------------------------------------------------------------------------

    def _running(self):
        return sorted(address for address in self.group.processes if address not in self.group.down)

    def _wipe(self, address):
        self.wiped_at[address] = self.group.now
        self.group.wipe(address)

    def lost_disks(self):
        """How many disks count as lost now."""
        return sum(self.group.now - at < SYNC_TIME_MS for at in self.wiped_at.values())

    def is_whole(self):
        """Whether the group has all its voters, and none of them has lost its disk since."""
        leader = self.group.leader()
        if leader is None or not leader.replica.log.membership_committed:
            return False
        identities = {process.replica.id for process in self.group.processes.values()}
        voters = set(leader.replica.voters())
        return len(voters) == self.voters and voters <= identities

    def may_lose_disk(self):
        return self.lost_disks() < self.tolerated and (self.is_whole() or not self.wiped_at)

    def final_fault(self):
        """All lose power; disks are lost as far as that is tolerated; all come back."""
        addresses = sorted(self.group.processes)
        may_lose = self.tolerated - self.lost_disks() if self.may_lose_disk() else 0
        lost = self.random.sample(addresses, max(may_lose, 0))
        self._record_acknowledged()
        for address in addresses:
            self.group.kill(address)
        self.group.heal()
        self.group.run(self.random.random() * MAX_STEP_MS)
        for address in addresses:
            if address in lost:
                self._wipe(address)
            else:
                self.group.restart(address)

    def check_progress(self):
        """Within the recovery time the group is whole again."""
        self.group.run(RECOVERY_MS)
        leader = self.group.leader()
        assert leader is not None, "no leader"
        missing = set(self.acknowledged) - set(leader.state_machine.commands)
        assert not missing, f"acknowledged and lost: {missing}"
        proposed = self.group.propose(b"last")
        self.group.run(1000)
        assert self.group.is_acknowledged(proposed), "a change is not taken"
        assert len(leader.replica.voters()) == self.voters, "voters are missing"
        leader.handle(raft.Read(1))
        self.group.run(200)
        assert leader.reads.get(1), "a read is not confirmed"


@pytest.mark.parametrize("tolerated", [1, 2])
@pytest.mark.parametrize("seed", [*range(30), *LEFT_NO_MAJORITY])
def test_a_group_recovers_from_any_state_that_tolerated_trouble_leaves(seed, tolerated):
    history = History(seed, tolerated)
    for _ in range(STEPS):
        history.step()
    history.final_fault()
    history.check_progress()
