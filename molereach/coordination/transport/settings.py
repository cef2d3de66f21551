"""Intervals and limits of the transport."""

from dataclasses import dataclass

Address = tuple[str, int]  # host and port, as asyncio takes them


@dataclass(frozen=True, slots=True)
class TransportSettings:
    """Intervals, in seconds or numbers of heartbeats, and limits."""

    heartbeat_interval_s: float = 1.0
    max_silent_heartbeats: int = 4
    max_stalled_heartbeats: int = 5
    max_idle_heartbeats: int = 60
    max_draining_heartbeats: int = 2  # after which a draining connection is aborted
    handshake_timeout_s: float = 2.0  # applies to dialling and to authentication separately
    max_unauthenticated: int = 16
    max_unauthenticated_per_source: int = 8
    max_accepted: int = 64  # open incoming connections
    max_write_buffer_bytes: int = 256 << 10  # per socket; beyond it messages wait in the send queue
    max_read_buffer_bytes: int = 64 << 10  # per socket, unprocessed; beyond it reading pauses
