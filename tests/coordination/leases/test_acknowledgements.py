"""The account of an entry: who is missing and why, and when the proof is whole."""

from molereach.coordination.interface.clearance import ClearanceEvidence, NodeClearance
from molereach.coordination.interface.identifiers import SECOND_US, NodeInstance
from molereach.coordination.interface.log import Applied, LeaderChanged, Outcome, Restored
from molereach.coordination.interface.sessions import RenewalRequest, Session, SessionTerms
from molereach.coordination.leases.acknowledgements import AcknowledgementTracker, MissingAcknowledgement
from molereach.coordination.leases.bodies import BecomeManager, Body, CloseSession, EndSession, OpenSession
from molereach.coordination.leases.manager import LeaseManager
from molereach.coordination.leases.messages import RenewalsReceived
from molereach.coordination.leases.permits import ACTIVITY_RULES, LeasedActivity, is_allowed
from molereach.coordination.leases.sessions import SessionRegistry
from tests.coordination.leases.entries import A, B, C, entry

D = NodeInstance("d", 1)
ANEW = NodeInstance("b", 2)


class Leader:
    """A replica with its keeper, at ballot 1."""

    def __init__(self, order: list[tuple[NodeInstance, Body | None]]) -> None:
        self.sessions, self.now = SessionRegistry(), 0
        self.manager = LeaseManager(self.sessions, SessionTerms())
        self.manager.handle(0, LeaderChanged("k", 1, True))
        self.position = 0
        for proposer, body in order:
            self.learn(proposer, body)

    def learn(self, proposer: NodeInstance, body: Body | None) -> None:
        """None for an entry of another machine."""
        self.position += 1
        step = entry(self.position, body or b"", proposer, machine="sessions" if body else "other")
        outcome = self.sessions.apply(step) if body else Outcome()
        self.manager.handle(self.now, Applied(step, outcome))

    def said(self, instance: NodeInstance, fencing_token: int, applied: int) -> None:
        self.manager.handle(
            self.now,
            RenewalsReceived((RenewalRequest(instance.name, instance.number, fencing_token, 1, applied),)),
        )

    def account(self, position: int = 5) -> AcknowledgementTracker:
        return AcknowledgementTracker(position, self.sessions, self.manager, self.now)


OPENED: list[tuple[NodeInstance, Body | None]] = [
    (D, OpenSession(D)),
    (C, OpenSession(C)),
    (B, OpenSession(B)),
    (A, OpenSession(A)),
    (A, None),
]
SINCE: list[tuple[NodeInstance, Body | None]] = [
    (A, BecomeManager(1)),
    (ANEW, OpenSession(ANEW)),
    (A, EndSession(C, 2, 1)),
    (D, CloseSession(D, 1)),
    (C, OpenSession(C)),
]


def test_who_is_missing_since_when_and_why() -> None:
    leader = Leader(OPENED)
    leader.now = 3 * SECOND_US
    account = leader.account()
    leader.said(A, 4, 3)
    leader.now = 4 * SECOND_US
    missing = account.pending()
    assert [each.instance for each in missing] == [A, B, C, D]
    assert missing[0] == MissingAcknowledgement(A, 3 * SECOND_US, 3, 3 * SECOND_US, "applied only to 3")
    assert missing[1] == MissingAcknowledgement(B, 3 * SECOND_US, 0, None, "nothing heard since 3000000")
    assert account.proof() is None


def test_one_that_was_heard_before_the_entry_alone_is_silent_since() -> None:
    leader = Leader(OPENED)
    leader.said(A, 4, 3)
    leader.now = 3 * SECOND_US
    assert leader.account().pending()[0].reason == "nothing heard since 0"


def test_each_is_accounted_for_in_its_own_way_and_the_proof_is_by_name() -> None:
    leader = Leader(OPENED + SINCE)
    account = leader.account()
    leader.said(A, 4, 4)
    assert account.proof() is None and [each.instance for each in account.pending()] == [A]
    leader.said(A, 4, 5)
    assert account.pending() == () and account.proof() == (
        NodeClearance(A, ClearanceEvidence.REPORTED, 5),
        NodeClearance(B, ClearanceEvidence.RESTARTED, 7),
        NodeClearance(C, ClearanceEvidence.SESSION_EXPIRED, 8),
        NodeClearance(D, ClearanceEvidence.LEFT, 9),
    )


def test_one_that_opened_after_the_entry_needs_no_account() -> None:
    leader = Leader([(A, None), (A, OpenSession(A))])
    assert leader.account(1).proof() == ()


def test_a_session_of_which_the_lease_manager_has_no_report_yet_is_missing() -> None:
    leader = Leader(OPENED)
    leader.sessions.apply(
        entry(6, OpenSession(NodeInstance("e", 1)), NodeInstance("e", 1))
    )  # the replica is ahead of the events
    account = leader.account(7)
    assert account.pending()[-1].reason == "nothing heard since 0"
    leader.manager.position = 7
    assert account.proof() is None


def test_nothing_is_proven_before_the_entry_was_applied_here() -> None:
    leader = Leader(OPENED[:4])
    for instance, fencing_token in ((A, 4), (B, 3), (C, 2), (D, 1)):
        leader.said(instance, fencing_token, 5)
    account = leader.account()
    assert account.proof() is None
    leader.learn(A, None)
    assert account.proof() is not None


def test_another_leader_comes_to_the_same_proof_also_from_a_snapshot() -> None:
    one, other, third = Leader(OPENED + SINCE), Leader(OPENED + SINCE), Leader([])
    third.sessions.restore(one.sessions.snapshot())
    third.manager.handle(0, Restored(10))
    one.said(A, 4, 5)
    other.now = 9 * SECOND_US
    other.said(A, 4, 10)  # asked later
    third.said(A, 4, 7)
    assert one.account().proof() == other.account().proof() == third.account().proof() is not None


class _Held:
    """A session that ends at 10."""

    fencing_token = 1
    applied_position = 1

    def holds(self, now_us: int) -> bool:
        return now_us < 10


def test_each_use_hangs_on_the_session_but_serving() -> None:
    session: Session = _Held()
    assert set(ACTIVITY_RULES) == set(LeasedActivity)
    for use in LeasedActivity:
        assert is_allowed(use, session, 9) and is_allowed(use, session, 10) is (use is LeasedActivity.SERVE)
