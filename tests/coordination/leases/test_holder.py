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


class Here:
    """A holder, its replica, and a log that settles what it is told to."""

    def __init__(
        self, life: NodeInstance = A, holder: type[LeaseHolder] = LeaseHolder, at_us: int = 0
    ) -> None:
        self.sessions, self.now, self.position = SessionRegistry(), at_us, 0
        self.holder = holder(life, self.sessions, TERMS, random.Random(1).random)
        self.life = life

    def handle(self, event: Any) -> Sequence[Any]:  # noqa: ANN401
        return self.holder.handle(self.now, event)

    def settle(
        self, body: Body | bytes, name: str = "", proposer: NodeInstance | None = None
    ) -> Sequence[Any]:
        self.position += 1
        step = entry(self.position, body, proposer or self.life, name)
        return self.handle(Applied(step, self.sessions.apply(step)))

    def open(self) -> Sequence[Any]:
        """Open at once; the actions on its entry."""
        [propose] = self.handle(Tick())
        assert isinstance(propose, Propose) and decode(propose.body) == OpenSession(self.life)
        return self.settle(propose.body, propose.id)

    def ask(self) -> RenewalRequest:
        while True:
            self.now = max(self.now, self.holder.wake_us)
            for each in self.handle(Tick()):
                if isinstance(each, RenewalRequest):
                    return each

    def grant(self, ask: RenewalRequest, **changed: Any) -> Sequence[Any]:  # noqa: ANN401
        fields = {
            "name": ask.name,
            "instance_number": ask.instance_number,
            "fencing_token": ask.fencing_token,
            "number": ask.number,
        } | changed
        return self.handle(GrantsReceived((RenewalGrant(**fields),)))

    @property
    def holds(self) -> bool:
        return self.holder.holds(self.now)


def test_it_counts_from_when_the_opening_was_proposed_first() -> None:
    here = Here()
    [first] = here.handle(Tick())
    here.now = 2 * SECOND_US
    here.handle(ProposalFinished(first.id, ProposalStatus.UNKNOWN))
    here.now = max(here.now, here.holder.wake_us)
    [again] = here.handle(Tick())
    assert again == first, "the same id, as either may be settled"
    here.now = 4 * SECOND_US
    assert LeaseAcquired(1) in here.settle(first.body, first.id) and here.holder.fencing_token == 1
    assert here.holder.holds(TERMS.holder_duration_us - 1) and not here.holder.holds(TERMS.holder_duration_us)


def test_an_opening_settled_too_late_is_renewed_by_a_grant() -> None:
    here = Here()
    [propose] = here.handle(Tick())
    here.now = 6 * SECOND_US
    [ask] = here.settle(propose.body, propose.id)
    assert not here.holds and here.holder.fencing_token == 0
    assert here.grant(ask) == [LeaseAcquired(1)] and here.holds


def test_a_refused_opening_is_proposed_anew_and_counts_from_then() -> None:
    here = Here()
    [first] = here.handle(Tick())
    here.handle(ProposalFinished(first.id, ProposalStatus.REJECTED))
    assert here.holder.wake_us > 0, "not at once"
    here.now = here.holder.wake_us
    [second] = here.handle(Tick())
    assert second.id != first.id
    here.settle(second.body, second.id)
    assert here.holder.holds(here.now + TERMS.holder_duration_us - 1)


def test_a_session_counts_from_the_ask_and_not_from_its_grant() -> None:
    here = Here()
    here.open()
    ask = here.ask()
    asked_us = here.now
    here.now += 2 * SECOND_US
    here.grant(ask)
    assert here.holder.holds(asked_us + TERMS.holder_duration_us - 1) and not here.holder.holds(
        asked_us + TERMS.holder_duration_us
    )


def test_what_is_not_for_an_open_ask_of_this_session_renews_nothing() -> None:
    here = Here()
    here.open()
    ask = here.ask()
    until_us = TERMS.holder_duration_us
    for changed in ({"name": "b"}, {"instance_number": 2}, {"fencing_token": 2}, {"number": ask.number + 1}):
        here.grant(ask, **changed)
        assert not here.holder.holds(until_us)
    here.grant(ask)
    assert here.holder.holds(until_us)


