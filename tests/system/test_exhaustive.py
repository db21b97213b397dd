"""A bounded exhaustive search of the consensus state machine: three replicas and few events, in every order.

Events: a replica campaigns, a command is proposed, a message arrives or is lost, a disk syncs a record, or a
replica loses power and with it the unsynced records.  States that were visited before are not searched
again.  Checked in each state: at most one leader in a term, one value at each committed index, and every
committed entry on a majority of the disks.
"""

import copy
from dataclasses import dataclass, field

import pytest

from molespur.system.consensus import replica as raft
from molespur.system.rpc import molespur_pb2 as pb

NAMES = ("a#0", "b#0", "c#0")
MAX_MESSAGES = 4  # in flight at the same time; older ones are lost
CAMPAIGN_MS = 2000.0
FIRST = raft.Snapshot(
    1,
    1,
    pb.Membership(members=[pb.Member(replica_id=name, rpc_address=name, voter=True) for name in NAMES]),
    b"",
)


class ConstantRandom:
    """Replaces the random generator: timers are explicit events here."""

    def random(self):
        return 0.5

    def __deepcopy__(self, _memo):
        return self


@dataclass
class Node:
    """A replica, its unsynced records, and the content of its disk."""

    replica: raft.Replica
    unsynced: list = field(default_factory=list)
    hard: tuple = (1, "")
    entries: dict = field(default_factory=dict)


@dataclass(frozen=True)
class Bounds:
    """How often each kind of event may still occur."""

    campaigns: int
    proposals: int
    crashes: int


@dataclass
class World:
    """The state of the search: nodes, messages in flight, and all leaders and committed entries so far."""

    nodes: list
    messages: tuple
    bounds: Bounds
    now: float = 10_000.0
    leaders: dict = field(default_factory=dict)
    committed: dict = field(default_factory=dict)

    def key(self):
        """Return a key; worlds with the same key have the same future apart from times."""
        nodes = tuple(
            (
                node.replica.role, node.replica.hard_state.term, node.replica.hard_state.vote,
                tuple((e.term, e.data) for e in node.replica.log.entries), node.replica.log.commit_index,
                frozenset(node.replica.votes), node.hard, len(node.unsynced),
                tuple(sorted((i, e.term) for i, e in node.entries.items())),
                tuple(sorted((n, p.match_index, p.next_index) for n, p in node.replica.progress.items())),
            )
            for node in self.nodes
        )  # fmt: skip
        return nodes, tuple(sorted(content(message) for message in self.messages)), self.bounds

    def after(self, event, *arguments):
        """Return the world after one event."""
        world = copy.deepcopy(self)
        getattr(world, event)(*arguments)
        world.check()
        return world

    # -- Events ------------------------------------------------------------------------------------

    def campaign(self, number):
        self.now += CAMPAIGN_MS
        self.bounds = Bounds(self.bounds.campaigns - 1, self.bounds.proposals, self.bounds.crashes)
        self.nodes[number].replica.election_deadline_ms = self.now
        self._handle(number, raft.Tick())

    def propose(self, number):
        self.bounds = Bounds(self.bounds.campaigns, self.bounds.proposals - 1, self.bounds.crashes)
        self._handle(number, raft.Propose(b"%d" % self.bounds.proposals))

    def arrive(self, position):
        message = self.messages[position]
        self.messages = self.messages[:position] + self.messages[position + 1 :]
        self._handle(NAMES.index(message.receiver), raft.Received(message))

    def sync(self, number):
        node = self.nodes[number]
        record = node.unsynced.pop(0)
        node.hard = (record.hard_state.term, record.hard_state.vote)
        if record.truncate_from is not None:
            node.entries = {i: e for i, e in node.entries.items() if i < record.truncate_from}
        node.entries.update({entry.index: entry for entry in record.entries})
        for send in record.send_after_sync:
            self._send(send.message)
        self._handle(number, raft.Persisted(record.sequence))

    def crash(self, number):
        self.bounds = Bounds(self.bounds.campaigns, self.bounds.proposals, self.bounds.crashes - 1)
        node = self.nodes[number]
        entries = [node.entries[index] for index in sorted(node.entries)]
        node.unsynced = []
        node.replica = raft.Replica(
            "g", NAMES[number], ConstantRandom(), raft.HardState(*node.hard), FIRST, entries, self.now
        )

    def _handle(self, number, event):
        self.now += 1.0
        for action in self.nodes[number].replica.handle(self.now, event):
            match action:
                case raft.Send(_, message):
                    self._send(message)
                case raft.Persist():
                    self.nodes[number].unsynced.append(copy.deepcopy(action))
                case raft.Apply(entry):
                    known = self.committed.setdefault(entry.index, (entry.term, entry.data))
                    assert known == (entry.term, entry.data), f"two values at index {entry.index}"

    def _send(self, message):
        self.messages = (*self.messages, message)[-MAX_MESSAGES:]

    # -- Possible events and invariants -------------------------------------------------------------

    def events(self):
        for position in range(len(self.messages)):
            yield "arrive", position
        for number, node in enumerate(self.nodes):
            if node.unsynced:
                yield "sync", number
            if self.bounds.proposals and node.replica.role is raft.Role.LEADER:
                yield "propose", number
            if self.bounds.campaigns and node.replica.role is not raft.Role.LEADER:
                yield "campaign", number
            if self.bounds.crashes:
                yield "crash", number

    def check(self):
        for node in self.nodes:
            if node.replica.role is raft.Role.LEADER:
                known = self.leaders.setdefault(node.replica.hard_state.term, node.replica.id)
                assert known == node.replica.id, "two leaders in one term"
        for index, (term, _data) in self.committed.items():
            holding = sum(index in node.entries and node.entries[index].term == term for node in self.nodes)
            assert holding >= 2, f"the committed entry {index} is on {holding} disks"


