"""What is said and heard on one link once both sides are proven: sealed bytes for bodies and back. A core.

It numbers and seals, opens and reads, counts what the other side has taken in, and says each beat what was
taken here. What is wrong is a `FrameError` or a `WordError`, and the end of the link.
"""

from typing import Any

from molereach.coordination.transport.frames import DIALLER, LISTENER, FrameOpener, FrameSealer
from molereach.coordination.transport.handshake import Session
from molereach.coordination.transport.heartbeat import ConnectionHealth, HeartbeatMonitor
from molereach.coordination.transport.messages import (
    CONTROL_PROTOCOL,
    Goodbye,
    Heartbeat,
    MessageCodec,
    MessageError,
)


class SessionChannel:
    """One session's."""

    __slots__ = ("codec", "heartbeat", "opener", "peer", "sealer")

    def __init__(
        self, key: bytes, session: Session, dialled: bool, words: MessageCodec, pulse: HeartbeatMonitor
    ) -> None:
        ours, theirs = (DIALLER, LISTENER) if dialled else (LISTENER, DIALLER)
        self.sealer, self.opener = FrameSealer(key, session.id, ours), FrameOpener(key, session.id, theirs)
        self.codec, self.heartbeat, self.peer = words, pulse, session.peer

    def seal_message(self, body: bytes) -> bytes:
        """A message of a part, packed."""
        self.heartbeat.on_sent()
        return self.sealer.seal(body)

    def seal_control(self, word: Heartbeat | Goodbye) -> bytes:
        return self.sealer.seal(self.codec.encode(CONTROL_PROTOCOL, word))

    def open_frame(self, frame: bytes) -> tuple[str, Any]:
        """A part and its message; of the links' own, what was acknowledged has been counted."""
        part, message = self.codec.decode(self.opener.open(frame))
        if part != CONTROL_PROTOCOL:
            self.heartbeat.on_received()
        elif isinstance(message, Heartbeat):
            try:
                self.heartbeat.on_acknowledgement(message.received)
            except ValueError as error:
                raise MessageError(str(error)) from error
        return part, message

    def check_heartbeat(self, drained: int, waiting: int) -> tuple[bytes, ConnectionHealth]:
        """What to say on this beat, if anything, and whether the link lives; see `Pulse.beat`."""
        said = b""
        if self.heartbeat.acknowledgement_due:
            self.heartbeat.reported = self.heartbeat.received
            said = self.seal_control(Heartbeat(self.heartbeat.received))
        return said, self.heartbeat.check(drained, waiting)