def test_old_and_doubled_grants_and_grants_of_forgotten_asks_renew_nothing() -> None:
    here = Here()
    here.open()
    first, second = here.ask(), here.ask()
    asked_us = here.now
    here.grant(second)
    for old in (first, second):
        here.now += 100_000
        here.grant(old)
        assert not here.holder.holds(asked_us + TERMS.holder_duration_us)
    oldest = here.ask()
    for _ in range(MAX_PENDING_RENEWALS):
        here.ask()
    assert len(here.holder._renewals._pending) == MAX_PENDING_RENEWALS
    here.grant(oldest)
    assert not here.holds


def test_numbers_go_on_when_the_session_is_opened_anew() -> None:
    here = Here()
    here.open()
    old = here.ask()
    here.now = 6 * SECOND_US
    reopened = [each for each in here.settle(EndSession(A, 1, 0)) if isinstance(each, Propose)]
    here.settle(reopened[0].body, reopened[0].id)
    assert here.ask().number > old.number


@pytest.mark.parametrize("holder, wrong", [(LeaseHolder, False), (NumbersUsedAgain, True)])
def test_a_grant_to_an_earlier_life_renews_nothing_of_the_next(
    holder: type[LeaseHolder], wrong: bool
) -> None:
    """The grant was on its way when the front door started anew; nothing was given to the new life, so by its
    keeper's count it is over `expiry_us` after its opening."""
    before = Here(A, holder)
    before.open()
    old = before.ask()
    again = Here(NodeInstance("a", 2), holder, LATER)
    again.open()
    opened_us = again.now
    again.now += SECOND_US
    assert again.ask().number == old.number
    again.grant(old)
    assert again.holder.holds(opened_us + TERMS.expiry_us) is wrong


def test_it_is_over_by_itself_and_says_so_and_is_renewed_under_the_same_fence() -> None:
    here = Here()
    here.open()
    here.ask()
    late = LeaseLost(1, "not renewed in time")
    here.now = TERMS.holder_duration_us
    assert here.handle(Tick())[0] == late and here.holder.fencing_token == 0
    assert LeaseAcquired(1) in here.grant(here.ask()) and here.holder.fencing_token == 1


def test_it_wakes_when_its_time_is_over() -> None:
    here = Here()
    here.open()
    for _ in range(20):
        here.now = here.holder.wake_us
        if any(isinstance(each, LeaseLost) for each in here.handle(Tick())):
            break
    assert here.now == TERMS.holder_duration_us


def test_it_asks_each_beat_while_it_holds_and_backs_off_to_ten_beats() -> None:
    here = Here()
    here.open()
    asked = []
    for _ in range(30):
        here.ask()
        asked.append(here.now)
    gaps = [later - earlier for earlier, later in pairwise(asked)]
    assert (
        gaps[:8] == [RENEWAL_INTERVAL_US] * 8
        and gaps[-1] == 10 * RENEWAL_INTERVAL_US
        and max(gaps) == 10 * RENEWAL_INTERVAL_US
    )
    here.handle(LeaderChanged("b", 2, False))
    here.ask()
    assert here.now - asked[-1] <= RENEWAL_INTERVAL_US, "one that may answer leads"
    here.ask()
    here.grant(here.ask())
    assert (
        here.now - asked[-1] <= 4 * RENEWAL_INTERVAL_US
        and here.holder.wake_us == here.now + RENEWAL_INTERVAL_US
    )


def test_after_a_long_time_without_an_answer_a_grant_brings_the_beat_back() -> None:
    here = Here()
    here.open()
    for _ in range(30):
        ask = here.ask()
    here.now += SECOND_US
    here.grant(ask)
    assert here.holder.wake_us == here.now + RENEWAL_INTERVAL_US


