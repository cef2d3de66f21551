"""Queues of events for API clients that watch an agent."""

import asyncio

from molereach.fleet.api_bodies import Event

MAX_QUEUED_EVENTS = 256  # per watcher; further events are dropped and counted


class Watcher:
    """The event queue of one watcher; `missed` counts dropped events that the client has not been told of."""

    def __init__(self) -> None:
        """Start with an empty queue."""
        self.queue: asyncio.Queue[Event] = asyncio.Queue(MAX_QUEUED_EVENTS)
        self.missed = 0

    def push(self, event: Event) -> None:
        """Queue an event, or count it as missed if the queue is full."""
        if self.queue.full():
            self.missed += 1
        else:
            self.queue.put_nowait(event)
