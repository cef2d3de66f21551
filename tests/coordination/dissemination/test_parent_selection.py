"""Parent selection at one proxy: the order of candidates, and which messages it follows or ignores."""

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
from tests.coordination.dissemination.simulated_tree import INTERVAL_US, make_entry
from tests.coordination.dissemination.test_bounds import (
    CLUSTER_STATE,
    INSTANCES,
    make_connected_core,
    make_core,
    receive,
    sent_by_recipient,
)

ALL_INSTANCES = tuple(INSTANCES.values())


def parent_changes_until(core: DisseminationTree, until_us: int) -> list[tuple[int, str]]:
    """The parents that the core tries while none replies, as (time, name)."""
    changes = []
    while core.wake_us <= until_us:
        now_us = core.wake_us
        changes += [
            (now_us, action.name)
            for action in core.handle(now_us, Tick())
            if isinstance(action, ParentChanged)
        ]
    return changes


def test_order_and_timeouts_of_candidates() -> None:
    draws = iter([0.0] * 10_000)
    core = DisseminationTree(INSTANCES["d17"], DisseminationSettings(), lambda: next(draws))
    first = core.handle(0, ClusterState(ALL_INSTANCES, "d00", 3, ("d05",)))
    assert set(sent_by_recipient(first, UpstreamReport)) == {"d02"}
    changes = parent_changes_until(core, 100 * INTERVAL_US)
    # The grandparent is the leader here; then a voter, a random proxy, and the first candidate again.
    assert [name for _, name in changes[:6]] == ["d00", "d05", "d00", "d02", "d00", "d05"]
    gaps = [after - before for (before, _), (after, _) in pairwise(changes)]
    assert gaps[0] < 2 * INTERVAL_US and max(gaps[-6:]) == 3 * INTERVAL_US == gaps[-1]
    # The new leader changes the parent by rank: it is tried at once, with the initial timeout.
    now_us = core.wake_us - 1
    actions = core.handle(now_us, ClusterState(ALL_INSTANCES, "d07", 4))
    assert set(sent_by_recipient(actions, UpstreamReport)) == {"d01"}
    assert parent_changes_until(core, now_us + 2 * INTERVAL_US)


def test_grandparent_is_tried_before_the_leader() -> None:
    instances = tuple(NodeInstance(f"e{index:03}", 1) for index in range(100))
    core = DisseminationTree(instances[99], DisseminationSettings(fanout=2), lambda: 0.5)
    assert set(sent_by_recipient(core.handle(0, ClusterState(instances, "e000", 1)), UpstreamReport)) == {
        "e049"
    }
    assert [name for _, name in parent_changes_until(core, 4 * INTERVAL_US)] == ["e024", "e000"]


