"""Discovery in one process: an address for each front door, all serving one list.

Responses are real HTTP/1.1; of a request only the first line is read.
"""

import asyncio
import time
from typing import cast

from benchmarks.scale.catalogue import Catalogue, Change
from rig.sockets import own_host

HEARTBEAT_S = 2.0
CHUNK_BYTES = 1 << 15  # largest part of a line in one chunk
MAX_HEAD_BYTES = 1 << 14
MEMBERS = "/catalog/members"


def chunked(line: bytes) -> bytes:
    """Encode a line as HTTP chunks."""
    chunks = (line[at : at + CHUNK_BYTES] for at in range(0, len(line), CHUNK_BYTES))
    return b"".join(b"%x\r\n%b\r\n" % (len(chunk), chunk) for chunk in chunks)


class SentBytes:
    """Bytes sent to one front door, and its requests."""

    def __init__(self) -> None:
        self.changes = self.whole = self.calls = 0

    def take_counts(self) -> dict[str, int]:
        """Return the counts and reset them."""
        counts = {"changes": self.changes, "whole": self.whole, "calls": self.calls}
        self.changes = self.whole = self.calls = 0
        return counts


class Connection(asyncio.Protocol):
    """A front door's connection."""

    def __init__(self, agent: "Agent", sent: SentBytes) -> None:
        self.agent, self.sent, self.head = agent, sent, b""
        self.is_watch = False
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Answer each complete request until one starts a watch."""
        self.head += data
        while b"\r\n\r\n" in self.head and self.transport and not self.is_watch:
            head, _, self.head = self.head.partition(b"\r\n\r\n")
            self.handle_request(head.split(b" ")[1].decode())
        if len(self.head) > MAX_HEAD_BYTES and self.transport:
            self.transport.abort()

    def handle_request(self, target: str) -> None:
        """Send the whole list, or start a watch after a version."""
        assert self.transport
        path, _, query = target.partition("?")
        fields = dict(part.split("=", 1) for part in query.split("&") if "=" in part)
        self.sent.calls += 1
        if path != MEMBERS:
            self.transport.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
        elif "watch" in fields:
            self.is_watch = True
            self.transport.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self.agent.watchers.add(self)
            self.send_update(self.agent.catalogue.line_since(int(fields.get("after", "0"))))
        else:
            body = self.agent.catalogue.full_line()
            self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body))
            self.transport.write(body)
            self.sent.whole += len(body)

    def send_update(self, line: bytes) -> None:
        """Send a line of the list, if there is one."""
        if line and self.transport:
            self.write(chunked(line), line.startswith(b'{"generation":%d,"reset":true' % self.agent.version))

    def write(self, data: bytes, whole: bool = False) -> None:
        """Send bytes and count them as a whole list or as changes."""
        if self.transport and not self.transport.is_closing():
            self.transport.write(data)
            self.sent.whole += len(data) * whole
            self.sent.changes += len(data) * (not whole)

    def connection_lost(self, error: Exception | None) -> None:
        """End the watch."""
        self.agent.watchers.discard(self)
        self.transport = None


class Agent:
    """The role `agent` of a run; its `do_` methods are called by the run."""

    def __init__(self) -> None:
        self.catalogue = Catalogue(0, 0)
        self.watchers: set[Connection] = set()
        self.sent: dict[int, SentBytes] = {}
        self.heartbeats: asyncio.Task[None] | None = None

    @property
    def version(self) -> int:
        """The list's version."""
        return self.catalogue.version

    async def do_begin(self, size: int, port: int, doors: list[int]) -> dict[str, object]:
        """Serve a list of `size` backends at `port`, at an address for each door."""
        self.catalogue = Catalogue(size, port)
        self.catalogue.full_line()
        loop, addresses = asyncio.get_running_loop(), {}
        for door in doors:
            sent = self.sent[door] = SentBytes()
            server = await loop.create_server(lambda sent=sent: Connection(self, sent), own_host(), 0)  # type: ignore[misc]
            addresses[door] = server.sockets[0].getsockname()
        self.heartbeats = loop.create_task(self.send_heartbeats())
        return {"addresses": addresses}

    async def send_heartbeats(self) -> None:
        """Send heartbeats to all watches."""
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for connection in list(self.watchers):
                connection.write(chunked(b"\n"))

    async def do_known(self) -> dict[str, object]:
        """Return the whole list as text, as a front door may have it in its configuration."""
        return {"known": self.catalogue.full_line().decode()}

    async def do_change(self, changes: list[tuple[int, str, int]]) -> dict[str, object]:
        """Send one batch of changes to all watches; return its monotonic time."""
        line = self.catalogue.change([Change(*change) for change in changes])
        data = chunked(line)
        for connection in list(self.watchers):
            connection.write(data)
        return {"at_s": time.monotonic(), "line_bytes": len(line), "watching": len(self.watchers)}

    async def do_reset(self) -> dict[str, object]:
        """Send the whole list to all watches, as discovery does after a restart."""
        self.catalogue.drop_history()
        data = chunked(self.catalogue.full_line())
        for connection in list(self.watchers):
            connection.write(data, whole=True)
        return {"at_s": time.monotonic(), "line_bytes": len(data), "watching": len(self.watchers)}

    async def do_take(self) -> dict[str, object]:
        """Return the bytes sent to each door since the last call."""
        return {str(door): sent.take_counts() for door, sent in self.sent.items()}
