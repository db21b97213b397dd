"""Reloads while the program runs: required contents of the file, rules during a change, and the swap."""

import copy
import json
from types import SimpleNamespace

import pytest
from helpers import CLASSES, actions_of, end_attempt, entry, make_dispatcher, submit, update_fleet
from hypothesis import given
from hypothesis import strategies as st
from scenario import SETTINGS, play, target

from molespur import Settings, config
from molespur import interface as io
from molespur.config.change import FOLLOW_MS, between, check_whole
from molespur.interface import Effect, Group, JobClass, Outcome
from molespur.net.counters import Counters
from molespur.net.discovery import Discovery
from molespur.net.reload import Reload

FILE = {
    "name": "n", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "seed": "8c1f", "settings": SETTINGS,
    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
    "known": {"rev": 4, "all": True, "targets": [target("w1")]},
}  # fmt: skip


class Wheel:
    """Records timers, which the test fires."""

    def __init__(self):
        self.timers = []

    def after(self, delay_ms, call, *args):
        timer = SimpleNamespace(delay_ms=delay_ms, call=lambda: call(*args), cancelled=False)
        timer.cancel = lambda: setattr(timer, "cancelled", True)
        self.timers.append(timer)
        return timer

    def fire_timers(self):
        due, self.timers = [t for t in self.timers if not t.cancelled], []
        for timer in due:
            timer.call()


class IdleDiscovery(Discovery):
    """The platform's discovery without a connection."""

    def __init__(self):
        self.address = ("127.0.0.1", 2)


class Rig:
    """A Reload on a real file.  Records the swaps and the moves of the source."""

    def __init__(self, tmp_path):
        self.path, self.wheel, self.counters = tmp_path / "config.json", Wheel(), Counters()
        self.swapped, self.moved = [], []
        self.write(FILE)
        environ = {"LB_CONFIG": str(self.path)}
        running = config.load(environ)
        source = IdleDiscovery()
        source.move = self.moved.append
        self.reload = Reload(
            running, lambda c, s: self.swapped.append((c, s)), source, self.wheel, self.counters, environ
        )

    def write(self, content):
        self.path.write_bytes(content if isinstance(content, bytes) else json.dumps(content).encode())

    def reload_with(self, content):
        self.write(content)
        self.reload()


@pytest.fixture
def rig(tmp_path):
    return Rig(tmp_path)


def changed(**more):
    """The file with settings changed by path: profiles__0__name="x"; None removes the key."""
    file = copy.deepcopy(FILE)
    for path, value in more.items():
        *parents, last = path.split("__")
        section = file["settings"]
        for key in parents:
            section = section[int(key) if key.isdecimal() else key]
        last = int(last) if last.isdecimal() else last
        if value is None:
            del section[last]
        else:
            section[last] = value
    return file


def without(*path):
    file = copy.deepcopy(FILE)
    section = file
    for key in path[:-1]:
        section = section[key]
    del section[path[-1]]
    return file


def key_paths(section, parents=()):
    for key, value in section.items():
        yield (*parents, key)
        if isinstance(value, dict):
            yield from key_paths(value, (*parents, key))


COMPLETE = json.dumps(FILE).encode()
BROKEN = {
    "empty": b"",
    "blank": b"\n",
    "not an object": b"[]",
    "not text": b"\xff\xfe\x00",
    "a deadline of 0": changed(profiles__0__deadline=0),
    "a deadline below 0": changed(profiles__1__deadline=-5.0),
    "a deadline that is text": changed(profiles__0__deadline="5000"),
    "no deadline": changed(profiles__0__deadline=None),
    "no effect": changed(profiles__0__effect=None),
    "an unknown effect": changed(profiles__0__effect="odd"),
    "no attempts": changed(limits__tryLimit=0),
    "attempts below 0": changed(limits__tryLimit=-1),
    "attempts that are text": changed(limits__tryLimit="3"),
    "half an attempt": changed(limits__tryLimit=1.5),
    "no name": changed(profiles__0__name=None),
    "two classes of one name": changed(profiles__0__name="assessment"),
    "no classes": changed(profiles=[]),
    "classes that are not a list": changed(profiles={"lookup": 1}),
    "a new class without keys that the others have": changed(profiles__1={"name": "new", "aim": 1.0}),
}


