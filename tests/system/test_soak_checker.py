"""The soak's checker finds each rule broken where it is, and nothing in a run that keeps them all."""

import pytest

from molespur.system.soak import checker
from molespur.system.soak.records import (
    Arrival,
    BrokenOff,
    Change,
    ConfigurationRead,
    Deed,
    Ending,
    Exchange,
    FinalAnswer,
    Goodbye,
    HandleDeed,
    HandleEvent,
    Log,
    OrderTaken,
    Probe,
    ProcessDeed,
    RequestKind,
    Sample,
    WorkerEnded,
)


def exchange(attempt="a1", kind=RequestKind.NON_IDEMPOTENT, **differs):
    made = Exchange(attempt, kind, "edge", 10.0, ended_at=10.1, ending=Ending.ANSWERED, status=200)
    for name, value in differs.items():
        setattr(made, name, value)
    return made


def stream(events, ending=Ending.ANSWERED, **differs):
    return exchange(kind=RequestKind.STREAM, events=events, events_wanted=3, ending=ending, **differs)


def ran(attempt="a1", at=10.05, worker="w", runs=True):
    return Arrival(at, worker, attempt, runs)


def change(version=2, base=1, status=200, **differs):
    return Change(version, base, "north", 5.0, 5.1, status, **differs)


def log(**parts):
    made = Log(last_read=parts.pop("last_read", 2))
    made.changes.append(change())
    for name, value in parts.items():
        getattr(made, name).extend(value)
    return made


def probe(status, at=9.0, route="/n/"):
    return Probe(at, at + 0.01, "edge", route, status)


def model(**differs):
    return exchange(kind=RequestKind.MODEL, events=[1, 2, 3], events_wanted=3, **differs)


def memory(deed, at, attempt="a1"):
    return HandleEvent(at, "w", "h1", deed, attempt)


def order(holder, token):
    return OrderTaken(5.0, "w", holder, token)


def final(*statuses, scheduler="edge", service="model"):
    return [FinalAnswer(40.0 + n, scheduler, service, status) for n, status in enumerate(statuses)]


def log_of_end(versions):
    made = log()
    made.final_versions = versions
    return made


READ, TAKEN, FREED, LAPSED = HandleDeed.READ, HandleDeed.TAKEN, HandleDeed.FREED, HandleDeed.LAPSED
ADDED = change(3, 2, added=("/n/",))
DROPPED = change(4, 3, removed=("/n/",))
TOLD_TO_END = ProcessDeed(9.9, "edge", Deed.TERMINATE)
CUT_OFF = {"ending": Ending.NO_ANSWER, "status": 0}

