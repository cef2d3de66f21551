"""One connection to a peer: the handshake, then authenticated messages in both directions.

The owner processes received messages and supplies the next one to send. An error closes this connection only.
A side that closes gracefully sends `Goodbye` and still processes messages in flight; the side that receives
it stops sending and closes the socket. So no message is lost between two running proxies.
"""

import asyncio
import logging
from typing import cast

from molereach.clock import now_us
from molereach.coordination.interface.identifiers import NodeInstance
from molereach.coordination.transport.connection_owner import ConnectionOwner, ConnectionPhase
from molereach.coordination.transport.errors import FrameError, HandshakeError, TransportError
from molereach.coordination.transport.frames import (
    MAX_BODY_BYTES,
    TAG_BYTES,
    FrameSplitter,
    length_prefix,
)
from molereach.coordination.transport.handshake import (
    MAX_HANDSHAKE_BYTES,
    AuthenticatedSession,
    DiallerHandshake,
    ListenerHandshake,
    encode_rejection,
    printable_line,
)
from molereach.coordination.transport.heartbeat import ConnectionHealth, HeartbeatMonitor
from molereach.coordination.transport.messages import CONTROL_PROTOCOL, Goodbye
from molereach.coordination.transport.session_channel import SessionChannel

log = logging.getLogger(__name__)


