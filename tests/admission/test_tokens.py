"""Tokens: only what was signed by a good key, for now, speaks for anyone."""

import base64
import json
import os
import stat
import subprocess
import sys
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from molespur.admission import tokens
from molespur.admission.tokens import Bad, Identity, Ring, issue, revoke, rotate, verify

NOW = 1_800_000_000.0
RING = rotate(Ring(), b"a" * 32, NOW, 3600.0)
TOKEN = issue(RING, "ada", "north", NOW, 600.0)


def test_a_token_speaks_for_its_subject():
    assert verify(RING, TOKEN, NOW + 5) == Identity("ada", "north", "k1", NOW + 600)


def resigned(ring, key_id, **changes):
    """A token signed with this ring's newest secret, said to be by another key, or with another payload."""
    payload = {"sub": "ada", "div": "north", "iat": NOW, "exp": NOW + 600} | changes
    body = base64.urlsafe_b64encode(json.dumps(payload).encode()).rstrip(b"=").decode()
    signed = f"v1.{key_id}.{body}"
    mac = tokens._mac(tokens._decode(ring.keys[-1].secret), signed).finalize()
    return f"{signed}.{tokens._encode(mac)}"


TWO = rotate(RING, b"b" * 32, NOW + 10, 3600.0)


@pytest.mark.parametrize(
    ("ring", "token", "now", "why"),
    [
        (RING, TOKEN, NOW + 631, "expired"),
        (RING, TOKEN, NOW - 61, "not_yet"),
        (TWO, resigned(TWO, "k1"), NOW + 20, "signature"),
        (RING, resigned(RING, "k9"), NOW, "unknown_key"),
        (revoke(RING, "k1", NOW), TOKEN, NOW, "revoked_key"),
        (revoke(RING, "ada", NOW + 1), TOKEN, NOW + 2, "revoked_subject"),
        (TWO, TOKEN, NOW + 3611, "retired_key"),
        (RING, "v1.k1." + "x" * 1_000_000 + ".y", NOW, "too_long"),
        (RING, "v1.k1.????.!!!!", NOW, "not_base64"),
        (RING, "v1.k1.é.a", NOW, "malformed"),
        (RING, "", NOW, "malformed"),
        (RING, TOKEN + "=", NOW, "not_base64"),
        (RING, resigned(RING, "k1", extra=1), NOW, "malformed"),
        (RING, resigned(RING, "k1", exp="never"), NOW, "malformed"),
        (Ring(), TOKEN, NOW, "unknown_key"),
    ],
)
def test_tokens_that_are_not_good(ring, token, now, why):
    assert verify(ring, token, now) == Bad(why)


def test_a_clock_within_the_leeway_is_taken():
    assert isinstance(verify(RING, TOKEN, NOW - 29), Identity)
    assert isinstance(verify(RING, TOKEN, NOW + 629), Identity)


def test_rotation_turns_nobody_away_within_the_overlap():
    ring, held = RING, [TOKEN]
    for n in range(1, 30):
        now = NOW + n * 100
        ring = rotate(ring, bytes([n]) * 32, now, 700.0)
        held.append(issue(ring, f"client-{n}", "d", now, 600.0))
        for token in held[-6:]:
            assert isinstance(verify(ring, token, now), Identity)
        assert len(ring.keys) <= 9  # keys past their overlap are dropped


def test_revoked_keys_stay_known_as_such_and_never_sign():
    ring = revoke(RING, "k1", NOW)
    with pytest.raises(ValueError, match="no key signs"):
        issue(ring, "ada", "north", NOW, 600.0)
    ring = rotate(ring, b"c" * 32, NOW + 9_000_000, 1.0)
    assert verify(ring, TOKEN, NOW) == Bad("revoked_key")


@pytest.mark.parametrize("name", ["", "a b", "x" * 65, "a/b", "ä"])
def test_names_are_checked(name):
    with pytest.raises(ValueError):
        issue(RING, name, "d", NOW, 1.0)


@given(st.text(max_size=200) | st.integers(0, len(TOKEN)).flatmap(
    lambda at: st.text(max_size=3).map(lambda junk: TOKEN[:at] + junk + TOKEN[at + 1 :])
))  # fmt: skip
@settings(max_examples=2000, deadline=None, derandomize=True)
def test_nothing_but_the_token_itself_is_good(text):
    got = verify(RING, text, NOW)
    assert isinstance(got, Bad) or text == TOKEN


def test_a_file_of_keys_is_the_owners_alone_and_faults_are_named(tmp_path):
    path = str(tmp_path / "keys.json")
    tokens.save(path, TWO)
    assert stat.S_IMODE(os.stat(path).st_mode) == 0o600 and tokens.load(path) == TWO
    for content, named in (
        (b"{", "keys.json"),
        (b'{"keys":[{"id":"k1","secret":"YQ","made":1}]}', "k1: a secret needs"),
        (b'{"kees":[]}', "kees"),
    ):
        Path(path).write_bytes(content)
        with pytest.raises(tokens.KeyFileError, match=named):
            tokens.load(path)


def test_the_command_line(tmp_path):
    path = str(tmp_path / "keys.json")

    def run(*words, code=0):
        done = subprocess.run(
            [sys.executable, "-m", "molespur", "clients", words[0], "--keys", path, *words[1:]],
            cwd=Path(__file__).parents[2], capture_output=True, text=True, timeout=60,
        )  # fmt: skip
        assert done.returncode == code, done
        return (done.stdout + done.stderr).strip()

    assert "No such file" in run("issue", "ada", code=2)
    assert run("rotate") == "k1"
    token = run("issue", "ada", "--division", "north")
    assert run("verify", token).startswith("ada of north, by k1")
    assert run("rotate") == "k2" and run("verify", token).startswith("ada")
    assert "verifies" in run("list") and "signs" in run("list")
    run("revoke", "ada")
    assert "revoked_subject" in run("verify", token, code=1)
