"""The figures of links; tests have smaller ones."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LinkSettings:
    """Seconds, beats, bytes and numbers."""

    beat_s: float = 1.0
    most_silent: int = 4  # beats
    most_stalled: int = 5  # beats
    most_idle: int = 60  # beats
    most_leaving: int = 2  # beats until a link that was to end is ended
    hello_s: float = 2.0  # for a connection to be there and proven
    most_unproven: int = 16
    most_unproven_of_source: int = 8
    most_accepted: int = 64  # links that others dialled
    most_unread_bytes: int = 256 << 10  # in our buffer for the peer; past that messages wait in the queue
    most_unhandled_bytes: int = 64 << 10  # read and not handled; past that only the rest of a frame is read
