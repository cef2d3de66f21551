"""The proxies of one agent: their last states, and which of them lack orders. A state machine without I/O.

A proxy that was killed leaves its socket behind: it is "gone" and stays listed. One that exited normally has
removed its socket: it is "ended", and removed from the list after `REMOVAL_DELAY_MS`. One that hangs accepts
requests but does not respond: it is "silent".
"""

from collections import deque
from dataclasses import dataclass

from molereach.fleet.api_bodies import Event, ProxyStatus, Reachability
from molereach.fleet.wire import ProxyState

MAX_PROXIES = 64
MAX_EVENTS = 512  # in the history
SILENCE_TIMEOUT_MS = 1000  # a proxy without a response for this long is silent
REMOVAL_DELAY_MS = 600_000  # from "ended" until the proxy is removed from the list
SILENT_REASON = "it takes what is sent and says nothing"


@dataclass(frozen=True, slots=True)
class SocketsListed:
    """The folder of sockets was read: the names of the proxies whose sockets exist."""

    names: frozenset[str]


@dataclass(frozen=True, slots=True)
class Connected:
    """A connection to a proxy was opened."""

    proxy: str


@dataclass(frozen=True, slots=True)
class StateReceived:
    """A proxy sent its state."""

    proxy: str
    state: ProxyState


@dataclass(frozen=True, slots=True)
class Disconnected:
    """A connection to a proxy failed or was closed."""

    proxy: str
    reason: str


@dataclass(frozen=True, slots=True)
class RequestUnanswered:
    """A request on an open connection got no response in time."""

    proxy: str


