"""The choice of a parent at one front door: whom it asks in turn, what it follows, what proves nothing."""

from itertools import pairwise
from typing import Any

from molereach.coordination.dissemination.core import DisseminationTree
from molereach.coordination.dissemination.messages import (
    ClusterState,
    DownstreamUpdate,
    GrantsIssued,
    LogAdvanced,
    ParentChanged,
    ParentRequest,
    Redirect,
    RenewalGrant,
    RenewalRequest,
    UpstreamReport,
)
from molereach.coordination.dissemination.parent_tracker import MAX_REDIRECTS
from molereach.coordination.dissemination.ranked_tree import RankedTree
from molereach.coordination.dissemination.settings import DisseminationSettings
from molereach.coordination.interface.core import SendMessage, Tick
from molereach.coordination.interface.identifiers import NodeInstance
from tests.coordination.dissemination.simulated_tree import BEAT, entry
from tests.coordination.dissemination.test_bounds import LIVES, VIEW, door, inner, said, tell

ALIVE = tuple(LIVES.values())


def asked(core: DisseminationTree, until: int) -> list[tuple[int, str]]:
    """Whom it turns to, and when, while nobody answers."""
    turns = []
    while core.wake_us <= until:
        now = core.wake_us
        turns += [
            (now, action.name) for action in core.handle(now, Tick()) if isinstance(action, ParentChanged)
        ]
    return turns


def test_order_of_candidates_and_the_time_between() -> None:
    draws = iter([0.0] * 10_000)
    core = DisseminationTree(LIVES["d17"], DisseminationSettings(), lambda: next(draws))
    first = core.handle(0, ClusterState(ALIVE, "d00", 3, ("d05",)))
    assert set(said(first, UpstreamReport)) == {"d02"}
    turns = asked(core, 100 * BEAT)
    # The grandparent is the leader here; then one of the panel, one by chance, and from the start again.
    assert [name for _, name in turns[:6]] == ["d00", "d05", "d00", "d02", "d00", "d05"]
    gaps = [after - before for (before, _), (after, _) in pairwise(turns)]
    assert gaps[0] < 2 * BEAT and max(gaps[-6:]) == 3 * BEAT == gaps[-1]
    # A new leader: asked at once, and with the patience of one that begins.
    now = core.wake_us - 1
    actions = core.handle(now, ClusterState(ALIVE, "d07", 4))
    assert set(said(actions, UpstreamReport)) == {"d01"}
    assert asked(core, now + 2 * BEAT)


def test_grandparent_is_tried_before_the_leader() -> None:
    lives = tuple(NodeInstance(f"e{at:03}", 1) for at in range(100))
    core = DisseminationTree(lives[99], DisseminationSettings(fanout=2), lambda: 0.5)
    assert set(said(core.handle(0, ClusterState(lives, "e000", 1)), UpstreamReport)) == {"e049"}
    assert [name for _, name in asked(core, 4 * BEAT)] == ["e024", "e000"]


