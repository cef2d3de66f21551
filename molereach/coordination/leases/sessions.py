"""Which sessions are open, and how the earlier ones ended: the state machine "sessions".

A session's fence is the position of the entry that opened it. Sources: Burrows, "The Chubby lock service"
(OSDI 2006), sections 2.4 and 2.8; Ongaro, "Consensus: Bridging Theory and Practice" (2014), section 6.3.
"""

from collections.abc import Iterator
from typing import Annotated

import msgspec
from msgspec import Meta, field

from molereach.coordination.interface.clearance import ClearanceEvidence
from molereach.coordination.interface.identifiers import MAX_MEMBERS, Name, NodeInstance, Position, WireStruct
from molereach.coordination.interface.log import Entry, Outcome
from molereach.coordination.leases.bodies import (
    MACHINE,
    BallotNumber,
    BecomeManager,
    CloseSession,
    EndSession,
    OpenSession,
    decode,
)

MAX_ENDED_SESSIONS = 4  # ended sessions kept of each name, for accounts under way


class ActiveSession(WireStruct, frozen=True):
    """A session that is open."""

    incarnation: NodeInstance = field(name="life")
    fencing_token: Position = field(name="fence")


class EndedSession(WireStruct, frozen=True):
    """A session that is not open any more, how that is known, and by which entry."""

    incarnation: NodeInstance = field(name="life")
    fencing_token: Position = field(name="fence")
    known: ClearanceEvidence
    position: Position


class _ProxySessions(WireStruct, frozen=True):
    name: Name
    active: ActiveSession | None = field(name="open", default=None)
    ended: Annotated[tuple[EndedSession, ...], Meta(max_length=MAX_ENDED_SESSIONS)] = field(
        name="past", default=()
    )  # the latest last
    first_dropped_token: Position = field(
        name="dropped", default=0
    )  # the fence of the first one that is not kept any more; 0 for none

    @property
    def latest_incarnation(self) -> NodeInstance | None:
        """The highest that had a session."""
        if self.active:
            return self.active.incarnation
        return self.ended[-1].incarnation if self.ended else None


class _State(WireStruct, frozen=True):
    ballot: BallotNumber
    # by name, each once
    proxies: Annotated[tuple[_ProxySessions, ...], Meta(max_length=MAX_MEMBERS)] = field(name="doors")


