"""Statistics of the transport, for counters and for the operator."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PeerStats:
    """The state of one peer and its connections."""

    state: str  # "up", "dialling", "waiting" (to dial again) or "idle"
    instance_number: int | None
    queued_messages: int
    queued_bytes: int
    dropped: int  # messages that were never sent, except superseded ones
    bytes_received: int
    bytes_sent: int
    silent_us: int | None  # time since the last received data; None without a connection
    consecutive_failures: int
    close_reason: str  # of the last connection


@dataclass(frozen=True, slots=True)
class TransportStats:
    """The state of all peers and connections."""

    peers: dict[str, PeerStats]
    accepted: int  # open incoming connections
    unauthenticated: int
    rejected: int  # incoming connections without a free slot or with a failed handshake
    undeliverable: int  # messages to an unknown name, to this proxy itself, or too long
    handler_failures: int  # messages whose handler raised an exception
    scheduler_turns: int
