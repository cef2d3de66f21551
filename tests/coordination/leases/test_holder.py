"""The holder: what renews, what does not, and how it opens, backs off and leaves."""

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
from tests.coordination.leases.mutants import NumbersUsedAgain

TERMS = SessionTerms()
LATER = 100 * SECOND_US


class Harness:
    """A holder, its replica, and a log that settles what it is told to."""

    def __init__(
        self, instance: NodeInstance = A, holder: type[LeaseHolder] = LeaseHolder, at_us: int = 0
    ) -> None:
        self.sessions, self.now, self.position = SessionRegistry(), at_us, 0
        self.holder = holder(instance, self.sessions, TERMS, random.Random(1).random)
        self.instance = instance

    def handle(self, event: Any) -> Sequence[Any]:  # noqa: ANN401
        return self.holder.handle(self.now, event)

    def settle(
        self, body: Body | bytes, name: str = "", proposer: NodeInstance | None = None
    ) -> Sequence[Any]:
        self.position += 1
        step = entry(self.position, body, proposer or self.instance, name)
        return self.handle(Applied(step, self.sessions.apply(step)))

    def open(self) -> Sequence[Any]:
        """Open at once; the actions on its entry."""
        [propose] = self.handle(Tick())
        assert isinstance(propose, Propose) and decode(propose.body) == OpenSession(self.instance)
        return self.settle(propose.body, propose.id)

    def request(self) -> RenewalRequest:
        while True:
            self.now = max(self.now, self.holder.wake_us)
            for each in self.handle(Tick()):
                if isinstance(each, RenewalRequest):
                    return each

    def grant(self, request: RenewalRequest, **changed: Any) -> Sequence[Any]:  # noqa: ANN401
        fields = {
            "name": request.name,
            "instance_number": request.instance_number,
            "fencing_token": request.fencing_token,
            "number": request.number,
        } | changed
        return self.handle(GrantsReceived((RenewalGrant(**fields),)))

    @property
    def holds(self) -> bool:
        return self.holder.holds(self.now)


def test_it_counts_from_when_the_opening_was_proposed_first() -> None:
    harness = Harness()
    [first] = harness.handle(Tick())
    harness.now = 2 * SECOND_US
    harness.handle(ProposalFinished(first.id, ProposalStatus.UNKNOWN))
    harness.now = max(harness.now, harness.holder.wake_us)
    [again] = harness.handle(Tick())
    assert again == first, "the same id, as either may be settled"
    harness.now = 4 * SECOND_US
    assert LeaseAcquired(1) in harness.settle(first.body, first.id) and harness.holder.fencing_token == 1
    assert harness.holder.holds(TERMS.holder_duration_us - 1) and not harness.holder.holds(
        TERMS.holder_duration_us
    )


def test_an_opening_settled_too_late_is_renewed_by_a_grant() -> None:
    harness = Harness()
    [propose] = harness.handle(Tick())
    harness.now = 6 * SECOND_US
    [request] = harness.settle(propose.body, propose.id)
    assert not harness.holds and harness.holder.fencing_token == 0
    assert harness.grant(request) == [LeaseAcquired(1)] and harness.holds


def test_a_refused_opening_is_proposed_anew_and_counts_from_then() -> None:
    harness = Harness()
    [first] = harness.handle(Tick())
    harness.handle(ProposalFinished(first.id, ProposalStatus.REJECTED))
    assert harness.holder.wake_us > 0, "not at once"
    harness.now = harness.holder.wake_us
    [second] = harness.handle(Tick())
    assert second.id != first.id
    harness.settle(second.body, second.id)
    assert harness.holder.holds(harness.now + TERMS.holder_duration_us - 1)


def test_a_session_counts_from_the_request_and_not_from_its_grant() -> None:
    harness = Harness()
    harness.open()
    request = harness.request()
    asked_us = harness.now
    harness.now += 2 * SECOND_US
    harness.grant(request)
    assert harness.holder.holds(asked_us + TERMS.holder_duration_us - 1) and not harness.holder.holds(
        asked_us + TERMS.holder_duration_us
    )


