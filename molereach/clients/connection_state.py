"""States of client connections, their timeouts, and the order in which connections are evicted.

This module is independent of the protocol: every implementation of `Connection` is subject to the same
connection limit, timeouts and eviction order.
"""

import abc
import asyncio
from enum import Enum

# A client that sends nothing valid must get an error or a close within 3 s of connecting. A valid client may
# be idle for at least 2 s.
FIRST_COMMAND_TIMEOUT_US = 2_300_000  # for the first complete command
COMMAND_TIMEOUT_US = 2_000_000  # for the rest of a partially received command
WRITE_TIMEOUT_US = 2_000_000  # for replies that the client does not read
LINGER_TIMEOUT_US = 400_000  # for reading the last reply, which a close with unread bytes would discard
IDLE_TIMEOUT_US = 15_000_000  # between requests
MIN_IDLE_US = 2_100_000  # between requests, before an idle connection may be evicted
NEVER_US = 1 << 62
TOO_MANY_CLIENTS = b"-ERR max number of clients reached\r\n"


class State(Enum):
    """What a connection is waiting for; each state has a timeout."""

    NEW = "no valid command yet"
    PING_ONLY = "nothing but PING yet"
    IDLE = "between requests"
    PARTIAL = "within a command"
    BUSY = "requests are open"
    WRITE_BLOCKED = "replies are not read"
    CLOSING = "closing"
    CHANGED = "a command was accepted; the state must be recomputed"


TIMEOUTS_US = {
    State.NEW: FIRST_COMMAND_TIMEOUT_US,
    State.PING_ONLY: IDLE_TIMEOUT_US,
    State.IDLE: IDLE_TIMEOUT_US,
    State.PARTIAL: COMMAND_TIMEOUT_US,
    State.BUSY: NEVER_US,
    State.WRITE_BLOCKED: WRITE_TIMEOUT_US,
    State.CLOSING: LINGER_TIMEOUT_US,
}


# States whose connections are evicted at the connection limit, in order, and the minimum time in the state.
# Valid clients may stay idle for that time. Those that have only sent PING are evicted earlier if a new
# connection would otherwise be rejected.
EVICTION_ORDER = (
    (State.NEW, 0),
    (State.PARTIAL, 0),
    (State.PING_ONLY, MIN_IDLE_US),
    (State.IDLE, MIN_IDLE_US),
    (State.PING_ONLY, 0),
)


class Connection(asyncio.BaseProtocol, abc.ABC):
    """Interface between the listener and a connection of any protocol."""

    state: State
    state_entered_us: int  # when the connection entered its state
    timeout_at_us: int  # when the state's timeout expires
    transport: asyncio.Transport  # set once the connection is attached
    is_attached = False
    is_over_limit = False  # accepted only to send an error

    @abc.abstractmethod
    def on_timeout(self) -> None:
        """Handle the expired timeout of the current state."""

    @abc.abstractmethod
    def on_peer_closed(self) -> None:
        """Handle a reset by the client, or a close while bytes from it are unread."""

    @abc.abstractmethod
    def close(self) -> None:
        """Half-close an idle connection, unless a request has just arrived or is being received."""

    @abc.abstractmethod
    def shut_down(self) -> None:
        """Stop reading, answer the commands that have been read, and half-close."""

    @abc.abstractmethod
    def has_data_in_flight(self) -> bool:
        """Whether an abort would lose data in either direction."""

    @abc.abstractmethod
    def evict(self) -> None:
        """Close without losing data, to make room for another connection."""

    @abc.abstractmethod
    def abort(self) -> None:
        """Close immediately, even if requests are open."""

    @abc.abstractmethod
    def buffered_bytes(self) -> int:
        """Size of incomplete commands and unread replies in bytes."""
