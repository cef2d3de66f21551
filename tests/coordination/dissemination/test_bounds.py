"""Invented names, replays and floods: nothing grows without bound, and who belongs here is still served."""

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
from tests.coordination.dissemination.simulated_tree import BEAT, entry

NAMES = [f"d{at:02}" for at in range(20)]  # d00 leads; d01 to d08 are below it, d09 to d16 below d01
LIVES = {name: NodeInstance(name, 10) for name in NAMES}
RANKED = {f"d0{at}" for at in range(1, 9)}
VIEW = ClusterState(tuple(LIVES.values()), "d00", 3)


def door(name: str) -> DisseminationTree:
    core = DisseminationTree(LIVES[name], DisseminationSettings(), lambda: 0.5)
    core.handle(0, VIEW)
    return core


def tell(core: DisseminationTree, now: int, sender: str, message: Message, life: int = 10) -> list[Any]:
    return core.handle(now, MessageReceived(NodeInstance(sender, life), message))


def said(actions: list[Any], kind: type) -> dict[str, Any]:
    return {
        action.recipient: action.message
        for action in actions
        if isinstance(action, SendMessage) and isinstance(action.message, kind)
    }


def ask(name: str, number: int = 1, life: int = 10, fence: int = 5) -> RenewalRequest:
    return RenewalRequest(name, life, fence, number, 0)


def inner() -> DisseminationTree:
    """d01, served by the leader."""
    core = door("d01")
    tell(core, 1, "d00", DownstreamUpdate(3, 1, "d00", 0, 0))
    return core


def test_renewal_request_is_48_bytes_and_messages_round_trip() -> None:
    largest = RenewalRequest(
        "front-door-123.site-a", (1 << 62) - 1, (1 << 32) - 1, (1 << 32) - 1, (1 << 32) - 1
    )
    assert len(msgspec.msgpack.encode(largest)) <= 48
    for word in (
        UpstreamReport(1, 2, (largest,)),
        DownstreamUpdate(1, 2, "a", 0, 3, (entry(3),), (RenewalGrant("a", 1, 2, 3),)),
        ParentRequest(),
        Redirect("a", 4, None),
    ):
        assert msgspec.msgpack.decode(msgspec.msgpack.encode(word), type=Message) == word


@pytest.mark.parametrize(
    "word",
    [
        ["s.up", 0, 1, [["a", 1, 1, 1, 1]] * (MAX_MEMBERS + 1)],
        ["s.up", 0, 0, []],
        ["s.up", 0, 1, [["a", 1, 1, 1, 1, -1]]],
        ["s.down", 1, 1, "a", 65, 0],
        ["s.down", 1, 1, "a", 0, 0, [], [["a", 1, 1, 1]] * (MAX_MEMBERS + 1)],
        ["s.down", 1, 1, "a", 0, 0, [entry(1)] * (MAX_ENTRIES + 1)],
        ["s.redirect", "x" * 65, 1, None],
    ],
)
def test_messages_out_of_bounds_are_rejected(word: list[Any]) -> None:
    with pytest.raises(msgspec.ValidationError):
        msgspec.msgpack.decode(msgspec.msgpack.encode(word), type=Message)


def test_children_are_bounded_and_a_child_by_rank_is_always_admitted() -> None:
    core = door("d00")
    for at in range(40):
        actions = tell(core, at, f"x{at}", UpstreamReport(0, 1))
        if at >= 16:  # it is sent on, to one that was taken
            assert said(actions, Redirect)[f"x{at}"].parent in core.downstream.children
        assert len(core.downstream.children.table) <= 16
    for at in range(1, 9):
        actions = tell(core, 50 + at, f"d0{at}", UpstreamReport(0, 1))
        assert said(actions, DownstreamUpdate)[f"d0{at}"].heartbeat_number == 1
        (gone,) = said(actions, Redirect)
        assert gone.startswith("x") and gone not in core.downstream.children
    assert len(core.downstream.children.table) == 16
    assert set(core.downstream.children.table) >= RANKED
    # Those who are sent on go to different ones.
    sent = [
        said(tell(core, 60, f"y{at}", UpstreamReport(0, 1)), Redirect)[f"y{at}"].parent for at in range(16)
    ]
    assert len(set(sent)) == 16


