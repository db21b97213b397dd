"""Which scheduler has which version of the configuration, as a control-plane process knows it."""

import asyncio
from collections.abc import Iterable

from ..control_plane.methods import LIST_SCHEDULERS
from ..errors import ErrorKind, FleetError
from ..rpc import molespur_pb2 as pb
from .connection import first_answer, open_channel

ANSWER_S = 2.0
OK = 200


async def read_schedulers(addresses: Iterable[str]) -> pb.SchedulerList:
    """The list of the first of these RPC addresses that answers.  Raises FleetError when none does."""
    return await first_answer(addresses, _read_from)


async def _read_from(address: str) -> pb.SchedulerList:
    replied, lost = asyncio.get_running_loop().create_future(), asyncio.Event()

    def on_frame(frame: pb.Frame) -> None:
        if frame.HasField("reply") and not replied.done():
            replied.set_result(frame.reply)

    async with open_channel(address, on_frame, lost) as channel:
        channel.send(pb.Frame(call=pb.Call(id=1, method=LIST_SCHEDULERS)))
        reply = await asyncio.wait_for(replied, ANSWER_S)
    if reply.status != OK:
        raise FleetError(ErrorKind.NO_LEADER, f"{address}: {reply.status}: an older release?")
    return pb.SchedulerList.FromString(reply.body)


def scheduler_rows(known: pb.SchedulerList) -> list[dict]:
    """One row for each scheduler, those that lack the newest version first.

    `age_ms`: the scheduler may lack what was acknowledged since that long before its last word, which came
    `heard_ms` ago.
    """
    rows = [_row(heard, known.configuration_version) for heard in known.schedulers]
    return sorted(rows, key=lambda row: (row["state"] == "newest", row["scheduler"]))


def _row(heard: pb.HeardScheduler, newest: int) -> dict:
    beat = heard.heartbeat
    return {
        "scheduler": beat.node,
        "zone": beat.zone,
        "version": beat.configuration_version or "-",
        "state": _state(beat.configuration_version, newest),
        "age_ms": beat.configuration_age_ms,
        "heard_ms": heard.heard_ms_ago,
    }


def _state(version: int, newest: int) -> str:
    if not version:
        return "none yet"
    return "newest" if version >= newest else "older"
