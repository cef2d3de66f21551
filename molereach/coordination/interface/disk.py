"""The disk as the replicated log sees it: what to write, and what has become of it."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Persist:
    """Action of the log: make these records durable before anything that waits for `token` is sent.

    Records are appended in order; `base`, if given, replaces everything that was written before.
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
    """Event for the log: a write or a sync failed. It accepts and promises nothing more in this run."""

    reason: str