def content(message):
    """Return a message without its times."""
    copied = pb.ConsensusMessage()
    copied.CopyFrom(message)
    for body in ("append_request", "append_reply"):
        if copied.HasField(body):
            getattr(copied, body).sent_at_ms = 0
    return copied.SerializeToString(deterministic=True)


def search(world, max_states):
    """Search breadth-first through every order of events; return the number of states seen."""
    seen, level = {world.key()}, [world]
    while level and len(seen) < max_states:
        next_level = []
        for current in level:
            for event in current.events():
                after = current.after(*event)
                key = after.key()
                if key not in seen:
                    seen.add(key)
                    next_level.append(after)
            if len(seen) >= max_states:
                break
        level = next_level
    return len(seen)


def initial_world(campaigns, proposals, crashes):
    nodes = [
        Node(raft.Replica("g", name, ConstantRandom(), raft.HardState(1, ""), FIRST, [], 0.0))
        for name in NAMES
    ]
    return World(nodes, (), Bounds(campaigns, proposals, crashes))


def world_with_leader(proposals, campaigns, crashes):
    """Return a world in which the first replica leads and its first entry is committed."""
    world = initial_world(1, proposals, crashes)
    world = world.after("campaign", 0)
    for _ in range(60):
        unsynced = [number for number, node in enumerate(world.nodes) if node.unsynced]
        if world.messages:
            world = world.after("arrive", 0)
        elif unsynced:
            world = world.after("sync", unsynced[0])
    assert world.nodes[0].replica.role is raft.Role.LEADER and world.committed
    world.bounds = Bounds(campaigns, proposals, crashes)
    return world


@pytest.mark.parametrize(
    ("make_world", "max_states"),
    [
        (lambda: initial_world(campaigns=2, proposals=0, crashes=1), 2500),
        (lambda: world_with_leader(proposals=1, campaigns=1, crashes=1), 2500),
        (lambda: world_with_leader(proposals=2, campaigns=1, crashes=0), 2500),
    ],
    ids=["elections", "a change and a crash", "two changes and another leader"],
)
def test_every_order_of_a_few_events_keeps_committed_entries(make_world, max_states):
    assert search(make_world(), max_states) >= max_states // 2


def test_the_search_finds_a_replica_that_votes_twice(monkeypatch):
    monkeypatch.setattr(raft.Replica, "_handle_vote_request", _grant_every_vote)
    with pytest.raises(AssertionError, match="two leaders"):
        world = initial_world(campaigns=2, proposals=0, crashes=0)
        search(world.after("campaign", 0).after("campaign", 1), 20_000)


def _grant_every_vote(self, message):
    """Grants every vote request, in any term."""
    if message.term > self.hard_state.term and not message.vote_request.pre_vote:
        self._adopt_term(message.term)
    reply = self._new_message(message.sender, message.term)
    reply.vote_reply.pre_vote = message.vote_request.pre_vote
    reply.vote_reply.granted = True
    self._send(self._sender_member(message), reply)
