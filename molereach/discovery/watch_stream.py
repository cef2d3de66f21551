"""One request to discovery: a GET, and its response until the connection ends.

A response may have no length: then its end is that of the stream, which h11 must be told of. A reset is
no end, and neither is one within a chunk or a length: an object that is not complete by then is dropped.

A long response is processed in turns of the loop, a chunk of it in each, and nothing more is read meanwhile:
requests come in between, and what is pending is no more than what the loop had read at once. Whoever gets an
object may have more to do with it than one turn; that is done in turns before the next chunk. What comes in
short chunks is processed as it is read.
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

CHUNK_BYTES = 1 << 15  # of a response in one turn of the loop
# What a malformed response may raise here, or in whoever reads its objects.
MALFORMED_RESPONSE_ERRORS = (
    h11.ProtocolError,
    ValueError,
    LookupError,
    TypeError,
    AttributeError,
    ArithmeticError,
)
END_OF_STREAM = b""

Steps = Generator[None, None, None]  # work that is done in turns of the loop: each step in one
HttpEvent = h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]


class WatchConnection(asyncio.Protocol):
    """Sends a request and hands on the objects of its response."""

    def __init__(
        self,
        target: str,
        host: str,
        on_object: Callable[[bytes], Steps | None],
        on_bytes: Callable[[bool], None],
        on_entries: Callable[[bytes], None],
    ) -> None:
        """`target` and `host` are the request's.

        `on_object` gets each complete object, and b"" for an empty line, and returns what is still to be done
        with it; `on_entries` gets the entries of a long object before it, as a JSON list; `on_bytes` is
        called when any bytes were processed, with whether the response has begun.
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
        self.current_steps: Steps | None = None  # those of the chunk that is being processed
        self.turn_scheduled = False
        self.reading_paused = False
        self.connection_is_lost = False  # which counts after all pending chunks
        self.finished = asyncio.get_running_loop().create_future()
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the request."""
        self.transport = cast(asyncio.Transport, transport)
        request = h11.Request(method="GET", target=self.target, headers=[("Host", self.host)])
        self.transport.write(self.http.send(request) + self.http.send(h11.EndOfMessage()))

    # --- what is received, in its order ---

    def data_received(self, data: bytes) -> None:
        """Process bytes, in chunks where they are many."""
        buffer = memoryview(data) if len(data) > CHUNK_BYTES else data
        self.enqueue(*(buffer[start : start + CHUNK_BYTES] for start in range(0, len(data), CHUNK_BYTES)))

    def eof_received(self) -> None:
        """Process the stream's end after all that came before it."""
        self.enqueue(END_OF_STREAM)

    def connection_lost(self, error: Exception | None) -> None:
        """Finish once all that came before has been processed."""
        self.connection_is_lost = True
        if not self.is_processing:
            self.finish()

    def finish(self) -> None:
        """Drop what is pending and resolve `finished`."""
        self.closed = True
        self.pending_chunks.clear()
        self.current_steps = None
        if not self.finished.done():
            self.finished.set_result(None)

    @property
    def is_processing(self) -> bool:
        """Whether something that was received is still to be processed."""
        return not self.closed and (bool(self.pending_chunks) or self.current_steps is not None)

    def has_unread_data(self) -> bool:
        """Whether something has come that has not been processed yet, here or by the loop."""
        if self.is_processing:
            return True
        if self.transport is None or self.transport.is_closing():
            return False
        return has_unread(self.transport)

    def close(self) -> None:
        """Drop the connection, all that is pending and what a step left open, at once: these may hold a
        list.
        """
        self.closed = True
        self.pending_chunks.clear()
        self.current_steps = None
        if self.transport:
            self.transport.abort()
        if self.connection_is_lost:
            self.finish()

    # --- turns of the loop ---

    def enqueue(self, *chunks: bytes | memoryview) -> None:
        """Add chunks; the first is processed now where none was pending."""
        was_idle = not self.is_processing
        if self.closed:
            return
        self.pending_chunks += chunks
        if was_idle:
            self.run_turn()

    def run_turn(self) -> None:
        """Process one chunk, or one more step of the last one; reading resumes a turn after the last."""
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
        """Go on in another turn; nothing is read until then."""
        if self.transport and not self.reading_paused and not self.transport.is_closing():
            self.reading_paused = True
            self.transport.pause_reading()
        if not self.turn_scheduled:
            self.turn_scheduled = True
            asyncio.get_running_loop().call_soon(self.run_turn)

    def resume_reading(self) -> None:
        """Have the loop read again, if it was paused."""
        if self.reading_paused and not self.closed and self.transport and not self.transport.is_closing():
            self.reading_paused = False
            self.transport.resume_reading()

    def run_step(self) -> None:
        """Run one step of the current chunk, or of the next one; a failure closes the connection."""
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
        """Parse and deliver a chunk, or the stream's end, in steps."""
        self.http.receive_data(bytes(data))
        while not self.closed and (event := self.http.next_event()) not in (h11.NEED_DATA, h11.PAUSED):
            yield from self.handle_http_event(event)
        if data and not self.closed:
            self.on_bytes(self.response_started)

    def handle_http_event(self, event: HttpEvent) -> Steps:
        """Deliver the objects of one event; WatchResponseError for a wrong status or an early end."""
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
        """Hand on an object or entries of one; what is then left to do follows in steps."""
        if isinstance(received, EntryList):
            self.on_entries(received.text)
        elif steps := self.on_object(received):
            yield  # they begin in a turn of their own
            yield from steps
