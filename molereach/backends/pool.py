"""The connection pool of one backend, and the attempts that wait for a connection."""

import asyncio
from collections.abc import Coroutine
from typing import Protocol

from molereach.backends.attempt import Attempt
from molereach.backends.connection import BackendConnection
from molereach.backends.idle_reuse import IdleReuse
from molereach.clock import now_us
from molereach.endpoint_address import EndpointAddress
from molereach.policy.interface.events import AttemptResult
from molereach.resp import has_unread

MIN_IDLE_US = 5_000  # before reuse, so that surplus bytes after an answer have arrived


class PoolOwner(Protocol):
    """State shared by all pools: the connection limit and the reset rates of idle connections."""

    idle_reuse: IdleReuse
    connect_timeout_s: float
    open_connections: int

    def may_open(self) -> bool:
        """Whether the limit permits one more connection."""

    def spawn(self, coroutine: Coroutine[None, None, None]) -> None:
        """Run a coroutine as a task, which the owner cancels when it closes."""


class BackendPool:
    """Connection pool of one backend."""

    def __init__(self, owner: PoolOwner, name: str, address: EndpointAddress, started_us: int = 0) -> None:
        self.owner = owner
        self.name = name
        self.address = address
        self.started_us = started_us  # when the backend started, which tells restarts apart; 0 if unknown
        self.idle_reuse = owner.idle_reuse
        self.connections: dict[BackendConnection, None] = {}  # until their sockets are closed
        # Most recently used last and taken first, so that surplus ones stay idle and are closed.
        self.idle: list[BackendConnection] = []
        self.waiting: dict[Attempt, None] = {}  # attempts without a connection, longest waiting first
        self.dial_count = 0  # dials in progress
        self.last_received_us = 0
        self.accepts_attempts = True

    def start(self, attempt: Attempt) -> None:
        """Send an attempt on an idle connection, or on a new one once it is established."""
        attempt.pool = self
        if not self.accepts_attempts:  # the policy chose this backend before the endpoint list changed
            attempt.finish(AttemptResult.CONNECT_FAILED)
            return
        if connection := self.take_idle():
            connection.send(attempt)
            return
        if not self.owner.may_open():
            attempt.finish(AttemptResult.NOT_SENT)  # a local shortage, not the backend's fault
            return
        self.waiting[attempt] = None
        self.dial_count += 1
        connection = BackendConnection(self)
        self.connections[connection] = None  # now, as the limit includes connections being opened
        self.owner.open_connections += 1
        self.owner.spawn(self.connect(connection))

    def remove_waiting(self, attempt: Attempt) -> None:
        """Remove an attempt from the queue for a connection."""
        self.waiting.pop(attempt, None)

    def take_idle(self) -> BackendConnection | None:
        """Take the most recently used connection that is reusable and was idle for at least `MIN_IDLE_US`.

        Connections with unread bytes are discarded: surplus bytes after an answer would be taken for the
        answer to the next request.
        """
        current_us = now_us()
        for connection in reversed(self.idle[:]):
            idle_us = current_us - connection.idle_since_us
            if idle_us < MIN_IDLE_US:
                continue
            is_reusable = connection.is_usable() and self.idle_reuse.is_reusable(idle_us)
            if is_reusable and connection.transport and not has_unread(connection.transport):
                self.idle.remove(connection)
                return connection
            connection.abort()
        return None

    async def dial(self, connection: BackendConnection) -> bool:
        """Connect within a timeout, as an unreachable machine sends no error; return whether it succeeded."""
        try:
            async with asyncio.timeout(self.owner.connect_timeout_s):
                await asyncio.get_running_loop().create_connection(lambda: connection, *self.address)
        except (OSError, TimeoutError):
            # If the connection is established in the loop iteration of its timeout, the event loop calls
            # `connection_made` and then closes the socket without calling `connection_lost`. The connection
            # would stay idle forever and fail its next attempt.
            connection.abort()
            connection.transport = None
            self.remove_connection(connection)
            return False
        finally:
            self.dial_count -= 1
        return connection.is_usable()

    async def connect(self, connection: BackendConnection) -> None:
        """Open a connection for the longest waiting attempt."""
        is_connected = await self.dial(connection)
        if is_connected and connection.transport and has_unread(connection.transport):
            connection.abort()  # a backend at its limit accepts a connection and closes it immediately
            is_connected = False
        attempt = self.next_waiting()
        if is_connected and attempt:
            del self.waiting[attempt]
            connection.send(attempt)
        elif is_connected and self.accepts_attempts:
            self.keep_idle(connection)
        elif is_connected:
            connection.close()
        elif attempt and len(self.waiting) > self.dial_count:
            # Fewer dials are in progress than attempts wait, so nothing would serve this one.
            attempt.give_up(AttemptResult.CONNECT_FAILED)

    def next_waiting(self) -> Attempt | None:
        """Return the longest waiting attempt and cancel those past their write deadline.

        No waiting attempt is written, so `cancel_if_unwritten` gives it up: `give_up` removes it from
        `waiting`, so that the loop ends, and `finish` reports its result.
        """
        while attempt := next(iter(self.waiting), None):
            if not attempt.is_past_write_deadline():
                break
            attempt.cancel_if_unwritten(AttemptResult.NOT_SENT)
        return attempt

    def keep_idle(self, connection: BackendConnection) -> None:
        """Keep a connection for reuse, or close it if the pool accepts no attempts."""
        if self.accepts_attempts and connection.is_usable():
            connection.is_new = False
            connection.idle_since_us = now_us()
            self.idle.append(connection)
        else:
            connection.close()

    def remove_idle(self, connection: BackendConnection) -> None:
        """Exclude a connection from reuse."""
        if connection in self.idle:
            self.idle.remove(connection)

    def on_connection_lost(self, connection: BackendConnection) -> None:
        """Handle the closed socket of a connection."""
        self.remove_idle(connection)
        self.remove_connection(connection)

    def remove_connection(self, connection: BackendConnection) -> None:
        """Remove a connection from the pool and from the connection count."""
        if connection in self.connections:
            del self.connections[connection]
            self.owner.open_connections -= 1

    def on_attempt_timeout(self, sent_us: int) -> None:
        """Close all idle connections if nothing was received since `sent_us`: the machine may have vanished.

        Connections to a vanished machine stay open and are reset once it returns. A request sent on one would
        be reset, which cannot be retried in a non-idempotent class.
        """
        if self.last_received_us < sent_us:
            self.close_idle()

    def on_attempt_reset(self, sent_us: int) -> None:
        """Close idle connections that received nothing since `sent_us`, as the backend may have restarted."""
        silent_connections = [connection for connection in self.idle if connection.last_received_us < sent_us]
        for connection in silent_connections:
            self.idle.remove(connection)
            connection.close()

    def close_idle(self, before_us: int | None = None) -> None:
        """Close all idle connections, or those idle since before `before_us`."""
        while self.idle and (before_us is None or self.idle[0].idle_since_us < before_us):
            self.idle.pop(0).close()

    def stop(self) -> None:
        """Accept no more attempts; waiting ones fail immediately so that they are retried elsewhere."""
        self.accepts_attempts = False
        self.close_idle()
        for attempt in list(self.waiting):
            attempt.give_up(AttemptResult.CONNECT_FAILED)