@pytest.mark.parametrize("content", BROKEN.values(), ids=BROKEN.keys())
def test_a_broken_file_changes_nothing(rig, content):
    before = rig.reload.running
    rig.reload_with(content)
    assert rig.counters["load_errors"] == 1 and rig.counters["loads"] == 0
    assert rig.reload.running is before and not rig.swapped and not rig.moved and not rig.wheel.timers


def test_a_truncated_file_changes_nothing(rig):
    lengths = range(0, len(COMPLETE), 7)
    for length in lengths:
        rig.reload_with(COMPLETE[:length])
    assert rig.counters["load_errors"] == len(lengths) and not rig.swapped


@pytest.mark.parametrize("path", list(key_paths(FILE)), ids=".".join)
def test_a_file_without_a_key_of_the_running_file_changes_nothing_and_logs_the_key(rig, path, caplog):
    rig.reload_with(without(*path))
    assert rig.counters["load_errors"] == 1 and not rig.swapped
    logged = str([r.fields for r in caplog.records]).lower()
    assert {"profiles": "classes"}.get(path[-1], path[-1]).lower() in logged


def test_the_same_file_counts_as_a_load_and_changes_nothing(rig):
    before = rig.reload.in_force
    rig.reload_with(FILE)
    rig.wheel.fire_timers()
    assert rig.counters["loads"] == 1 and not rig.moved
    assert all(settings == before for _, settings in rig.swapped)


def test_a_change_applies_with_the_stricter_rules_first_and_then_alone(rig):
    fresh = {"name": "fresh", "aim": 10.0, "deadline": 700.0, "effect": "retryable"}
    rig.reload_with(changed(profiles__0=fresh, limits__tryLimit=5))
    config_now, meanwhile = rig.swapped[-1]
    assert {c.name for c in meanwhile.classes} == {"lookup", "assessment", "fresh"}
    assert meanwhile.max_attempts == 3
    assert rig.wheel.timers[-1].delay_ms == FOLLOW_MS > 1200
    rig.wheel.fire_timers()
    _, after = rig.swapped[-1]
    assert {c.name for c in after.classes} == {"assessment", "fresh"} and after.max_attempts == 5
    assert after is config_now.settings is rig.reload.in_force


def test_two_changes_in_quick_succession_keep_the_rules_of_all_three_settings(rig):
    rig.reload_with(changed(profiles__0__effect="fragile", limits__tryLimit=2))
    rig.reload_with(changed(profiles__0__name="other", limits__tryLimit=4))
    _, meanwhile = rig.swapped[-1]
    assert {c.name for c in meanwhile.classes} == {"lookup", "assessment", "other"}
    assert meanwhile.max_attempts == 2
    assert next(c for c in meanwhile.classes if c.name == "lookup").effect is Effect.UNSAFE
    rig.wheel.fire_timers()
    _, after = rig.swapped[-1]
    assert {c.name for c in after.classes} == {"other", "assessment"} and after.max_attempts == 4


def test_a_broken_file_during_a_change_does_not_affect_the_change(rig):
    rig.reload_with(changed(limits__tryLimit=2))
    rig.reload_with(b"")
    rig.wheel.fire_timers()
    assert rig.swapped[-1][1].max_attempts == 2
    rig.reload_with(changed(discovery="automatic"))
    assert not rig.moved
    rig.reload_with(FILE | {"discovery": "127.0.0.1:9"})
    assert rig.moved == [("127.0.0.1", 9)]


classes = st.builds(
    JobClass, st.sampled_from("abc"), st.just(10.0), st.floats(1, 9000), effect=st.sampled_from(Effect),
    group=st.sampled_from(Group), key_ttl_ms=st.floats(0, 9000),
)  # fmt: skip
settings = st.builds(
    Settings,
    st.lists(classes, min_size=1, max_size=3, unique_by=lambda c: c.name).map(tuple),
    max_attempts=st.integers(1, 5), may_cancel=st.booleans(), second_copies=st.booleans(),
)  # fmt: skip


