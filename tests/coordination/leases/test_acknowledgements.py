"""Acknowledgements of an entry: pending nodes with their reason, and the complete proof."""

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
B2 = NodeInstance("b", 2)


class Leader:
    """A replica with its lease manager, which leads under ballot 1."""

    def __init__(self, proposals: list[tuple[NodeInstance, Body | None]]) -> None:
        self.sessions, self.now_us = SessionRegistry(), 0
        self.manager = LeaseManager(self.sessions, SessionTerms())
        self.manager.handle(0, LeaderChanged("k", 1, True))
        self.position = 0
        for proposer, body in proposals:
            self.apply(proposer, body)

    def apply(self, proposer: NodeInstance, body: Body | None) -> None:
        """Apply the next entry; a `body` of None stands for an entry of another state machine."""
        self.position += 1
        applied_entry = entry(self.position, body or b"", proposer, machine="sessions" if body else "other")
        outcome = self.sessions.apply(applied_entry) if body else Outcome()
        self.manager.handle(self.now_us, Applied(applied_entry, outcome))

    def report_applied(self, instance: NodeInstance, fencing_token: int, applied_position: int) -> None:
        self.manager.handle(
            self.now_us,
            RenewalsReceived(
                (RenewalRequest(instance.name, instance.number, fencing_token, 1, applied_position),)
            ),
        )

    def track(self, position: int = 5) -> AcknowledgementTracker:
        return AcknowledgementTracker(position, self.sessions, self.manager, self.now_us)


OPENING_ENTRIES: list[tuple[NodeInstance, Body | None]] = [
    (D, OpenSession(D)),
    (C, OpenSession(C)),
    (B, OpenSession(B)),
    (A, OpenSession(A)),
    (A, None),
]
LATER_ENTRIES: list[tuple[NodeInstance, Body | None]] = [
    (A, BecomeManager(1)),
    (B2, OpenSession(B2)),
    (A, EndSession(C, 2, 1)),
    (D, CloseSession(D, 1)),
    (C, OpenSession(C)),
]


def test_pending_lists_each_missing_node_with_time_and_reason() -> None:
    leader = Leader(OPENING_ENTRIES)
    leader.now_us = 3 * SECOND_US
    tracker = leader.track()
    leader.report_applied(A, 4, 3)
    leader.now_us = 4 * SECOND_US
    missing = tracker.pending()
    assert [acknowledgement.instance for acknowledgement in missing] == [A, B, C, D]
    assert missing[0] == MissingAcknowledgement(A, 3 * SECOND_US, 3, 3 * SECOND_US, "applied only to 3")
    assert missing[1] == MissingAcknowledgement(B, 3 * SECOND_US, 0, None, "nothing heard since 3000000")
    assert tracker.proof() is None


def test_report_from_before_the_entry_counts_as_nothing_heard_since() -> None:
    leader = Leader(OPENING_ENTRIES)
    leader.report_applied(A, 4, 3)
    leader.now_us = 3 * SECOND_US
    assert leader.track().pending()[0].reason == "nothing heard since 0"


def test_proof_holds_the_evidence_for_each_node_sorted_by_name() -> None:
    leader = Leader(OPENING_ENTRIES + LATER_ENTRIES)
    tracker = leader.track()
    leader.report_applied(A, 4, 4)
    assert tracker.proof() is None and [
        acknowledgement.instance for acknowledgement in tracker.pending()
    ] == [A]
    leader.report_applied(A, 4, 5)
    assert tracker.pending() == () and tracker.proof() == (
        NodeClearance(A, ClearanceEvidence.REPORTED, 5),
        NodeClearance(B, ClearanceEvidence.RESTARTED, 7),
        NodeClearance(C, ClearanceEvidence.SESSION_EXPIRED, 8),
        NodeClearance(D, ClearanceEvidence.LEFT, 9),
    )


def test_session_opened_after_the_entry_needs_no_acknowledgement() -> None:
    leader = Leader([(A, None), (A, OpenSession(A))])
    assert leader.track(1).proof() == ()


def test_session_unknown_to_the_lease_manager_is_pending() -> None:
    leader = Leader(OPENING_ENTRIES)
    leader.sessions.apply(
        entry(6, OpenSession(NodeInstance("e", 1)), NodeInstance("e", 1))
    )  # the manager has not handled this entry yet
    tracker = leader.track(7)
    assert tracker.pending()[-1].reason == "nothing heard since 0"
    leader.manager.position = 7
    assert tracker.proof() is None


def test_no_proof_before_the_entry_is_applied_here() -> None:
    leader = Leader(OPENING_ENTRIES[:4])
    for instance, fencing_token in ((A, 4), (B, 3), (C, 2), (D, 1)):
        leader.report_applied(instance, fencing_token, 5)
    tracker = leader.track()
    assert tracker.proof() is None
    leader.apply(A, None)
    assert tracker.proof() is not None


def test_every_leader_returns_the_same_proof_also_after_a_snapshot() -> None:
    first, second, restored = (
        Leader(OPENING_ENTRIES + LATER_ENTRIES),
        Leader(OPENING_ENTRIES + LATER_ENTRIES),
        Leader([]),
    )
    restored.sessions.restore(first.sessions.snapshot())
    restored.manager.handle(0, Restored(10))
    first.report_applied(A, 4, 5)
    second.now_us = 9 * SECOND_US
    second.report_applied(A, 4, 10)  # reports a later position
    restored.report_applied(A, 4, 7)
    assert first.track().proof() == second.track().proof() == restored.track().proof() is not None


class _SessionUntil10:
    """A session that is valid before time 10."""

    fencing_token = 1
    applied_position = 1

    def holds(self, now_us: int) -> bool:
        return now_us < 10


def test_every_activity_but_serving_needs_a_valid_session() -> None:
    session: Session = _SessionUntil10()
    assert set(ACTIVITY_RULES) == set(LeasedActivity)
    for activity in LeasedActivity:
        assert is_allowed(activity, session, 9) and is_allowed(activity, session, 10) is (
            activity is LeasedActivity.SERVE
        )
