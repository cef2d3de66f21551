"""Whole council parts of front doors in virtual time: with all well, and after each single fault."""

import pytest

from molereach.coordination.node.initial_voters import initial_disk_identity, initial_voters
from molereach.coordination.node.settings import CoordinationSettings
from sim.council import CLUSTER_KEY, CoordinationHistory
from sim.histories import SECOND_US, NetworkConditions
from sim.troubles import inject_faults, recover_and_check

MS = 1000


def well(seed: int = 1, doors: int = 7, seats: int = 5, seconds: int = 6) -> CoordinationHistory:
    """A council that has formed."""
    play = CoordinationHistory(seed, doors, seats)
    play.run_until(seconds * SECOND_US)
    return play


def until(play: CoordinationHistory, what: str, seconds: float) -> float:
    """Seconds until something holds; a failure if it does not in time."""
    begin = play.now
    while play.now < begin + seconds * SECOND_US:
        play.run_until(play.now + 20 * MS)
        play.check_proofs()
        if (what == "led" and len(play.leaders()) == 1) or (what in play.marks and play.marks[what].proof_us):
            return (play.now - begin) / SECOND_US
    raise AssertionError(f"not {what} in {seconds} s")


def test_a_cluster_forms_and_all_proxies_hold_sessions() -> None:
    play = well()
    assert len(play.leaders()) == 1 and all(play.holds_session(door) for door in range(7))
    mark = play.propose_mark(6)
    until(play, mark, 3)
    told = play.marks[mark]
    assert told.finished_us - told.requested_us <= 200 * MS  # settled at who asked, as the design note says
    assert len({core.components.log.digest() for core in play.cores.values()}) == 1


def test_a_dead_leader_is_replaced_and_its_session_expires_everywhere() -> None:
    play = well()
    (leader,) = play.leaders()
    life = play.instances[leader]
    play.kill(play.nodes[leader], 60 * SECOND_US)
    assert until(play, "led", 4) <= 3
    play.run_until(play.now + 9 * SECOND_US)
    mark = play.propose_mark((leader + 1) % 7)
    until(play, mark, 3)
    core = play.cores[play.leaders()[0]]
    past = core.components.sessions.last_ended_session(life.name)
    assert past is not None and past.instance == life
    assert life.name not in {alive.name for alive in core.components.membership.live_instances()}


def test_a_suspended_proxy_finds_its_session_expired_before_it_acts() -> None:
    play = well()
    stopped = next(door for door in range(5, 7))
    before = play.cores[stopped].components.lease_holder.fencing_token
    play.stop(play.nodes[stopped])
    play.run_until(play.now + 12 * SECOND_US)
    assert not play.holds_session(stopped)  # by its own clock, whatever it has read
    mark = play.propose_mark(0)
    until(play, mark, 3)  # nobody waits for it
    play.resume(play.nodes[stopped])
    play.run_until(play.now + 4 * SECOND_US)
    assert play.holds_session(stopped) and play.cores[stopped].components.lease_holder.fencing_token > before
    assert play.cores[stopped].position >= play.marks[mark].position


def test_one_bad_connection_makes_no_member_dead_and_stops_nothing() -> None:
    for one_way in (False, True):
        play = well(seed=3)
        cut = {(0, 5)} if one_way else {(0, 5), (5, 0)}
        play.network = NetworkConditions(blocked_links=frozenset(cut))
        for _ in range(30):
            play.run_until(play.now + SECOND_US)
            assert all(len(play.cores[door].components.membership.live_instances()) == 7 for door in range(7))
        assert all(play.holds_session(door) for door in range(7))
        until(play, play.propose_mark(5), 4)


def test_proposals_are_forwarded_for_a_proxy_that_does_not_reach_the_leader() -> None:
    play = well()
    (leader,) = play.leaders()
    other = (leader + 1) % 5
    play.network = NetworkConditions(blocked_links=frozenset({(leader, other), (other, leader)}))
    until(play, play.propose_mark(other, 8 * SECOND_US), 6)
    assert play.leaders() == [leader]


def test_a_clear_acknowledgement_waits_for_work_in_progress() -> None:
    play = well()
    busy = play.cores[6].components.lease_holder
    busy.clear_position_for = lambda position: 3
    mark = play.propose_mark(0)
    until(play, mark, 3)
    play.run_until(play.now + 2 * SECOND_US)
    position, leader = play.marks[mark].position, play.cores[play.leaders()[0]]
    assert leader.track_acknowledgements(position, 0).proof() is not None
    account = leader.track_acknowledgements(position, 0, clear=True)
    assert account.proof() is None
    assert [(each.instance.name, each.reason) for each in account.pending()] == [
        ("n006", "something is under way there still")
    ]
    busy.clear_position_for = lambda position: position
    play.run_until(play.now + 2 * SECOND_US)
    assert account.proof() is not None


def test_a_minority_partition_decides_nothing_and_loses_its_sessions() -> None:
    play = well()
    small = frozenset({0, 1, 6})
    play.network = NetworkConditions(groups=(small, frozenset(range(7)) - small))
    lost = play.propose_mark(6, 4 * SECOND_US)
    play.run_until(play.now + 8 * SECOND_US)
    assert play.marks[lost].status is not None and play.marks[lost].status.value == "unknown"
    assert not any(play.holds_session(door) for door in small) and all(
        play.holds_session(door) for door in (2, 3, 4, 5)
    )
    until(play, play.propose_mark(5), 3)
    recover_and_check(play)


@pytest.mark.parametrize("seed", range(6))
def test_random_faults(seed: int) -> None:
    play = CoordinationHistory(
        seed, (5, 6, 7, 8)[seed % 4], (3, 5)[seed % 2], drift=0.01, offset_us=3600 * SECOND_US
    )
    inject_faults(play, seed, 12)
    recover_and_check(play)


@pytest.mark.parametrize(
    ("panel", "doors", "beat_us", "reason"),
    [
        (("a", "b"), "abc", 500_000, "panel: 2 front doors"),
        (("a", "b", "x"), "abc", 500_000, "panel: 'x' is not among the doors"),
        (("a", "b", "b"), "abc", 500_000, "panel: 'b' stands there twice"),
        (("a", "b", "c"), "", 500_000, "doors: 0 of them"),
        (("a", "b", "c"), "abc", 2_000_000, "session_ms: less than 4 beats"),
    ],
)
def test_invalid_settings_are_rejected(panel: tuple[str, ...], doors: str, beat_us: int, reason: str) -> None:
    addresses = {name: ("127.0.0.1", 7000 + number) for number, name in enumerate(doors)}
    with pytest.raises(ValueError, match=reason):
        CoordinationSettings(addresses, panel, beat_us)


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
