"""The lease holder: what renews a session, and how the holder opens, backs off and releases."""

import random
from collections.abc import Sequence
from itertools import pairwise
from typing import Any

import pytest

from molereach.coordination.interface.core import NEVER_US, Tick
from molereach.coordination.interface.identifiers import SECOND_US, NodeInstance
from molereach.coordination.interface.log import (
    Applied,
    LeaderChanged,
    Outcome,
    ProposalFinished,
    ProposalStatus,
    Propose,
    Restored,
)
from molereach.coordination.interface.sessions import SessionTerms
from molereach.coordination.leases.bodies import Body, CloseSession, EndSession, OpenSession, decode
from molereach.coordination.leases.holder import LeaseHolder
from molereach.coordination.leases.messages import (
    RENEWAL_INTERVAL_US,
    GrantsReceived,
    LeaseAcquired,
    LeaseLost,
    LeasePhase,
    ReleaseLease,
    RenewalGrant,
    RenewalRequest,
)
from molereach.coordination.leases.renewals import MAX_PENDING_RENEWALS
from molereach.coordination.leases.sessions import SessionRegistry
from tests.coordination.leases.entries import A, B, entry
from tests.coordination.leases.mutants import GrantsMatchedByNumber

TERMS = SessionTerms()
LATER_US = 100 * SECOND_US


class Harness:
    """A holder and its replica, to which the test applies entries."""

    def __init__(
        self, instance: NodeInstance = A, holder_class: type[LeaseHolder] = LeaseHolder, start_us: int = 0
    ) -> None:
        self.sessions, self.now_us, self.position = SessionRegistry(), start_us, 0
        self.holder = holder_class(instance, self.sessions, TERMS, random.Random(1).random)
        self.instance = instance

    def handle(self, event: Any) -> Sequence[Any]:  # noqa: ANN401
        return self.holder.handle(self.now_us, event)

    def apply(
        self, body: Body | bytes, entry_id: str = "", proposer: NodeInstance | None = None
    ) -> Sequence[Any]:
        self.position += 1
        applied_entry = entry(self.position, body, proposer or self.instance, entry_id)
        return self.handle(Applied(applied_entry, self.sessions.apply(applied_entry)))

    def open(self) -> Sequence[Any]:
        """Open a session at once; returns the actions on its opening entry."""
        [propose] = self.handle(Tick())
        assert isinstance(propose, Propose) and decode(propose.body) == OpenSession(self.instance)
        return self.apply(propose.body, propose.id)

    def next_request(self) -> RenewalRequest:
        while True:
            self.now_us = max(self.now_us, self.holder.wake_us)
            for action in self.handle(Tick()):
                if isinstance(action, RenewalRequest):
                    return action

    def grant(self, request: RenewalRequest, **overrides: Any) -> Sequence[Any]:  # noqa: ANN401
        fields = {
            "name": request.name,
            "instance_number": request.instance_number,
            "fencing_token": request.fencing_token,
            "number": request.number,
        } | overrides
        return self.handle(GrantsReceived((RenewalGrant(**fields),)))

    @property
    def holds(self) -> bool:
        return self.holder.holds(self.now_us)


def test_session_counts_from_the_first_opening_proposal() -> None:
    harness = Harness()
    [first] = harness.handle(Tick())
    harness.now_us = 2 * SECOND_US
    harness.handle(ProposalFinished(first.id, ProposalStatus.UNKNOWN))
    harness.now_us = max(harness.now_us, harness.holder.wake_us)
    [repeated] = harness.handle(Tick())
    assert repeated == first, "the same id, because either attempt may be chosen"
    harness.now_us = 4 * SECOND_US
    assert LeaseAcquired(1) in harness.apply(first.body, first.id) and harness.holder.fencing_token == 1
    assert harness.holder.holds(TERMS.holder_duration_us - 1) and not harness.holder.holds(
        TERMS.holder_duration_us
    )


def test_session_whose_opening_was_chosen_too_late_needs_a_grant() -> None:
    harness = Harness()
    [propose] = harness.handle(Tick())
    harness.now_us = 6 * SECOND_US  # after the duration of a session, counted from the proposal
    [request] = harness.apply(propose.body, propose.id)
    assert not harness.holds and harness.holder.fencing_token == 0
    assert harness.grant(request) == [LeaseAcquired(1)] and harness.holds


def test_rejected_opening_is_proposed_under_a_new_id_and_counts_from_then() -> None:
    harness = Harness()
    [first] = harness.handle(Tick())
    harness.handle(ProposalFinished(first.id, ProposalStatus.REJECTED))
    assert harness.holder.wake_us > 0, "there is a backoff"
    harness.now_us = harness.holder.wake_us
    [second] = harness.handle(Tick())
    assert second.id != first.id
    harness.apply(second.body, second.id)
    assert harness.holder.holds(harness.now_us + TERMS.holder_duration_us - 1)


