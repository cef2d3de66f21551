"""Each core with one of its safeguards taken out, and what it is taken for."""

from collections.abc import Sequence
from dataclasses import replace
from typing import Any

from molereach.coordination.interface.clearance import ClearanceEvidence
from molereach.upkeep.permits.bodies import Word
from molereach.upkeep.permits.lifecycle import LEAVING, State, Step
from molereach.upkeep.permits.proof import SessionsAt, fault
from molereach.upkeep.permits.record import Record
from molereach.upkeep.permits.state_machine import Upkeep
from molereach.upkeep.requests.work_item import Work
from molereach.upkeep.routing import DoorSide
from molereach.upkeep.rules.scene import Off, Scene, Stop, Taken
from molereach.upkeep.rules.seasons import within
from molereach.upkeep.rules.settings import MonthDay, Season, UpkeepSettings
from molereach.upkeep.rules.voters import panel
from tests.upkeep.world_parts import Cores


class BeforeTheLastWord(Upkeep):
    """A word is enough, whatever it says."""

    def fault(self, record: Record, words: Sequence[Word], at_ms: int) -> str:
        taken = [
            Word(word.fence, word.known, record.begun) if word.known is ClearanceEvidence.REPORTED else word
            for word in words
        ]
        return super().fault(record, taken, at_ms)


class OldFactsTaken(Upkeep):
    """Facts of any age decide."""

    def __init__(self, settings: UpkeepSettings, sessions: SessionsAt) -> None:
        super().__init__(settings, sessions)
        self.book.fresh = lambda at_ms: None  # type: ignore[method-assign]


class FloorWithoutThoseThatDrain(Upkeep):
    """One that drains counts as there, as long as it is."""

    def __init__(self, settings: UpkeepSettings, sessions: SessionsAt) -> None:
        super().__init__(settings, sessions)
        self.book.taken = self._taken  # type: ignore[method-assign]

    def _taken(self) -> dict[str, Taken]:
        book = self.book
        found = {
            name: taken
            for each in book.records.values()
            for name, taken in each.taken().items()
            if each.state not in (State.ASKED, State.QUEUED)
        }
        return {
            name: replace(each, off=Off.WARMING) if book.records[each.work.id].state in LEAVING else each
            for name, each in found.items()
        }


class DoubledNumber(Upkeep):
    """The number of a permit is that of those that are out."""

    def number(self) -> int:
        return 1 + sum(each.state is State.OUT for each in self.book.records.values())


class LetOutAllTheSame(Upkeep):
    """One that was called back may go."""

    def next_state(self, record: Record, step: Step) -> State | None:
        return super().next_state(record, step) or (
            State.OUT if record.state is State.QUEUED and step is Step.OUT else None
        )


class NotWaitedFor(Upkeep):
    """A session that is over is enough."""

    def waited(self, position: int, at_ms: int) -> bool:
        return True


class StoodNever(Upkeep):
    """What stood is let go like any other."""

    def fault(self, record: Record, words: Sequence[Word], at_ms: int) -> str:
        return fault(words, self.sessions, record.begun, -1, lambda position: self.waited(position, at_ms))


class GoneBefore(Upkeep):
    """Those that had no session when the draining began are not asked for."""

    def fault(self, record: Record, words: Sequence[Word], at_ms: int) -> str:
        return fault(
            words,
            _Without(self.sessions),
            record.begun,
            -1,  # type: ignore[arg-type]
            lambda position: self.waited(position, at_ms),
        )


class _Without:
    def __init__(self, sessions: SessionsAt) -> None:
        self._sessions = sessions

    def lone(self) -> list[Any]:
        return []

    def __getattr__(self, name: str) -> Any:  # noqa: ANN401
        return getattr(self._sessions, name)


class AloneWithAll(DoorSide):
    """Without a session it goes on as it was."""

    def only(self, now_us: int) -> frozenset[str] | None:
        only = super().only(now_us)
        return None if self._held_us is not None else only


class AloneFromWaking(DoorSide):
    """The time without a session is counted from when that is noticed."""

    _noticed: int | None = None

    def only(self, now_us: int) -> frozenset[str] | None:
        if self._session.holds(now_us):
            self._noticed = None
        elif self._noticed is None and self._held_us is not None:
            self._noticed = now_us
        if self._noticed is not None:
            self._held_us = self._noticed
        return super().only(now_us)


class ClearAsApplied(DoorSide):
    """What is under way is not waited for."""

    @property
    def clear(self) -> int:
        return self._position


class UsedBeforeItsSession(DoorSide):
    """A new run serves before it knows anything."""

    def only(self, now_us: int) -> frozenset[str] | None:
        return super().only(now_us) if self._held_us is not None else None


def panel_without_those_that_drain(scene: Scene, work: Work) -> Stop | None:
    return panel(replace(scene, taken={}), work)


def within_without_the_last_day(day: MonthDay, season: Season) -> bool:
    return within(day, season) and day != season.last


MUTANTS: dict[str, Cores] = {
    "permit before the last word": Cores(BeforeTheLastWord),
    "old facts taken": Cores(OldFactsTaken),
    "floor counted without those that drain": Cores(FloorWithoutThoseThatDrain),
    "a number given twice": Cores(DoubledNumber),
    "one that was called back is let out": Cores(LetOutAllTheSame),
    "over is enough": Cores(NotWaitedFor),
    "what stood is let go": Cores(StoodNever),
    "those gone before are not asked for": Cores(GoneBefore),
    "alone with all servers": Cores(door=AloneWithAll),
    "alone from waking": Cores(door=AloneFromWaking),
    "clear as applied": Cores(door=ClearAsApplied),
    "used before its session": Cores(door=UsedBeforeItsSession),
}
