"""A process of a soak that is wrong on purpose: `python -m tests.system.wrong_process NAME ROLE [OPTIONS]`.

Each wrong puts one thing in place of another in the running program, in processes of one role.
"""

import copy
import os
import signal
import sys
import threading
from collections.abc import Callable
from dataclasses import dataclass
from itertools import count

from molespur.__main__ import main
from molespur.system import errors
from molespur.system.control_plane import calls, orders, role
from molespur.system.data_plane import (
    client_answer,
    client_call,
    events,
    exchange,
    ingress,
    state,
    upstream,
    worker_call,
)
from molespur.system.data_plane import role as data_role
from molespur.system.data_plane.exchange_messages import AbortResponse
from molespur.system.rpc import molespur_pb2 as pb
from molespur.system.shards import configuration, host
from molespur.system.shards.configuration import PutOutcome
from molespur.system.shards.placement import CONFIGURATION
from molespur.system.soak.disk import SyncNotingStore
from molespur.system.soak.fleet import CONTROL, SCHEDULER
from molespur.system.workers import phases

EXIT_AFTER_S, FORGETS_AFTER = 12.0, 10
EXIT_CODE = 3
"""How long a process that ends by itself lives, s; changes until one that forgets begins to."""


def runs_again() -> None:
    exchange.Exchange._is_repeatable = lambda self: True


def promises() -> None:
    errors.ERROR_RESPONSES[errors.ErrorKind.MAY_HAVE_RUN] = errors.ERROR_RESPONSES[errors.ErrorKind.REJECTED]


def answers_others() -> None:
    send, kept = client_answer.ClientResponse.send_complete, []

    async def wrong(self, head, body):
        kept.append((head, copy.copy(body)))  # a released body has no bytes
        await send(self, *kept[-2 if len(kept) % 5 == 0 else -1])

    client_answer.ClientResponse.send_complete = wrong


def drops_events() -> None:
    feed = events.EventFilter.feed
    events.EventFilter.feed = lambda self, data: b"".join(
        part + b"\n\n" for part in feed(self, data).split(b"\n\n") if part and not part.startswith(b"id: 5\n")
    )


def asks_by_itself() -> None:
    call, numbers = upstream.Upstreams.call, count(1)

    async def wrong(self, address, method, target, headers, *rest, **named):
        if next(numbers) % 20 == 0:
            headers = [(k, b"0" + v if k.lower() == upstream.ATTEMPT_ID else v) for k, v in headers]
        return await call(self, address, method, target, headers, *rest, **named)

    upstream.Upstreams.call = wrong


def ends_at_once() -> None:
    wait = data_role.create_stop_event

    def wrong():
        stop = wait()
        signal.signal(signal.SIGTERM, lambda *_: os._exit(0))
        return stop

    data_role.create_stop_event = wrong


def cuts_silent_streams() -> None:
    def wrong(self):
        if self.shared.client_response.head_sent:
            self.shared._carry_out(AbortResponse())

    worker_call.WorkerCall._on_silence = wrong


def keeps_its_first_configuration() -> None:
    put = state.DataPlaneState._put_configuration

    def wrong(self, told):
        if self.configuration is None:
            put(self, told)

    state.DataPlaneState._put_configuration = wrong


def takes_any_base() -> None:
    apply = configuration.ConfigurationStateMachine.apply

    def wrong(self, data):
        command = pb.PutConfiguration.FromString(data)
        command.base_version = self.version
        return apply(self, command.SerializeToString())

    configuration.ConfigurationStateMachine.apply = wrong


def reads_without_asking() -> None:
    async def owner(self):
        return None

    async def wrong(self):
        machine = self.host.groups[CONFIGURATION].state_machine
        return machine.body if machine.version else None

    calls.ControlCalls.configuration_owner = owner
    calls.ControlCalls.configuration = wrong


def goes_back() -> None:
    """Each twentieth change brings back an earlier one, which stays in force for the next nine."""
    put, told_before, numbers = state.DataPlaneState._put_configuration, [], count(1)

    def wrong(self, told):
        told_before.append(told)
        number = next(numbers) % 20
        if number == 10:
            self.configuration = None
            put(self, told_before[-5])
        elif number < 10:
            put(self, told)

    state.DataPlaneState._put_configuration = wrong


def forgets_changes() -> None:
    propose, numbers = host.ReplicaHost.propose, count(1)

    async def wrong(self, name, data):
        if name == CONFIGURATION and self.is_leader(name) and next(numbers) > FORGETS_AFTER:
            return PutOutcome.ACCEPTED
        return await propose(self, name, data)

    host.ReplicaHost.propose = wrong


def sends_to_those_that_left() -> None:
    put = state.DataPlaneState._put_worker

    def wrong(self, group, worker):
        if worker.state == pb.GONE:
            return
        worker.state = pb.READY
        put(self, group, worker)

    state.DataPlaneState._put_worker = wrong


