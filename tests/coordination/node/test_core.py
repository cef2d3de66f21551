"""Simulated clusters of coordination nodes in virtual time: no faults, single faults and random faults."""

import pytest

from molereach.coordination.node.initial_voters import initial_disk_identity, initial_voters
from molereach.coordination.node.settings import CoordinationSettings
from sim.council import CLUSTER_KEY, CoordinationHistory
from sim.histories import SECOND_US, NetworkConditions
from sim.troubles import inject_faults, recover_and_check

MILLISECOND_US = 1000


def formed_cluster(seed: int = 1, proxies: int = 7, voters: int = 5, seconds: int = 6) -> CoordinationHistory:
    """A cluster that ran long enough to elect a leader and open sessions."""
    simulation = CoordinationHistory(seed, proxies, voters)
    simulation.run_until(seconds * SECOND_US)
    return simulation


def run_until(simulation: CoordinationHistory, goal: str, timeout_s: float) -> float:
    """Run until one proxy leads (`goal` is "led") or the mark `goal` has a proof; the seconds that it took.

    AssertionError after `timeout_s`.
    """
    start_us = simulation.now
    while simulation.now < start_us + timeout_s * SECOND_US:
        simulation.run_until(simulation.now + 20 * MILLISECOND_US)
        simulation.check_proofs()
        if (goal == "led" and len(simulation.leaders()) == 1) or (
            goal in simulation.marks and simulation.marks[goal].proof_us
        ):
            return (simulation.now - start_us) / SECOND_US
    raise AssertionError(f"{goal}: not reached in {timeout_s} s")


def test_a_cluster_forms_and_all_proxies_hold_sessions() -> None:
    simulation = formed_cluster()
    assert len(simulation.leaders()) == 1 and all(simulation.holds_session(proxy) for proxy in range(7))
    mark = simulation.propose_mark(6)
    run_until(simulation, mark, 3)
    result = simulation.marks[mark]
    assert (
        result.finished_us - result.requested_us <= 200 * MILLISECOND_US
    )  # applied at the proposer, as the design note says
    assert len({core.components.log.digest() for core in simulation.cores.values()}) == 1


def test_a_dead_leader_is_replaced_and_its_session_expires_everywhere() -> None:
    simulation = formed_cluster()
    (leader,) = simulation.leaders()
    instance = simulation.instances[leader]
    simulation.kill(simulation.nodes[leader], 60 * SECOND_US)
    assert run_until(simulation, "led", 4) <= 3
    simulation.run_until(simulation.now + 9 * SECOND_US)
    mark = simulation.propose_mark((leader + 1) % 7)
    run_until(simulation, mark, 3)
    core = simulation.cores[simulation.leaders()[0]]
    ended = core.components.sessions.last_ended_session(instance.name)
    assert ended is not None and ended.instance == instance
    assert instance.name not in {live.name for live in core.components.membership.live_instances()}


def test_a_suspended_proxy_finds_its_session_expired_before_it_acts() -> None:
    simulation = formed_cluster()
    suspended = next(proxy for proxy in range(5, 7))
    previous_token = simulation.cores[suspended].components.lease_holder.fencing_token
    simulation.stop(simulation.nodes[suspended])
    simulation.run_until(simulation.now + 12 * SECOND_US)
    assert not simulation.holds_session(suspended)  # by its own clock, before it processes any message
    mark = simulation.propose_mark(0)
    run_until(simulation, mark, 3)  # the others do not wait for it
    simulation.resume(simulation.nodes[suspended])
    simulation.run_until(simulation.now + 4 * SECOND_US)
    assert (
        simulation.holds_session(suspended)
        and simulation.cores[suspended].components.lease_holder.fencing_token > previous_token
    )
    assert simulation.cores[suspended].position >= simulation.marks[mark].position


def test_one_bad_connection_makes_no_member_dead_and_stops_nothing() -> None:
    for one_way in (False, True):
        simulation = formed_cluster(seed=3)
        cut_links = {(0, 5)} if one_way else {(0, 5), (5, 0)}
        simulation.network = NetworkConditions(blocked_links=frozenset(cut_links))
        for _ in range(30):
            simulation.run_until(simulation.now + SECOND_US)
            assert all(
                len(simulation.cores[proxy].components.membership.live_instances()) == 7 for proxy in range(7)
            )
        assert all(simulation.holds_session(proxy) for proxy in range(7))
        run_until(simulation, simulation.propose_mark(5), 4)


