"""One front door's side: what may be answered from memory, what is kept, and when it is `clear`.

A purge counts from the moment it is applied: its mark forbids readings and answers on their way at once, in
O(1). What it forbids is then let go of in slices, a bounded piece a turn, and `clear` waits for that. Nothing
is answered from memory without the session, nor while this front door knows that it is behind.

Source: Gray and Cheriton, "Leases" (SOSP 1989), section 2; Burrows, "The Chubby lock service" (OSDI 2006),
section 2.7.
"""

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass

from molereach.cache.fills.fills import Fate, Fills
from molereach.cache.fills.ticket import Ticket
from molereach.cache.hit import Hit
from molereach.cache.purge.bodies import MACHINE, Ask, decode, standing
from molereach.cache.purge.machine import Purges
from molereach.cache.purge.past import Past
from molereach.cache.readings.marks import Marks
from molereach.cache.readings.reading import Reading
from molereach.cache.readings.settings import ReadingSettings, S
from molereach.cache.readings.store import Store
from molereach.cache.readings.sweeps import Sweeps
from molereach.coordination.interface.core import NEVER_US, Tick
from molereach.coordination.interface.log import Applied, Restored
from molereach.coordination.interface.sessions import Session

SLICE = 250  # steps of a turn, each a reading let go of, or a purge looked at
LOOK_US = S // 4  # between two looks for what is dead by age


@dataclass(frozen=True, slots=True)
class Told:
    """Event: entries up to there are settled, as others say; what is kept is unread until they are here."""

    position: int


@dataclass(frozen=True, slots=True)
class Failed:
    """Event: a machine that this rests on was stopped by a fault. Nothing is kept any more in this run."""


@dataclass(frozen=True, slots=True)
class Clear:
    """Action: nothing that entries up to there forbid is kept or on its way here."""

    position: int


Event = Applied | Restored | Told | Failed | Tick


class Door:
    """Sans-I/O. `handle` takes what the log says; `look`, `begin` and `end` are asked by requests."""

    def __init__(
        self, settings: ReadingSettings, purges: Purges, session: Session, steps: int = SLICE
    ) -> None:
        self.purges, self.session, self.steps = purges, session, steps
        self.store, self.marks = Store(settings), Marks(settings)
        self.fills = Fills(self.store, self.marks)
        self.applied = 0  # of the log, here
        self.told = 0
        self.off = False
        self._emptying = False  # all is let go of, and nothing is kept until that is done
        self._sweeps = Sweeps(self.store)
        self._news: deque[Past] = deque()  # purges of a snapshot that are not marked yet
        self._restored_to = 0  # the position of the last snapshot
        self._clear = 0
        self._look_us = 0

    # --- what requests ask ---

    def look(self, now_us: int, member: str, class_name: str, asked: bytes) -> Hit | None:
        """The reading at hand that may be shown now."""
        if not self._may(now_us):
            return None
        reading = self.store.get(now_us, member, class_name, asked)
        return Hit(self, reading) if reading and self.usable(now_us, reading) else None

    def usable(self, now_us: int, reading: Reading) -> bool:
        marked = self.marks.newest(reading.member, reading.class_name)
        return reading.applied >= marked and not self.store.dead(now_us, reading) and self._may(now_us)

    def _may(self, now_us: int) -> bool:
        here = self.applied >= self.told and not self._news and not self._emptying
        return here and self.session.holds(now_us)

    def begin(self, now_us: int, member: str, class_name: str, asked: bytes) -> Ticket | None:
        """Before a request is sent to a server; None if its answer will not be kept."""
        # While a snapshot's purges are being marked, not all up to `applied` are.
        if self._emptying or self._news:
            return None
        return self.fills.begin(now_us, member, class_name, asked, self.applied)

    def end(self, now_us: int, ticket: Ticket, value: bytes) -> Fate:
        """Its whole and good answer came."""
        return Fate.NOT_KEPT if self._emptying else self.fills.end(now_us, ticket, value)

    # --- what the log says ---

    @property
    def clear(self) -> int:
        """Never above `applied`, and never going back."""
        return self._clear

    @property
    def wake_us(self) -> int:
        empties = self._emptying and (self.store.size or not self.off)
        if self._news or self._sweeps.first or empties:
            return 0
        return self._look_us if self.store.size or len(self.marks) else NEVER_US

    def handle(self, now_us: int, event: Event) -> Sequence[Clear]:
        match event:
            case Applied():
                self._applied(now_us, event)
            case Restored():
                self._restored(event.position)
            case Told():
                self.told = max(self.told, event.position)
            case Failed():
                self.off = self._emptying = True
            case Tick():
                self._turn(now_us)
        clear = self._now_clear()
        if clear <= self._clear:
            return ()
        self._clear = clear
        return (Clear(clear),)

    def _applied(self, now_us: int, event: Applied) -> None:
        entry = event.entry
        self.applied = entry.position
        if entry.machine != MACHINE or event.outcome.error:
            return
        body = decode(entry.body)  # without an error it was understood
        if isinstance(body, Ask) and standing(event.outcome.value).asked == entry.position:
            if self._news:  # in the order of the log
                self._news.append(Past(body.member, body.class_name, entry.position, entry.at_ms))
            else:
                self._purge(now_us, body.member, body.class_name, entry.position)

    def _purge(self, now_us: int, member: str, class_name: str, position: int) -> None:
        self.marks.set(now_us, member, class_name, position)
        self._sweeps.add(position, member, class_name)

    def _restored(self, position: int) -> None:
        before, self.applied, self._restored_to = self.applied, position, position
        if before < self.purges.past.floor:  # whose purges are missing here is not known any more
            self.marks.set_everything(position)
            self._emptying = self.off or self.store.size > 0
        else:
            self._news.extend(past for past in self.purges.past.all() if past.position > before)

    # --- time ---

    def _turn(self, now_us: int) -> None:
        steps = self.steps
        if self._emptying:
            for reading in self.store.some(steps):
                self.store.drop(reading)
            self._emptying = self.off or self.store.size > 0
        while self._news and steps > 0:
            past = self._news.popleft()
            self._purge(now_us, past.member, past.class_name, past.position)
            steps -= 1
        self._sweeps.run(steps)
        if now_us >= self._look_us:
            self._look_us = now_us + LOOK_US
            self.store.expire(now_us, self.steps)
            self.marks.forget(now_us)

    def _now_clear(self) -> int:
        if self._news or (self._emptying and self.store.size):
            return self._clear
        first = self._sweeps.first
        if first is None:
            return self.applied
        # A snapshot names the newest purge of a scope alone, which stands for those before it.
        return self._clear if first <= self._restored_to else first - 1
