"""The leader's side of a proof: who is accounted for, and who is missed, and why.

It counts how long a front door is without a session by its own clock, from when it first saw so: the times of
entries may jump where clocks differ, and the state machine has only those.
"""

from dataclasses import dataclass
from typing import Protocol

from molereach.coordination.interface.clearance import ClearanceEvidence, NodeClearance
from molereach.coordination.interface.identifiers import NodeInstance
from molereach.coordination.leases.sessions import ActiveSession, EndedSession
from molereach.upkeep.permits.bodies import Word
from molereach.upkeep.permits.proof import SessionsAt, alone, needed, pack

MS_US = 1000


class Clears(Protocol):
    """What open sessions have said."""

    def clear(self, name: str, fence: int) -> int:
        """The position up to which all that entries forbid is no more under way there; 0 for nothing said."""


@dataclass(frozen=True, slots=True)
class Missed:
    """A front door that still could send to a machine, as far as is known."""

    door: NodeInstance
    why: str


class Accounting:
    """For all works; `look` is to be called whenever the log was applied."""

    def __init__(self, sessions: SessionsAt, clears: Clears, wait_ms: int) -> None:
        self._sessions, self._clears, self._wait_us = sessions, clears, wait_ms * MS_US
        self._lone: dict[int, int] = {}  # since when it is seen, by fence

    def look(self, now_us: int) -> None:
        self._lone = {
            past.fencing_token: self._lone.get(past.fencing_token, now_us) for past in self._sessions.lone()
        }

    def account(self, now_us: int, begun: int, unstood: int) -> tuple[tuple[Word, ...], tuple[Missed, ...]]:
        """Words for a proof, and who is missed for one."""
        found: list[tuple[ActiveSession | EndedSession, NodeClearance]] = []
        missed: list[Missed] = []
        for session in needed(self._sessions, begun):
            if why := self._why(now_us, session, begun, unstood):
                missed.append(Missed(session.instance, why))
            elif isinstance(session, ActiveSession):
                clear = self._clears.clear(session.instance.name, session.fencing_token)
                found.append((session, NodeClearance(session.instance, ClearanceEvidence.REPORTED, clear)))
            else:
                found.append((session, NodeClearance(session.instance, session.evidence, session.position)))
        return pack(found), tuple(missed)

    def _why(self, now_us: int, session: ActiveSession | EndedSession, begun: int, unstood: int) -> str:
        if isinstance(session, ActiveSession):
            clear = self._clears.clear(session.instance.name, session.fencing_token)
            return "" if clear >= begun else f"has said {clear} of {begun}"
        if not alone(self._sessions, session):
            return ""
        if unstood >= session.fencing_token:
            return "is without a session, and may count on it: start it anew, or let it leave"
        since_us = self._lone.get(session.fencing_token, now_us)
        return "" if now_us - since_us >= self._wait_us else "is without a session for too short a time"