KEPT = {
    "served once": log(exchanges=[exchange()], arrivals=[ran()]),
    "refused and never run": log(exchanges=[exchange(status=503)], arrivals=[ran(runs=False)]),
    "repeated where it may be": log(
        exchanges=[exchange(kind=RequestKind.IDEMPOTENT)], arrivals=[ran(), ran(at=10.07, worker="v")]
    ),
    "a stream that was cut by the end of its worker": log(
        exchanges=[stream([1, 2], Ending.CUT)], arrivals=[ran()], ends=[WorkerEnded(10.09, "w")]
    ),
    "a stream that its worker broke off": log(
        exchanges=[stream([1, 2], Ending.CUT)], arrivals=[ran()], broken_off=[BrokenOff(10.09, "w", "a1")]
    ),
    "a stream cut by a reset of its worker's connections": log(
        exchanges=[stream([1, 2], Ending.CUT)],
        arrivals=[ran()],
        deeds=[ProcessDeed(10.08, "w", Deed.RESET)],
    ),
    "a stream cut at its deadline": log(
        exchanges=[stream([1, 2], Ending.CUT, ended_at=14.0)], arrivals=[ran()]
    ),
    "a stream cut by the end of the grace period": log(
        exchanges=[stream([1, 2], Ending.CUT, ended_at=15.0)],
        arrivals=[ran()],
        deeds=[ProcessDeed(7.2, "edge", Deed.TERMINATE)],
    ),
    "a stream cut with its scheduler": log(
        exchanges=[stream([1, 2], Ending.CUT)], arrivals=[ran()], deeds=[ProcessDeed(10.1, "edge", Deed.KILL)]
    ),
    "a stream taken up again": log(exchanges=[stream([2, 3], from_event=1)], arrivals=[ran()]),
    "lost with a process that was killed": log(
        exchanges=[exchange(**CUT_OFF)], deeds=[ProcessDeed(10.06, "edge", Deed.KILL)]
    ),
    "crossed the close of a process that was told to end": log(
        exchanges=[exchange(**CUT_OFF)], deeds=[TOLD_TO_END]
    ),
    "in force": log(changes=[ADDED], probes=[probe(200)], last_read=3),
    "not in force yet": log(changes=[ADDED], probes=[probe(404, at=6.0)], last_read=3),
    "not in force at a scheduler that was frozen": log(
        changes=[ADDED], probes=[probe(404)], last_read=3, deeds=[ProcessDeed(8.0, "edge", Deed.THAW)]
    ),
    "dropped": log(changes=[ADDED, DROPPED], probes=[probe(404)], last_read=4),
    "left and at rest": log(exchanges=[exchange()], arrivals=[ran(at=3.9)], goodbyes=[Goodbye(2.0, "w")]),
    "told to end": log(deeds=[ProcessDeed(3.0, "edge", Deed.EXIT, 0)]),
    "memory that its request takes": log(
        exchanges=[model()], arrivals=[ran()], handles=[memory(READ, 10.0), memory(TAKEN, 10.02)]
    ),
    "memory that is given back": log(handles=[memory(READ, 10.0), memory(FREED, 10.5)]),
    "memory that is read after its request has ended": log(
        exchanges=[model()], handles=[memory(READ, 10.2), memory(LAPSED, 15.2)]
    ),
    "memory that lapses with its scheduler": log(
        exchanges=[model()],
        handles=[memory(READ, 10.0), memory(LAPSED, 15.0)],
        deeds=[ProcessDeed(10.1, "edge", Deed.KILL)],
    ),
    "memory at a worker that was cut off": log(
        exchanges=[model()],
        handles=[memory(READ, 10.0), memory(LAPSED, 15.0)],
        deeds=[ProcessDeed(10.1, "w", Deed.CUT)],
    ),
    "orders of two holders in turn": log(orders=[order("a", 3), order("a", 3), order("b", 4)]),
    "served by the last worker, but for one": log(final_answers=final(200, 200, 503, 200)),
    "the newest in the end, or one without a clear answer": log_of_end({"edge": 2, "core": 3}),
    "a newer version in another life": log(
        samples=[Sample(1.0, "edge", 7, 1, 1, 5), Sample(2.0, "edge", 8, 1, 1, 3)]
    ),
}

