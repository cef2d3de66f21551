"""Connections of clients to one front door, and the pool that reuses idle ones."""

import asyncio
from collections import deque
from dataclasses import dataclass
from typing import Any, cast

import hiredis

from rig.clock import now_us
from rig.facts import Extra, Fact
from rig.final_poll import LateCounts, wait_and_poll
from rig.sockets import Address

CONNECT_TIMEOUT_S = 1.0
MAX_IDLE_US = 1_500_000  # without a request; not used after it, as front doors may close it after 2 s
MAX_IDLE_CONNECTIONS = 64  # for each front door
MAX_LATENCY_SAMPLES = 4096  # for each front door


class LostError(Exception):
    """The connection ended before an answer."""


class ClientConnection(asyncio.Protocol):
    """A client's connection, which carries one request at a time."""

    def __init__(self, door: str, facts: list[Fact]) -> None:
        self.door, self.facts = door, facts
        self.reader: Any = hiredis.Reader()
        self.waiter: asyncio.Future[object] | None = None
        self.transport: asyncio.Transport | None = None
        self.created_us = now_us()  # just before it is opened
        self.asked, self.used, self.ended, self.departed = False, False, False, False
        self.idle_since_us = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        if self.departed:
            return
        try:
            self.reader.feed(data)
            while (reply := self.reader.gets()) is not False:
                self.on_reply(reply)
        except hiredis.ProtocolError:
            self.facts.append(Extra(now_us(), self.door, f"an answer that cannot be read: {data!r:.100}"))
            self.abort()

    def on_reply(self, reply: object) -> None:
        """Complete the pending request; a reply without one is a fact for the auditor."""
        waiter, self.waiter = self.waiter, None
        if waiter is not None and waiter.cancelled():
            return  # the client stopped waiting in this turn of the event loop: no fault
        if waiter is None and self.is_overdue and isinstance(reply, hiredis.ReplyError):
            self.abort()
        elif waiter is None:
            self.facts.append(Extra(now_us(), self.door, f"an answer that nobody waits for: {reply!r:.100}"))
        else:
            waiter.set_result(reply)

    def connection_lost(self, error: Exception | None) -> None:
        self.ended = True
        if self.waiter and not self.waiter.done():
            self.waiter.set_exception(LostError())

    @property
    def is_overdue(self) -> bool:
        """Whether no request was sent for so long that the front door may close it, which is no fault."""
        return not self.asked and now_us() - self.created_us > MAX_IDLE_US

    def ask(self, data: bytes) -> "asyncio.Future[object]":
        """Write a request; the future completes with the reply, or fails with LostError."""
        assert self.transport is not None and self.waiter is None
        self.asked = True
        self.waiter = asyncio.get_running_loop().create_future()
        self.transport.write(data)
        return self.waiter

    def abort(self) -> None:
        """Close the connection at once."""
        if self.transport:
            self.transport.abort()


@dataclass(slots=True)
class DoorCounts:
    """Requests of one front door as its clients saw them, for the live table."""

    served: int = 0
    refused: int = 0
    failed: int = 0
    lost: int = 0
    open: int = 0


class DoorPool:
    """The pool of client connections to one front door."""

    def __init__(self, name: str, address: Address, facts: list[Fact], late_counts: LateCounts) -> None:
        self.name, self.address, self.facts, self.late_counts = name, address, facts, late_counts
        self.idle: list[ClientConnection] = []
        self.all: dict[ClientConnection, None] = {}  # a dict for its fixed order: runs are reproducible
        self.counts = DoorCounts()
        self.latencies_us: deque[int] = deque(maxlen=MAX_LATENCY_SAMPLES)

    async def acquire(self, fresh: bool = False) -> ClientConnection:
        """An idle connection, or a new one; OSError or TimeoutError if it cannot be opened.

        LostError if the front door closes a new one at once.
        """
        while self.idle and not fresh:
            connection = self.idle.pop()
            if not connection.ended and now_us() - connection.idle_since_us <= MAX_IDLE_US:
                return connection
            self.drop(connection)
        while (connection := await self.connect()).is_overdue:
            connection.abort()
        if connection.ended:
            raise LostError
        self.all[connection] = None
        return connection

    async def connect(self) -> ClientConnection:
        """Open a connection; OSError, or TimeoutError if the front door does not take it in time."""
        loop = asyncio.get_running_loop()
        connecting = loop.create_task(
            loop.create_connection(lambda: ClientConnection(self.name, self.facts), *self.address)
        )
        try:
            is_in_time = await wait_and_poll(connecting, CONNECT_TIMEOUT_S)
            if not connecting.done():
                raise TimeoutError
            self.late_counts.connects += not is_in_time
            _, connection = connecting.result()
            return connection
        finally:
            connecting.cancel()

    def release(self, connection: ClientConnection) -> None:
        """Return a connection for reuse."""
        connection.used, connection.idle_since_us = True, now_us()
        self.idle.append(connection)
        if len(self.idle) > MAX_IDLE_CONNECTIONS:
            self.drop(self.idle.pop(0))

    def drop(self, connection: ClientConnection) -> None:
        """Close a connection."""
        self.all.pop(connection, None)
        connection.abort()

    def close(self) -> None:
        """Close all connections."""
        for connection in list(self.all):
            self.drop(connection)
