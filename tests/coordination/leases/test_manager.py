"""The keeper: when it gives, when it ends a session, and when it does neither."""

from collections.abc import Sequence
from typing import Any

from molereach.coordination.interface.core import NEVER_US, Tick
from molereach.coordination.interface.identifiers import SECOND_US, NodeInstance
from molereach.coordination.interface.log import (
    Applied,
    ConfirmLeadership,
    LeaderChanged,
    LeadershipConfirmed,
    ProposalFinished,
    ProposalStatus,
    Propose,
    Restored,
)
from molereach.coordination.interface.sessions import RenewalGrant, RenewalRequest, SessionTerms
from molereach.coordination.leases.bodies import (
    BecomeManager,
    Body,
    CloseSession,
    EndSession,
    OpenSession,
    decode,
)
from molereach.coordination.leases.manager import LeaseManager
from molereach.coordination.leases.messages import RENEWAL_INTERVAL_US, RenewalsReceived, SendGrants
from molereach.coordination.leases.rounds import MAX_UNANSWERED_ROUNDS
from molereach.coordination.leases.sessions import SessionRegistry
from tests.coordination.leases.entries import A, B, entry

TERMS = SessionTerms()
OVER_US = TERMS.expiry_us + 1  # by whole microseconds of a clock


class Harness:
    """A keeper at ballot 7, with a session of `a` opened at position 1 and its `Keeping` at position 2."""

    def __init__(self, manages: bool = True) -> None:
        self.sessions, self.now, self.position = SessionRegistry(), 0, 0
        self.manager = LeaseManager(self.sessions, TERMS)
        self.settle(OpenSession(A))
        if manages:
            self.handle(LeaderChanged("k", 7, True))
            self.settle(BecomeManager(7))

    def handle(self, event: Any) -> Sequence[Any]:  # noqa: ANN401
        return self.manager.handle(self.now, event)

    def settle(self, body: Body, proposer: NodeInstance = A) -> Sequence[Any]:
        self.position += 1
        step = entry(self.position, body, proposer)
        return self.handle(Applied(step, self.sessions.apply(step)))

    def asked(
        self, number: int, applied: int = 0, fencing_token: int = 1, instance: NodeInstance = A
    ) -> Sequence[Any]:
        return self.handle(
            RenewalsReceived(
                (RenewalRequest(instance.name, instance.number, fencing_token, number, applied),)
            )
        )

    def given(self, token: int, ballot: int = 7) -> list[int]:
        """The numbers of the asks that are given upon a confirmation."""
        actions = self.handle(LeadershipConfirmed(token, ballot))
        return [grant.number for each in actions if isinstance(each, SendGrants) for grant in each.grants]

    def ends(self) -> list[Propose]:
        """Go to where the end is due and confirm."""
        self.now = self.manager.wake_us
        [confirm] = self.handle(Tick())
        return [
            each for each in self.handle(LeadershipConfirmed(confirm.token, 7)) if isinstance(each, Propose)
        ]


def test_a_renewal_is_given_after_a_round_that_began_after_the_request() -> None:
    harness = Harness()
    [first] = harness.asked(1)
    assert isinstance(first, ConfirmLeadership)
    assert harness.asked(2) == [], "the round that is out began before this ask"
    first_given, second = harness.handle(LeadershipConfirmed(first.token, 7))
    assert first_given == SendGrants((RenewalGrant("a", 1, 1, 1),)) and isinstance(second, ConfirmLeadership)
    assert harness.given(first.token) == [], "an answer counts once"
    assert harness.given(second.token) == [2]


def test_a_later_round_lets_pass_what_waited_for_an_earlier_one() -> None:
    harness = Harness()
    [first] = harness.asked(1)
    harness.settle(OpenSession(B), B)
    harness.asked(1, fencing_token=3, instance=B)
    harness.now += RENEWAL_INTERVAL_US
    [second] = harness.handle(Tick())
    assert harness.given(second.token) == [1, 1] and harness.given(first.token) == []


def test_nothing_is_given_under_another_ballot_or_by_one_that_does_not_lead() -> None:
    harness = Harness()
    [confirm] = harness.asked(1)
    harness.asked(2)
    assert harness.given(confirm.token, 6) == [] == harness.given(confirm.token, 8)
    harness.handle(LeaderChanged("other", 8, False))
    assert (
        harness.given(confirm.token) == [] and harness.manager.wake_us == NEVER_US and harness.asked(3) == []
    )
    harness.handle(LeaderChanged("k", 9, True))
    assert harness.settle(BecomeManager(9)) == []
    assert harness.given(confirm.token, 9) == [], "what was asked of its earlier time is void"


