"""Finds out whether all that a client has sent was read, so that it is known to be still connected."""

from asyncio import BaseTransport

from molereach.clock import now_us
from molereach.resp import has_unread

MAX_UNDRAINED_US = 500_000  # commands are rejected if the client sends without a pause for longer


class InputDrain:
    """Whether the socket of one connection holds unread input while commands of it wait.

    A request of a client that has disconnected must not be forwarded, and EOF stands behind all unread bytes.
    """

    def __init__(self) -> None:
        self.undrained_since_us: int | None = None  # when commands were first held back for unread input

    def is_drained(self, transport: BaseTransport) -> bool:
        """Whether nothing is unread: neither bytes nor the end."""
        if not has_unread(transport):
            self.undrained_since_us = None
            return True
        if self.undrained_since_us is None:
            self.undrained_since_us = now_us()
        return False

    def is_overdue(self) -> bool:
        """Whether commands were held back for too long; if so, the time starts anew."""
        if self.undrained_since_us is None or now_us() - self.undrained_since_us <= MAX_UNDRAINED_US:
            return False
        self.undrained_since_us = None
        return True
