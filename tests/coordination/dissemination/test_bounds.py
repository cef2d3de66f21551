"""Invented names, replays and floods: state stays bounded, and the proper children are still served."""

from typing import Any

import msgspec
import pytest

from molereach.coordination.dissemination.core import DisseminationTree
from molereach.coordination.dissemination.messages import (
    MAX_ENTRIES,
    ClusterState,
    DownstreamUpdate,
    EntriesReceived,
    FetchEntries,
    GrantsIssued,
    LocalGrants,
    LogAdvanced,
    Message,
    ParentRequest,
    Redirect,
    RenewalGrant,
    RenewalRequest,
    RenewalWanted,
    RequestsCollected,
    UpstreamReport,
)
from molereach.coordination.dissemination.settings import DisseminationSettings
from molereach.coordination.interface.core import MessageReceived, SendMessage, Tick
from molereach.coordination.interface.identifiers import MAX_MEMBERS, NodeInstance
from tests.coordination.dissemination.simulated_tree import INTERVAL_US, make_entry

NAMES = [
    f"d{index:02}" for index in range(20)
]  # d00 leads; its children are d01 to d08; those of d01 are d09 to d16
INSTANCES = {name: NodeInstance(name, 10) for name in NAMES}
LEADER_CHILDREN = {f"d0{index}" for index in range(1, 9)}
CLUSTER_STATE = ClusterState(tuple(INSTANCES.values()), "d00", 3)


def make_core(name: str) -> DisseminationTree:
    core = DisseminationTree(INSTANCES[name], DisseminationSettings(), lambda: 0.5)
    core.handle(0, CLUSTER_STATE)
    return core


def receive(
    core: DisseminationTree, now_us: int, sender: str, message: Message, instance_number: int = 10
) -> list[Any]:
    return core.handle(now_us, MessageReceived(NodeInstance(sender, instance_number), message))


def sent_by_recipient(actions: list[Any], kind: type) -> dict[str, Any]:
    return {
        action.recipient: action.message
        for action in actions
        if isinstance(action, SendMessage) and isinstance(action.message, kind)
    }


def make_request(
    name: str, number: int = 1, instance_number: int = 10, fencing_token: int = 5
) -> RenewalRequest:
    return RenewalRequest(name, instance_number, fencing_token, number, 0)


def make_connected_core() -> DisseminationTree:
    """The core of d01, connected to the leader d00."""
    core = make_core("d01")
    receive(core, 1, "d00", DownstreamUpdate(3, 1, "d00", 0, 0))
    return core


def test_renewal_request_is_48_bytes_and_messages_round_trip() -> None:
    largest = RenewalRequest(
        "front-door-123.site-a", (1 << 62) - 1, (1 << 32) - 1, (1 << 32) - 1, (1 << 32) - 1
    )
    assert len(msgspec.msgpack.encode(largest)) <= 48
    for message in (
        UpstreamReport(1, 2, (largest,)),
        DownstreamUpdate(1, 2, "a", 0, 3, (make_entry(3),), (RenewalGrant("a", 1, 2, 3),)),
        ParentRequest(),
        Redirect("a", 4, None),
    ):
        assert msgspec.msgpack.decode(msgspec.msgpack.encode(message), type=Message) == message


@pytest.mark.parametrize(
    "message",
    [
        ["s.up", 0, 1, [["a", 1, 1, 1, 1]] * (MAX_MEMBERS + 1)],
        ["s.up", 0, 0, []],
        ["s.up", 0, 1, [["a", 1, 1, 1, 1, -1]]],
        ["s.down", 1, 1, "a", 65, 0],
        ["s.down", 1, 1, "a", 0, 0, [], [["a", 1, 1, 1]] * (MAX_MEMBERS + 1)],
        ["s.down", 1, 1, "a", 0, 0, [make_entry(1)] * (MAX_ENTRIES + 1)],
        ["s.redirect", "x" * 65, 1, None],
    ],
)
def test_messages_out_of_bounds_are_rejected(message: list[Any]) -> None:
    with pytest.raises(msgspec.ValidationError):
        msgspec.msgpack.decode(msgspec.msgpack.encode(message), type=Message)


