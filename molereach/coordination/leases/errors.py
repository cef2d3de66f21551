"""Exceptions raised by the leases package."""

from molereach.coordination.errors import CoordinationError


class LeaseError(CoordinationError):
    """Base class of the exceptions of this package."""


class InvalidSnapshotError(LeaseError, ValueError):
    """A snapshot of sessions that no log can produce; a `ValueError`, as `StateMachine.restore` requires."""

    def __init__(self, reason: str) -> None:
        super().__init__(f"not a snapshot of sessions: {reason}")
        self.reason = reason
