"""The list as the registry last told it, on a persistent map.  Pure.

A view is never changed: applying changes gives a new one, and whoever holds the old one keeps it.  It
stands at a revision of one cluster of members.  What it shows (`workers`) follows from the stored keys
alone, not from the order in which they came, so that all schedulers show the same: of two keys with one uid
the one created first stands, and of two workers on one endpoint the one created last (the older's process
must be gone).
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

import msgspec
from immutables import Map

from .model import Change, Item
from .records import Record, Unfit, parse

EMPTY = Map()


class Entry(msgspec.Struct, frozen=True, gc=False):
    """A key: what is stored, the last good record, and what is wrong with the present value."""

    item: Item
    record: Record | None
    fault: str = ""


@dataclass(frozen=True, slots=True)
class Delta:
    """What differs between two views: workers that are new or changed, and uids that are gone."""

    put: tuple[Record, ...] = ()
    gone: tuple[str, ...] = ()

    def __bool__(self) -> bool:
        return bool(self.put or self.gone)


@dataclass(frozen=True, slots=True)
class Trouble:
    """A key that can't be shown as it stands, or (without a text) is well again."""

    key: str
    kind: str  # malformed, duplicate_uid, same_endpoint, too_many
    text: str = ""


@dataclass(frozen=True, slots=True)
class View:
    """All keys and the workers that follow from them, at a revision of a cluster."""

    cluster: str = ""
    revision: int = 0
    entries: Map = EMPTY  # key -> Entry
    by_uid: Map = EMPTY  # uid -> tuple of keys
    by_endpoint: Map = EMPTY  # endpoint -> tuple of keys
    workers: Map = EMPTY  # uid -> Record, those shown


class Edit:
    """Makes a new view out of an old one: `put` and `drop` keys, then `done`.  Costs what it changes."""

    def __init__(self, base: View, most: int = 20_000, record_most: int = 4096):
        self.base, self.most, self.record_most = base, most, record_most
        self._entries, self._uids = base.entries.mutate(), base.by_uid.mutate()
        self._places = base.by_endpoint.mutate()
        self._touched: dict[str, None] = {}  # uids to be looked at again
        self._workers, self._settled = base.workers.mutate(), False
        self._put: list[Record] = []
        self._gone: list[str] = []
        self.troubles: list[Trouble] = []

    def put(self, item: Item) -> None:
        """Store a key's value.  One that is no record leaves the last good one standing."""
        old = self._entries.get(item.key)
        if old is not None and old.item.value == item.value and old.item.created == item.created:
            if old.item != item:
                self._entries[item.key] = msgspec.structs.replace(old, item=item)
            return
        if old is None and len(self._entries) >= self.most:
            self.troubles.append(Trouble(item.key, "too_many", f"more than {self.most} keys"))
            return
        parsed = parse(item.key, item.value, self.record_most)
        if isinstance(parsed, Unfit):
            self.troubles.append(Trouble(item.key, "malformed", parsed.why))
            kept = old.record if old is not None and old.item.created == item.created else None
            if old is not None and kept is None:
                self._unlink(item.key, old)  # an earlier life of the key says nothing of this one
            self._entries[item.key] = Entry(item, kept, parsed.why)
            return
        if old is not None:
            self._unlink(item.key, old)
        self._entries[item.key] = Entry(item, parsed)
        self._uids[parsed.uid] = (*self._uids.get(parsed.uid, ()), item.key)
        self._places[parsed.endpoint] = (*self._places.get(parsed.endpoint, ()), item.key)
        self._touch(parsed)

    def drop(self, key: str) -> None:
        """A key is gone."""
        old = self._entries.pop(key, None)
        if old is not None:
            self._unlink(key, old)

    def keep_only(self, keys: Iterable[str]) -> None:
        """All other keys of the base view are gone."""
        keys = set(keys)
        for key in [key for key in self.base.entries if key not in keys]:
            self.drop(key)

    def _touch(self, record: Record) -> None:
        self._touched[record.uid] = None
        for key in self._places.get(record.endpoint, ()):
            other = self._entries.get(key)
            if other is not None and other.record is not None:
                self._touched[other.record.uid] = None

    def _unlink(self, key: str, old: Entry) -> None:
        if old.record is None:
            return
        self._touch(old.record)
        for index, name in ((self._uids, old.record.uid), (self._places, old.record.endpoint)):
            left = tuple(k for k in index.get(name, ()) if k != key)
            if left:
                index[name] = left
            else:
                index.pop(name, None)

    def _shown(self, uid: str) -> Record | None:
        """The record that a uid shows, by the stored keys alone."""
        keys = self._uids.get(uid, ())
        if not keys:
            return None

        def age(key):
            return self._entries[key].item.created, key

        first, *others = sorted(keys, key=age)
        for key in others:
            self.troubles.append(Trouble(key, "duplicate_uid", f"{uid} is also {first}"))
        record = self._entries[first].record
        rivals = self._places.get(record.endpoint, ())
        last = max((k for k in rivals if self._stands(k)), key=age, default=first)
        if last != first:
            self.troubles.append(Trouble(first, "same_endpoint", f"{record.endpoint} is also {last}"))
            return None
        return record

    def _stands(self, key: str) -> bool:
        """Whether a key is the one that its uid shows."""
        keys = self._uids[self._entries[key].record.uid]
        return min(keys, key=lambda k: (self._entries[k].item.created, k)) == key

    def settle(self, at_once: int = 256) -> Iterator[None]:
        """Work out which workers show, now that all keys are in; comes back after every `at_once`."""
        # a uid that gives way or stands again changes who else may show on its endpoint
        for n, uid in enumerate(list(self._touched), 1):
            for key in self._uids.get(uid, ()):
                self._touch(self._entries[key].record)
            if n % at_once == 0:
                yield
        for n, uid in enumerate(self._touched, 1):
            old, new = self.base.workers.get(uid), self._shown(uid)
            if new is None and old is not None:
                del self._workers[uid]
                self._gone.append(uid)
            elif new is not None and new != old:
                self._workers[uid] = new
                self._put.append(new)
            if n % at_once == 0:
                yield
        self._settled = True

    def done(self, cluster: str, revision: int) -> tuple[View, Delta]:
        """The new view, and how it differs from the old one."""
        if not self._settled:
            for _ in self.settle():
                pass
        view = View(
            cluster, revision, self._entries.finish(), self._uids.finish(), self._places.finish(),
            self._workers.finish(),
        )  # fmt: skip
        return view, Delta(tuple(self._put), tuple(self._gone))


def apply(
    view: View, revision: int, changes: Iterable[Change], **bounds
) -> tuple[View, Delta, list[Trouble]]:
    """Changes in their order on top of a view."""
    edit = Edit(view, **bounds)
    for change in changes:
        if change.item is None:
            edit.drop(change.key)
        else:
            edit.put(change.item)
    return (*edit.done(view.cluster, revision), edit.troubles)


def rebuilt(
    view: View, cluster: str, revision: int, items: Iterable[Item], **bounds
) -> tuple[View, Delta, list[Trouble]]:
    """The view that a full read gives; workers that stayed are the same records as before."""
    edit, items = Edit(view, **bounds), tuple(items)
    edit.keep_only({item.key for item in items})
    for item in items:
        edit.put(item)
    return (*edit.done(cluster, revision), edit.troubles)


def difference(old: View, new: View) -> Delta:
    """What differs between any two views; costs their size."""
    if old.workers is new.workers:
        return Delta()
    put = tuple(record for uid, record in new.workers.items() if old.workers.get(uid) != record)
    return Delta(put, tuple(uid for uid in old.workers if uid not in new.workers))
