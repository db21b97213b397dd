"""The last view on disk, and static files: whole or refused by name."""

import os

import pytest
from rig import record

from molespur.registry import snapshot, static
from molespur.registry.model import Change, Item
from molespur.registry.snapshot import Refused, Store, decode, encode
from molespur.registry.view import View, apply, rebuilt

PLACE = "etcd:w/"


def a_view(n=5):
    return rebuilt(View(), "7", 40, [Item(f"w/w{i}", record(i), i + 1, i + 9) for i in range(n)])[0]


def test_a_view_comes_back_as_it_was(tmp_path):
    store = Store(str(tmp_path / "s"), PLACE)
    assert store.load() is None
    view = a_view()
    store.save(view, 1.0)
    got = store.load()
    assert (got.cluster, got.revision, dict(got.entries)) == ("7", 40, dict(view.entries))
    assert dict(got.workers) == dict(view.workers)
    assert os.listdir(tmp_path) == ["s"]


def test_an_entry_with_a_faulty_value_is_kept_by_its_last_good_record():
    view, _, _ = apply(a_view(), 41, [Change("w/w1", 41, Item("w/w1", b"{", 2, 41))])
    got, _ = decode(encode(view, PLACE, 0.0), PLACE)
    assert got.workers["w1"] == view.workers["w1"]


def test_torn_altered_foreign_and_newer_files_are_refused_by_name():
    good = encode(a_view(), PLACE, 0.0)
    for cut in range(0, len(good), 7):
        assert isinstance(decode(good[:cut], PLACE), Refused)
    for at in range(0, len(good), 11):
        altered = good[:at] + bytes([good[at] ^ 1]) + good[at + 1 :]
        assert isinstance(decode(altered, PLACE), Refused)
    assert "of 'etcd:w/'" in decode(good, "consul:w/").why
    assert "version" in decode(good.replace(b" 1 ", b" 2 ", 1), PLACE).why
    assert decode(b"\x7fELF\n", PLACE).why == "not a snapshot"
    assert isinstance(decode(good, PLACE), tuple)


def test_a_file_that_cannot_be_read_or_is_too_large_is_refused(tmp_path, monkeypatch):
    assert isinstance(Store(str(tmp_path), PLACE).load(), Refused)
    path = tmp_path / "s"
    Store(str(path), PLACE).save(a_view(), 0.0)
    monkeypatch.setattr(snapshot, "MOST", 10)
    assert "bytes" in Store(str(path), PLACE).load().why


def test_a_crash_while_writing_leaves_the_old_one(tmp_path, monkeypatch):
    store = Store(str(tmp_path / "s"), PLACE)
    store.save(a_view(2), 0.0)
    monkeypatch.setattr(os, "replace", lambda *a: (_ for _ in ()).throw(OSError("no space")))
    with pytest.raises(OSError):
        store.save(a_view(5), 0.0)
    assert len(store.load().workers) == 2


@pytest.mark.parametrize(
    ("name", "text", "why"),
    [
        ("f.json", "{", "truncated"),
        ("f.toml", "workers = 3", "workers"),
        ("f.json", '{"workers":[{"uid":"a","endpoint":"x"}]}', "a: endpoint"),
        ("f.json", '{"workers":[{"uid":"a","endpoint":"h:1"},{"uid":"a","endpoint":"h:2"}]}', "twice"),
        ("f.json", '{"workers":[{"uid":"a","endpoint":"h:1"},{"uid":"b","endpoint":"h:1"}]}', "is also b"),
        ("f.json", '{"servers":[]}', "servers"),
    ],
)
def test_faulty_static_files_are_refused_whole(tmp_path, name, text, why):
    path = tmp_path / name
    path.write_text(text)
    with pytest.raises(ValueError) as caught:
        static.load(str(path), 1)
    assert why.lower() in str(caught.value).lower()


def test_a_static_file_in_toml(tmp_path):
    path = tmp_path / "f.toml"
    path.write_text('[[workers]]\nuid = "a"\nendpoint = "127.0.0.1:1"\nstate = "leaving"\n')
    assert static.load(str(path), 1).workers["a"].state == "leaving"
