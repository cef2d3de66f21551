"""How links stand, for counters and for the operator."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PeerStats:
    """How the way to one front door stands."""

    state: str  # "up", "dialling", "waiting" (to dial again) or "idle"
    life: int | None
    queued: int
    queued_bytes: int
    dropped: int  # messages that were never sent; what later ones of their kind made void is not in it
    bytes_in: int
    bytes_out: int
    heard_us_ago: int | None  # None where there is no link
    failures: int  # in a row
    reason: str  # of the last end


@dataclass(frozen=True, slots=True)
class LinksStats:
    """How all links stand."""

    peers: dict[str, PeerStats]
    accepted: int  # links in use that others dialled
    unproven: int
    refused: int  # connections that were not taken, or not proven
    unsaid: int  # messages to nobody of this council, to ourselves, or too long
    failed: int  # messages over which `deliver` raised
    turns: int
