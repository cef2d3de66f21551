"""Backends in one process: each has an address of its own, all served by one listening socket on loopback.

They answer immediately with a load report and record which door sent a request to which backend and when.
"""

import asyncio
import itertools
import socket
import time
from collections import Counter, defaultdict, deque
from collections.abc import Iterator
from typing import Any

import hiredis

from benchmarks.scale.tier import backend_number, door_of
from rig.sockets import reset

BACKLOG = 4096
MAX_RECORDED_REQUESTS = 400_000  # requests; the oldest are dropped first
LOAD_REPORT = b"util=0.200,latency_ms=2.00"


class Backend(asyncio.Protocol):
    """A connection to one backend."""

    def __init__(self, role: "Backends") -> None:
        self.role, self.reader, self.number = role, hiredis.Reader(), -1
        self.transport: Any = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Find the backend by its address; reset the connection if it is down."""
        self.transport = transport
        self.number = backend_number(transport.get_extra_info("sockname")[0])
        self.role.connects += 1
        self.role.open.setdefault(self.number, set()).add(self)
        if self.number in self.role.down:
            reset(transport)

    def data_received(self, data: bytes) -> None:
        """Record and answer each complete command."""
        now_s = time.monotonic()
        self.reader.feed(data)
        while (command := self.reader.gets()) is not False:
            if len(command) < 4:  # a command of the client library itself
                self.transport.write(b"+OK\r\n")
                continue
            request_id = command[2]
            self.role.requests.append((now_s, door_of(request_id), self.number))
            self.transport.write(
                b"*3\r\n$%d\r\n%b\r\n$-1\r\n$%d\r\n%b\r\n"
                % (len(request_id), request_id, len(LOAD_REPORT), LOAD_REPORT)
            )

    def connection_lost(self, error: Exception | None) -> None:
        """Remove the connection from the open ones."""
        self.role.open[self.number].discard(self)


class Backends:
    """The role `backends` of a run."""

    def __init__(self) -> None:
        # Time, door, backend.
        self.requests: deque[tuple[float, int, int]] = deque(maxlen=MAX_RECORDED_REQUESTS)
        self.open: dict[int, set[Backend]] = {}
        self.down: set[int] = set()
        self.connects = 0

    async def do_begin(self) -> dict[str, object]:
        """Listen on all loopback addresses, and on no others."""
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_BINDTODEVICE, b"lo")
        listener.bind(("0.0.0.0", 0))
        listener.listen(BACKLOG)
        listener.setblocking(False)
        await asyncio.get_running_loop().create_server(lambda: Backend(self), sock=listener, backlog=BACKLOG)
        return {"port": listener.getsockname()[1]}

    def requests_since(self, since_s: float) -> Iterator[tuple[float, int, int]]:
        """Yield the requests since a moment, newest first; a scan of all would delay answers."""
        return itertools.takewhile(lambda request: request[0] >= since_s, reversed(self.requests))

    async def do_used(self, since_s: float) -> dict[str, object]:
        """Return for each door the backends it has used since a moment, with counts, most used first."""
        counts: dict[int, Counter[int]] = defaultdict(Counter)
        for _, door, number in self.requests_since(since_s):
            if number >= 0:
                counts[door][number] += 1
        return {str(door): count.most_common() for door, count in counts.items()}

    async def do_last(self, since_s: float, numbers: list[int]) -> dict[str, object]:
        """Return when each door last used any of these backends, if after a moment."""
        wanted = set(numbers)
        last: dict[str, object] = {}
        for at_s, door, number in self.requests_since(since_s):
            if number in wanted:
                last.setdefault(str(door), at_s)
        return last

    async def do_busiest(self, since_s: float, numbers: list[int]) -> dict[str, object]:
        """Return the most requests that one of these backends got from all doors within a second."""
        wanted, counts = set(numbers), Counter[tuple[int, int]]()
        for at_s, _, number in self.requests_since(since_s):
            if number in wanted:
                counts[number, int(at_s - since_s)] += 1
        return {"most": max(counts.values(), default=0), "all": sum(counts.values())}

    async def do_gone(self, numbers: list[int]) -> dict[str, object]:
        """Take backends down: their connections are reset, and so are new ones as they open."""
        self.down.update(numbers)
        for number in numbers:
            for connection in list(self.open.get(number, ())):
                reset(connection.transport)
        return {"at_s": time.monotonic()}

    async def do_back(self, numbers: list[int]) -> dict[str, object]:
        """Bring backends up again."""
        self.down.difference_update(numbers)
        return {"at_s": time.monotonic()}

    async def do_take(self) -> dict[str, object]:
        """Return the connections made since the last call, and those that are open."""
        connects, self.connects = self.connects, 0
        return {"connects": connects, "open": sum(map(len, self.open.values()))}
