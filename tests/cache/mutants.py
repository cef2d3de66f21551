"""Each core with one of its safeguards taken out."""

from collections.abc import Sequence
from unittest.mock import patch

from molereach.cache.door import Door
from molereach.cache.fills.fills import Fate, Fills
from molereach.cache.fills.ticket import Ticket
from molereach.cache.hit import Hit
from molereach.cache.purge import machine
from molereach.cache.purge.bodies import MACHINE, Ask, Done, decode
from molereach.cache.purge.machine import Bounds, Purges
from molereach.cache.purge.past import Purged
from molereach.cache.purge.proof import SessionsView
from molereach.cache.readings.marks import Marks
from molereach.cache.readings.reading import Reading
from molereach.cache.readings.settings import ReadingSettings
from molereach.cache.readings.store import Store
from molereach.coordination.interface.log import Applied, Entry, Outcome
from molereach.coordination.leases.sessions import ActiveSession


class _LateFills(Fills):
    def end(self, now_us: int, ticket: Ticket, value: bytes) -> Fate:
        newest = self.marks.newest(ticket.member, ticket.class_name)
        return super().end(
            now_us,
            Ticket(
                ticket.member, ticket.class_name, ticket.asked, ticket.sent_us, max(newest, ticket.applied)
            ),
            value,
        )


class LateFillKept(Door):
    """An answer on its way while the purge passes is kept."""

    def __init__(self, *arguments: object) -> None:
        super().__init__(*arguments)  # type: ignore[arg-type]
        self.fills = _LateFills(self.store, self.marks)


class _AnswerFills(Fills):
    def end(self, now_us: int, ticket: Ticket, value: bytes) -> Fate:
        return super().end(
            now_us, Ticket(ticket.member, ticket.class_name, ticket.asked, now_us, ticket.applied), value
        )


class FetchedWhenAnswered(Door):
    """A reading's age counts from when its answer came."""

    def __init__(self, *arguments: object) -> None:
        super().__init__(*arguments)  # type: ignore[arg-type]
        self.fills = _AnswerFills(self.store, self.marks)


class _OnceHit(Hit):
    def still(self, now_us: int) -> bool:
        return True


class HitCheckedOnce(Door):
    """A hit is looked at when it is taken, and not before it is written."""

    def look(self, now_us: int, member: str, class_name: str, asked: bytes) -> Hit | None:
        hit = super().look(now_us, member, class_name, asked)
        return _OnceHit(self, hit._reading) if hit else None


class LapseIgnored(Door):
    """Whether the session is held is not asked."""

    def _may(self, now_us: int) -> bool:
        return self.applied >= self.told and not self._news and not self._emptying


class ClearTooEarly(Door):
    """`clear` is said of what was applied, before it is let go of."""

    def _now_clear(self) -> int:
        return self.applied


class _ShortMarks(Marks):
    def __init__(self, settings: ReadingSettings) -> None:
        super().__init__(settings)
        self._kept_us //= 8


class MarkForgottenEarly(Door):
    """A front door forgets a purge before what it forbids is dead."""

    def __init__(self, *arguments: object) -> None:
        super().__init__(*arguments)  # type: ignore[arg-type]
        self.marks = self.fills.marks = _ShortMarks(self.store.settings)


class SnapshotUnread(Door):
    """What a snapshot says of purges is passed over."""

    def _restored(self, position: int) -> None:
        self.applied = position


class FloorPassedOver(Door):
    """Who was away for longer than purges are kept goes on with what it has."""

    def _restored(self, position: int) -> None:
        before, self.applied = self.applied, position
        self._news.extend(past for past in self.purges.past.all() if past.position > before)


class EverythingDropped(Door):
    """A purge lets go of what others have, too."""

    def _purge(self, now_us: int, member: str, class_name: str, position: int) -> None:
        super()._purge(now_us, member, class_name, position)
        for reading in self.store.some(4):
            self.store.drop(reading)


class RepeatPurges(Door):
    """The same id again purges again."""

    def _applied(self, now_us: int, event: Applied) -> None:
        super()._applied(now_us, event)
        body = decode(event.entry.body) if event.entry.machine == MACHINE else None
        if isinstance(body, Ask) and not event.outcome.error:
            self._purge(now_us, body.member, body.class_name, event.entry.position)


class DoorLeftOut(Purges):
    """The last of those whose session was open is not waited for."""

    def _ask(self, entry: Entry, body: Ask) -> Outcome:
        whole = self.sessions

        class Fewer:
            def active_sessions(self) -> list[ActiveSession]:
                return sorted(whole.active_sessions(), key=lambda each: each.instance)[:-1]

        self.sessions = Fewer()  # type: ignore[assignment]
        try:
            return super()._ask(entry, body)
        finally:
            self.sessions = whole


class UnsortedRoster(Purges):
    """Front doors are listed as they come: in another order after a snapshot."""

    def _ask(self, entry: Entry, body: Ask) -> Outcome:
        with patch.object(machine, "cohort", lambda sessions: tuple(sessions.active_sessions())):
            return super()._ask(entry, body)


class _NoFloor(Purged):
    def _let_go(self) -> None:
        self._newest.popitem(last=False)


class PastForgottenEarly(Purges):
    """A snapshot names a purge no more though what it forbids is not dead."""

    def __init__(self, sessions: SessionsView, bounds: Bounds) -> None:
        super().__init__(sessions, bounds)
        self.past = _NoFloor(100, bounds.most_past)


class ForgottenIsNew(Purges):
    """An id of which nothing is known any more is asked for anew."""

    def forgot(self, purge_id: str) -> bool:
        return False


class WordOfNobody(Purges):
    """A purge is done by whoever says so."""

    def _finish(self, entry: Entry, body: object) -> Outcome:
        everybody = tuple(opened.fencing_token for opened in self.sessions.active_sessions())
        return super()._finish(entry, Done(body.upto, everybody))  # type: ignore[attr-defined]


class CrossingStore(Store):
    """A member at its bound pushes out whatever was used longest ago, of whomever."""

    def _make_room(self, reading: Reading) -> None:
        while self.size_of(reading.member) + reading.size > self.settings.member_bytes:
            self._push_out(next(iter(self._fresh or self._proven)))
        super()._make_room(reading)


class EvictionCrosses(Door):
    """With a store in which members push one another out."""

    def __init__(self, *arguments: object) -> None:
        super().__init__(*arguments)  # type: ignore[arg-type]
        self.store = self.fills.store = self._sweeps.store = CrossingStore(self.store.settings)


DOORS: Sequence[type[Door]] = (
    LateFillKept,
    FetchedWhenAnswered,
    HitCheckedOnce,
    LapseIgnored,
    ClearTooEarly,
    MarkForgottenEarly,
    SnapshotUnread,
    FloorPassedOver,
    EverythingDropped,
    RepeatPurges,
    EvictionCrosses,
)
MACHINES: Sequence[type[Purges]] = (
    DoorLeftOut,
    UnsortedRoster,
    PastForgottenEarly,
    ForgottenIsNew,
    WordOfNobody,
)
