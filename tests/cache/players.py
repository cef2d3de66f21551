"""Who plays in the small world of readings and purges: its times, its seats, their leases and their cores."""

from dataclasses import dataclass, field

from molereach.cache.door import Door
from molereach.cache.driver import Driver
from molereach.cache.fills.ticket import Ticket
from molereach.cache.hit import Hit
from molereach.cache.purge.machine import Bounds, Purges
from molereach.cache.readings.settings import MOST_ASKED_BYTES, OVERHEAD_BYTES, ReadingSettings, S
from molereach.coordination.interface.identifiers import NodeInstance
from molereach.coordination.interface.sessions import SessionTerms
from molereach.coordination.leases.sessions import SessionRegistry

TERMS = SessionTerms(2 * S, 0.02)
RATES = (1 - TERMS.drift / 2, 1.0, 1 + TERMS.drift / 2)  # between any two, the drift at most
MEMBERS = tuple(f"{number:016x}" for number in range(3))
CLASSES = ("load", "meter")
VALUE_BYTES = 24
MEMBER_BYTES = 2 * (VALUE_BYTES + MOST_ASKED_BYTES + OVERHEAD_BYTES)


@dataclass(frozen=True)
class Ages:
    """How long readings live: for less than a session and a long stop, or for more."""

    settings: ReadingSettings
    bounds: Bounds


def ages(load_us: int, meter_us: int) -> Ages:
    return Ages(
        ReadingSettings({"load": load_us, "meter": meter_us}, 1 << 20, MEMBER_BYTES, VALUE_BYTES),
        Bounds(12, most_done=2, most_rows=60, most_past=8, keep_ms=load_us // 1000 + 200),
    )


SHORT, LONG = ages(S, 3 * S // 4), ages(9 * S, 5 * S)


class BrokenError(AssertionError):
    """What must never be, was."""


@dataclass(frozen=True)
class Cores:
    """What a world is made of; a mutation changes one."""

    door: type[Door] = Door
    purges: type[Purges] = Purges


REAL = Cores()


class Lease:
    """A front door's session, as its holder counts it."""

    def __init__(self) -> None:
        self.fencing_token, self.until_us, self.applied_position = 0, 0, 0
        self.opening: tuple[str, int] | None = None  # an id, and when it was proposed first
        self.left = False

    def holds(self, now_us: int) -> bool:
        return now_us < self.until_us

    def follow(self, sessions: SessionRegistry, life: NodeInstance, entry_id: str) -> None:
        opened = sessions.active_session(life.name)
        if opened is None or opened.instance != life:
            self.fencing_token = self.until_us = 0
        elif opened.fencing_token != self.fencing_token:
            mine = self.opening is not None and self.opening[0] == entry_id
            self.until_us = (
                self.opening[1] + TERMS.holder_duration_us if mine and self.opening and not self.left else 0
            )
            self.fencing_token = opened.fencing_token


@dataclass
class Said:
    """What a session said to a leader."""

    applied_position: int
    clear_position: int
    received_at_us: int | None
    since_us: int


@dataclass(eq=False)
class Seat:
    """One run of one front door."""

    life: NodeInstance
    offset_us: int
    rate: float
    sessions: SessionRegistry
    purges: Purges
    lease: Lease
    door: Door
    driver: Driver
    position: int = 0
    stopped_until: int = 0
    lags_until: int = 0  # it hears of no entry
    heard: dict[int, Said] = field(default_factory=dict)  # by fence, where it leads
    fetches: list[tuple[Ticket, list[int]]] = field(default_factory=list)  # and when the server read it
    hits: list[tuple[Hit, str, str]] = field(default_factory=list)
    kept: list[tuple[Ticket, int]] = field(default_factory=list)  # and how many of its member by then
    counts: dict[str, int] = field(default_factory=dict)  # by member, what was kept
    crowded: dict[str, int] = field(default_factory=dict)  # by member, the last that pushed some of its out
    anew: int = 0  # the position of the snapshot after which it began anew

    def now(self, true_us: int) -> int:
        return self.offset_us + int(true_us * self.rate)

    def report(self, name: str, fence: int) -> Said | None:
        return self.heard.get(fence)