def test_children_are_bounded_and_a_child_by_rank_is_always_admitted() -> None:
    core = make_core("d00")
    for index in range(40):
        actions = receive(core, index, f"x{index}", UpstreamReport(0, 1))
        if index >= 16:  # redirected to an admitted child
            assert sent_by_recipient(actions, Redirect)[f"x{index}"].parent in core.downstream.children
        assert len(core.downstream.children.table) <= 16
    for index in range(1, 9):
        actions = receive(core, 50 + index, f"d0{index}", UpstreamReport(0, 1))
        assert sent_by_recipient(actions, DownstreamUpdate)[f"d0{index}"].heartbeat_number == 1
        (evicted,) = sent_by_recipient(actions, Redirect)
        assert evicted.startswith("x") and evicted not in core.downstream.children
    assert len(core.downstream.children.table) == 16
    assert set(core.downstream.children.table) >= LEADER_CHILDREN
    # Successive redirects name different children.
    targets = [
        sent_by_recipient(receive(core, 60, f"y{index}", UpstreamReport(0, 1)), Redirect)[f"y{index}"].parent
        for index in range(16)
    ]
    assert len(set(targets)) == 16


def test_silent_children_are_removed_and_get_no_messages() -> None:
    core = make_core("d00")
    receive(core, 0, "d01", UpstreamReport(0, 1))
    receive(core, 0, "d02", UpstreamReport(0, 1))
    for interval in range(1, 6):
        actions = core.handle(interval * INTERVAL_US, Tick())
        assert set(sent_by_recipient(actions, DownstreamUpdate)) == (
            {"d01", "d02"} if interval <= 3 else {"d02"}
        )
        receive(core, interval * INTERVAL_US + 1, "d02", UpstreamReport(0, 1))


