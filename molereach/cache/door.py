"""The cache of one front door: which readings are shown, which answers are stored, what is reported clear.

A purge takes effect when it is applied: its mark invalidates cached readings and answers on their way at
once, in O(1). The invalidated readings are then removed in bounded steps, some in each turn of the loop, and
the clear position waits for that. No reading is shown without a valid session, nor while this front door
knows that its log is behind.

Source: Gray and Cheriton, "Leases" (SOSP 1989), section 2; Burrows, "The Chubby lock service" (OSDI 2006),
section 2.7.
"""

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass

from molereach.cache.fills.admission import FillAdmission, FillResult
from molereach.cache.fills.ticket import Ticket
from molereach.cache.hit import Hit
from molereach.cache.purge.bodies import MACHINE, RequestPurge, decode, decode_request_result
from molereach.cache.purge.machine import Purges
from molereach.cache.purge.past import PastPurge
from molereach.cache.readings.marks import Marks
from molereach.cache.readings.reading import Reading
from molereach.cache.readings.settings import SECOND_US, ReadingSettings
from molereach.cache.readings.store import Store
from molereach.cache.readings.sweeps import Sweeps
from molereach.coordination.interface.core import NEVER_US, Tick
from molereach.coordination.interface.log import Applied, Restored
from molereach.coordination.interface.sessions import Session

STEPS_PER_TURN = 250  # a step removes a reading or processes a purge
EXPIRY_INTERVAL_US = SECOND_US // 4


@dataclass(frozen=True, slots=True)
class LogAdvanced:
    """Event: others report the log settled up to `position`; no reading is shown until that is applied."""

    position: int


@dataclass(frozen=True, slots=True)
class MachineFailed:
    """Event: a fault stopped a machine that the cache relies on; the cache stays empty in this run."""


@dataclass(frozen=True, slots=True)
class Clear:
    """Action: nothing that entries up to `position` invalidate is cached or on its way here."""

    position: int


Event = Applied | Restored | LogAdvanced | MachineFailed | Tick


