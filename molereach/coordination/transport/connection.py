"""One connection to a front door: handshake, then sealed messages both ways. A shell.

What is heard, and what is said next, is its owner's. Whatever is wrong with it ends it, and nothing else. One
that ends in order says so (`Bye`) and takes what is still on its way; who hears that says no more and closes.
So nothing is lost between two that live.
"""

import asyncio
import logging
from typing import cast

from molereach.clock import now_us
from molereach.coordination.interface.identifiers import NodeInstance
from molereach.coordination.transport.connection_owner import ConnectionOwner, ConnectionPhase
from molereach.coordination.transport.frames import (
    MAX_BODY_BYTES,
    TAG_BYTES,
    FrameError,
    FrameSplitter,
    length_prefix,
)
from molereach.coordination.transport.handshake import (
    MAX_HANDSHAKE_BYTES,
    DiallerHandshake,
    HandshakeError,
    ListenerHandshake,
    Session,
    encode_rejection,
    printable_line,
)
from molereach.coordination.transport.heartbeat import ConnectionHealth, HeartbeatMonitor
from molereach.coordination.transport.messages import CONTROL_PROTOCOL, Goodbye, MessageError
from molereach.coordination.transport.session_channel import SessionChannel

log = logging.getLogger(__name__)


class PeerConnection(asyncio.Protocol):
    """One connection, dialled by us or accepted."""

    def __init__(
        self, owner: "ConnectionOwner[PeerConnection]", handshake: DiallerHandshake | ListenerHandshake
    ) -> None:
        self.owner, self.handshake, self.settings = owner, handshake, owner.settings
        self.is_outgoing = isinstance(handshake, DiallerHandshake)
        self.loop = asyncio.get_running_loop()
        self.phase = ConnectionPhase.HANDSHAKE
        self.splitter = FrameSplitter(MAX_HANDSHAKE_BYTES, 0)
        self.heartbeat = HeartbeatMonitor(
            self.settings.max_silent_heartbeats,
            self.settings.max_stalled_heartbeats,
            self.settings.max_idle_heartbeats,
        )
        self.channel: SessionChannel | None = None  # from the time that it is up
        self.transport: asyncio.Transport | None = None
        self.handshake_timer: asyncio.TimerHandle | None = None
        self.source_address = ""  # the address that it came from, while it is unproven
        self.hello_sent = False
        self.is_scheduled = False  # a turn was asked for
        self.writing_paused = False  # we write no more for now
        self.reading_paused = False  # we read no more for now
        self.draining_heartbeats = 0  # beats
        self.bytes_received = self.bytes_sent = self.last_received_us = 0

    @property
    def peer_instance(self) -> NodeInstance:
        assert self.channel is not None
        return self.channel.peer

    @property
    def peer_name(self) -> str:
        """Of the peer; "" while it is not known."""
        if self.channel:
            return self.channel.peer.name
        return self.handshake.recipient if isinstance(self.handshake, DiallerHandshake) else ""

    # --- the connection ---

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        if self.phase is ConnectionPhase.CLOSED:  # given up while it was dialled
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
            self.abort("too many that are not proven", fault=False)
        elif isinstance(self.handshake, ListenerHandshake):
            self.write(length_prefix(self.handshake.greeting) + self.handshake.greeting)

    def data_received(self, data: bytes) -> None:
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
        self.writing_paused = True

    def resume_writing(self) -> None:
        self.writing_paused = False
        if self.phase is ConnectionPhase.OPEN:
            self.owner.schedule(self)

    def connection_lost(self, error: Exception | None) -> None:
        if self.phase is not ConnectionPhase.DRAINING:  # what was read of one that left is taken still
            self.abort(
                f"connection lost: {error.__class__.__name__}" if error else "closed by the other side"
            )
        self.owner.on_socket_closed(self)

    def write(self, data: bytes) -> None:
        if self.transport is not None:
            self.bytes_sent += len(data)
            self.transport.write(data)

    # --- the handshake ---

    def process_handshake(self) -> None:
        try:
            while (
                self.phase is ConnectionPhase.HANDSHAKE and (word := self.splitter.next_frame()) is not None
            ):
                if isinstance(self.handshake, ListenerHandshake):
                    self.on_hello(self.handshake, word)
                elif not self.hello_sent:
                    hello = self.handshake.receive_greeting(word)
                    self.hello_sent = True
                    self.write(length_prefix(hello) + hello)
                else:
                    self.begin_session(self.handshake.receive_reply(word))
        except (HandshakeError, FrameError) as error:
            self.reject(str(error))
        except Exception:
            log.exception("a handshake failed")
            self.abort("internal error")

    def on_hello(self, handshake: ListenerHandshake, word: bytes) -> None:
        life = handshake.receive_hello(word)
        if reason := self.owner.rejection_reason(life):
            raise HandshakeError(reason)
        welcome, session = handshake.accept(life)
        self.write(length_prefix(welcome) + welcome)
        self.begin_session(session)

    def begin_session(self, session: Session) -> None:
        self.channel = SessionChannel(
            self.owner.key, session, self.is_outgoing, self.owner.codec, self.heartbeat
        )
        self.splitter.max_body_bytes, self.splitter.tag_bytes = MAX_BODY_BYTES, TAG_BYTES
        self.phase = ConnectionPhase.OPEN
        self.cancel_handshake_timer()
        self.owner.on_opened(self)

    def reject(self, reason: str) -> None:
        """Say why, if we are the one who was asked, and close."""
        if self.phase is ConnectionPhase.HANDSHAKE and self.transport is not None:
            if not self.is_outgoing:
                said = encode_rejection(reason)
                self.write(length_prefix(said) + said)
            self.finish(reason, fault=True)
            self.transport.close()

    # --- turns ---

    def step(self) -> bool:
        """Take in a message and say one; whether there may be more of either. Any fault ends the link."""
        try:
            took = self.receive_next()
            return self.send_next() or took
        except (FrameError, MessageError) as error:
            self.abort(str(error))
        except Exception:
            log.exception("a turn of a link failed")
            self.abort("internal error")
        return False

    def receive_next(self) -> bool:
        if self.phase not in (ConnectionPhase.OPEN, ConnectionPhase.DRAINING) or self.channel is None:
            return False
        frame = self.splitter.next_frame()
        if frame is None:
            if self.reading_paused and self.transport and not self.transport.is_closing():
                self.reading_paused = False
                self.transport.resume_reading()
            return False
        part, message = self.channel.open_frame(frame)
        if part != CONTROL_PROTOCOL:
            self.owner.on_message(self, part, message)
        elif isinstance(message, Goodbye):
            self.on_goodbye(message)
        return True

    def send_next(self) -> bool:
        if self.phase is not ConnectionPhase.OPEN or self.writing_paused:
            return False
        item = self.owner.next_message(self)
        if item is not None:
            self.send(item.body)
        return item is not None

    def send(self, body: bytes) -> None:
        """A message, at once; only while it is `UP`."""
        if self.channel is not None:
            self.write(self.channel.seal_message(body))

    def send_heartbeat(self) -> None:
        """Tell what was taken, and end it if it does not live."""
        if self.phase is ConnectionPhase.DRAINING:
            self.draining_heartbeats += 1
            if self.draining_heartbeats >= self.settings.max_draining_heartbeats:
                self.abort("it did not close")
        if self.phase is not ConnectionPhase.OPEN or self.transport is None or self.channel is None:
            return
        waiting = self.transport.get_write_buffer_size()
        said, verdict = self.channel.check_heartbeat(self.bytes_sent - waiting, waiting)
        if said:
            self.write(said)
        if verdict is ConnectionHealth.IDLE:
            self.close_gracefully(verdict.value)
        elif verdict is not ConnectionHealth.ALIVE:
            self.abort(verdict.value)

    # --- the end ---

    def close_gracefully(self, reason: str) -> None:
        """End it in order: the other side closes when it has said all."""
        if self.phase is ConnectionPhase.OPEN and self.channel is not None:
            self.write(self.channel.seal_control(Goodbye(reason)))
            self.finish(reason, fault=False, then=ConnectionPhase.DRAINING)

    def on_goodbye(self, bye: Goodbye) -> None:
        if self.phase is ConnectionPhase.OPEN:
            self.finish(f"left: {printable_line(bye.reason)}", fault=False, then=ConnectionPhase.DRAINING)
        if self.transport:
            self.transport.close()

    def abort(self, reason: str, fault: bool = True) -> None:
        """End it at once."""
        if self.phase is not ConnectionPhase.CLOSED:
            self.finish(reason, fault)
        if self.transport:
            self.transport.abort()

    def finish(self, reason: str, fault: bool, then: ConnectionPhase = ConnectionPhase.CLOSED) -> None:
        was, self.phase = self.phase, then
        self.cancel_handshake_timer()
        if was is not ConnectionPhase.DRAINING:
            self.owner.on_ended(self, was, reason, fault)

    def cancel_handshake_timer(self) -> None:
        if self.handshake_timer:
            self.handshake_timer.cancel()
            self.handshake_timer = None
