"""The state of a running fleet, read once from the feed of a control-plane process."""

import asyncio
from collections.abc import Iterable

from attrs import define, field

from ..errors import ErrorKind, FleetError
from ..rpc import molespur_pb2 as pb
from ..rpc.channel import Channel
from ..shards.placement import CONFIGURATION, GROUPS

CONNECT_S = 1.0
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
    failures = []
    for address in addresses:
        try:
            return await _read_from(address, collect_s)
        except (OSError, TimeoutError) as error:
            failures.append(f"{address}: {error or 'no answer'}")
    raise FleetError(ErrorKind.NO_LEADER, "; ".join(failures))


async def _read_from(address: str, collect_s: float) -> FleetState:
    host, _, port = address.rpartition(":")
    state, whole, lost = FleetState(source=address), asyncio.Event(), asyncio.Event()

    def on_frame(_channel: Channel, frame: pb.Frame) -> None:
        state.take(frame)
        if not state.missing():
            whole.set()

    loop = asyncio.get_running_loop()
    made = loop.create_connection(lambda: Channel(on_frame, lambda _channel: lost.set()), host, int(port))
    _transport, channel = await asyncio.wait_for(made, CONNECT_S)
    waiting = [loop.create_task(event.wait()) for event in (whole, lost)]
    try:
        channel.send(pb.Frame(subscribe=pb.Subscribe(node=NODE)))
        await asyncio.wait(waiting, timeout=collect_s, return_when=asyncio.FIRST_COMPLETED)
    finally:
        for task in waiting:
            task.cancel()
        channel.close()
    if state.heartbeat is None and not state.offsets:
        raise TimeoutError
    return state
