"""A request's data from before it was sent, by which its answer is checked on arrival."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Ticket:
    """Held by the request alone, so one whose answer never arrives costs nothing."""

    member: str
    class_name: str
    request: bytes
    sent_us: int  # read before the request is sent
    applied_position: int  # of the log here at `sent_us`, with all purges up to it
