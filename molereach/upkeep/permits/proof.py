"""The proof that no proxy sends to a machine any more: which sessions it must cover, and what it lacks.

The entry at position `begun` forbids sending to the machine. It holds everywhere, and no request is in flight
there, once

- each session that was open at `begun` and still is has reported a clear position of `begun` or later;
- each session that was open at `begun` and has ended did so before its end, or its proxy restarted or left in
  order, so that the process sends no more;
- each front door without a session, whether it ended before or after `begun`, has been without it for so long
  that it uses only the servers that were fallback servers while it had one (`routing.py` ensures this), and
  the machine has not been one since then;
- each front door of which the same instance has a new session has reported its clear position under that one,
  as requests that it sent in between may be in flight.

Source: Burrows, "The Chubby lock service" (OSDI 2006), section 2.7; Gray and Cheriton, "Leases" (SOSP 1989).
"""

from collections.abc import Callable, Iterable, Sequence
from typing import Protocol

from molereach.coordination.interface.clearance import ClearanceEvidence, NodeClearance
from molereach.coordination.leases.sessions import ActiveSession, EndedSession
from molereach.upkeep.permits.bodies import SessionClearance


class SessionHistory(Protocol):
    """The state machine "sessions", at the same position of the log."""

    def active_session(self, name: str) -> ActiveSession | None:
        """The open session of a name."""
        ...

    def last_ended_session(self, name: str) -> EndedSession | None:
        """The session of a name that ended last."""

    def active_sessions(self) -> list[ActiveSession]:
        """All open sessions."""
        ...

    def expired_sessions(self) -> list[EndedSession]:
        """The last session of each name without an open one, if it expired: its proxy may still serve."""

    def sessions_open_at(self, position: int) -> Iterable[ActiveSession | EndedSession]:
        """The sessions that were open when this position was applied, in their present state."""


def sessions_to_clear(sessions: SessionHistory, begun: int) -> tuple[ActiveSession | EndedSession, ...]:
    """The sessions that a proof must cover, by fencing token."""
    sessions_by_token = {
        each.fencing_token: each for each in (*sessions.sessions_open_at(begun), *sessions.expired_sessions())
    }
    for active in sessions.active_sessions():
        ended = sessions.last_ended_session(active.instance.name)
        if ended is not None and ended.instance == active.instance:  # a new session of the same instance
            sessions_by_token[active.fencing_token] = active
    return tuple(sessions_by_token[token] for token in sorted(sessions_by_token))


def may_serve_without_session(sessions: SessionHistory, session: EndedSession) -> bool:
    """Whether the front door that had this session may still serve without one."""
    last = sessions.last_ended_session(session.instance.name)
    return (
        session.evidence is ClearanceEvidence.SESSION_EXPIRED
        and sessions.active_session(session.instance.name) is None
        and last is not None
        and last.evidence is ClearanceEvidence.SESSION_EXPIRED
    )


def proof_gap(
    clearances: Sequence[SessionClearance],
    sessions: SessionHistory,
    begun: int,
    fallback_until: int,
    wait_elapsed: Callable[[int], bool],
) -> str:
    """What the proof lacks, in one line; empty if it is complete.

    `fallback_until` is the position at which the machine ceased to be a fallback server, -1 if it never was
    one. `wait_elapsed` says whether a session that expired at a position has been expired for long enough.
    """
    by_token = {clearance.fence: clearance for clearance in clearances}
    for session in sessions_to_clear(sessions, begun):
        clearance = by_token.get(session.fencing_token)
        name = session.instance.name
        if clearance is None:
            return f"no word of {name}"
        if clearance.known is ClearanceEvidence.REPORTED:
            if clearance.position < begun:
                return f"{name} has said {clearance.position} of {begun}"
            if isinstance(session, EndedSession) and session.position < begun:
                return f"{name} had no session any more"
            continue
        if isinstance(session, ActiveSession):
            return f"{name} has a session and has not said so"
        if (clearance.known, clearance.position) != (session.evidence, session.position):
            return f"{name} is {session.evidence.value} by {session.position}"
        if may_serve_without_session(sessions, session):
            if fallback_until >= session.fencing_token:
                return f"{name} may still count on it"
            if not wait_elapsed(session.position):
                return f"{name} is not over for long enough"
    return ""


def to_clearances(
    accounted: Iterable[tuple[ActiveSession | EndedSession, NodeClearance]],
) -> tuple[SessionClearance, ...]:
    """Encodes clearances as they go into an entry."""
    return tuple(
        SessionClearance(session.fencing_token, each.evidence, each.position) for session, each in accounted
    )
