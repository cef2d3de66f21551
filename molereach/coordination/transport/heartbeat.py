"""Failure detection on one connection by heartbeats. Sans-I/O.

Each heartbeat acknowledges the messages received since the previous one, so a peer that reads acknowledges a
message within two heartbeats. If no bytes arrive for several heartbeats while messages are unacknowledged,
the peer is unreachable or the connection is half open. If bytes arrive but no acknowledgements, and the write
buffer does not drain, the peer does not read. Heartbeats are counted instead of time: a process that was
suspended for a minute counts one missed heartbeat, and reads the received data before it counts the next.
"""

from enum import Enum

from molereach.coordination.transport.errors import AcknowledgementError


class ConnectionHealth(Enum):
    """The result of a check; the value is the reason for closing the connection."""

    ALIVE = "lives"
    SILENT = "nothing heard while something was unacknowledged"
    STALLED = "it does not read what it is sent"
    IDLE = "nothing to say"


class HeartbeatMonitor:
    """The state of one connection; limits are numbers of consecutive heartbeats."""

    __slots__ = (
        "acknowledged_by_peer",
        "acknowledged_to_peer",
        "drained_bytes",
        "has_no_messages",
        "has_received_bytes",
        "idle_heartbeats",
        "max_idle_heartbeats",
        "max_silent_heartbeats",
        "max_stalled_heartbeats",
        "received",
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
        # Message counts since the connection opened.
        self.sent = 0
        self.acknowledged_by_peer = 0
        self.received = 0
        self.acknowledged_to_peer = 0
        # Since the last check, and numbers of consecutive heartbeats.
        self.has_received_bytes = True
        self.has_no_messages = True
        self.silent_heartbeats = 0
        self.stalled_heartbeats = 0
        self.idle_heartbeats = 0
        self.drained_bytes = 0  # total that had left the write buffer at the last heartbeat

    def on_bytes(self) -> None:
        """Record that bytes arrived."""
        self.has_received_bytes = True

    def on_sent(self) -> None:
        """Count a sent message."""
        self.sent += 1
        self.has_no_messages = False

    def on_received(self) -> None:
        """Count a received message."""
        self.received += 1
        self.has_no_messages = False

    def on_acknowledgement(self, received: int) -> None:
        """Record the total that the peer has received; AcknowledgementError if it is impossible."""
        if not self.acknowledged_by_peer <= received <= self.sent:
            raise AcknowledgementError(
                f"{received} messages acknowledged; {self.acknowledged_by_peer} to {self.sent} can be"
            )
        if received > self.acknowledged_by_peer:
            self.acknowledged_by_peer = received
            self.stalled_heartbeats = 0

    @property
    def acknowledgement_due(self) -> bool:
        """Whether received messages are not yet acknowledged to the peer."""
        return self.received > self.acknowledged_to_peer

    def check(self, drained_bytes: int, waiting_bytes: int) -> ConnectionHealth:
        """Count a heartbeat. `drained_bytes` left the write buffer in total, `waiting_bytes` are in it."""
        has_unacknowledged = self.sent > self.acknowledged_by_peer
        is_draining = waiting_bytes > 0 and drained_bytes > self.drained_bytes
        is_silent = has_unacknowledged and not self.has_received_bytes
        is_stalled = has_unacknowledged and not is_draining
        self.idle_heartbeats = self.idle_heartbeats + 1 if self.has_no_messages else 0
        self.silent_heartbeats = self.silent_heartbeats + 1 if is_silent else 0
        self.stalled_heartbeats = self.stalled_heartbeats + 1 if is_stalled else 0
        self.has_received_bytes = False
        self.has_no_messages = True
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
