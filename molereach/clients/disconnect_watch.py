"""Clients that go while they are not read: a loop hears neither an end nor a reset there.

Without this a client that sent more than is taken at once, and went, would be found out only when the last of
its requests was sent on for nobody.
"""

import asyncio

from molereach.clients.connection_state import Connection
from molereach.resp import have_ended

LOOK_S = 0.05  # no attempt may begin more than 0.1 s after its client went: a look, and a turn of the loop


class EndWatch:
    """Looks at the connections that are not read, for as long as there are any: one call for all."""

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.watched: dict[Connection, None] = {}
        self.due = False

    def watch(self, connection: Connection) -> None:
        self.watched[connection] = None
        if not self.due:
            self.due = True
            self.loop.call_later(LOOK_S, self.look)

    def let_go(self, connection: Connection) -> None:
        """It is read again, or closed."""
        self.watched.pop(connection, None)

    def look(self) -> None:
        self.due = bool(self.watched)
        if self.due:
            self.loop.call_later(LOOK_S, self.look)  # whatever becomes of this one
        watched = [each for each in self.watched if not each.transport.is_closing()]
        for connection, ended in zip(watched, have_ended(each.transport for each in watched), strict=True):
            if ended:
                connection.peer_ended()
