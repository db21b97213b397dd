"""What the client does where its registry compacts, lags, breaks, lies or goes away."""

import pytest
import trio
from rig import play

BOTH = pytest.mark.parametrize("kind", ["etcd", "consul"])


@BOTH
def test_adds_drains_and_deletes_are_followed(kind):
    async def scenario(rig):
        for n in range(5):
            rig.put(n)
        rig.start()
        await rig.whole()
        assert len(rig.shown) == 5
        rig.put(1, state="leaving")
        rig.delete(2)
        rig.put(9)
        rig.store.put("elsewhere/w7", b"{}")
        await rig.until(lambda: "w9" in rig.shown)
        assert rig.shown["w1"] == "leaving" and "w2" not in rig.shown and "w7" not in rig.shown
        assert rig.counters["registry.read"] == 1

    play(scenario, kind=kind)


@BOTH
def test_a_resume_from_a_compacted_revision_misses_nothing_and_drops_no_worker_that_stayed(kind):
    async def scenario(rig):
        for n in range(6):
            rig.put(n)
        rig.start()
        await rig.whole()
        stayed = rig.client.view.workers["w5"]
        member = rig.members[0]
        member.faults.refuse = True
        await member.drop_all()
        await trio.sleep(1)
        rig.put(7)
        rig.put(1, state="leaving")
        rig.delete(0)
        rig.delete(2)
        rig.put(2, boot_ms=5.0)
        rig.store.compact()
        member.faults.refuse = False
        await rig.whole()
        assert rig.shown == {
            "w1": "leaving", "w2": "active", "w3": "active", "w4": "active", "w5": "active", "w7": "active",
        }  # fmt: skip
        assert rig.gone() == {"w0"}
        assert rig.client.view.workers["w5"] is stayed
        assert kind == "consul" or rig.counters["registry.compacted"] >= 1

    play(scenario, kind=kind)


def test_a_compaction_amid_the_pages_starts_the_read_anew():
    async def scenario(rig):
        for n in range(9):
            rig.put(n)
        rig.members[0].faults.slow_ms = 50
        rig.start()
        await rig.until(lambda: len(rig.members[0].requests) == 2)
        rig.delete(0)
        rig.delete(8)
        rig.store.compact()
        await rig.whole()
        assert rig.counters["registry.compacted"] == 1 and len(rig.shown) == 7

    play(scenario)


def test_a_connection_dropped_between_pages_goes_on_at_the_same_revision():
    async def scenario(rig):
        for n in range(9):
            rig.put(n)
        rig.members[0].faults.slow_ms = 50
        rig.start()
        await rig.until(lambda: len(rig.members[0].requests) == 3)
        await rig.members[0].drop_all()
        rig.delete(0)
        await rig.whole()
        assert rig.counters["registry.read"] == 1 and rig.counters["registry.broken"] == 1
        assert [len(view.workers) for view in rig.views] == [9, 8]

    play(scenario)


@BOTH
@pytest.mark.parametrize("fault", [{"refuse": True}, {"stall": True}, {"status": 503}, {"drop_at": 40}])
def test_a_registry_gone_for_10_s_leaves_the_view_and_gives_every_change_on_return(kind, fault):
    async def scenario(rig):
        for n in range(4):
            rig.put(n)
        rig.start()
        await rig.whole()
        before = rig.client.view
        for name, value in fault.items():
            setattr(rig.members[0].faults, name, value)
        await rig.members[0].drop_all()
        for n in range(100):
            await trio.sleep(0.1)
            if "drop_at" in fault:
                rig.members[0].faults.drop_at = 40
            if n == 50:
                assert rig.client.view is before
                assert "drop_at" in fault or not rig.client.session.fresh
                rig.put(2, state="leaving")
                rig.delete(3)
                rig.put(8)
        rig.members[0].faults = type(rig.members[0].faults)()
        await rig.whole(12)
        assert rig.shown == {"w0": "active", "w1": "active", "w2": "leaving", "w8": "active"}
        assert rig.gone() == {"w3"}

    play(scenario, kind=kind)


@BOTH
def test_a_lagging_member_does_not_bring_back_a_removed_worker(kind):
    async def scenario(rig):
        for n in range(4):
            rig.put(n)
        rig.start()
        await rig.whole()
        old = rig.store.revision
        rig.delete(2)
        await rig.whole()
        at = rig.client.session.members.now
        for member in rig.members:
            if member.number != at:
                member.faults.frozen = old
        # all but one lag, the watch breaks, and what it stands at is compacted away: a full read is needed
        rig.put(5)
        await rig.whole()
        rig.members[at].faults.refuse = True
        await rig.members[at].drop_all()
        await trio.sleep(10)
        assert "w2" not in rig.shown
        rig.put(6)
        rig.store.compact()
        rig.members[at].faults.refuse = False
        await rig.whole(40)
        assert "w2" not in rig.shown and "w6" in rig.shown
        assert rig.gone() == {"w2"}

    play(scenario, kind=kind, members=3)


def test_a_member_change_amid_a_watch_loses_nothing():
    async def scenario(rig):
        rig.put(1)
        rig.start()
        await rig.whole()
        for n in range(2, 12):
            await rig.members[rig.client.session.members.now].drop_all()
            rig.put(n)
            rig.delete(n - 1)
            await rig.whole()
        assert rig.shown == {"w11": "active"} and rig.counters["registry.read"] == 1
        assert len({m.number for m in rig.members if m.requests}) == 3

    play(scenario, members=3)


