"""Turns of links: one step of each after another, and all together within a turn's budget. A shell."""

import asyncio
from collections import deque
from collections.abc import Callable

from molereach.coordination.transport.budget import EventLoopBudget
from molereach.coordination.transport.link import Link


class Turns:
    """What is due over all links; the rest of it after what else the loop has to do."""

    def __init__(self, loop: asyncio.AbstractEventLoop, clock: Callable[[], int]) -> None:
        self.loop, self.clock = loop, clock
        self.due: deque[Link] = deque()
        self.planned = False
        self.taken = 0  # turns

    def ready(self, link: Link) -> None:
        if not link.due:
            link.due = True
            self.due.append(link)
            self.plan()

    def plan(self) -> None:
        if not self.planned:
            self.planned = True
            self.loop.call_soon(self.work)

    def work(self) -> None:
        self.planned, self.taken = False, self.taken + 1
        turn = EventLoopBudget(self.clock())
        while self.due and turn.allows_step(self.clock()):
            link = self.due.popleft()
            if link.step():
                self.due.append(link)
            else:
                link.due = False
        if self.due:
            self.plan()
