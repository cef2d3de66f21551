"""Failure detection on one connection, by heartbeats. Sans-I/O.

With each heartbeat a side acknowledges the messages that it has received since the last one. So a sender gets
an acknowledgement within two heartbeats from a peer that reads. If nothing at all arrives for some heartbeats
while messages are unacknowledged, the peer is gone or the connection is half open. If bytes arrive, but no
acknowledgement, and the write buffer does not drain, the peer does not read. Heartbeats are counted instead
of time: a process that was suspended for a minute missed one heartbeat, and first reads what arrived.
"""

from enum import Enum

from molereach.coordination.transport.errors import AcknowledgementError


class ConnectionHealth(Enum):
    """The result of a check; the value is the reason with which the connection ends."""

    ALIVE = "lives"
    SILENT = "nothing heard while something was unacknowledged"
    STALLED = "it does not read what it is sent"
    IDLE = "nothing to say"


class HeartbeatMonitor:
    """The state of one connection; the limits are numbers of consecutive heartbeats."""

    __slots__ = (
        "acknowledged",
        "bytes_received",
        "drained_bytes",
        "idle_heartbeats",
        "max_idle_heartbeats",
        "max_silent_heartbeats",
        "max_stalled_heartbeats",
        "no_messages",
        "received",
        "reported",
        "sent",
        "silent_heartbeats",
        "stalled_heartbeats",
    )

    def __init__(
        self,
        max_silent_heartbeats: int,
        max_stalled_heartbeats: int,
        max_idle_heartbeats: int,
    ) -> None:
        self.max_silent_heartbeats = max_silent_heartbeats
        self.max_stalled_heartbeats = max_stalled_heartbeats
        self.max_idle_heartbeats = max_idle_heartbeats
        # Messages since the connection opened: sent, acknowledged by the peer, received, acknowledged to it.
        self.sent = 0
        self.acknowledged = 0
        self.received = 0
        self.reported = 0
        # Since the last heartbeat.
        self.bytes_received = True
        self.no_messages = True
        self.silent_heartbeats = 0
        self.stalled_heartbeats = 0
        self.idle_heartbeats = 0
        self.drained_bytes = 0  # bytes that had left the write buffer at the last heartbeat

    def on_bytes(self) -> None:
        """Some bytes arrived."""
        self.bytes_received = True

    def on_sent(self) -> None:
        """A message was sent."""
        self.sent += 1
        self.no_messages = False

    def on_received(self) -> None:
        """A message was received."""
        self.received += 1
        self.no_messages = False

    def on_acknowledgement(self, received: int) -> None:
        """The peer has received so many messages; AcknowledgementError if that cannot be."""
        if not self.acknowledged <= received <= self.sent:
            raise AcknowledgementError(
                f"{received} messages acknowledged; {self.acknowledged} to {self.sent} can be"
            )
        if received > self.acknowledged:
            self.acknowledged = received
            self.stalled_heartbeats = 0

    @property
    def acknowledgement_due(self) -> bool:
        """Whether messages were received that are not acknowledged to the peer."""
        return self.received > self.reported

    def check(self, drained_bytes: int, waiting_bytes: int) -> ConnectionHealth:
        """Count a heartbeat. `drained_bytes` left the write buffer in all, `waiting_bytes` are in it."""
        has_unacknowledged = self.sent > self.acknowledged
        is_draining = waiting_bytes > 0 and drained_bytes > self.drained_bytes
        is_silent = has_unacknowledged and not self.bytes_received
        is_stalled = has_unacknowledged and not is_draining
        self.idle_heartbeats = self.idle_heartbeats + 1 if self.no_messages else 0
        self.silent_heartbeats = self.silent_heartbeats + 1 if is_silent else 0
        self.stalled_heartbeats = self.stalled_heartbeats + 1 if is_stalled else 0
        self.bytes_received = False
        self.no_messages = True
        self.drained_bytes = drained_bytes
        return self._health()

    def _health(self) -> ConnectionHealth:
        if self.silent_heartbeats >= self.max_silent_heartbeats:
            return ConnectionHealth.SILENT
        if self.stalled_heartbeats >= self.max_stalled_heartbeats:
            return ConnectionHealth.STALLED
        if self.idle_heartbeats >= self.max_idle_heartbeats:
            return ConnectionHealth.IDLE
        return ConnectionHealth.ALIVE
