"""What docs/design/council.md states of sessions, where words take next to no time."""

import pytest

from molereach.coordination.interface.identifiers import SECOND_US
from molereach.coordination.interface.sessions import SessionTerms
from molereach.coordination.leases.messages import RENEWAL_INTERVAL_US
from tests.coordination.leases.world import Cores, World

TERMS = SessionTerms()
RATES = (1 - TERMS.drift, 1 + TERMS.drift)
OVER_US = int(TERMS.duration_us * (1 + TERMS.drift)) + 2 * RENEWAL_INTERVAL_US


def quiet(seed: int) -> World:
    """Four front doors with clocks at the bound, sessions held, `a` leading; now is 3 s."""
    world = World(seed, Cores(terms=TERMS), RATES)
    world.quick, world.lossy = True, False
    for name in "abcd":
        world.start(name)
    world.elect(world.proxies["a"])
    world.run(3 * SECOND_US)
    assert holding(world) == "abcd"
    return world


def holding(world: World) -> str:
    return "".join(
        name for name, each in sorted(world.proxies.items()) if each.holder.holds(each.clock.at(world.now))
    )


@pytest.mark.parametrize("seed", range(8))
def test_a_stopped_proxy_is_over_in_time_and_finds_so_when_it_wakes(seed: int) -> None:
    world = quiet(seed)
    proxy, fencing_token = world.proxies["d"], world.proxies["d"].holder.fencing_token
    world.stop(proxy, 20 * SECOND_US)
    world.run(3 * SECOND_US + TERMS.holder_duration_us - RENEWAL_INTERVAL_US)
    assert fencing_token not in world.over
    world.run(3 * SECOND_US + OVER_US)
    assert fencing_token in world.over and holding(world) == "abc"
    world.run(23 * SECOND_US)
    assert not proxy.holder.holds(proxy.clock.at(world.now)), "before anything is done"
    world.run(25 * SECOND_US)
    assert holding(world) == "abcd" and proxy.holder.fencing_token > fencing_token


@pytest.mark.parametrize("seed", range(8))
def test_after_a_new_leader_all_are_renewed_and_the_old_ones_session_ends(seed: int) -> None:
    world = quiet(seed)
    fences = {name: each.holder.fencing_token for name, each in world.proxies.items()}
    world.stop(world.proxies["a"], 60 * SECOND_US)
    world.run(5 * SECOND_US)
    world.elect(world.proxies["b"])
    world.run(5 * SECOND_US + OVER_US)
    assert world.over == {fences["a"]} and holding(world) == "bcd"
    world.run(30 * SECOND_US)
    assert {name: world.proxies[name].holder.fencing_token for name in "bcd"} == {
        name: fences[name] for name in "bcd"
    }


@pytest.mark.parametrize("seed", range(8))
def test_without_a_leader_nobody_holds_and_nothing_ends_and_then_all_go_on(seed: int) -> None:
    world = quiet(seed)
    world.leader = None
    world.run(3 * SECOND_US + TERMS.duration_us + RENEWAL_INTERVAL_US)
    assert holding(world) == "" and not world.over
    world.run(20 * SECOND_US)
    world.elect(world.proxies["c"])
    world.run(22 * SECOND_US)
    assert holding(world) == "abcd" and not world.over