def test_session_counts_from_the_request_and_not_from_its_grant() -> None:
    harness = Harness()
    harness.open()
    request = harness.next_request()
    requested_us = harness.now_us
    harness.now_us += 2 * SECOND_US
    harness.grant(request)
    assert harness.holder.holds(requested_us + TERMS.holder_duration_us - 1) and not harness.holder.holds(
        requested_us + TERMS.holder_duration_us
    )


def test_grant_that_matches_no_pending_request_renews_nothing() -> None:
    harness = Harness()
    harness.open()
    request = harness.next_request()
    expires_at_us = TERMS.holder_duration_us
    for overrides in (
        {"name": "b"},
        {"instance_number": 2},
        {"fencing_token": 2},
        {"number": request.number + 1},
    ):
        harness.grant(request, **overrides)
        assert not harness.holder.holds(expires_at_us)
    harness.grant(request)
    assert harness.holder.holds(expires_at_us)


def test_old_and_duplicate_grants_and_those_of_dropped_requests_renew_nothing() -> None:
    harness = Harness()
    harness.open()
    first, second = harness.next_request(), harness.next_request()
    requested_us = harness.now_us
    harness.grant(second)
    for old in (first, second):
        harness.now_us += 100_000
        harness.grant(old)
        assert not harness.holder.holds(requested_us + TERMS.holder_duration_us)
    oldest = harness.next_request()
    for _ in range(MAX_PENDING_RENEWALS):
        harness.next_request()
    assert len(harness.holder._renewals._pending) == MAX_PENDING_RENEWALS
    harness.grant(oldest)
    assert not harness.holds


def test_request_numbers_continue_in_the_next_session() -> None:
    harness = Harness()
    harness.open()
    old = harness.next_request()
    harness.now_us = 6 * SECOND_US  # after the duration of the session
    proposals = [action for action in harness.apply(EndSession(A, 1, 0)) if isinstance(action, Propose)]
    harness.apply(proposals[0].body, proposals[0].id)
    assert harness.next_request().number > old.number


@pytest.mark.parametrize("holder_class, still_holds", [(LeaseHolder, False), (GrantsMatchedByNumber, True)])
def test_grant_to_an_earlier_instance_does_not_renew_the_next(
    holder_class: type[LeaseHolder], still_holds: bool
) -> None:
    """Guards against a session that outlives its expiry because of a grant to an earlier instance.

    The grant was in transit when the front door restarted, and request numbers start at 1 in each instance,
    so it has the number of a pending request. The holder rejects it for its instance number; the mutant
    compares only name and number. The new instance was granted nothing, so for the lease manager its session
    has expired `expiry_us` after its opening.
    """
    earlier = Harness(A, holder_class)
    earlier.open()
    old = earlier.next_request()
    restarted = Harness(NodeInstance("a", 2), holder_class, LATER_US)
    restarted.open()
    opened_us = restarted.now_us
    restarted.now_us += SECOND_US
    assert restarted.next_request().number == old.number
    restarted.grant(old)
    assert restarted.holder.holds(opened_us + TERMS.expiry_us) is still_holds


def test_session_lapses_by_itself_and_is_renewed_under_the_same_fencing_token() -> None:
    harness = Harness()
    harness.open()
    harness.next_request()
    lost = LeaseLost(1, "not renewed in time")
    harness.now_us = TERMS.holder_duration_us
    assert harness.handle(Tick())[0] == lost and harness.holder.fencing_token == 0
    assert LeaseAcquired(1) in harness.grant(harness.next_request()) and harness.holder.fencing_token == 1


def test_holder_wakes_when_its_session_lapses() -> None:
    harness = Harness()
    harness.open()
    for _ in range(20):
        harness.now_us = harness.holder.wake_us
        if any(isinstance(action, LeaseLost) for action in harness.handle(Tick())):
            break
    assert harness.now_us == TERMS.holder_duration_us


def test_holder_renews_every_interval_and_backs_off_to_ten_intervals_without_grants() -> None:
    harness = Harness()
    harness.open()
    request_times_us = []
    for _ in range(30):
        harness.next_request()
        request_times_us.append(harness.now_us)
    gaps_us = [later - earlier for earlier, later in pairwise(request_times_us)]
    assert (
        gaps_us[:8] == [RENEWAL_INTERVAL_US] * 8
        and gaps_us[-1] == 10 * RENEWAL_INTERVAL_US
        and max(gaps_us) == 10 * RENEWAL_INTERVAL_US
    )
    harness.handle(LeaderChanged("b", 2, False))
    harness.next_request()
    assert harness.now_us - request_times_us[-1] <= RENEWAL_INTERVAL_US, "a new leader may answer"
    harness.next_request()
    harness.grant(harness.next_request())
    assert (
        harness.now_us - request_times_us[-1] <= 4 * RENEWAL_INTERVAL_US
        and harness.holder.wake_us == harness.now_us + RENEWAL_INTERVAL_US
    )