@given(settings, settings)
def test_the_settings_during_a_change_allow_no_more_than_either_side(old, new):
    both = between(old, new)
    named = {c.name: c for c in both.classes}
    assert set(named) == {c.name for c in (*old.classes, *new.classes)}
    for side in (old, new):
        assert both.max_attempts <= side.max_attempts
        assert both.may_cancel <= side.may_cancel and both.second_copies <= side.second_copies
        for cls in side.classes:
            now = named[cls.name]
            assert now.repeats_are_harmless <= cls.repeats_are_harmless
            if now.effect is not Effect.UNSAFE:
                assert (now.effect, now.group) == (cls.effect, cls.group) and now.key_ttl_ms <= cls.key_ttl_ms
    assert between(old, old) == old


sections = st.recursive(
    st.integers(), lambda inner: st.dictionaries(st.sampled_from("abcd"), inner), max_leaves=9
)


@given(sections)
def test_a_file_is_complete_with_the_same_and_with_additional_keys(section):
    check_whole({"x": section}, {"x": section, "more": 1})
    with pytest.raises(config.ConfigError, match="x: is missing"):
        check_whole({"x": section}, {"more": 1})


# -- The decision module --------------------------------------------------------------------------


def change_settings(d, now=10.0, **changes):
    given = {f: getattr(d.settings, f) for f in d.settings.__dataclass_fields__} | changes
    return d.handle(now, io.SettingsChanged(Settings(**given)))


def test_open_jobs_keep_their_class_and_attempts():
    d = make_dispatcher(max_attempts=2)
    update_fleet(d, entry("w1"), entry("w2"))
    assert actions_of(submit(d, 1, "safe"), io.Send)
    safe, *others = CLASSES
    unsafe = JobClass("safe", safe.aim_ms, safe.deadline_ms, safe.aim_stretch, effect=Effect.UNSAFE)
    change_settings(d, classes=(unsafe, *others), max_attempts=4)
    assert actions_of(submit(d, 2, "safe", now=11.0), io.Send)
    # Accepted as harmless: tried again, twice in total.
    assert actions_of(end_attempt(d, 1, Outcome.RESET, 20.0), io.Send)
    assert actions_of(end_attempt(d, 1, Outcome.RESET, 30.0, attempt=1), io.Refuse)
    # Accepted after the change: it may have run, so it is neither tried again nor refused.
    assert actions_of(end_attempt(d, 2, Outcome.RESET, 40.0), io.Fail)


def test_open_jobs_of_a_removed_class_end_by_its_rules():
    d = make_dispatcher()
    update_fleet(d, entry("w1"))
    submit(d, 1, "safe")
    change_settings(d, classes=CLASSES[1:])
    assert actions_of(end_attempt(d, 1, Outcome.RESET, 20.0), io.Send)
    assert actions_of(end_attempt(d, 1, Outcome.OK, 30.0, attempt=1), io.Fail) == [] and not d.jobs
    with pytest.raises(ValueError, match="safe"):
        submit(d, 2, "safe", now=40.0)


def test_learned_values_of_classes_and_workers_survive_a_change():
    d = make_dispatcher()
    update_fleet(d, entry("w1"))
    for n in range(1, 20):
        submit(d, n, "safe", now=10.0 * n)
        end_attempt(d, n, Outcome.OK, 10.0 * n + 5)
    state, pace = d.classes["safe"], d.workers["w1"].pace
    change_settings(d, 500.0)
    assert d.classes["safe"] is state  # the same settings change nothing
    safe, *others = CLASSES
    new = JobClass("safe", 100, safe.deadline_ms, effect=Effect.UNSAFE)
    added = JobClass("added", 100, 3000)
    change_settings(d, 500.0, classes=(new, added, *others))
    assert d.classes["safe"].median == state.median and d.classes["safe"].cls is new
    assert d.workers["w1"].pace == pace and d.classes["added"].cls is added
    assert actions_of(submit(d, 50, "added", now=510.0), io.Send)


def test_new_settings_reach_all_parts_in_one_step():
    """A complete scheduler gets new settings while a stream is open."""
    play(
        """
        a send lookup r1
        w1 expect r1
        retune lookup-r2 1
        w1 close r1
        w1 expect r1
        w1 send r1 done one
        a expect 200 one
        a send lookup r2
        a expect 404
        b send lookup-r2 r3
        w1 expect r3
        w1 close r3
        b expect 503
        count passed.lookup 1
        count dropped.lookup-r2 1"""
    )
