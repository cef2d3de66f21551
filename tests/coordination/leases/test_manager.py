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
from molereach.coordination.leases.rounds import MAX_ROUNDS
from molereach.coordination.leases.sessions import SessionRegistry
from tests.coordination.leases.entries import A, B, entry

TERMS = SessionTerms()
OVER_US = TERMS.expiry_us + 1  # by whole microseconds of a clock


class Here:
    """A keeper at ballot 7, with a session of `a` opened at position 1 and its `Keeping` at position 2."""

    def __init__(self, keeps: bool = True) -> None:
        self.sessions, self.now, self.position = SessionRegistry(), 0, 0
        self.keeper = LeaseManager(self.sessions, TERMS)
        self.settle(OpenSession(A))
        if keeps:
            self.handle(LeaderChanged("k", 7, True))
            self.settle(BecomeManager(7))

    def handle(self, event: Any) -> Sequence[Any]:  # noqa: ANN401
        return self.keeper.handle(self.now, event)

    def settle(self, body: Body, proposer: NodeInstance = A) -> Sequence[Any]:
        self.position += 1
        step = entry(self.position, body, proposer)
        return self.handle(Applied(step, self.sessions.apply(step)))

    def asked(self, number: int, applied: int = 0, fence: int = 1, life: NodeInstance = A) -> Sequence[Any]:
        return self.handle(
            RenewalsReceived((RenewalRequest(life.name, life.number, fence, number, applied),))
        )

    def given(self, token: int, ballot: int = 7) -> list[int]:
        """The numbers of the asks that are given upon a confirmation."""
        actions = self.handle(LeadershipConfirmed(token, ballot))
        return [grant.number for each in actions if isinstance(each, SendGrants) for grant in each.grants]

    def ends(self) -> list[Propose]:
        """Go to where the end is due and confirm."""
        self.now = self.keeper.wake_us
        [confirm] = self.handle(Tick())
        return [
            each for each in self.handle(LeadershipConfirmed(confirm.token, 7)) if isinstance(each, Propose)
        ]


def test_a_renewal_is_given_after_a_round_that_began_after_the_ask() -> None:
    here = Here()
    [first] = here.asked(1)
    assert isinstance(first, ConfirmLeadership)
    assert here.asked(2) == [], "the round that is out began before this ask"
    first_given, second = here.handle(LeadershipConfirmed(first.token, 7))
    assert first_given == SendGrants((RenewalGrant("a", 1, 1, 1),)) and isinstance(second, ConfirmLeadership)
    assert here.given(first.token) == [], "an answer counts once"
    assert here.given(second.token) == [2]


def test_a_later_round_lets_pass_what_waited_for_an_earlier_one() -> None:
    here = Here()
    [first] = here.asked(1)
    here.settle(OpenSession(B), B)
    here.asked(1, fence=3, life=B)
    here.now += RENEWAL_INTERVAL_US
    [second] = here.handle(Tick())
    assert here.given(second.token) == [1, 1] and here.given(first.token) == []


def test_nothing_is_given_under_another_ballot_or_by_one_that_does_not_lead() -> None:
    here = Here()
    [confirm] = here.asked(1)
    here.asked(2)
    assert here.given(confirm.token, 6) == [] == here.given(confirm.token, 8)
    here.handle(LeaderChanged("other", 8, False))
    assert here.given(confirm.token) == [] and here.keeper.wake_us == NEVER_US and here.asked(3) == []
    here.handle(LeaderChanged("k", 9, True))
    assert here.settle(BecomeManager(9)) == []
    assert here.given(confirm.token, 9) == [], "what was asked of its earlier time is void"


def test_nothing_is_given_or_ended_before_its_own_keeping_is_in_the_log() -> None:
    here = Here(keeps=False)
    [propose] = here.handle(LeaderChanged("k", 7, True))
    assert decode(propose.body) == BecomeManager(7) and here.asked(1) == []
    here.now = 20 * SECOND_US
    assert here.handle(Tick()) == [propose], "no word came: again, with the same id"
    here.handle(ProposalFinished(propose.id, ProposalStatus.UNKNOWN))
    here.now += RENEWAL_INTERVAL_US - 1
    here.handle(ProposalFinished("another", ProposalStatus.UNKNOWN))
    here.now += 1
    assert here.handle(Tick()) == [propose], "a beat after no word on its own"
    [confirm] = here.settle(BecomeManager(7))
    [given] = here.handle(LeadershipConfirmed(confirm.token, 7))
    assert given == SendGrants((RenewalGrant("a", 1, 1, 1),)), (
        "what was asked meanwhile is given, and not ended"
    )


def test_it_gives_way_to_a_later_keeper_before_it_is_told() -> None:
    here = Here()
    [confirm] = here.asked(1)
    here.settle(BecomeManager(8), B)
    assert here.given(confirm.token) == [] and not here.keeper.manages and here.keeper.wake_us == NEVER_US


def test_asks_that_are_not_of_the_open_session_or_not_new_are_passed_over() -> None:
    here = Here()
    assert here.asked(1, fence=2) == here.asked(1, life=NodeInstance("a", 2)) == here.asked(1, life=B) == []
    [confirm] = here.asked(4)
    assert here.given(confirm.token) == [4]
    assert here.asked(4) == here.asked(3) == []
    [confirm] = here.asked(6)
    here.asked(5)
    here.settle(CloseSession(A, 1))
    assert here.given(confirm.token) == [], "closed since"


