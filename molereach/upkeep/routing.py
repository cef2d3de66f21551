"""A front door's own side: to whom it sends nothing new, what it may use by itself, and up to where it is
clear.

- With its session it sends to all but those on their way, by the entries applied here. - Once the session
is over it keeps to the same for `alone_ms` by its own clock, counted from when it last knew the session to
be held, and then to the servers that stood, as it last heard. The others count from later and wait for
longer (`over_wait_ms`), and take out no server that stood then. So it sends to a machine that drains later
no more by itself, though it never hears of it. - A run that has not yet had a session uses none of the
members' servers: its name may have been accounted for.

Source: Gray and Cheriton, "Leases" (SOSP 1989), section 2.
"""

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass

from molereach.coordination.interface.core import NEVER_US, Tick
from molereach.coordination.interface.log import Applied, Restored
from molereach.coordination.interface.sessions import Session
from molereach.upkeep.permits.bodies import MACHINE
from molereach.upkeep.permits.lifecycle import State
from molereach.upkeep.permits.state_machine import Upkeep

MS_US = 1000


@dataclass(frozen=True, slots=True)
class Began:
    """Event: a request is about to go to a machine; before its first byte, and right after `may_send`."""

    machine: str


@dataclass(frozen=True, slots=True)
class Ended:
    """Event: nothing of one request is under way there any more."""

    machine: str


@dataclass(frozen=True, slots=True)
class Stop:
    """Action: send nothing new to it."""

    machine: str


@dataclass(frozen=True, slots=True)
class Resume:
    """Action: it may be sent to again."""

    machine: str


@dataclass(frozen=True, slots=True)
class Permitted:
    """Action: whoever asked may take it out; every front door says so, whichever proposed the permit."""

    id: str
    machine: str
    permit: int
    until_ms: int


@dataclass(frozen=True, slots=True)
class Hurry:
    """Action: whoever has it is to bring it back now."""

    id: str
    machine: str
    permit: int


Event = Applied | Restored | Began | Ended | Tick
Action = Stop | Resume | Permitted | Hurry


class DoorSide:
    """`Applied` and `Restored` are handed in before the holder of the session may say so."""

    def __init__(self, machine: Upkeep, session: Session) -> None:
        self._book, self._session = machine, session
        self._alone_us = machine.settings.alone_ms * MS_US
        self._position = 0  # of the log, applied here
        self._held_us: int | None = None  # when the session was last known to be held
        self._unsendable: dict[str, int] = {}  # and by which entry
        self._flying: Counter[str] = Counter()
        self._told: dict[str, tuple[int, bool]] = {}  # by work: its permit, and whether it is hurried

    # --- what is asked of it ---

    @property
    def wake_us(self) -> int:
        return NEVER_US

    @property
    def clear(self) -> int:
        """Up to there, all that entries forbid is also no more under way here."""
        held_back = [begun - 1 for name, begun in self._unsendable.items() if self._flying[name]]
        return min([self._position, *held_back])

    @property
    def unsendable(self) -> frozenset[str]:
        return frozenset(self._unsendable)

    def only(self, now_us: int) -> frozenset[str] | None:
        """The members' servers that it keeps to; None for all but the `unsendable`."""
        if self._holds(now_us):
            return None
        if self._held_us is None:
            return frozenset()
        if now_us - self._held_us <= self._alone_us:
            return None
        return self._book.book.standing - self._unsendable.keys()

    def may_send(self, now_us: int, machine: str) -> bool:
        """To be asked for each request, with a time read after anything that may have taken long."""
        only = self.only(now_us)
        return machine not in self._unsendable and (only is None or machine in only)

    # --- events ---

    def handle(self, now_us: int, event: Event) -> Sequence[Action]:
        self._holds(now_us)
        match event:
            case Applied():
                self._position = event.entry.position
                return self._follow() if event.entry.machine == MACHINE and not event.outcome.error else []
            case Restored():
                self._position = event.position
                return self._follow()
            case Began():
                self._flying[event.machine] += 1
            case Ended():
                self._flying[event.machine] -= 1
                if self._flying[event.machine] <= 0:
                    del self._flying[event.machine]
        return []

    def _holds(self, now_us: int) -> bool:
        holds = self._session.holds(now_us)
        if holds:
            self._held_us = now_us
        return holds

    def _follow(self) -> list[Action]:
        """What the state machine says now, against what was said here."""
        before, self._unsendable = self._unsendable, self._book.book.unsendable()
        actions: list[Action] = [Stop(name) for name in sorted(self._unsendable.keys() - before.keys())]
        actions += [Resume(name) for name in sorted(before.keys() - self._unsendable.keys())]
        told: dict[str, tuple[int, bool]] = {}
        for record in self._book.book.records.values():
            if record.state not in (State.OUT, State.OVERDUE, State.LOST):
                continue
            id, machine = record.work.id, record.work.machine
            told[id] = record.permit, record.hurried
            if id not in self._told:
                actions.append(Permitted(id, machine, record.permit, record.until_ms))
            if record.hurried and self._told.get(id) != told[id]:
                actions.append(Hurry(id, machine, record.permit))
        self._told = told
        return actions
