"""The proof that each front door whose session was open when a purge was requested has cleared it.

It follows from the log and from what sessions reported, so all front doors come to the same proof. A session
that has ended needs no report of its holder: the entry that ended it is the evidence. Only one that is still
open must have reported `clear`. Source: Burrows, "The Chubby lock service" (OSDI 2006), section
2.7; molereach/coordination/leases/acknowledgements.py has the argument.
"""

from collections.abc import Container, Iterable
from typing import Protocol

from molereach.coordination.interface.clearance import ClearanceEvidence, NodeClearance
from molereach.coordination.leases.sessions import ActiveSession, EndedSession


class SessionReader(Protocol):
    """Read access to the machine "sessions", in its state at the entry that is being applied.

    Raises where that machine was stopped by a fault, so that this one stops too and its state never differs
    from that of other replicas.
    """

    def active_session(self, name: str) -> ActiveSession | None:
        """The open session of a front door."""
        ...

    def active_sessions(self) -> list[ActiveSession]:
        """All open sessions."""
        ...

    def sessions_open_at(self, position: int) -> Iterable[ActiveSession | EndedSession]:
        """The sessions that were open at a position, as far as they are remembered."""
        ...


def open_cohort(sessions: SessionReader) -> tuple[ActiveSession, ...]:
    """The sessions that are open now, by name."""
    return tuple(sorted(sessions.active_sessions(), key=lambda session: session.instance))


def clearance_roster(
    cohort: tuple[ActiveSession, ...],
    requested_position: int,
    cleared_tokens: Container[int],
    sessions: SessionReader,
    position: int,
) -> tuple[NodeClearance, ...] | ActiveSession:
    """How each session of the cohort cleared the purge, by name, or the first session that has not.

    All of them were open at `requested_position`; `position` is that of the entry being applied. A clearance
    by report has position 0, which stands for the purge's own.
    """
    ends = {
        session.fencing_token: session
        for session in sessions.sessions_open_at(requested_position)
        if isinstance(session, EndedSession)
    }
    clearances: list[NodeClearance] = []
    for session in cohort:
        if sessions.active_session(session.instance.name) == session:
            if session.fencing_token not in cleared_tokens:
                return session
            clearances.append(NodeClearance(session.instance, ClearanceEvidence.REPORTED, 0))
        elif end := ends.get(session.fencing_token):
            clearances.append(NodeClearance(session.instance, end.evidence, end.position))
        else:  # it ended so long ago that its end is no longer stored
            clearances.append(NodeClearance(session.instance, ClearanceEvidence.SESSION_EXPIRED, position))
    return tuple(clearances)