def test_nothing_is_given_or_ended_before_its_own_takeover_is_in_the_log() -> None:
    harness = Harness(manages=False)
    [propose] = harness.handle(LeaderChanged("k", 7, True))
    assert decode(propose.body) == BecomeManager(7) and harness.asked(1) == []
    harness.now = 20 * SECOND_US
    assert harness.handle(Tick()) == [propose], "no word came: again, with the same id"
    harness.handle(ProposalFinished(propose.id, ProposalStatus.UNKNOWN))
    harness.now += RENEWAL_INTERVAL_US - 1
    harness.handle(ProposalFinished("another", ProposalStatus.UNKNOWN))
    harness.now += 1
    assert harness.handle(Tick()) == [propose], "a beat after no word on its own"
    [confirm] = harness.settle(BecomeManager(7))
    [given] = harness.handle(LeadershipConfirmed(confirm.token, 7))
    assert given == SendGrants((RenewalGrant("a", 1, 1, 1),)), (
        "what was asked meanwhile is given, and not ended"
    )


def test_it_gives_way_to_a_later_lease_manager_before_it_is_notified() -> None:
    harness = Harness()
    [confirm] = harness.asked(1)
    harness.settle(BecomeManager(8), B)
    assert (
        harness.given(confirm.token) == []
        and not harness.manager.manages
        and harness.manager.wake_us == NEVER_US
    )


def test_requests_that_are_not_of_the_open_session_or_not_new_are_passed_over() -> None:
    harness = Harness()
    assert (
        harness.asked(1, fencing_token=2)
        == harness.asked(1, instance=NodeInstance("a", 2))
        == harness.asked(1, instance=B)
        == []
    )
    [confirm] = harness.asked(4)
    assert harness.given(confirm.token) == [4]
    assert harness.asked(4) == harness.asked(3) == []
    [confirm] = harness.asked(6)
    harness.asked(5)
    harness.settle(CloseSession(A, 1))
    assert harness.given(confirm.token) == [], "closed since"


def test_the_newest_request_of_a_session_waits_and_of_two_sessions_the_later_ones() -> None:
    harness = Harness()
    [first] = harness.asked(1)
    for number in (5, 6, 5):
        harness.asked(number)
    _, second = harness.handle(LeadershipConfirmed(first.token, 7))
    assert harness.given(second.token) == [6]
    [third] = harness.asked(7)
    harness.asked(8)
    harness.settle(OpenSession(NodeInstance("a", 2)), NodeInstance("a", 2))
    harness.asked(1, fencing_token=3, instance=NodeInstance("a", 2))
    [fourth] = harness.handle(LeadershipConfirmed(third.token, 7))
    assert harness.given(fourth.token) == [1]


def test_a_request_that_came_twice_is_given_once() -> None:
    harness = Harness()
    [first] = harness.asked(1)
    harness.asked(1)
    _, second = harness.handle(LeadershipConfirmed(first.token, 7))
    assert harness.given(second.token) == []


def test_an_end_is_proposed_after_the_time_and_once_it_is_confirmed() -> None:
    harness = Harness()
    assert harness.manager.wake_us == OVER_US
    harness.now = OVER_US - 1
    assert harness.handle(Tick()) == []
    harness.now = OVER_US
    [confirm] = harness.handle(Tick())
    assert isinstance(confirm, ConfirmLeadership), "an end waits for a word from the panel"
    [propose] = harness.handle(LeadershipConfirmed(confirm.token, 7))
    assert decode(propose.body) == EndSession(A, 1, 7) and harness.handle(Tick()) == []


def test_a_round_from_before_the_end_was_due_does_not_let_it_pass() -> None:
    harness = Harness()
    harness.now = OVER_US - 1
    harness.settle(OpenSession(B), B)
    [confirm] = harness.asked(1, fencing_token=3, instance=B)
    harness.now = OVER_US
    assert [type(each) for each in harness.handle(LeadershipConfirmed(confirm.token, 7))] == [
        SendGrants,
        ConfirmLeadership,
    ]


