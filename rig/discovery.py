"""Discovery on sockets: for each front door the agent on its machine, which answers with what it was sent."""

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

BEAT_S = 2.0  # an empty line while nothing changes
READ_BYTES = 1 << 16

AddressOf = Callable[[str], Address]


class Agent:
    """The agent of one front door."""

    def __init__(self, door: str, address_of: AddressOf, facts: list[Fact]) -> None:
        self.door, self.address_of, self.facts = door, address_of, facts
        self.view = View()
        self.silent = False
        self.changed = asyncio.Condition()
        self.server: asyncio.Server | None = None
        self.old: list[asyncio.Server] = []
        self.writers: dict[asyncio.StreamWriter, None] = {}
        self.told: dict[str, Listed] = {}  # what the front door's process was told last

    async def start(self, host: str) -> Address:
        """Serve at a new address; one that was served before goes on with what it has open."""
        if self.server:
            self.server.close()
            self.old.append(self.server)
        self.server = await asyncio.start_server(self.serve, host, 0)
        address: Address = self.server.sockets[0].getsockname()
        return address

    async def learn(self, entries: list[Entry]) -> None:
        async with self.changed:
            self.view.learn(entries)
            if not self.silent:
                self.note(entries, whole=False)
            self.changed.notify_all()

    async def set_silent(self, silent: bool) -> None:
        async with self.changed:
            self.silent = silent
            if not silent:
                self.note(self.view.whole(), whole=True)
            self.changed.notify_all()

    # --- what it says ---

    def known(self) -> dict[str, object]:
        """The list as the front door last had it, in discovery's form."""
        return self.body(self.view.whole(), whole=True)

    def body(self, entries: list[Entry], whole: bool) -> dict[str, object]:
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

    def note(self, entries: list[Entry], whole: bool) -> None:
        """Journal what the front door is told: what its agent has counts as told, asked or not, unless it is
        silent; what is written is told at the latest then."""
        now = now_us()
        states = {entry.name: entry.state for entry in entries}
        if whole:
            states |= {name: Listed.DELETED for name in self.told if name not in states}
        for name, state in states.items():
            if self.told.get(name) is not state:
                self.facts.append(Told(now, self.door, name, state))
            self.told[name] = state

    # --- HTTP ---

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers[writer] = None
        http = h11.Connection(h11.SERVER)
        try:
            while (request := await self.request(http, reader)) is not None:
                await self.answer(http, request, reader, writer)
                if http.our_state is not h11.DONE or http.their_state is not h11.DONE:
                    return
                http.start_next_cycle()
        except (OSError, h11.ProtocolError, asyncio.CancelledError):
            return  # 3.11 prints a traceback for each connection whose task ends by a cancellation
        finally:
            self.writers.pop(writer, None)
            writer.close()

    async def request(self, http: h11.Connection, reader: asyncio.StreamReader) -> h11.Request | None:
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

    async def answer(
        self,
        http: h11.Connection,
        request: h11.Request,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        async with self.changed:
            await self.changed.wait_for(lambda: not self.silent)
        target = urlsplit(request.target.decode("ascii"))
        query = parse_qs(target.query)
        if target.path != "/catalog/members":
            writer.write(http.send(h11.Response(status_code=404, headers=[("Content-Length", "0")])) or b"")
            writer.write(http.send(h11.EndOfMessage()) or b"")
        elif "watch" in query:
            gone = asyncio.ensure_future(reader.read(1))
            try:
                await self.watch(http, int(query.get("after", ["0"])[0]), writer, gone)
            finally:
                gone.cancel()
        else:
            body = json.dumps(self.known()).encode()
            self.note(self.view.whole(), whole=True)
            head = h11.Response(status_code=200, headers=[("Content-Length", str(len(body)))])
            writer.write((http.send(head) or b"") + (http.send(h11.Data(data=body)) or b""))
            writer.write(http.send(h11.EndOfMessage()) or b"")

    async def watch(
        self, http: h11.Connection, after: int, writer: asyncio.StreamWriter, gone: "asyncio.Future[bytes]"
    ) -> None:
        """Lines with the changes after a version, until the connection ends."""
        head = h11.Response(status_code=200, headers=[("Transfer-Encoding", "chunked")])
        writer.write(http.send(head) or b"")
        version: int | None = after if after <= self.view.version else None
        while not gone.done() and not writer.is_closing():
            await self.hear(version, gone)
            if self.silent or gone.done():
                continue
            entries = self.view.whole() if version is None else self.view.since(version)
            line = b"\n"
            if entries:
                line = json.dumps(self.body(entries, whole=version is None)).encode() + b"\n"
                self.note(entries, whole=version is None)
            version = self.view.version
            writer.write(http.send(h11.Data(data=line)) or b"")

    async def hear(self, version: int | None, gone: "asyncio.Future[bytes]") -> None:
        """Wait for something to say, at most for a beat; while silent for as long as that lasts."""

        async def news() -> None:
            async with self.changed:
                await self.changed.wait_for(lambda: not self.silent and self.view.version != version)

        waiting = asyncio.ensure_future(news())
        try:
            await asyncio.wait((waiting, gone), timeout=BEAT_S, return_when=asyncio.FIRST_COMPLETED)
        finally:
            waiting.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await waiting

    def close(self) -> None:
        for server in (*self.old, *([self.server] if self.server else [])):
            server.close()
        for writer in list(self.writers):
            writer.transport.abort()
