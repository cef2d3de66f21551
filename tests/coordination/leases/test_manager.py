"""The lease manager: when it grants renewals, when it ends sessions, and when it does neither."""

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
END_DUE_US = TERMS.expiry_us + 1  # one microsecond more, because clock readings are truncated


class Harness:
    """A manager under ballot 7, with a session of `a` at position 1 and its `BecomeManager` at position 2."""

    def __init__(self, manages: bool = True) -> None:
        self.sessions, self.now_us, self.position = SessionRegistry(), 0, 0
        self.manager = LeaseManager(self.sessions, TERMS)
        self.apply(OpenSession(A))
        if manages:
            self.handle(LeaderChanged("k", 7, True))
            self.apply(BecomeManager(7))

    def handle(self, event: Any) -> Sequence[Any]:  # noqa: ANN401
        return self.manager.handle(self.now_us, event)

    def apply(self, body: Body, proposer: NodeInstance = A) -> Sequence[Any]:
        self.position += 1
        applied_entry = entry(self.position, body, proposer)
        return self.handle(Applied(applied_entry, self.sessions.apply(applied_entry)))

    def request_renewal(
        self, number: int, applied_position: int = 0, fencing_token: int = 1, instance: NodeInstance = A
    ) -> Sequence[Any]:
        return self.handle(
            RenewalsReceived(
                (RenewalRequest(instance.name, instance.number, fencing_token, number, applied_position),)
            )
        )

    def granted_numbers(self, token: int, ballot: int = 7) -> list[int]:
        """Confirm a round; returns the numbers of the requests that are then granted."""
        actions = self.handle(LeadershipConfirmed(token, ballot))
        return [
            grant.number for action in actions if isinstance(action, SendGrants) for grant in action.grants
        ]

    def propose_due_end(self) -> list[Propose]:
        """Advance to the next wake time and confirm the round; returns the proposals."""
        self.now_us = self.manager.wake_us
        [confirm] = self.handle(Tick())
        return [
            action
            for action in self.handle(LeadershipConfirmed(confirm.token, 7))
            if isinstance(action, Propose)
        ]


def test_renewal_is_granted_after_a_round_that_began_after_the_request() -> None:
    harness = Harness()
    [first] = harness.request_renewal(1)
    assert isinstance(first, ConfirmLeadership)
    assert harness.request_renewal(2) == [], "the pending round began before this request"
    first_grants, second = harness.handle(LeadershipConfirmed(first.token, 7))
    assert first_grants == SendGrants((RenewalGrant("a", 1, 1, 1),)) and isinstance(second, ConfirmLeadership)
    assert harness.granted_numbers(first.token) == [], "a confirmation is used once"
    assert harness.granted_numbers(second.token) == [2]


def test_later_round_also_confirms_the_requests_of_earlier_rounds() -> None:
    harness = Harness()
    [first] = harness.request_renewal(1)
    harness.apply(OpenSession(B), B)
    harness.request_renewal(1, fencing_token=3, instance=B)
    harness.now_us += RENEWAL_INTERVAL_US
    [second] = harness.handle(Tick())
    assert harness.granted_numbers(second.token) == [1, 1] and harness.granted_numbers(first.token) == []


def test_nothing_is_granted_under_another_ballot_or_without_leadership() -> None:
    harness = Harness()
    [confirm] = harness.request_renewal(1)
    harness.request_renewal(2)
    assert harness.granted_numbers(confirm.token, 6) == [] == harness.granted_numbers(confirm.token, 8)
    harness.handle(LeaderChanged("other", 8, False))
    assert (
        harness.granted_numbers(confirm.token) == []
        and harness.manager.wake_us == NEVER_US
        and harness.request_renewal(3) == []
    )
    harness.handle(LeaderChanged("k", 9, True))
    assert harness.apply(BecomeManager(9)) == []
    assert harness.granted_numbers(confirm.token, 9) == [], "requests of an earlier term are dropped"


