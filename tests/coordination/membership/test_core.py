"""A single core, event by event: messages sent, members suspected, and local health."""

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
        positions = [position for position, other in enumerate(probed) if other == name]
        assert max(after - earlier for earlier, after in pairwise(positions)) <= 7
    assert len(probed) == 40 and not single.changed_to(SUSPECT)


def test_without_a_direct_ack_three_helpers_are_asked_and_one_ack_suffices() -> None:
    single = SingleCore("a", "b", "c", "d", "e")
    target, ping = single.run_until_sent(Ping)
    started_us = single.now_us
    ping_requests = sent_messages(single.tick())
    assert single.now_us == started_us + SETTINGS.ping_timeout_us
    assert len({sent.recipient for sent in ping_requests}) == 3 and target not in {
        sent.recipient for sent in ping_requests
    }
    assert all((sent.message.seq, sent.message.name) == (ping.seq, target) for sent in ping_requests)
    single.receive(ping_requests[0].recipient, Ack(ping.seq))
    single.run(INTERVAL_US, ack_pings)
    assert not single.changed_to(SUSPECT) and single.core.local_health_score == 0


@pytest.mark.parametrize("wrong_field", ["seq", "sender"])
def test_ack_of_another_probe_is_ignored(wrong_field: str) -> None:
    single = SingleCore("a", "b")
    target, ping = single.run_until_sent(Ping)
    other = "b" if target == "a" else "a"
    single.receive(target if wrong_field == "seq" else other, Ack(ping.seq + (wrong_field == "seq")))
    single.run(INTERVAL_US)
    assert target in single.changed_to(SUSPECT)


def test_helper_forwards_the_ack() -> None:
    single = SingleCore("a", "b")
    (ping,) = sent_messages(single.receive("a", PingReq(77, "b", 1)))
    assert ping.recipient == "b" and ping.instance_number == 1 and isinstance(ping.message, Ping)
    # From another member than the target.
    assert not sent_messages(single.receive("a", Ack(ping.message.seq)))
    (ack,) = sent_messages(single.receive("b", Ack(ping.message.seq)))
    assert (ack.recipient, ack.message.seq, ack.instance_number) == ("a", 77, 1) and isinstance(
        ack.message, Ack
    )


def test_helper_sends_a_nack_in_time_and_a_late_ack_still_counts() -> None:
    single = SingleCore("a", "b")
    requested_us = single.now_us
    (ping,) = sent_messages(single.receive("a", PingReq(77, "b", 1)))
    recipient, nack = single.run_until_sent(Nack)
    assert (recipient, nack.seq) == ("a", 77) and single.now_us - requested_us < SETTINGS.ping_timeout_us
    assert single.core.wake_us > single.now_us  # the nack is sent only once
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


# --- local health and suspicions ---


@pytest.mark.parametrize(("nacks", "score"), [(3, 0), (2, 1), (0, 3)])
def test_silent_helpers_lower_local_health(nacks: int, score: int) -> None:
    single = SingleCore("a", "b", "c", "d")
    target, ping = single.run_until_sent(Ping)
    helpers = [sent.recipient for sent in sent_messages(single.tick())]
    for name in helpers[:nacks]:
        single.receive(name, Nack(ping.seq))
    for name in helpers[nacks:]:
        single.receive(name, Nack(ping.seq + 1))  # for another probe
    single.receive(target, Nack(ping.seq))  # from the target, which is no helper
    single.tick()
    assert single.core.local_health_score == score
    assert (LocalHealthChanged(score) in single.actions) == (score > 0)


def test_poor_local_health_lengthens_interval_and_timeout() -> None:
    single = SingleCore("a", "b", "c", "d")
    single.run_until_sent(Ping)
    single.tick()
    started_us = single.now_us + (INTERVAL_US - SETTINGS.ping_timeout_us)
    single.run_until_sent(Ping)
    assert single.now_us == started_us and single.core.local_health_score == 3
    single.tick()
    assert single.now_us == started_us + 4 * SETTINGS.ping_timeout_us
    single.run_until_sent(Ping)
    assert single.now_us == started_us + 4 * INTERVAL_US


def test_suspect_refutes_at_once_and_lowers_its_local_health() -> None:
    single = SingleCore("a", "b")
    refutations = sent_messages(single.receive("a", Ping(1, (Rumour("me", 5, 0, SUSPECT, "b"),))))
    assert {sent.recipient for sent in refutations} == {"a", "b"}
    assert all(Rumour("me", 5, 1, ALIVE) in sent.message.rumours for sent in refutations)
    assert single.core.local_health_score == 1 and single.actions.count(LocalHealthChanged(1)) == 1
    # About an incarnation that was already refuted.
    (ack,) = sent_messages(single.receive("b", Ping(2, (Rumour("me", 5, 0, DEAD, "b"),))))
    assert Rumour("me", 5, 1, ALIVE) in ack.message.rumours and single.core.local_health_score == 1
    refutations = sent_messages(single.receive("b", Ping(2, (Rumour("me", 5, 1, DEAD, "b"),))))
    assert all(Rumour("me", 5, 2, ALIVE) in sent.message.rumours for sent in refutations)


def test_suspect_is_notified_by_its_accuser() -> None:
    single = SingleCore("a", "b", "c")
    target, _ = single.run_until_sent(Ping)
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
    single.run(100 * INTERVAL_US)  # nobody replies, so a is declared dead too
    syncs = [sent for sent in sent_messages(single.actions[earlier:]) if isinstance(sent.message, Sync)]
    assert single.core.local_health_score == SETTINGS.max_local_health_score and len(syncs) >= 5
    assert any(Rumour("b", 1, 0, DEAD, "a") in sent.message.rumours for sent in syncs)
