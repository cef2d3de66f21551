"""Notices clients that disconnect while they are not read: the event loop sees neither end nor reset then.

Without this, a client that sent more than is read at once, and disconnected, would be noticed only when the
last of its requests had been forwarded for nobody.
"""

import asyncio

from molereach.clients.connection_state import Connection
from molereach.resp import have_disconnected

POLL_INTERVAL_S = (
    0.05  # no attempt may begin over 0.1 s after its client left: one interval, one turn of the loop
)


class DisconnectWatch:
    """Polls the connections that are not read, while there are any: one system call for all."""

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.watched: dict[Connection, None] = {}
        self.is_scheduled = False

    def watch(self, connection: Connection) -> None:
        """A connection is not read from now on."""
        self.watched[connection] = None
        if not self.is_scheduled:
            self.is_scheduled = True
            self.loop.call_later(POLL_INTERVAL_S, self.poll)

    def unwatch(self, connection: Connection) -> None:
        """A connection is read again, or closed."""
        self.watched.pop(connection, None)

    def poll(self) -> None:
        """Look for disconnects, and again after the interval."""
        self.is_scheduled = bool(self.watched)
        if self.is_scheduled:
            self.loop.call_later(POLL_INTERVAL_S, self.poll)  # first: a fault below must not end the polling
        watched = [each for each in self.watched if not each.transport.is_closing()]
        disconnected = have_disconnected(each.transport for each in watched)
        for connection, is_disconnected in zip(watched, disconnected, strict=True):
            if is_disconnected:
                connection.on_peer_closed()