class PeerConnection(asyncio.Protocol):
    """One connection, outgoing or incoming; `handshake` has the matching role."""

    def __init__(
        self,
        owner: "ConnectionOwner[PeerConnection]",
        handshake: DiallerHandshake | ListenerHandshake,
    ) -> None:
        self.owner = owner
        self.handshake = handshake
        self.settings = owner.settings
        self.is_outgoing = isinstance(handshake, DiallerHandshake)
        self.loop = asyncio.get_running_loop()
        self.phase = ConnectionPhase.HANDSHAKE
        self.splitter = FrameSplitter(MAX_HANDSHAKE_BYTES, 0)
        self.heartbeat = HeartbeatMonitor(
            self.settings.max_silent_heartbeats,
            self.settings.max_stalled_heartbeats,
            self.settings.max_idle_heartbeats,
        )
        self.channel: SessionChannel | None = None  # set when the handshake is complete
        self.transport: asyncio.Transport | None = None
        self.handshake_timer: asyncio.TimerHandle | None = None
        # Of the peer while the connection holds an unauthenticated slot; the registry releases the slot, and
        # then sets this to "".
        self.source_address = ""
        self.hello_sent = False
        self.is_scheduled = False  # set by the scheduler
        self.writing_paused = False  # the write buffer is full
        self.reading_paused = False  # the read buffer is full
        self.draining_intervals = 0  # heartbeat intervals that have passed in phase `DRAINING`
        self.bytes_received = 0
        self.bytes_sent = 0
        self.last_received_us = 0

    @property
    def peer_instance(self) -> NodeInstance:
        """The authenticated peer; available only when the handshake is complete."""
        assert self.channel is not None
        return self.channel.peer

    @property
    def peer_name(self) -> str:
        """The peer's name; "" if it is unknown."""
        if self.channel:
            return self.channel.peer.name
        return self.handshake.recipient if isinstance(self.handshake, DiallerHandshake) else ""

    # --- asyncio callbacks ---

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the handshake if the owner admits the connection."""
        self.transport = cast(asyncio.Transport, transport)
        if self.phase is ConnectionPhase.CLOSED:  # cancelled during the dial
            self.transport.abort()
            return
        self.transport.set_write_buffer_limits(high=self.settings.max_write_buffer_bytes)
        self.handshake_timer = self.loop.call_later(
            self.settings.handshake_timeout_s, self.abort, "not proven in time"
        )
        if isinstance(self.handshake, ListenerHandshake):
            self.source_address = str((self.transport.get_extra_info("peername") or ("?",))[0])
        if not self.owner.admit(self):
            self.source_address = ""
            self.abort("too many that are not proven", failed=False)
        elif isinstance(self.handshake, ListenerHandshake):
            self.write_handshake_message(self.handshake.greeting)

    def data_received(self, data: bytes) -> None:
        """Buffer data; handshakes are processed at once, messages by the scheduler."""
        self.bytes_received += len(data)
        self.last_received_us = now_us()
        self.heartbeat.on_bytes()
        self.splitter.feed(data)
        if self.phase is ConnectionPhase.HANDSHAKE:
            self.process_handshake()
        if self.phase in (ConnectionPhase.OPEN, ConnectionPhase.DRAINING) and self.splitter.buffer:
            self.owner.schedule(self)
            if len(self.splitter.buffer) > self.settings.max_read_buffer_bytes and self.transport:
                self.reading_paused = True
                self.transport.pause_reading()

    def pause_writing(self) -> None:
        """Stop writing until the write buffer drains; messages wait in the peer's send queue."""
        self.writing_paused = True

    def resume_writing(self) -> None:
        """Continue writing; the write buffer has drained."""
        self.writing_paused = False
        if self.phase is ConnectionPhase.OPEN:
            self.owner.schedule(self)

    def connection_lost(self, error: Exception | None) -> None:
        """Report the closed socket. While draining, received messages are still processed."""
        if self.phase is not ConnectionPhase.DRAINING:
            failure = f"connection lost: {error.__class__.__name__}" if error else ""
            self.abort(failure or "closed by the other side")
        self.owner.on_socket_closed(self)

    def write(self, data: bytes) -> None:
        """Send bytes if the socket is open."""
        if self.transport is not None:
            self.bytes_sent += len(data)
            self.transport.write(data)

    def write_handshake_message(self, body: bytes) -> None:
        """Send a handshake message; its frame has no tag."""
        self.write(length_prefix(body) + body)

    # --- the handshake ---

    def process_handshake(self) -> None:
        """Process all complete handshake messages; any error closes the connection."""
        try:
            while self.phase is ConnectionPhase.HANDSHAKE:
                message = self.splitter.next_frame()
                if message is None:
                    return
                self.on_handshake_message(message)
        except (HandshakeError, FrameError) as error:
            self.reject(str(error))
        except Exception:
            log.exception("a handshake failed")
            self.abort("internal error")

    def on_handshake_message(self, message: bytes) -> None:
        """Process one handshake message; HandshakeError if it is invalid."""
        if isinstance(self.handshake, ListenerHandshake):
            self.on_hello(self.handshake, message)
        elif not self.hello_sent:
            hello = self.handshake.receive_greeting(message)
            self.hello_sent = True
            self.write_handshake_message(hello)
        else:
            self.begin_session(self.handshake.receive_reply(message))

    def on_hello(self, handshake: ListenerHandshake, message: bytes) -> None:
        """Accept the dialler; HandshakeError with the reason if it is rejected."""
        instance = handshake.receive_hello(message)
        if reason := self.owner.rejection_reason(instance):
            raise HandshakeError(reason)
        welcome, session = handshake.accept(instance)
        self.write_handshake_message(welcome)
        self.begin_session(session)

    def begin_session(self, session: AuthenticatedSession) -> None:
        """Complete the handshake; all further frames are authenticated."""
        key = self.owner.key
        self.channel = SessionChannel(key, session, self.is_outgoing, self.owner.codec, self.heartbeat)
        self.splitter.max_body_bytes = MAX_BODY_BYTES
        self.splitter.tag_bytes = TAG_BYTES
        self.phase = ConnectionPhase.OPEN
        self.cancel_handshake_timer()
        self.owner.on_opened(self)

    def reject(self, reason: str) -> None:
        """Close during the handshake; the listener sends the reason first."""
        if self.phase is ConnectionPhase.HANDSHAKE and self.transport is not None:
            if not self.is_outgoing:
                self.write_handshake_message(encode_rejection(reason))
            self.leave_phase(reason, failed=True)
            self.transport.close()

    # --- scheduled steps ---

    def step(self) -> bool:
        """Receive and send one message; whether there may be more. Any error closes the connection."""
        try:
            has_received = self.receive_next()
            return self.send_next() or has_received
        except TransportError as error:
            self.abort(str(error))
        except Exception:
            log.exception("a turn of a link failed")
            self.abort("internal error")
        return False

    def receive_next(self) -> bool:
        """Process the next received message; False if there is no complete one."""
        if self.phase not in (ConnectionPhase.OPEN, ConnectionPhase.DRAINING) or self.channel is None:
            return False
        frame = self.splitter.next_frame()
        if frame is None:
            self.resume_reading()
            return False
        protocol, message = self.channel.open_frame(frame)
        if protocol != CONTROL_PROTOCOL:
            self.owner.on_message(self, protocol, message)
        elif isinstance(message, Goodbye):
            self.on_goodbye(message)
        return True

    def resume_reading(self) -> None:
        """Resume reading when all complete received messages are processed."""
        if self.reading_paused and self.transport and not self.transport.is_closing():
            self.reading_paused = False
            self.transport.resume_reading()

    def send_next(self) -> bool:
        """Send the next queued message; False if there is none or the connection cannot send now."""
        if self.phase is not ConnectionPhase.OPEN or self.writing_paused:
            return False
        message = self.owner.next_message(self)
        if message is not None:
            self.send(message.body)
        return message is not None

    def send(self, body: bytes) -> None:
        """Send an encoded message immediately; only in phase `OPEN`."""
        if self.channel is not None:
            self.write(self.channel.seal_message(body))

    def on_heartbeat_interval(self) -> None:
        """Send the heartbeat of one interval, or abort a draining connection after too many intervals.

        The heartbeat acknowledges received messages. An idle connection is closed gracefully; an unresponsive
        one is aborted.
        """
        if self.phase is ConnectionPhase.DRAINING:
            self.draining_intervals += 1
            if self.draining_intervals >= self.settings.max_draining_heartbeats:
                self.abort("it did not close")
        if self.phase is not ConnectionPhase.OPEN or self.transport is None or self.channel is None:
            return
        waiting_bytes = self.transport.get_write_buffer_size()
        drained_bytes = self.bytes_sent - waiting_bytes
        frame, health = self.channel.check_heartbeat(drained_bytes, waiting_bytes)
        if frame:
            self.write(frame)
        if health is ConnectionHealth.IDLE:
            self.close_gracefully(health.value)
        elif health is not ConnectionHealth.ALIVE:
            self.abort(health.value)

    # --- closing ---

    def close_gracefully(self, reason: str) -> None:
        """Announce the close; the peer closes the socket after sending its remaining data."""
        if self.phase is ConnectionPhase.OPEN and self.channel is not None:
            self.write(self.channel.seal_control(Goodbye(reason)))
            self.leave_phase(reason, failed=False, next_phase=ConnectionPhase.DRAINING)

    def on_goodbye(self, goodbye: Goodbye) -> None:
        """Stop sending, and close the socket when the write buffer has drained."""
        if self.phase is ConnectionPhase.OPEN:
            reason = f"left: {printable_line(goodbye.reason)}"
            self.leave_phase(reason, failed=False, next_phase=ConnectionPhase.DRAINING)
        if self.transport:
            self.transport.close()

    def abort(self, reason: str, failed: bool = True) -> None:
        """Close the connection immediately; `failed` is False if this proxy chose to close it."""
        if self.phase is not ConnectionPhase.CLOSED:
            self.leave_phase(reason, failed)
        if self.transport:
            self.transport.abort()

    def leave_phase(
        self,
        reason: str,
        failed: bool,
        next_phase: ConnectionPhase = ConnectionPhase.CLOSED,
    ) -> None:
        """Move to `next_phase`; the owner is notified once that the connection is no longer usable.

        `failed` is False if either side chose to close the connection.
        """
        previous = self.phase
        self.phase = next_phase
        self.cancel_handshake_timer()
        if previous is not ConnectionPhase.DRAINING:
            self.owner.on_ended(self, previous, reason, failed)

    def cancel_handshake_timer(self) -> None:
        """Cancel the timeout of a handshake that is complete or has failed."""
        if self.handshake_timer:
            self.handshake_timer.cancel()
            self.handshake_timer = None
