"""The proof that an entry which forbids something holds everywhere.

All that hangs on a session is done under it alone. So an entry at position P holds once each session that was
open at P is accounted for: its front door said that it applied P, or an entry after P says that the session
was replaced by a new life, over, or left. Who opened a session after P had P before. An account is a view: it
follows from the log (`Sessions`) and from what open sessions have said, so that another leader comes to the
same one. Of a front door that opened anew more often since P than is kept, a later life stands in the proof.

It takes it that a name is run once at a time: an earlier process of the same name is dead when a new life
opens. Source: Burrows, "The Chubby lock service" (OSDI 2006), section 2.7: a change goes ahead once each
cache has acknowledged it or its lease is over.
"""

from dataclasses import dataclass
from typing import Protocol

from molereach.coordination.interface.clearance import ClearanceEvidence, NodeClearance
from molereach.coordination.interface.identifiers import NodeInstance
from molereach.coordination.leases.sessions import ActiveSession, EndedSession, SessionRegistry


class SessionReport(Protocol):
    """What an open session has said of itself."""

    applied: int
    clear: int
    received_at_us: int | None


class SessionReports(Protocol):
    """Of the leader's keeper, what an account needs."""

    position: int  # of the log, applied here

    def report(self, name: str, fence: int) -> SessionReport | None:
        """Of an open session; None if nothing is known of it."""


@dataclass(frozen=True, slots=True)
class MissingAcknowledgement:
    """A front door for which there is no account yet, since when, and why."""

    proxy: NodeInstance
    since_us: int
    applied: int
    received_at_us: int | None
    reason: str


class AcknowledgementTracker:
    """For the entry at `position`; `since_us` is when that was applied here, or this one began to lead.

    With `clear` a word counts only when what the entry forbids is no more under way there, too.
    """

    def __init__(
        self,
        position: int,
        sessions: SessionRegistry,
        sayings: SessionReports,
        since_us: int,
        clear: bool = False,
    ) -> None:
        self.position, self.since_us, self.clear = position, since_us, clear
        self._sessions, self._reports = sessions, sayings

    @property
    def is_applied_here(self) -> bool:
        """Whether the log was applied here up to the entry; before that nobody is accounted for."""
        return self._reports.position >= self.position

    def pending(self) -> tuple[MissingAcknowledgement, ...]:
        """Who is missing, by name."""
        missing = [
            self._missing_acknowledgement(session)
            for session in self._sessions.sessions_open_at(self.position)
            if self._acknowledgement(session) is None
        ]
        return tuple(sorted(missing, key=lambda each: each.proxy))

    def proof(self) -> tuple[NodeClearance, ...] | None:
        """All that were open, by name; None while one is missing. At one position of the log, whoever can
        give it gives the same."""
        if not self.is_applied_here:
            return None
        accounted: list[NodeClearance] = []
        for session in self._sessions.sessions_open_at(self.position):
            one = self._acknowledgement(session)
            if one is None:
                return None
            accounted.append(one)
        return tuple(sorted(accounted, key=lambda each: each.instance))

    def _acknowledgement(self, session: ActiveSession | EndedSession) -> NodeClearance | None:
        if isinstance(session, EndedSession):
            return NodeClearance(session.incarnation, session.known, session.position)
        said = self._reports.report(session.incarnation.name, session.fencing_token)
        if said is None or (said.clear if self.clear else said.applied) < self.position:
            return None
        # Not the position that was said, which depends on when it was asked.
        return NodeClearance(session.incarnation, ClearanceEvidence.REPORTED, self.position)

    def _missing_acknowledgement(self, session: ActiveSession | EndedSession) -> MissingAcknowledgement:
        said = self._reports.report(session.incarnation.name, session.fencing_token)
        applied, heard_us = (said.applied, said.received_at_us) if said else (0, None)
        if heard_us is not None and heard_us >= self.since_us:
            held = self.clear and applied >= self.position
            why = "something is under way there still" if held else f"applied only to {applied}"
        else:
            why = f"nothing heard since {self.since_us if heard_us is None else heard_us}"
        return MissingAcknowledgement(session.incarnation, self.since_us, applied, heard_us, why)
