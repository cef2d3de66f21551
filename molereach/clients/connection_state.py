"""What a client's connection is waited for, for how long, and who gives way: what all of them share.

What a connection speaks is its own matter: whatever has the shape of `Connection` below shares the bound, the
times of its states and the order in which connections give way.
"""

import abc
import asyncio
from enum import Enum

# A client that is of no use is owed an error or a close within 3 s of its connecting; a good one that is
# idle may stay for 2 s in any case.
FIRST_US = 2_300_000  # for the first whole command
REST_OF_COMMAND_US = 2_000_000  # for the end of a command that has begun
READS_US = 2_000_000  # for answers that are not read
LINGER_US = 400_000  # for the last answer before a close: a close with bytes unread would discard it
IDLE_US = 15_000_000  # between requests
LEAST_IDLE_US = 2_100_000  # between requests, also when others need the place
NEVER = 1 << 62
CROWDED = b"-ERR max number of clients reached\r\n"


class State(Enum):
    """What a connection is waited for; each state has its time."""

    NEW = "no good command yet"
    GREETED = "nothing but PING yet"
    IDLE = "between requests"
    PARTIAL = "within a command"
    BUSY = "requests are open"
    CLOGGED = "answers are not read"
    CLOSING = "closing"
    CHANGED = "a command was taken: to be looked at anew"


WAITS_US = {
    State.NEW: FIRST_US,
    State.GREETED: IDLE_US,
    State.IDLE: IDLE_US,
    State.PARTIAL: REST_OF_COMMAND_US,
    State.BUSY: NEVER,
    State.CLOGGED: READS_US,
    State.CLOSING: LINGER_US,
}


# Who gives way when all places are taken, and after how long in that state: a good client keeps its place
# for its least time, but one that has only greeted does so before a new one is turned away.
GIVE_WAY = (
    (State.NEW, 0),
    (State.PARTIAL, 0),
    (State.GREETED, LEAST_IDLE_US),
    (State.IDLE, LEAST_IDLE_US),
    (State.GREETED, 0),
)


class Connection(asyncio.BaseProtocol, abc.ABC):
    """What the intake asks of a connection, whatever it speaks."""

    state: State
    since_us: int  # when it came into its state
    until_us: int  # when it will have been in it for too long
    transport: asyncio.Transport  # from the time that it is attached
    attached = False
    crowded = False  # it was accepted only to be told that there is no place for it

    @abc.abstractmethod
    def overdue(self) -> None:
        """It has been as it is for too long."""

    @abc.abstractmethod
    def peer_ended(self) -> None:
        """Its client has ended it, behind bytes that are not read, or has reset it."""

    @abc.abstractmethod
    def close(self) -> None:
        """Half-close between requests, unless one has just come or begun."""

    @abc.abstractmethod
    def end(self) -> None:
        """Answer what has been read, and end our side behind that; nothing more is read."""

    @abc.abstractmethod
    def on_its_way(self) -> bool:
        """Whether something of it, or for it, is on its way that an abort would take along."""

    @abc.abstractmethod
    def give_way(self) -> None:
        """Close for others, in a way that takes nothing along."""

    @abc.abstractmethod
    def abort(self) -> None:
        """Close at once, whatever is open on it."""

    @abc.abstractmethod
    def waiting_bytes(self) -> int:
        """Bytes of commands in part and of answers that are not read."""
