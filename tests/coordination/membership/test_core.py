"""One core, event by event: what it sends, whom it suspects, and when it blames itself."""

import random
from itertools import pairwise

import pytest

from molereach.coordination.interface.identifiers import SECOND_US
from molereach.coordination.membership.core import Membership
from molereach.coordination.membership.events import Join, LocalHealthChanged
from molereach.coordination.membership.messages import Ack, Nack, Ping, PingReq, Rumour, Sync
from molereach.coordination.membership.probes import MAX_RELAYS
from tests.coordination.membership.single_core import (
    ALIVE,
    DEAD,
    INTERVAL_US,
    LOCAL,
    SETTINGS,
    SUSPECT,
    SingleCore,
    ack_pings,
    sent_messages,
)

# --- probes ---


def test_each_member_is_probed_within_two_rounds() -> None:
    single = SingleCore("a", "b", "c", "d")
    single.run(40 * INTERVAL_US, ack_pings)
    probed = [sent.recipient for sent in sent_messages(single.actions) if isinstance(sent.message, Ping)]
    for name in "abcd":
        places = [place for place, other in enumerate(probed) if other == name]
        assert max(after - earlier for earlier, after in pairwise(places)) <= 7
    assert len(probed) == 40 and not single.changed(SUSPECT)


def test_without_a_direct_ack_three_helpers_are_asked_and_one_ack_suffices() -> None:
    single = SingleCore("a", "b", "c", "d", "e")
    target, ping = single.until(Ping)
    began = single.now_us
    ping_requests = sent_messages(single.tick())
    assert single.now_us == began + SETTINGS.ping_timeout_us
    assert len({sent.recipient for sent in ping_requests}) == 3 and target not in {
        sent.recipient for sent in ping_requests
    }
    assert all((sent.message.seq, sent.message.name) == (ping.seq, target) for sent in ping_requests)
    single.receive(ping_requests[0].recipient, Ack(ping.seq))
    single.run(INTERVAL_US, ack_pings)
    assert not single.changed(SUSPECT) and single.core.local_health_score == 0


@pytest.mark.parametrize("wrong", ["seq", "sender"])
def test_ack_of_another_probe_does_not_count(wrong: str) -> None:
    single = SingleCore("a", "b")
    target, ping = single.until(Ping)
    other = "b" if target == "a" else "a"
    single.receive(target if wrong == "seq" else other, Ack(ping.seq + (wrong == "seq")))
    single.run(INTERVAL_US)
    assert target in single.changed(SUSPECT)


def test_helper_forwards_the_ack() -> None:
    single = SingleCore("a", "b")
    (ping,) = sent_messages(single.receive("a", PingReq(77, "b", 1)))
    assert ping.recipient == "b" and ping.instance_number == 1 and isinstance(ping.message, Ping)
    assert not sent_messages(single.receive("a", Ack(ping.message.seq)))  # not from whom it was asked of
    (ack,) = sent_messages(single.receive("b", Ack(ping.message.seq)))
    assert (ack.recipient, ack.message.seq, ack.instance_number) == ("a", 77, 1) and isinstance(
        ack.message, Ack
    )


def test_helper_sends_a_nack_in_time_and_a_late_ack_still_counts() -> None:
    single = SingleCore("a", "b")
    ping_requests = single.now_us
    (ping,) = sent_messages(single.receive("a", PingReq(77, "b", 1)))
    to, nack = single.until(Nack)
    assert (to, nack.seq) == ("a", 77) and single.now_us - ping_requests < SETTINGS.ping_timeout_us
    assert single.core.wake_us > single.now_us  # it is said once
    single.now_us += SECOND_US // 50
    assert any(
        isinstance(sent.message, Ack) for sent in sent_messages(single.receive("b", Ack(ping.message.seq)))
    )


def test_relayed_pings_are_bounded() -> None:
    single = SingleCore("a")
    pings = [
        sent
        for number in range(1_000)
        for sent in sent_messages(single.receive("a", PingReq(number, "x", 1)))
    ]
    assert len(pings) == MAX_RELAYS
    single.run(2 * INTERVAL_US, ack_pings)
    assert any(sent.recipient == "x" for sent in sent_messages(single.receive("a", PingReq(0, "x", 1))))


# --- doubt ---


