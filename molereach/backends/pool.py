"""The connections to one backend, and the attempts that wait for one."""

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

MIN_IDLE_US = 5_000  # before a connection is used again: bytes behind an answer have arrived by then


class PoolOwner(Protocol):
    """What the pools share: the bound on connections, and what is known of idle ones."""

    reuse: IdleReuse
    connect_timeout_s: float
    open_connections: int

    def may_open(self) -> bool:
        """Whether there is a socket for one more connection."""

    def spawn(self, coroutine: Coroutine[None, None, None]) -> None:
        """Run a task that the owner ends at the latest when it closes."""


class BackendPool:
    """The connections to one backend."""

    def __init__(self, owner: PoolOwner, name: str, address: EndpointAddress, started_us: int = 0) -> None:
        self.owner = owner
        self.name = name
        self.address = address
        self.started_us = started_us
        self.reuse = owner.reuse
        self.connections: dict[BackendConnection, None] = {}  # all that hold a socket, until it is closed
        self.idle: list[BackendConnection] = []  # the one used last at the end, so that spare ones grow old
        self.waiting: dict[Attempt, None] = {}  # for a connection, the longest first
        self.dial_count = 0
        self.last_received_us = 0
        self.accepts_attempts = True

    def start(self, attempt: Attempt) -> None:
        """Send an attempt on an idle connection, or once a new one is up."""
        attempt.pool = self
        if not self.accepts_attempts:  # it was decided before the endpoint's change was known
            attempt.finish(AttemptResult.CONNECT_FAILED)
            return
        if connection := self.take_idle():
            connection.send(attempt)
            return
        if not self.owner.may_open():
            attempt.finish(AttemptResult.NOT_SENT)  # a shortage here, which is no fault of the backend
            return
        self.waiting[attempt] = None
        self.dial_count += 1
        connection = BackendConnection(self)
        self.connections[connection] = None  # at once: the bound counts connections that are being dialled
        self.owner.open_connections += 1
        self.owner.spawn(self.connect(connection))

    def remove_waiting(self, attempt: Attempt) -> None:
        """Let an attempt wait no more."""
        self.waiting.pop(attempt, None)

    def take_idle(self) -> BackendConnection | None:
        """The connection used last that was idle for a moment, is not too old, and has no unread bytes.

        Bytes that follow an answer, read after the connection was given to the next request, would pass for
        that request's answer.
        """
        current_us = now_us()
        for connection in reversed(self.idle[:]):
            idle_us = current_us - connection.idle_since_us
            if idle_us < MIN_IDLE_US:
                continue
            is_reusable = connection.is_usable() and self.reuse.is_reusable(idle_us)
            if is_reusable and connection.transport and not has_unread(connection.transport):
                self.idle.remove(connection)
                return connection
            connection.abort()
        return None

    async def dial(self, connection: BackendConnection) -> bool:
        """Connect within the timeout, as an unreachable machine says nothing; whether it came up."""
        try:
            async with asyncio.timeout(self.owner.connect_timeout_s):
                await asyncio.get_running_loop().create_connection(lambda: connection, *self.address)
        except (OSError, TimeoutError):
            # One that came up in the very turn of its timeout has reported so, and the loop has closed its
            # socket all the same, without a report: it would stay idle for good, and fail its next attempt.
            connection.abort()
            connection.transport = None
            self.forget(connection)
            return False
        finally:
            self.dial_count -= 1
        return connection.is_usable()

    async def connect(self, connection: BackendConnection) -> None:
        """Open a connection for the attempt that waits longest."""
        is_connected = await self.dial(connection)
        if is_connected and connection.transport and has_unread(connection.transport):
            connection.abort()  # a backend that is full accepts a connection and ends it at once
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
            attempt.give_up(AttemptResult.CONNECT_FAILED)

    def next_waiting(self) -> Attempt | None:
        """The attempt that waits longest; those past their write deadline are withdrawn."""
        while attempt := next(iter(self.waiting), None):
            if not attempt.is_past_write_deadline():
                break
            attempt.withdraw(AttemptResult.NOT_SENT)
        return attempt

    def keep_idle(self, connection: BackendConnection) -> None:
        """Keep a connection that has nothing to do."""
        if self.accepts_attempts and connection.is_usable():
            connection.is_new = False
            connection.idle_since_us = now_us()
            self.idle.append(connection)
        else:
            connection.close()

    def remove_idle(self, connection: BackendConnection) -> None:
        """Do not use a connection again."""
        if connection in self.idle:
            self.idle.remove(connection)

    def on_connection_lost(self, connection: BackendConnection) -> None:
        """A connection's socket is closed."""
        self.remove_idle(connection)
        self.forget(connection)

    def forget(self, connection: BackendConnection) -> None:
        """Count a connection no more."""
        if connection in self.connections:
            del self.connections[connection]
            self.owner.open_connections -= 1

    def suspect_silence(self, since_us: int) -> None:
        """Close idle connections where nothing was received since: the machine may have vanished.

        Connections to it stay open and silent, and are reset when it is back; the next request on one would
        end as a reset, which a non-idempotent class cannot retry.
        """
        if self.last_received_us < since_us:
            self.close_idle()

    def close_silent(self, since_us: int) -> None:
        """Close idle connections that were silent since: after a reset the machine may be another one."""
        silent = [connection for connection in self.idle if connection.last_received_us < since_us]
        for connection in silent:
            self.idle.remove(connection)
            connection.close()

    def close_idle(self, before_us: int | None = None) -> None:
        """Close idle connections, or only those idle since before a time."""
        while self.idle and (before_us is None or self.idle[0].idle_since_us < before_us):
            self.idle.pop(0).close()

    def stop(self) -> None:
        """Start nothing new; attempts that wait for a connection end at once, and go elsewhere."""
        self.accepts_attempts = False
        self.close_idle()
        for attempt in list(self.waiting):
            attempt.give_up(AttemptResult.CONNECT_FAILED)
