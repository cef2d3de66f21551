"""The proof that an entry holds at every front door: what it must contain, and how it is checked.

Source: Burrows, "The Chubby lock service" (OSDI 2006), section 2.7: a change goes ahead once each cache has
acknowledged it or its lease has expired. A proof names sessions by their fencing tokens, which takes the
fewest bytes.
"""

from collections.abc import Iterable, Sequence
from typing import Protocol

from molereach.coordination.interface.clearance import ClearanceEvidence, NodeClearance
from molereach.coordination.interface.identifiers import NodeInstance, Position, WireStruct
from molereach.coordination.leases.sessions import ActiveSession, EndedSession


class SessionClearance(WireStruct, frozen=True, array_like=True):
    """The clearance of one session, as `NodeClearance` describes that of a front door."""

    fencing_token: Position
    evidence: ClearanceEvidence
    position: Position


class SessionHistory(Protocol):
    """The state machine "sessions" as of the same position of the log."""

    def active_session(self, name: str) -> ActiveSession | None:
        """The open session of a name."""

    def last_ended_session(self, name: str) -> EndedSession | None:
        """The session of a name that ended last."""

    def latest_instance(self, name: str) -> NodeInstance | None:
        """The highest instance of a name that has had a session."""

    def active_sessions(self) -> list[ActiveSession]:
        """All open sessions."""

    def sessions_open_at(self, position: int) -> Iterable[ActiveSession | EndedSession]:
        """The sessions that were open when this position was applied, in their state of now."""


def proof_error(
    proof: Sequence[SessionClearance],
    sessions: SessionHistory,
    entry_position: int,
    may_be_expired: bool = True,
) -> str:
    """What a proof for the entry at a position lacks, in one line; empty for a complete proof.

    The text becomes the outcome of a log entry. A front door whose session has expired serves nothing, and
    backends reject its requests; with `may_be_expired` false that is not enough: it must have reported, left,
    or run as a newer instance.
    """
    by_token = {clearance.fencing_token: clearance for clearance in proof}
    for session in sessions.sessions_open_at(entry_position):
        clearance, name = by_token.get(session.fencing_token), session.instance.name
        if clearance is None:
            return f"no word of {name}"
        if clearance.evidence is ClearanceEvidence.REPORTED:
            if clearance.position < entry_position:
                return f"{name} has said {clearance.position} of {entry_position}"
            continue
        if isinstance(session, ActiveSession):
            return f"{name} has a session and has not said so"
        if (clearance.evidence, clearance.position) != (session.evidence, session.position):
            return f"{name} is {session.evidence.value} by {session.position}"
        if session.evidence is ClearanceEvidence.SESSION_EXPIRED and not may_be_expired:
            latest = sessions.latest_instance(name)
            if latest is None or latest == session.instance:
                return f"{name} may come back"
    return ""


def build_proof(
    sessions: SessionHistory, entry_position: int, clearances: Iterable[NodeClearance]
) -> tuple[SessionClearance, ...]:
    """The clearances of front doors as a proof for an entry, by the fencing tokens of their sessions."""
    by_instance = {each.instance: each for each in clearances}
    proof = []
    for session in sessions.sessions_open_at(entry_position):
        clearance = by_instance.get(session.instance)
        if clearance is not None:
            proof.append(SessionClearance(session.fencing_token, clearance.evidence, clearance.position))
    return tuple(proof)