def test_late_grant_ends_the_backoff() -> None:
    harness = Harness()
    harness.open()
    for _ in range(30):
        request = harness.next_request()
    harness.now_us += SECOND_US
    harness.grant(request)
    assert harness.holder.wake_us == harness.now_us + RENEWAL_INTERVAL_US


def test_proposal_is_not_repeated_before_its_timeout() -> None:
    harness = Harness()
    [propose] = harness.handle(Tick())
    harness.handle(ProposalFinished("another", ProposalStatus.REJECTED))
    assert (
        harness.apply(b"", proposer=B) == []
        and harness.holder.wake_us == propose.timeout_us + RENEWAL_INTERVAL_US
    )


def test_session_of_an_earlier_instance_is_not_adopted() -> None:
    harness = Harness(NodeInstance("a", 2))
    harness.sessions.apply(entry(1, OpenSession(A), A))
    assert [type(action) for action in harness.handle(Restored(1))] == [Propose]
    assert harness.holder.phase is LeasePhase.ABSENT


def test_result_of_the_opening_may_arrive_before_its_entry() -> None:
    harness = Harness()
    [propose] = harness.handle(Tick())
    harness.now_us = SECOND_US
    harness.handle(ProposalFinished(propose.id, ProposalStatus.APPLIED, None, 1))
    assert not harness.holds
    harness.apply(propose.body, propose.id)
    assert harness.holder.holds(TERMS.holder_duration_us - 1) and not harness.holder.holds(
        TERMS.holder_duration_us
    )


def test_grant_to_an_ended_session_does_not_renew_the_next() -> None:
    harness = Harness()
    harness.open()
    request = harness.next_request()
    harness.apply(EndSession(A, 1, 0))
    harness.sessions.apply(entry(9, OpenSession(A), A))
    harness.handle(Restored(9))
    harness.grant(request)
    assert not harness.holds


def test_openings_without_a_result_are_repeated_and_back_off_to_ten_intervals() -> None:
    harness, proposed_us = Harness(), []
    for _ in range(12):
        harness.now_us = max(harness.now_us, harness.holder.wake_us)
        [propose] = harness.handle(Tick())
        proposed_us.append(harness.now_us)
        harness.now_us += propose.timeout_us
        harness.handle(ProposalFinished(propose.id, ProposalStatus.UNKNOWN))
    assert proposed_us[-1] - proposed_us[-2] == 10 * RENEWAL_INTERVAL_US


def test_new_session_is_opened_only_after_the_end_was_applied_here() -> None:
    harness = Harness()
    harness.open()
    harness.now_us = 20 * SECOND_US
    harness.next_request()  # unanswered: the session may have ended, but its end was not applied here
    assert all(not isinstance(action, Propose) for action in harness.handle(Tick()))
    [propose] = harness.apply(EndSession(A, 1, 0))
    assert decode(propose.body) == OpenSession(A)
    # The proposal's result alone does not open the session at the holder: all entries up to its position
    # must be applied here.
    harness.handle(
        ProposalFinished(
            propose.id, ProposalStatus.APPLIED, harness.sessions.apply(entry(9, OpenSession(A), A)), 9
        )
    )
    assert not harness.holds and harness.holder.phase is LeasePhase.ABSENT
    harness.handle(Applied(entry(8, b"", B), Outcome("-")))  # the replica is ahead of the events
    assert harness.holder.phase is LeasePhase.ABSENT
    assert harness.handle(Restored(9)) and harness.holder.phase is LeasePhase.OPEN


def test_session_from_a_snapshot_needs_a_grant() -> None:
    harness = Harness()
    harness.handle(Tick())
    harness.sessions.apply(entry(4, OpenSession(A), A))
    [request] = harness.handle(Restored(4))
    assert not harness.holds and request == RenewalRequest("a", 1, 4, 1, 4)
    assert harness.grant(request) == [LeaseAcquired(4)]


def test_session_ended_before_its_opening_is_applied_here_is_replaced_by_a_new_proposal() -> None:
    harness = Harness()
    [propose] = harness.handle(Tick())
    outcome = harness.sessions.apply(entry(4, OpenSession(A), A))
    harness.sessions.apply(entry(5, EndSession(A, 4, 0)))
    harness.handle(Restored(5))
    harness.handle(ProposalFinished(propose.id, ProposalStatus.APPLIED, outcome, 4))
    harness.now_us = harness.holder.wake_us
    [next_proposal] = harness.handle(Tick())
    assert next_proposal.id != propose.id


