"""Whether each session that was open when a purge was asked for is accounted for, by the log and by what was
said: at every front door alike.

A session that has ended needs no word of its holder: the entry that ended it says how that is known. Only of
one that is still open its own word is needed. Source: Burrows, "The Chubby lock service" (OSDI 2006), section
2.7; molereach/coordination/leases/acknowledgements.py has the argument.
"""

from collections.abc import Container, Iterable
from typing import Protocol

from molereach.coordination.interface.clearance import ClearanceEvidence, NodeClearance
from molereach.coordination.leases.sessions import ActiveSession, EndedSession


class SessionsView(Protocol):
    """Of the machine "sessions", as it stands at the entry that is being applied. It raises where that
    machine was stopped by a fault, so that this one stops too and comes to no other state than elsewhere."""

    def active_session(self, name: str) -> ActiveSession | None: ...
    def active_sessions(self) -> list[ActiveSession]: ...
    def sessions_open_at(self, position: int) -> Iterable[ActiveSession | EndedSession]: ...


def cohort(sessions: SessionsView) -> tuple[ActiveSession, ...]:
    """Whose session is open now, by name."""
    return tuple(sorted(sessions.active_sessions(), key=lambda opened: opened.instance))


def roster(
    opened: tuple[ActiveSession, ...], asked: int, said: Container[int], sessions: SessionsView, position: int
) -> tuple[NodeClearance, ...] | ActiveSession:
    """How each of them is known, by name, or the first that is not. `asked` is a position at which they were
    open, `position` that of the entry being applied. Who said it has position 0, for that of the purge."""
    ends = {
        each.fencing_token: each
        for each in sessions.sessions_open_at(asked)
        if isinstance(each, EndedSession)
    }
    known: list[NodeClearance] = []
    for session in opened:
        if sessions.active_session(session.instance.name) == session:
            if session.fencing_token not in said:
                return session
            known.append(NodeClearance(session.instance, ClearanceEvidence.REPORTED, 0))
        elif end := ends.get(session.fencing_token):
            known.append(NodeClearance(session.instance, end.evidence, end.position))
        else:  # it ended so long ago that how is forgotten
            known.append(NodeClearance(session.instance, ClearanceEvidence.SESSION_EXPIRED, position))
    return tuple(known)
