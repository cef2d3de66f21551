"""Replies in the order of a connection's commands, and the interface of the command handler."""

from collections import deque
from typing import Protocol


class ReplyConnection(Protocol):
    """A connection that sends replies in the order of its commands."""

    def flush(self) -> None:
        """Send the replies that are ready, up to the first pending one."""


class Reply:
    """One reply, which keeps its position among the replies of its connection."""

    __slots__ = ("connection", "data", "request_id")

    def __init__(self, connection: ReplyConnection, data: bytes | None = None) -> None:
        self.connection = connection
        self.data = data
        self.request_id: str | None = None  # of the request that this answers

    def send(self, data: bytes) -> None:
        """Set and send the reply; any later call is ignored."""
        if self.data is None:
            self.data = data
            self.connection.flush()


class ReplyQueue(deque[Reply]):
    """The replies of a connection that have not been sent, in the order of the commands."""

    def take_ready(self) -> list[bytes]:
        """Remove the replies before the first pending one and return their data."""
        ready = []
        while self and (data := self[0].data) is not None:
            ready.append(data)
            self.popleft()
        return ready

    def pending(self) -> list[Reply]:
        """Return the replies that are not known yet."""
        return [reply for reply in self if reply.data is None]


class CommandHandler(Protocol):
    """Handles commands and disconnects of clients."""

    def handle_command(self, arguments: list[bytes], reply: Reply) -> None:
        """Handle a command; raises CommandError if it is invalid."""

    def on_client_disconnected(self, reply: Reply) -> None:
        """Handle the disconnect of the client that awaits a reply."""
