"""The list of backends: a watch on discovery that is kept open, read line by line."""

import asyncio
import json
import logging
import random
import time
from collections.abc import Callable, Coroutine, Mapping
from dataclasses import dataclass
from typing import Any, cast

import h11

from fennelwinch import interface as i
from molereach.door.calls import CallPacing
from molereach.door.config import Address, Config, ConfigError, read_address

log = logging.getLogger(__name__)

STATES = {
    "SERVING": i.ServerState.UP,
    "DRAINING": i.ServerState.DRAINING,
    "DELETED": i.ServerState.GONE,
}
SILENT_S = 5.0  # an empty line comes every 2 s; a watch that is silent for longer is dead
CONNECT_S = 1.0
MOST_LINE = 1 << 20  # bytes
MOST_WEIGHT = 1e6
MOST_TIME_MS = 1e14  # some thousands of years


@dataclass(frozen=True, slots=True)
class News:
    """News of the list for the module, and the addresses that go with it."""

    event: i.ServerList
    addresses: dict[str, Address]


class Catalog:
    """Reads discovery's lists, with names turned to the settings' numbers and times to our clock."""

    def __init__(self, config: Config) -> None:
        self.zones, self.kinds = config.zone_numbers, config.kind_numbers
        # Fixed once: the module takes a backend whose start time differs for one that has restarted.
        self.offset_us = (time.monotonic_ns() - time.time_ns()) // 1000

    def started_us(self, unix_ms: float) -> int:
        """0 stays 0, for long ago; nothing else becomes 0."""
        return (round(unix_ms * 1000) + self.offset_us) or 1 if unix_ms else 0

    @staticmethod
    def number(entry: Mapping[str, Any], name: str, most: float) -> float:
        """A number that is finite and in range; 0 for one that says nothing."""
        value = entry.get(name) or 0
        known = isinstance(value, int | float) and 0 <= value <= most  # also false for what is no number
        return float(value) if known else 0.0

    def server(self, entry: Mapping[str, Any]) -> i.Server:
        return i.Server(
            name=str(entry["instanceId"]),
            zone=self.zones.get(str(entry.get("zone")), -1),
            kind=self.kinds.get(str(entry.get("machineType")), -1),
            cell=int(entry.get("cell") or 0),
            # In a state that we do not know it is not said to serve: nothing new goes there.
            state=STATES.get(str(entry.get("lifecycle")), i.ServerState.DRAINING),
            size=self.number(entry, "weight", MOST_WEIGHT) or 1.0,
            started_us=self.started_us(self.number(entry, "startedAtMs", MOST_TIME_MS)),
        )

    def news(self, value: Mapping[str, Any], kind: i.ListKind | None = None) -> News:
        """A list or changes to it; an entry that makes no sense is passed over."""
        kind = kind or (i.ListKind.FULL if value.get("reset") else i.ListKind.CHANGES)
        servers, addresses = [], {}
        for entry in value["instances"]:
            try:
                server = self.server(entry)
                # One that is gone needs no address, and must be heard of in any case.
                if server.state is not i.ServerState.GONE:
                    addresses[server.name] = read_address(entry["hostPort"])
            except (KeyError, TypeError, ValueError, AttributeError, ConfigError) as error:
                log.error("passed over an entry of the list: %.200r: %s", entry, error)
                continue
            servers.append(server)
        return News(i.ServerList(kind, int(value["generation"]), tuple(servers)), addresses)


class WatchConnection(asyncio.Protocol):
    """One watch, from its request to the end of its connection."""

    def __init__(self, target: str, host: str, line: Callable[[bytes], None]) -> None:
        self.target, self.host, self.line = target, host, line
        self.http = h11.Connection(h11.CLIENT)
        self.buffer = bytearray()
        self.heard = time.monotonic()
        self.ended = asyncio.get_running_loop().create_future()
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport = cast(asyncio.Transport, transport)
        request = h11.Request(method="GET", target=self.target, headers=[("Host", self.host)])
        transport.write(self.http.send(request) + self.http.send(h11.EndOfMessage()))

    def data_received(self, data: bytes) -> None:
        self.heard = time.monotonic()
        try:
            self.http.receive_data(data)
            while (event := self.http.next_event()) not in (h11.NEED_DATA, h11.PAUSED):
                self.take(event)
        except (h11.ProtocolError, ValueError, KeyError, TypeError, AttributeError) as error:
            log.error("the watch brings what makes no sense: %s", error)
            self.close()

    def take(self, event: h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]) -> None:
        if isinstance(event, h11.Response) and event.status_code != 200:
            raise ValueError(f"status {event.status_code}")
        if isinstance(event, h11.Data):
            self.buffer += event.data
            *lines, rest = self.buffer.split(b"\n")
            self.buffer = rest
            for line in lines:
                if line.strip():
                    self.line(bytes(line))
            if len(rest) > MOST_LINE:
                raise ValueError("a line without an end")
        if isinstance(event, h11.EndOfMessage) and self.buffer.strip():
            self.line(bytes(self.buffer))  # the whole list may come with no line's end
            self.buffer.clear()
        if isinstance(event, h11.EndOfMessage | h11.ConnectionClosed):
            self.close()

    def connection_lost(self, error: Exception | None) -> None:
        if not self.ended.done():
            self.ended.set_result(None)

    def close(self) -> None:
        if self.transport:
            self.transport.abort()


