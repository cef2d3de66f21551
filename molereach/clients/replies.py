"""The place of a reply among those of its connection, and what handles commands."""

from typing import Protocol


class ReplyQueue(Protocol):
    """A connection whose replies leave in the order of its commands."""

    def flush(self) -> None:
        """Send the replies that are next."""


class Reply:
    """The place of one reply among those of its connection."""

    __slots__ = ("connection", "data", "request_id")

    def __init__(self, connection: ReplyQueue, data: bytes | None = None) -> None:
        self.connection = connection
        self.data = data
        self.request_id: str | None = None  # of the request that it answers

    def send(self, data: bytes) -> None:
        """Answer; any further answer is ignored."""
        if self.data is None:
            self.data = data
            self.connection.flush()


class CommandHandler(Protocol):
    """What handles commands, and is told whose client has disconnected."""

    def handle_command(self, arguments: list[bytes], reply: Reply) -> None:
        """Handle a command; raises CommandError for one that is invalid."""

    def on_client_disconnected(self, reply: Reply) -> None:
        """The client that a reply was for has disconnected."""