def test_opening_rejected_by_the_state_machine_is_proposed_under_a_new_id() -> None:
    harness = Harness()
    [propose] = harness.handle(Tick())
    harness.apply(b"", propose.id)
    harness.handle(ProposalFinished(propose.id, ProposalStatus.APPLIED, Outcome("refused"), 1))
    harness.now_us = harness.holder.wake_us
    [next_proposal] = harness.handle(Tick())
    assert next_proposal.id != propose.id


def test_session_opened_by_another_proposal_needs_a_grant() -> None:
    harness = Harness()
    harness.handle(Tick())
    [request] = harness.apply(OpenSession(A), "another")
    assert not harness.holds and harness.grant(request) == [LeaseAcquired(1)]


def test_later_instance_of_the_name_ends_the_holder_for_good() -> None:
    harness = Harness()
    harness.open()
    assert harness.apply(OpenSession(NodeInstance("a", 2)), proposer=NodeInstance("a", 2)) == [
        LeaseLost(1, "a later life has the name")
    ]
    harness.now_us = LATER_US
    assert not harness.handle(Tick()) and not harness.holds and harness.holder.phase is LeasePhase.SUPERSEDED


def test_applied_position_is_that_of_the_newest_granted_request() -> None:
    harness = Harness()
    harness.open()
    for _ in range(3):
        harness.apply(b"", proposer=B)
    request = harness.next_request()
    assert request.applied_position == 4 and harness.holder.applied_position == 0
    harness.apply(b"", proposer=B)
    later = harness.next_request()
    harness.grant(later)
    harness.grant(request)
    assert harness.holder.applied_position == 5, "unchanged by a late grant of an older request"


def test_entries_about_other_nodes_change_nothing() -> None:
    harness = Harness()
    [propose] = harness.apply(OpenSession(B), proposer=B)  # the holder's own opening, due at any first event
    harness.apply(propose.body, propose.id)
    assert harness.holds and harness.apply(CloseSession(B, 1), proposer=B) == [] and harness.holds


def test_released_session_is_invalid_at_once_and_its_close_is_repeated() -> None:
    harness = Harness()
    harness.open()
    request = harness.next_request()
    lost, close = harness.handle(ReleaseLease())
    assert lost == LeaseLost(1, "leaves") and decode(close.body) == CloseSession(A, 1) and not harness.holds
    harness.grant(request)
    assert not harness.holds
    retry_us = harness.now_us + close.timeout_us + RENEWAL_INTERVAL_US
    harness.now_us += RENEWAL_INTERVAL_US
    harness.handle(ProposalFinished("another", ProposalStatus.REJECTED))
    assert harness.holder.wake_us == retry_us, "one interval after the proposal timeout"
    harness.handle(ProposalFinished(close.id, ProposalStatus.REJECTED))
    assert harness.holder.wake_us == harness.now_us + RENEWAL_INTERVAL_US
    harness.now_us = harness.holder.wake_us
    assert harness.handle(Tick()) == [close]
    harness.apply(close.body, close.id)
    assert harness.holder.phase is LeasePhase.LEFT
    harness.now_us = LATER_US
    assert harness.handle(Tick()) == [] and harness.handle(LeaderChanged("b", 2, False)) == []
    harness.now_us = harness.holder.wake_us
    assert harness.handle(Tick()) == [] and harness.holder.wake_us == NEVER_US


def test_release_before_opening_closes_a_session_that_is_opened_late() -> None:
    harness = Harness()
    [propose] = harness.handle(Tick())
    assert harness.handle(ReleaseLease()) == [] and harness.holder.phase is LeasePhase.LEAVING
    harness.handle(ProposalFinished(propose.id, ProposalStatus.UNKNOWN))
    harness.handle(ReleaseLease())  # a second release changes nothing
    assert harness.holder.phase is LeasePhase.LEFT
    [close] = harness.apply(propose.body, propose.id)
    assert decode(close.body) == CloseSession(A, 1) and not harness.holds
    idle = Harness()
    idle.handle(ReleaseLease())
    idle.handle(ReleaseLease())  # a second release changes nothing
    assert idle.holder.phase is LeasePhase.LEFT and idle.handle(Tick()) == []


def test_reason_of_a_lost_session_is_not_reported_for_the_next() -> None:
    harness = Harness()
    harness.open()
    harness.now_us = 6 * SECOND_US  # after the duration of the session, so it has lapsed
    harness.handle(Tick())
    [propose] = harness.apply(EndSession(A, 1, 0))
    harness.apply(propose.body, propose.id)
    harness.now_us += TERMS.holder_duration_us
    # The fencing token of the new session is the position of its opening, the last entry.
    assert harness.handle(Tick())[0] == LeaseLost(harness.position, "not renewed in time")