@pytest.mark.parametrize(("nacks", "score"), [(3, 0), (2, 1), (0, 3)])
def test_silent_helpers_lower_local_health(nacks: int, score: int) -> None:
    single = SingleCore("a", "b", "c", "d")
    target, ping = single.until(Ping)
    helpers = [sent.recipient for sent in sent_messages(single.tick())]
    for name in helpers[:nacks]:
        single.receive(name, Nack(ping.seq))
    for name in helpers[nacks:]:
        single.receive(name, Nack(ping.seq + 1))  # to something else
    single.receive(target, Nack(ping.seq))  # that was not asked
    single.tick()
    assert single.core.local_health_score == score
    assert (LocalHealthChanged(score) in single.actions) == (score > 0)


def test_poor_local_health_lengthens_interval_and_timeout() -> None:
    single = SingleCore("a", "b", "c", "d")
    single.until(Ping)
    single.tick()
    began = single.now_us + (INTERVAL_US - SETTINGS.ping_timeout_us)
    single.until(Ping)
    assert single.now_us == began and single.core.local_health_score == 3
    single.tick()
    assert single.now_us == began + 4 * SETTINGS.ping_timeout_us
    single.until(Ping)
    assert single.now_us == began + 4 * INTERVAL_US


def test_suspected_member_refutes_at_once_and_lowers_its_local_health() -> None:
    single = SingleCore("a", "b")
    refuted = sent_messages(single.receive("a", Ping(1, (Rumour("me", 5, 0, SUSPECT, "b"),))))
    assert {sent.recipient for sent in refuted} == {"a", "b"}
    assert all(Rumour("me", 5, 1, ALIVE) in sent.message.rumours for sent in refuted)
    assert single.core.local_health_score == 1 and single.actions.count(LocalHealthChanged(1)) == 1
    (ack,) = sent_messages(
        single.receive("b", Ping(2, (Rumour("me", 5, 0, DEAD, "b"),)))
    )  # old: it was refuted before
    assert Rumour("me", 5, 1, ALIVE) in ack.message.rumours and single.core.local_health_score == 1
    refuted = sent_messages(single.receive("b", Ping(2, (Rumour("me", 5, 1, DEAD, "b"),))))
    assert all(Rumour("me", 5, 2, ALIVE) in sent.message.rumours for sent in refuted)


def test_accused_member_is_notified_by_its_accuser() -> None:
    single = SingleCore("a", "b", "c")
    target, _ = single.until(Ping)
    single.tick()
    (accusation,) = [sent for sent in sent_messages(single.tick()) if sent.recipient == target]
    assert (
        Rumour(target, 1, 0, SUSPECT, "me") in accusation.message.rumours
        and single.core.status(target) is SUSPECT
    )


def test_accuser_of_an_earlier_incarnation_does_not_count() -> None:
    single = SingleCore("a", "b", "c", "d")
    single.receive("b", Ping(1, (Rumour("a", 1, 1, SUSPECT, "b"),)))
    single.receive("c", Ping(1, (Rumour("a", 1, 0, SUSPECT, "c"),)))
    single.receive("d", Ping(1, (Rumour("a", 1, 1, SUSPECT, "d"),)))
    assert single.core._states.suspicions["a"].accusers == {"b", "d"}


def test_own_name_among_the_seeds_is_not_contacted() -> None:
    core = Membership(LOCAL, SETTINGS, random.Random(1).random)
    assert {sent.recipient for sent in sent_messages(core.handle(SECOND_US, Join(("me", "x", "x"))))} == {"x"}


def test_suspect_is_notified_of_its_suspicion_in_every_message() -> None:
    single = SingleCore("a", "b")
    many = tuple(Rumour(f"n{number}", 1, 0, ALIVE) for number in range(100))
    single.receive("b", Sync((Rumour("a", 1, 0, SUSPECT, "b"), *many)))
    for _ in range(40):
        (ack,) = sent_messages(single.receive("a", Ping(1)))
        assert Rumour("a", 1, 0, SUSPECT, "b") in ack.message.rumours


def test_poor_local_health_does_not_delay_retries_of_dead_members() -> None:
    single = SingleCore("a", "b")
    single.receive("a", Ping(1, (Rumour("b", 1, 0, DEAD, "a"),)))
    for incarnation in range(8):
        single.receive("a", Ping(1, (Rumour("me", 5, incarnation, SUSPECT, "a"),)))
    earlier = len(single.actions)
    single.run(100 * INTERVAL_US)  # nobody answers, so a dies too
    syncs = [sent for sent in sent_messages(single.actions[earlier:]) if isinstance(sent.message, Sync)]
    assert single.core.local_health_score == SETTINGS.max_local_health_score and len(syncs) >= 5
    assert any(Rumour("b", 1, 0, DEAD, "a") in sent.message.rumours for sent in syncs)
