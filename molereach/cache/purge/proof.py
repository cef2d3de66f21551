"""Whether each session that was open when a purge was asked for is accounted for, by the log and by what was
said: at every front door alike.

A session that has ended needs no word of its holder: the entry that ended it says how that is known. Only of
one that is still open its own word is needed. Source: Burrows, "The Chubby lock service" (OSDI 2006), section
2.7; molereach/coordination/leases/accounts.py has the argument.
"""

from collections.abc import Container, Iterable
from typing import Protocol

from molereach.coordination.interface.clearance import ClearanceEvidence, NodeClearance
from molereach.coordination.leases.sessions import Opened, Past


class SessionsView(Protocol):
    """Of the machine "sessions", as it stands at the entry that is being applied. It raises where that
    machine was stopped by a fault, so that this one stops too and comes to no other state than elsewhere."""

    def open(self, name: str) -> Opened | None: ...
    def all_open(self) -> list[Opened]: ...
    def at(self, position: int) -> Iterable[Opened | Past]: ...


def cohort(sessions: SessionsView) -> tuple[Opened, ...]:
    """Whose session is open now, by name."""
    return tuple(sorted(sessions.all_open(), key=lambda opened: opened.life))


def roster(
    opened: tuple[Opened, ...], asked: int, said: Container[int], sessions: SessionsView, position: int
) -> tuple[NodeClearance, ...] | Opened:
    """How each of them is known, by name, or the first that is not. `asked` is a position at which they were
    open, `position` that of the entry being applied. Who said it has position 0, for that of the purge."""
    ends = {each.fence: each for each in sessions.at(asked) if isinstance(each, Past)}
    known: list[NodeClearance] = []
    for session in opened:
        if sessions.open(session.life.name) == session:
            if session.fence not in said:
                return session
            known.append(NodeClearance(session.life, ClearanceEvidence.REPORTED, 0))
        elif end := ends.get(session.fence):
            known.append(NodeClearance(session.life, end.known, end.position))
        else:  # it ended so long ago that how is forgotten
            known.append(NodeClearance(session.life, ClearanceEvidence.SESSION_EXPIRED, position))
    return tuple(known)
