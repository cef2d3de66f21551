"""The time bounds of docs/design/council.md for sessions, with message delays under 1 ms."""

import pytest

from molereach.coordination.interface.identifiers import SECOND_US
from molereach.coordination.interface.sessions import SessionTerms
from molereach.coordination.leases.messages import RENEWAL_INTERVAL_US
from tests.coordination.leases.simulation import Components, Simulation

TERMS = SessionTerms()
CLOCK_RATES = (1 - TERMS.drift, 1 + TERMS.drift)
MAX_EXPIRY_US = int(TERMS.duration_us * (1 + TERMS.drift)) + 2 * RENEWAL_INTERVAL_US


def healthy_simulation(seed: int) -> Simulation:
    """Four front doors with valid sessions at time 3 s; `a` leads, and clock rates are extreme."""
    simulation = Simulation(seed, Components(terms=TERMS), CLOCK_RATES)
    simulation.fast, simulation.lossy = True, False
    for name in "abcd":
        simulation.start(name)
    simulation.elect(simulation.proxies["a"])
    simulation.run(3 * SECOND_US)
    assert nodes_with_valid_session(simulation) == "abcd"
    return simulation


def nodes_with_valid_session(simulation: Simulation) -> str:
    return "".join(
        name
        for name, proxy in sorted(simulation.proxies.items())
        if proxy.holder.holds(proxy.clock.read(simulation.now_us))
    )


@pytest.mark.parametrize("seed", range(8))
def test_session_of_a_paused_node_ends_in_time_and_has_lapsed_when_the_node_resumes(seed: int) -> None:
    simulation = healthy_simulation(seed)
    proxy, fencing_token = simulation.proxies["d"], simulation.proxies["d"].holder.fencing_token
    simulation.pause(proxy, 20 * SECOND_US)
    simulation.run(3 * SECOND_US + TERMS.holder_duration_us - RENEWAL_INTERVAL_US)
    assert fencing_token not in simulation.ended_tokens
    simulation.run(3 * SECOND_US + MAX_EXPIRY_US)
    assert fencing_token in simulation.ended_tokens and nodes_with_valid_session(simulation) == "abc"
    simulation.run(23 * SECOND_US)
    assert not proxy.holder.holds(proxy.clock.read(simulation.now_us)), (
        "must have lapsed before the node does anything"
    )
    simulation.run(25 * SECOND_US)
    assert nodes_with_valid_session(simulation) == "abcd" and proxy.holder.fencing_token > fencing_token


@pytest.mark.parametrize("seed", range(8))
def test_new_leader_renews_all_sessions_but_that_of_the_paused_old_leader(seed: int) -> None:
    simulation = healthy_simulation(seed)
    initial_tokens = {name: proxy.holder.fencing_token for name, proxy in simulation.proxies.items()}
    simulation.pause(simulation.proxies["a"], 60 * SECOND_US)
    simulation.run(5 * SECOND_US)
    simulation.elect(simulation.proxies["b"])
    simulation.run(5 * SECOND_US + MAX_EXPIRY_US)
    assert simulation.ended_tokens == {initial_tokens["a"]} and nodes_with_valid_session(simulation) == "bcd"
    simulation.run(30 * SECOND_US)
    assert {name: simulation.proxies[name].holder.fencing_token for name in "bcd"} == {
        name: initial_tokens[name] for name in "bcd"
    }


@pytest.mark.parametrize("seed", range(8))
def test_sessions_lapse_without_a_leader_and_are_renewed_by_the_next_one(seed: int) -> None:
    simulation = healthy_simulation(seed)
    simulation.leader = None
    simulation.run(3 * SECOND_US + TERMS.duration_us + RENEWAL_INTERVAL_US)
    assert nodes_with_valid_session(simulation) == "" and not simulation.ended_tokens
    simulation.run(20 * SECOND_US)
    simulation.elect(simulation.proxies["c"])
    simulation.run(22 * SECOND_US)
    assert nodes_with_valid_session(simulation) == "abcd" and not simulation.ended_tokens
