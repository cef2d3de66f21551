"""Entries of both machines, made in a line."""

from molereach.cache.purge.bodies import MACHINE, Ask, Body, Standing, encode, ended, standing
from molereach.cache.purge.machine import Bounds, Purges
from molereach.coordination.interface.identifiers import NodeInstance
from molereach.coordination.interface.log import Entry, Outcome
from molereach.coordination.leases import bodies as leases
from molereach.coordination.leases.sessions import SessionRegistry

A, B, C = NodeInstance("a", 1), NodeInstance("b", 1), NodeInstance("c", 1)
MEMBER, OTHER = "00000000000000aa", "00000000000000bb"
SMALL = Bounds(most_pending=8, most_done=4, most_rows=40, most_past=6, keep_ms=1000)


def purge_id(drawn: int, number: int = 0) -> str:
    return f"{drawn:x}-{number:016x}"


class Log:
    """Both machines of one front door, and the position at which they are."""

    def __init__(self, bounds: Bounds = SMALL) -> None:
        self.sessions = SessionRegistry()
        self.purges = Purges(self.sessions, bounds)
        self.position, self.at_ms = 0, 1000
        self.entries: list[Entry] = []

    def add(self, machine: str, body: bytes, proposer: NodeInstance = A, at_ms: int = 0) -> Outcome:
        self.position, self.at_ms = self.position + 1, max(self.at_ms, at_ms)
        entry = Entry(self.position, machine, f"id{self.position}", proposer, self.at_ms, body)
        self.entries.append(entry)
        return self.sessions.apply(entry) if machine == leases.MACHINE else self.purges.apply(entry)

    def lease(self, body: leases.Body, proposer: NodeInstance = A) -> Outcome:
        return self.add(leases.MACHINE, leases.encode(body), proposer)

    def opens(self, *lives: NodeInstance) -> None:
        for life in lives:
            assert not self.lease(leases.OpenSession(life), life).error

    def fence(self, life: NodeInstance) -> int:
        opened = self.sessions.active_session(life.name)
        assert opened
        return opened.fencing_token

    def purge(self, body: Body | bytes, at_ms: int = 0) -> Outcome:
        return self.add(MACHINE, body if isinstance(body, bytes) else encode(body), A, at_ms)

    def ask(self, number: int = 0, member: str = MEMBER, class_name: str = "", at_ms: int = 0) -> Standing:
        """Ask with a new id; it must be taken."""
        body = Ask(purge_id(self.position, number), member, class_name)
        outcome = self.purge(body, at_ms)
        assert not outcome.error
        return standing(outcome.value)


def ended_by(outcome: Outcome) -> tuple[int, int]:
    """How many it ended, and the position of the last."""
    if outcome.error:
        return 0, 0
    found = ended(outcome.value)
    return found.count, found.last
