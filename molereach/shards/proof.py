"""The proof that each front door has an entry: whom it must name, and what is wrong with one.

Source: Burrows, "The Chubby lock service" (OSDI 2006), section 2.7: a change goes ahead once each cache has
acknowledged it or its lease is over. A proof is words by the fences of sessions, the fewest bytes.
"""

from collections.abc import Iterable, Sequence
from typing import Protocol

from molereach.coordination.interface.clearance import ClearanceEvidence, NodeClearance
from molereach.coordination.interface.identifiers import NodeInstance, Position, WireStruct
from molereach.coordination.leases.sessions import ActiveSession, EndedSession


class Word(WireStruct, frozen=True, array_like=True):
    """Of one session: what `Accounted` says."""

    fence: Position
    known: ClearanceEvidence
    position: Position


class SessionsAt(Protocol):
    """Of the state machine "sessions", as the log has it at the same position."""

    def active_session(self, name: str) -> ActiveSession | None: ...

    def last_ended_session(self, name: str) -> EndedSession | None:
        """What ended last of a name."""

    def latest_instance(self, name: str) -> NodeInstance | None:
        """The highest life of a name that had a session."""

    def all_open(self) -> list[ActiveSession]: ...

    def sessions_open_at(self, position: int) -> Iterable[ActiveSession | EndedSession]:
        """Those that were open when this position was applied, as they stand now."""


def fault(words: Sequence[Word], sessions: SessionsAt, begun: int, may_be_over: bool = True) -> str:
    """What is missing, in one line; empty for a full proof that the entry at `begun` is known everywhere.

    A front door whose session is over takes no part, and is turned away by the servers; with `may_be_over`
    false it must be accounted for by itself, or by a new life.
    """
    by_fence = {word.fence: word for word in words}
    for session in sessions.sessions_open_at(begun):
        word, name = by_fence.get(session.fencing_token), session.instance.name
        if word is None:
            return f"no word of {name}"
        if word.known is ClearanceEvidence.REPORTED:
            if word.position < begun:
                return f"{name} has said {word.position} of {begun}"
            continue
        if isinstance(session, ActiveSession):
            return f"{name} has a session and has not said so"
        if (word.known, word.position) != (session.evidence, session.position):
            return f"{name} is {session.evidence.value} by {session.position}"
        if session.evidence is ClearanceEvidence.SESSION_EXPIRED and not may_be_over:
            later = sessions.latest_instance(name)
            if later is None or later == session.instance:
                return f"{name} may come back"
    return ""


def pack(sessions: SessionsAt, begun: int, accounted: Iterable[NodeClearance]) -> tuple[Word, ...]:
    """As it goes into an entry: the words of an account, with the fences of the sessions that they are of."""
    by_life = {each.instance: each for each in accounted}
    found = []
    for session in sessions.sessions_open_at(begun):
        one = by_life.get(session.instance)
        if one is not None:
            found.append(Word(session.fencing_token, one.evidence, one.position))
    return tuple(found)