@dataclass(frozen=True, slots=True)
class RevisionOrReadinessChanged:
    """The agent's revision or readiness changed; proxies are sent orders only while `ready`."""

    revision: int
    ready: bool


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed; the caller reports it at intervals."""


@dataclass(frozen=True, slots=True)
class Connect:
    """Open a connection to a proxy."""

    proxy: str


@dataclass(frozen=True, slots=True)
class SendOrders:
    """Send a proxy the orders in force."""

    proxy: str


@dataclass(frozen=True, slots=True)
class Disconnect:
    """Close the connection to a proxy."""

    proxy: str


Action = Connect | SendOrders | Disconnect
RosterEvent = (
    SocketsListed
    | Connected
    | StateReceived
    | Disconnected
    | RequestUnanswered
    | RevisionOrReadinessChanged
    | Tick
)


@dataclass(slots=True)
class ProxyRecord:
    """What is known of a proxy.

    `reported_ms` is the time of its last response, `changed_ms` that of the last change of reachability, and
    `has_connection` whether a connection is open or being opened.
    """

    reachability: Reachability = "new"
    reported_ms: int | None = None
    changed_ms: int = 0
    reason: str = ""
    state: ProxyState | None = None
    has_connection: bool = False


class Roster:
    """The proxies of an agent, and the history of their changes."""

    def __init__(self, agent: str) -> None:
        """Start without proxies; `agent` is the agent's name in events."""
        self.agent = agent
        self.proxies: dict[str, ProxyRecord] = {}
        self.revision = 0
        self.ready = False  # whether orders may be sent to proxies
        self.history: deque[Event] = deque(maxlen=MAX_EVENTS)
        self.last_event_number = 0
        self.truncated_listings = 0  # listings with more than MAX_PROXIES proxies

    def handle(self, now_ms: int, event: RosterEvent) -> list[Action]:
        """Handle one event at `now_ms`; return the actions to carry out."""
        match event:
            case SocketsListed():
                return self.on_sockets(now_ms, event.names)
            case RevisionOrReadinessChanged():
                self.revision = event.revision
                self.ready = event.ready
                return [SendOrders(name) for name, record in self.proxies.items() if self.is_behind(record)]
            case Tick():
                self.on_tick(now_ms)
                return []
        record = self.proxies.get(event.proxy)
        if record is None:
            return []
        match event:
            case Connected():
                return [SendOrders(event.proxy)] if self.ready else []
            case StateReceived():
                return self.on_state(now_ms, event.proxy, record, event.state)
            case Disconnected():
                record.has_connection = False
                if record.reachability != "gone":  # the first reason names the cause
                    self.set_reachability(now_ms, event.proxy, record, "gone", event.reason)
                return []
            case RequestUnanswered():
                self.set_reachability(now_ms, event.proxy, record, "silent", SILENT_REASON)
                return []

    def is_behind(self, record: ProxyRecord) -> bool:
        """Return whether a connected proxy lacks orders that the agent may send."""
        return (
            self.ready
            and record.reachability in ("up", "silent")
            and record.state is not None
            and record.state.revision < self.revision
        )

    def on_sockets(self, now_ms: int, names: frozenset[str]) -> list[Action]:
        """Add proxies with new sockets, connect to disconnected ones, and remove those ended long ago."""
        for name in sorted(names - self.proxies.keys()):
            if len(self.proxies) >= MAX_PROXIES:
                self.truncated_listings += 1
                break
            self.proxies[name] = ProxyRecord(changed_ms=now_ms)
        actions: list[Action] = []
        for name, record in list(self.proxies.items()):
            if (
                name in names
                and record.reachability in ("new", "gone", "ended")
                and not record.has_connection
            ):
                record.has_connection = True
                actions.append(Connect(name))
            elif name not in names and record.reachability in ("new", "gone"):
                self.set_reachability(now_ms, name, record, "ended", "its socket is no longer there")
            elif record.reachability == "ended" and now_ms - record.changed_ms >= REMOVAL_DELAY_MS:
                del self.proxies[name]
        return actions

    def on_state(self, now_ms: int, name: str, record: ProxyRecord, state: ProxyState) -> list[Action]:
        """Store the state that a proxy sent; send it the orders that it lacks."""
        if state.name != name:
            record.has_connection = False
            self.set_reachability(
                now_ms, name, record, "gone", f"another front door answers there: {state.name}"
            )
            return [Disconnect(name)]
        if record.state and record.state.pid != state.pid:
            self.add_event(now_ms, "door", name, f"started anew, with revision {state.revision}")
        if state.revision > self.revision:
            self.add_event(now_ms, "door", name, f"has revision {state.revision}, past this agent's")
        record.reported_ms = now_ms
        record.state = state
        self.set_reachability(now_ms, name, record, "up", "")
        return [SendOrders(name)] if self.is_behind(record) else []

    def on_tick(self, now_ms: int) -> None:
        """Mark proxies whose last response is too old as silent."""
        for name, record in self.proxies.items():
            if (
                record.reachability == "up"
                and record.reported_ms is not None
                and now_ms - record.reported_ms >= SILENCE_TIMEOUT_MS
            ):
                self.set_reachability(now_ms, name, record, "silent", SILENT_REASON)

    def set_reachability(
        self, now_ms: int, name: str, record: ProxyRecord, reachability: Reachability, reason: str
    ) -> None:
        """Set the reachability of a proxy; add an event if it changed."""
        if record.reachability != reachability:
            self.add_event(
                now_ms,
                "door",
                name,
                f"{record.reachability} to {reachability}" + (f": {reason}" if reason else ""),
            )
            record.changed_ms = now_ms
        record.reachability = reachability
        record.reason = reason

    def add_event(self, now_ms: int, kind: str, subject: str, text: str) -> None:
        """Add an event to the history."""
        self.last_event_number += 1
        self.history.append(Event(self.last_event_number, now_ms, self.agent, kind, subject, text))  # type: ignore[arg-type]

    def proxy_statuses(self, now_ms: int) -> tuple[ProxyStatus, ...]:
        """Return the status of all proxies, sorted by name."""
        return tuple(
            ProxyStatus(
                name, record.reachability, age_ms(now_ms, record.reported_ms), record.reason, record.state
            )
            for name, record in sorted(self.proxies.items())
        )


def age_ms(now_ms: int, reported_ms: int | None) -> int | None:
    """Return the age of a report, or None if there is none."""
    return None if reported_ms is None else max(0, now_ms - reported_ms)