def test_a_proposal_is_not_made_again_before_the_log_has_had_its_time() -> None:
    here = Here()
    [propose] = here.handle(Tick())
    here.handle(ProposalFinished("another", ProposalStatus.REJECTED))
    assert (
        here.settle(b"", proposer=B) == [] and here.holder.wake_us == propose.timeout_us + RENEWAL_INTERVAL_US
    )


def test_the_session_of_an_earlier_life_is_not_taken_for_its_own() -> None:
    here = Here(NodeInstance("a", 2))
    here.sessions.apply(entry(1, OpenSession(A), A))
    assert [type(each) for each in here.handle(Restored(1))] == [Propose]
    assert here.holder.phase is LeasePhase.ABSENT


def test_the_word_that_it_is_settled_may_come_before_the_entry() -> None:
    here = Here()
    [propose] = here.handle(Tick())
    here.now = SECOND_US
    here.handle(ProposalFinished(propose.id, ProposalStatus.APPLIED, None, 1))
    assert not here.holds
    here.settle(propose.body, propose.id)
    assert here.holder.holds(TERMS.holder_duration_us - 1) and not here.holder.holds(TERMS.holder_duration_us)


def test_a_grant_to_an_ended_session_renews_nothing_of_the_next() -> None:
    here = Here()
    here.open()
    ask = here.ask()
    here.settle(EndSession(A, 1, 0))
    here.sessions.apply(entry(9, OpenSession(A), A))
    here.handle(Restored(9))
    here.grant(ask)
    assert not here.holds


def test_openings_without_an_answer_are_made_again_and_back_off_to_ten_beats() -> None:
    here, made = Here(), []
    for _ in range(12):
        here.now = max(here.now, here.holder.wake_us)
        [propose] = here.handle(Tick())
        made.append(here.now)
        here.now += propose.timeout_us
        here.handle(ProposalFinished(propose.id, ProposalStatus.UNKNOWN))
    assert made[-1] - made[-2] == 10 * RENEWAL_INTERVAL_US


def test_it_opens_anew_only_once_its_end_was_applied_here() -> None:
    here = Here()
    here.open()
    here.now = 20 * SECOND_US
    here.ask()  # nobody answers: its session may be over, but it has not applied so
    assert all(not isinstance(each, Propose) for each in here.handle(Tick()))
    [propose] = here.settle(EndSession(A, 1, 0))
    assert decode(propose.body) == OpenSession(A)
    # The log's word alone does not open it: what was settled up to there must have been applied here.
    here.handle(
        ProposalFinished(
            propose.id, ProposalStatus.APPLIED, here.sessions.apply(entry(9, OpenSession(A), A)), 9
        )
    )
    assert not here.holds and here.holder.phase is LeasePhase.ABSENT
    here.handle(Applied(entry(8, b"", B), Outcome("-")))  # the replica is ahead of what it was told
    assert here.holder.phase is LeasePhase.ABSENT
    assert here.handle(Restored(9)) and here.holder.phase is LeasePhase.OPEN


def test_a_session_that_came_by_snapshot_is_held_by_a_grant_alone() -> None:
    here = Here()
    here.handle(Tick())
    here.sessions.apply(entry(4, OpenSession(A), A))
    [ask] = here.handle(Restored(4))
    assert not here.holds and ask == RenewalRequest("a", 1, 4, 1, 4)
    assert here.grant(ask) == [LeaseAcquired(4)]


def test_an_opening_that_is_over_before_it_is_seen_here_is_made_anew_with_another_id() -> None:
    here = Here()
    [propose] = here.handle(Tick())
    outcome = here.sessions.apply(entry(4, OpenSession(A), A))
    here.sessions.apply(entry(5, EndSession(A, 4, 0)))
    here.handle(Restored(5))
    here.handle(ProposalFinished(propose.id, ProposalStatus.APPLIED, outcome, 4))
    here.now = here.holder.wake_us
    [again] = here.handle(Tick())
    assert again.id != propose.id


def test_a_proposal_that_a_rule_refuses_is_not_made_again() -> None:
    here = Here()
    [propose] = here.handle(Tick())
    here.settle(b"", propose.id)
    here.handle(ProposalFinished(propose.id, ProposalStatus.APPLIED, Outcome("refused"), 1))
    here.now = here.holder.wake_us
    [again] = here.handle(Tick())
    assert again.id != propose.id


