"""Full exchanges of rumours, and the bounds on the stored state."""

from molereach.coordination.interface.identifiers import MAX_MEMBERS, SECOND_US
from molereach.coordination.membership.messages import Ping, Rumour, Sync
from tests.coordination.membership.single_core import (
    ALIVE,
    DEAD,
    INTERVAL_US,
    SETTINGS,
    SUSPECT,
    SingleCore,
    ack_pings,
    sent_messages,
)


def test_death_in_a_full_list_is_only_a_suspicion() -> None:
    single = SingleCore("a", "b", "c")
    single.receive("a", Sync((Rumour("b", 1, 0, DEAD, "a"),)))
    assert single.core.status("b") is SUSPECT
    single.receive("a", Ping(1, (Rumour("c", 1, 0, DEAD, "a"),)))
    assert single.core.status("c") is DEAD


def test_sync_request_is_answered_with_all_rumours() -> None:
    names = [f"n{number:03}" for number in range(200)]
    single = SingleCore(*names)
    answer = sent_messages(single.receive("n000", Sync((), wants_reply=True)))
    assert {rumour.name for sent in answer for rumour in sent.message.rumours} == {"me", *names}
    assert all(sent.recipient == "n000" and not sent.message.wants_reply for sent in answer)


def test_full_list_is_sent_periodically_and_asks_for_one_reply() -> None:
    single = SingleCore(*(f"n{number:03}" for number in range(200)))
    single.run(46 * INTERVAL_US, ack_pings)
    reply_requests = [
        sent.message.wants_reply for sent in sent_messages(single.actions) if isinstance(sent.message, Sync)
    ]
    assert reply_requests and reply_requests == [False, True] * (len(reply_requests) // 2)


def test_ten_thousand_invented_names_do_not_affect_live_members() -> None:
    single = SingleCore("a", "b")
    for start in range(0, 10_000, 100):
        invented = tuple(Rumour(f"x{start + number}", 1, 0, SUSPECT, f"y{number}") for number in range(100))
        single.receive("a", Sync(invented))
        single.receive("a", Ping(1, invented))
    states = single.core._states
    assert len(single.core.live_instances()) == MAX_MEMBERS and single.core.status("b") is ALIVE
    limit = MAX_MEMBERS * (SETTINGS.confirmations + 1)
    assert len(states.gossip.transmissions) <= limit and len(states.suspicions) < MAX_MEMBERS
    single.run(300 * SECOND_US, lambda sent: ack_pings(sent) if sent.recipient in ("a", "b") else None)
    assert [instance.name for instance in single.core.live_instances()] == ["a", "b", "me"]


def test_dead_members_are_forgotten_and_no_list_brings_them_back() -> None:
    single = SingleCore("a", "b")
    single.receive("a", Ping(1, (Rumour("b", 1, 0, DEAD, "a"),)))
    single.run(
        SETTINGS.forget_us - INTERVAL_US, lambda sent: ack_pings(sent) if sent.recipient == "a" else None
    )
    assert single.core.status("b") is DEAD
    single.run(2 * INTERVAL_US, lambda sent: ack_pings(sent) if sent.recipient == "a" else None)
    assert single.core.status("b") is None
    single.receive("a", Sync((Rumour("b", 1, 0, DEAD, "a"),)))
    assert single.core.status("b") is None
