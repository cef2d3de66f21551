"""The errors of the replicated log."""

from molereach.coordination.errors import CoordinationError


class ReplicatedLogError(CoordinationError):
    """Base class of the errors of the replicated log."""


class CorruptRecordsError(ReplicatedLogError, ValueError):
    """The records on the disk contradict one another, so this disk must not vote."""
