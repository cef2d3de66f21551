"""Clients of front doors: an open loop, paced by time, with latencies from when a request was due.

Whatever the answers do, the next request is sent at its time; where none of a bounded number of connections
is free, it is given up and counted.
"""

import asyncio
import time
from random import Random
from typing import Any, cast

import hiredis

from benchmarks.scale.tier import RATE, Requests, Tier
from rig.clients import encode

MOST_CONNECTIONS = 64  # to each door
WAIT_S = 3.0  # for an answer; then the connection ends


class Connection(asyncio.Protocol):
    """One request at a time."""

    def __init__(self, stream: "Stream") -> None:
        self.stream, self.reader = stream, hiredis.Reader()
        self.due_s: float | None = None  # of the request that is out
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def ask(self, due_s: float, data: bytes) -> None:
        assert self.transport
        self.due_s = due_s
        self.transport.write(data)

    def data_received(self, data: bytes) -> None:
        self.reader.feed(data)
        while (reply := self.reader.gets()) is not False:
            if self.due_s is not None:
                self.stream.answered(reply, time.monotonic() - self.due_s)
                self.due_s = None
                self.stream.free.append(self)

    def connection_lost(self, error: Exception | None) -> None:
        self.stream.lost(self)


class Stream:
    """The requests to one address."""

    def __init__(self, address: tuple[str, int], requests: Requests, random: Random, rate: float) -> None:
        self.address, self.requests, self.random, self.rate = address, requests, random, rate
        self.free: list[Connection] = []
        self.all: dict[Connection, None] = {}
        self.opening = 0
        self.tasks: set[asyncio.Task[None]] = set()
        self.clear()
        self.task = asyncio.get_running_loop().create_task(self.run())

    def clear(self) -> None:
        self.counts = dict.fromkeys(("due", "served", "refused", "failed", "lost", "unsent"), 0)
        self.took_ms: list[float] = []
        self.late_ms: list[float] = []  # this process itself, with what was due
        self.why: dict[str, int] = {}

    async def run(self) -> None:
        due_s = time.monotonic()
        while True:
            due_s += self.random.expovariate(self.rate)
            left = due_s - time.monotonic()
            await asyncio.sleep(max(0.0, left))  # also when behind: answers are to be read
            self.sweep()
            self.send(due_s)

    def sweep(self) -> None:
        """Give up on what is not answered."""
        now_s = time.monotonic()
        for connection in [one for one in self.all if one.due_s and now_s - one.due_s > WAIT_S]:
            if connection.transport:
                connection.transport.abort()
                connection.transport = None

    def send(self, due_s: float) -> None:
        self.counts["due"] += 1
        self.late_ms.append(round((time.monotonic() - due_s) * 1000, 3))
        data = encode(self.requests.words())
        while self.free:
            connection = self.free.pop()
            if connection in self.all and connection.transport and not connection.transport.is_closing():
                connection.ask(due_s, data)
                return
        if len(self.all) + self.opening >= MOST_CONNECTIONS:
            self.counts["unsent"] += 1
            return
        self.opening += 1
        task = asyncio.get_running_loop().create_task(self.open(due_s, data))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def open(self, due_s: float, data: bytes) -> None:
        try:
            async with asyncio.timeout(WAIT_S):
                _, connection = await asyncio.get_running_loop().create_connection(
                    lambda: Connection(self), *self.address
                )
        except (OSError, TimeoutError):
            self.counts["lost"] += 1
            return
        finally:
            self.opening -= 1
        self.all[connection] = None
        connection.ask(due_s, data)

    def answered(self, reply: object, took_s: float) -> None:
        error = str(reply) if isinstance(reply, hiredis.ReplyError) else ""
        kind = "refused" if error.startswith("BUSY") else "failed" if error or reply is None else "served"
        self.counts[kind] += 1
        if kind == "served":
            self.took_ms.append(round(took_s * 1000, 3))
        elif len(self.why) < 10 or error in self.why:
            self.why[error] = self.why.get(error, 0) + 1

    def lost(self, connection: Connection) -> None:
        self.all.pop(connection, None)
        self.counts["lost"] += connection.due_s is not None

    def take(self) -> dict[str, object]:
        taken: dict[str, object] = {
            **self.counts,
            "took_ms": self.took_ms,
            "late_ms": self.late_ms,
            "why": self.why,
        }
        self.clear()
        return taken

    def close(self) -> None:
        self.task.cancel()
        for connection in list(self.all):
            connection.due_s = None
            if connection.transport:
                connection.transport.abort()


class Load:
    """The role `load` of a run."""

    def __init__(self) -> None:
        self.streams: dict[str, Stream] = {}

    async def do_begin(
        self, tier: dict[str, Any], doors: dict[str, tuple[int, tuple[str, int]]], rate: float = RATE
    ) -> dict[str, object]:
        """Ask doors by name: each with its number in the tier, and where it listens."""
        played = Tier(**tier)
        tenants = played.tenants_of_all(door for door, _ in doors.values())
        for name, (door, address) in doors.items():
            random = Random(f"{played.seed} {name}")
            requests = Requests(played, door, tenants[door], random)
            if requests.tenants:
                self.streams[name] = Stream((address[0], address[1]), requests, random, rate)
        return {name: len(stream.requests.tenants) for name, stream in self.streams.items()}

    async def do_take(self) -> dict[str, object]:
        """What came of the requests since the last look, by name."""
        return {name: stream.take() for name, stream in self.streams.items()}

    async def do_end(self) -> dict[str, object]:
        taken = await self.do_take()
        for stream in self.streams.values():
            stream.close()
        self.streams.clear()
        return taken