def test_repeated_heartbeat_does_not_confirm_a_parent() -> None:
    core = make_connected_core()
    for now_us in range(INTERVAL_US, 3 * INTERVAL_US, INTERVAL_US // 8):
        receive(core, now_us, "d00", DownstreamUpdate(3, 1, "d00", 0, 0))
    assert core.tracker.parent_name != "d00"


def test_parent_too_far_from_the_leader_is_replaced() -> None:
    for depth, kept in ((2, True), (5, True), (6, False)):  # a full tree of 256 proxies has a depth of three
        core = make_connected_core()
        for interval in range(1, 4):
            receive(core, interval * INTERVAL_US, "d00", DownstreamUpdate(3, 1 + interval, "d00", depth, 0))
        assert (core.tracker.parent_name == "d00") is kept


def test_new_ballot_must_come_from_the_parent_itself() -> None:
    core = make_connected_core()
    receive(core, 2, "d09", UpstreamReport(0, 1))
    assert sent_by_recipient(receive(core, 3, "d10", ParentRequest()), Redirect)["d10"].parent == "d01"
    core.handle(4, ClusterState(ALL_INSTANCES, "d00", 4))  # a new ballot with the same parent by rank
    assert not receive(core, 5, "d10", ParentRequest())
    assert not core.handle(5, LogAdvanced(1, (make_entry(1),)))
    assert not sent_by_recipient(receive(core, 5, "d10", UpstreamReport(0, 1)), DownstreamUpdate)
    # A heartbeat of the new ballot is forwarded although the last heartbeat is recent.
    assert set(
        sent_by_recipient(receive(core, 6, "d00", DownstreamUpdate(4, 1, "d00", 0, 0)), DownstreamUpdate)
    ) == {
        "d09",
        "d10",
    }
    assert sent_by_recipient(receive(core, 7, "d10", ParentRequest()), Redirect)


def test_parent_request_needs_capacity_and_is_refused_to_the_own_parent() -> None:
    core = make_connected_core()
    assert not receive(core, 2, "d00", ParentRequest())
    for index in range(16):
        assert sent_by_recipient(receive(core, 3, f"x{index}", ParentRequest()), Redirect)
        receive(core, 3, f"x{index}", UpstreamReport(0, 1))
    assert not receive(core, 4, "x99", ParentRequest())
    assert sent_by_recipient(receive(core, 4, "d09", ParentRequest()), Redirect)


def test_redirects_are_followed_a_bounded_number_of_times() -> None:
    core = make_connected_core()
    parent = "d00"
    for index in range(MAX_REDIRECTS):
        assert set(
            sent_by_recipient(
                receive(core, 2 + index, parent, Redirect(f"x{index}", 3, "d00")), UpstreamReport
            )
        ) == {f"x{index}"}
        parent = f"x{index}"
    assert set(sent_by_recipient(receive(core, 9, parent, Redirect("x9", 3, "d00")), UpstreamReport)) == {
        "d00"
    }
    assert not receive(core, 10, "d05", Redirect("x9", 3, "d00"))  # from a proxy that is not the parent
    assert not receive(core, 10, "d00", Redirect("d01", 3, "d00"))  # a redirect to the core itself


def test_change_of_ranks_ends_a_long_backoff() -> None:
    core = make_core("d09")  # below d01 by rank
    receive(core, 1, "d01", Redirect("d05", 3, "d00"))
    request_intervals: list[int] = []

    def run_intervals(start: int, count: int) -> list[Any]:
        actions: list[Any] = []
        for interval in range(start, start + count):
            now_us = interval * INTERVAL_US
            for action in (
                *receive(core, now_us, "d05", DownstreamUpdate(3, interval, "d00", 1, 0)),
                *core.handle(now_us, Tick()),
            ):
                if isinstance(action, SendMessage) and isinstance(action.message, ParentRequest):
                    request_intervals.append(interval)
                actions.append(action)
        return actions

    run_intervals(1, 60)
    gaps = [after - before for before, after in pairwise(request_intervals)]
    assert (
        gaps[0] <= 2
        and max(gaps) <= DisseminationSettings().max_preferred_parent_intervals + 1
        and 2 <= len(request_intervals) <= 10
    )
    # Without d02 to d08 the parent by rank of d09 is the leader, which then consents.
    run_intervals(61, 2)
    core.handle(
        62 * INTERVAL_US,
        ClusterState(
            tuple(instance for instance in ALL_INSTANCES if not "d02" <= instance.name <= "d08"), "d00", 3
        ),
    )
    request_intervals.clear()
    run_intervals(63, 2)
    assert request_intervals
    assert set(
        sent_by_recipient(receive(core, 64 * INTERVAL_US, "d00", Redirect("d00", 3, "d00")), UpstreamReport)
    ) == {"d00"}


def test_new_ballot_attaches_to_the_parent_by_rank_at_once() -> None:
    core = make_core("d09")
    receive(core, 1, "d01", Redirect("d05", 3, "d00"))
    receive(core, 2, "d05", DownstreamUpdate(3, 1, "d00", 1, 0))
    assert core.selection.is_connected(3)
    assert set(sent_by_recipient(core.handle(3, ClusterState(ALL_INSTANCES, "d00", 4)), UpstreamReport)) == {
        "d01"
    }


def test_reports_are_at_least_half_an_interval_apart() -> None:
    core = make_connected_core()
    now_us = core.wake_us
    assert sent_by_recipient(core.handle(now_us, Tick()), UpstreamReport)
    receive(core, now_us + 1, "d00", DownstreamUpdate(3, 2, "d00", 0, 0))
    receive(core, now_us + INTERVAL_US // 4, "d00", DownstreamUpdate(3, 3, "d00", 0, 0))
    assert not sent_by_recipient(core.handle(now_us + INTERVAL_US * 7 // 16, Tick()), UpstreamReport)
    assert sent_by_recipient(core.handle(now_us + INTERVAL_US // 2, Tick()), UpstreamReport)


def test_pending_grants_of_an_earlier_ballot_are_dropped() -> None:
    core = make_core("d00")
    receive(core, 1, "d01", UpstreamReport(0, 1, (RenewalRequest("d01", 10, 5, 1, 0),)))
    core.handle(INTERVAL_US // 2, GrantsIssued((RenewalGrant("d01", 10, 5, 1),)))
    core.handle(INTERVAL_US // 2, ClusterState(ALL_INSTANCES, "d07", 4))
    updates = sent_by_recipient(
        core.handle(INTERVAL_US // 2, ClusterState(ALL_INSTANCES, "d00", 5)), DownstreamUpdate
    )
    assert core.state.is_leader and updates["d01"].grants == ()


def test_newer_instance_in_the_cluster_state_removes_the_older_child() -> None:
    core = make_core("d00")
    receive(core, 1, "d01", UpstreamReport(0, 1))
    core.handle(
        2,
        ClusterState(
            (*(instance for instance in ALL_INSTANCES if instance.name != "d01"), NodeInstance("d01", 11)),
            "d00",
            3,
        ),
    )
    assert "d01" not in core.downstream.children


def test_proxy_missing_from_the_cluster_state_is_in_its_own_tree() -> None:
    live_names = [f"a{index:03}" for index in range(300)]
    for tree in (
        RankedTree("z", live_names, "m"),
        RankedTree("z", live_names),
        RankedTree("z", live_names, "z"),
        RankedTree("z"),
    ):
        assert "z" in tree.rank and len(tree.names) <= 256
    assert RankedTree("z", live_names, "z").parent is None and RankedTree("z", live_names, "m").parent


def test_cluster_state_without_a_leader_ends_leadership() -> None:
    core = make_core("d00")
    actions = core.handle(1, ClusterState(ALL_INSTANCES, None, 3))
    assert not core.state.is_leader and sent_by_recipient(actions, UpstreamReport)
    assert core.handle(2, CLUSTER_STATE)[0] == ParentChanged(None) and core.state.is_leader
