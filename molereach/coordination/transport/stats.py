"""How links stand, for counters and for the operator."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PeerStats:
    """How the way to one front door stands."""

    state: str  # "up", "dialling", "waiting" (to dial again) or "idle"
    instance_number: int | None
    queued_messages: int
    queued_bytes: int
    dropped: int  # messages that were never sent; what later ones of their kind made void is not in it
    bytes_received: int
    bytes_sent: int
    silent_us: int | None  # None where there is no link
    consecutive_failures: int  # in a row
    close_reason: str  # of the last end


@dataclass(frozen=True, slots=True)
class TransportStats:
    """How all links stand."""

    peers: dict[str, PeerStats]
    accepted: int  # links in use that others dialled
    unauthenticated: int
    rejected: int  # connections that were not taken, or not proven
    undeliverable: int  # messages to nobody of this council, to ourselves, or too long
    handler_failures: int  # messages over which `deliver` raised
    scheduler_turns: int
