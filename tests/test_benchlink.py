"""The simulator's wire protocol, spoken with a real process."""

import json
import os
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PROFILE = {
    "balancers": 1, "discovery": "automatic", "zone": "z", "zones": ["z"], "shapes": ["k"], "unknownKey": [1],
    "profiles": [{"name": "c", "aim": 500.0, "deadline": 5000.0, "effect": "retryable", "group": "all"}],
    "limits": {"tryLimit": 3, "cancelling": True}, "report": {"via": "silent"},
}  # fmt: skip
SPAWN = ["SPAWN", 0, 5, PROFILE]
LIST = ["BACKENDS_CHANGED", 0, 1, "Persisted", [["w", "z", "k", 0, "in_service", 1, None]]]
SUBMIT = ["SUBMIT", 0, 77, None, None, 1, None, 4000.0, None, 0, "c"]


def run_batch(*events, hash_seed="0"):
    lines = [["BATCH", 10.0], ["COMMIT"], ["BATCH", 20.5], *events, ["COMMIT"]]
    text = "".join((e if isinstance(e, str) else json.dumps(e)) + "\n" for e in lines)
    env = dict(os.environ, PYTHONHASHSEED=hash_seed)
    command = [sys.executable, "-m", "molespur.benchlink"]
    return subprocess.run(command, input=text, capture_output=True, text=True, cwd=ROOT, env=env, timeout=60)


def replies(done):
    return [json.loads(line) for line in done.stdout.splitlines()]


def test_a_job_is_sent_to_the_listed_worker():
    done = run_batch(SPAWN, LIST, SUBMIT)
    assert done.returncode == 0 and not done.stderr
    received = replies(done)
    assert received[0] == ["OK"] and received[-1] == ["OK"]
    assert ["SEND", 0, 77, "w", 0.0] in received


def test_actions_do_not_depend_on_the_hash_seed():
    events = [SPAWN, LIST, *([*SUBMIT[:2], n, *SUBMIT[3:]] for n in range(40))]
    assert run_batch(*events, hash_seed="1").stdout == run_batch(*events, hash_seed="2").stdout


def test_unknown_ids_and_unexpected_events_are_ignored():
    unexpected = [
        ["TIMED_OUT_CLIENT", 0, 123456],
        ["CLOSED_ATTEMPT", 0, 5, 0, 1.0, None, 253, "w", None, None],
        ["HEARTBEAT", 0, 5, "w", 9, None, 0],
        ["BACKENDS_CHANGED", 0, 2, "Complete", []],
        ["EXIT", 0],
    ]
    done = run_batch(SPAWN, LIST, *unexpected)
    assert done.returncode == 0 and not any(r[0] == "EXCEPTION" for r in replies(done))


@pytest.mark.parametrize(
    ("event", "names"),
    [
        (["SUBMIT", 0, "x", None, None, 1, None, 1.0, None, 0, "c"], ["SUBMIT", "id"]),
        ([*SUBMIT[:-1], "nobody"], ["nobody"]),
        (["SUBMIT", 0, 1], ["SUBMIT", "values"]),
        (["WHAT", 0], ["unknown event", "WHAT"]),
        (["CLOSED_ATTEMPT", 0, 5, 0, 1.0, None, 3, "w", None, None], ["CLOSED_ATTEMPT", "ending", "3"]),
        (["BACKENDS_CHANGED", 0, 2, "Odd", []], ["mode", "Odd"]),
        (["SPAWN", 1, 5, {"profiles": []}], ["profileData", "classes"]),
        ("{nonsense", ["line", "JSON"]),
    ],
)
def test_malformed_input_gets_one_message_that_names_the_fault(event, names):
    done = run_batch(SPAWN, LIST, event)
    faults = [r[2] for r in replies(done) if r[0] == "EXCEPTION"]
    if not faults:
        assert done.returncode != 0
        faults = done.stderr.strip().splitlines()
    assert len(faults) == 1 and "Traceback" not in done.stderr
    assert all(name in faults[0] for name in names)
