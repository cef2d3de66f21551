"""Whole council parts of front doors in virtual time: with all well, and after each single fault."""

import pytest

from molereach.coordination.node.initial_voters import initial_disk_identity, initial_voters
from molereach.coordination.node.settings import CoordinationSettings
from sim.council import KEY, CouncilHistory
from sim.histories import Mail, S
from sim.troubles import calm, trouble

MS = 1000


def well(seed: int = 1, doors: int = 7, seats: int = 5, seconds: int = 6) -> CouncilHistory:
    """A council that has formed."""
    play = CouncilHistory(seed, doors, seats)
    play.run(seconds * S)
    return play


def until(play: CouncilHistory, what: str, seconds: float) -> float:
    """Seconds until something holds; a failure if it does not in time."""
    begin = play.now
    while play.now < begin + seconds * S:
        play.run(play.now + 20 * MS)
        play.proofs()
        if (what == "led" and len(play.leaders()) == 1) or (what in play.marks and play.marks[what].proof_us):
            return (play.now - begin) / S
    raise AssertionError(f"not {what} in {seconds} s")


def test_a_cluster_forms_and_all_proxies_hold_sessions() -> None:
    play = well()
    assert len(play.leaders()) == 1 and all(play.holding(door) for door in range(7))
    mark = play.mark(6)
    until(play, mark, 3)
    told = play.marks[mark]
    assert told.over_us - told.asked_us <= 200 * MS  # settled at who asked, as the design note says
    assert len({core.components.log.digest() for core in play.cored.values()}) == 1


def test_a_dead_leader_is_replaced_and_its_session_expires_everywhere() -> None:
    play = well()
    (leader,) = play.leaders()
    life = play.lives[leader]
    play.kill(play.nodes[leader], 60 * S)
    assert until(play, "led", 4) <= 3
    play.run(play.now + 9 * S)
    mark = play.mark((leader + 1) % 7)
    until(play, mark, 3)
    core = play.cored[play.leaders()[0]]
    past = core.components.sessions.last_ended_session(life.name)
    assert past is not None and past.instance == life
    assert life.name not in {alive.name for alive in core.components.membership.live_instances()}


def test_a_suspended_proxy_finds_its_session_expired_before_it_acts() -> None:
    play = well()
    stopped = next(door for door in range(5, 7))
    before = play.cored[stopped].components.lease_holder.fencing_token
    play.stop(play.nodes[stopped])
    play.run(play.now + 12 * S)
    assert not play.holding(stopped)  # by its own clock, whatever it has read
    mark = play.mark(0)
    until(play, mark, 3)  # nobody waits for it
    play.resume(play.nodes[stopped])
    play.run(play.now + 4 * S)
    assert play.holding(stopped) and play.cored[stopped].components.lease_holder.fencing_token > before
    assert play.cored[stopped].position >= play.marks[mark].position


def test_one_bad_connection_makes_no_member_dead_and_stops_nothing() -> None:
    for one_way in (False, True):
        play = well(seed=3)
        cut = {(0, 5)} if one_way else {(0, 5), (5, 0)}
        play.mail = Mail(cut=frozenset(cut))
        for _ in range(30):
            play.run(play.now + S)
            assert all(len(play.cored[door].components.membership.live_instances()) == 7 for door in range(7))
        assert all(play.holding(door) for door in range(7))
        until(play, play.mark(5), 4)


def test_proposals_are_forwarded_for_a_proxy_that_does_not_reach_the_leader() -> None:
    play = well()
    (leader,) = play.leaders()
    other = (leader + 1) % 5
    play.mail = Mail(cut=frozenset({(leader, other), (other, leader)}))
    until(play, play.mark(other, 8 * S), 6)
    assert play.leaders() == [leader]


def test_a_clear_acknowledgement_waits_for_work_in_progress() -> None:
    play = well()
    busy = play.cored[6].components.lease_holder
    busy.clear_position_for = lambda position: 3
    mark = play.mark(0)
    until(play, mark, 3)
    play.run(play.now + 2 * S)
    position, leader = play.marks[mark].position, play.cored[play.leaders()[0]]
    assert leader.track_acknowledgements(position, 0).proof() is not None
    account = leader.track_acknowledgements(position, 0, clear=True)
    assert account.proof() is None
    assert [(each.instance.name, each.reason) for each in account.pending()] == [
        ("n006", "something is under way there still")
    ]
    busy.clear_position_for = lambda position: position
    play.run(play.now + 2 * S)
    assert account.proof() is not None


def test_a_minority_partition_decides_nothing_and_loses_its_sessions() -> None:
    play = well()
    small = frozenset({0, 1, 6})
    play.mail = Mail(groups=(small, frozenset(range(7)) - small))
    lost = play.mark(6, 4 * S)
    play.run(play.now + 8 * S)
    assert play.marks[lost].over is not None and play.marks[lost].over.value == "unknown"
    assert not any(play.holding(door) for door in small) and all(play.holding(door) for door in (2, 3, 4, 5))
    until(play, play.mark(5), 3)
    calm(play)


@pytest.mark.parametrize("seed", range(6))
def test_random_faults(seed: int) -> None:
    play = CouncilHistory(seed, (5, 6, 7, 8)[seed % 4], (3, 5)[seed % 2], drift=0.01, offset_us=3600 * S)
    trouble(play, seed, 12)
    calm(play)


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
    assert initial_voters(KEY, ["b", "a", "c"]) == initial_voters(KEY, ["c", "b", "a"])
    assert (
        initial_disk_identity(KEY, "a")
        != initial_disk_identity(KEY + b"x", "a")
        != initial_disk_identity(KEY, "b")
    )
