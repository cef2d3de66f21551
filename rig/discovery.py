"""Discovery agents on sockets: one for each front door, serving the endpoint list that it received."""

import asyncio
import contextlib
import json
from collections.abc import Callable
from urllib.parse import parse_qs, urlsplit

import h11

from rig.clock import now_us
from rig.facts import Fact, Listed, Told
from rig.registry import Entry, View
from rig.sockets import Address

KEEPALIVE_S = 2.0  # an empty line while nothing changes
READ_BYTES = 1 << 16

AddressOf = Callable[[str], Address]


class Agent:
    """The discovery agent of one front door."""

    def __init__(self, door: str, address_of: AddressOf, facts: list[Fact]) -> None:
        self.door, self.address_of, self.facts = door, address_of, facts
        self.view = View()
        self.silent = False
        self.changed = asyncio.Condition()
        self.server: asyncio.Server | None = None
        self.previous_servers: list[asyncio.Server] = []
        self.writers: dict[asyncio.StreamWriter, None] = {}
        self.told: dict[str, Listed] = {}  # state of each server as last told to the front door's process

    async def start(self, host: str) -> Address:
        """Serve at a new address; connections to an earlier address stay open."""
        if self.server:
            self.server.close()
            self.previous_servers.append(self.server)
        self.server = await asyncio.start_server(self.serve, host, 0)
        address: Address = self.server.sockets[0].getsockname()
        return address

    async def update(self, entries: list[Entry]) -> None:
        """Store entries and wake all watchers."""
        async with self.changed:
            self.view.update(entries)
            if not self.silent:
                self.record_told(entries, whole=False)
            self.changed.notify_all()

    async def set_silent(self, silent: bool) -> None:
        """Stop or resume answering."""
        async with self.changed:
            self.silent = silent
            if not silent:
                self.record_told(self.view.current(), whole=True)
            self.changed.notify_all()

    # --- responses ---

    def known(self) -> dict[str, object]:
        """The whole list as a response body."""
        return self.body(self.view.current(), whole=True)

    def body(self, entries: list[Entry], whole: bool) -> dict[str, object]:
        """A response body with the whole list or with changes."""
        return {
            "generation": self.view.version,
            "reset": whole,
            "instances": [
                {
                    "instanceId": entry.name,
                    "hostPort": "{}:{}".format(*self.address_of(entry.name)),
                    "zone": entry.zone,
                    "machineType": "two-core",
                    "cell": 0,
                    "lifecycle": entry.state.value,
                    "weight": 1.0,
                    "startedAtMs": entry.started_ms,
                }
                for entry in entries
            ],
        }

    def record_told(self, entries: list[Entry], whole: bool) -> None:
        """Record what the front door is told.

        Entries count as told once the agent has them, even if the front door does not ask. Those that
        arrive while the agent is silent count once it answers again, and at the latest when they are written.
        """
        at_us = now_us()
        states = {entry.name: entry.state for entry in entries}
        if whole:
            states |= {name: Listed.DELETED for name in self.told if name not in states}
        for name, state in states.items():
            if self.told.get(name) is not state:
                self.facts.append(Told(at_us, self.door, name, state))
            self.told[name] = state

    # --- HTTP ---

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve the requests of one connection."""
        self.writers[writer] = None
        http = h11.Connection(h11.SERVER)
        try:
            while (request := await self.read_request(http, reader)) is not None:
                await self.respond(http, request, reader, writer)
                if http.our_state is not h11.DONE or http.their_state is not h11.DONE:
                    return
                http.start_next_cycle()
        except (OSError, h11.ProtocolError, asyncio.CancelledError):
            return  # Python 3.11 prints a traceback for each connection whose task is cancelled
        finally:
            self.writers.pop(writer, None)
            writer.close()

    async def read_request(self, http: h11.Connection, reader: asyncio.StreamReader) -> h11.Request | None:
        """Read a request; None once the connection has ended."""
        request: h11.Request | None = None
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                http.receive_data(await reader.read(READ_BYTES))
            elif isinstance(event, h11.Request):
                request = event
            elif isinstance(event, h11.EndOfMessage):
                return request
            else:
                return None

    async def respond(
        self,
        http: h11.Connection,
        request: h11.Request,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Answer a request with the whole list, a stream of changes, or 404."""
        async with self.changed:
            await self.changed.wait_for(lambda: not self.silent)
        target = urlsplit(request.target.decode("ascii"))
        query = parse_qs(target.query)
        if target.path != "/catalog/members":
            writer.write(http.send(h11.Response(status_code=404, headers=[("Content-Length", "0")])) or b"")
            writer.write(http.send(h11.EndOfMessage()) or b"")
        elif "watch" in query:
            closed = asyncio.ensure_future(reader.read(1))
            try:
                await self.watch(http, int(query.get("after", ["0"])[0]), writer, closed)
            finally:
                closed.cancel()
        else:
            body = json.dumps(self.known()).encode()
            self.record_told(self.view.current(), whole=True)
            head = h11.Response(status_code=200, headers=[("Content-Length", str(len(body)))])
            writer.write((http.send(head) or b"") + (http.send(h11.Data(data=body)) or b""))
            writer.write(http.send(h11.EndOfMessage()) or b"")

    async def watch(
        self, http: h11.Connection, after: int, writer: asyncio.StreamWriter, closed: "asyncio.Future[bytes]"
    ) -> None:
        """Stream the changes after a version as lines, until the connection ends."""
        head = h11.Response(status_code=200, headers=[("Transfer-Encoding", "chunked")])
        writer.write(http.send(head) or b"")
        version: int | None = after if after <= self.view.version else None
        while not closed.done() and not writer.is_closing():
            await self.wait_for_change(version, closed)
            if self.silent or closed.done():
                continue
            entries = self.view.current() if version is None else self.view.changes_since(version)
            line = b"\n"
            if entries:
                line = json.dumps(self.body(entries, whole=version is None)).encode() + b"\n"
                self.record_told(entries, whole=version is None)
            version = self.view.version
            writer.write(http.send(h11.Data(data=line)) or b"")

    async def wait_for_change(self, version: int | None, closed: "asyncio.Future[bytes]") -> None:
        """Wait for a change, an end of the connection or the keepalive interval."""

        async def changed() -> None:
            async with self.changed:
                await self.changed.wait_for(lambda: not self.silent and self.view.version != version)

        waiting = asyncio.ensure_future(changed())
        try:
            await asyncio.wait((waiting, closed), timeout=KEEPALIVE_S, return_when=asyncio.FIRST_COMPLETED)
        finally:
            waiting.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await waiting

    def close(self) -> None:
        """Stop serving and abort all connections."""
        for server in (*self.previous_servers, *([self.server] if self.server else [])):
            server.close()
        for writer in list(self.writers):
            writer.transport.abort()
