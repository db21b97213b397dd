"""What the exchange of work between schedulers costs one of them.

    python -m benchmarks.peer_exchange [--workers 820] [--peers 16]

Prints microseconds for a datagram made and taken, bytes of one, and what follows a second for one scheduler:
as a share of a core (sending and receiving on the sockets not counted) and in KB.
"""

import argparse
import time
from collections import deque
from random import Random

from molespur.policy.tracking import WorkerTrack
from molespur.system.data_plane.peer_work import PeerWorkTable, worker_hash
from molespur.system.data_plane.peers import MAX_FULL_RATE_PEERS, SEND_INTERVAL_S

TURNS = 400
OPEN_CALLS = 16  # unfinished calls of one scheduler
CALLS_A_SECOND = 24.0  # of one scheduler: twelve requests, each with a read and a run


def scheduler(name: str, workers: int) -> tuple[PeerWorkTable, list[WorkerTrack]]:
    """A scheduler that knows so many workers."""
    tracks = [WorkerTrack(f"i-{n:08x}", f"10.0.0.{n}:80", "a", "prefill", 64) for n in range(workers)]
    return PeerWorkTable(name, {worker_hash(track.id): track for track in tracks}), tracks


def change(table: PeerWorkTable, tracks: list[WorkerTrack], open_calls: deque, random: Random) -> None:
    """A call begins at a worker, the oldest ends; each tenth places a prefix."""
    track, tokens = random.choice(tracks), float(random.randrange(9000))
    track.unfinished += 1
    track.prefill_tokens[2] += tokens
    table.mark_changed(track)
    open_calls.append((track, tokens))
    if len(open_calls) > OPEN_CALLS:
        ended, read = open_calls.popleft()
        ended.unfinished -= 1
        ended.prefill_tokens[2] -= read
        table.mark_changed(ended)
    if random.random() < 0.5:
        table.record_placed(track, (("5c1e07a2", 800.0), ("91bd3f06", 410.0)))


def main() -> None:
    """Measure."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--workers", type=int, default=820)
    parser.add_argument("--peers", type=int, default=16)
    options = parser.parse_args()
    random = Random(1)
    (sender, tracks), (receiver, _) = scheduler("a", options.workers), scheduler("b", options.workers)
    interval = SEND_INTERVAL_S * max(1.0, options.peers / MAX_FULL_RATE_PEERS)
    changes = max(round(CALLS_A_SECOND * interval), 1)
    open_calls: deque = deque()
    made_s = taken_s = 0.0
    sizes = []
    for turn in range(TURNS):
        for _ in range(changes):
            change(sender, tracks, open_calls, random)
        now = 1000.0 * interval * turn
        began = time.perf_counter()
        datagrams = sender.datagrams(now)
        made_s += time.perf_counter() - began
        for datagram in datagrams:
            sizes.append(len(datagram))
            began = time.perf_counter()
            receiver.receive(now, datagram)
            taken_s += time.perf_counter() - began
    turns_a_second, each = 1.0 / interval, len(sizes) / TURNS
    share = turns_a_second * (made_s / TURNS + options.peers * each * taken_s / len(sizes))
    size = sum(sizes) / len(sizes)
    print(f"made {1e6 * made_s / TURNS:.0f} us, taken {1e6 * taken_s / len(sizes):.0f} us, {size:.0f} bytes")
    each_way = turns_a_second * options.peers * each * size / 1000
    print(f"a second: {100 * share:.2f}% of a core, {each_way:.1f} KB each way")


if __name__ == "__main__":
    main()
