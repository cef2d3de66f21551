"""Which sessions are open, and how the earlier ones ended: the state machine "sessions".

A session's fence is the position of the entry that opened it. Sources: Burrows, "The Chubby lock service"
(OSDI 2006), sections 2.4 and 2.8; Ongaro, "Consensus: Bridging Theory and Practice" (2014), section 6.3.
"""

from collections.abc import Iterator
from typing import Annotated

import msgspec
from msgspec import Meta

from molereach.coordination.interface.clearance import ClearanceEvidence
from molereach.coordination.interface.identifiers import MAX_MEMBERS, Name, NodeInstance, Position, WireStruct
from molereach.coordination.interface.log import Entry, Outcome
from molereach.coordination.leases.bodies import MACHINE, BallotNumber, Close, Ended, Keeping, Open, decode

MOST_PAST = 4  # ended sessions kept of each name, for accounts under way


class Opened(WireStruct, frozen=True):
    """A session that is open."""

    life: NodeInstance
    fence: Position


class Past(WireStruct, frozen=True):
    """A session that is not open any more, how that is known, and by which entry."""

    life: NodeInstance
    fence: Position
    known: ClearanceEvidence
    position: Position


class _Door(WireStruct, frozen=True):
    name: Name
    open: Opened | None = None
    past: Annotated[tuple[Past, ...], Meta(max_length=MOST_PAST)] = ()  # the latest last
    dropped: Position = 0  # the fence of the first one that is not kept any more; 0 for none

    @property
    def life(self) -> NodeInstance | None:
        """The highest that had a session."""
        if self.open:
            return self.open.life
        return self.past[-1].life if self.past else None


class _State(WireStruct, frozen=True):
    ballot: BallotNumber
    doors: Annotated[tuple[_Door, ...], Meta(max_length=MAX_MEMBERS)]  # by name, each once


class Sessions:
    """One session at most for each name; a `StateMachine`."""

    name = MACHINE

    def __init__(self) -> None:
        self.ballot = 0  # of the leader that keeps the sessions
        self._doors: dict[str, _Door] = {}

    # --- what is asked of it ---

    def open(self, name: str) -> Opened | None:
        door = self._doors.get(name)
        return door.open if door else None

    def past(self, name: str) -> Past | None:
        """What ended last of a name."""
        door = self._doors.get(name)
        return door.past[-1] if door and door.past else None

    def life(self, name: str) -> NodeInstance | None:
        """The highest life of a name that had a session."""
        door = self._doors.get(name)
        return door.life if door else None

    def all_open(self) -> list[Opened]:
        return [door.open for door in self._doors.values() if door.open]

    def at(self, position: int) -> Iterator[Opened | Past]:
        """The sessions that were open when this position was applied, as they stand now.

        Of a name that has ended more often since than is kept, the oldest that is kept stands for it: it was
        opened anew. A name that made room for others is left out.
        """
        for door in self._doors.values():
            if door.open and door.open.fence < position:
                yield door.open
            yield from (past for past in door.past if past.fence < position < past.position)
            if door.dropped and door.dropped < position < door.past[0].fence:
                first = door.past[0]
                yield Past(first.life, first.fence, ClearanceEvidence.RESTARTED, first.fence)

    # --- entries ---

    def apply(self, entry: Entry) -> Outcome:
        try:
            body = decode(entry.body)
        except msgspec.DecodeError:  # its words are the library's, and may differ between its versions
            return Outcome("not understood")
        match body:
            case Open():
                return self._open(entry, body.life)
            case Ended():
                if body.ballot != self.ballot:
                    return Outcome("another leader keeps the sessions")
                return self._end(entry, body.life, body.fence, ClearanceEvidence.SESSION_EXPIRED)
            case Close():
                if entry.proposer != body.life:
                    return Outcome("a session is closed by its own front door alone")
                return self._end(entry, body.life, body.fence, ClearanceEvidence.LEFT)
            case Keeping():
                if body.ballot <= self.ballot:
                    return Outcome("a later leader keeps the sessions")
                self.ballot = body.ballot
                return Outcome()

    def _open(self, entry: Entry, life: NodeInstance) -> Outcome:
        if entry.proposer != life:
            return Outcome("a session is opened by its own front door alone")
        door = self._doors.get(life.name)
        if door is None:
            if len(self._doors) >= MAX_MEMBERS and not self._forget():
                return Outcome(f"more than {MAX_MEMBERS} front doors")
            door = _Door(life.name)
        if door.open and door.open.life == life:
            return Outcome(value=msgspec.json.encode(door.open))
        if refused := self._too_late(door, life):
            return Outcome(refused)
        if door.open:
            door = _ended(
                door, Past(door.open.life, door.open.fence, ClearanceEvidence.RESTARTED, entry.position)
            )
        opened = Opened(life, entry.position)
        self._doors[life.name] = msgspec.structs.replace(door, open=opened)
        return Outcome(value=msgspec.json.encode(opened))

    @staticmethod
    def _too_late(door: _Door, life: NodeInstance) -> str:
        """A run that was stopped until its session was over may open anew; one that left may not."""
        if door.life is None or door.life < life:
            return ""
        if door.life > life:
            return "a later life of this name has had a session"
        return "" if door.past[-1].known is ClearanceEvidence.SESSION_EXPIRED else "this life has left"

    def _end(self, entry: Entry, life: NodeInstance, fence: int, known: ClearanceEvidence) -> Outcome:
        door = self._doors.get(life.name)
        if door is None or door.open != Opened(life, fence):
            return Outcome("no such session is open")
        self._doors[life.name] = _ended(door, Past(life, fence, known, entry.position))
        return Outcome()

    def _forget(self) -> bool:
        """Make room by the name without a session whose last one ended first."""
        idle = [door for door in self._doors.values() if not door.open]
        if not idle:
            return False
        del self._doors[min(idle, key=lambda door: door.past[-1].position).name]
        return True

    # --- snapshots ---

    def snapshot(self) -> bytes:
        doors = tuple(self._doors[name] for name in sorted(self._doors))
        return msgspec.json.encode(_State(self.ballot, doors))

    def restore(self, data: bytes) -> None:
        try:
            state = msgspec.json.decode(data, type=_State)
        except msgspec.DecodeError as error:
            raise ValueError(f"not a snapshot of sessions: {error}") from None
        names = [door.name for door in state.doors]
        if names != sorted(set(names)) or any(not _sound(door) for door in state.doors):
            raise ValueError("not a snapshot of sessions: not as any log leaves it")
        self.ballot, self._doors = state.ballot, {door.name: door for door in state.doors}


def _ended(door: _Door, last: Past) -> _Door:
    past, dropped = (*door.past, last), door.dropped
    if len(past) > MOST_PAST:
        past, dropped = past[1:], dropped or past[0].fence
    return _Door(door.name, None, past, dropped)


def _sound(door: _Door) -> bool:
    """Whether a name's sessions follow one another."""
    if door.dropped and len(door.past) < MOST_PAST:
        return False
    marks = [door.dropped, *(mark for past in door.past for mark in (past.fence, past.position))]
    if door.open:
        marks.append(door.open.fence)
    # A session that was replaced ends where the next one is opened.
    lives = [past.life for past in door.past] + ([door.open.life] if door.open else [])
    names = {life.name for life in lives}
    return marks == sorted(marks) and lives == sorted(lives) and names == {door.name}
