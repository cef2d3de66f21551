"""One call to discovery: its request, and its answer line by line until the connection ends."""

import asyncio
import logging
import time
from collections.abc import Callable
from typing import cast

import h11

log = logging.getLogger(__name__)

MOST_LINE = 1 << 20  # bytes


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
