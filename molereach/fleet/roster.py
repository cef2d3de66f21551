"""The front doors of one agent: what is known of each, how old that is, and what each is to be told. A core.

A front door that is killed leaves its socket behind: it is gone, and remembered. One that ends in order takes
its socket away: it has ended, and is forgotten after a while. One that is stopped takes what is sent and
says nothing: it is silent.
"""

from collections import deque
from dataclasses import dataclass

from molereach.fleet.api_bodies import DoorView, Event, Reach
from molereach.fleet.wire import State

MAX_MEMBERS = 64
MOST_EVENTS = 512  # of the history
QUIET_MS = 1000  # without a word, though it was asked
FORGET_MS = 600_000  # after it has ended
SILENT = "it takes what is sent and says nothing"


@dataclass(frozen=True, slots=True)
class Sockets:
    """The sockets that are there now, by the name of their front door."""

    names: frozenset[str]


@dataclass(frozen=True, slots=True)
class Opened:
    """A connection to a front door stands."""

    door: str


@dataclass(frozen=True, slots=True)
class Heard:
    """A front door told its state."""

    door: str
    state: State


@dataclass(frozen=True, slots=True)
class Lost:
    """No connection, or none any more."""

    door: str
    why: str


@dataclass(frozen=True, slots=True)
class Quiet:
    """A connection stands, and what was asked on it is not answered."""

    door: str


@dataclass(frozen=True, slots=True)
class Wanted:
    """The book is at a revision; `ready` once this agent may speak for the fleet."""

    revision: int
    ready: bool


@dataclass(frozen=True, slots=True)
class Look:
    """Time has passed."""


@dataclass(frozen=True, slots=True)
class Connect:
    """Open a connection to a front door."""

    door: str


@dataclass(frozen=True, slots=True)
class Put:
    """Tell a front door the orders in force."""

    door: str


@dataclass(frozen=True, slots=True)
class Drop:
    """Close the connection to a front door."""

    door: str


Action = Connect | Put | Drop
RosterEvent = Sockets | Opened | Heard | Lost | Quiet | Wanted | Look


@dataclass(slots=True)
class Record:
    """What is known of a front door."""

    reach: Reach = "new"
    heard_ms: int | None = None
    changed_ms: int = 0
    why: str = ""
    state: State | None = None
    connecting: bool = False


class Roster:
    """All front doors of an agent."""

    def __init__(self, agent: str) -> None:
        self.agent = agent
        self.doors: dict[str, Record] = {}
        self.revision, self.ready = 0, False
        self.history: deque[Event] = deque(maxlen=MOST_EVENTS)
        self.number = 0
        self.refused = 0  # sockets beyond the bound

    def handle(self, now_ms: int, event: RosterEvent) -> list[Action]:
        """Take one event at `now_ms`; what to do now."""
        match event:
            case Sockets():
                return self.on_sockets(now_ms, event.names)
            case Wanted():
                self.revision, self.ready = event.revision, event.ready
                return [Put(name) for name, record in self.doors.items() if self.lacks(record)]
            case Look():
                self.on_look(now_ms)
                return []
        record = self.doors.get(event.door)
        if record is None:
            return []
        match event:
            case Opened():
                record.connecting = False
                return [Put(event.door)] if self.ready else []
            case Heard():
                return self.on_heard(now_ms, event.door, record, event.state)
            case Lost():
                record.connecting = False
                if record.reach != "gone":  # the first reason says most
                    self.change(now_ms, event.door, record, "gone", event.why)
                return []
            case Quiet():
                self.change(now_ms, event.door, record, "silent", SILENT)
                return []

    def lacks(self, record: Record) -> bool:
        """Whether a front door that answers is to be told of orders."""
        return (
            self.ready
            and record.reach in ("up", "silent")
            and record.state is not None
            and record.state.revision < self.revision
        )

    def on_sockets(self, now_ms: int, names: frozenset[str]) -> list[Action]:
        for name in sorted(names - self.doors.keys()):
            if len(self.doors) >= MAX_MEMBERS:
                self.refused += 1
                break
            self.doors[name] = Record(changed_ms=now_ms)
        actions: list[Action] = []
        for name, record in list(self.doors.items()):
            if name in names and record.reach in ("new", "gone", "ended") and not record.connecting:
                record.connecting = True
                actions.append(Connect(name))
            elif name not in names and record.reach in ("new", "gone"):
                self.change(now_ms, name, record, "ended", "its socket is no longer there")
            elif record.reach == "ended" and now_ms - record.changed_ms >= FORGET_MS:
                del self.doors[name]
        return actions

    def on_heard(self, now_ms: int, name: str, record: Record, state: State) -> list[Action]:
        if state.name != name:
            self.change(now_ms, name, record, "gone", f"another front door answers there: {state.name}")
            return [Drop(name)]
        if record.state and record.state.pid != state.pid:
            self.note(now_ms, "door", name, f"started anew, with revision {state.revision}")
        if state.revision > self.revision:
            self.note(now_ms, "door", name, f"has revision {state.revision}, past this agent's")
        record.heard_ms, record.state = now_ms, state
        self.change(now_ms, name, record, "up", "")
        return [Put(name)] if self.lacks(record) else []

    def on_look(self, now_ms: int) -> None:
        for name, record in self.doors.items():
            if record.reach == "up" and record.heard_ms is not None and now_ms - record.heard_ms >= QUIET_MS:
                self.change(now_ms, name, record, "silent", SILENT)

    def change(self, now_ms: int, name: str, record: Record, reach: Reach, why: str) -> None:
        if record.reach != reach:
            self.note(now_ms, "door", name, f"{record.reach} to {reach}" + (f": {why}" if why else ""))
            record.changed_ms = now_ms
        record.reach, record.why = reach, why

    def note(self, now_ms: int, kind: str, subject: str, text: str) -> None:
        """A line of the history."""
        self.number += 1
        self.history.append(Event(self.number, now_ms, self.agent, kind, subject, text))  # type: ignore[arg-type]

    def views(self, now_ms: int) -> tuple[DoorView, ...]:
        """What is known of all front doors now."""
        return tuple(
            DoorView(name, record.reach, age(now_ms, record.heard_ms), record.why, record.state)
            for name, record in sorted(self.doors.items())
        )


def age(now_ms: int, heard_ms: int | None) -> int | None:
    return None if heard_ms is None else max(0, now_ms - heard_ms)
