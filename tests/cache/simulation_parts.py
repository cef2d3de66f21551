"""The parts of the cache simulation: its settings, and the simulated front doors with their sessions."""

from dataclasses import dataclass, field

from molereach.cache.door import Door
from molereach.cache.fills.ticket import Ticket
from molereach.cache.hit import Hit
from molereach.cache.purge.machine import Bounds, Purges
from molereach.cache.purge_driver import PurgeDriver
from molereach.cache.readings.settings import (
    MAX_REQUEST_BYTES,
    OVERHEAD_BYTES,
    SECOND_US,
    ReadingSettings,
)
from molereach.coordination.interface.identifiers import NodeInstance
from molereach.coordination.interface.sessions import SessionTerms
from molereach.coordination.leases.sessions import SessionRegistry

TERMS = SessionTerms(2 * SECOND_US, 0.02)
CLOCK_RATES = (1 - TERMS.drift / 2, 1.0, 1 + TERMS.drift / 2)  # any two differ by the drift at most
MEMBERS = tuple(f"{number:016x}" for number in range(3))
CLASSES = ("load", "meter")
VALUE_BYTES = 24
MEMBER_BYTES = 2 * (VALUE_BYTES + MAX_REQUEST_BYTES + OVERHEAD_BYTES)


@dataclass(frozen=True)
class CacheSettings:
    """The ages of readings, and bounds that match them."""

    readings: ReadingSettings
    bounds: Bounds


def settings_with_ages(load_us: int, meter_us: int) -> CacheSettings:
    return CacheSettings(
        ReadingSettings({"load": load_us, "meter": meter_us}, 1 << 20, MEMBER_BYTES, VALUE_BYTES),
        Bounds(12, max_completed=2, max_rows=60, max_past=8, retention_ms=load_us // 1000 + 200),
    )


# Readings expire before a session and a long pause are over, or after.
SHORT_AGES, LONG_AGES = (
    settings_with_ages(SECOND_US, 3 * SECOND_US // 4),
    settings_with_ages(9 * SECOND_US, 5 * SECOND_US),
)


class InvariantError(AssertionError):
    """An invariant of the cache was violated."""


@dataclass(frozen=True)
class Implementation:
    """The classes under test; a mutant replaces one."""

    door: type[Door] = Door
    purges: type[Purges] = Purges


REAL = Implementation()


class HolderSession:
    """A front door's session as its holder counts it."""

    def __init__(self) -> None:
        self.fencing_token, self.valid_until_us, self.applied_position = 0, 0, 0
        self.open_proposal: tuple[str, int] | None = None  # its ID, and when it was first proposed
        self.has_left = False

    def holds(self, now_us: int) -> bool:
        return now_us < self.valid_until_us

    def update(self, sessions: SessionRegistry, instance: NodeInstance, entry_id: str) -> None:
        """Take over what an applied entry says of the session."""
        session = sessions.active_session(instance.name)
        if session is None or session.instance != instance:
            self.fencing_token = self.valid_until_us = 0
        elif session.fencing_token != self.fencing_token:
            is_own_proposal = self.open_proposal is not None and self.open_proposal[0] == entry_id
            self.valid_until_us = (
                self.open_proposal[1] + TERMS.holder_duration_us
                if is_own_proposal and self.open_proposal and not self.has_left
                else 0
            )
            self.fencing_token = session.fencing_token


@dataclass
class Report:
    """What a session last reported to a leader."""

    applied_position: int
    clear_position: int
    received_at_us: int | None
    since_us: int


@dataclass(eq=False)
class SimulatedProxy:
    """One run of one front door."""

    instance: NodeInstance
    clock_offset_us: int
    clock_rate: float
    sessions: SessionRegistry
    purges: Purges
    session: HolderSession
    door: Door
    driver: PurgeDriver
    position: int = 0
    paused_until_us: int = 0
    lagging_until_us: int = 0  # until then it receives no entries
    reports: dict[int, Report] = field(default_factory=dict)  # by fencing token, where it leads
    # Each with the time at which the server read the data, once it has.
    fetches: list[tuple[Ticket, list[int]]] = field(default_factory=list)
    hits: list[tuple[Hit, str, str]] = field(default_factory=list)
    stored: list[tuple[Ticket, int]] = field(default_factory=list)  # with the member's stored count
    stored_counts: dict[str, int] = field(default_factory=dict)  # by member
    eviction_counts: dict[str, int] = field(default_factory=dict)  # by member: stored count at last eviction
    discarded_at_position: int = 0  # of the snapshot after which it discarded all readings

    def local_us(self, true_us: int) -> int:
        return self.clock_offset_us + int(true_us * self.clock_rate)

    def report(self, name: str, fencing_token: int) -> Report | None:
        return self.reports.get(fencing_token)
