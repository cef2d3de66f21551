"""The proof that nobody sends to a machine any more: whom it must name, and what is wrong with one.

An entry at `begun` forbids to send to the machine. It holds everywhere, and nothing is under way there, once

- each session that was open at `begun`, and is open, has said `clear` of `begun` or beyond; - each that has
ended since did say so before, or was replaced by a new life or closed in order: then its process sends no
more; - each front door that is without a session, since before or after, is over for so long that it keeps
by itself to the servers that stood when it had one, and this machine has not stood since then (`door.py`
keeps to that); - each that was without a session and has one again, in the same life, has said `clear`
under the new one: what it sent meanwhile may be under way.

Source: Burrows, "The Chubby lock service" (OSDI 2006), section 2.7; Gray and Cheriton, "Leases" (SOSP 1989).
"""

from collections.abc import Callable, Iterable, Sequence
from typing import Protocol

from molereach.coordination.interface.clearance import ClearanceEvidence, NodeClearance
from molereach.coordination.leases.sessions import ActiveSession, EndedSession
from molereach.upkeep.permits.bodies import Word


class SessionsAt(Protocol):
    """Of the state machine "sessions", as the log has it at the same position."""

    def active_session(self, name: str) -> ActiveSession | None: ...

    def last_ended_session(self, name: str) -> EndedSession | None:
        """What ended last of a name."""

    def active_sessions(self) -> list[ActiveSession]: ...

    def lone(self) -> list[EndedSession]:
        """Of each name without an open session, the last, if that is over: it may serve on by itself."""

    def sessions_open_at(self, position: int) -> Iterable[ActiveSession | EndedSession]:
        """Those that were open when this position was applied, as they stand now."""


def needed(sessions: SessionsAt, begun: int) -> tuple[ActiveSession | EndedSession, ...]:
    """The sessions that a proof must speak of, by fence."""
    found = {each.fencing_token: each for each in (*sessions.sessions_open_at(begun), *sessions.lone())}
    for opened in sessions.active_sessions():
        past = sessions.last_ended_session(opened.instance.name)
        if past is not None and past.instance == opened.instance:  # again in the same life
            found[opened.fencing_token] = opened
    return tuple(found[fence] for fence in sorted(found))


def alone(sessions: SessionsAt, session: EndedSession) -> bool:
    """Whether the front door that had this session may serve on without any."""
    last = sessions.last_ended_session(session.instance.name)
    return (
        session.evidence is ClearanceEvidence.SESSION_EXPIRED
        and sessions.active_session(session.instance.name) is None
        and last is not None
        and last.evidence is ClearanceEvidence.SESSION_EXPIRED
    )


def fault(
    words: Sequence[Word], sessions: SessionsAt, begun: int, unstood: int, waited: Callable[[int], bool]
) -> str:
    """What is missing, in one line; empty for a full proof. `unstood` is where the machine ceased to stand,
    -1 for never; `waited` says whether what was over at a position is so for long enough."""
    by_fence = {word.fence: word for word in words}
    for session in needed(sessions, begun):
        word = by_fence.get(session.fencing_token)
        name = session.instance.name
        if word is None:
            return f"no word of {name}"
        if word.known is ClearanceEvidence.REPORTED:
            if word.position < begun:
                return f"{name} has said {word.position} of {begun}"
            if isinstance(session, EndedSession) and session.position < begun:
                return f"{name} had no session any more"
            continue
        if isinstance(session, ActiveSession):
            return f"{name} has a session and has not said so"
        if (word.known, word.position) != (session.evidence, session.position):
            return f"{name} is {session.evidence.value} by {session.position}"
        if alone(sessions, session):
            if unstood >= session.fencing_token:
                return f"{name} may still count on it"
            if not waited(session.position):
                return f"{name} is not over for long enough"
    return ""


def pack(accounted: Iterable[tuple[ActiveSession | EndedSession, NodeClearance]]) -> tuple[Word, ...]:
    """As it goes into an entry."""
    return tuple(Word(session.fencing_token, each.evidence, each.position) for session, each in accounted)
