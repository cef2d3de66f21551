"""Turns of links: one step of each after another, and all together within a turn's budget. A shell."""

import asyncio
from collections import deque
from collections.abc import Callable

from molereach.coordination.transport.budget import EventLoopBudget
from molereach.coordination.transport.connection import PeerConnection


class FairScheduler:
    """What is due over all links; the rest of it after what else the loop has to do."""

    def __init__(self, loop: asyncio.AbstractEventLoop, clock: Callable[[], int]) -> None:
        self.loop, self.clock = loop, clock
        self.ready_connections: deque[PeerConnection] = deque()
        self.turn_scheduled = False
        self.completed_turns = 0  # turns

    def schedule(self, link: PeerConnection) -> None:
        if not link.is_scheduled:
            link.is_scheduled = True
            self.ready_connections.append(link)
            self.schedule_turn()

    def schedule_turn(self) -> None:
        if not self.turn_scheduled:
            self.turn_scheduled = True
            self.loop.call_soon(self.run_turn)

    def run_turn(self) -> None:
        self.turn_scheduled, self.completed_turns = False, self.completed_turns + 1
        turn = EventLoopBudget(self.clock())
        while self.ready_connections and turn.allows_step(self.clock()):
            link = self.ready_connections.popleft()
            if link.step():
                self.ready_connections.append(link)
            else:
                link.is_scheduled = False
        if self.ready_connections:
            self.schedule_turn()
