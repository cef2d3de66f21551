"""A connection to a backend: one command at a time is written to it, and one answer read."""

import asyncio
import logging
import socket
from typing import Protocol, cast

from molereach.backends.answers import outcome_of
from molereach.backends.attempt import Attempt
from molereach.backends.idle_reuse import IdleReuse
from molereach.clock import now_us
from molereach.policy.interface.events import AttemptResult
from molereach.resp import AnswerReader, ProtocolError

log = logging.getLogger(__name__)


class ConnectionOwner(Protocol):
    """What a connection reports to; a pool."""

    name: str
    reuse: IdleReuse
    last_received_us: int

    def keep_idle(self, connection: "BackendConnection") -> None:
        """An answer was read whole; the connection is free."""

    def remove_idle(self, connection: "BackendConnection") -> None:
        """The connection must not be used again."""

    def on_connection_lost(self, connection: "BackendConnection") -> None:
        """The connection's socket is closed."""

    def close_silent(self, since_us: int) -> None:
        """The connection ended under an attempt sent at `since_us`."""


def shut_down_socket(transport: asyncio.Transport) -> None:
    """Make the kernel take nothing more on a connection; it delivers what it has."""
    loop_socket = transport.get_extra_info("socket")
    handle = socket.socket(loop_socket.family, loop_socket.type, loop_socket.proto, loop_socket.fileno())
    try:
        handle.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass  # the peer has reset it
    finally:
        handle.detach()  # the descriptor belongs to the loop


class BackendConnection(asyncio.Protocol):
    """A connection to a backend with at most one command in flight."""

    def __init__(self, owner: ConnectionOwner) -> None:
        self.owner = owner
        self.last_received_us = 0
        self.is_new = True  # it has had no request
        self.idle_since_us = 0
        self.age_class = 0  # of its idle time before the attempt in flight
        self.attempt: Attempt | None = None
        self.transport: asyncio.Transport | None = None
        self.reader = AnswerReader()
        self.is_paused = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport over."""
        self.transport = cast(asyncio.Transport, transport)
        # With no buffer allowed, `pause_writing` means that bytes are left to write, its end that none are.
        self.transport.set_write_buffer_limits(0)

    def send(self, attempt: Attempt) -> None:
        """Write an attempt's command."""
        assert self.transport is not None
        self.attempt = attempt
        attempt.connection = self
        idle_us = None if self.is_new else now_us() - self.idle_since_us
        self.age_class = IdleReuse.age_class(idle_us)
        self.transport.write(attempt.payload)
        # A write that fails closes the transport, and took nothing.
        attempt.is_written = not self.is_paused and self.is_usable()

    def pause_writing(self) -> None:
        """Bytes of the command are left to write."""
        self.is_paused = True

    def resume_writing(self) -> None:
        """All bytes are handed to the kernel."""
        self.is_paused = False
        if self.attempt and self.is_usable():
            self.attempt.is_written = True

    def data_received(self, data: bytes) -> None:
        """Read the answer of the attempt in flight."""
        received_us = now_us()
        self.last_received_us = received_us
        self.owner.last_received_us = received_us
        attempt = self.attempt
        if attempt and not self.reader.buffer:
            self.owner.reuse.record(self.age_class, reset=False)
        if attempt is None:
            self.abort()  # nothing was asked: the bytes follow an answer, and belong to no attempt
            return
        if (
            not attempt.is_written
        ):  # answered before the command was complete: it must not become complete now
            attempt.give_up(AttemptResult.CONNECT_FAILED)
            return
        self.reader.feed(data)
        try:
            answer = self.reader.next()
        except ProtocolError as error:
            self.on_malformed_answer(attempt, error)
            return
        if answer is None:
            return
        self.detach(attempt)
        if self.reader.buffer:
            self.abort()
        else:
            self.owner.keep_idle(self)
        attempt.finish(*outcome_of(answer))

    def detach(self, attempt: Attempt) -> None:
        """Part the attempt in flight from the connection."""
        self.attempt = None
        attempt.connection = None

    def abandon(self, attempt: Attempt) -> None:
        """Serve an attempt no more. An answer is still due for it, so the connection is not used again."""
        if self.attempt is attempt:
            self.attempt = None
            self.abort()

    def on_malformed_answer(self, attempt: Attempt, error: ProtocolError) -> None:
        """End an attempt whose answer cannot be read: it has run, and the rest of the stream is useless.

        It says nothing of the machine, so other connections to it stay.
        """
        log.warning("malformed answer from %s: %s", self.owner.name, error)
        self.detach(attempt)
        self.abort()
        attempt.finish(AttemptResult.MALFORMED)

    def eof_received(self) -> None:
        """No answer can come any more. Without the abort the loop would wait until all is written."""
        self.abort_transport()

    def connection_lost(self, error: Exception | None) -> None:
        """The socket is closed; an attempt in flight ends with it."""
        self.transport = None
        self.owner.on_connection_lost(self)
        attempt = self.attempt
        self.attempt = None
        if attempt:
            attempt.connection = None
            if not self.reader.buffer:  # a reset within an answer has nothing to do with the idle time
                self.owner.reuse.record(self.age_class, reset=True)
            self.owner.close_silent(attempt.sent_us)
            attempt.finish(AttemptResult.RESET if attempt.is_written else AttemptResult.CONNECT_FAILED)

    def is_usable(self) -> bool:
        """Whether a command may be written."""
        return self.transport is not None and not self.transport.is_closing()

    def close(self) -> None:
        """Close it once all is written."""
        if self.transport:
            self.transport.close()

    def abort(self) -> None:
        """Close it at once: `close` would first send what is buffered, and so let the attempt run."""
        self.owner.remove_idle(self)
        self.abort_transport()

    def abort_transport(self) -> None:
        """Abort the transport, and keep the kernel from taking more.

        The loop carries out an abort in its next turn, and may write in this one: the rest of a command would
        make it complete after it was given up as one that never ran.
        """
        if self.transport:
            if self.is_paused:
                shut_down_socket(self.transport)
            self.transport.abort()