def test_a_registry_restored_from_a_backup_is_noticed_and_read_in_full():
    async def scenario(rig):
        for n in range(3):
            rig.put(n)
        rig.start()
        await rig.whole()
        backup = rig.store.backup()
        rig.put(7)
        rig.delete(0)
        await rig.whole()
        before = rig.client.view
        rig.store.restore(backup)
        await rig.until(lambda: rig.counters["registry.other_cluster"] == 1)
        await rig.whole()
        assert rig.client.view.revision < before.revision
        assert set(rig.shown) == {"w0", "w1", "w2"}
        assert rig.client.view.workers["w1"] is before.workers["w1"]

    play(scenario, members=3)


def test_consul_restored_is_taken_only_on_the_leaders_word():
    async def scenario(rig):
        for n in range(3):
            rig.put(n)
        rig.start()
        await rig.whole()
        backup = rig.store.backup()
        rig.put(7)
        await rig.whole()
        rig.store.restore(backup, cluster=rig.store.cluster)
        await rig.until(lambda: rig.counters["registry.restored"] == 1)
        await rig.until(lambda: "w7" not in rig.shown)
        assert rig.counters["registry.lagging"] == 1
        rig.views.clear()  # going back is what was asked for here

    play(scenario, kind="consul")


def test_one_member_of_another_cluster_is_put_aside():
    async def scenario(rig):
        from molespur.standins.registry import Registry

        rig.put(1)
        rig.start()
        await rig.whole()
        stranger = Registry(1)
        stranger.store.cluster = 77
        stranger.store.put("w/w9", b'{"endpoint":"127.0.0.1:1"}')
        rig.members[2] = stranger.members[0]
        for _ in range(6):
            await rig.members[rig.client.session.members.now].drop_all()
            await trio.sleep(3)
            rig.put(1, capacity_hint=float(rig.store.revision))
        await rig.whole()
        assert set(rig.shown) == {"w1"} and rig.counters["registry.foreign_member"] >= 1

    play(scenario, members=3)


def test_a_token_refused_amid_a_watch_is_renewed_without_losing_a_change():
    async def scenario(rig):
        rig.put(1)
        rig.start()
        await rig.whole()
        for n in range(2, 6):
            rig.registry.forget_tokens()
            rig.put(n)
            rig.put(n, state="leaving")
            await rig.whole()
        assert rig.counters["registry.read"] == 1 and rig.counters["registry.token"] >= 4

    play(scenario, user="molespur")


def test_credentials_refused_leave_the_view_and_are_asked_ever_more_slowly():
    async def scenario(rig):
        rig.put(1)
        rig.start()
        await rig.whole()
        rig.registry.access.password = "changed"
        rig.registry.forget_tokens()
        rig.store.stir()
        await trio.sleep(20)
        assert set(rig.shown) == {"w1"} and 5 < rig.counters["registry.denied"] < 60

    play(scenario, user="molespur")


@BOTH
@pytest.mark.parametrize("split", [1, 7, 100])
def test_answers_split_anywhere_are_read_the_same(kind, split):
    async def scenario(rig):
        rig.members[0].faults.split = split
        for n in range(5):
            rig.put(n)
        rig.start()
        await rig.whole()
        rig.put(2, state="leaving")
        await rig.until(lambda: rig.shown["w2"] == "leaving")

    play(scenario, kind=kind)


def test_a_connection_dropped_at_every_byte_of_a_watch_loses_nothing():
    async def scenario(rig):
        rig.put(1)
        rig.start()
        await rig.whole()
        for cut in range(0, 700, 23):
            member = rig.members[0]
            member.faults.drop_at = cut
            rig.put(cut + 2)
            rig.put(1, capacity_hint=float(cut))
            await rig.whole(60)
        assert rig.counters["registry.read"] == 1

    play(scenario)


def test_repeated_and_fragmented_events_are_applied_once_and_whole():
    async def scenario(rig):
        rig.members[0].faults.repeat = True
        rig.members[0].faults.fragment = 2
        rig.start()
        await rig.until(lambda: rig.client.session.fresh)
        rig.store.commit([(f"w/w{n}", b'{"endpoint":"127.0.0.1:%d"}' % (3000 + n), 0) for n in range(7)])
        await rig.whole()
        assert [len(view.workers) for view in rig.views if view.workers] == [7]
        assert rig.counters["registry.repeated"] >= 1

    play(scenario)


@BOTH
def test_faulty_records_harm_nothing_else(kind):
    deep = b'{"endpoint":"127.0.0.1:1","x":' + b"[" * 3000
    cases = [b"", b"{", b"[]", deep, b'{"endpoint":"nowhere"}', b'{"endpoint":"127.0.0.1:1","state":"odd"}',
             b'{"endpoint":"127.0.0.1:1","az":"' + b"z" * 5000 + b'"}', b"\xff\xfe"]  # fmt: skip

    async def scenario(rig):
        rig.put(1)
        rig.start()
        await rig.whole()
        for n, value in enumerate(cases):
            rig.store.put("w/w1", value)
            rig.store.put(f"w/new{n}", value)
            rig.put(100 + n)
            await rig.whole()
            assert rig.shown["w1"] == "active" and f"w{100 + n}" in rig.shown and f"new{n}" not in rig.shown
        assert rig.counters["registry.malformed"] >= 2 * len(cases)

    play(scenario, kind=kind)


@BOTH
def test_a_member_that_hears_of_nothing_any_more_is_left_for_another(kind):
    async def scenario(rig):
        rig.put(1)
        rig.start()
        await rig.whole()
        rig.members[0].faults.frozen = rig.store.revision
        rig.members[1].faults.frozen = 0
        rig.put(2)
        await rig.whole(60)

    play(scenario, kind=kind, members=2)
