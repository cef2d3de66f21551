"""Round-robin scheduling of connections, one step each, within a budget per turn of the event loop."""

import asyncio
from collections import deque
from collections.abc import Callable

from molereach.coordination.transport.budget import EventLoopBudget
from molereach.coordination.transport.connection import PeerConnection


class FairScheduler:
    """Runs the steps of all connections; those beyond the budget run after other event loop callbacks."""

    def __init__(self, loop: asyncio.AbstractEventLoop, clock: Callable[[], int]) -> None:
        self.loop = loop
        self.clock = clock
        self.ready_connections: deque[PeerConnection] = deque()
        self.turn_scheduled = False
        self.completed_turns = 0

    def schedule(self, connection: PeerConnection) -> None:
        """Queue a connection for a step unless it is already queued."""
        if not connection.is_scheduled:
            connection.is_scheduled = True
            self.ready_connections.append(connection)
            self.schedule_turn()

    def schedule_turn(self) -> None:
        """Schedule `run_turn` on the event loop unless it is already scheduled."""
        if not self.turn_scheduled:
            self.turn_scheduled = True
            self.loop.call_soon(self.run_turn)

    def run_turn(self) -> None:
        """Run steps until the budget is exhausted or no connection has work."""
        self.turn_scheduled = False
        self.completed_turns += 1
        budget = EventLoopBudget(self.clock())
        while self.ready_connections and budget.allows_step(self.clock()):
            connection = self.ready_connections.popleft()
            if connection.step():
                self.ready_connections.append(connection)
            else:
                connection.is_scheduled = False
        if self.ready_connections:
            self.schedule_turn()
