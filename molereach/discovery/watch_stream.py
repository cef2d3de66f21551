"""One call to discovery: its request, and its answer until the connection ends.

An answer may have no length: then its end is that of the stream, which h11 has to be told. A reset is no end,
and neither is one within a chunk or a length: an object that is not whole by then is dropped.

A long answer is worked off in turns of the loop, a piece of it in each, and nothing more is read meanwhile:
requests come in between, and what waits is no more than what the loop had read at once. Whoever takes an
object may have more to do with it than one turn; that is done in turns before the next piece. What comes in
short pieces is read as it comes.
"""

import asyncio
import logging
from collections import deque
from collections.abc import Callable, Generator
from typing import cast

import h11

from molereach.discovery.json_stream import EntryList, JsonStream
from molereach.resp import has_unread

log = logging.getLogger(__name__)

CHUNK_BYTES = 1 << 15  # of an answer in one turn of the loop
# What an answer that makes no sense runs into here, or in whoever reads its objects.
MALFORMED_RESPONSE_ERRORS = (
    h11.ProtocolError,
    ValueError,
    LookupError,
    TypeError,
    AttributeError,
    ArithmeticError,
)

Steps = Generator[None, None, None]  # what is done in turns: each step in one
HttpEvent = h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]


class WatchConnection(asyncio.Protocol):
    """`word` gets each whole object, and b"" for an empty line, and returns what is still to be done with it;
    `part` gets the parts of a long object before it; `heard` is called when any bytes were read, with whether
    the answer has begun."""

    def __init__(
        self,
        target: str,
        host: str,
        word: Callable[[bytes], Steps | None],
        heard: Callable[[bool], None],
        part: Callable[[bytes], None],
    ) -> None:
        self.target, self.host, self.on_object, self.on_bytes, self.on_entries = (
            target,
            host,
            word,
            heard,
            part,
        )
        self.http = h11.Connection(h11.CLIENT)
        self.json_stream = JsonStream()
        self.response_started = self.closed = False
        self.pending_chunks: deque[bytes | memoryview] = deque()  # pieces; b"" for the stream's end
        self.current_steps: Steps | None = None  # those of the piece that is worked off
        self.turn_scheduled = self.reading_paused = False  # the next turn is; the loop reads nothing
        self.connection_is_lost = False  # behind all that waits
        self.finished = asyncio.get_running_loop().create_future()
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport = cast(asyncio.Transport, transport)
        request = h11.Request(method="GET", target=self.target, headers=[("Host", self.host)])
        transport.write(self.http.send(request) + self.http.send(h11.EndOfMessage()))

    # --- what comes, in its order ---

    def data_received(self, data: bytes) -> None:
        view = memoryview(data) if len(data) > CHUNK_BYTES else data
        self.enqueue(*(view[at : at + CHUNK_BYTES] for at in range(0, len(data), CHUNK_BYTES)))

    def eof_received(self) -> None:
        self.enqueue(b"")

    def connection_lost(self, error: Exception | None) -> None:
        self.connection_is_lost = True
        if not self.is_processing:
            self.finish()

    def finish(self) -> None:
        self.closed = True
        self.pending_chunks.clear()
        self.current_steps = None
        if not self.finished.done():
            self.finished.set_result(None)

    @property
    def is_processing(self) -> bool:
        """Whether something that came is still to be worked off."""
        return not self.closed and (bool(self.pending_chunks) or self.current_steps is not None)

    def has_unread_data(self) -> bool:
        """Whether something has come that has not been read yet, here or by the loop."""
        if self.is_processing:
            return True
        return self.transport is not None and not self.transport.is_closing() and has_unread(self.transport)

    def close(self) -> None:
        """Let go of it, of all that waits and of what a step left open, at once: a list may be in there."""
        self.closed = True
        self.pending_chunks.clear()
        self.current_steps = None
        if self.transport:
            self.transport.abort()
        if self.connection_is_lost:
            self.finish()

    # --- turns ---

    def enqueue(self, *pieces: bytes | memoryview) -> None:
        idle = not self.is_processing
        if self.closed:
            return
        self.pending_chunks += pieces
        if idle:
            self.run_turn()

    def run_turn(self) -> None:
        """One piece, or one more step of what the last one brought; reading goes on a turn after the last."""
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
        """More in another turn; nothing is read until then."""
        if self.transport and not self.reading_paused and not self.transport.is_closing():
            self.reading_paused = True
            self.transport.pause_reading()
        if not self.turn_scheduled:
            self.turn_scheduled = True
            asyncio.get_running_loop().call_soon(self.run_turn)

    def resume_reading(self) -> None:
        if self.reading_paused and not self.closed and self.transport and not self.transport.is_closing():
            self.reading_paused = False
            self.transport.resume_reading()

    def run_step(self) -> None:
        if self.current_steps is None:
            self.current_steps = self.parse_chunk(self.pending_chunks.popleft())
        try:
            next(self.current_steps)
        except StopIteration:
            self.current_steps = None
        except MALFORMED_RESPONSE_ERRORS as error:
            log.error("the watch brings what makes no sense: %.200s", error)
            self.fail()
        except Exception:
            log.exception("what the watch brings cannot be taken")
            self.fail()

    def fail(self) -> None:
        self.current_steps = None
        self.close()

    def parse_chunk(self, data: bytes | memoryview) -> Steps:
        """What came, b"" for the stream's end."""
        self.http.receive_data(bytes(data))
        while not self.closed and (event := self.http.next_event()) not in (h11.NEED_DATA, h11.PAUSED):
            yield from self.handle_http_event(event)
        if data and not self.closed:
            self.on_bytes(self.response_started)

    def handle_http_event(self, event: HttpEvent) -> Steps:
        if isinstance(event, h11.Response):
            if event.status_code != 200:
                raise ValueError(f"status {event.status_code}")
            self.response_started = True
        if isinstance(event, h11.Data):
            for word in self.json_stream.feed(event.data):
                yield from self.deliver(word)
                if self.closed:
                    return
        if isinstance(event, h11.EndOfMessage) and self.json_stream.unfinished:
            raise ValueError("the answer ends within an object")
        if isinstance(event, h11.EndOfMessage | h11.ConnectionClosed):
            self.close()

    def deliver(self, word: bytes | EntryList) -> Steps:
        if isinstance(word, EntryList):
            self.on_entries(word.text)
        elif steps := self.on_object(word):
            yield  # they begin in a turn of their own
            yield from steps
