"""Passes events to the policy in batches and executes its actions.

As in the simulator's protocol, the events that have arrived by the same time form a batch. The policy handles
them in order of arrival, all with the same time, and its actions for one event are executed in order before
it gets the next. Events that an action causes, such as an attempt that could not be started, belong to a
later batch. The policy therefore never receives an event while it handles another, and events are not
reordered.
"""

import asyncio
import logging
from collections.abc import Callable

from molereach.clock import now_us
from molereach.policy.gateway import Gateway
from molereach.policy.interface.actions import Action, SetTimer
from molereach.policy.interface.events import Event, TimerExpired

log = logging.getLogger(__name__)

TIMER_RETRY_US = 20_000  # delay before a timer event whose handling failed is repeated
MIN_TIMER_US = 1000  # the event loop's timers have a resolution of 1 ms

Handlers = dict[type, Callable[..., None]]


class PolicyDriver:
    """Drives the policy of one proxy: queues its events, executes its actions and runs its timers."""

    def __init__(self, gateway: Gateway) -> None:
        self.gateway = gateway
        self.loop = asyncio.get_running_loop()
        self.inbox: list[Event] = []
        self.handlers: Handlers = {}
        self.abort_request: Callable[[str], None] = lambda request_id: None

    def set_handlers(self, handlers: Handlers, abort_request: Callable[[str], None]) -> None:
        """Set the handler of each type of action, and what aborts a request after a programming error."""
        self.handlers = handlers
        self.abort_request = abort_request

    def post(self, event: Event) -> None:
        """Add an event to the next batch."""
        if not self.inbox:
            self.loop.call_soon(self.run_batch)
        self.inbox.append(event)

    def run_batch(self) -> None:
        """Have the policy handle the queued events, all with the current time."""
        batch_at_us = now_us()
        events = self.inbox
        # Replaced first: events that the actions post belong to the next batch.
        self.inbox = []
        for event in events:
            for action in self.decide(batch_at_us, event):
                self.execute(action)

    def decide(self, at_us: int, event: Event) -> list[Action]:
        """Return the policy's actions for an event; an exception aborts only the request of the event."""
        try:
            return self.gateway.handle(at_us, event)
        except Exception:
            log.exception("policy failed on %r", event)
            self.abort_request(getattr(event, "request_id", ""))
            if isinstance(event, TimerExpired):  # repeated, since the policy depends on it
                self.set_timer(SetTimer(TIMER_RETRY_US, event.token))
            return []

    def execute(self, action: Action) -> None:
        """Execute an action; an exception aborts only the request of the action."""
        try:
            self.handlers[type(action)](action)
        except Exception:
            log.exception("cannot carry out %r", action)
            self.abort_request(getattr(action, "request_id", ""))

    def set_timer(self, action: SetTimer) -> None:
        """Post the event of a timer after its delay."""
        self.expire_timer(now_us() + action.delay_us, action.token)

    def expire_timer(self, due_us: int, token: int) -> None:
        """Post the event of a timer if it is due, otherwise wait for the remaining time.

        The event loop rounds times to milliseconds and may call early. The policy would ignore an early event
        and never set the timer again, because it would assume that it is still running.
        """
        remaining_us = due_us - now_us()
        if remaining_us > 0:
            self.loop.call_later(max(MIN_TIMER_US, remaining_us) / 1e6, self.expire_timer, due_us, token)
        else:
            self.post(TimerExpired(token))
