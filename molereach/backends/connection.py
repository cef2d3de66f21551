"""A connection to a backend: what is written to it and what comes back, one command at a time."""

import asyncio
import logging
import socket
from typing import TYPE_CHECKING, cast

from molereach.backends.answers import outcome_of
from molereach.backends.attempt import Attempt
from molereach.backends.reuse import Reuse
from molereach.clock import now_us
from molereach.policy.interface.events import AttemptResult
from molereach.resp import AnswerReader, ProtocolError

if TYPE_CHECKING:
    from molereach.backends.pool import Pool

log = logging.getLogger(__name__)


def refuse_writes(transport: asyncio.Transport) -> None:
    """The kernel takes nothing more on this connection; what it has, it delivers."""
    own = transport.get_extra_info("socket")
    handle = socket.socket(own.family, own.type, own.proto, own.fileno())
    try:
        handle.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass  # the peer has reset it
    finally:
        handle.detach()  # the descriptor is the loop's


class Connection(asyncio.Protocol):
    """A connection to a backend with at most one command on it."""

    def __init__(self, pool: "Pool") -> None:
        self.pool, self.heard_us = pool, 0
        self.fresh, self.idle_since = True, 0  # it has had no request; since when it rests
        self.age = 0
        self.attempt: Attempt | None = None
        self.transport: asyncio.Transport | None = None
        self.reader = AnswerReader()
        self.paused = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport = cast(asyncio.Transport, transport)
        # With no room for buffering, `pause_writing` tells that bytes are left, and its end that none are.
        transport.set_write_buffer_limits(0)

    def send(self, attempt: Attempt) -> None:
        assert self.transport is not None
        self.attempt, attempt.connection = attempt, self
        self.age = Reuse.age(None if self.fresh else now_us() - self.idle_since)
        self.transport.write(attempt.payload)
        attempt.written = not self.paused and self.usable()  # a write that fails closes it, and took nothing

    def pause_writing(self) -> None:
        self.paused = True

    def resume_writing(self) -> None:
        self.paused = False
        if self.attempt and self.usable():
            self.attempt.written = True

    def data_received(self, data: bytes) -> None:
        self.heard_us = self.pool.heard_us = now_us()
        attempt = self.attempt
        if attempt and not self.reader.buffer:
            self.pool.owner.reuse.note(self.age, reset=False)
        if attempt is None:
            self.abort()  # nothing was asked: it came behind an answer, and belongs to nobody
            return
        if not attempt.written:  # answered before it was whole, if only in part: it must not get whole now
            attempt.give_up(AttemptResult.CONNECT_FAILED)
            return
        self.reader.feed(data)
        try:
            answer = self.reader.next()
        except ProtocolError as error:
            self.spoilt(attempt, error)
            return
        if answer is None:
            return
        self.attempt = attempt.connection = None
        if self.reader.buffer:
            self.abort()
        else:
            self.pool.rest(self)
        attempt.finish(*outcome_of(answer))

    def spoilt(self, attempt: Attempt, error: ProtocolError) -> None:
        """An answer that cannot be read: the request has run, and the rest of the stream is worth nothing.

        It says nothing of the machine, so other connections to it stay.
        """
        log.warning("spoilt answer from %s: %s", self.pool.name, error)
        self.attempt = attempt.connection = None
        self.abort()
        attempt.finish(AttemptResult.MALFORMED)

    def eof_received(self) -> None:
        """No answer can come any more. Without the abort the loop would wait until all is written."""
        self.cut()

    def connection_lost(self, error: Exception | None) -> None:
        self.transport = None
        self.pool.lost(self)
        attempt, self.attempt = self.attempt, None
        if attempt:
            attempt.connection = None
            if not self.reader.buffer:  # within an answer it is no matter of age
                self.pool.owner.reuse.note(self.age, reset=True)
            self.pool.close_unheard(attempt.sent_us)
            attempt.finish(AttemptResult.RESET if attempt.written else AttemptResult.CONNECT_FAILED)

    def usable(self) -> bool:
        return self.transport is not None and not self.transport.is_closing()

    def close(self) -> None:
        if self.transport:
            self.transport.close()

    def abort(self) -> None:
        """Close at once; `close` would first send what is still buffered, and so let the attempt run."""
        self.pool.stop_using(self)
        self.cut()

    def cut(self) -> None:
        """End the connection now. The loop carries out an abort in its next turn, and may write in this one:
        what is left of a command would make it whole after it was given up as one that never ran."""
        if self.transport:
            if self.paused:
                refuse_writes(self.transport)
            self.transport.abort()
