"""The state of a running fleet, read once from the feed of a control-plane process."""

import asyncio
from collections.abc import Iterable

from attrs import define, field

from ..rpc import molespur_pb2 as pb
from ..shards.placement import CONFIGURATION, GROUPS
from .connection import first_answer, open_channel

COLLECT_S = 3.0  # longest wait for the first state of every shard
NODE = (
    "operator"  # the name under which the feed is asked for; it never sends a heartbeat, so it counts nowhere
)


@define
class FleetState:
    """What the feed has told so far.  `missing()` names what it has not."""

    source: str = ""
    configuration: pb.ConfigurationState | None = None
    workers: dict[str, pb.Worker] = field(factory=dict)
    offsets: dict[str, int] = field(factory=dict)
    heartbeat: pb.FeedHeartbeat | None = None

    def take(self, frame: pb.Frame) -> None:
        """Take one frame of the feed."""
        match frame.WhichOneof("body"):
            case "feed_heartbeat":
                self.heartbeat = frame.feed_heartbeat
            case "update":
                self._update(frame.update)

    def _update(self, update: pb.FeedUpdate) -> None:
        self.offsets[update.group] = update.index
        if update.group == CONFIGURATION:
            self.configuration = pb.ConfigurationState.FromString(update.payload)
            return
        for worker in pb.WorkerSet.FromString(update.payload).workers:
            if worker.state == pb.GONE:
                self.workers.pop(worker.id, None)
            else:
                self.workers[worker.id] = worker

    def missing(self) -> list[str]:
        """Shards that have told nothing yet, and `heartbeat` before the first one."""
        shards = [group for group in GROUPS if group not in self.offsets]
        return shards if self.heartbeat is not None else [*shards, "heartbeat"]


async def read_state(addresses: Iterable[str], collect_s: float = COLLECT_S) -> FleetState:
    """The state as the first of these RPC addresses that answers tells it.

    A shard without a leader tells nothing, so the state may lack it.  Raises FleetError(NO_LEADER) when none
    of the addresses can be reached.
    """
    return await first_answer(addresses, lambda address: _read_from(address, collect_s))


async def _read_from(address: str, collect_s: float) -> FleetState:
    state, whole, lost = FleetState(source=address), asyncio.Event(), asyncio.Event()

    def on_frame(frame: pb.Frame) -> None:
        state.take(frame)
        if not state.missing():
            whole.set()

    async with open_channel(address, on_frame, lost) as channel:
        channel.send(pb.Frame(subscribe=pb.Subscribe(node=NODE)))
        waiting = [asyncio.ensure_future(event.wait()) for event in (whole, lost)]
        try:
            await asyncio.wait(waiting, timeout=collect_s, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in waiting:
                task.cancel()
    if state.heartbeat is None and not state.offsets:
        raise TimeoutError
    return state
