"""RESP2 clients: commands in, answers out in the order of the commands.

A client is not trusted: whoever says nothing, stops within a command, reads no answers or sends what
cannot be read is told or closed in time.
"""

import asyncio
import logging
from collections import deque
from typing import cast

from molereach.clients.connection_state import CROWDED
from molereach.clients.listener import READ_BYTES, WAITS_US, Connection, Intake, State
from molereach.clients.replies import Front, Reply
from molereach.clients.requests import CommandError, NoRoomError
from molereach.clock import now_us
from molereach.resp import CommandReader, ProtocolError, has_unread

log = logging.getLogger(__name__)

MOST_PIPELINED = 16  # requests open on a connection; further commands wait unread
DISCARD_BYTES = 256 * 1024  # read of what follows a last answer; then the client has to wait
MOST_ERRORS = 16  # wrong commands in a row on a connection, then it is closed
FAILED = b"-ERR failed\r\n"
ENDS = b"-ERR the front door ends\r\n"


class ClientConnection(Connection, asyncio.BufferedProtocol):
    """A client's connection; answers leave in the order of its commands."""

    def __init__(self, intake: Intake, front: Front) -> None:
        self.intake, self.front = intake, front
        self.reader = CommandReader()
        self.replies: deque[Reply] = deque()
        self.closing, self.reading, self.clogged, self.processing = False, True, False, False
        self.known, self.asked, self.errors = False, False, 0  # it has sent a good command; a request
        self.unread, self.discarded = False, 0  # closing: what comes stays unread, or so much was thrown away
        self.more = self.scheduled = False  # whole commands may wait to be taken; that is due
        self.state, self.since_us = State.NEW, now_us()
        self.until_us = self.since_us + WAITS_US[State.NEW]

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport, self.attached = cast(asyncio.Transport, transport), True
        self.intake.opened(self)
        if self.crowded:
            self.finish(CROWDED)

    def get_buffer(self, sizehint: int) -> memoryview:
        return self.intake.read_buffer

    def buffer_updated(self, count: int) -> None:
        if self.closing:
            self.discarded += count
            self.update()
            return
        self.reader.feed(self.intake.read_buffer[:count])
        if self.state is State.NEW and count < READ_BYTES:
            # A burst of clients that ask and leave at once is not sent on: their ends are heard first.
            self.more = True
            self.process_soon()
        elif not self.scheduled:
            self.process()

    def eof_received(self) -> None:
        """An end is all that is seen of a close. What is written still leaves, in bounded time."""
        self.gone()
        self.enter(State.CLOGGED)

    def peer_ended(self) -> None:
        self.gone()
        self.abort()

    def gone(self) -> None:
        """The client has left: what is still open for it is for nobody."""
        self.closing, replies = True, [reply for reply in self.replies if reply.data is None]
        self.replies.clear()
        for reply in replies:
            self.front.client_gone(reply)

    def process(self) -> None:
        """Take the commands that are whole, as many as may be open at once; others come in between."""
        self.processing, taken, self.more = True, 0, False
        try:
            while not self.closing and len(self.replies) < MOST_PIPELINED and not self.clogged:
                if taken >= MOST_PIPELINED:
                    self.more = True
                    self.process_soon()
                    break
                words = self.reader.next()
                if words is None:
                    break
                taken += 1
                self.command(words)
            else:
                self.more = not self.closing
        except ProtocolError as error:
            log.warning("a client sends what cannot be read: %s", error)
            self.finish(b"-ERR Protocol error: %b\r\n" % str(error).encode())
        except Exception:
            # A fault of ours costs this connection, not the front door, and still answers what it owes.
            log.exception("a client's connection failed")
            self.fail_all()
            self.finish(b"-ERR internal error\r\n")
        finally:
            self.processing = False
        self.flush()

    def process_soon(self) -> None:
        if not self.scheduled:
            self.scheduled = True
            self.intake.loop.call_soon(self.process_more)

    def process_more(self) -> None:
        self.scheduled = False
        if self.more and not self.closing:
            self.process()

    def command(self, words: list[bytes]) -> None:
        reply = Reply(self)
        self.replies.append(reply)
        name = words[0].upper()
        try:
            if name == b"PING" and len(words) <= 2:
                pong = b"+PONG\r\n" if len(words) == 1 else b"$%d\r\n%b\r\n" % (len(words[1]), words[1])
                reply.send(pong)
            else:
                self.front.take(words, reply)
                self.asked = True
        except NoRoomError as error:  # no fault of the client's
            self.known, self.asked, self.state = True, True, State.CHANGED
            reply.send(b"-ERR %b\r\n" % str(error).encode())
        except CommandError as error:
            self.errors += 1
            reply.send(b"-ERR %b\r\n" % str(error).encode())
            if self.errors >= MOST_ERRORS:
                self.finish(b"-ERR too many wrong commands\r\n")
        else:
            self.known, self.errors, self.state = True, 0, State.CHANGED

    def flush(self) -> None:
        """Send the answers whose turn it is, and see what is next."""
        if self.processing or not self.attached:
            return
        ready = []
        while self.replies and (data := self.replies[0].data) is not None:
            ready.append(data)
            self.replies.popleft()
        if self.transport.is_closing():
            return
        if ready:
            self.transport.write(b"".join(ready))
        if self.closing and not self.replies:
            self.hang_up()
        elif self.more and ready:
            self.process_soon()
        self.update()

    def finish(self, data: bytes) -> None:
        """A last answer, then close. What still comes is thrown away, so that no reset takes the answer."""
        self.closing = True
        self.replies.append(Reply(self, data))
        self.flush()

    def hang_up(self) -> None:
        """End our side; the rest follows when the client has had time to read."""
        if self.transport.can_write_eof():
            self.transport.write_eof()

    def fail_all(self) -> None:
        for reply in [reply for reply in self.replies if reply.data is None]:
            self.front.client_gone(reply)
            reply.send(FAILED)

    def update(self) -> None:
        """Read on or not, and set the time until which it may stay as it is."""
        if self.transport.is_closing():
            return
        wanted = self.wants_more()
        if wanted and not self.reading:
            self.transport.resume_reading()
            self.intake.ends.let_go(self)
        elif self.reading and not wanted:
            self.transport.pause_reading()
            self.intake.ends.watch(self)
        self.reading = wanted
        state = self.current_state()
        if state is not self.state:
            self.enter(state)

    def wants_more(self) -> bool:
        """Whether to read on: somewhat ahead of what can be taken, as the client's end stands behind it."""
        if self.closing:
            return not self.unread and self.discarded < DISCARD_BYTES
        full = self.more or self.clogged or len(self.replies) >= MOST_PIPELINED
        return not full or len(self.reader.buffer) < READ_BYTES

    def enter(self, state: State) -> None:
        self.state = state
        if state is not State.NEW:
            self.since_us = now_us()
            self.until_us = self.since_us + WAITS_US[state]
        self.intake.moved(self)

    def current_state(self) -> State:
        if self.closing and not self.replies:
            # Its time to read the last answer begins when that has left.
            return State.CLOGGED if self.transport.get_write_buffer_size() else State.CLOSING
        if self.clogged:
            return State.CLOGGED
        if self.replies:
            return State.BUSY
        if not self.known:
            return State.NEW
        if self.reader.buffer:
            return State.PARTIAL
        return State.IDLE if self.asked else State.GREETED

    def pause_writing(self) -> None:
        self.clogged = True
        if not self.processing:
            self.update()

    def resume_writing(self) -> None:
        self.clogged = False
        if self.closing:
            self.flush()
        elif not self.processing:
            self.process()

    def overdue(self) -> None:
        """It has been as it is for too long."""
        if self.state is State.CLOGGED and not self.transport.get_write_buffer_size():
            self.update()
        elif self.state in (State.CLOGGED, State.CLOSING):
            self.abort()
        elif self.transport.is_closing():
            return
        elif self.state is State.NEW and not self.reader.buffer and has_unread(self.transport):
            return  # its first command comes in this very moment
        elif self.state in (State.IDLE, State.GREETED):
            self.close()
        else:
            self.finish(b"-ERR timed out\r\n")

    def connection_lost(self, error: Exception | None) -> None:
        self.gone()
        self.intake.closed(self)

    def close(self) -> None:
        """Half-close between requests, unless one has just come or begun.

        One that crosses it stays unread: its client hears the end and sends it again elsewhere. The socket is
        let go of when the client's end has come too, or after a while, as a close over unread bytes resets
        the connection, and the last answer with it (RFC 9112, section 9.6: lingering close).
        """
        if self.replies or self.closing or self.reader.buffer or self.transport.is_closing():
            return
        if not has_unread(self.transport):
            self.closing = self.unread = True
            self.flush()

    def end(self) -> None:
        """The front door ends. What was read and not taken yet fails; so does a command of which only a part
        was read, and a first one that was not read, as they may be whole by now. Else what crosses the end
        stays unread, as at a close."""
        if self.closing or self.transport.is_closing():
            return
        try:
            while self.reader.next() is not None:
                self.replies.append(Reply(self, FAILED))
        except ProtocolError:
            pass  # it stays in the buffer
        begun = self.state is State.NEW or bool(self.reader.buffer)
        self.unread = not begun
        self.finish(ENDS if begun else b"")

    def on_its_way(self) -> bool:
        """A command unread, a good one not taken yet, or an answer that has not left."""
        return self.scheduled or self.transport.get_write_buffer_size() > 0 or has_unread(self.transport)

    def give_way(self) -> None:
        if self.state in (State.IDLE, State.GREETED):
            self.close()
        else:
            self.finish(CROWDED)  # a request that crosses this has its answer

    def abort(self) -> None:
        if self.attached:
            self.transport.abort()

    def waiting_bytes(self) -> int:
        return len(self.reader.buffer) + self.transport.get_write_buffer_size()
