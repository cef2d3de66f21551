"""Detects clients that disconnect while their connection is not read, when the event loop reports nothing.

It sees an end behind unread bytes only if the kernel's buffer has room for all of them, so connections with
open requests are read (see `resp`).
"""

import asyncio

from molereach.clients.connection_state import Connection
from molereach.resp import have_disconnected

# An attempt must not begin over 0.1 s after its client's disconnect: one interval plus one loop iteration.
POLL_INTERVAL_S = 0.05


class DisconnectWatch:
    """Polls all connections whose reading is paused with a single system call."""

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.watched: dict[Connection, None] = {}
        self.is_scheduled = False

    def watch(self, connection: Connection) -> None:
        """Watch a connection whose reading has been paused."""
        self.watched[connection] = None
        if not self.is_scheduled:
            self.is_scheduled = True
            self.loop.call_later(POLL_INTERVAL_S, self.poll)

    def unwatch(self, connection: Connection) -> None:
        """Stop watching a connection that is read again or closed."""
        self.watched.pop(connection, None)

    def poll(self) -> None:
        """Check for disconnects and schedule the next check."""
        self.is_scheduled = bool(self.watched)
        if self.is_scheduled:
            self.loop.call_later(POLL_INTERVAL_S, self.poll)  # first: an error below must not end the polling
        watched = [connection for connection in self.watched if not connection.transport.is_closing()]
        disconnected = have_disconnected(connection.transport for connection in watched)
        for connection, is_disconnected in zip(watched, disconnected, strict=True):
            if is_disconnected:
                connection.on_peer_closed()
