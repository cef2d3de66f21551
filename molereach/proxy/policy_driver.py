"""Hands events to the policy in batches, and its actions to whoever carries them out.

As on the simulator's wire, what has come in by one moment is a batch: each of its events is handed to the
policy with the same time, in order of arrival, and its actions are carried out in order, before the next
event is handed over. What an action itself brings about (an attempt that could not start) comes with a later
batch: so the policy never gets an event while it decides, and no event overtakes an earlier one.
"""

import asyncio
import logging
from collections.abc import Callable

from molereach.clock import now_us
from molereach.policy.gateway import Gateway
from molereach.policy.interface.actions import Action, SetTimer
from molereach.policy.interface.events import Event, TimerExpired

log = logging.getLogger(__name__)

TIMER_RETRY_US = 20_000  # how soon a timer expires again on which the policy failed
MIN_TIMER_US = 1000  # the loop's timers go by milliseconds

Handlers = dict[type, Callable[..., None]]


class PolicyDriver:
    """The policy of one proxy, with its inbox and its timers."""

    def __init__(self, gateway: Gateway) -> None:
        self.gateway = gateway
        self.loop = asyncio.get_running_loop()
        self.inbox: list[Event] = []
        self.handlers: Handlers = {}
        self.fail_request: Callable[[str], None] = lambda request_id: None

    def connect(self, handlers: Handlers, fail_request: Callable[[str], None]) -> None:
        """Set what carries out each type of action, and what fails a request over a programming error."""
        self.handlers = handlers
        self.fail_request = fail_request

    def post(self, event: Event) -> None:
        """Add an event to the next batch."""
        if not self.inbox:
            self.loop.call_soon(self.run_batch)
        self.inbox.append(event)

    def run_batch(self) -> None:
        """Hand over the events that have come, all at one time."""
        batch_at_us = now_us()
        events = self.inbox
        # Emptied first: what actions post from here on is another batch.
        self.inbox = []
        for event in events:
            for action in self.decide(batch_at_us, event):
                self.execute(action)

    def decide(self, at_us: int, event: Event) -> list[Action]:
        """The policy's actions; none where it fails, which costs the request of the event alone."""
        try:
            return self.gateway.handle(at_us, event)
        except Exception:
            log.exception("policy failed on %r", event)
            self.fail_request(getattr(event, "request_id", ""))
            if isinstance(event, TimerExpired):  # the policy depends on it: it comes again
                self.set_timer(SetTimer(TIMER_RETRY_US, event.token))
            return []

    def execute(self, action: Action) -> None:
        """Carry out an action; a failure costs its request."""
        try:
            self.handlers[type(action)](action)
        except Exception:
            log.exception("cannot carry out %r", action)
            self.fail_request(getattr(action, "request_id", ""))

    def set_timer(self, action: SetTimer) -> None:
        """Post an event after the action's delay."""
        self.expire_timer(now_us() + action.delay_us, action.token)

    def expire_timer(self, due_us: int, token: int) -> None:
        """Post a timer's event if it is due, else wait for the rest.

        The loop's timers go by milliseconds and may be early; the policy would ignore such an event and, as
        it takes the timer for still set, never set another.
        """
        remaining_us = due_us - now_us()
        if remaining_us > 0:
            self.loop.call_later(max(MIN_TIMER_US, remaining_us) / 1e6, self.expire_timer, due_us, token)
        else:
            self.post(TimerExpired(token))
