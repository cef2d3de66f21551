"""Carries out the policy's actions on requests: attempts to backends, answers to clients."""

import logging
from collections.abc import Callable

from molereach.backends.attempt import Attempt
from molereach.backends.pools import Backends
from molereach.clients.resp import REQUEST_FAILED
from molereach.clock import now_us
from molereach.policy.interface.actions import (
    CancelAttempt,
    CloseIdleConnections,
    FailRequest,
    ForwardAttempt,
    Reject,
    WriteLog,
)
from molereach.policy.interface.events import (
    AttemptEnded,
    AttemptResult,
    ClientDisconnected,
    Event,
    LoadReport,
)
from molereach.policy.interface.settings import Settings
from molereach.proxy.request_registry import RequestRegistry

log = logging.getLogger(__name__)


class ActionExecutor:
    """Attempts and answers of the requests in a registry; `post` hands their results to the policy."""

    def __init__(
        self,
        settings: Settings,
        requests: RequestRegistry,
        backends: Backends,
        post: Callable[[Event], None],
    ) -> None:
        self.settings = settings
        self.requests = requests
        self.backends = backends
        self.post = post

    def forward(self, action: ForwardAttempt) -> None:
        """Send an attempt; one that may not be sent any more ends with NOT_SENT in a later batch."""
        request = self.requests.open.get(action.request_id)
        if request is None or request.attempts_sent >= self.settings.max_attempts:
            is_answered = request is None
            result = AttemptResult.NOT_SENT
            self.post(
                AttemptEnded(action.request_id, is_answered, action.attempt, action.endpoint, result, 0)
            )
            return
        remaining_us = max(1, request.deadline_us - now_us())
        timeout_us = min(remaining_us, action.timeout_us) if action.timeout_us > 0 else remaining_us
        request.attempts_sent += 1
        attempt = Attempt(
            action.request_id,
            action.attempt,
            action.endpoint,
            request.command.payload(timeout_us),
            self.on_attempt_result,
            action.write_deadline_us,
        )
        # In flight before it is sent: it may fail at once, and its result must find it.
        request.in_flight[attempt.number] = attempt
        self.backends.send(attempt, timeout_us)

    def on_attempt_result(
        self, attempt: Attempt, result: AttemptResult, value: bytes | None, report: LoadReport | None
    ) -> None:
        """An attempt's one result; the first value goes to the client at once and closes the request."""
        request_id = attempt.request_id
        # The answer first: the event then says that the request has been answered.
        if result is AttemptResult.OK and value is not None and request_id in self.requests.open:
            self.answer(request_id, b"$%d\r\n%b\r\n" % (len(value), value))
        is_answered = self.requests.finish_attempt(request_id, attempt.number)
        took_us = now_us() - attempt.sent_us
        self.post(
            AttemptEnded(
                request_id, is_answered, attempt.number, attempt.server, result, took_us, load_report=report
            )
        )

    def cancel(self, action: CancelAttempt) -> None:
        """Cancel an attempt that is in flight."""
        attempt = self.requests.attempt_in_flight(action.request_id, action.attempt)
        if attempt:
            attempt.cancel()

    def reject(self, action: Reject) -> None:
        """Answer that the client may come again, after a time where there is one."""
        wait_ms = action.retry_after_us // 1000
        self.answer(action.request_id, b"-BUSY %d\r\n" % wait_ms if wait_ms > 0 else b"-BUSY\r\n")

    def fail(self, action: FailRequest) -> None:
        """Answer that the request failed."""
        self.answer(action.request_id, REQUEST_FAILED)

    def answer(self, request_id: str, data: bytes) -> None:
        """Answer a request, unless it has been answered."""
        if request := self.requests.settle(request_id):
            request.reply.send(data)

    def fail_and_forget(self, request_id: str) -> None:
        """Fail a request over a programming error, and have the policy forget it."""
        if request_id in self.requests.open:
            self.answer(request_id, REQUEST_FAILED)
            self.post(ClientDisconnected(request_id))

    def on_backstop(self, request_id: str) -> None:
        """Fail a request that the policy has left without an answer, though it owes one in time."""
        if request_id in self.requests.open:
            log.error("request %s was left without an answer", request_id)
            self.fail_and_forget(request_id)

    def close_idle(self, action: CloseIdleConnections) -> None:
        """Close the idle connections to a backend."""
        self.backends.close_idle(action.endpoint)

    @staticmethod
    def write_log(action: WriteLog) -> None:
        """Write the policy's log line."""
        log.info("%s", action.text)