def test_proposals_are_forwarded_for_a_proxy_that_does_not_reach_the_leader() -> None:
    simulation = formed_cluster()
    (leader,) = simulation.leaders()
    follower = (leader + 1) % 5
    simulation.network = NetworkConditions(blocked_links=frozenset({(leader, follower), (follower, leader)}))
    run_until(simulation, simulation.propose_mark(follower, 8 * SECOND_US), 6)
    assert simulation.leaders() == [leader]


def test_a_clear_acknowledgement_waits_for_work_in_progress() -> None:
    simulation = formed_cluster()
    lease_holder = simulation.cores[6].components.lease_holder
    lease_holder.clear_position_for = lambda position: 3
    mark = simulation.propose_mark(0)
    run_until(simulation, mark, 3)
    simulation.run_until(simulation.now + 2 * SECOND_US)
    position, leader = simulation.marks[mark].position, simulation.cores[simulation.leaders()[0]]
    assert leader.track_acknowledgements(position, 0).proof() is not None
    tracker = leader.track_acknowledgements(position, 0, clear=True)
    assert tracker.proof() is None
    assert [(each.instance.name, each.reason) for each in tracker.pending()] == [
        ("n006", "something is under way there still")
    ]
    lease_holder.clear_position_for = lambda position: position
    simulation.run_until(simulation.now + 2 * SECOND_US)
    assert tracker.proof() is not None


def test_a_minority_partition_decides_nothing_and_loses_its_sessions() -> None:
    simulation = formed_cluster()
    minority = frozenset({0, 1, 6})
    simulation.network = NetworkConditions(groups=(minority, frozenset(range(7)) - minority))
    undecided = simulation.propose_mark(6, 4 * SECOND_US)
    simulation.run_until(simulation.now + 8 * SECOND_US)
    assert (
        simulation.marks[undecided].status is not None
        and simulation.marks[undecided].status.value == "unknown"
    )
    assert not any(simulation.holds_session(proxy) for proxy in minority) and all(
        simulation.holds_session(proxy) for proxy in (2, 3, 4, 5)
    )
    run_until(simulation, simulation.propose_mark(5), 3)
    recover_and_check(simulation)


@pytest.mark.parametrize("seed", range(6))
def test_random_faults(seed: int) -> None:
    simulation = CoordinationHistory(
        seed, (5, 6, 7, 8)[seed % 4], (3, 5)[seed % 2], drift=0.01, offset_us=3600 * SECOND_US
    )
    inject_faults(simulation, seed, 12)
    recover_and_check(simulation)


@pytest.mark.parametrize(
    ("voters", "proxies", "heartbeat_interval_us", "reason"),
    [
        (("a", "b"), "abc", 500_000, "panel: 2 front doors"),
        (("a", "b", "x"), "abc", 500_000, "panel: 'x' is not among the doors"),
        (("a", "b", "b"), "abc", 500_000, "panel: 'b' stands there twice"),
        (("a", "b", "c"), "", 500_000, "doors: 0 of them"),
        (("a", "b", "c"), "abc", 2_000_000, "session_ms: less than 4 beats"),
    ],
)
def test_invalid_settings_are_rejected(
    voters: tuple[str, ...], proxies: str, heartbeat_interval_us: int, reason: str
) -> None:
    addresses = {name: ("127.0.0.1", 7000 + number) for number, name in enumerate(proxies)}
    with pytest.raises(ValueError, match=reason):
        CoordinationSettings(addresses, voters, heartbeat_interval_us)


def test_two_proxies_with_one_address_are_rejected() -> None:
    with pytest.raises(ValueError, match="two have one address"):
        CoordinationSettings({"a": ("h", 1), "b": ("h", 1)}, ("a", "b", "c"))


def test_the_initial_voters_are_the_same_for_all_with_the_key() -> None:
    assert initial_voters(CLUSTER_KEY, ["b", "a", "c"]) == initial_voters(CLUSTER_KEY, ["c", "b", "a"])
    assert (
        initial_disk_identity(CLUSTER_KEY, "a")
        != initial_disk_identity(CLUSTER_KEY + b"x", "a")
        != initial_disk_identity(CLUSTER_KEY, "b")
    )
