"""Tracks the requests of a proxy that are open, or that were answered while attempts are still in flight."""

import asyncio

from molereach.backends.attempt import Attempt
from molereach.clients.commands import Command
from molereach.clients.replies import Reply
from molereach.clients.requests import CommandError, OverloadedError
from molereach.clock import now_us
from molereach.policy.interface.events import AttemptResult
from molereach.proxy.executed_requests import ExecutedRequests

OPEN_REQUEST_BYTES = 4096  # memory of an open request, besides its command


class OpenRequest:
    """A request that has arrived, with its attempts in flight by number."""

    __slots__ = ("attempts_sent", "command", "deadline_us", "in_flight", "reply", "timer")

    def __init__(self, command: Command, reply: Reply, deadline_us: int) -> None:
        self.command = command
        self.reply = reply
        self.deadline_us = deadline_us
        self.attempts_sent = 0
        self.in_flight: dict[int, Attempt] = {}
        self.timer: asyncio.TimerHandle | None = None


class RequestRegistry:
    """Requests by id; the open ones are limited in number and in bytes."""

    def __init__(self, max_open: int, max_open_bytes: int, executed: ExecutedRequests) -> None:
        self.executed = executed
        self.max_open = max_open
        self.max_open_bytes = max_open_bytes
        self.open: dict[str, OpenRequest] = {}  # not answered yet
        self.answered: dict[str, OpenRequest] = {}  # answered, with attempts in flight
        self.open_bytes = 0

    def check_admission(self, request_id: str) -> None:
        """Raise CommandError if the id is in use, or OverloadedError if a limit is reached.

        An id stays in use after the request has ended if executing it again could have a second effect.
        """
        is_known = request_id in self.open or request_id in self.answered
        if is_known or self.executed.contains(now_us(), request_id):
            raise CommandError("this id is in use")
        if len(self.open) >= self.max_open or self.open_bytes > self.max_open_bytes:
            raise OverloadedError("too many requests are open")

    def add(self, request_id: str, request: OpenRequest) -> None:
        """Add an open request."""
        self.open[request_id] = request
        self.open_bytes += request.command.size + OPEN_REQUEST_BYTES

    def close_request(self, request_id: str) -> OpenRequest | None:
        """Close a request and withdraw its unsent attempts; return it, or None if it is not open.

        It is moved to `answered` before its attempts are withdrawn, because a withdrawn attempt reports its
        result immediately and must find the request there.
        """
        request = self.open.pop(request_id, None)
        if request is None:
            return None
        self.open_bytes -= request.command.size + OPEN_REQUEST_BYTES
        if request.timer:
            request.timer.cancel()
        if request.in_flight:
            self.answered[request_id] = request
        for attempt in list(request.in_flight.values()):
            # This affects only unsent attempts, for which the settings need not permit cancellation.
            attempt.cancel_if_unwritten(AttemptResult.CANCELLED)
        return request

    def finish_attempt(self, attempt: Attempt, result: AttemptResult) -> bool:
        """Remove an attempt that is no longer in flight; return whether its request has been answered."""
        request_id = attempt.request_id
        is_answered = request_id not in self.open
        request = self.answered.get(request_id) if is_answered else self.open[request_id]
        if request:
            request.in_flight.pop(attempt.number, None)
            if attempt.is_written and result is not AttemptResult.REJECTED:
                self.executed.record(now_us(), request_id, request.command.request.class_index)
            if is_answered and not request.in_flight:
                del self.answered[request_id]
        return is_answered

    def attempt_in_flight(self, request_id: str, number: int) -> Attempt | None:
        """Return an attempt in flight of a request that is open or answered, or None."""
        request = self.open.get(request_id) or self.answered.get(request_id)
        return request.in_flight.get(number) if request else None
