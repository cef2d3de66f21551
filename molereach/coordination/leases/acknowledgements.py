"""The proof that an entry which forbids something is in effect everywhere.

Whatever needs a session is done under it alone. So an entry at position P is in effect once each session that
was open at P is acknowledged: its node reported that it applied P, or an entry after P says that the session
was replaced by a new instance, has expired, or was closed. A node that opened its session after P had applied
P before. An acknowledgement follows from the log (`SessionRegistry`) and from what open sessions reported, so
another leader comes to the same one. Of a node that reopened more often since P than the registry remembers,
a later instance stands in the proof.

It is assumed that a name runs once at a time: an earlier process of the same name is dead when a new instance
opens its session. Source: Burrows, "The Chubby lock service" (OSDI 2006), section 2.7: a change goes ahead
once each cache has acknowledged it or its lease has expired.
"""

from dataclasses import dataclass
from typing import Protocol

from molereach.coordination.interface.clearance import ClearanceEvidence, NodeClearance
from molereach.coordination.interface.identifiers import NodeInstance
from molereach.coordination.leases.sessions import ActiveSession, EndedSession, SessionRegistry


class SessionReport(Protocol):
    """What an open session last reported; the time is in microseconds of the leader's clock."""

    applied_position: int
    clear_position: int
    received_at_us: int | None


class SessionReports(Protocol):
    """What an acknowledgement needs of the leader's lease manager."""

    position: int  # of the log, applied here

    def report(self, name: str, fencing_token: int) -> SessionReport | None:
        """The last report of an open session; None if nothing is known of it."""


@dataclass(frozen=True, slots=True)
class MissingAcknowledgement:
    """A node that has not acknowledged the entry yet, since when, and why."""

    instance: NodeInstance
    since_us: int
    applied_position: int
    received_at_us: int | None
    reason: str


class AcknowledgementTracker:
    """Tracks who has acknowledged the entry at `position`.

    `since_us` is when the entry was applied here, or when this node began to lead. With `clear` a report
    counts only when what the entry forbids is not in flight there any more, either.
    """

    def __init__(
        self,
        position: int,
        sessions: SessionRegistry,
        reports: SessionReports,
        since_us: int,
        clear: bool = False,
    ) -> None:
        self.position = position
        self.since_us = since_us
        self.clear = clear
        self._sessions = sessions
        self._reports = reports

    @property
    def is_applied_here(self) -> bool:
        """Whether the log was applied here up to the entry; before that nothing is acknowledged."""
        return self._reports.position >= self.position

    def pending(self) -> tuple[MissingAcknowledgement, ...]:
        """The nodes that are missing, by name."""
        missing = [
            self._missing_acknowledgement(session)
            for session in self._sessions.sessions_open_at(self.position)
            if self._acknowledgement(session) is None
        ]
        return tuple(sorted(missing, key=lambda each: each.instance))

    def proof(self) -> tuple[NodeClearance, ...] | None:
        """The acknowledgements of all sessions that were open, by name; None while one is missing.

        At one position of the log, whoever can give the proof gives the same.
        """
        if not self.is_applied_here:
            return None
        clearances: list[NodeClearance] = []
        for session in self._sessions.sessions_open_at(self.position):
            clearance = self._acknowledgement(session)
            if clearance is None:
                return None
            clearances.append(clearance)
        return tuple(sorted(clearances, key=lambda each: each.instance))

    def _acknowledgement(self, session: ActiveSession | EndedSession) -> NodeClearance | None:
        if isinstance(session, EndedSession):
            return NodeClearance(session.instance, session.evidence, session.position)
        report = self._reports.report(session.instance.name, session.fencing_token)
        if report is None:
            return None
        acknowledged_position = report.clear_position if self.clear else report.applied_position
        if acknowledged_position < self.position:
            return None
        # Not the reported position, which depends on when the node was asked.
        return NodeClearance(session.instance, ClearanceEvidence.REPORTED, self.position)

    def _missing_acknowledgement(self, session: ActiveSession | EndedSession) -> MissingAcknowledgement:
        report = self._reports.report(session.instance.name, session.fencing_token)
        applied_position = report.applied_position if report else 0
        received_at_us = report.received_at_us if report else None
        if received_at_us is None or received_at_us < self.since_us:
            reason = f"nothing heard since {self.since_us if received_at_us is None else received_at_us}"
        elif self.clear and applied_position >= self.position:
            reason = "something is under way there still"
        else:
            reason = f"applied only to {applied_position}"
        return MissingAcknowledgement(
            session.instance, self.since_us, applied_position, received_at_us, reason
        )
