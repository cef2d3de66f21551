"""The connections to one backend, and the attempts that wait for one."""

import asyncio
from typing import TYPE_CHECKING

from molereach.backends.attempt import Attempt
from molereach.backends.connection import Connection
from molereach.clock import now_us
from molereach.endpoint_address import EndpointAddress
from molereach.policy.interface.events import AttemptResult
from molereach.resp import has_unread

if TYPE_CHECKING:
    from molereach.backends.pools import Backends

REST_US = 5_000  # before a connection is used again: what a backend sends behind an answer comes by then


class Pool:
    """The connections to one backend."""

    def __init__(self, owner: "Backends", name: str, address: EndpointAddress, started_us: int = 0) -> None:
        self.owner, self.name, self.address, self.started_us = owner, name, address, started_us
        self.connections: dict[Connection, None] = {}  # all that hold a socket, until it is let go of
        self.idle: list[Connection] = []  # the one used last at the end, so that spare ones grow old
        self.waiting: dict[Attempt, None] = {}  # for a dial, the longest first
        self.connecting, self.heard_us, self.wanted = 0, 0, True

    def start(self, attempt: Attempt) -> None:
        attempt.pool = self
        if not self.wanted:  # decided before the news of it were known
            attempt.finish(AttemptResult.CONNECT_FAILED)
            return
        if connection := self.take_idle():
            connection.send(attempt)
            return
        if not self.owner.may_open():
            attempt.finish(
                AttemptResult.NOT_SENT
            )  # a shortage of ours, which is not to be held against the backend
            return
        self.waiting[attempt] = None
        self.connecting += 1
        connection = Connection(self)
        self.connections[connection] = None  # at once, as the bound counts those that are still connecting
        self.owner.open += 1
        self.owner.spawn(self.connect(connection))

    def take_idle(self) -> Connection | None:
        """The connection used last of those that have rested, are not too old, and have brought nothing more.

        What comes behind an answer, after the connection was given to the next request, would pass for that
        one's answer.
        """
        now = now_us()
        for connection in reversed(self.idle[:]):
            idle_us = now - connection.idle_since
            if idle_us < REST_US:
                continue
            good = connection.usable() and self.owner.reuse.good(idle_us)
            if good and connection.transport and not has_unread(connection.transport):
                self.idle.remove(connection)
                return connection
            connection.abort()
        return None

    async def dial(self, connection: Connection) -> bool:
        """Whether it came up; bounded, as a machine that is cut off says nothing."""
        try:
            async with asyncio.timeout(self.owner.connect_s):
                await asyncio.get_running_loop().create_connection(lambda: connection, *self.address)
        except (OSError, TimeoutError):
            # One that came up in the turn of its time-out has said so, and the loop has let go of its socket
            # all the same, without a word: it would rest here for good, and fail whoever is sent on it.
            connection.abort()
            connection.transport = None
            self.forget(connection)
            return False
        finally:
            self.connecting -= 1
        return connection.usable()

    async def connect(self, connection: Connection) -> None:
        """Open a connection for whoever waits longest."""
        connected = await self.dial(connection)
        if connected and connection.transport and has_unread(connection.transport):
            connection.abort()  # a backend that is full takes a connection and ends it at once
            connected = False
        attempt = self.first_waiting()
        if connected and attempt:
            del self.waiting[attempt]
            connection.send(attempt)
        elif connected and self.wanted:
            self.rest(connection)
        elif connected:
            connection.close()
        elif attempt and len(self.waiting) > self.connecting:
            attempt.give_up(AttemptResult.CONNECT_FAILED)

    def first_waiting(self) -> Attempt | None:
        """Who waits longest; one whose time to be written is over waits no more."""
        while attempt := next(iter(self.waiting), None):
            if not attempt.is_late():
                break
            attempt.withdraw(AttemptResult.NOT_SENT)
        return attempt

    def rest(self, connection: Connection) -> None:
        """A connection has nothing to do: it is kept for a while."""
        if self.wanted and connection.usable():
            connection.fresh, connection.idle_since = False, now_us()
            self.idle.append(connection)
        else:
            connection.close()

    def stop_using(self, connection: Connection) -> None:
        if connection in self.idle:
            self.idle.remove(connection)

    def lost(self, connection: Connection) -> None:
        """Its socket is let go of."""
        self.stop_using(connection)
        self.forget(connection)

    def forget(self, connection: Connection) -> None:
        if connection in self.connections:
            del self.connections[connection]
            self.owner.open -= 1

    def doubt(self, since_us: int) -> None:
        """Close what is idle where nothing was heard since: the machine may have vanished.

        Connections to it stay open and silent, and are reset when it is back; the next request on one
        would end as a reset, which an unsafe class cannot repeat.
        """
        if self.heard_us < since_us:
            self.close_idle()

    def close_unheard(self, since_us: int) -> None:
        """Close what is idle and was silent since: after a reset the machine may be another one."""
        for connection in [connection for connection in self.idle if connection.heard_us < since_us]:
            self.idle.remove(connection)
            connection.close()

    def close_idle(self, before_us: int | None = None) -> None:
        while self.idle and (before_us is None or self.idle[0].idle_since < before_us):
            self.idle.pop(0).close()

    def stop(self) -> None:
        """Nothing new goes there: what still waits for a dial goes elsewhere, whenever that comes up."""
        self.wanted = False
        self.close_idle()
        for attempt in list(self.waiting):
            attempt.give_up(AttemptResult.CONNECT_FAILED)
