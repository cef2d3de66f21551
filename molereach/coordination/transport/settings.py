"""The figures of links; tests have smaller ones."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class TransportSettings:
    """Seconds, beats, bytes and numbers."""

    heartbeat_interval_s: float = 1.0
    max_silent_heartbeats: int = 4  # beats
    max_stalled_heartbeats: int = 5  # beats
    max_idle_heartbeats: int = 60  # beats
    max_draining_heartbeats: int = 2  # beats until a link that was to end is ended
    handshake_timeout_s: float = 2.0  # for a connection to be there and proven
    max_unauthenticated: int = 16
    max_unauthenticated_per_source: int = 8
    max_accepted: int = 64  # links that others dialled
    max_write_buffer_bytes: int = (
        256 << 10
    )  # in our buffer for the peer; past that messages wait in the queue
    max_read_buffer_bytes: int = 64 << 10  # read and not handled; past that only the rest of a frame is read