class Source:
    """One address of discovery: a watch that is kept open, with its news handed on as they come."""

    def __init__(
        self, address: Address, catalog: Catalog, version: int | None,
        heard: Callable[["Source", News], None], pacing: CallPacing, draw: Callable[[], float],
    ) -> None:
        self.address, self.catalog, self.heard = address, catalog, heard
        self.version = version  # None: the whole list comes first
        self.pacing, self.draw = pacing, draw
        self.retiring = self.closed = False
        self.connection: WatchConnection | None = None

    def line(self, line: bytes) -> None:
        """A whole line. Where it fails, the version stays, and the next watch brings it again."""
        if self.closed:  # what is still in the pipe must not undo what a newer source has told
            return
        kind = i.ListKind.FULL if self.version is None else None
        news = self.catalog.news(json.loads(line), kind)
        self.version = news.event.version
        self.pacing.heard()
        self.heard(self, news)

    async def run(self) -> None:
        if self.version:
            await asyncio.sleep(self.pacing.first(self.draw()))
        while not self.closed:
            try:
                if self.version is None:
                    await self.read("/catalog/members")
                if self.version is not None:
                    await self.read(f"/catalog/members?watch=1&after={self.version}")
            except (OSError, TimeoutError) as error:
                log.warning("no watch on discovery: %s", error or "it does not answer")
            except Exception:
                log.exception("the watch on discovery failed")  # without it the list would grow old unseen
            if self.retiring:
                return
            await asyncio.sleep(self.pacing.ended(self.draw()))

    async def read(self, target: str) -> None:
        """One answer, until it ends or has been silent for too long."""
        host, port = self.address
        async with asyncio.timeout(CONNECT_S):
            _, connection = await asyncio.get_running_loop().create_connection(
                lambda: WatchConnection(target, f"{host}:{port}", self.line), host, port
            )
        self.connection = connection
        try:
            while not connection.ended.done():
                left = connection.heard + SILENT_S - time.monotonic()
                if left <= 0:
                    log.warning("the watch on discovery is silent")
                    return
                await asyncio.wait([connection.ended], timeout=left)
        finally:
            connection.close()

    def retire(self) -> None:
        """Hear it out: its watch goes on until it ends, and is not opened again."""
        self.retiring = True

    def close(self) -> None:
        self.closed = self.retiring = True
        if self.connection:
            self.connection.close()


class Discovery:
    """Hands on the news of one source; another address takes over once it has told its whole list."""

    def __init__(
        self, address: Address, catalog: Catalog, version: int, heard: Callable[[News], None],
        spawn: Callable[[Coroutine[None, None, None]], object],
        pacing: Callable[[], CallPacing] = lambda: CallPacing(1),
        draw: Callable[[], float] = random.random,
    ) -> None:
        self.catalog, self.heard, self.spawn = catalog, heard, spawn
        self.first = asyncio.Event()
        self.pacing, self.draw = pacing, draw
        self.source = Source(address, catalog, version, self.take, pacing(), draw)
        self.next: Source | None = None  # it has told nothing yet

    @property
    def version(self) -> int | None:
        return self.source.version

    def start(self) -> None:
        self.spawn(self.source.run())

    def move(self, address: Address) -> None:
        """Go to another address. Until that has told its list, the old watch is heard out.

        Its list is asked for whole: what vanished meanwhile may be in no change, and its count of versions
        need not be the old one's.
        """
        if address == (self.next or self.source).address:
            return
        if self.next:
            self.next.close()
        self.source.retire()
        self.next = Source(address, self.catalog, None, self.take, self.pacing(), self.draw)
        self.spawn(self.next.run())

    def take(self, source: Source, news: News) -> None:
        if source is self.next:
            self.source.close()
            self.source, self.next = source, None
        self.heard(news)
        self.first.set()
