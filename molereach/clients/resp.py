"""RESP2 client connections: reads commands and sends replies in the order of the commands.

Clients are not trusted: one that sends nothing, stops in the middle of a command, reads no replies or sends
malformed data gets an error or is disconnected within bounded time.
"""

import asyncio
import logging
from typing import cast

from molereach.clients.command_buffer import CommandBuffer
from molereach.clients.connection_state import TIMEOUTS_US, TOO_MANY_CLIENTS, Connection, State
from molereach.clients.input_drain import InputDrain
from molereach.clients.listener import READ_BYTES, ClientListener
from molereach.clients.replies import CommandHandler, Reply, ReplyQueue
from molereach.clients.requests import CommandError, OverloadedError
from molereach.clients.resp_replies import (
    INTERNAL_ERROR,
    REJECTED,
    REQUEST_FAILED,
    SHUTTING_DOWN,
    TOO_MANY_ERRORS,
    TOO_SLOW,
    error_reply,
    is_ping,
    pong,
    protocol_error_reply,
)
from molereach.clock import now_us
from molereach.resp import has_unread

log = logging.getLogger(__name__)

MAX_PIPELINED = 16  # open requests per connection; further commands wait
MAX_DIVIDED_PER_TURN = 64  # commands of a connection that are queued or rejected per loop iteration
MAX_DISCARDED_BYTES = 256 * 1024  # read and discarded after the last reply, before reading stops
MAX_CONSECUTIVE_ERRORS = 16  # consecutive invalid commands after which the connection is closed


