"""The time bounds of docs/design/council.md for sessions, with message delays under 1 ms."""

import pytest

from molereach.coordination.interface.identifiers import SECOND_US
from molereach.coordination.interface.sessions import SessionTerms
from molereach.coordination.leases.messages import RENEWAL_INTERVAL_US
from tests.coordination.leases.world import Components, World

TERMS = SessionTerms()
CLOCK_RATES = (1 - TERMS.drift, 1 + TERMS.drift)
MAX_EXPIRY_US = int(TERMS.duration_us * (1 + TERMS.drift)) + 2 * RENEWAL_INTERVAL_US


def healthy_world(seed: int) -> World:
    """Four front doors with valid sessions at time 3 s; `a` leads, and clock rates are extreme."""
    world = World(seed, Components(terms=TERMS), CLOCK_RATES)
    world.fast, world.lossy = True, False
    for name in "abcd":
        world.start(name)
    world.elect(world.proxies["a"])
    world.run(3 * SECOND_US)
    assert nodes_with_valid_session(world) == "abcd"
    return world


def nodes_with_valid_session(world: World) -> str:
    return "".join(
        name
        for name, proxy in sorted(world.proxies.items())
        if proxy.holder.holds(proxy.clock.read(world.now_us))
    )


@pytest.mark.parametrize("seed", range(8))
def test_session_of_a_paused_node_ends_in_time_and_has_lapsed_when_the_node_resumes(seed: int) -> None:
    world = healthy_world(seed)
    proxy, fencing_token = world.proxies["d"], world.proxies["d"].holder.fencing_token
    world.pause(proxy, 20 * SECOND_US)
    world.run(3 * SECOND_US + TERMS.holder_duration_us - RENEWAL_INTERVAL_US)
    assert fencing_token not in world.ended_tokens
    world.run(3 * SECOND_US + MAX_EXPIRY_US)
    assert fencing_token in world.ended_tokens and nodes_with_valid_session(world) == "abc"
    world.run(23 * SECOND_US)
    assert not proxy.holder.holds(proxy.clock.read(world.now_us)), (
        "must have lapsed before the node does anything"
    )
    world.run(25 * SECOND_US)
    assert nodes_with_valid_session(world) == "abcd" and proxy.holder.fencing_token > fencing_token


@pytest.mark.parametrize("seed", range(8))
def test_new_leader_renews_all_sessions_but_that_of_the_paused_old_leader(seed: int) -> None:
    world = healthy_world(seed)
    initial_tokens = {name: proxy.holder.fencing_token for name, proxy in world.proxies.items()}
    world.pause(world.proxies["a"], 60 * SECOND_US)
    world.run(5 * SECOND_US)
    world.elect(world.proxies["b"])
    world.run(5 * SECOND_US + MAX_EXPIRY_US)
    assert world.ended_tokens == {initial_tokens["a"]} and nodes_with_valid_session(world) == "bcd"
    world.run(30 * SECOND_US)
    assert {name: world.proxies[name].holder.fencing_token for name in "bcd"} == {
        name: initial_tokens[name] for name in "bcd"
    }


@pytest.mark.parametrize("seed", range(8))
def test_sessions_lapse_without_a_leader_and_are_renewed_by_the_next_one(seed: int) -> None:
    world = healthy_world(seed)
    world.leader = None
    world.run(3 * SECOND_US + TERMS.duration_us + RENEWAL_INTERVAL_US)
    assert nodes_with_valid_session(world) == "" and not world.ended_tokens
    world.run(20 * SECOND_US)
    world.elect(world.proxies["c"])
    world.run(22 * SECOND_US)
    assert nodes_with_valid_session(world) == "abcd" and not world.ended_tokens