def test_what_is_not_for_a_pending_request_of_this_session_renews_nothing() -> None:
    harness = Harness()
    harness.open()
    request = harness.request()
    until_us = TERMS.holder_duration_us
    for changed in (
        {"name": "b"},
        {"instance_number": 2},
        {"fencing_token": 2},
        {"number": request.number + 1},
    ):
        harness.grant(request, **changed)
        assert not harness.holder.holds(until_us)
    harness.grant(request)
    assert harness.holder.holds(until_us)


def test_old_and_doubled_grants_and_grants_of_dropped_requests_renew_nothing() -> None:
    harness = Harness()
    harness.open()
    first, second = harness.request(), harness.request()
    asked_us = harness.now
    harness.grant(second)
    for old in (first, second):
        harness.now += 100_000
        harness.grant(old)
        assert not harness.holder.holds(asked_us + TERMS.holder_duration_us)
    oldest = harness.request()
    for _ in range(MAX_PENDING_RENEWALS):
        harness.request()
    assert len(harness.holder._renewals._pending) == MAX_PENDING_RENEWALS
    harness.grant(oldest)
    assert not harness.holds


def test_numbers_go_on_when_the_session_is_opened_anew() -> None:
    harness = Harness()
    harness.open()
    old = harness.request()
    harness.now = 6 * SECOND_US
    reopened = [each for each in harness.settle(EndSession(A, 1, 0)) if isinstance(each, Propose)]
    harness.settle(reopened[0].body, reopened[0].id)
    assert harness.request().number > old.number


@pytest.mark.parametrize("holder, wrong", [(LeaseHolder, False), (NumbersUsedAgain, True)])
def test_a_grant_to_an_earlier_instance_renews_nothing_of_the_next(
    holder: type[LeaseHolder], wrong: bool
) -> None:
    """The grant was on its way when the front door started anew; nothing was given to the new life, so by its
    keeper's count it is over `expiry_us` after its opening."""
    before = Harness(A, holder)
    before.open()
    old = before.request()
    again = Harness(NodeInstance("a", 2), holder, LATER)
    again.open()
    opened_us = again.now
    again.now += SECOND_US
    assert again.request().number == old.number
    again.grant(old)
    assert again.holder.holds(opened_us + TERMS.expiry_us) is wrong


def test_it_is_over_by_itself_and_says_so_and_is_renewed_under_the_same_fencing_token() -> None:
    harness = Harness()
    harness.open()
    harness.request()
    late = LeaseLost(1, "not renewed in time")
    harness.now = TERMS.holder_duration_us
    assert harness.handle(Tick())[0] == late and harness.holder.fencing_token == 0
    assert LeaseAcquired(1) in harness.grant(harness.request()) and harness.holder.fencing_token == 1


def test_it_wakes_when_its_time_is_over() -> None:
    harness = Harness()
    harness.open()
    for _ in range(20):
        harness.now = harness.holder.wake_us
        if any(isinstance(each, LeaseLost) for each in harness.handle(Tick())):
            break
    assert harness.now == TERMS.holder_duration_us


def test_it_renews_each_interval_while_it_holds_and_backs_off_to_ten_intervals() -> None:
    harness = Harness()
    harness.open()
    asked = []
    for _ in range(30):
        harness.request()
        asked.append(harness.now)
    gaps = [later - earlier for earlier, later in pairwise(asked)]
    assert (
        gaps[:8] == [RENEWAL_INTERVAL_US] * 8
        and gaps[-1] == 10 * RENEWAL_INTERVAL_US
        and max(gaps) == 10 * RENEWAL_INTERVAL_US
    )
    harness.handle(LeaderChanged("b", 2, False))
    harness.request()
    assert harness.now - asked[-1] <= RENEWAL_INTERVAL_US, "one that may answer leads"
    harness.request()
    harness.grant(harness.request())
    assert (
        harness.now - asked[-1] <= 4 * RENEWAL_INTERVAL_US
        and harness.holder.wake_us == harness.now + RENEWAL_INTERVAL_US
    )


def test_after_a_long_time_without_an_answer_a_grant_brings_the_beat_back() -> None:
    harness = Harness()
    harness.open()
    for _ in range(30):
        request = harness.request()
    harness.now += SECOND_US
    harness.grant(request)
    assert harness.holder.wake_us == harness.now + RENEWAL_INTERVAL_US


