"""The errors of leases."""

from molereach.coordination.errors import CoordinationError


class LeaseError(CoordinationError):
    """Base class of the errors of leases."""


class InvalidSnapshotError(LeaseError, ValueError):
    """A snapshot of sessions that no log can have produced; a `ValueError`, as `StateMachine` asks for."""

    def __init__(self, reason: str) -> None:
        super().__init__(f"not a snapshot of sessions: {reason}")
        self.reason = reason
