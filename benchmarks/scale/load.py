"""Clients of front doors: an open loop, paced by time, with latencies counted from when a request was due.

The next request is sent at its time regardless of answers. If none of a bounded number of connections is
free, it is counted as unsent.
"""

import asyncio
import time
from random import Random
from typing import Any, cast

import hiredis

from benchmarks.scale.tier import RATE, Requests, Tier
from rig.clients import encode

MAX_CONNECTIONS = 64  # to each door
TIMEOUT_S = 3.0  # for an answer; then the connection is aborted


class Connection(asyncio.Protocol):
    """A connection that carries one request at a time."""

    def __init__(self, stream: "RequestStream") -> None:
        self.stream, self.reader = stream, hiredis.Reader()
        self.due_s: float | None = None  # due time of the request in progress
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self.transport = cast(asyncio.Transport, transport)

    def send(self, due_s: float, data: bytes) -> None:
        """Send a request."""
        assert self.transport
        self.due_s = due_s
        self.transport.write(data)

    def data_received(self, data: bytes) -> None:
        """Count the answer and free the connection."""
        self.reader.feed(data)
        while (reply := self.reader.gets()) is not False:
            if self.due_s is not None:
                self.stream.answered(reply, time.monotonic() - self.due_s)
                self.due_s = None
                self.stream.free.append(self)

    def connection_lost(self, error: Exception | None) -> None:
        """Report the loss."""
        self.stream.lost(self)


class RequestStream:
    """The requests to one address."""

    def __init__(self, address: tuple[str, int], requests: Requests, random: Random, rate: float) -> None:
        self.address, self.requests, self.random, self.rate = address, requests, random, rate
        self.free: list[Connection] = []
        self.all: dict[Connection, None] = {}
        self.opening = 0
        self.tasks: set[asyncio.Task[None]] = set()
        self.reset_counts()
        self.task = asyncio.get_running_loop().create_task(self.run())

    def reset_counts(self) -> None:
        """Reset the counts."""
        self.counts = dict.fromkeys(("due", "served", "refused", "failed", "lost", "unsent"), 0)
        self.took_ms: list[float] = []
        self.late_ms: list[float] = []  # delays of this process itself
        self.why: dict[str, int] = {}

    async def run(self) -> None:
        """Send requests at random intervals."""
        due_s = time.monotonic()
        while True:
            due_s += self.random.expovariate(self.rate)
            remaining = due_s - time.monotonic()
            await asyncio.sleep(max(0.0, remaining))  # also when behind, so that answers are read
            self.abort_overdue()
            self.send(due_s)

    def abort_overdue(self) -> None:
        """Abort connections whose request has timed out."""
        now_s = time.monotonic()
        for connection in [one for one in self.all if one.due_s and now_s - one.due_s > TIMEOUT_S]:
            if connection.transport:
                connection.transport.abort()
                connection.transport = None

    def send(self, due_s: float) -> None:
        """Send a request on a free or new connection, if the limit allows one."""
        self.counts["due"] += 1
        self.late_ms.append(round((time.monotonic() - due_s) * 1000, 3))
        data = encode(self.requests.next_command())
        while self.free:
            connection = self.free.pop()
            if connection in self.all and connection.transport and not connection.transport.is_closing():
                connection.send(due_s, data)
                return
        if len(self.all) + self.opening >= MAX_CONNECTIONS:
            self.counts["unsent"] += 1
            return
        self.opening += 1
        task = asyncio.get_running_loop().create_task(self.open(due_s, data))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def open(self, due_s: float, data: bytes) -> None:
        """Open a connection and send a request on it."""
        try:
            async with asyncio.timeout(TIMEOUT_S):
                _, connection = await asyncio.get_running_loop().create_connection(
                    lambda: Connection(self), *self.address
                )
        except (OSError, TimeoutError):
            self.counts["lost"] += 1
            return
        finally:
            self.opening -= 1
        self.all[connection] = None
        connection.send(due_s, data)

    def answered(self, reply: object, took_s: float) -> None:
        """Count an answer."""
        error = str(reply) if isinstance(reply, hiredis.ReplyError) else ""
        outcome = "refused" if error.startswith("BUSY") else "failed" if error or reply is None else "served"
        self.counts[outcome] += 1
        if outcome == "served":
            self.took_ms.append(round(took_s * 1000, 3))
        elif len(self.why) < 10 or error in self.why:
            self.why[error] = self.why.get(error, 0) + 1

    def lost(self, connection: Connection) -> None:
        """Remove a connection, and count its request as lost."""
        self.all.pop(connection, None)
        self.counts["lost"] += connection.due_s is not None

    def take_counts(self) -> dict[str, object]:
        """Return the counts and reset them."""
        counts: dict[str, object] = {
            **self.counts,
            "took_ms": self.took_ms,
            "late_ms": self.late_ms,
            "why": self.why,
        }
        self.reset_counts()
        return counts

    def close(self) -> None:
        """Stop, and abort all connections."""
        self.task.cancel()
        for connection in list(self.all):
            connection.due_s = None
            if connection.transport:
                connection.transport.abort()


class Load:
    """The role `load` of a run."""

    def __init__(self) -> None:
        self.streams: dict[str, RequestStream] = {}

    async def do_begin(
        self, tier: dict[str, Any], doors: dict[str, tuple[int, tuple[str, int]]], rate: float = RATE
    ) -> dict[str, object]:
        """Send requests to doors by name, each with its number in the tier and its address."""
        running_tier = Tier(**tier)
        tenants = running_tier.tenants_of_all(door for door, _ in doors.values())
        for name, (door, address) in doors.items():
            random = Random(f"{running_tier.seed} {name}")
            requests = Requests(running_tier, door, tenants[door], random)
            if requests.tenants:
                self.streams[name] = RequestStream((address[0], address[1]), requests, random, rate)
        return {name: len(stream.requests.tenants) for name, stream in self.streams.items()}

    async def do_take(self) -> dict[str, object]:
        """Return the outcomes since the last call, by name."""
        return {name: stream.take_counts() for name, stream in self.streams.items()}

    async def do_end(self) -> dict[str, object]:
        """Stop all streams and return the last outcomes."""
        counts = await self.do_take()
        for stream in self.streams.values():
            stream.close()
        self.streams.clear()
        return counts