class SessionRegistry:
    """One session at most for each name; a `StateMachine`."""

    name = MACHINE

    def __init__(self) -> None:
        self.ballot = 0  # of the leader that keeps the sessions
        self._proxies: dict[str, _ProxySessions] = {}

    # --- what is asked of it ---

    def active_session(self, name: str) -> ActiveSession | None:
        door = self._proxies.get(name)
        return door.active if door else None

    def last_ended_session(self, name: str) -> EndedSession | None:
        """What ended last of a name."""
        door = self._proxies.get(name)
        return door.ended[-1] if door and door.ended else None

    def latest_incarnation(self, name: str) -> NodeInstance | None:
        """The highest life of a name that had a session."""
        door = self._proxies.get(name)
        return door.latest_incarnation if door else None

    def active_sessions(self) -> list[ActiveSession]:
        return [door.active for door in self._proxies.values() if door.active]

    def sessions_open_at(self, position: int) -> Iterator[ActiveSession | EndedSession]:
        """The sessions that were open when this position was applied, as they stand now.

        Of a name that has ended more often since than is kept, the oldest that is kept stands for it: it was
        opened anew. A name that made room for others is left out.
        """
        for door in self._proxies.values():
            if door.active and door.active.fencing_token < position:
                yield door.active
            yield from (past for past in door.ended if past.fencing_token < position < past.position)
            if door.first_dropped_token and door.first_dropped_token < position < door.ended[0].fencing_token:
                first = door.ended[0]
                yield EndedSession(
                    first.incarnation, first.fencing_token, ClearanceEvidence.RESTARTED, first.fencing_token
                )

    # --- entries ---

    def apply(self, entry: Entry) -> Outcome:
        try:
            body = decode(entry.body)
        except msgspec.DecodeError:  # its words are the library's, and may differ between its versions
            return Outcome("not understood")
        match body:
            case OpenSession():
                return self._open_session(entry, body.incarnation)
            case EndSession():
                if body.ballot != self.ballot:
                    return Outcome("another leader keeps the sessions")
                return self._end_session(
                    entry, body.incarnation, body.fencing_token, ClearanceEvidence.SESSION_EXPIRED
                )
            case CloseSession():
                if entry.proposer != body.incarnation:
                    return Outcome("a session is closed by its own front door alone")
                return self._end_session(entry, body.incarnation, body.fencing_token, ClearanceEvidence.LEFT)
            case BecomeManager():
                if body.ballot <= self.ballot:
                    return Outcome("a later leader keeps the sessions")
                self.ballot = body.ballot
                return Outcome()

    def _open_session(self, entry: Entry, life: NodeInstance) -> Outcome:
        if entry.proposer != life:
            return Outcome("a session is opened by its own front door alone")
        door = self._proxies.get(life.name)
        if door is None:
            if len(self._proxies) >= MAX_MEMBERS and not self._evict_one():
                return Outcome(f"more than {MAX_MEMBERS} front doors")
            door = _ProxySessions(life.name)
        if door.active and door.active.incarnation == life:
            return Outcome(value=msgspec.json.encode(door.active))
        if refused := self._rejection(door, life):
            return Outcome(refused)
        if door.active:
            door = _with_ended_session(
                door,
                EndedSession(
                    door.active.incarnation,
                    door.active.fencing_token,
                    ClearanceEvidence.RESTARTED,
                    entry.position,
                ),
            )
        opened = ActiveSession(life, entry.position)
        self._proxies[life.name] = msgspec.structs.replace(door, active=opened)
        return Outcome(value=msgspec.json.encode(opened))

    @staticmethod
    def _rejection(door: _ProxySessions, life: NodeInstance) -> str:
        """A run that was stopped until its session was over may open anew; one that left may not."""
        if door.latest_incarnation is None or door.latest_incarnation < life:
            return ""
        if door.latest_incarnation > life:
            return "a later life of this name has had a session"
        return "" if door.ended[-1].known is ClearanceEvidence.SESSION_EXPIRED else "this life has left"

    def _end_session(self, entry: Entry, life: NodeInstance, fence: int, known: ClearanceEvidence) -> Outcome:
        door = self._proxies.get(life.name)
        if door is None or door.active != ActiveSession(life, fence):
            return Outcome("no such session is open")
        self._proxies[life.name] = _with_ended_session(door, EndedSession(life, fence, known, entry.position))
        return Outcome()

    def _evict_one(self) -> bool:
        """Make room by the name without a session whose last one ended first."""
        idle = [door for door in self._proxies.values() if not door.active]
        if not idle:
            return False
        del self._proxies[min(idle, key=lambda door: door.ended[-1].position).name]
        return True

    # --- snapshots ---

    def snapshot(self) -> bytes:
        doors = tuple(self._proxies[name] for name in sorted(self._proxies))
        return msgspec.json.encode(_State(self.ballot, doors))

    def restore(self, data: bytes) -> None:
        try:
            state = msgspec.json.decode(data, type=_State)
        except msgspec.DecodeError as error:
            raise ValueError(f"not a snapshot of sessions: {error}") from None
        names = [door.name for door in state.proxies]
        if names != sorted(set(names)) or any(not _is_consistent(door) for door in state.proxies):
            raise ValueError("not a snapshot of sessions: not as any log leaves it")
        self.ballot, self._proxies = state.ballot, {door.name: door for door in state.proxies}


def _with_ended_session(door: _ProxySessions, last: EndedSession) -> _ProxySessions:
    past, dropped = (*door.ended, last), door.first_dropped_token
    if len(past) > MAX_ENDED_SESSIONS:
        past, dropped = past[1:], dropped or past[0].fencing_token
    return _ProxySessions(door.name, None, past, dropped)


def _is_consistent(door: _ProxySessions) -> bool:
    """Whether a name's sessions follow one another."""
    if door.first_dropped_token and len(door.ended) < MAX_ENDED_SESSIONS:
        return False
    marks = [
        door.first_dropped_token,
        *(mark for past in door.ended for mark in (past.fencing_token, past.position)),
    ]
    if door.active:
        marks.append(door.active.fencing_token)
    # A session that was replaced ends where the next one is opened.
    lives = [past.incarnation for past in door.ended] + ([door.active.incarnation] if door.active else [])
    names = {life.name for life in lives}
    return marks == sorted(marks) and lives == sorted(lives) and names == {door.name}
