"""What is written down of a request before it is sent, so that its answer can be judged when it comes."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Ticket:
    """Held by the request; nothing else knows of it, so one that never ends costs nothing."""

    member: str
    class_name: str
    asked: bytes
    sent_us: int  # read before the request is sent
    applied: int  # the log's position up to which purges were applied here by then
