"""The front doors of one agent: what is known of each, how old that is, and what each is to be told. A core.

A front door that is killed leaves its socket behind: it is gone, and remembered. One that ends in order takes
its socket away: it has ended, and is forgotten after a while. One that is stopped takes what is sent and
says nothing: it is silent.
"""

from collections import deque
from dataclasses import dataclass

from molereach.fleet.api_bodies import Event, ProxyStatus, Reachability
from molereach.fleet.wire import ProxyState

MAX_PROXIES = 64
MAX_EVENTS = 512  # of the history
SILENCE_TIMEOUT_MS = 1000  # without a word, though it was asked
REMOVAL_DELAY_MS = 600_000  # after it has ended
SILENT_REASON = "it takes what is sent and says nothing"


@dataclass(frozen=True, slots=True)
class SocketsListed:
    """The sockets that are there now, by the name of their front door."""

    names: frozenset[str]


@dataclass(frozen=True, slots=True)
class Connected:
    """A connection to a front door stands."""

    proxy: str


@dataclass(frozen=True, slots=True)
class StateReceived:
    """A front door told its state."""

    proxy: str
    state: ProxyState


@dataclass(frozen=True, slots=True)
class Disconnected:
    """No connection, or none any more."""

    proxy: str
    reason: str


@dataclass(frozen=True, slots=True)
class RequestTimedOut:
    """A connection stands, and what was asked on it is not answered."""

    proxy: str


@dataclass(frozen=True, slots=True)
class RevisionChanged:
    """The book is at a revision; `ready` once this agent may speak for the fleet."""

    revision: int
    ready: bool


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed."""


@dataclass(frozen=True, slots=True)
class Connect:
    """Open a connection to a front door."""

    proxy: str


@dataclass(frozen=True, slots=True)
class SendOrders:
    """Tell a front door the orders in force."""

    proxy: str


@dataclass(frozen=True, slots=True)
class Disconnect:
    """Close the connection to a front door."""

    proxy: str


Action = Connect | SendOrders | Disconnect
RosterEvent = (
    SocketsListed | Connected | StateReceived | Disconnected | RequestTimedOut | RevisionChanged | Tick
)


@dataclass(slots=True)
class ProxyRecord:
    """What is known of a front door."""

    reachability: Reachability = "new"
    reported_ms: int | None = None
    changed_ms: int = 0
    reason: str = ""
    state: ProxyState | None = None
    connecting: bool = False


class Roster:
    """All front doors of an agent."""

    def __init__(self, agent: str) -> None:
        self.agent = agent
        self.proxies: dict[str, ProxyRecord] = {}
        self.revision, self.ready = 0, False
        self.history: deque[Event] = deque(maxlen=MAX_EVENTS)
        self.number = 0
        self.rejected_sockets = 0  # sockets beyond the bound

    def handle(self, now_ms: int, event: RosterEvent) -> list[Action]:
        """Take one event at `now_ms`; what to do now."""
        match event:
            case SocketsListed():
                return self.on_sockets(now_ms, event.names)
            case RevisionChanged():
                self.revision, self.ready = event.revision, event.ready
                return [SendOrders(name) for name, record in self.proxies.items() if self.is_behind(record)]
            case Tick():
                self.on_tick(now_ms)
                return []
        record = self.proxies.get(event.proxy)
        if record is None:
            return []
        match event:
            case Connected():
                record.connecting = False
                return [SendOrders(event.proxy)] if self.ready else []
            case StateReceived():
                return self.on_state(now_ms, event.proxy, record, event.state)
            case Disconnected():
                record.connecting = False
                if record.reachability != "gone":  # the first reason says most
                    self.set_reachability(now_ms, event.proxy, record, "gone", event.reason)
                return []
            case RequestTimedOut():
                self.set_reachability(now_ms, event.proxy, record, "silent", SILENT_REASON)
                return []

    def is_behind(self, record: ProxyRecord) -> bool:
        """Whether a front door that answers is to be told of orders."""
        return (
            self.ready
            and record.reachability in ("up", "silent")
            and record.state is not None
            and record.state.revision < self.revision
        )

    def on_sockets(self, now_ms: int, names: frozenset[str]) -> list[Action]:
        for name in sorted(names - self.proxies.keys()):
            if len(self.proxies) >= MAX_PROXIES:
                self.rejected_sockets += 1
                break
            self.proxies[name] = ProxyRecord(changed_ms=now_ms)
        actions: list[Action] = []
        for name, record in list(self.proxies.items()):
            if name in names and record.reachability in ("new", "gone", "ended") and not record.connecting:
                record.connecting = True
                actions.append(Connect(name))
            elif name not in names and record.reachability in ("new", "gone"):
                self.set_reachability(now_ms, name, record, "ended", "its socket is no longer there")
            elif record.reachability == "ended" and now_ms - record.changed_ms >= REMOVAL_DELAY_MS:
                del self.proxies[name]
        return actions

    def on_state(self, now_ms: int, name: str, record: ProxyRecord, state: ProxyState) -> list[Action]:
        if state.name != name:
            self.set_reachability(
                now_ms, name, record, "gone", f"another front door answers there: {state.name}"
            )
            return [Disconnect(name)]
        if record.state and record.state.pid != state.pid:
            self.add_event(now_ms, "door", name, f"started anew, with revision {state.revision}")
        if state.revision > self.revision:
            self.add_event(now_ms, "door", name, f"has revision {state.revision}, past this agent's")
        record.reported_ms, record.state = now_ms, state
        self.set_reachability(now_ms, name, record, "up", "")
        return [SendOrders(name)] if self.is_behind(record) else []

    def on_tick(self, now_ms: int) -> None:
        for name, record in self.proxies.items():
            if (
                record.reachability == "up"
                and record.reported_ms is not None
                and now_ms - record.reported_ms >= SILENCE_TIMEOUT_MS
            ):
                self.set_reachability(now_ms, name, record, "silent", SILENT_REASON)

    def set_reachability(
        self, now_ms: int, name: str, record: ProxyRecord, reach: Reachability, why: str
    ) -> None:
        if record.reachability != reach:
            self.add_event(
                now_ms, "door", name, f"{record.reachability} to {reach}" + (f": {why}" if why else "")
            )
            record.changed_ms = now_ms
        record.reachability, record.reason = reach, why

    def add_event(self, now_ms: int, kind: str, subject: str, text: str) -> None:
        """A line of the history."""
        self.number += 1
        self.history.append(Event(self.number, now_ms, self.agent, kind, subject, text))  # type: ignore[arg-type]

    def proxy_statuses(self, now_ms: int) -> tuple[ProxyStatus, ...]:
        """What is known of all front doors now."""
        return tuple(
            ProxyStatus(
                name, record.reachability, age_ms(now_ms, record.reported_ms), record.reason, record.state
            )
            for name, record in sorted(self.proxies.items())
        )


def age_ms(now_ms: int, heard_ms: int | None) -> int | None:
    return None if heard_ms is None else max(0, now_ms - heard_ms)
