"""Discovery in one process: for each front door an address of its own, all with one list.

What it writes are the protocol's bytes in HTTP/1.1; requests are read by their first line alone.
"""

import asyncio
import time
from typing import cast

from benchmarks.scale.catalogue import Catalogue, Change
from rig.sockets import own_host

BEAT_S = 2.0
PIECE_BYTES = 1 << 15  # of a long line, for each chunk
MOST_HEAD_BYTES = 1 << 14
MEMBERS = "/catalog/members"


def chunked(line: bytes) -> bytes:
    pieces = (line[at : at + PIECE_BYTES] for at in range(0, len(line), PIECE_BYTES))
    return b"".join(b"%x\r\n%b\r\n" % (len(piece), piece) for piece in pieces)


class Sent:
    """Bytes to one front door."""

    def __init__(self) -> None:
        self.changes = self.whole = self.calls = 0

    def take(self) -> dict[str, int]:
        taken = {"changes": self.changes, "whole": self.whole, "calls": self.calls}
        self.changes = self.whole = self.calls = 0
        return taken


class Connection(asyncio.Protocol):
    """A front door's call."""

    def __init__(self, agent: "Agent", sent: Sent) -> None:
        self.agent, self.sent, self.head = agent, sent, b""
        self.watches = False
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        self.head += data
        while b"\r\n\r\n" in self.head and self.transport and not self.watches:
            head, _, self.head = self.head.partition(b"\r\n\r\n")
            self.answer(head.split(b" ")[1].decode())
        if len(self.head) > MOST_HEAD_BYTES and self.transport:
            self.transport.abort()

    def answer(self, target: str) -> None:
        assert self.transport
        path, _, query = target.partition("?")
        fields = dict(part.split("=", 1) for part in query.split("&") if "=" in part)
        self.sent.calls += 1
        if path != MEMBERS:
            self.transport.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
        elif "watch" in fields:
            self.watches = True
            self.transport.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self.agent.watching.add(self)
            self.tell(self.agent.catalogue.since(int(fields.get("after", "0"))))
        else:
            body = self.agent.catalogue.whole()
            self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body))
            self.transport.write(body)
            self.sent.whole += len(body)

    def tell(self, line: bytes) -> None:
        if line and self.transport:
            self.write(chunked(line), line.startswith(b'{"generation":%d,"reset":true' % self.agent.version))

    def write(self, data: bytes, whole: bool = False) -> None:
        if self.transport and not self.transport.is_closing():
            self.transport.write(data)
            self.sent.whole += len(data) * whole
            self.sent.changes += len(data) * (not whole)

    def connection_lost(self, error: Exception | None) -> None:
        self.agent.watching.discard(self)
        self.transport = None


class Agent:
    """The role `agent` of a run: what it is asked to do by whoever plays."""

    def __init__(self) -> None:
        self.catalogue = Catalogue(0, 0)
        self.watching: set[Connection] = set()
        self.sent: dict[int, Sent] = {}
        self.beats: asyncio.Task[None] | None = None

    @property
    def version(self) -> int:
        return self.catalogue.version

    async def do_begin(self, size: int, port: int, doors: list[int]) -> dict[str, object]:
        """A list of so many backends at a port, and an address for each door."""
        self.catalogue = Catalogue(size, port)
        self.catalogue.whole()
        loop, addresses = asyncio.get_running_loop(), {}
        for door in doors:
            sent = self.sent[door] = Sent()
            server = await loop.create_server(lambda sent=sent: Connection(self, sent), own_host(), 0)  # type: ignore[misc]
            addresses[door] = server.sockets[0].getsockname()
        self.beats = loop.create_task(self.beat())
        return {"addresses": addresses}

    async def beat(self) -> None:
        while True:
            await asyncio.sleep(BEAT_S)
            for connection in list(self.watching):
                connection.write(chunked(b"\n"))

    async def do_known(self) -> dict[str, object]:
        """The whole list as a front door may have it at its start, as text."""
        return {"known": self.catalogue.whole().decode()}

    async def do_change(self, changes: list[tuple[int, str, int]]) -> dict[str, object]:
        """One batch for all; when it was written, by the monotonic clock."""
        line = self.catalogue.change([Change(*change) for change in changes])
        data = chunked(line)
        for connection in list(self.watching):
            connection.write(data)
        return {"at_s": time.monotonic(), "line_bytes": len(line), "watching": len(self.watching)}

    async def do_reset(self) -> dict[str, object]:
        """Discovery is back: the whole list for everybody that watches."""
        self.catalogue.forget()
        data = chunked(self.catalogue.whole())
        for connection in list(self.watching):
            connection.write(data, whole=True)
        return {"at_s": time.monotonic(), "line_bytes": len(data), "watching": len(self.watching)}

    async def do_take(self) -> dict[str, object]:
        """Bytes to each door since the last look."""
        return {str(door): sent.take() for door, sent in self.sent.items()}
