"""The states of a client's connection, their timeouts, and the order in which connections are evicted.

What a connection speaks is its own matter: whatever has the shape of `Connection` below shares the bound on
connections, the timeouts and the order of eviction.
"""

import abc
import asyncio
from enum import Enum

# A client that sends nothing valid is owed an error or a close within 3 s of its connecting; a valid one that
# is idle may stay for 2 s in any case.
FIRST_COMMAND_TIMEOUT_US = 2_300_000  # for the first complete command
COMMAND_TIMEOUT_US = 2_000_000  # for the end of a command that has begun
WRITE_TIMEOUT_US = 2_000_000  # for replies that are not read
LINGER_TIMEOUT_US = 400_000  # for the last reply before a close: a close with bytes unread would discard it
IDLE_TIMEOUT_US = 15_000_000  # between requests
MIN_IDLE_US = 2_100_000  # between requests, also when others need the place
NEVER_US = 1 << 62
TOO_MANY_CLIENTS = b"-ERR max number of clients reached\r\n"


class State(Enum):
    """What a connection is waiting for; each state has its timeout."""

    NEW = "no valid command yet"
    GREETED = "nothing but PING yet"
    IDLE = "between requests"
    PARTIAL = "within a command"
    BUSY = "requests are open"
    CLOGGED = "replies are not read"
    CLOSING = "closing"
    CHANGED = "a command was accepted: the state is to be determined"


TIMEOUTS_US = {
    State.NEW: FIRST_COMMAND_TIMEOUT_US,
    State.GREETED: IDLE_TIMEOUT_US,
    State.IDLE: IDLE_TIMEOUT_US,
    State.PARTIAL: COMMAND_TIMEOUT_US,
    State.BUSY: NEVER_US,
    State.CLOGGED: WRITE_TIMEOUT_US,
    State.CLOSING: LINGER_TIMEOUT_US,
}


# Which connections are evicted when all places are taken, and after how long in that state: a valid client
# keeps its place for its minimum time, but one that has only greeted is evicted before a new one is rejected.
EVICTION_ORDER = (
    (State.NEW, 0),
    (State.PARTIAL, 0),
    (State.GREETED, MIN_IDLE_US),
    (State.IDLE, MIN_IDLE_US),
    (State.GREETED, 0),
)


class Connection(asyncio.BaseProtocol, abc.ABC):
    """What the listener asks of a connection, whatever it speaks."""

    state: State
    since_us: int  # when it entered its state
    timeout_at_us: int  # when it will have been in its state for too long
    transport: asyncio.Transport  # from the time that it is attached
    is_attached = False
    is_over_limit = False  # it was accepted only to be sent an error

    @abc.abstractmethod
    def on_timeout(self) -> None:
        """It has been in its state for too long."""

    @abc.abstractmethod
    def on_peer_closed(self) -> None:
        """Its client has closed it behind bytes that are not read, or has reset it."""

    @abc.abstractmethod
    def close(self) -> None:
        """Half-close between requests, unless one has just arrived or begun."""

    @abc.abstractmethod
    def shut_down(self) -> None:
        """Answer what has been read, and half-close behind that; nothing more is read."""

    @abc.abstractmethod
    def has_data_in_flight(self) -> bool:
        """Whether an abort would lose something from it or for it."""

    @abc.abstractmethod
    def evict(self) -> None:
        """Close for others, in a way that loses nothing."""

    @abc.abstractmethod
    def abort(self) -> None:
        """Close at once, whatever is open on it."""

    @abc.abstractmethod
    def buffered_bytes(self) -> int:
        """Bytes of incomplete commands and of replies that are not read."""
