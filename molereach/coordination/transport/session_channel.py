"""Encodes the messages of one authenticated session as frames, and decodes them. Sans-I/O.

Messages are also counted for heartbeats, which acknowledge them. A `TransportError` closes the connection.
"""

from typing import Any

from molereach.coordination.transport.frames import FROM_DIALLER, FROM_LISTENER, FrameOpener, FrameSealer
from molereach.coordination.transport.handshake import AuthenticatedSession
from molereach.coordination.transport.heartbeat import ConnectionHealth, HeartbeatMonitor
from molereach.coordination.transport.messages import CONTROL_PROTOCOL, Goodbye, Heartbeat, MessageCodec


class SessionChannel:
    """One session; `is_dialler` selects the direction of the frames that this side sends."""

    __slots__ = ("codec", "heartbeat", "opener", "peer", "sealer")

    def __init__(
        self,
        key: bytes,
        session: AuthenticatedSession,
        is_dialler: bool,
        codec: MessageCodec,
        heartbeat: HeartbeatMonitor,
    ) -> None:
        local_direction = FROM_DIALLER if is_dialler else FROM_LISTENER
        remote_direction = FROM_LISTENER if is_dialler else FROM_DIALLER
        self.sealer = FrameSealer(key, session.id, local_direction)
        self.opener = FrameOpener(key, session.id, remote_direction)
        self.codec = codec
        self.heartbeat = heartbeat
        self.peer = session.peer

    def seal_message(self, body: bytes) -> bytes:
        """The frame of an encoded message; counts the message as sent."""
        self.heartbeat.on_sent()
        return self.sealer.seal(body)

    def seal_control(self, message: Heartbeat | Goodbye) -> bytes:
        """The frame of a control message; it is not counted."""
        return self.sealer.seal(self.codec.encode(CONTROL_PROTOCOL, message))

    def open_frame(self, frame: bytes) -> tuple[str, Any]:
        """The protocol and message of a frame; counts messages and processes acknowledgements."""
        protocol, message = self.codec.decode(self.opener.open(frame))
        if protocol != CONTROL_PROTOCOL:
            self.heartbeat.on_received()
        elif isinstance(message, Heartbeat):
            self.heartbeat.on_acknowledgement(message.received)
        return protocol, message

    def check_heartbeat(self, drained_bytes: int, waiting_bytes: int) -> tuple[bytes, ConnectionHealth]:
        """The heartbeat frame (b"" without a message to acknowledge) and the health of the connection."""
        frame = b""
        if self.heartbeat.acknowledgement_due:
            self.heartbeat.acknowledged_to_peer = self.heartbeat.received
            frame = self.seal_control(Heartbeat(self.heartbeat.received))
        return frame, self.heartbeat.check(drained_bytes, waiting_bytes)
