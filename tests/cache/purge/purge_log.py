"""A log with the machines of sessions and purges, and shorthand for its entries."""

from molereach.cache.purge.bodies import (
    MACHINE,
    Body,
    RequestPurge,
    RequestResult,
    decode_completion_result,
    decode_request_result,
    encode,
)
from molereach.cache.purge.machine import Bounds, Purges
from molereach.coordination.interface.identifiers import NodeInstance
from molereach.coordination.interface.log import Entry, Outcome
from molereach.coordination.leases import bodies as leases
from molereach.coordination.leases.sessions import SessionRegistry

A, B, C = NodeInstance("a", 1), NodeInstance("b", 1), NodeInstance("c", 1)
MEMBER, OTHER_MEMBER = "00000000000000aa", "00000000000000bb"
SMALL_BOUNDS = Bounds(max_pending=8, max_completed=4, max_rows=40, max_past=6, retention_ms=1000)


def purge_id(position: int, number: int = 0) -> str:
    return f"{position:x}-{number:016x}"


class PurgeLog:
    """Both machines of one front door, and the position up to which they have applied the log."""

    def __init__(self, bounds: Bounds = SMALL_BOUNDS) -> None:
        self.sessions = SessionRegistry()
        self.purges = Purges(self.sessions, bounds)
        self.position, self.at_ms = 0, 1000
        self.entries: list[Entry] = []

    def append(self, machine: str, body: bytes, proposer: NodeInstance = A, at_ms: int = 0) -> Outcome:
        self.position, self.at_ms = self.position + 1, max(self.at_ms, at_ms)
        entry = Entry(self.position, machine, f"id{self.position}", proposer, self.at_ms, body)
        self.entries.append(entry)
        return self.sessions.apply(entry) if machine == leases.MACHINE else self.purges.apply(entry)

    def append_lease(self, body: leases.Body, proposer: NodeInstance = A) -> Outcome:
        return self.append(leases.MACHINE, leases.encode(body), proposer)

    def open_sessions(self, *instances: NodeInstance) -> None:
        for instance in instances:
            assert not self.append_lease(leases.OpenSession(instance), instance).error

    def fencing_token(self, instance: NodeInstance) -> int:
        session = self.sessions.active_session(instance.name)
        assert session
        return session.fencing_token

    def append_purge(self, body: Body | bytes, at_ms: int = 0) -> Outcome:
        return self.append(MACHINE, body if isinstance(body, bytes) else encode(body), A, at_ms)

    def request_purge(
        self, number: int = 0, member: str = MEMBER, class_name: str = "", at_ms: int = 0
    ) -> RequestResult:
        """Request a purge with a new ID; it must be accepted."""
        body = RequestPurge(purge_id(self.position, number), member, class_name)
        outcome = self.append_purge(body, at_ms)
        assert not outcome.error
        return decode_request_result(outcome.value)


def completed_by(outcome: Outcome) -> tuple[int, int]:
    """How many purges an outcome completed, and the position of the last."""
    if outcome.error:
        return 0, 0
    result = decode_completion_result(outcome.value)
    return result.count, result.last_position
