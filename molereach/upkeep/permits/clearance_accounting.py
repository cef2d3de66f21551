"""The leader's side of a proof: the clearances it can state, and which proxies are missing and why.

It measures by its own clock how long a front door has been without a session, from when it first observed
that. The state machine has only the times of entries, which may jump where the clocks of leaders differ.
"""

from dataclasses import dataclass
from typing import Protocol

from molereach.coordination.interface.clearance import ClearanceEvidence, NodeClearance
from molereach.coordination.interface.identifiers import NodeInstance
from molereach.coordination.leases.sessions import ActiveSession, EndedSession
from molereach.upkeep.permits.bodies import SessionClearance
from molereach.upkeep.permits.proof import (
    SessionHistory,
    may_serve_without_session,
    sessions_to_clear,
    to_clearances,
)

MS_US = 1000


class ClearPositions(Protocol):
    """The clear positions that open sessions have reported."""

    def clear_position(self, name: str, fencing_token: int) -> int:
        """The position up to which a proxy no longer does what entries forbid; 0 if it has reported none."""


@dataclass(frozen=True, slots=True)
class MissingClearance:
    """A front door that may still send to a machine, as far as is known."""

    instance: NodeInstance
    reason: str


class ClearanceAccounting:
    """Collects clearances for all work items. Call `update` whenever the log was applied."""

    def __init__(self, sessions: SessionHistory, clear_positions: ClearPositions, wait_ms: int) -> None:
        self._sessions, self._clear_positions, self._wait_us = sessions, clear_positions, wait_ms * MS_US
        self._expired_since_us: dict[int, int] = {}  # by fencing token: when it was first seen

    def update(self, now_us: int) -> None:
        """Notes which sessions have expired."""
        self._expired_since_us = {
            ended.fencing_token: self._expired_since_us.get(ended.fencing_token, now_us)
            for ended in self._sessions.expired_sessions()
        }

    def account(
        self, now_us: int, begun: int, fallback_until: int
    ) -> tuple[tuple[SessionClearance, ...], tuple[MissingClearance, ...]]:
        """The clearances for a proof, and those that are missing. The arguments are those of `proof_gap`."""
        cleared: list[tuple[ActiveSession | EndedSession, NodeClearance]] = []
        missing: list[MissingClearance] = []
        for session in sessions_to_clear(self._sessions, begun):
            if reason := self._missing_reason(now_us, session, begun, fallback_until):
                missing.append(MissingClearance(session.instance, reason))
            elif isinstance(session, ActiveSession):
                clear_position = self._clear_positions.clear_position(
                    session.instance.name, session.fencing_token
                )
                cleared.append(
                    (session, NodeClearance(session.instance, ClearanceEvidence.REPORTED, clear_position))
                )
            else:
                cleared.append((session, NodeClearance(session.instance, session.evidence, session.position)))
        return to_clearances(cleared), tuple(missing)

    def _missing_reason(
        self, now_us: int, session: ActiveSession | EndedSession, begun: int, fallback_until: int
    ) -> str:
        if isinstance(session, ActiveSession):
            clear_position = self._clear_positions.clear_position(
                session.instance.name, session.fencing_token
            )
            return (
                "" if clear_position >= begun else f"has reported clear position {clear_position} of {begun}"
            )
        if not may_serve_without_session(self._sessions, session):
            return ""
        if fallback_until >= session.fencing_token:
            return "has no session but may rely on the machine: restart it, or let it leave"
        since_us = self._expired_since_us.get(session.fencing_token, now_us)
        return "" if now_us - since_us >= self._wait_us else "has not been without a session for long enough"
