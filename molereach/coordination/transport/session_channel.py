"""The frames of one authenticated session: messages to sealed bytes and back. Sans-I/O.

It also counts messages for the heartbeat and acknowledges them. A `TransportError` ends the connection.
"""

from typing import Any

from molereach.coordination.transport.frames import DIALLER, LISTENER, FrameOpener, FrameSealer
from molereach.coordination.transport.handshake import Session
from molereach.coordination.transport.heartbeat import ConnectionHealth, HeartbeatMonitor
from molereach.coordination.transport.messages import CONTROL_PROTOCOL, Goodbye, Heartbeat, MessageCodec


class SessionChannel:
    """One session; `is_dialler` says which direction of frames is this side's."""

    __slots__ = ("codec", "heartbeat", "opener", "peer", "sealer")

    def __init__(
        self,
        key: bytes,
        session: Session,
        is_dialler: bool,
        codec: MessageCodec,
        heartbeat: HeartbeatMonitor,
    ) -> None:
        local_role = DIALLER if is_dialler else LISTENER
        remote_role = LISTENER if is_dialler else DIALLER
        self.sealer = FrameSealer(key, session.id, local_role)
        self.opener = FrameOpener(key, session.id, remote_role)
        self.codec = codec
        self.heartbeat = heartbeat
        self.peer = session.peer

    def seal_message(self, body: bytes) -> bytes:
        """The frame of an encoded message, which is counted as sent."""
        self.heartbeat.on_sent()
        return self.sealer.seal(body)

    def seal_control(self, message: Heartbeat | Goodbye) -> bytes:
        """The frame of a message of the transport itself."""
        return self.sealer.seal(self.codec.encode(CONTROL_PROTOCOL, message))

    def open_frame(self, frame: bytes) -> tuple[str, Any]:
        """The protocol and message of a frame; the acknowledgement in a heartbeat has been counted."""
        protocol, message = self.codec.decode(self.opener.open(frame))
        if protocol != CONTROL_PROTOCOL:
            self.heartbeat.on_received()
        elif isinstance(message, Heartbeat):
            self.heartbeat.on_acknowledgement(message.received)
        return protocol, message

    def check_heartbeat(self, drained_bytes: int, waiting_bytes: int) -> tuple[bytes, ConnectionHealth]:
        """The heartbeat's frame (b"" if nothing is to be acknowledged) and the health of the connection."""
        frame = b""
        if self.heartbeat.acknowledgement_due:
            self.heartbeat.reported = self.heartbeat.received
            frame = self.seal_control(Heartbeat(self.heartbeat.received))
        return frame, self.heartbeat.check(drained_bytes, waiting_bytes)