def test_one_that_another_proposal_opened_than_the_one_under_way_is_held_by_a_grant_alone() -> None:
    here = Here()
    here.handle(Tick())
    [ask] = here.settle(OpenSession(A), "another")
    assert not here.holds and here.grant(ask) == [LeaseAcquired(1)]


def test_a_later_life_of_its_name_ends_it_for_good() -> None:
    here = Here()
    here.open()
    assert here.settle(OpenSession(NodeInstance("a", 2)), proposer=NodeInstance("a", 2)) == [
        LeaseLost(1, "a later life has the name")
    ]
    here.now = LATER
    assert not here.handle(Tick()) and not here.holds and here.holder.phase is LeasePhase.SUPERSEDED


def test_it_tells_what_it_has_applied_and_knows_what_was_heard() -> None:
    here = Here()
    here.open()
    for _ in range(3):
        here.settle(b"", proposer=B)
    ask = here.ask()
    assert ask.applied_position == 4 and here.holder.applied_position == 0
    here.settle(b"", proposer=B)
    later = here.ask()
    here.grant(later)
    here.grant(ask)
    assert here.holder.applied_position == 5, "also where an older grant comes late"


def test_entries_of_others_change_nothing() -> None:
    here = Here()
    [propose] = here.settle(OpenSession(B), proposer=B)
    here.settle(propose.body, propose.id)
    assert here.holds and here.settle(CloseSession(B, 1), proposer=B) == [] and here.holds


def test_it_does_not_hold_from_the_moment_it_asks_to_close() -> None:
    here = Here()
    here.open()
    ask = here.ask()
    lost, close = here.handle(ReleaseLease())
    assert lost == LeaseLost(1, "leaves") and decode(close.body) == CloseSession(A, 1) and not here.holds
    here.grant(ask)
    assert not here.holds
    again_us = here.now + close.timeout_us + RENEWAL_INTERVAL_US
    here.now += RENEWAL_INTERVAL_US
    here.handle(ProposalFinished("another", ProposalStatus.REJECTED))
    assert here.holder.wake_us == again_us, "a beat after the log should have said how it ended"
    here.handle(ProposalFinished(close.id, ProposalStatus.REJECTED))
    assert here.holder.wake_us == here.now + RENEWAL_INTERVAL_US
    here.now = here.holder.wake_us
    assert here.handle(Tick()) == [close]
    here.settle(close.body, close.id)
    assert here.holder.phase is LeasePhase.LEFT
    here.now = LATER
    assert here.handle(Tick()) == [] and here.handle(LeaderChanged("b", 2, False)) == []
    here.now = here.holder.wake_us
    assert here.handle(Tick()) == [] and here.holder.wake_us == NEVER_US


def test_one_that_leaves_before_it_was_opened_closes_what_is_settled_late() -> None:
    here = Here()
    [propose] = here.handle(Tick())
    assert here.handle(ReleaseLease()) == [] and here.holder.phase is LeasePhase.LEAVING
    here.handle(ProposalFinished(propose.id, ProposalStatus.UNKNOWN))
    here.handle(ReleaseLease())
    assert here.holder.phase is LeasePhase.LEFT
    [close] = here.settle(propose.body, propose.id)
    assert decode(close.body) == CloseSession(A, 1) and not here.holds
    idle = Here()
    idle.handle(ReleaseLease())
    idle.handle(ReleaseLease())
    assert idle.holder.phase is LeasePhase.LEFT and idle.handle(Tick()) == []


def test_why_it_was_lost_is_not_told_of_the_next_session() -> None:
    here = Here()
    here.open()
    here.now = 6 * SECOND_US
    here.handle(Tick())
    [propose] = here.settle(EndSession(A, 1, 0))
    here.settle(propose.body, propose.id)
    here.now += TERMS.holder_duration_us
    assert here.handle(Tick())[0] == LeaseLost(here.position, "not renewed in time")