def test_a_proposal_is_not_made_again_before_the_log_has_had_its_time() -> None:
    harness = Harness()
    [propose] = harness.handle(Tick())
    harness.handle(ProposalFinished("another", ProposalStatus.REJECTED))
    assert (
        harness.settle(b"", proposer=B) == []
        and harness.holder.wake_us == propose.timeout_us + RENEWAL_INTERVAL_US
    )


def test_the_session_of_an_earlier_instance_is_not_taken_for_its_own() -> None:
    harness = Harness(NodeInstance("a", 2))
    harness.sessions.apply(entry(1, OpenSession(A), A))
    assert [type(each) for each in harness.handle(Restored(1))] == [Propose]
    assert harness.holder.phase is LeasePhase.ABSENT


def test_the_result_that_it_is_applied_may_come_before_the_entry() -> None:
    harness = Harness()
    [propose] = harness.handle(Tick())
    harness.now = SECOND_US
    harness.handle(ProposalFinished(propose.id, ProposalStatus.APPLIED, None, 1))
    assert not harness.holds
    harness.settle(propose.body, propose.id)
    assert harness.holder.holds(TERMS.holder_duration_us - 1) and not harness.holder.holds(
        TERMS.holder_duration_us
    )


def test_a_grant_to_an_ended_session_renews_nothing_of_the_next() -> None:
    harness = Harness()
    harness.open()
    request = harness.request()
    harness.settle(EndSession(A, 1, 0))
    harness.sessions.apply(entry(9, OpenSession(A), A))
    harness.handle(Restored(9))
    harness.grant(request)
    assert not harness.holds


def test_openings_without_an_answer_are_made_again_and_back_off_to_ten_intervals() -> None:
    harness, made = Harness(), []
    for _ in range(12):
        harness.now = max(harness.now, harness.holder.wake_us)
        [propose] = harness.handle(Tick())
        made.append(harness.now)
        harness.now += propose.timeout_us
        harness.handle(ProposalFinished(propose.id, ProposalStatus.UNKNOWN))
    assert made[-1] - made[-2] == 10 * RENEWAL_INTERVAL_US


def test_it_opens_anew_only_once_its_end_was_applied_here() -> None:
    harness = Harness()
    harness.open()
    harness.now = 20 * SECOND_US
    harness.request()  # nobody answers: its session may be over, but it has not applied so
    assert all(not isinstance(each, Propose) for each in harness.handle(Tick()))
    [propose] = harness.settle(EndSession(A, 1, 0))
    assert decode(propose.body) == OpenSession(A)
    # The log's word alone does not open it: what was settled up to there must have been applied here.
    harness.handle(
        ProposalFinished(
            propose.id, ProposalStatus.APPLIED, harness.sessions.apply(entry(9, OpenSession(A), A)), 9
        )
    )
    assert not harness.holds and harness.holder.phase is LeasePhase.ABSENT
    harness.handle(Applied(entry(8, b"", B), Outcome("-")))  # the replica is ahead of what it was told
    assert harness.holder.phase is LeasePhase.ABSENT
    assert harness.handle(Restored(9)) and harness.holder.phase is LeasePhase.OPEN


def test_a_session_that_came_by_snapshot_holds_by_a_grant_alone() -> None:
    harness = Harness()
    harness.handle(Tick())
    harness.sessions.apply(entry(4, OpenSession(A), A))
    [request] = harness.handle(Restored(4))
    assert not harness.holds and request == RenewalRequest("a", 1, 4, 1, 4)
    assert harness.grant(request) == [LeaseAcquired(4)]


def test_an_opening_that_is_over_before_it_is_seen_here_is_made_anew_with_another_id() -> None:
    harness = Harness()
    [propose] = harness.handle(Tick())
    outcome = harness.sessions.apply(entry(4, OpenSession(A), A))
    harness.sessions.apply(entry(5, EndSession(A, 4, 0)))
    harness.handle(Restored(5))
    harness.handle(ProposalFinished(propose.id, ProposalStatus.APPLIED, outcome, 4))
    harness.now = harness.holder.wake_us
    [again] = harness.handle(Tick())
    assert again.id != propose.id


def test_a_proposal_that_a_rule_refuses_is_not_made_again() -> None:
    harness = Harness()
    [propose] = harness.handle(Tick())
    harness.settle(b"", propose.id)
    harness.handle(ProposalFinished(propose.id, ProposalStatus.APPLIED, Outcome("refused"), 1))
    harness.now = harness.holder.wake_us
    [again] = harness.handle(Tick())
    assert again.id != propose.id