class ClientConnection(Connection, asyncio.BufferedProtocol):
    """A client's connection, which sends replies in the order of the commands."""

    def __init__(self, listener: ClientListener, handler: CommandHandler) -> None:
        self.listener = listener
        self.handler = handler
        self.commands = CommandBuffer()
        self.reader = self.commands.reader
        self.input_drain = InputDrain()
        self.replies: ReplyQueue = ReplyQueue()
        self.is_closing = False
        self.is_reading = True
        self.has_read = False  # whether any bytes have been read
        self.is_write_blocked = False
        self.is_processing = False
        self.sent_valid_command = False
        self.sent_request = False
        self.consecutive_errors = 0
        self.stops_reading = False  # while closing: incoming data is not read
        self.discarded_bytes = 0  # read and discarded after the last reply
        self.is_processing_scheduled = False
        self.state = State.NEW
        self.state_entered_us = now_us()
        self.timeout_at_us = self.state_entered_us + TIMEOUTS_US[State.NEW]

    # --- transport callbacks ---

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register with the listener; a connection over the limit is only sent an error."""
        self.transport = cast(asyncio.Transport, transport)
        self.is_attached = True
        self.listener.on_opened(self)
        if self.is_over_limit:
            self.send_last_reply(TOO_MANY_CLIENTS)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the read buffer, which all connections share."""
        return self.listener.read_buffer

    def buffer_updated(self, count: int) -> None:
        """Process `count` bytes that the transport has read."""
        if not self.has_read:
            self.has_read = True
            self.listener.delays.on_first_read(now_us() - self.state_entered_us)
        if not self.is_closing:
            self.commands.feed(self.listener.read_buffer[:count])
        elif not self.replies:
            self.discarded_bytes += count
        if count == READ_BYTES:  # there may be more, but other connections are served in between
            self.schedule_processing()
        if self.is_closing or self.is_processing_scheduled:
            self.update()
        else:
            self.process_commands()

    def eof_received(self) -> None:
        """Treat EOF as a disconnect, as a half-close cannot be told from a close.

        Data already written is still sent, within a timeout.
        """
        self.on_disconnected()
        self.enter_state(State.WRITE_BLOCKED)

    def pause_writing(self) -> None:
        """Handle a full write buffer, as the client does not read its replies."""
        self.is_write_blocked = True
        if not self.is_processing:
            self.update()

    def resume_writing(self) -> None:
        """Continue after the write buffer has drained."""
        self.is_write_blocked = False
        if self.is_closing:
            self.flush()
        elif not self.is_processing:
            self.process_commands()

    def connection_lost(self, error: Exception | None) -> None:
        """Handle the closed socket."""
        self.on_disconnected()
        self.listener.on_closed(self)

    # --- commands and replies ---

    def on_disconnected(self) -> None:
        """Discard the commands and pending replies of a disconnected client and notify the handler."""
        self.is_closing = True
        self.commands.clear()
        pending = self.replies.pending()
        self.replies.clear()
        for reply in pending:
            self.handler.on_client_disconnected(reply)

    def process_commands(self) -> None:
        """Handle the commands that may be handled now and queue the others."""
        self.is_processing = True
        try:
            self.handle_commands()
            self.queue_commands()
        except Exception:
            # An internal error ends only this connection, and its pending requests are still answered.
            log.exception("internal error on a client connection")
            self.fail_pending()
            self.fail_waiting()
            self.send_last_reply(INTERNAL_ERROR)
        finally:
            self.is_processing = False
        self.flush()

    def handle_commands(self) -> None:
        """Handle up to `MAX_PIPELINED` commands, then let other connections run."""
        for _ in range(MAX_PIPELINED):
            if self.is_closing or self.is_write_blocked or len(self.replies) >= MAX_PIPELINED:
                return
            arguments = self.commands.peek()
            if arguments is None or not (is_ping(arguments) or self.is_input_drained()):
                return
            self.commands.pop()
            self.handle(arguments)
        self.schedule_processing()

    def queue_commands(self) -> None:
        """Queue or reject the commands that have been read, then end a connection with malformed input.

        Rejections and the error are replies as well, so they follow those of the commands before them.
        """
        if self.is_closing:
            return
        if not self.commands.divide(MAX_DIVIDED_PER_TURN):
            self.schedule_processing()
        if not self.replies and (rejected_count := self.commands.take_rejected()):
            self.replies.append(Reply(self, REJECTED * rejected_count))
        if self.commands.error and not self.commands.has_commands():
            log.warning("malformed command from a client: %s", self.commands.error)
            self.send_last_reply(protocol_error_reply(self.commands.error))

    def is_input_drained(self) -> bool:
        """Whether all input has been read; until then commands wait, but not for long."""
        if self.input_drain.is_drained(self.transport):
            return True
        if self.input_drain.is_overdue():
            self.commands.reject_waiting()
        return False

    def schedule_processing(self) -> None:
        """Process commands in the next iteration of the event loop; until then nothing more is read."""
        if not self.is_processing_scheduled:
            self.is_processing_scheduled = True
            self.listener.loop.call_soon(self.on_processing_due)

    def on_processing_due(self) -> None:
        """Process commands that were deferred to this iteration of the event loop."""
        self.is_processing_scheduled = False
        if self.is_closing:
            self.update()
        else:
            self.process_commands()

    def handle(self, arguments: list[bytes]) -> None:
        """Handle one command; PING and invalid commands are answered directly."""
        reply = Reply(self)
        self.replies.append(reply)
        try:
            if is_ping(arguments):
                reply.send(pong(arguments))
            else:
                self.handler.handle_command(arguments, reply)
                self.sent_request = True
        except OverloadedError as error:  # not the client's error
            self.sent_valid_command = True
            self.sent_request = True
            self.state = State.CHANGED
            reply.send(error_reply(error))
        except CommandError as error:
            self.consecutive_errors += 1
            reply.send(error_reply(error))
            if self.consecutive_errors >= MAX_CONSECUTIVE_ERRORS:
                self.send_last_reply(TOO_MANY_ERRORS)
        else:
            self.sent_valid_command = True
            self.consecutive_errors = 0
            self.state = State.CHANGED

    def flush(self) -> None:
        """Send the replies that are ready, then update the connection's state."""
        if self.is_processing or not self.is_attached:
            return
        ready = self.replies.take_ready()
        if self.transport.is_closing():
            return
        if ready:
            self.transport.write(b"".join(ready))
        if self.is_closing and not self.replies:
            self.half_close()
        elif ready and self.commands.has_commands():
            self.schedule_processing()
        self.update()

    def send_last_reply(self, data: bytes) -> None:
        """Send a last reply and close; incoming data is discarded, as a reset would lose the reply."""
        self.is_closing = True
        self.replies.append(Reply(self, data))
        self.flush()

    def fail_pending(self) -> None:
        """Fail the requests that have no reply yet."""
        for reply in self.replies.pending():
            self.handler.on_client_disconnected(reply)
            reply.send(REQUEST_FAILED)

    def fail_waiting(self) -> None:
        """Fail the commands that were read and not handled."""
        if failed_count := self.commands.take_all():
            self.replies.append(Reply(self, REQUEST_FAILED * failed_count))

    # --- state ---

    def update(self) -> None:
        """Pause or resume reading, and enter the current state."""
        if self.transport.is_closing():
            return
        should_read = self.should_read()
        if should_read and not self.is_reading:
            self.transport.resume_reading()
        elif self.is_reading and not should_read:
            self.transport.pause_reading()
        self.is_reading = should_read
        if should_read or self.is_processing_scheduled:
            self.listener.disconnect_watch.unwatch(self)
        else:
            self.listener.disconnect_watch.watch(self)
        state = self.current_state()
        if state is not self.state:
            self.enter_state(state)

    def should_read(self) -> bool:
        """Whether to read: always while requests are open, as EOF stands behind all unread bytes."""
        if self.is_processing_scheduled:
            return False
        if not self.is_closing:
            return True
        may_discard = bool(self.replies) or self.discarded_bytes < MAX_DISCARDED_BYTES
        return may_discard and not self.stops_reading

    def enter_state(self, state: State) -> None:
        """Enter a state and start its timeout; that of `NEW` started with the connection."""
        self.state = state
        if state is not State.NEW:
            self.state_entered_us = now_us()
            self.timeout_at_us = self.state_entered_us + TIMEOUTS_US[state]
        self.listener.on_state_changed(self)

    def current_state(self) -> State:
        """Determine the current state."""
        if self.is_closing and not self.replies:
            # The linger timeout starts once the last reply has been sent.
            return State.WRITE_BLOCKED if self.transport.get_write_buffer_size() else State.CLOSING
        if self.is_write_blocked:
            return State.WRITE_BLOCKED
        if self.replies:
            return State.BUSY
        if not self.sent_valid_command:
            return State.NEW
        if self.commands.has_commands():
            return State.BUSY
        if self.reader.buffer:
            return State.PARTIAL
        return State.IDLE if self.sent_request else State.PING_ONLY

    def on_timeout(self) -> None:
        """End the connection, or recompute its state if data has just arrived or been sent."""
        if self.state is State.WRITE_BLOCKED and not self.transport.get_write_buffer_size():
            self.update()
        elif self.state in (State.WRITE_BLOCKED, State.CLOSING):
            self.abort()
        elif self.transport.is_closing():
            return
        elif self.state is State.NEW and not self.reader.buffer and has_unread(self.transport):
            return  # its first command is just arriving
        elif self.state in (State.IDLE, State.PING_ONLY):
            self.close()
        else:
            self.fail_waiting()
            self.send_last_reply(TOO_SLOW)

    # --- closing ---

    def on_peer_closed(self) -> None:
        """Handle a reset by the client, or a close while bytes from it are unread."""
        self.on_disconnected()
        self.abort()

    def half_close(self) -> None:
        """Close the write side; the socket is closed after the client has had time to read."""
        if self.transport.can_write_eof():
            self.transport.write_eof()

    def close(self) -> None:
        """Half-close an idle connection, unless a request has just arrived or is being received.

        A request that the client sends concurrently stays unread: the client reads EOF and retries elsewhere.
        The socket is closed once the client has closed its side, or after a timeout. Closing with unread
        bytes would reset the connection and lose the last reply (RFC 9112, section 9.6: lingering close).
        """
        if self.replies or self.is_closing or self.transport.is_closing():
            return
        if self.reader.buffer or self.commands.has_commands():
            return
        if not has_unread(self.transport):
            self.is_closing = True
            self.stops_reading = True
            self.flush()

    def shut_down(self) -> None:
        """Close the connection because the process shuts down.

        Commands that were read but not handled fail. So do a partially read command and an unread first
        command, as they may be complete by now. Otherwise incoming data stays unread, as in `close`.
        """
        if self.is_closing or self.transport.is_closing():
            return
        self.fail_waiting()
        has_begun = self.state is State.NEW or bool(self.reader.buffer) or self.commands.error is not None
        self.stops_reading = not has_begun
        self.send_last_reply(SHUTTING_DOWN if has_begun else b"")

    def has_data_in_flight(self) -> bool:
        """Whether a command is unread or not yet handled, or a reply not yet sent."""
        is_writing = self.transport.get_write_buffer_size() > 0
        is_waiting = self.is_processing_scheduled or self.commands.has_commands()
        return is_waiting or is_writing or has_unread(self.transport)

    def evict(self) -> None:
        """Close to make room for another connection."""
        if self.state in (State.IDLE, State.PING_ONLY):
            self.close()
        else:
            self.send_last_reply(TOO_MANY_CLIENTS)  # also answers a concurrent request

    def abort(self) -> None:
        """Close immediately."""
        if self.is_attached:
            self.transport.abort()

    def buffered_bytes(self) -> int:
        """Size of incomplete commands and unread replies in bytes."""
        return self.commands.buffered_bytes() + self.transport.get_write_buffer_size()
