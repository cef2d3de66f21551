"""One HTTP request to discovery: a GET, and its response until the connection is closed.

A response without a length ends with the stream, which is passed on to h11. A connection reset is not a valid
end, nor is the stream's end before the stated length or within a chunk: an incomplete object is then dropped.

A long response is processed in chunks, one per turn of the event loop, and reading is paused meanwhile. So
other callbacks run in between, and no more is pending than the loop had read at once. Applying an object may
take further steps, which run one per turn before the next chunk. Short chunks are processed as they are read.
"""

import asyncio
import logging
from collections import deque
from collections.abc import Callable, Generator
from typing import cast

import h11

from molereach.discovery.errors import WatchResponseError
from molereach.discovery.json_stream import EntryList, JsonStream
from molereach.resp import has_unread

log = logging.getLogger(__name__)

CHUNK_BYTES = 1 << 15  # processed in one turn of the event loop
# Exceptions that a malformed response may raise here or in the callbacks.
MALFORMED_RESPONSE_ERRORS = (
    h11.ProtocolError,
    ValueError,
    LookupError,
    TypeError,
    AttributeError,
    ArithmeticError,
)
END_OF_STREAM = b""

Steps = Generator[None, None, None]  # work that runs one step per turn of the event loop
HttpEvent = h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]


class WatchConnection(asyncio.Protocol):
    """Sends a request and delivers the objects of its response to callbacks."""

    def __init__(
        self,
        target: str,
        host: str,
        on_object: Callable[[bytes], Steps | None],
        on_bytes: Callable[[bool], None],
        on_entries: Callable[[bytes], None],
    ) -> None:
        """`target`: the path and query of the request; `host`: its Host header.

        `on_object` is called with each complete object, and with b"" for an empty line; it returns the steps
        that remain, if any. `on_entries` is called with entries of a long object before its end, as a JSON
        list. `on_bytes` is called after each chunk, with whether the response has begun.
        """
        self.target = target
        self.host = host
        self.on_object = on_object
        self.on_bytes = on_bytes
        self.on_entries = on_entries
        self.http = h11.Connection(h11.CLIENT)
        self.json_stream = JsonStream()
        self.response_started = False
        self.closed = False
        self.pending_chunks: deque[bytes | memoryview] = deque()
        self.current_steps: Steps | None = None  # of the chunk that is being processed
        self.turn_scheduled = False
        self.reading_paused = False
        self.connection_is_lost = False  # takes effect once all pending chunks are processed
        self.finished = asyncio.get_running_loop().create_future()
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the request."""
        self.transport = cast(asyncio.Transport, transport)
        request = h11.Request(method="GET", target=self.target, headers=[("Host", self.host)])
        self.transport.write(self.http.send(request) + self.http.send(h11.EndOfMessage()))

    # --- received data, in order ---

    def data_received(self, data: bytes) -> None:
        """Process received bytes, split into chunks if they are long."""
        buffer = memoryview(data) if len(data) > CHUNK_BYTES else data
        self.enqueue(*(buffer[start : start + CHUNK_BYTES] for start in range(0, len(data), CHUNK_BYTES)))

    def eof_received(self) -> None:
        """Process the end of the stream after all bytes received before it."""
        self.enqueue(END_OF_STREAM)

    def connection_lost(self, error: Exception | None) -> None:
        """Finish once everything received before has been processed."""
        self.connection_is_lost = True
        if not self.is_processing:
            self.finish()

    def finish(self) -> None:
        """Drop pending chunks and steps, and resolve `finished`."""
        self.closed = True
        self.pending_chunks.clear()
        self.current_steps = None
        if not self.finished.done():
            self.finished.set_result(None)

    @property
    def is_processing(self) -> bool:
        """Whether received chunks or steps are still to be processed."""
        return not self.closed and (bool(self.pending_chunks) or self.current_steps is not None)

    def has_unread_data(self) -> bool:
        """Whether received bytes are unprocessed here or unread by the event loop."""
        if self.is_processing:
            return True
        if self.transport is None or self.transport.is_closing():
            return False
        return has_unread(self.transport)

    def close(self) -> None:
        """Abort the connection, and drop pending chunks and steps at once, as they may reference a list."""
        self.closed = True
        self.pending_chunks.clear()
        self.current_steps = None
        if self.transport:
            self.transport.abort()
        if self.connection_is_lost:
            self.finish()

    # --- turns of the event loop ---

    def enqueue(self, *chunks: bytes | memoryview) -> None:
        """Add chunks; the first one is processed immediately if the connection was idle."""
        was_idle = not self.is_processing
        if self.closed:
            return
        self.pending_chunks += chunks
        if was_idle:
            self.run_turn()

    def run_turn(self) -> None:
        """Process one chunk, or one more step of the current one; reading resumes one turn after the last."""
        self.turn_scheduled = False
        if not self.is_processing:
            self.resume_reading()
            return
        self.run_step()
        if self.connection_is_lost and not self.is_processing:
            self.finish()
        elif self.is_processing or (self.reading_paused and not self.closed):
            self.schedule_turn()

    def schedule_turn(self) -> None:
        """Schedule the next turn, and pause reading until all chunks are processed."""
        if self.transport and not self.reading_paused and not self.transport.is_closing():
            self.reading_paused = True
            self.transport.pause_reading()
        if not self.turn_scheduled:
            self.turn_scheduled = True
            asyncio.get_running_loop().call_soon(self.run_turn)

    def resume_reading(self) -> None:
        """Resume reading if it was paused."""
        if self.reading_paused and not self.closed and self.transport and not self.transport.is_closing():
            self.reading_paused = False
            self.transport.resume_reading()

    def run_step(self) -> None:
        """Run one step of the current chunk, or of the next one; an exception closes the connection."""
        if self.current_steps is None:
            self.current_steps = self.parse_chunk(self.pending_chunks.popleft())
        try:
            next(self.current_steps)
        except StopIteration:
            self.current_steps = None
        except MALFORMED_RESPONSE_ERRORS as error:
            log.error("malformed watch response: %.200s", error)
            self.close()
        except Exception:
            log.exception("watch response could not be processed")
            self.close()

    def parse_chunk(self, data: bytes | memoryview) -> Steps:
        """Parse and deliver a chunk, or the end of the stream, in steps."""
        self.http.receive_data(bytes(data))
        while not self.closed and (event := self.http.next_event()) not in (h11.NEED_DATA, h11.PAUSED):
            yield from self.handle_http_event(event)
        if data and not self.closed:
            self.on_bytes(self.response_started)

    def handle_http_event(self, event: HttpEvent) -> Steps:
        """Deliver the objects of one HTTP event.

        Raises WatchResponseError for an unexpected status, or for a response that ends within an object.
        """
        if isinstance(event, h11.Response):
            if event.status_code != 200:
                raise WatchResponseError(f"status {event.status_code}")
            self.response_started = True
        if isinstance(event, h11.Data):
            for received in self.json_stream.feed(event.data):
                yield from self.deliver(received)
                if self.closed:
                    return
        if isinstance(event, h11.EndOfMessage) and self.json_stream.unfinished:
            raise WatchResponseError("the answer ends within an object")
        if isinstance(event, h11.EndOfMessage | h11.ConnectionClosed):
            self.close()

    def deliver(self, received: bytes | EntryList) -> Steps:
        """Pass an object, or entries of one, to its callback; remaining steps run in turns of their own."""
        if isinstance(received, EntryList):
            self.on_entries(received.text)
        elif steps := self.on_object(received):
            yield
            yield from steps