def ends_by_itself() -> None:
    timer = threading.Timer(EXIT_AFTER_S, os._exit, [EXIT_CODE])
    timer.daemon = True
    timer.start()


def swaps_memory() -> None:
    """The memory of one request goes to the next one; the first runs without."""
    init, kept = worker_call.WorkerCall.__init__, []

    def wrong(self, shared, action):
        if getattr(action, "source", None) is not None:
            own = action.source, action.handle
            action.source, action.handle = kept.pop() if kept else (None, "")
            if action.source is None:
                kept.append(own)
        init(self, shared, action)

    worker_call.WorkerCall.__init__ = wrong


def keeps_memory() -> None:
    """Every other request runs without the memory that was read for it, which is never given back."""
    init, numbers = worker_call.WorkerCall.__init__, count(1)

    def wrong(self, shared, action):
        if getattr(action, "source", None) is not None and next(numbers) % 2:
            action.source, action.handle = None, ""
        init(self, shared, action)

    worker_call.WorkerCall.__init__ = wrong
    client_call.ClientCall._free_held_handle = lambda self, attempt: None
    ingress.Ingress.free_handle = lambda self, *_: None


def orders_with_one_token() -> None:
    post, plan = orders.PhaseOrders._post, phases.PhasePlanner.plan

    def often(self, now, workers, load):
        ready = [worker for worker in workers if worker.state == pb.READY]
        if not ready or now - self.last_order_at < 1500.0:
            return plan(self, now, workers, load)
        self.last_order_at = now
        worker = ready[int(now) % len(ready)]
        return phases.PhaseOrder(worker, "decode" if worker.phase == "prefill" else "prefill")

    phases.PhasePlanner.plan = often
    orders.PhaseOrders._post = lambda self, order, _fence: post(self, order, 1)


def gives_up_on_the_last_worker() -> None:
    plan = phases.PhasePlanner.plan

    def wrong(self, now, workers, load):
        return plan(self, now, workers, load) if len(phases.live_workers(workers)) > 1 else None

    phases.PhasePlanner.plan = wrong


def tells_no_newer_changes() -> None:
    """The feed passes the first twenty changes on, and no more."""
    put, versions = state.DataPlaneState._put_configuration, set()

    def wrong(self, told):
        versions.add(told.version)
        if len(versions) <= 20:
            put(self, told)

    state.DataPlaneState._put_configuration = wrong


@dataclass(frozen=True)
class Wrong:
    """One wrong: the role whose processes have it, the rule of the checker that must find it."""

    role: str
    rule: str
    make: Callable[[], None]


WRONGS = {
    "runs again what has broken off": Wrong(SCHEDULER, "what may not be repeated runs once", runs_again),
    "promises what it does not know": Wrong(SCHEDULER, "who was refused has not run", promises),
    "answers with another's answer": Wrong(SCHEDULER, "every answer is the caller's own", answers_others),
    "drops an event": Wrong(SCHEDULER, "streams have every event once, in order", drops_events),
    "asks by itself": Wrong(SCHEDULER, "workers run only what was asked for", asks_by_itself),
    "ends at once when told": Wrong(SCHEDULER, "planned work loses no request", ends_at_once),
    "cuts silent streams": Wrong(SCHEDULER, "an answer is cut for a fact only", cuts_silent_streams),
    "keeps its first configuration": Wrong(
        SCHEDULER, "acknowledged changes are in force in time", keeps_its_first_configuration
    ),
    "takes two changes on one version": Wrong(
        CONTROL, "of two changes on one version one is taken", takes_any_base
    ),
    "reads without asking a majority": Wrong(CONTROL, "a read tells the newest", reads_without_asking),
    "goes back": Wrong(SCHEDULER, "no process goes back", goes_back),
    "forgets what it acknowledged": Wrong(CONTROL, "the newest is read back", forgets_changes),
    "gives up on the last worker": Wrong(
        CONTROL, "a service with a sound worker serves in the end", gives_up_on_the_last_worker
    ),
    "tells no newer changes": Wrong(
        SCHEDULER, "the newest is in force everywhere in the end", tells_no_newer_changes
    ),
    "sends to those that left": Wrong(SCHEDULER, "workers that have left rest", sends_to_those_that_left),
    "ends by itself": Wrong(SCHEDULER, "nobody ends by itself", ends_by_itself),
    "swaps memory": Wrong(SCHEDULER, "prompt memory stays with its request", swaps_memory),
    "keeps memory": Wrong(SCHEDULER, "prompt memory is taken or given back", keeps_memory),
    "orders with one token for all": Wrong(CONTROL, "a fencing token has one holder", orders_with_one_token),
}

if __name__ == "__main__":
    role.Store = SyncNotingStore
    WRONGS[sys.argv.pop(1)].make()
    sys.exit(main())
