"""Mutants for mutation testing: each lacks one of the cache's safeguards."""

from collections.abc import Sequence
from unittest.mock import patch

from molereach.cache.door import Door
from molereach.cache.fills.admission import FillAdmission, FillResult
from molereach.cache.fills.ticket import Ticket
from molereach.cache.hit import Hit
from molereach.cache.purge import machine
from molereach.cache.purge.bodies import MACHINE, CompletePurges, RequestPurge, decode
from molereach.cache.purge.machine import Bounds, Purges
from molereach.cache.purge.past import Purged
from molereach.cache.purge.proof import SessionReader
from molereach.cache.readings.marks import Marks
from molereach.cache.readings.reading import Reading
from molereach.cache.readings.settings import ReadingSettings
from molereach.cache.readings.store import Store
from molereach.coordination.interface.log import Applied, Entry, Outcome
from molereach.coordination.leases.sessions import ActiveSession


class _LateFillAdmission(FillAdmission):
    def finish(self, now_us: int, ticket: Ticket, value: bytes) -> FillResult:
        newest_position = self.marks.newest_position(ticket.member, ticket.class_name)
        return super().finish(
            now_us,
            Ticket(
                ticket.member,
                ticket.class_name,
                ticket.request,
                ticket.sent_us,
                max(newest_position, ticket.applied_position),
            ),
            value,
        )


class LateAnswerStored(Door):
    """Stores an answer that was on its way while a purge was applied."""

    def __init__(self, *arguments: object) -> None:
        super().__init__(*arguments)  # type: ignore[arg-type]
        self.fills = _LateFillAdmission(self.store, self.marks)


class _AnswerTimeAdmission(FillAdmission):
    def finish(self, now_us: int, ticket: Ticket, value: bytes) -> FillResult:
        return super().finish(
            now_us,
            Ticket(ticket.member, ticket.class_name, ticket.request, now_us, ticket.applied_position),
            value,
        )


class AgeCountedFromAnswer(Door):
    """Counts a reading's age from when its answer arrived."""

    def __init__(self, *arguments: object) -> None:
        super().__init__(*arguments)  # type: ignore[arg-type]
        self.fills = _AnswerTimeAdmission(self.store, self.marks)


class _UncheckedHit(Hit):
    def is_usable(self, now_us: int) -> bool:
        return True


class HitCheckedOnce(Door):
    """Checks a hit when it is taken, and not before it is written."""

    def lookup(self, now_us: int, member: str, class_name: str, request: bytes) -> Hit | None:
        hit = super().lookup(now_us, member, class_name, request)
        return _UncheckedHit(self, hit._reading) if hit else None


class SessionExpiryIgnored(Door):
    """Does not check whether the session is valid."""

    def _may_show(self, now_us: int) -> bool:
        return self.applied_position >= self.announced_position and not self._news and not self._emptying


class ClearTooEarly(Door):
    """Reports `clear` of what was applied, before the readings are removed."""

    def _current_clear_position(self) -> int:
        return self.applied_position


class _ShortLivedMarks(Marks):
    def __init__(self, settings: ReadingSettings) -> None:
        super().__init__(settings)
        self._retention_us //= 8


class MarkRemovedEarly(Door):
    """Removes a mark before all that it invalidates has expired."""

    def __init__(self, *arguments: object) -> None:
        super().__init__(*arguments)  # type: ignore[arg-type]
        self.marks = self.fills.marks = _ShortLivedMarks(self.store.settings)


class SnapshotPurgesIgnored(Door):
    """Ignores the purges in a snapshot."""

    def _on_restored(self, position: int) -> None:
        self.applied_position = position


class FloorIgnored(Door):
    """Keeps its readings after it was away for longer than past purges are kept."""

    def _on_restored(self, position: int) -> None:
        previous, self.applied_position = self.applied_position, position
        self._news.extend(past for past in self.purges.past.entries() if past.position > previous)


class OtherMembersPurged(Door):
    """Removes other members' readings with a purge."""

    def _apply_purge(self, now_us: int, member: str, class_name: str, position: int) -> None:
        super()._apply_purge(now_us, member, class_name, position)
        for reading in self.store.oldest_readings(4):
            self.store.remove(reading)


class RepeatedRequestPurges(Door):
    """Purges once more when the same ID is requested a second time."""

    def _on_applied(self, now_us: int, event: Applied) -> None:
        super()._on_applied(now_us, event)
        body = decode(event.entry.body) if event.entry.machine == MACHINE else None
        if isinstance(body, RequestPurge) and not event.outcome.error:
            self._apply_purge(now_us, body.member, body.class_name, event.entry.position)


class SessionLeftOut(Purges):
    """Does not wait for the last of the open sessions."""

    def _request(self, entry: Entry, body: RequestPurge) -> Outcome:
        all_sessions = self.sessions

        class FewerSessions:
            def active_sessions(self) -> list[ActiveSession]:
                return sorted(all_sessions.active_sessions(), key=lambda session: session.instance)[:-1]

        self.sessions = FewerSessions()  # type: ignore[assignment]
        try:
            return super()._request(entry, body)
        finally:
            self.sessions = all_sessions


class UnsortedCohort(Purges):
    """Lists front doors unsorted, so that their order differs after a snapshot."""

    def _request(self, entry: Entry, body: RequestPurge) -> Outcome:
        with patch.object(machine, "open_cohort", lambda sessions: tuple(sessions.active_sessions())):
            return super()._request(entry, body)


class _PurgedWithoutFloor(Purged):
    def _drop_oldest(self) -> None:
        self._newest.popitem(last=False)


class PastPurgeDroppedEarly(Purges):
    """Drops a past purge from snapshots before all that it invalidates has expired."""

    def __init__(self, sessions: SessionReader, bounds: Bounds) -> None:
        super().__init__(sessions, bounds)
        self.past = _PurgedWithoutFloor(100, bounds.max_past)


class ForgottenIdAccepted(Purges):
    """Accepts a forgotten ID as a new purge."""

    def may_be_forgotten(self, purge_id: str) -> bool:
        return False


class ReportsNotRequired(Purges):
    """Completes a purge without the reports of open sessions."""

    def _complete(self, entry: Entry, body: object) -> Outcome:
        all_tokens = tuple(session.fencing_token for session in self.sessions.active_sessions())
        return super()._complete(entry, CompletePurges(body.up_to_position, all_tokens))  # type: ignore[attr-defined]


class CrossMemberStore(Store):
    """A member at its bound evicts the least recently used reading of any member."""

    def _evict_for(self, reading: Reading) -> None:
        while self.member_size(reading.member) + reading.size > self.settings.member_bytes:
            self._evict(next(iter(self._fresh or self._proven)))
        super()._evict_for(reading)


class CrossMemberEviction(Door):
    """Has a store in which members evict one another's readings."""

    def __init__(self, *arguments: object) -> None:
        super().__init__(*arguments)  # type: ignore[arg-type]
        self.store = self.fills.store = self._sweeps.store = CrossMemberStore(self.store.settings)


DOORS: Sequence[type[Door]] = (
    LateAnswerStored,
    AgeCountedFromAnswer,
    HitCheckedOnce,
    SessionExpiryIgnored,
    ClearTooEarly,
    MarkRemovedEarly,
    SnapshotPurgesIgnored,
    FloorIgnored,
    OtherMembersPurged,
    RepeatedRequestPurges,
    CrossMemberEviction,
)
MACHINES: Sequence[type[Purges]] = (
    SessionLeftOut,
    UnsortedCohort,
    PastPurgeDroppedEarly,
    ForgottenIdAccepted,
    ReportsNotRequired,
)