def test_nothing_is_granted_or_ended_before_become_manager_is_applied() -> None:
    harness = Harness(manages=False)
    [propose] = harness.handle(LeaderChanged("k", 7, True))
    assert decode(propose.body) == BecomeManager(7) and harness.request_renewal(1) == []
    harness.now_us = 20 * SECOND_US
    assert harness.handle(Tick()) == [propose], "without a result it is repeated under the same id"
    harness.handle(ProposalFinished(propose.id, ProposalStatus.UNKNOWN))
    harness.now_us += RENEWAL_INTERVAL_US - 1
    harness.handle(ProposalFinished("another", ProposalStatus.UNKNOWN))
    harness.now_us += 1
    assert harness.handle(Tick()) == [propose], "it is repeated one interval after its own result is unknown"
    [confirm] = harness.apply(BecomeManager(7))
    [grants] = harness.handle(LeadershipConfirmed(confirm.token, 7))
    assert grants == SendGrants((RenewalGrant("a", 1, 1, 1),)), (
        "a request that arrived meanwhile is granted, and its session does not end"
    )


def test_manager_steps_down_when_a_later_one_is_in_the_log() -> None:
    harness = Harness()
    [confirm] = harness.request_renewal(1)
    harness.apply(BecomeManager(8), B)
    assert (
        harness.granted_numbers(confirm.token) == []
        and not harness.manager.manages
        and harness.manager.wake_us == NEVER_US
    )


def test_requests_for_another_session_and_old_requests_are_ignored() -> None:
    harness = Harness()
    assert (
        harness.request_renewal(1, fencing_token=2)
        == harness.request_renewal(1, instance=NodeInstance("a", 2))
        == harness.request_renewal(1, instance=B)
        == []
    )
    [confirm] = harness.request_renewal(4)
    assert harness.granted_numbers(confirm.token) == [4]
    assert harness.request_renewal(4) == harness.request_renewal(3) == []
    [confirm] = harness.request_renewal(6)
    harness.request_renewal(5)
    harness.apply(CloseSession(A, 1))
    assert harness.granted_numbers(confirm.token) == [], "the session was closed meanwhile"


def test_newest_request_of_the_latest_session_waits_for_the_round() -> None:
    harness = Harness()
    [first] = harness.request_renewal(1)
    for number in (5, 6, 5):
        harness.request_renewal(number)
    _, second = harness.handle(LeadershipConfirmed(first.token, 7))
    assert harness.granted_numbers(second.token) == [6]
    [third] = harness.request_renewal(7)
    harness.request_renewal(8)
    harness.apply(OpenSession(NodeInstance("a", 2)), NodeInstance("a", 2))
    harness.request_renewal(1, fencing_token=3, instance=NodeInstance("a", 2))
    [fourth] = harness.handle(LeadershipConfirmed(third.token, 7))
    assert harness.granted_numbers(fourth.token) == [1]


def test_duplicate_request_is_granted_once() -> None:
    harness = Harness()
    [first] = harness.request_renewal(1)
    harness.request_renewal(1)
    _, second = harness.handle(LeadershipConfirmed(first.token, 7))
    assert harness.granted_numbers(second.token) == []


def test_end_is_proposed_after_expiry_and_a_confirmed_round() -> None:
    harness = Harness()
    assert harness.manager.wake_us == END_DUE_US
    harness.now_us = END_DUE_US - 1
    assert harness.handle(Tick()) == []
    harness.now_us = END_DUE_US
    [confirm] = harness.handle(Tick())
    assert isinstance(confirm, ConfirmLeadership), "the end requires a leadership confirmation"
    [propose] = harness.handle(LeadershipConfirmed(confirm.token, 7))
    assert decode(propose.body) == EndSession(A, 1, 7) and harness.handle(Tick()) == []


def test_round_sent_before_the_end_was_due_does_not_confirm_it() -> None:
    harness = Harness()
    harness.now_us = END_DUE_US - 1
    harness.apply(OpenSession(B), B)
    [confirm] = harness.request_renewal(1, fencing_token=3, instance=B)
    harness.now_us = END_DUE_US
    assert [type(action) for action in harness.handle(LeadershipConfirmed(confirm.token, 7))] == [
        SendGrants,
        ConfirmLeadership,
    ]


def test_unconfirmed_rounds_end_nothing_and_are_bounded() -> None:
    harness = Harness()
    for _ in range(40):
        harness.now_us = harness.manager.wake_us
        [confirm] = harness.handle(Tick())
        assert isinstance(confirm, ConfirmLeadership)
    assert (
        len(harness.manager._rounds._unanswered) == MAX_UNANSWERED_ROUNDS
        and harness.now_us >= END_DUE_US + 39 * RENEWAL_INTERVAL_US
    )


