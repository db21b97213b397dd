"""A small language for test scenarios on in-memory connections and trio's mock clock.

A scenario is a text with one step on each line: an actor, a verb and its words.  Actors are clients (a, b,
..), workers (w1, w2, ..) and discovery (d).

    a send lookup r1        a client submits a job;             a raw TEXT     sends bytes unchanged
                                                                a raw-on TEXT  sends further bytes
    a expect 200 text       its response, with words in it;     a expect closed
    w1 expect r1            a worker got the full request;      w1 expect closed r1
    w1 send r1 done hello   a line of its response;             w1 raw r1 TEXT sends bytes unchanged
    w1 refuse | hang        it refuses connections, or never accepts one
    d expect 0              discovery is watched from version 0;    d send {json} (or nothing: an empty line)
    X close [r1]            closes a connection;                wait 200       lets milliseconds pass
    count sent.ok 1         the value of a counter;             break module   the next event raises
    retune NAME 1           new settings: the class lookup is called NAME, and one attempt is allowed
    mute module             the next event has no actions;  move discovery 9   its port changes
    program stop            a SIGTERM;  program evacuate|activate|successor|alone  an event of the process
    program evacuate stopping   .. is rejected for that reason;  front up yes|no      a health check
    within 5050             at most so many milliseconds have passed
    budget 1                max connections to each worker that the fleet allows this scheduler

With `registry="etcd"` or `"consul"` the workers are listed by a stand-in registry (g), not by discovery:

    g put w2 [leaving] [boot=5]     g delete w2     g compact     g away | back (refuses connections, or not)
    told w2 active|leaving|none     waits until the scheduler has this state of a worker
    born w2 5000                    start time of a worker in the decision module (0: long ago)
    w1 slow 100                     its connections take so long to open
"""

import codecs
import contextlib
import json
import types

import h11
import msgspec
import trio
from trio.testing import MockClock, memory_stream_pair, wait_all_tasks_blocked

from molespur import Dispatcher, config
from molespur.config.deployment import ClusterPart, Deployment
from molespur.config.deployment import Registry as RegistryPart
from molespur.interface import Lifecycle, Started
from molespur.lifecycle import ProcessEvent
from molespur.net.cluster import Cluster
from molespur.net.counters import Counters
from molespur.net.discovery import Discovery
from molespur.net.downstream import Downstream
from molespur.net.host import Host
from molespur.net.service import Service
from molespur.net.upstream import Upstream
from molespur.net.wheel import Clock, Wheel
from molespur.registry.source import RegistrySource
from molespur.standins.registry import Registry

REGISTRY_PORT, PREFIX = 2379, "molespur/workers/"
LIFECYCLES = {"active": Lifecycle.IN_SERVICE, "leaving": Lifecycle.DRAINING, "none": None}

SETTINGS = {
    "balancers": 1, "discovery": "subscribe", "zone": "z", "shapes": ["k"], "tick": 4.0,
    "profiles": [
        {"name": "lookup", "aim": 4900.0, "deadline": 5000.0, "effect": "retryable"},
        {"name": "assessment", "aim": 4900.0, "deadline": 5000.0, "effect": "dedup", "group": "cell",
         "keyTtl": 9000.0},
    ],
    "limits": {"tryLimit": 3, "cancelling": True, "retryAfter": True, "maxRetryAfter": 2000.0,
               "dialTimeout": 150.0, "connIdle": 30000.0},
    "rules": {"mustAskIn": 10000.0}, "report": {"via": "pull"},
}  # fmt: skip


def target(uid):
    return {"uid": uid, "endpoint": f"127.0.0.1:{3000 + int(uid[1:])}", "az": "z", "model": "k"}


def make_config(probing=False):
    """The configuration that a scheduler reads from its file."""
    wire = SETTINGS | {"limits": SETTINGS["limits"] | {"probing": probing}}
    known = {"rev": 0, "all": True, "targets": [target("w1")]}
    return config.Config(
        name="n", listen=("127.0.0.1", 1), discovery=("127.0.0.1", 2), seed=1, sockets=1024,
        known=msgspec.convert(known, config.ClusterList), settings=config.read_settings(wire)[0],
        dial_timeout_ms=150.0, conn_idle_ms=30_000.0, has_reports=True,
    )  # fmt: skip