def test_repeated_heartbeat_does_not_confirm_a_parent() -> None:
    core = inner()
    for now in range(BEAT, 3 * BEAT, BEAT // 8):
        tell(core, now, "d00", DownstreamUpdate(3, 1, "d00", 0, 0))
    assert core.tracker.name != "d00"


def test_parent_too_far_from_the_leader_is_left() -> None:
    for steps, kept in ((2, True), (5, True), (6, False)):  # a full tree of 256 has three
        core = inner()
        for beat in range(1, 4):
            tell(core, beat * BEAT, "d00", DownstreamUpdate(3, 1 + beat, "d00", steps, 0))
        assert (core.tracker.name == "d00") is kept


def test_new_ballot_must_come_from_the_parent_itself() -> None:
    core = inner()
    tell(core, 2, "d09", UpstreamReport(0, 1))
    assert said(tell(core, 3, "d10", ParentRequest()), Redirect)["d10"].parent == "d01"
    core.handle(4, ClusterState(ALIVE, "d00", 4))  # the same parent by rank
    assert not tell(core, 5, "d10", ParentRequest())
    assert not core.handle(5, LogAdvanced(1, (entry(1),)))
    assert not said(tell(core, 5, "d10", UpstreamReport(0, 1)), DownstreamUpdate)
    # It is passed on although the last pulse came just now.
    assert set(said(tell(core, 6, "d00", DownstreamUpdate(4, 1, "d00", 0, 0)), DownstreamUpdate)) == {
        "d09",
        "d10",
    }
    assert said(tell(core, 7, "d10", ParentRequest()), Redirect)


def test_parent_request_needs_capacity_and_never_comes_from_the_own_parent() -> None:
    core = inner()
    assert not tell(core, 2, "d00", ParentRequest())
    for at in range(16):
        assert said(tell(core, 3, f"x{at}", ParentRequest()), Redirect)
        tell(core, 3, f"x{at}", UpstreamReport(0, 1))
    assert not tell(core, 4, "x99", ParentRequest())
    assert said(tell(core, 4, "d09", ParentRequest()), Redirect)


def test_redirects_are_followed_a_bounded_number_of_times() -> None:
    core = inner()
    parent = "d00"
    for at in range(MAX_REDIRECTS):
        assert set(said(tell(core, 2 + at, parent, Redirect(f"x{at}", 3, "d00")), UpstreamReport)) == {
            f"x{at}"
        }
        parent = f"x{at}"
    assert set(said(tell(core, 9, parent, Redirect("x9", 3, "d00")), UpstreamReport)) == {"d00"}
    assert not tell(core, 10, "d05", Redirect("x9", 3, "d00"))  # of one that was not asked
    assert not tell(core, 10, "d00", Redirect("d01", 3, "d00"))  # to itself


def test_change_of_ranks_ends_a_long_backoff() -> None:
    core = door("d09")  # below d01 by rank
    tell(core, 1, "d01", Redirect("d05", 3, "d00"))
    whoms: list[int] = []

    def beats(start: int, count: int) -> list[Any]:
        actions: list[Any] = []
        for beat in range(start, start + count):
            now = beat * BEAT
            for action in (
                *tell(core, now, "d05", DownstreamUpdate(3, beat, "d00", 1, 0)),
                *core.handle(now, Tick()),
            ):
                if isinstance(action, SendMessage) and isinstance(action.message, ParentRequest):
                    whoms.append(beat)
                actions.append(action)
        return actions

    beats(1, 60)
    gaps = [after - before for before, after in pairwise(whoms)]
    assert (
        gaps[0] <= 2
        and max(gaps) <= DisseminationSettings().max_preferred_parent_intervals + 1
        and 2 <= len(whoms) <= 10
    )
    # d02 to d08 are gone, so it comes to be below the leader; then it is taken there.
    beats(61, 2)
    core.handle(
        62 * BEAT, ClusterState(tuple(life for life in ALIVE if not "d02" <= life.name <= "d08"), "d00", 3)
    )
    whoms.clear()
    beats(63, 2)
    assert whoms
    assert set(said(tell(core, 64 * BEAT, "d00", Redirect("d00", 3, "d00")), UpstreamReport)) == {"d00"}


def test_new_ballot_attaches_to_the_parent_by_rank_at_once() -> None:
    core = door("d09")
    tell(core, 1, "d01", Redirect("d05", 3, "d00"))
    tell(core, 2, "d05", DownstreamUpdate(3, 1, "d00", 1, 0))
    assert core.selection.is_connected(3)
    assert set(said(core.handle(3, ClusterState(ALIVE, "d00", 4)), UpstreamReport)) == {"d01"}


def test_reports_are_at_least_half_an_interval_apart() -> None:
    core = inner()
    now = core.wake_us
    assert said(core.handle(now, Tick()), UpstreamReport)
    tell(core, now + 1, "d00", DownstreamUpdate(3, 2, "d00", 0, 0))
    tell(core, now + BEAT // 4, "d00", DownstreamUpdate(3, 3, "d00", 0, 0))
    assert not said(core.handle(now + BEAT * 7 // 16, Tick()), UpstreamReport)
    assert said(core.handle(now + BEAT // 2, Tick()), UpstreamReport)


def test_pending_grants_of_an_earlier_ballot_are_dropped() -> None:
    core = door("d00")
    tell(core, 1, "d01", UpstreamReport(0, 1, (RenewalRequest("d01", 10, 5, 1, 0),)))
    core.handle(BEAT // 2, GrantsIssued((RenewalGrant("d01", 10, 5, 1),)))
    core.handle(BEAT // 2, ClusterState(ALIVE, "d07", 4))
    words = said(core.handle(BEAT // 2, ClusterState(ALIVE, "d00", 5)), DownstreamUpdate)
    assert core.state.is_leader and words["d01"].grants == ()


def test_newer_instance_in_the_cluster_state_removes_the_older_child() -> None:
    core = door("d00")
    tell(core, 1, "d01", UpstreamReport(0, 1))
    core.handle(
        2, ClusterState((*(life for life in ALIVE if life.name != "d01"), NodeInstance("d01", 11)), "d00", 3)
    )
    assert "d01" not in core.downstream.children


def test_proxy_missing_from_the_cluster_state_is_in_its_own_tree() -> None:
    many = [f"a{at:03}" for at in range(300)]
    for ranks in (
        RankedTree("z", many, "m"),
        RankedTree("z", many),
        RankedTree("z", many, "z"),
        RankedTree("z"),
    ):
        assert "z" in ranks.rank and len(ranks.names) <= 256
    assert RankedTree("z", many, "z").parent is None and RankedTree("z", many, "m").parent


def test_cluster_state_without_a_leader_ends_leadership() -> None:
    core = door("d00")
    actions = core.handle(1, ClusterState(ALIVE, None, 3))
    assert not core.state.is_leader and said(actions, UpstreamReport)
    assert core.handle(2, VIEW)[0] == ParentChanged(None) and core.state.is_leader