class Door:
    """Sans-I/O. `handle` takes events of the log; requests call `lookup`, `begin_fill` and `finish_fill`."""

    def __init__(
        self,
        settings: ReadingSettings,
        purges: Purges,
        session: Session,
        steps_per_turn: int = STEPS_PER_TURN,
    ) -> None:
        self.purges, self.session, self.steps_per_turn = purges, session, steps_per_turn
        self.store, self.marks = Store(settings), Marks(settings)
        self.fills = FillAdmission(self.store, self.marks)
        self.applied_position = 0  # of the log, here
        self.announced_position = 0  # up to which others report the log as settled
        self.disabled = False
        self._emptying = False  # all readings are being removed; none is stored until that is finished
        self._sweeps = Sweeps(self.store)
        self._news: deque[PastPurge] = deque()  # purges of a snapshot that are not marked yet
        self._restored_position = 0  # of the last snapshot
        self._clear_position = 0
        self._next_expiry_us = 0

    # --- calls of requests ---

    def lookup(self, now_us: int, member: str, class_name: str, request: bytes) -> Hit | None:
        """The cached reading that may be shown now; None if there is none."""
        if not self._may_show(now_us):
            return None
        reading = self.store.get(now_us, member, class_name, request)
        return Hit(self, reading) if reading and self.is_usable(now_us, reading) else None

    def is_usable(self, now_us: int, reading: Reading) -> bool:
        """Whether the reading is neither purged nor expired, and readings may be shown here now."""
        purged_position = self.marks.newest_position(reading.member, reading.class_name)
        return (
            reading.applied_position >= purged_position
            and not self.store.is_expired(now_us, reading)
            and self._may_show(now_us)
        )

    def _may_show(self, now_us: int) -> bool:
        is_current = (
            self.applied_position >= self.announced_position and not self._news and not self._emptying
        )
        return is_current and self.session.holds(now_us)

    def begin_fill(self, now_us: int, member: str, class_name: str, request: bytes) -> Ticket | None:
        """Called before a request is sent to a server; None if its answer will not be stored."""
        # While the purges of a snapshot are being marked, some up to `applied_position` have no mark yet.
        if self._emptying or self._news:
            return None
        return self.fills.begin(now_us, member, class_name, request, self.applied_position)

    def finish_fill(self, now_us: int, ticket: Ticket, value: bytes) -> FillResult:
        """Called when the whole, valid answer has arrived."""
        return FillResult.NOT_STORED if self._emptying else self.fills.finish(now_us, ticket, value)

    # --- events of the log ---

    @property
    def clear_position(self) -> int:
        """Nothing that entries up to here invalidate is left. At most `applied_position`; never decreases."""
        return self._clear_position

    @property
    def wake_us(self) -> int:
        """When the next `Tick` is due."""
        must_empty = self._emptying and (self.store.size or not self.disabled)
        if self._news or self._sweeps.first_position or must_empty:
            return 0
        return self._next_expiry_us if self.store.size or len(self.marks) else NEVER_US

    def handle(self, now_us: int, event: Event) -> Sequence[Clear]:
        """Process an event; returns `Clear` if the clear position has advanced."""
        match event:
            case Applied():
                self._on_applied(now_us, event)
            case Restored():
                self._on_restored(event.position)
            case LogAdvanced():
                self.announced_position = max(self.announced_position, event.position)
            case MachineFailed():
                self.disabled = self._emptying = True
            case Tick():
                self._on_tick(now_us)
        position = self._current_clear_position()
        if position <= self._clear_position:
            return ()
        self._clear_position = position
        return (Clear(position),)

    def _on_applied(self, now_us: int, event: Applied) -> None:
        entry = event.entry
        self.applied_position = entry.position
        if entry.machine != MACHINE or event.outcome.error:
            return
        body = decode(entry.body)  # cannot fail: the outcome has no error
        if (
            isinstance(body, RequestPurge)
            and decode_request_result(event.outcome.value).requested_position == entry.position
        ):
            if self._news:  # purges are marked in the order of the log
                self._news.append(PastPurge(body.member, body.class_name, entry.position, entry.at_ms))
            else:
                self._apply_purge(now_us, body.member, body.class_name, entry.position)

    def _apply_purge(self, now_us: int, member: str, class_name: str, position: int) -> None:
        self.marks.add(now_us, member, class_name, position)
        self._sweeps.add(position, member, class_name)

    def _on_restored(self, position: int) -> None:
        previous, self.applied_position, self._restored_position = self.applied_position, position, position
        if previous < self.purges.past.floor:  # the snapshot no longer has all purges that were missed here
            self.marks.add_for_all_members(position)
            self._emptying = self.disabled or self.store.size > 0
        else:
            self._news.extend(past for past in self.purges.past.entries() if past.position > previous)

    # --- time ---

    def _on_tick(self, now_us: int) -> None:
        steps = self.steps_per_turn
        if self._emptying:
            for reading in self.store.oldest_readings(steps):
                self.store.remove(reading)
            self._emptying = self.disabled or self.store.size > 0
        while self._news and steps > 0:
            past = self._news.popleft()
            self._apply_purge(now_us, past.member, past.class_name, past.position)
            steps -= 1
        self._sweeps.run(steps)
        if now_us >= self._next_expiry_us:
            self._next_expiry_us = now_us + EXPIRY_INTERVAL_US
            self.store.remove_expired(now_us, self.steps_per_turn)
            self.marks.remove_expired(now_us)

    def _current_clear_position(self) -> int:
        if self._news or (self._emptying and self.store.size):
            return self._clear_position
        first_position = self._sweeps.first_position
        if first_position is None:
            return self.applied_position
        # A snapshot has only the newest purge of each scope, which stands for the earlier ones.
        return self._clear_position if first_position <= self._restored_position else first_position - 1