BROKEN = {
    "ran twice": ("TWICE", log(exchanges=[exchange()], arrivals=[ran(), ran(at=10.07, worker="v")])),
    "refused, and ran": ("REFUSED", log(exchanges=[exchange(status=503)], arrivals=[ran()])),
    "refused, and ran later": ("REFUSED", log(exchanges=[exchange(status=429)], arrivals=[ran(at=11.0)])),
    "another's answer": ("MIXED", log(exchanges=[exchange(own=False)], arrivals=[ran()])),
    "a piece is missing": ("ORDER", log(exchanges=[stream([1, 3])], arrivals=[ran()])),
    "a piece came twice": ("ORDER", log(exchanges=[stream([1, 2, 2, 3])], arrivals=[ran()])),
    "whole ahead of its last piece": ("ORDER", log(exchanges=[stream([1, 2])], arrivals=[ran()])),
    "a piece is missing in a stream that was cut": (
        "ORDER",
        log(exchanges=[stream([1, 3], Ending.CUT)], arrivals=[ran()], ends=[WorkerEnded(10.09, "w")]),
    ),
    "unasked": ("UNASKED", log(arrivals=[ran("zz")])),
    "lost for no reason": ("LOST", log(exchanges=[exchange(**CUT_OFF)])),
    "lost by planned work after it was passed on": (
        "LOST",
        log(exchanges=[exchange(**CUT_OFF)], arrivals=[ran()], deeds=[TOLD_TO_END]),
    ),
    "a stream cut while its worker was at work": (
        "CUT",
        log(exchanges=[stream([1, 2], Ending.CUT, ended_at=11.2)], arrivals=[ran()]),
    ),
    "one sent ahead and cut": (
        "CUT",
        log(exchanges=[stream([1, 2], Ending.CUT, ended_at=11.2, pipelined=True)], arrivals=[ran()]),
    ),
    "a stream cut by a stop before the grace period was over": (
        "CUT",
        log(exchanges=[stream([1], Ending.CUT, ended_at=12.0)], arrivals=[ran()], deeds=[TOLD_TO_END]),
    ),
    "a stream of a request that was sent too late to be served, cut by the end of the grace period": (
        "CUT",
        log(
            exchanges=[stream([1, 2], Ending.CUT, ended_at=12.0)],
            arrivals=[ran()],
            deeds=[ProcessDeed(4.0, "edge", Deed.TERMINATE)],
        ),
    ),
    "cut long after a reset of its worker's connections": (
        "CUT",
        log(
            exchanges=[stream([1], Ending.CUT)],
            arrivals=[ran()],
            deeds=[ProcessDeed(9.0, "w", Deed.RESET)],
        ),
    ),
    "cut although another worker broke another answer off": (
        "CUT",
        log(exchanges=[stream([1], Ending.CUT)], arrivals=[ran()], broken_off=[BrokenOff(10.09, "w", "b2")]),
    ),
    "a new route is refused": ("CONFIG", log(changes=[ADDED], probes=[probe(404)], last_read=3)),
    "a dropped route is served": (
        "CONFIG",
        log(changes=[ADDED, DROPPED], probes=[probe(200)], last_read=4),
    ),
    "both of two changes are taken": ("CONFIG", log(changes=[change(3, 1)], last_read=3)),
    "an old configuration is read": ("CONFIG", log(reads=[ConfigurationRead(6.0, 6.1, "core", 1)])),
    "a process went back": (
        "CONFIG",
        log(samples=[Sample(1.0, "edge", 7, 1, 1, 5), Sample(2.0, "edge", 7, 1, 1, 3)]),
    ),
    "what was acknowledged is gone": ("LOST", log(last_read=1)),
    "nothing can be read back": ("RECOVER", log(last_read=None)),
    "a worker that has left is sent to": (
        "DRAIN",
        log(exchanges=[exchange()], arrivals=[ran()], goodbyes=[Goodbye(7.0, "w")]),
    ),
    "memory of another request": (
        "MIXED",
        log(exchanges=[model()], handles=[memory(READ, 10.0), memory(TAKEN, 10.1, "b2")]),
    ),
    "memory that nobody gives back": (
        "MEMORY",
        log(exchanges=[model()], handles=[memory(READ, 10.0), memory(LAPSED, 15.0)]),
    ),
    "two holders with one token": ("ONE", log(orders=[order("a", 3), order("b", 3)])),
    "a service refused in the end": ("RECOVER", log(final_answers=final(503, 503, 503, 503))),
    "a service refused at one scheduler": (
        "RECOVER",
        log(final_answers=final(200, 200, 200, 200) + final(0, 503, 200, 200, scheduler="edge-2")),
    ),
    "a service refused beside another one": (
        "RECOVER",
        log(final_answers=final(200, 200, service="plain") + final(503, 0)),
    ),
    "an old version in the end": ("RECOVER", log_of_end({"edge": 1, "core": 2})),
    "a process that tells no version in the end": ("RECOVER", log_of_end({"edge": None, "core": 2})),
    "a process ended by itself": ("EXIT", log(deeds=[ProcessDeed(3.0, "edge", Deed.EXIT, 132)])),
}


@pytest.mark.parametrize("what", KEPT)
def test_nothing_is_found_where_the_rules_are_kept(what):
    assert checker.check(KEPT[what]) == []


@pytest.mark.parametrize("what", BROKEN)
def test_each_broken_rule_is_found(what):
    rule, told = BROKEN[what]
    assert {finding.rule for finding in checker.check(told)} == {rule}


def test_every_rule_has_a_run_that_breaks_it():
    found = set()
    for name, rule in checker.RULES.items():
        if any(list(rule(checker._Index(told))) for _, told in BROKEN.values()):
            found.add(name)
    assert found == set(checker.RULES)