class Peer:
    """The far end of one connection."""

    def __init__(self, stream, role):
        self.stream, self.http, self.ended = stream, h11.Connection(role), False

    async def event(self):
        while (event := self.http.next_event()) is h11.NEED_DATA:
            data = await self.stream.receive_some(65536)
            self.ended = not data
            self.http.receive_data(data)
        return event

    async def read_message(self):
        """Read the next full message; its head and its body."""
        head, body = await self.event(), b""
        while type(event := await self.event()) is h11.Data:
            body += event.data
        assert type(event) is h11.EndOfMessage, event
        return head, body


class World:
    """A scheduler without sockets, and all its peers."""

    def __init__(self, nursery, options):
        options = dict(options)
        kind = options.pop("registry", None)
        self.nursery, self.config = nursery, make_config(**options)
        self.clients, self.requests, self.behaviors, self.watch = {}, {}, {}, None
        self.counters, self.wheel, clock = Counters(), Wheel(4.0), Clock()
        self.dispatcher = Dispatcher(self.config.settings, 1)
        settings = self.config.settings
        self.host = Host(self.dispatcher, clock, self.wheel, self.counters, settings, 100)
        upstream = Upstream(self.config, self.wheel, clock, self.counters, nursery, 100, self.dial)
        self.upstream = upstream
        self.cluster = Cluster(self.config.known, clock, self.host, upstream)
        parts = (self.config, self.cluster, self.wheel, clock, self.counters, nursery)
        self.registry = None
        if kind:
            self.registry = Registry()
            given = Deployment(cluster=ClusterPart(source=kind), registry=RegistryPart(wait_ms=5000.0))
            self.cluster.source = self.source = RegistrySource(given, *parts, self.dial)
            nursery.start_soon(self.registry.run)
        else:
            self.cluster.source = self.source = Discovery(
                self.cluster, self.config, self.wheel, clock, self.counters, nursery, self.dial
            )
        self.host.connect(upstream, self.cluster)
        self.downstream = Downstream(self.host, self.wheel, self.counters, 3, 3, 70_000)
        self.service = Service(self.downstream, self.host, clock, self.wheel)
        nursery.start_soon(self.wheel.run)
        self.host.deliver(Started())
        self.cluster.start()
        self.service.handle(ProcessEvent.READY)
        self.start = trio.current_time()

    async def dial(self, address):
        """Open a connection of the scheduler to a worker, to discovery or to the registry."""
        behavior = self.behaviors.get(f"w{address[1] - 3000}")
        if behavior == "refuse":
            raise ConnectionRefusedError("refused")
        if behavior == "hang":
            await trio.sleep_forever()
        if behavior and behavior.isdecimal():
            await trio.sleep(int(behavior) / 1000)
        ours, theirs = memory_stream_pair()
        if self.registry is not None and address[1] == REGISTRY_PORT:
            if self.registry.members[0].faults.refuse:
                raise ConnectionRefusedError("refused")
            self.nursery.start_soon(self.registry.members[0].serve, theirs)
            return ours
        self.nursery.start_soon(self.serve_until_closed, address, Peer(theirs, h11.SERVER))
        return ours

    async def serve_until_closed(self, address, peer):
        with contextlib.suppress(trio.ClosedResourceError, trio.BrokenResourceError):
            await self.serve_requests(address, peer)

    async def serve_requests(self, address, peer):
        """Read the scheduler's requests on one connection; steps of the scenario respond."""
        while type(head := await peer.event()) is h11.Request:
            while type(await peer.event()) is h11.Data:
                pass
            if address == getattr(self.source, "address", None):
                self.watch = (peer, head.target.decode())
                continue
            headers = dict(head.headers)
            name = headers.get(b"x-request-id", head.target).decode()
            self.requests[f"w{address[1] - 3000}", name] = peer
            if name.startswith("/"):
                await self.respond(peer, 200, b"cpu_share=0.5,x0=3")
            while peer.http.our_state is not h11.DONE:
                if peer.ended or peer.http.our_state is h11.ERROR:
                    return
                await trio.sleep(0.001)
                if peer.http.their_state is h11.DONE and peer.http.our_state is h11.SEND_BODY:
                    with trio.move_on_after(0.001):
                        peer.ended = not await peer.stream.receive_some(1)
            peer.http.start_next_cycle()

    async def respond(self, peer, status, body, headers=()):
        http = peer.http
        headers = [*headers, ("Content-Length", str(len(body)))]
        head = http.send(h11.Response(status_code=status, headers=headers))
        await peer.stream.send_all(head + http.send(h11.Data(data=body)) + http.send(h11.EndOfMessage()))

    # -- Verbs -----------------------------------------------------------------------------------

    async def client(self, name, verb, words):
        if name not in self.clients:
            ours, theirs = memory_stream_pair()
            self.clients[name] = Peer(theirs, h11.CLIENT)
            self.nursery.start_soon(self.downstream.serve, ours)
        peer = self.clients[name]
        if verb == "send":
            cls, request_id, *more = words
            headers = {
                "Host": "x", "X-Request-ID": request_id, "X-Priority-Class": cls, "Idempotency-Key": "k",
                "X-Timeout-Ms": "5000", "Content-Length": "2",
            }  # fmt: skip
            headers |= dict(pair.split("=", 1) for pair in more)
            http = peer.http
            request = h11.Request(method="POST", target=f"/{cls}", headers=list(headers.items()))
            head = http.send(request)
            await peer.stream.send_all(head + http.send(h11.Data(data=b"hi")) + http.send(h11.EndOfMessage()))
        elif verb == "raw-on":
            await peer.stream.send_all(" ".join(words).encode())
        elif verb == "raw":
            peer.http.send(h11.Request(method="GET", target="/", headers=[("Host", "x")]))
            peer.http.send(h11.EndOfMessage())
            await peer.stream.send_all(codecs.decode(" ".join(words), "unicode_escape").encode("latin-1"))
        elif verb == "close":
            await peer.stream.aclose()
        elif words == ["closed"]:
            assert await peer.stream.receive_some(1) == b""
        else:
            head, body = await peer.read_message()
            text = f"{head.status_code} {body.decode()} {head.headers!r}"
            assert head.status_code == int(words[0]) and all(word in text for word in words), text
            if peer.http.our_state is h11.DONE and peer.http.their_state is h11.DONE:
                peer.http.start_next_cycle()

    async def worker(self, name, verb, words):
        if verb in ("refuse", "hang", "accept", "slow"):
            self.behaviors[name] = words[0] if verb == "slow" else verb
            return
        key = (name, words[-1] if verb == "expect" else words[0])
        while key not in self.requests:
            await trio.sleep(0.001)
        peer = self.requests[key]
        if verb == "expect" and words[0] == "closed":
            with trio.fail_after(1):
                while not peer.ended:
                    await trio.sleep(0.001)
        elif verb == "close":
            del self.requests[key]
            await peer.stream.aclose()
        elif verb == "raw":
            await peer.stream.send_all(codecs.decode(" ".join(words[1:]), "unicode_escape").encode("latin-1"))
        elif verb == "send" and words[1].isdecimal():
            headers = [tuple(pair.split("=", 1)) for pair in words[2:]]
            del self.requests[key]
            await self.respond(peer, int(words[1]), b"", headers)
        elif verb == "send":
            request_id, state, *rest = words
            line = {"id": request_id, "from": name, "state": state}
            if state == "running":
                line["share"] = 0.4
            elif rest:
                line["result"] = rest[0]
            http = peer.http
            head = b""
            if http.our_state is h11.SEND_RESPONSE:
                head = http.send(h11.Response(status_code=200, headers=[("Transfer-Encoding", "chunked")]))
            end = http.send(h11.Data(data=json.dumps(line).encode() + b"\n"))
            if state not in ("started", "running"):
                del self.requests[key]
                end += http.send(h11.EndOfMessage())
            await peer.stream.send_all(head + end)

    async def discovery(self, verb, words):
        while self.watch is None:
            await trio.sleep(0.001)
        peer, target = self.watch
        if verb == "expect":
            assert target.endswith("watch=1" if words == ["whole"] else f"watch=1&after={words[0]}"), target
            return
        if verb == "close":
            self.watch = None
            await peer.stream.aclose()
            return
        head = b""
        if peer.http.our_state is h11.SEND_RESPONSE:
            head = peer.http.send(h11.Response(status_code=200, headers=[("Transfer-Encoding", "chunked")]))
        await peer.stream.send_all(head + peer.http.send(h11.Data(data=" ".join(words).encode() + b"\n")))

    async def list_by_registry(self, verb, words):
        store, member = self.registry.store, self.registry.members[0]
        if verb == "put":
            uid, *more = words
            given = target(uid)
            for word in more:
                name, _, value = word.partition("=")
                given |= {"boot_ms": float(value)} if name == "boot" else {"state": name}
            store.put(PREFIX + uid, json.dumps(given).encode())
        elif verb == "delete":
            store.delete(PREFIX + words[0])
        elif verb == "compact":
            store.compact()
        else:
            member.faults.refuse = verb == "away"
            if verb == "away":
                await member.drop_all()

    async def program(self, verb, words):
        """Bring the process an event, or send it a health check."""
        if verb == "up":
            ours, theirs = memory_stream_pair()
            self.nursery.start_soon(self.downstream.serve, ours)
            peer = Peer(theirs, h11.CLIENT)
            request = h11.Request(method="GET", target="/up", headers=[("Host", "x")])
            await peer.stream.send_all(peer.http.send(request) + peer.http.send(h11.EndOfMessage()))
            head, _ = await peer.read_message()
            await peer.stream.aclose()
            assert head.status_code == {"yes": 200, "no": 503}[words[0]], head
            return
        why = self.service.handle(ProcessEvent(verb))
        assert (why or "") == " ".join(words), why
        if verb == "stop":
            listener = types.SimpleNamespace(aclose=trio.lowlevel.checkpoint)
            self.nursery.start_soon(self.service.wait_closed, listener)

    async def wait_until(self, condition):
        with trio.fail_after(10):
            while not condition():
                await trio.sleep(0.001)

    async def step(self, line):
        who, verb, *words = line.split(" ")
        if who == "wait":
            await trio.sleep(int(verb) / 1000)
        elif who == "count":
            assert self.counters[verb] == int(words[0]), dict(self.counters)
        elif who == "within":
            assert (trio.current_time() - self.start) * 1000 <= int(verb)
        elif who == "budget":
            self.upstream.may_open = lambda _, have: have < int(verb)
            self.upstream.set_max_open("w1", int(verb))
        elif who in ("program", "front"):
            await self.program(verb, words)
        elif who == "retune":
            profiles = [p | {"name": verb} if p["name"] == "lookup" else p for p in SETTINGS["profiles"]]
            limits = SETTINGS["limits"] | {"tryLimit": int(words[0])}
            given = config.read_settings(SETTINGS | {"profiles": profiles, "limits": limits})[0]
            self.host.apply_settings(given)
        elif who == "move":
            self.watch = None
            self.source.move(("127.0.0.1", int(words[0])))
        elif who in ("break", "mute"):
            self.real_handle, self.dispatcher.handle = self.dispatcher.handle, getattr(self, f"{who}_once")
        elif who == "g":
            await self.list_by_registry(verb, words)
        elif who == "told":
            want = LIFECYCLES[words[0]]
            await self.wait_until(lambda: self.cluster.lifecycle(verb) is want)
            workers = self.dispatcher.workers
            await self.wait_until(
                lambda: (verb in workers and workers[verb].in_service) is (words[0] == "active")
            )
        elif who == "born":
            assert self.dispatcher.workers[verb].started_at == float(words[0]), self.dispatcher.workers[
                verb
            ].started_at
        elif who == "d":
            await self.discovery(verb, words)
        elif who.startswith("w"):
            await self.worker(who, verb, words)
        else:
            await self.client(who, verb, words)
        await wait_all_tasks_blocked()

    def mute_once(self, now, event):
        self.dispatcher.handle = self.real_handle
        return []

    def break_once(self, now, event):
        self.dispatcher.handle, self.dispatcher.actions = self.real_handle, []
        raise RuntimeError("broken by the scenario")


def play(text, **options):
    """Play a scenario; the mock clock jumps whenever all wait."""

    async def main():
        async with trio.open_nursery() as nursery:
            world = World(nursery, options)
            for line in filter(None, map(str.strip, text.splitlines())):
                try:
                    with trio.fail_after(60):
                        await world.step(line)
                except (AssertionError, trio.TooSlowError) as error:
                    raise AssertionError(f"{line}: {error!r}") from error
            nursery.cancel_scope.cancel()

    trio.run(main, clock=MockClock(autojump_threshold=0))
