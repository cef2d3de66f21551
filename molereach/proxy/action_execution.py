"""Executes the policy's actions on requests: sends attempts to backends and answers to clients."""

import logging
from collections.abc import Callable

from molereach.backends.attempt import Attempt
from molereach.backends.pools import Backends
from molereach.clients.resp_replies import REQUEST_FAILED
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
    """Sends attempts and answers for the requests in a registry; `post` passes the results to the policy."""

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
        """Send an attempt; one that may no longer be sent is reported as NOT_SENT in a later batch."""
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
        # Registered before it is sent: it may fail at once, and the handler of its result must find it.
        request.in_flight[attempt.number] = attempt
        self.backends.send(attempt, timeout_us)

    def on_attempt_result(
        self, attempt: Attempt, result: AttemptResult, value: bytes | None, report: LoadReport | None
    ) -> None:
        """Handle the only result of an attempt; the first value answers the client and closes the request."""
        request_id = attempt.request_id
        # Answered before the event is posted, which states whether the request has been answered.
        if result is AttemptResult.OK and value is not None and request_id in self.requests.open:
            self.answer(request_id, b"$%d\r\n%b\r\n" % (len(value), value))
        is_answered = self.requests.finish_attempt(attempt, result)
        latency_us = now_us() - attempt.sent_us
        self.post(
            AttemptEnded(
                request_id,
                is_answered,
                attempt.number,
                attempt.server,
                result,
                latency_us,
                load_report=report,
            )
        )

    def cancel(self, action: CancelAttempt) -> None:
        """Cancel an attempt if it is in flight."""
        attempt = self.requests.attempt_in_flight(action.request_id, action.attempt)
        if attempt:
            attempt.cancel()

    def reject(self, action: Reject) -> None:
        """Answer that the proxy is busy, with the time after which the client may retry, if there is one."""
        retry_after_ms = action.retry_after_us // 1000
        self.answer(
            action.request_id, b"-BUSY %d\r\n" % retry_after_ms if retry_after_ms > 0 else b"-BUSY\r\n"
        )

    def fail(self, action: FailRequest) -> None:
        """Answer that the request has failed."""
        self.answer(action.request_id, REQUEST_FAILED)

    def answer(self, request_id: str, data: bytes) -> None:
        """Send the answer to a request that has not been answered yet."""
        if request := self.requests.close_request(request_id):
            request.reply.send(data)

    def abort_request(self, request_id: str) -> None:
        """Answer a request with an error, without the policy's decision, and have the policy drop it."""
        if request_id in self.requests.open:
            self.answer(request_id, REQUEST_FAILED)
            self.post(ClientDisconnected(request_id))

    def on_backstop_timeout(self, request_id: str) -> None:
        """Abort a request that the policy should have had answered by its deadline but did not."""
        if request_id in self.requests.open:
            log.error("request %s was left without an answer", request_id)
            self.abort_request(request_id)

    def close_idle(self, action: CloseIdleConnections) -> None:
        """Close the idle connections to a backend."""
        self.backends.close_idle(action.endpoint)

    @staticmethod
    def write_log(action: WriteLog) -> None:
        """Write a log line for the policy."""
        log.info("%s", action.text)
