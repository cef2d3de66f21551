"""The interface between the replicated log and its disk: writes, their completion, and failures."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Persist:
    """Action of the log: make these records durable; messages that depend on them wait for `token`.

    Records are appended in order. A `base` is a checkpoint that replaces everything written before it.
    """

    token: int
    records: tuple[bytes, ...]
    base: bytes | None = None


@dataclass(frozen=True, slots=True)
class Persisted:
    """Event for the log: everything up to and including `token` is durable."""

    token: int


@dataclass(frozen=True, slots=True)
class DiskFailed:
    """Event for the log: a write or a sync failed. The log promises and accepts nothing more in this run."""

    reason: str