def test_one_that_another_proposal_opened_than_the_one_under_way_holds_by_a_grant_alone() -> None:
    harness = Harness()
    harness.handle(Tick())
    [request] = harness.settle(OpenSession(A), "another")
    assert not harness.holds and harness.grant(request) == [LeaseAcquired(1)]


def test_a_later_instance_of_its_name_ends_it_for_good() -> None:
    harness = Harness()
    harness.open()
    assert harness.settle(OpenSession(NodeInstance("a", 2)), proposer=NodeInstance("a", 2)) == [
        LeaseLost(1, "a later life has the name")
    ]
    harness.now = LATER
    assert not harness.handle(Tick()) and not harness.holds and harness.holder.phase is LeasePhase.SUPERSEDED


def test_it_tells_what_it_has_applied_and_knows_what_was_heard() -> None:
    harness = Harness()
    harness.open()
    for _ in range(3):
        harness.settle(b"", proposer=B)
    request = harness.request()
    assert request.applied_position == 4 and harness.holder.applied_position == 0
    harness.settle(b"", proposer=B)
    later = harness.request()
    harness.grant(later)
    harness.grant(request)
    assert harness.holder.applied_position == 5, "also where an older grant comes late"


def test_entries_of_others_change_nothing() -> None:
    harness = Harness()
    [propose] = harness.settle(OpenSession(B), proposer=B)
    harness.settle(propose.body, propose.id)
    assert harness.holds and harness.settle(CloseSession(B, 1), proposer=B) == [] and harness.holds


def test_it_does_not_hold_from_the_moment_it_closes() -> None:
    harness = Harness()
    harness.open()
    request = harness.request()
    lost, close = harness.handle(ReleaseLease())
    assert lost == LeaseLost(1, "leaves") and decode(close.body) == CloseSession(A, 1) and not harness.holds
    harness.grant(request)
    assert not harness.holds
    again_us = harness.now + close.timeout_us + RENEWAL_INTERVAL_US
    harness.now += RENEWAL_INTERVAL_US
    harness.handle(ProposalFinished("another", ProposalStatus.REJECTED))
    assert harness.holder.wake_us == again_us, "a beat after the log should have said how it ended"
    harness.handle(ProposalFinished(close.id, ProposalStatus.REJECTED))
    assert harness.holder.wake_us == harness.now + RENEWAL_INTERVAL_US
    harness.now = harness.holder.wake_us
    assert harness.handle(Tick()) == [close]
    harness.settle(close.body, close.id)
    assert harness.holder.phase is LeasePhase.LEFT
    harness.now = LATER
    assert harness.handle(Tick()) == [] and harness.handle(LeaderChanged("b", 2, False)) == []
    harness.now = harness.holder.wake_us
    assert harness.handle(Tick()) == [] and harness.holder.wake_us == NEVER_US


def test_one_that_leaves_before_it_was_opened_closes_what_is_settled_late() -> None:
    harness = Harness()
    [propose] = harness.handle(Tick())
    assert harness.handle(ReleaseLease()) == [] and harness.holder.phase is LeasePhase.LEAVING
    harness.handle(ProposalFinished(propose.id, ProposalStatus.UNKNOWN))
    harness.handle(ReleaseLease())
    assert harness.holder.phase is LeasePhase.LEFT
    [close] = harness.settle(propose.body, propose.id)
    assert decode(close.body) == CloseSession(A, 1) and not harness.holds
    idle = Harness()
    idle.handle(ReleaseLease())
    idle.handle(ReleaseLease())
    assert idle.holder.phase is LeasePhase.LEFT and idle.handle(Tick()) == []


def test_why_it_was_lost_is_not_reported_for_the_next_session() -> None:
    harness = Harness()
    harness.open()
    harness.now = 6 * SECOND_US
    harness.handle(Tick())
    [propose] = harness.settle(EndSession(A, 1, 0))
    harness.settle(propose.body, propose.id)
    harness.now += TERMS.holder_duration_us
    assert harness.handle(Tick())[0] == LeaseLost(harness.position, "not renewed in time")
