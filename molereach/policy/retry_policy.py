"""Retry policy: whether a failed attempt may be retried, and the retry budget.

The budget limits retries to a small fraction of first attempts, so that retries cannot amplify an overload.
A retry after a connection failure costs nothing, because no backend executed the request.
"""

from molereach.policy.interface.events import AttemptResult
from molereach.policy.pending_request import PendingRequest

RETRY_TOKENS_PER_REQUEST = 0.1  # earned by each first attempt
MAX_RETRY_TOKENS = 8.0


class RetryPolicy:
    """The retry budget of one gateway, as a token bucket; a retry costs one token."""

    __slots__ = ("max_attempts", "tokens")

    def __init__(self, max_attempts: int) -> None:
        self.max_attempts = max_attempts
        self.tokens = MAX_RETRY_TOKENS / 2

    def record_first_attempt(self) -> None:
        """Add the fraction of a token that a first attempt earns."""
        self.tokens = min(MAX_RETRY_TOKENS, self.tokens + RETRY_TOKENS_PER_REQUEST)

    def may_retry(
        self, now_us: int, pending: PendingRequest, result: AttemptResult, mean_latency_us: float
    ) -> bool:
        """Whether a retry may follow an attempt with that result.

        It may not if less than half the mean latency of the request's class remains until the deadline, after
        `max_attempts` attempts, or if the budget has no token.
        """
        if result is AttemptResult.NOT_SENT or now_us + mean_latency_us / 2 >= pending.deadline_us:
            return False
        if len(pending.backends) >= self.max_attempts:
            return False
        return result is AttemptResult.CONNECT_FAILED or self.tokens >= 1

    def spend(self, result: AttemptResult) -> None:
        """Charge a retry that is forwarded after an attempt with that result."""
        if result is not AttemptResult.CONNECT_FAILED:
            self.tokens -= 1