def test_session_with_a_proposed_end_is_granted_nothing_and_the_end_is_repeated() -> None:
    harness = Harness()
    [propose] = harness.propose_due_end()
    for status in (ProposalStatus.UNKNOWN, ProposalStatus.REJECTED):
        harness.handle(ProposalFinished(propose.id, status))
        assert harness.manager.wake_us == harness.now_us + RENEWAL_INTERVAL_US
        assert harness.request_renewal(9) == [], "no grant, even if the end may not have been chosen"
        harness.handle(ProposalFinished("another", status))
        assert harness.manager.wake_us == harness.now_us + RENEWAL_INTERVAL_US
        harness.handle(LeaderChanged("k", 7, True))  # repeated notice
        assert harness.request_renewal(9) == []
        assert harness.propose_due_end() == [propose], "repeated under the same id"
        harness.handle(ProposalFinished("another", status))
        assert harness.manager.wake_us == harness.now_us + 5 * RENEWAL_INTERVAL_US
    harness.handle(ProposalFinished(propose.id, ProposalStatus.APPLIED))
    assert harness.request_renewal(10) == []


def test_request_that_waited_when_the_end_was_proposed_is_not_granted() -> None:
    harness = Harness()
    harness.now_us = END_DUE_US
    [confirm] = harness.handle(Tick())
    harness.request_renewal(1)  # too late for the round that confirms the end
    propose, second = harness.handle(LeadershipConfirmed(confirm.token, 7))
    assert isinstance(propose, Propose) and harness.granted_numbers(second.token) == []


def test_request_that_arrived_before_the_confirmed_round_is_granted_and_nothing_is_ended() -> None:
    harness = Harness()
    harness.now_us = END_DUE_US
    [first] = harness.handle(Tick())
    harness.request_renewal(1)
    harness.now_us += RENEWAL_INTERVAL_US
    [second] = harness.handle(Tick())
    assert (
        harness.granted_numbers(second.token) == [1]
        and harness.manager.wake_us == harness.now_us + END_DUE_US
    )
    assert first.token != second.token


def test_new_leader_counts_all_sessions_from_its_election() -> None:
    harness = Harness()
    harness.handle(LeaderChanged("other", 8, False))
    harness.now_us = 9 * SECOND_US
    harness.handle(LeaderChanged("k", 9, True))
    harness.apply(BecomeManager(9))
    assert harness.manager.wake_us == harness.now_us + END_DUE_US
    harness.handle(LeaderChanged("k", 9, True))  # repeated notice
    assert harness.manager.manages


def test_session_counts_from_when_its_opening_was_applied_here() -> None:
    harness = Harness()
    harness.now_us = 3 * SECOND_US
    harness.sessions.apply(entry(3, OpenSession(B), B))
    harness.handle(Restored(3))
    assert harness.manager.wake_us == END_DUE_US, "due for the session of a, which was opened first"
    harness.apply(CloseSession(A, 1))
    assert harness.manager.wake_us == 3 * SECOND_US + END_DUE_US and harness.manager.position == 3


def test_paused_manager_counts_from_when_it_granted() -> None:
    harness = Harness()
    [confirm] = harness.request_renewal(1)
    harness.now_us = 100 * SECOND_US  # paused between the round and its confirmation
    assert (
        harness.granted_numbers(confirm.token) == [1]
        and harness.manager.wake_us == 100 * SECOND_US + END_DUE_US
    )


def test_reported_position_never_decreases_and_belongs_to_one_session() -> None:
    harness = Harness()
    harness.now_us = SECOND_US
    harness.request_renewal(2, applied_position=5)
    harness.now_us = 2 * SECOND_US
    harness.request_renewal(1, applied_position=3)
    report = harness.manager.report("a", 1)
    assert report and (report.applied_position, report.received_at_us) == (5, 2 * SECOND_US)
    assert harness.manager.report("a", 2) is None and harness.manager.report("b", 1) is None
    harness.apply(OpenSession(NodeInstance("a", 2)), NodeInstance("a", 2))
    report = harness.manager.report("a", 3)
    assert report and (report.applied_position, report.received_at_us) == (0, None)