def test_the_newest_ask_of_a_session_waits_and_of_two_sessions_the_later_ones() -> None:
    here = Here()
    [first] = here.asked(1)
    for number in (5, 6, 5):
        here.asked(number)
    _, second = here.handle(LeadershipConfirmed(first.token, 7))
    assert here.given(second.token) == [6]
    [third] = here.asked(7)
    here.asked(8)
    here.settle(OpenSession(NodeInstance("a", 2)), NodeInstance("a", 2))
    here.asked(1, fence=3, life=NodeInstance("a", 2))
    [fourth] = here.handle(LeadershipConfirmed(third.token, 7))
    assert here.given(fourth.token) == [1]


def test_an_ask_that_came_twice_is_given_once() -> None:
    here = Here()
    [first] = here.asked(1)
    here.asked(1)
    _, second = here.handle(LeadershipConfirmed(first.token, 7))
    assert here.given(second.token) == []


def test_an_end_is_proposed_after_the_time_and_once_it_is_confirmed() -> None:
    here = Here()
    assert here.keeper.wake_us == OVER_US
    here.now = OVER_US - 1
    assert here.handle(Tick()) == []
    here.now = OVER_US
    [confirm] = here.handle(Tick())
    assert isinstance(confirm, ConfirmLeadership), "an end waits for a word from the panel"
    [propose] = here.handle(LeadershipConfirmed(confirm.token, 7))
    assert decode(propose.body) == EndSession(A, 1, 7) and here.handle(Tick()) == []


def test_a_round_from_before_the_end_was_due_does_not_let_it_pass() -> None:
    here = Here()
    here.now = OVER_US - 1
    here.settle(OpenSession(B), B)
    [confirm] = here.asked(1, fence=3, life=B)
    here.now = OVER_US
    assert [type(each) for each in here.handle(LeadershipConfirmed(confirm.token, 7))] == [
        SendGrants,
        ConfirmLeadership,
    ]


def test_without_a_word_from_the_panel_nothing_is_ended_and_rounds_are_bounded() -> None:
    here = Here()
    for _ in range(40):
        here.now = here.keeper.wake_us
        [confirm] = here.handle(Tick())
        assert isinstance(confirm, ConfirmLeadership)
    assert (
        len(here.keeper._rounds._unanswered) == MAX_ROUNDS and here.now >= OVER_US + 39 * RENEWAL_INTERVAL_US
    )


def test_what_was_proposed_as_ended_is_given_nothing_more_and_is_proposed_again() -> None:
    here = Here()
    [propose] = here.ends()
    for over in (ProposalStatus.UNKNOWN, ProposalStatus.REJECTED):
        here.handle(ProposalFinished(propose.id, over))
        assert here.keeper.wake_us == here.now + RENEWAL_INTERVAL_US
        assert here.asked(9) == [], "held back, also where the end is not certain"
        here.handle(ProposalFinished("another", over))
        assert here.keeper.wake_us == here.now + RENEWAL_INTERVAL_US
        here.handle(LeaderChanged("k", 7, True))  # told again
        assert here.asked(9) == []
        assert here.ends() == [propose], "with the same id"
        here.handle(ProposalFinished("another", over))
        assert here.keeper.wake_us == here.now + 5 * RENEWAL_INTERVAL_US
    here.handle(ProposalFinished(propose.id, ProposalStatus.APPLIED))
    assert here.asked(10) == []


def test_an_ask_that_waited_when_the_end_was_proposed_is_not_given() -> None:
    here = Here()
    here.now = OVER_US
    [confirm] = here.handle(Tick())
    here.asked(1)  # after the round that lets the end pass
    propose, second = here.handle(LeadershipConfirmed(confirm.token, 7))
    assert isinstance(propose, Propose) and here.given(second.token) == []


def test_an_ask_that_came_in_time_of_the_round_is_given_and_nothing_is_ended() -> None:
    here = Here()
    here.now = OVER_US
    [first] = here.handle(Tick())
    here.asked(1)
    here.now += RENEWAL_INTERVAL_US
    [second] = here.handle(Tick())
    assert here.given(second.token) == [1] and here.keeper.wake_us == here.now + OVER_US
    assert first.token != second.token


def test_a_new_leader_takes_all_as_given_when_it_was_elected() -> None:
    here = Here()
    here.handle(LeaderChanged("other", 8, False))
    here.now = 9 * SECOND_US
    here.handle(LeaderChanged("k", 9, True))
    here.settle(BecomeManager(9))
    assert here.keeper.wake_us == here.now + OVER_US
    here.handle(LeaderChanged("k", 9, True))  # told again
    assert here.keeper.manages


def test_a_session_counts_from_when_its_opening_was_applied_here() -> None:
    here = Here()
    here.now = 3 * SECOND_US
    here.sessions.apply(entry(3, OpenSession(B), B))
    here.handle(Restored(3))
    assert here.keeper.wake_us == OVER_US, "that of a, which was open before"
    here.settle(CloseSession(A, 1))
    assert here.keeper.wake_us == 3 * SECOND_US + OVER_US and here.keeper.position == 3


def test_a_keeper_that_was_stopped_counts_from_when_it_gave() -> None:
    here = Here()
    [confirm] = here.asked(1)
    here.now = 100 * SECOND_US  # stopped between the round and its answer
    assert here.given(confirm.token) == [1] and here.keeper.wake_us == 100 * SECOND_US + OVER_US


def test_what_was_said_only_grows_and_is_of_one_session() -> None:
    here = Here()
    here.now = SECOND_US
    here.asked(2, applied=5)
    here.now = 2 * SECOND_US
    here.asked(1, applied=3)
    kept = here.keeper.report("a", 1)
    assert kept and (kept.applied_position, kept.received_at_us) == (5, 2 * SECOND_US)
    assert here.keeper.report("a", 2) is None and here.keeper.report("b", 1) is None
    here.settle(OpenSession(NodeInstance("a", 2)), NodeInstance("a", 2))
    kept = here.keeper.report("a", 3)
    assert kept and (kept.applied_position, kept.received_at_us) == (0, None)
