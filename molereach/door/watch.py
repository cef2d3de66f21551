"""One call to discovery: its request, and its answer until the connection ends.

An answer may have no length: then its end is that of the stream, which h11 has to be told. A reset is no end,
and neither is one within a chunk or a length: an object that is not whole by then is dropped.
"""

import asyncio
import logging
from collections.abc import Callable
from typing import cast

import h11

from molereach.door.documents import Documents
from molereach.resp import has_unread

log = logging.getLogger(__name__)

# What an answer that makes no sense runs into here, or in whoever reads its objects.
SENSELESS = (h11.ProtocolError, ValueError, LookupError, TypeError, AttributeError, ArithmeticError)


class WatchConnection(asyncio.Protocol):
    """`word` gets each whole object, and b"" for an empty line; `heard` is called when any bytes come, with
    whether the answer has begun."""

    def __init__(
        self, target: str, host: str, word: Callable[[bytes], None], heard: Callable[[bool], None]
    ) -> None:
        self.target, self.host, self.word, self.heard = target, host, word, heard
        self.http = h11.Connection(h11.CLIENT)
        self.documents = Documents()
        self.begun = self.closed = False
        self.ended = asyncio.get_running_loop().create_future()
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport = cast(asyncio.Transport, transport)
        request = h11.Request(method="GET", target=self.target, headers=[("Host", self.host)])
        transport.write(self.http.send(request) + self.http.send(h11.EndOfMessage()))

    def data_received(self, data: bytes) -> None:
        self.read(data)
        if not self.closed:
            self.heard(self.begun)

    def eof_received(self) -> None:
        self.read(b"")

    def read(self, data: bytes) -> None:
        """What came, b"" for the stream's end."""
        try:
            self.http.receive_data(data)
            while not self.closed and (event := self.http.next_event()) not in (h11.NEED_DATA, h11.PAUSED):
                self.take(event)
        except SENSELESS as error:
            log.error("the watch brings what makes no sense: %.200s", error)
            self.close()

    def take(self, event: h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]) -> None:
        if isinstance(event, h11.Response):
            if event.status_code != 200:
                raise ValueError(f"status {event.status_code}")
            self.begun = True
        if isinstance(event, h11.Data):
            for word in self.documents.feed(event.data):
                self.word(word)
        if isinstance(event, h11.EndOfMessage) and self.documents.unfinished:
            raise ValueError("the answer ends within an object")
        if isinstance(event, h11.EndOfMessage | h11.ConnectionClosed):
            self.close()

    def connection_lost(self, error: Exception | None) -> None:
        self.closed = True
        if not self.ended.done():
            self.ended.set_result(None)

    def unread(self) -> bool:
        """Whether something has come that the loop has not read yet."""
        return self.transport is not None and not self.transport.is_closing() and has_unread(self.transport)

    def close(self) -> None:
        self.closed = True
        if self.transport:
            self.transport.abort()