def test_silent_children_are_forgotten_and_get_no_messages() -> None:
    core = door("d00")
    tell(core, 0, "d01", UpstreamReport(0, 1))
    tell(core, 0, "d02", UpstreamReport(0, 1))
    for beat in range(1, 6):
        actions = core.handle(beat * BEAT, Tick())
        assert set(said(actions, DownstreamUpdate)) == ({"d01", "d02"} if beat <= 3 else {"d02"})
        tell(core, beat * BEAT + 1, "d02", UpstreamReport(0, 1))


def test_flood_of_requests_is_bounded_and_live_names_take_precedence() -> None:
    core = inner()
    for at in range(20):
        asks = tuple(ask(f"x{at}-{number}") for number in range(MAX_MEMBERS))
        tell(core, 2, f"y{at}", UpstreamReport(0, 1, asks))
    tell(core, 3, "d09", UpstreamReport(0, 2, (ask("d09"), ask("d10"))))
    core.handle(4, RenewalWanted(ask("d01")))
    gather = core.downstream.aggregator
    assert len(gather.requests) <= MAX_MEMBERS and len(gather.routes) <= MAX_MEMBERS
    (up,) = said(core.handle(BEAT * 7 // 8, Tick()), UpstreamReport).values()
    assert len(up.renewal_requests) == MAX_MEMBERS
    assert up.renewal_requests[0] == ask("d01") and {ask("d09"), ask("d10")} <= set(up.renewal_requests)
    # What is granted to them finds its way, past all the invented names.
    word = DownstreamUpdate(3, 2, "d00", 0, 0, (), (RenewalGrant("d10", 10, 5, 1),))
    assert said(tell(core, BEAT, "d00", word), DownstreamUpdate)["d09"].grants == (
        RenewalGrant("d10", 10, 5, 1),
    )
    for beat in range(2, 9):  # and none of it is kept
        tell(core, beat * BEAT, "d00", DownstreamUpdate(3, 1 + beat, "d00", 0, 0))
        core.handle(beat * BEAT + BEAT * 7 // 8, Tick())
    assert not len(gather.requests) and not len(gather.routes)


def test_newest_request_of_each_session_is_reported_once_and_unchanged() -> None:
    core = inner()
    tell(core, 2, "d09", UpstreamReport(0, 1, (ask("d09", 7), ask("d09", 1, fence=6), ask("d09", 1, life=9))))
    tell(core, 3, "d10", UpstreamReport(0, 1, (ask("d09", 6),)))
    tell(core, 4, "d09", UpstreamReport(0, 1, (ask("d09", 8),)))
    tell(core, 4, "d09", UpstreamReport(0, 1, (ask("d09", 7),)))
    tell(core, 5, "d09", UpstreamReport(0, 1, (ask("d01", 99),)))  # in its own name: from itself alone
    (up,) = said(core.handle(BEAT, Tick()), UpstreamReport).values()
    assert set(up.renewal_requests) == {ask("d09", 8), ask("d09", 1, fence=6), ask("d09", 1, life=9)}
    assert up.subtree_size == 3


def test_grant_is_sent_to_one_child_once() -> None:
    core = inner()
    tell(core, 2, "d09", UpstreamReport(0, 1, (ask("d09"), ask("x"))))
    tell(core, 2, "d10", UpstreamReport(0, 1, (ask("d10"),)))
    grants = (RenewalGrant("x", 10, 5, 1), RenewalGrant("nobody", 10, 5, 1), RenewalGrant("d01", 10, 5, 1))
    actions = tell(core, 3, "d00", DownstreamUpdate(3, 1, "d00", 0, 0, (), grants))
    assert {name: word.grants for name, word in said(actions, DownstreamUpdate).items()} == {
        "d09": grants[:1]
    }
    assert LocalGrants(grants[2:]) in actions
    # Told again, as in a ring: it goes no further until who asked asks again.
    assert not said(tell(core, 4, "d00", DownstreamUpdate(3, 1, "d00", 0, 0, (), grants)), DownstreamUpdate)
    tell(core, 5, "d09", UpstreamReport(0, 1, (ask("x"),)))
    assert said(tell(core, 6, "d00", DownstreamUpdate(3, 1, "d00", 0, 0, (), grants)), DownstreamUpdate)
    # With a pulse it is in the one word that each child has.
    tell(core, 7, "d09", UpstreamReport(0, 1, (ask("x"),)))
    actions = tell(core, BEAT, "d00", DownstreamUpdate(3, 2, "d00", 0, 0, (), grants))
    assert {name: word.grants for name, word in said(actions, DownstreamUpdate).items()} == {
        "d09": grants[:1],
        "d10": (),
    }
    assert sum(isinstance(action, SendMessage) for action in actions) == 2


def test_older_request_that_was_overtaken_does_not_reroute_the_grant() -> None:
    core = inner()
    tell(core, 2, "d09", UpstreamReport(0, 1, (ask("x", 5),)))
    tell(core, 3, "d10", UpstreamReport(0, 1, (ask("x", 4),)))
    actions = tell(core, 4, "d00", DownstreamUpdate(3, 1, "d00", 0, 0, (), (RenewalGrant("x", 10, 5, 5),)))
    assert set(said(actions, DownstreamUpdate)) == {"d09"}


def test_local_request_is_repeated_until_it_is_granted() -> None:
    core = inner()
    core.handle(2, RenewalWanted(ask("d01", 3)))
    for beat in (1, 2):
        (up,) = said(core.handle(core.wake_us, Tick()), UpstreamReport).values()
        assert up.renewal_requests == (ask("d01", 3),)
        tell(core, beat * BEAT, "d00", DownstreamUpdate(3, 1 + beat, "d00", 0, 0))
    for number in (2, 3):  # of an earlier ask, and of this one
        assert core.downstream.aggregator.local_request
        tell(
            core,
            2 * BEAT + 1,
            "d00",
            DownstreamUpdate(3, 3, "d00", 0, 0, (), (RenewalGrant("d01", 10, 5, number),)),
        )
    assert not core.downstream.aggregator.local_request


def test_leader_keeps_grants_for_its_heartbeat_unless_they_are_late() -> None:
    core = door("d00")
    tell(core, 1, "d01", UpstreamReport(0, 1, (ask("d01"), ask("d09"))))
    tell(core, 1, "d02", UpstreamReport(0, 1, (ask("d02"),)))
    core.handle(1, RenewalWanted(ask("d00")))
    core.handle(1, RenewalWanted(ask("d00", 2, life=9)))
    core.handle(1, RenewalWanted(ask("d05")))
    (gathered,) = [
        action for action in core.handle(BEAT * 3 // 4, Tick()) if isinstance(action, RequestsCollected)
    ]
    assert gathered.requests == (ask("d00"), ask("d01"), ask("d09"), ask("d02"))
    assert RequestsCollected((ask("d00"), ask("d03"))) in tell(
        core, BEAT * 7 // 8, "d03", UpstreamReport(0, 1, (ask("d03"),))
    )
    grant = RenewalGrant("d09", 10, 5, 1)
    own = RenewalGrant("d00", 10, 5, 1)
    assert core.handle(BEAT * 7 // 8, GrantsIssued((grant, own))) == [LocalGrants((own,))]
    words = said(core.handle(BEAT, Tick()), DownstreamUpdate)
    assert words["d01"].grants == (grant,) and words["d02"].grants == ()
    late = RenewalGrant("d02", 10, 5, 1)
    assert set(said(core.handle(BEAT + 1, GrantsIssued((late,))), DownstreamUpdate)) == {"d02"}
    for at in range(400):
        core.handle(BEAT * 7 // 4, GrantsIssued((RenewalGrant(f"x{at}", 1, 1, 1),)))
    assert len(core.pending_grants) == MAX_MEMBERS


def test_heartbeats_that_arrive_late_together_are_forwarded_once() -> None:
    core = inner()
    tell(core, 2, "d09", UpstreamReport(0, 1))
    words = [
        said(tell(core, 2 * BEAT, "d00", DownstreamUpdate(3, number, "d00", 0, 0)), DownstreamUpdate)
        for number in range(2, 12)
    ]
    assert sum(map(len, words)) == 1
    assert core.tracker.last_heartbeat == (3, 11)
    assert not said(
        tell(core, 3 * BEAT, "d00", DownstreamUpdate(3, 5, "d00", 0, 0)), DownstreamUpdate
    )  # a replay


def test_stale_ballots_and_older_instances_change_nothing() -> None:
    core = inner()
    (answer,) = said(tell(core, 2, "d05", DownstreamUpdate(2, 99, "d07", 0, 0)), Redirect).values()
    assert (answer.ballot, answer.leader) == (3, "d00")
    core.handle(3, ClusterState(tuple(LIVES.values()), "d07", 2))
    tell(core, 3, "d05", Redirect("d07", 2, "d07"))
    assert (core.state.ballot, core.state.leader) == (3, "d00")
    assert not tell(core, 4, "d00", DownstreamUpdate(4, 1, "d00", 0, 0), life=9)
    assert core.state.ballot == 3
    tell(core, 4, "d09", UpstreamReport(0, 1), life=11)
    assert not tell(core, 5, "d09", UpstreamReport(7, 1), life=10)  # overtaken by its next life
    assert core.downstream.children.table["d09"].applied_position == 0


def test_leader_steps_down_on_a_higher_ballot() -> None:
    core = door("d00")
    tell(core, 1, "d01", UpstreamReport(0, 1, (ask("d01"),)))
    assert "d07" in said(tell(core, 2, "d01", Redirect("d07", 4, "d07")), UpstreamReport)
    assert not said(core.handle(BEAT, Tick()), DownstreamUpdate)
    assert not core.handle(BEAT, GrantsIssued((RenewalGrant("d00", 10, 5, 1),)))
    core.handle(BEAT, VIEW)  # of before
    assert not core.state.is_leader


def test_entries_are_sent_only_after_all_before_them_and_within_the_byte_limit() -> None:
    core = inner()
    tell(core, 2, "d09", UpstreamReport(0, 1))
    tell(core, 2, "d10", UpstreamReport(1, 1))
    core.handle(3, LogAdvanced(1, (entry(1),)))
    words = said(core.handle(4, LogAdvanced(3, (entry(2), entry(3)))), DownstreamUpdate)
    assert [one.position for one in words["d10"].entries] == [2, 3]
    assert [one.position for one in words["d09"].entries] == [1, 2, 3]
    core.handle(5, LogAdvanced(9, (entry(8), entry(9))))  # a snapshot, and what followed
    words = said(core.handle(6, LogAdvanced(10, (entry(10),))), DownstreamUpdate)
    assert words["d09"].entries == words["d10"].entries == () and words["d10"].applied_position == 10
    tell(core, 7, "d10", UpstreamReport(9, 1))
    tell(core, 7, "d10", UpstreamReport(8, 1))  # overtaken
    words = said(core.handle(7, LogAdvanced(11, (entry(11),))), DownstreamUpdate)
    assert [one.position for one in words["d10"].entries] == [10, 11]
    assert [
        one.position
        for one in said(tell(core, 7, "d11", UpstreamReport(10, 1)), DownstreamUpdate)["d11"].entries
    ] == [11]
    for position in range(12, 100):
        core.handle(8, LogAdvanced(position, (entry(position),)))
        assert len(core.downstream.forwarder.recent) <= MAX_ENTRIES
    for position in range(100, 200):
        for word in said(
            core.handle(8, LogAdvanced(position, (entry(position, b"x" * 5000),))), DownstreamUpdate
        ).values():
            assert len(msgspec.msgpack.encode(word.entries)) <= 32 << 10
        assert len(core.downstream.forwarder.recent) <= MAX_ENTRIES


def test_consecutive_entries_are_delivered_and_a_gap_is_fetched() -> None:
    core = inner()
    assert EntriesReceived((entry(1), entry(2))) in tell(
        core, 2, "d00", DownstreamUpdate(3, 1, "d00", 0, 2, (entry(1), entry(2)))
    )
    again = tell(core, 3, "d00", DownstreamUpdate(3, 1, "d00", 0, 3, (entry(1), entry(2), entry(3))))
    assert EntriesReceived((entry(3),)) in again and not any(
        isinstance(action, FetchEntries) for action in again
    )
    assert tell(core, 4, "d00", DownstreamUpdate(3, 1, "d00", 0, 7, (entry(7),))) == [FetchEntries("d00")]
    assert tell(core, 5, "d00", DownstreamUpdate(3, 1, "d00", 0, 8)) == []  # it was said just now
    core.handle(6, LogAdvanced(8))
    assert not tell(core, 7, "d00", DownstreamUpdate(3, 1, "d00", 0, 8, (entry(9), entry(11))))  # a hole
    # What the log was given and lost is fetched after a beat.
    assert EntriesReceived((entry(9),)) in tell(
        core, BEAT, "d00", DownstreamUpdate(3, 2, "d00", 0, 9, (entry(9),))
    )
    assert FetchEntries("d00") not in tell(core, BEAT * 2, "d00", DownstreamUpdate(3, 3, "d00", 0, 9))
    assert FetchEntries("d00") in tell(core, BEAT * 3, "d00", DownstreamUpdate(3, 4, "d00", 0, 9))
