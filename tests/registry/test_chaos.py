"""Minutes of random faults through the whole client: every view is checked, and in the end nothing lacks."""

from random import Random

import pytest
import trio
from rig import play

from molespur.standins.registry import Faults

FAULTS = (
    "refuse", "stall", "status", "slow_ms", "split", "drop_at", "repeat", "fragment", "no_leader", "frozen",
)  # fmt: skip


def a_fault(rng: Random, store) -> Faults:
    """One member's trouble, or none."""
    name = rng.choice((*FAULTS, "", ""))
    values = {
        "refuse": True, "stall": True, "status": rng.choice([500, 502, 503]), "slow_ms": rng.randint(1, 400),
        "split": rng.randint(1, 50), "drop_at": rng.randint(0, 900), "repeat": True, "no_leader": True,
        "fragment": rng.randint(1, 3), "frozen": store.revision,
    }  # fmt: skip
    return Faults(**{name: values[name]}) if name else Faults()


@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize("kind", ["etcd", "consul"])
def test_random_faults(kind, seed):
    async def scenario(rig):
        rng, restored = Random(seed), False
        rig.start()
        for step in range(400):
            what = rng.random()
            if what < 0.5:
                rig.put(rng.randrange(8), capacity_hint=float(step), state=rng.choice(["active", "leaving"]))
            elif what < 0.65:
                rig.delete(rng.randrange(8))
            elif what < 0.8:
                rng.choice(rig.members).faults = a_fault(rng, rig.store)
                rig.store.stir()
            elif what < 0.88:
                await rng.choice(rig.members).drop_all()
            elif what < 0.93:
                rig.store.compact()
            elif kind == "etcd" and what < 0.935 and not restored:
                restored = True
                rig.store.restore(rig.store.backup())
            await trio.sleep(rng.choice([0, 0.01, 0.2, 1.5]))
        for member in rig.members:
            member.faults = Faults()
        rig.store.stir()
        rig.put(99)
        await rig.whole(120)
        assert rig.counters["registry.exceptions"] == 0
        assert len(rig.views) > 50

    play(scenario, kind=kind, members=3, seed=seed)
