"""Records and the view: what shows follows from the keys alone, and faults are named."""

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from molespur.registry.model import Change, Item
from molespur.registry.records import Record, Unfit, encode, parse
from molespur.registry.view import Delta, Edit, View, apply, difference, rebuilt

FIXED = settings(max_examples=300, deadline=None, derandomize=True)
values = st.builds(
    lambda uid, port, state: encode(Record(f"127.0.0.1:{port}", uid, state=state)),
    st.sampled_from(["", "a", "b", "c"]), st.integers(1, 4), st.sampled_from(["active", "leaving"]),
)  # fmt: skip
changes = st.lists(st.tuples(st.sampled_from(["a", "b", "c", "d"]), st.none() | values), max_size=25)


def history(steps):
    """Changes as a registry would number them, and the items that stand at the end."""
    told, stands = [], {}
    for revision, (key, value) in enumerate(steps, 2):
        if value is None:
            stands.pop(key, None)
            told.append(Change(key, revision))
        else:
            created = stands[key].created if key in stands else revision
            stands[key] = Item(key, value, created, revision)
            told.append(Change(key, revision, stands[key]))
    return told, stands


@given(changes, st.data())
@FIXED
def test_any_way_to_the_same_keys_shows_the_same_workers(steps, data):
    told, stands = history(steps)
    view, shown = View("1", 1), {}
    start = 0
    while start < len(told):
        end = data.draw(st.integers(start + 1, len(told)))
        before = view
        view, delta, _ = apply(view, told[end - 1].revision, told[start:end])
        for uid in delta.gone:
            del shown[uid]
        shown |= {record.uid: record for record in delta.put}
        assert difference(before, view).gone == delta.gone or set(difference(before, view).gone) == set(
            delta.gone
        )
        assert {r.uid for r in difference(before, view).put} == {r.uid for r in delta.put}
        start = end
    fresh, _, _ = rebuilt(View(), "1", len(told) + 1, stands.values())
    assert dict(view.workers) == dict(fresh.workers) == shown
    assert dict(view.entries) == dict(fresh.entries)
    assert dict(rebuilt(view, "1", len(told) + 1, stands.values())[0].workers) == shown
    assert len({r.endpoint for r in view.workers.values()}) == len(view.workers)


def test_a_view_that_is_held_stays_as_it_was():
    one, _, _ = rebuilt(View(), "1", 1, [Item("a", b'{"endpoint":"h:1"}', 1, 1)])
    two, delta, _ = apply(one, 2, [Change("a", 2), Change("b", 2, Item("b", b'{"endpoint":"h:2"}', 2, 2))])
    assert set(one.workers) == {"a"} and set(two.workers) == {"b"}
    assert delta == Delta((Record("h:2", "b"),), ("a",)) == difference(one, two)


def test_a_uid_given_twice_shows_the_one_created_first_and_names_the_other():
    items = [
        Item("x/a", b'{"uid":"u","endpoint":"h:1"}', 5, 5),
        Item("x/b", b'{"uid":"u","endpoint":"h:2"}', 3, 9),
    ]
    view, _, troubles = rebuilt(View(), "1", 9, items)
    assert view.workers["u"].endpoint == "h:2"
    assert [(t.key, t.kind) for t in troubles] == [("x/a", "duplicate_uid")]
    view, delta, _ = apply(view, 10, [Change("x/b", 10)])
    assert view.workers["u"].endpoint == "h:1" and not delta.gone


def test_two_workers_on_one_endpoint_show_the_one_created_last():
    items = [Item("old", b'{"endpoint":"h:1"}', 3, 3), Item("new", b'{"endpoint":"h:1"}', 5, 5)]
    view, _, troubles = rebuilt(View(), "1", 9, items)
    assert set(view.workers) == {"new"} and [(t.key, t.kind) for t in troubles] == [("old", "same_endpoint")]
    view, delta, _ = apply(view, 10, [Change("new", 10)])
    assert set(view.workers) == {"old"} and delta.gone == ("new",)


def test_a_faulty_value_leaves_the_last_good_record_of_the_same_life():
    good, bad = b'{"endpoint":"h:1"}', b"{"
    view, _, _ = rebuilt(View(), "1", 1, [Item("a", good, 1, 1)])
    view, delta, troubles = apply(view, 2, [Change("a", 2, Item("a", bad, 1, 2))])
    assert set(view.workers) == {"a"} and not delta and troubles[0].kind == "malformed"
    view, _, _ = rebuilt(view, "1", 3, [Item("a", bad, 1, 2)])
    assert set(view.workers) == {"a"}
    # deleted and put again, faulty: nothing is known of this life
    view, delta, _ = rebuilt(view, "1", 9, [Item("a", bad, 8, 8)])
    assert not view.workers and delta.gone == ("a",)


def test_keys_beyond_the_bound_are_passed_over_and_named():
    edit = Edit(View(), most=3)
    for n in range(5):
        edit.put(Item(f"k{n}", b'{"endpoint":"h:%d"}' % (n + 1), n, n))
    view, _ = edit.done("1", 5)
    assert len(view.workers) == 3 and [t.kind for t in edit.troubles] == ["too_many"] * 2


@given(
    st.binary(max_size=200)
    | st.recursive(st.none() | st.integers() | st.text(), st.lists).map(msgspec.json.encode)
)
@settings(max_examples=300, deadline=None, derandomize=True)
def test_any_value_is_a_record_or_named(value):
    got = parse("p/key", value)
    assert isinstance(got, Record) or got.why


@pytest.mark.parametrize(
    ("value", "why"),
    [
        (b"[" * 100_000, "at most"),
        (b'{"x":' + b"[" * 4000, "deep"),
        (b'{"endpoint":"nowhere"}', "endpoint"),
        (b'{"endpoint":"h:1","boot_ms":-1}', "boot_ms"),
        (b'{"endpoint":"h:1","boot_ms":1e400}', ""),
        (b'{"endpoint":"h:1","uid":"' + b"u" * 200 + b'"}', "uid"),
        (b'{"endpoint":"h:1","state":"left"}', "state"),
    ],
)
def test_faults_are_named(value, why):
    got = parse("p/key", value)
    assert isinstance(got, Unfit) and why in got.why