def test_without_a_confirmation_nothing_is_ended_and_rounds_are_bounded() -> None:
    harness = Harness()
    for _ in range(40):
        harness.now = harness.manager.wake_us
        [confirm] = harness.handle(Tick())
        assert isinstance(confirm, ConfirmLeadership)
    assert (
        len(harness.manager._rounds._unanswered) == MAX_UNANSWERED_ROUNDS
        and harness.now >= OVER_US + 39 * RENEWAL_INTERVAL_US
    )


def test_what_was_proposed_as_ended_is_given_nothing_more_and_is_proposed_again() -> None:
    harness = Harness()
    [propose] = harness.ends()
    for over in (ProposalStatus.UNKNOWN, ProposalStatus.REJECTED):
        harness.handle(ProposalFinished(propose.id, over))
        assert harness.manager.wake_us == harness.now + RENEWAL_INTERVAL_US
        assert harness.asked(9) == [], "held back, also where the end is not certain"
        harness.handle(ProposalFinished("another", over))
        assert harness.manager.wake_us == harness.now + RENEWAL_INTERVAL_US
        harness.handle(LeaderChanged("k", 7, True))  # told again
        assert harness.asked(9) == []
        assert harness.ends() == [propose], "with the same id"
        harness.handle(ProposalFinished("another", over))
        assert harness.manager.wake_us == harness.now + 5 * RENEWAL_INTERVAL_US
    harness.handle(ProposalFinished(propose.id, ProposalStatus.APPLIED))
    assert harness.asked(10) == []


def test_a_request_that_waited_when_the_end_was_proposed_is_not_given() -> None:
    harness = Harness()
    harness.now = OVER_US
    [confirm] = harness.handle(Tick())
    harness.asked(1)  # after the round that lets the end pass
    propose, second = harness.handle(LeadershipConfirmed(confirm.token, 7))
    assert isinstance(propose, Propose) and harness.given(second.token) == []


def test_a_request_that_came_in_time_of_the_round_is_given_and_nothing_is_ended() -> None:
    harness = Harness()
    harness.now = OVER_US
    [first] = harness.handle(Tick())
    harness.asked(1)
    harness.now += RENEWAL_INTERVAL_US
    [second] = harness.handle(Tick())
    assert harness.given(second.token) == [1] and harness.manager.wake_us == harness.now + OVER_US
    assert first.token != second.token


def test_a_new_leader_takes_all_as_given_when_it_was_elected() -> None:
    harness = Harness()
    harness.handle(LeaderChanged("other", 8, False))
    harness.now = 9 * SECOND_US
    harness.handle(LeaderChanged("k", 9, True))
    harness.settle(BecomeManager(9))
    assert harness.manager.wake_us == harness.now + OVER_US
    harness.handle(LeaderChanged("k", 9, True))  # told again
    assert harness.manager.manages


def test_a_session_counts_from_when_its_opening_was_applied_here() -> None:
    harness = Harness()
    harness.now = 3 * SECOND_US
    harness.sessions.apply(entry(3, OpenSession(B), B))
    harness.handle(Restored(3))
    assert harness.manager.wake_us == OVER_US, "that of a, which was open before"
    harness.settle(CloseSession(A, 1))
    assert harness.manager.wake_us == 3 * SECOND_US + OVER_US and harness.manager.position == 3


def test_a_lease_manager_that_was_stopped_counts_from_when_it_gave() -> None:
    harness = Harness()
    [confirm] = harness.asked(1)
    harness.now = 100 * SECOND_US  # stopped between the round and its answer
    assert harness.given(confirm.token) == [1] and harness.manager.wake_us == 100 * SECOND_US + OVER_US


def test_what_was_said_only_grows_and_is_of_one_session() -> None:
    harness = Harness()
    harness.now = SECOND_US
    harness.asked(2, applied=5)
    harness.now = 2 * SECOND_US
    harness.asked(1, applied=3)
    kept = harness.manager.report("a", 1)
    assert kept and (kept.applied_position, kept.received_at_us) == (5, 2 * SECOND_US)
    assert harness.manager.report("a", 2) is None and harness.manager.report("b", 1) is None
    harness.settle(OpenSession(NodeInstance("a", 2)), NodeInstance("a", 2))
    kept = harness.manager.report("a", 3)
    assert kept and (kept.applied_position, kept.received_at_us) == (0, None)
