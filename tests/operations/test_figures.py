"""The figures against counts made on the other side of the connections, over many random streams."""

import random
from collections import Counter

import h11
import msgspec
import pytest
import trio
from scenario import Peer, World, target
from trio.testing import MockClock, memory_stream_pair, wait_all_tasks_blocked

from molespur.config import ClusterList
from molespur.interface import UpdateMode
from molespur.net.cluster import ListedWorker
from molespur.operations.figures import Gauges, figures

STATUS = {200: "passed", 503: "dropped", 502: "bad_gateway"}


class Rough(World):
    """A scheduler among workers and clients that do as they like; what they see is counted here."""

    def __init__(self, nursery, seed):
        self.rng, self.seen, self.left, self.open = random.Random(seed), Counter(), Counter(), 0
        super().__init__(nursery, {})
        self.downstream.resize(60, 60, 200_000)
        self.host.max_streams = 12

    def told(self, *states, mode=UpdateMode.COMPLETE):
        """The list, or changes to it: w1, w2, .. in these states."""
        targets = [target(f"w{n}") | {"state": state} for n, state in enumerate(states, 1)]
        known = msgspec.convert({"rev": 1, "all": True, "targets": targets}, ClusterList)
        self.cluster.update([ListedWorker.from_target(one, lambda at: at) for one in known.targets], mode)

    # -- Workers ---------------------------------------------------------------------------------

    async def serve_requests(self, address, peer):
        if address[1] < 3000:
            await trio.sleep_forever()  # discovery, which says nothing
        while type(head := await peer.event()) is h11.Request:
            while type(await peer.event()) is h11.Data:
                pass
            self.seen["upstream_tries"] += 1
            name = dict(head.headers)[b"x-request-id"].decode()
            await trio.sleep(self.rng.uniform(0, 0.2))
            mood = self.rng.random()
            if mood < 0.1:
                await peer.stream.aclose()
                return
            if mood < 0.2:
                await self.respond(peer, 500, b"")
            elif mood < 0.3:
                await self.respond(peer, 503, b"", [("X-Not-Processed", "1")])
            elif mood < 0.33:
                await trio.sleep_forever()
            else:
                await self.respond(peer, 200, b'{"id":"%b","state":"done","result":"x"}\n' % name.encode())
            if peer.http.our_state is not h11.DONE or peer.http.their_state is not h11.DONE:
                return
            peer.http.start_next_cycle()

    async def dial(self, address):
        if address[1] > 3000 and self.rng.random() < 0.1:
            raise ConnectionRefusedError("refused")
        return await super().dial(address)

    # -- Clients ---------------------------------------------------------------------------------

    async def job(self, peer, name, job_class, patience_ms):
        """Hand one job in and count its end; tells whether the connection can carry another."""
        headers = {
            "Host": "x", "X-Request-ID": name, "Idempotency-Key": name, "X-Timeout-Ms": "3000",
            "Content-Length": "2",
        }  # fmt: skip
        http = peer.http
        head = http.send(h11.Request(method="POST", target=f"/{job_class}", headers=list(headers.items())))
        data = head + http.send(h11.Data(data=b"hi")) + http.send(h11.EndOfMessage())
        cut = self.rng.randrange(len(data))
        await peer.stream.send_all(data[:cut])
        await trio.sleep(self.rng.uniform(0, 0.01))
        await peer.stream.send_all(data[cut:])
        self.open += 1
        with trio.move_on_after(patience_ms / 1000) as patience:
            answer, _ = await peer.read_message()
        self.open -= 1
        if patience.cancelled_caught:
            self.left[job_class] += 1
            await peer.stream.aclose()
            return False
        self.seen[f"{STATUS[answer.status_code]}.{job_class}"] += 1
        if http.our_state is not h11.DONE or http.their_state is not h11.DONE:
            await peer.stream.aclose()
            return False
        http.start_next_cycle()
        return True

    async def client(self, number):
        """Jobs one after the other; only with assessments is it ever out of patience."""
        peer = None
        for count in range(25):
            if peer is None:
                ours, theirs = memory_stream_pair()
                peer = Peer(theirs, h11.CLIENT)
                self.nursery.start_soon(self.downstream.serve, ours)
            job_class = self.rng.choice(["lookup", "assessment"])
            leaves = job_class == "assessment" and self.rng.random() < 0.2
            patience = self.rng.uniform(1, 300) if leaves else 60_000
            if not await self.job(peer, f"r{number}-{count}", job_class, patience):
                peer = None
            await trio.sleep(self.rng.uniform(0, 0.3))

    def figures(self):
        gauges = Gauges(self.host.open_streams, *self.cluster.count_listed_and_skipped())
        lines = figures(self.counters, self.host.classes, gauges)
        return {name.removeprefix("app."): int(value) for name, _, value in (x.partition("=") for x in lines)}


@pytest.mark.parametrize("seed", range(4))
def test_figures_are_what_clients_and_workers_see(seed):
    async def main():
        async with trio.open_nursery() as nursery:
            world = Rough(nursery, seed)
            world.told("active", "active", "active")
            before = world.figures()
            async with trio.open_nursery() as clients:
                for number in range(30):
                    clients.start_soon(world.client, number)
                for _ in range(20):
                    await trio.sleep(0.2)
                    await wait_all_tasks_blocked()
                    now = world.figures()
                    assert now["in_progress"] == world.open
                    counts = [k for k in now if k not in ("in_progress", "skipped_records_workers")]
                    assert all(now[key] >= before[key] for key in counts)
                    before = now
            end, seen, left = world.figures(), world.seen, world.left
            assert end["upstream_tries"] == seen["upstream_tries"] > 100
            for name in STATUS.values():
                assert end[f"{name}.lookup"] == seen[f"{name}.lookup"]
                more = end[f"{name}.assessment"] - seen[f"{name}.assessment"]
                assert 0 <= more <= left["assessment"]
            assert all(seen[f"{name}.lookup"] for name in ("passed", "dropped")) and left["assessment"]
            # some eleven are to be expected; with ten jobs a client, four, about one run of CI in 25 had none
            assert seen["bad_gateway.assessment"] and end["known_records_workers"] == 3
            assert end["in_progress"] == 0
            nursery.cancel_scope.cancel()

    trio.run(main, clock=MockClock(autojump_threshold=0))


def test_skipped_are_those_that_rest_or_leave_and_are_listed():
    async def main():
        async with trio.open_nursery() as nursery:
            world = Rough(nursery, 1)
            world.told("active", "active", "active", "leaving")
            assert world.cluster.count_listed_and_skipped() == (4, 1)
            workers = world.dispatcher.workers
            workers["w1"].ejected_until = world.cluster.clock.now() + 1000
            assert world.cluster.count_listed_and_skipped() == (4, 2)
            # with more than half resting none is avoided
            workers["w2"].ejected_until = workers["w3"].ejected_until = workers["w1"].ejected_until
            assert world.cluster.count_listed_and_skipped() == (4, 1)
            workers["w2"].ejected_until = workers["w3"].ejected_until = 0.0
            world.told("left", mode=UpdateMode.PARTIAL)
            assert world.cluster.count_listed_and_skipped() == (3, 1)
            workers["w2"].ejected_until = world.cluster.clock.now() - 1
            assert world.cluster.count_listed_and_skipped() == (3, 1)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=MockClock(autojump_threshold=0))
