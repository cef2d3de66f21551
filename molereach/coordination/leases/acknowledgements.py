"""The proof that an entry which forbids something is in effect at every node.

An activity that needs a session stops when the session does. An entry at position P is therefore in effect
once every session that was open at P is acknowledged: its node reported that it applied P, or a later entry
shows that the session was replaced by a new instance, has expired, or was closed. A node that opened its
session after P had already applied P. Acknowledgements follow from the log (`SessionRegistry`) and from the
reports of open sessions, so every leader arrives at the same ones. If a node has reopened its session since P
more often than the registry remembers, the proof names a later instance of it.

A name is assumed to run once at a time: when a new instance opens its session, the earlier process of the
name is dead. Source: Burrows, "The Chubby lock service" (OSDI 2006), section 2.7: a change proceeds once each
cache has acknowledged it or its lease has expired.
"""

from dataclasses import dataclass
from typing import Protocol

from molereach.coordination.interface.clearance import ClearanceEvidence, NodeClearance
from molereach.coordination.interface.identifiers import NodeInstance
from molereach.coordination.leases.sessions import ActiveSession, EndedSession, SessionRegistry


class SessionReport(Protocol):
    """The last report of an open session; the time is in microseconds of the leader's clock."""

    applied_position: int
    clear_position: int
    received_at_us: int | None


class SessionReports(Protocol):
    """The part of the leader's lease manager that acknowledgements are read from."""

    position: int  # up to which the log was applied here

    def report(self, name: str, fencing_token: int) -> SessionReport | None:
        """The last report of an open session, or None for an unknown session."""


@dataclass(frozen=True, slots=True)
class MissingAcknowledgement:
    """A node that has not acknowledged the entry yet, with the tracker's `since_us` and the reason."""

    instance: NodeInstance
    since_us: int
    applied_position: int
    received_at_us: int | None
    reason: str


class AcknowledgementTracker:
    """Tracks which nodes have acknowledged the entry at `position`.

    `since_us` is when the entry was applied here, or when this node began to lead. With `clear`, a report
    counts only once nothing that the entry forbids is in flight at the node any more.
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
        """Whether the entry was applied here; before that, nothing counts as acknowledged."""
        return self._reports.position >= self.position

    def pending(self) -> tuple[MissingAcknowledgement, ...]:
        """The nodes that have not acknowledged the entry, sorted by name."""
        missing = [
            self._missing_acknowledgement(session)
            for session in self._sessions.sessions_open_at(self.position)
            if self._acknowledgement(session) is None
        ]
        return tuple(sorted(missing, key=lambda acknowledgement: acknowledgement.instance))

    def proof(self) -> tuple[NodeClearance, ...] | None:
        """The acknowledgements of all sessions open at the entry, by name; None while one is missing.

        Nodes that have applied the log up to the same position return the same proof.
        """
        if not self.is_applied_here:
            return None
        clearances: list[NodeClearance] = []
        for session in self._sessions.sessions_open_at(self.position):
            clearance = self._acknowledgement(session)
            if clearance is None:
                return None
            clearances.append(clearance)
        return tuple(sorted(clearances, key=lambda clearance: clearance.instance))

    def _acknowledgement(self, session: ActiveSession | EndedSession) -> NodeClearance | None:
        if isinstance(session, EndedSession):
            return NodeClearance(session.instance, session.evidence, session.position)
        report = self._reports.report(session.instance.name, session.fencing_token)
        if report is None:
            return None
        acknowledged_position = report.clear_position if self.clear else report.applied_position
        if acknowledged_position < self.position:
            return None
        # The reported position would depend on when the node sent its last request.
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
