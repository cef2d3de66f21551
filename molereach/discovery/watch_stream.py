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

from molereach.discovery.json_stream import Documents, Part
from molereach.resp import has_unread

log = logging.getLogger(__name__)

TURN_BYTES = 1 << 15  # of an answer in one turn of the loop
# What an answer that makes no sense runs into here, or in whoever reads its objects.
SENSELESS = (h11.ProtocolError, ValueError, LookupError, TypeError, AttributeError, ArithmeticError)

Steps = Generator[None, None, None]  # what is done in turns: each step in one
Event = h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]


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
        self.target, self.host, self.word, self.heard, self.part = target, host, word, heard, part
        self.http = h11.Connection(h11.CLIENT)
        self.documents = Documents()
        self.begun = self.closed = False
        self.waiting: deque[bytes | memoryview] = deque()  # pieces; b"" for the stream's end
        self.steps: Steps | None = None  # those of the piece that is worked off
        self.due = self.paused = False  # the next turn is; the loop reads nothing
        self.is_lost = False  # behind all that waits
        self.ended = asyncio.get_running_loop().create_future()
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport = cast(asyncio.Transport, transport)
        request = h11.Request(method="GET", target=self.target, headers=[("Host", self.host)])
        transport.write(self.http.send(request) + self.http.send(h11.EndOfMessage()))

    # --- what comes, in its order ---

    def data_received(self, data: bytes) -> None:
        view = memoryview(data) if len(data) > TURN_BYTES else data
        self.come(*(view[at : at + TURN_BYTES] for at in range(0, len(data), TURN_BYTES)))

    def eof_received(self) -> None:
        self.come(b"")

    def connection_lost(self, error: Exception | None) -> None:
        self.is_lost = True
        if not self.busy:
            self.end()

    def end(self) -> None:
        self.closed = True
        self.waiting.clear()
        self.steps = None
        if not self.ended.done():
            self.ended.set_result(None)

    @property
    def busy(self) -> bool:
        """Whether something that came is still to be worked off."""
        return not self.closed and (bool(self.waiting) or self.steps is not None)

    def unread(self) -> bool:
        """Whether something has come that has not been read yet, here or by the loop."""
        if self.busy:
            return True
        return self.transport is not None and not self.transport.is_closing() and has_unread(self.transport)

    def close(self) -> None:
        """Let go of it, of all that waits and of what a step left open, at once: a list may be in there."""
        self.closed = True
        self.waiting.clear()
        self.steps = None
        if self.transport:
            self.transport.abort()
        if self.is_lost:
            self.end()

    # --- turns ---

    def come(self, *pieces: bytes | memoryview) -> None:
        idle = not self.busy
        if self.closed:
            return
        self.waiting += pieces
        if idle:
            self.turn()

    def turn(self) -> None:
        """One piece, or one more step of what the last one brought; reading goes on a turn after the last."""
        self.due = False
        if not self.busy:
            self.resume()
            return
        self.step()
        if self.is_lost and not self.busy:
            self.end()
        elif self.busy or (self.paused and not self.closed):
            self.go_on()

    def go_on(self) -> None:
        """More in another turn; nothing is read until then."""
        if self.transport and not self.paused and not self.transport.is_closing():
            self.paused = True
            self.transport.pause_reading()
        if not self.due:
            self.due = True
            asyncio.get_running_loop().call_soon(self.turn)

    def resume(self) -> None:
        if self.paused and not self.closed and self.transport and not self.transport.is_closing():
            self.paused = False
            self.transport.resume_reading()

    def step(self) -> None:
        if self.steps is None:
            self.steps = self.read(self.waiting.popleft())
        try:
            next(self.steps)
        except StopIteration:
            self.steps = None
        except SENSELESS as error:
            log.error("the watch brings what makes no sense: %.200s", error)
            self.fail()
        except Exception:
            log.exception("what the watch brings cannot be taken")
            self.fail()

    def fail(self) -> None:
        self.steps = None
        self.close()

    def read(self, data: bytes | memoryview) -> Steps:
        """What came, b"" for the stream's end."""
        self.http.receive_data(bytes(data))
        while not self.closed and (event := self.http.next_event()) not in (h11.NEED_DATA, h11.PAUSED):
            yield from self.take(event)
        if data and not self.closed:
            self.heard(self.begun)

    def take(self, event: Event) -> Steps:
        if isinstance(event, h11.Response):
            if event.status_code != 200:
                raise ValueError(f"status {event.status_code}")
            self.begun = True
        if isinstance(event, h11.Data):
            for word in self.documents.feed(event.data):
                yield from self.hand_on(word)
                if self.closed:
                    return
        if isinstance(event, h11.EndOfMessage) and self.documents.unfinished:
            raise ValueError("the answer ends within an object")
        if isinstance(event, h11.EndOfMessage | h11.ConnectionClosed):
            self.close()

    def hand_on(self, word: bytes | Part) -> Steps:
        if isinstance(word, Part):
            self.part(word.text)
        elif steps := self.word(word):
            yield  # they begin in a turn of their own
            yield from steps
