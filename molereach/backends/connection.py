"""A connection to a backend, which writes one command at a time and reads its answer."""

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
    """The pool that a connection reports to."""

    name: str
    idle_reuse: IdleReuse
    last_received_us: int

    def keep_idle(self, connection: "BackendConnection") -> None:
        """Keep a connection for reuse after a complete answer."""

    def remove_idle(self, connection: "BackendConnection") -> None:
        """Exclude a connection from reuse."""

    def on_connection_lost(self, connection: "BackendConnection") -> None:
        """Handle the closed socket of a connection."""

    def on_attempt_reset(self, sent_us: int) -> None:
        """Handle the loss of a connection during an attempt that was sent at `sent_us`."""


def shut_down_socket(transport: asyncio.Transport) -> None:
    """Make the kernel accept no more data on a connection; data already accepted is still delivered."""
    loop_socket = transport.get_extra_info("socket")
    handle = socket.socket(loop_socket.family, loop_socket.type, loop_socket.proto, loop_socket.fileno())
    try:
        handle.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass  # the peer has reset it
    finally:
        handle.detach()  # the descriptor belongs to the event loop


class BackendConnection(asyncio.Protocol):
    """A connection to a backend with at most one command in flight."""

    def __init__(self, owner: ConnectionOwner) -> None:
        self.owner = owner
        self.last_received_us = 0
        self.is_new = True  # has not carried a request yet
        self.idle_since_us = 0
        self.age_class = 0  # of the idle time before the attempt in flight
        self.attempt: Attempt | None = None
        self.transport: asyncio.Transport | None = None
        self.reader = AnswerReader()
        self.is_paused = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and disable its write buffering."""
        self.transport = cast(asyncio.Transport, transport)
        # With a limit of 0, `pause_writing` means that unwritten bytes remain, and `resume_writing` that none
        # do.
        self.transport.set_write_buffer_limits(0)

    def send(self, attempt: Attempt) -> None:
        """Write an attempt's command."""
        assert self.transport is not None
        self.attempt = attempt
        attempt.connection = self
        idle_us = None if self.is_new else now_us() - self.idle_since_us
        self.age_class = IdleReuse.age_class(idle_us)
        self.transport.write(attempt.payload)
        # A failed write closes the transport without passing anything to the kernel.
        attempt.is_written = not self.is_paused and self.is_usable()

    def pause_writing(self) -> None:
        """Record that bytes of the command remain to be written."""
        self.is_paused = True

    def resume_writing(self) -> None:
        """Record that all bytes of the command have been passed to the kernel."""
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
            self.owner.idle_reuse.record(self.age_class, reset=False)
        if attempt is None:
            self.abort()  # surplus bytes after an answer, which belong to no attempt
            return
        if not attempt.is_written:  # answered early: the rest of the command must not be sent any more
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
        """Separate the attempt in flight from the connection."""
        self.attempt = None
        attempt.connection = None

    def abandon(self, attempt: Attempt) -> None:
        """Stop serving an attempt; its answer may still arrive, so the connection is not reused."""
        if self.attempt is attempt:
            self.attempt = None
            self.abort()

    def on_malformed_answer(self, attempt: Attempt, error: ProtocolError) -> None:
        """End an attempt with a malformed answer: it was executed, and the rest of the stream is unusable.

        The error does not indicate a failure of the machine, so other connections to it are kept.
        """
        log.warning("malformed answer from %s: %s", self.owner.name, error)
        self.detach(attempt)
        self.abort()
        attempt.finish(AttemptResult.MALFORMED)

    def eof_received(self) -> None:
        """Abort, as no answer can arrive; otherwise the event loop would wait until all data is written."""
        self.abort_transport()

    def connection_lost(self, error: Exception | None) -> None:
        """Handle the closed socket and end the attempt in flight."""
        self.transport = None
        self.owner.on_connection_lost(self)
        attempt = self.attempt
        self.attempt = None
        if attempt:
            attempt.connection = None
            if not self.reader.buffer:  # a reset within an answer is unrelated to the idle time
                self.owner.idle_reuse.record(self.age_class, reset=True)
            self.owner.on_attempt_reset(attempt.sent_us)
            attempt.finish(AttemptResult.RESET if attempt.is_written else AttemptResult.CONNECT_FAILED)

    def is_usable(self) -> bool:
        """Whether a command may be written."""
        return self.transport is not None and not self.transport.is_closing()

    def close(self) -> None:
        """Close the connection once all data is written."""
        if self.transport:
            self.transport.close()

    def abort(self) -> None:
        """Close immediately; `close` would first send buffered data and thus let the attempt be executed."""
        self.owner.remove_idle(self)
        self.abort_transport()

    def abort_transport(self) -> None:
        """Abort the transport and prevent the kernel from accepting more data.

        The event loop performs an abort in its next iteration and may still write in this one. The rest of a
        command would complete it after it was reported as never executed.
        """
        if self.transport:
            if self.is_paused:
                shut_down_socket(self.transport)
            self.transport.abort()
