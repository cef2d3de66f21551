"""Backends in one process: each has an address of its own, and all are one listening socket on loopback.

They answer at once with a load report, and note which door asked which of them and when.
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
MOST_NOTED = 400_000  # requests; the oldest go first
REPORT = b"util=0.200,latency_ms=2.00"


class Backend(asyncio.Protocol):
    """A connection to one of them."""

    def __init__(self, role: "Backends") -> None:
        self.role, self.reader, self.number = role, hiredis.Reader(), -1
        self.transport: Any = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        self.number = backend_number(transport.get_extra_info("sockname")[0])
        self.role.connects += 1
        self.role.open.setdefault(self.number, set()).add(self)
        if self.number in self.role.gone:
            reset(transport)

    def data_received(self, data: bytes) -> None:
        now_s = time.monotonic()
        self.reader.feed(data)
        while (words := self.reader.gets()) is not False:
            if len(words) < 4:  # one of a library's own
                self.transport.write(b"+OK\r\n")
                continue
            value = words[2]
            self.role.noted.append((now_s, door_of(value), self.number))
            self.transport.write(
                b"*3\r\n$%d\r\n%b\r\n$-1\r\n$%d\r\n%b\r\n" % (len(value), value, len(REPORT), REPORT)
            )

    def connection_lost(self, error: Exception | None) -> None:
        self.role.open[self.number].discard(self)


class Backends:
    """The role `backends` of a run."""

    def __init__(self) -> None:
        self.noted: deque[tuple[float, int, int]] = deque(maxlen=MOST_NOTED)  # when, by which door, at which
        self.open: dict[int, set[Backend]] = {}
        self.gone: set[int] = set()
        self.connects = 0

    async def do_begin(self) -> dict[str, object]:
        """Listen at all loopback addresses, and at no other."""
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_BINDTODEVICE, b"lo")
        listener.bind(("0.0.0.0", 0))
        listener.listen(BACKLOG)
        listener.setblocking(False)
        await asyncio.get_running_loop().create_server(lambda: Backend(self), sock=listener, backlog=BACKLOG)
        return {"port": listener.getsockname()[1]}

    def since(self, since_s: float) -> Iterator[tuple[float, int, int]]:
        """Requests from a moment on, the newest first: to look through all would hold up the answers."""
        return itertools.takewhile(lambda noted: noted[0] >= since_s, reversed(self.noted))

    async def do_used(self, since_s: float) -> dict[str, object]:
        """For each door, the backends it asked from a moment on, with how often: the most asked first."""
        counts: dict[int, Counter[int]] = defaultdict(Counter)
        for _, door, number in self.since(since_s):
            if number >= 0:
                counts[door][number] += 1
        return {str(door): count.most_common() for door, count in counts.items()}

    async def do_last(self, since_s: float, numbers: list[int]) -> dict[str, object]:
        """When each door last asked any of these, if it was after a moment."""
        wanted = set(numbers)
        last: dict[str, object] = {}
        for at_s, door, number in self.since(since_s):
            if number in wanted:
                last.setdefault(str(door), at_s)
        return last

    async def do_busiest(self, since_s: float, numbers: list[int]) -> dict[str, object]:
        """The most requests, by all doors, that one of these got within any of its seconds."""
        wanted, counts = set(numbers), Counter[tuple[int, int]]()
        for at_s, _, number in self.since(since_s):
            if number in wanted:
                counts[number, int(at_s - since_s)] += 1
        return {"most": max(counts.values(), default=0), "all": sum(counts.values())}

    async def do_gone(self, numbers: list[int]) -> dict[str, object]:
        """These have died: their connections are reset, new ones when they come up."""
        self.gone.update(numbers)
        for number in numbers:
            for connection in list(self.open.get(number, ())):
                reset(connection.transport)
        return {"at_s": time.monotonic()}

    async def do_back(self, numbers: list[int]) -> dict[str, object]:
        self.gone.difference_update(numbers)
        return {"at_s": time.monotonic()}

    async def do_take(self) -> dict[str, object]:
        """Connections made since the last look, and those that are open."""
        connects, self.connects = self.connects, 0
        return {"connects": connects, "open": sum(map(len, self.open.values()))}