def test_flood_of_requests_is_bounded_and_live_names_take_precedence() -> None:
    core = make_connected_core()
    for index in range(20):
        requests = tuple(make_request(f"x{index}-{number}") for number in range(MAX_MEMBERS))
        receive(core, 2, f"y{index}", UpstreamReport(0, 1, requests))
    receive(core, 3, "d09", UpstreamReport(0, 2, (make_request("d09"), make_request("d10"))))
    core.handle(4, RenewalWanted(make_request("d01")))
    aggregator = core.downstream.aggregator
    assert len(aggregator.requests) <= MAX_MEMBERS and len(aggregator.routes) <= MAX_MEMBERS
    (report,) = sent_by_recipient(core.handle(INTERVAL_US * 7 // 8, Tick()), UpstreamReport).values()
    assert len(report.renewal_requests) == MAX_MEMBERS
    assert report.renewal_requests[0] == make_request("d01") and {
        make_request("d09"),
        make_request("d10"),
    } <= set(report.renewal_requests)
    # Grants for live proxies are still routed, despite the invented names.
    message = DownstreamUpdate(3, 2, "d00", 0, 0, (), (RenewalGrant("d10", 10, 5, 1),))
    assert sent_by_recipient(receive(core, INTERVAL_US, "d00", message), DownstreamUpdate)["d09"].grants == (
        RenewalGrant("d10", 10, 5, 1),
    )
    for interval in range(2, 9):  # requests and routes are not kept for long
        receive(core, interval * INTERVAL_US, "d00", DownstreamUpdate(3, 1 + interval, "d00", 0, 0))
        core.handle(interval * INTERVAL_US + INTERVAL_US * 7 // 8, Tick())
    assert not len(aggregator.requests) and not len(aggregator.routes)


def test_newest_request_of_each_session_is_reported_once_and_unchanged() -> None:
    core = make_connected_core()
    receive(
        core,
        2,
        "d09",
        UpstreamReport(
            0,
            1,
            (
                make_request("d09", 7),
                make_request("d09", 1, fencing_token=6),
                make_request("d09", 1, instance_number=9),
            ),
        ),
    )
    receive(core, 3, "d10", UpstreamReport(0, 1, (make_request("d09", 6),)))
    receive(core, 4, "d09", UpstreamReport(0, 1, (make_request("d09", 8),)))
    receive(core, 4, "d09", UpstreamReport(0, 1, (make_request("d09", 7),)))
    # A request under the core's own name is accepted only from the core itself.
    receive(core, 5, "d09", UpstreamReport(0, 1, (make_request("d01", 99),)))
    (report,) = sent_by_recipient(core.handle(INTERVAL_US, Tick()), UpstreamReport).values()
    assert set(report.renewal_requests) == {
        make_request("d09", 8),
        make_request("d09", 1, fencing_token=6),
        make_request("d09", 1, instance_number=9),
    }
    assert report.subtree_size == 3


def test_grant_is_sent_to_one_child_once() -> None:
    core = make_connected_core()
    receive(core, 2, "d09", UpstreamReport(0, 1, (make_request("d09"), make_request("x"))))
    receive(core, 2, "d10", UpstreamReport(0, 1, (make_request("d10"),)))
    grants = (RenewalGrant("x", 10, 5, 1), RenewalGrant("nobody", 10, 5, 1), RenewalGrant("d01", 10, 5, 1))
    actions = receive(core, 3, "d00", DownstreamUpdate(3, 1, "d00", 0, 0, (), grants))
    assert {
        name: message.grants for name, message in sent_by_recipient(actions, DownstreamUpdate).items()
    } == {"d09": grants[:1]}
    assert LocalGrants(grants[2:]) in actions
    # A repeated grant, as in a cycle, is forwarded only after another request.
    assert not sent_by_recipient(
        receive(core, 4, "d00", DownstreamUpdate(3, 1, "d00", 0, 0, (), grants)), DownstreamUpdate
    )
    receive(core, 5, "d09", UpstreamReport(0, 1, (make_request("x"),)))
    assert sent_by_recipient(
        receive(core, 6, "d00", DownstreamUpdate(3, 1, "d00", 0, 0, (), grants)), DownstreamUpdate
    )
    # With a heartbeat, each child gets a single message that includes its grants.
    receive(core, 7, "d09", UpstreamReport(0, 1, (make_request("x"),)))
    actions = receive(core, INTERVAL_US, "d00", DownstreamUpdate(3, 2, "d00", 0, 0, (), grants))
    assert {
        name: message.grants for name, message in sent_by_recipient(actions, DownstreamUpdate).items()
    } == {
        "d09": grants[:1],
        "d10": (),
    }
    assert sum(isinstance(action, SendMessage) for action in actions) == 2


def test_reordered_older_request_does_not_reroute_the_grant() -> None:
    core = make_connected_core()
    receive(core, 2, "d09", UpstreamReport(0, 1, (make_request("x", 5),)))
    receive(core, 3, "d10", UpstreamReport(0, 1, (make_request("x", 4),)))
    actions = receive(core, 4, "d00", DownstreamUpdate(3, 1, "d00", 0, 0, (), (RenewalGrant("x", 10, 5, 5),)))
    assert set(sent_by_recipient(actions, DownstreamUpdate)) == {"d09"}


def test_local_request_is_repeated_until_it_is_granted() -> None:
    core = make_connected_core()
    core.handle(2, RenewalWanted(make_request("d01", 3)))
    for interval in (1, 2):
        (report,) = sent_by_recipient(core.handle(core.wake_us, Tick()), UpstreamReport).values()
        assert report.renewal_requests == (make_request("d01", 3),)
        receive(core, interval * INTERVAL_US, "d00", DownstreamUpdate(3, 1 + interval, "d00", 0, 0))
    for number in (2, 3):  # a grant for an earlier request, then for the current one
        assert core.downstream.aggregator.local_request
        receive(
            core,
            2 * INTERVAL_US + 1,
            "d00",
            DownstreamUpdate(3, 3, "d00", 0, 0, (), (RenewalGrant("d01", 10, 5, number),)),
        )
    assert not core.downstream.aggregator.local_request


def test_leader_keeps_grants_for_its_heartbeat_unless_they_are_late() -> None:
    core = make_core("d00")
    receive(core, 1, "d01", UpstreamReport(0, 1, (make_request("d01"), make_request("d09"))))
    receive(core, 1, "d02", UpstreamReport(0, 1, (make_request("d02"),)))
    core.handle(1, RenewalWanted(make_request("d00")))
    core.handle(1, RenewalWanted(make_request("d00", 2, instance_number=9)))
    core.handle(1, RenewalWanted(make_request("d05")))
    (collected,) = [
        action
        for action in core.handle(INTERVAL_US * 3 // 4, Tick())
        if isinstance(action, RequestsCollected)
    ]
    assert collected.requests == (
        make_request("d00"),
        make_request("d01"),
        make_request("d09"),
        make_request("d02"),
    )
    assert RequestsCollected((make_request("d00"), make_request("d03"))) in receive(
        core, INTERVAL_US * 7 // 8, "d03", UpstreamReport(0, 1, (make_request("d03"),))
    )
    grant = RenewalGrant("d09", 10, 5, 1)
    local_grant = RenewalGrant("d00", 10, 5, 1)
    assert core.handle(INTERVAL_US * 7 // 8, GrantsIssued((grant, local_grant))) == [
        LocalGrants((local_grant,))
    ]
    updates = sent_by_recipient(core.handle(INTERVAL_US, Tick()), DownstreamUpdate)
    assert updates["d01"].grants == (grant,) and updates["d02"].grants == ()
    late_grant = RenewalGrant("d02", 10, 5, 1)
    assert set(
        sent_by_recipient(core.handle(INTERVAL_US + 1, GrantsIssued((late_grant,))), DownstreamUpdate)
    ) == {"d02"}
    for index in range(400):
        core.handle(INTERVAL_US * 7 // 4, GrantsIssued((RenewalGrant(f"x{index}", 1, 1, 1),)))
    assert len(core.pending_grants) == MAX_MEMBERS


def test_heartbeats_that_arrive_late_together_are_forwarded_once() -> None:
    core = make_connected_core()
    receive(core, 2, "d09", UpstreamReport(0, 1))
    updates = [
        sent_by_recipient(
            receive(core, 2 * INTERVAL_US, "d00", DownstreamUpdate(3, number, "d00", 0, 0)), DownstreamUpdate
        )
        for number in range(2, 12)
    ]
    assert sum(map(len, updates)) == 1
    assert core.tracker.last_heartbeat == (3, 11)
    # A replayed heartbeat is not forwarded.
    assert not sent_by_recipient(
        receive(core, 3 * INTERVAL_US, "d00", DownstreamUpdate(3, 5, "d00", 0, 0)), DownstreamUpdate
    )


def test_stale_ballots_and_older_instances_change_nothing() -> None:
    core = make_connected_core()
    (redirect,) = sent_by_recipient(
        receive(core, 2, "d05", DownstreamUpdate(2, 99, "d07", 0, 0)), Redirect
    ).values()
    assert (redirect.ballot, redirect.leader) == (3, "d00")
    core.handle(3, ClusterState(tuple(INSTANCES.values()), "d07", 2))
    receive(core, 3, "d05", Redirect("d07", 2, "d07"))
    assert (core.state.ballot, core.state.leader) == (3, "d00")
    assert not receive(core, 4, "d00", DownstreamUpdate(4, 1, "d00", 0, 0), instance_number=9)
    assert core.state.ballot == 3
    receive(core, 4, "d09", UpstreamReport(0, 1), instance_number=11)
    assert not receive(core, 5, "d09", UpstreamReport(7, 1), instance_number=10)  # from an older instance
    assert core.downstream.children.table["d09"].applied_position == 0


def test_leader_steps_down_on_a_higher_ballot() -> None:
    core = make_core("d00")
    receive(core, 1, "d01", UpstreamReport(0, 1, (make_request("d01"),)))
    assert "d07" in sent_by_recipient(receive(core, 2, "d01", Redirect("d07", 4, "d07")), UpstreamReport)
    assert not sent_by_recipient(core.handle(INTERVAL_US, Tick()), DownstreamUpdate)
    assert not core.handle(INTERVAL_US, GrantsIssued((RenewalGrant("d00", 10, 5, 1),)))
    core.handle(INTERVAL_US, CLUSTER_STATE)  # an earlier state
    assert not core.state.is_leader


def test_entries_are_sent_only_after_all_before_them_and_within_the_byte_limit() -> None:
    core = make_connected_core()
    receive(core, 2, "d09", UpstreamReport(0, 1))
    receive(core, 2, "d10", UpstreamReport(1, 1))
    core.handle(3, LogAdvanced(1, (make_entry(1),)))
    updates = sent_by_recipient(
        core.handle(4, LogAdvanced(3, (make_entry(2), make_entry(3)))), DownstreamUpdate
    )
    assert [entry.position for entry in updates["d10"].entries] == [2, 3]
    assert [entry.position for entry in updates["d09"].entries] == [1, 2, 3]
    core.handle(5, LogAdvanced(9, (make_entry(8), make_entry(9))))  # a snapshot and the entries after it
    updates = sent_by_recipient(core.handle(6, LogAdvanced(10, (make_entry(10),))), DownstreamUpdate)
    assert updates["d09"].entries == updates["d10"].entries == () and updates["d10"].applied_position == 10
    receive(core, 7, "d10", UpstreamReport(9, 1))
    receive(core, 7, "d10", UpstreamReport(8, 1))  # a reordered older report
    updates = sent_by_recipient(core.handle(7, LogAdvanced(11, (make_entry(11),))), DownstreamUpdate)
    assert [entry.position for entry in updates["d10"].entries] == [10, 11]
    assert [
        entry.position
        for entry in sent_by_recipient(receive(core, 7, "d11", UpstreamReport(10, 1)), DownstreamUpdate)[
            "d11"
        ].entries
    ] == [11]
    for position in range(12, 100):
        core.handle(8, LogAdvanced(position, (make_entry(position),)))
        assert len(core.downstream.forwarder.recent) <= MAX_ENTRIES
    for position in range(100, 200):
        for message in sent_by_recipient(
            core.handle(8, LogAdvanced(position, (make_entry(position, b"x" * 5000),))), DownstreamUpdate
        ).values():
            assert len(msgspec.msgpack.encode(message.entries)) <= 32 << 10
        assert len(core.downstream.forwarder.recent) <= MAX_ENTRIES


def test_consecutive_entries_are_delivered_and_a_gap_is_fetched() -> None:
    core = make_connected_core()
    assert EntriesReceived((make_entry(1), make_entry(2))) in receive(
        core, 2, "d00", DownstreamUpdate(3, 1, "d00", 0, 2, (make_entry(1), make_entry(2)))
    )
    actions = receive(
        core, 3, "d00", DownstreamUpdate(3, 1, "d00", 0, 3, (make_entry(1), make_entry(2), make_entry(3)))
    )
    assert EntriesReceived((make_entry(3),)) in actions and not any(
        isinstance(action, FetchEntries) for action in actions
    )
    assert receive(core, 4, "d00", DownstreamUpdate(3, 1, "d00", 0, 7, (make_entry(7),))) == [
        FetchEntries("d00")
    ]
    assert (
        receive(core, 5, "d00", DownstreamUpdate(3, 1, "d00", 0, 8)) == []
    )  # a fetch was requested just before
    core.handle(6, LogAdvanced(8))
    # Entries with a gap between them are ignored.
    assert not receive(core, 7, "d00", DownstreamUpdate(3, 1, "d00", 0, 8, (make_entry(9), make_entry(11))))
    # Entries that were delivered but not applied are fetched after an interval.
    assert EntriesReceived((make_entry(9),)) in receive(
        core, INTERVAL_US, "d00", DownstreamUpdate(3, 2, "d00", 0, 9, (make_entry(9),))
    )
    assert FetchEntries("d00") not in receive(
        core, INTERVAL_US * 2, "d00", DownstreamUpdate(3, 3, "d00", 0, 9)
    )
    assert FetchEntries("d00") in receive(core, INTERVAL_US * 3, "d00", DownstreamUpdate(3, 4, "d00", 0, 9))
