"""The fault line's commands and the fate of datagrams, without sockets."""

import random

import pytest

from molespur.standins.faultline import Faults

COMMANDS = [
    ("loss 0.2", "ok"), ("loss 2", "fail a share is 0 to 1"), ("delay 10 5", "ok"),
    ("delay -1", "fail a delay is not negative"), ("cut 0 1", "ok"), ("cut 0 9", "fail no such member"),
    ("partition east=0,1 west=2,3", "ok"), ("partition 0,1", "fail partition needs two groups of members"),
    ("heal", "ok"), ("wobble", "fail unknown command"), ("dup x", "fail bad arguments"),
]  # fmt: skip


@pytest.mark.parametrize(("line", "answer"), COMMANDS)
def test_commands(line, answer):
    assert Faults(random.Random(1)).command(line, 4) == answer


def test_fates():
    faults = Faults(random.Random(1))
    faults.command("partition east=0,1 west=2,3", 4)
    assert faults.fate(0, 2) == [] and faults.fate(2, 1) == [] and faults.fate(0, 1) == [0.0]
    faults.command("heal", 4)
    faults.command("cut 1 0", 4)
    assert faults.fate(1, 0) == [] and faults.fate(0, 1) == [0.0], "one way only"
    faults.command("clear", 4)
    faults.command("loss 0.5", 4)
    faults.command("dup 0.5", 4)
    faults.command("delay 5 10", 4)
    fates = [faults.fate(0, 1) for _ in range(4000)]
    lost = sum(not f for f in fates) / len(fates)
    doubled = sum(len(f) == 2 for f in fates) / len(fates)
    assert 0.45 < lost < 0.55 and 0.2 < doubled < 0.3
    assert all(5 <= d <= 15 for f in fates for d in f)
    assert faults.command("counts", 4).startswith("cut=")
