"""Retries: whether a failed attempt may be followed by another one, and the retry budget.

Retries live on a small fraction of first attempts, so that they cannot feed an overload. A retry after a
connection failure is free, as nothing reached a backend.
"""

from molereach.policy.interface.events import AttemptResult
from molereach.policy.pending_request import PendingRequest

RETRY_TOKENS_PER_REQUEST = 0.1  # earned by each first attempt
MAX_RETRY_TOKENS = 8.0


class RetryPolicy:
    """The retry budget of one gateway; a retry costs one token."""

    __slots__ = ("max_attempts", "tokens")

    def __init__(self, max_attempts: int) -> None:
        self.max_attempts = max_attempts
        self.tokens = MAX_RETRY_TOKENS / 2

    def record_first_attempt(self) -> None:
        """Earn a part of a token."""
        self.tokens = min(MAX_RETRY_TOKENS, self.tokens + RETRY_TOKENS_PER_REQUEST)

    def may_retry(
        self, now_us: int, pending: PendingRequest, result: AttemptResult, mean_latency_us: float
    ) -> bool:
        """Whether a retry may follow an attempt that ended so.

        It may not when the deadline is nearer than half the mean latency of the request's class, after
        `max_attempts` attempts, or without a token.
        """
        if result is AttemptResult.NOT_SENT or now_us + mean_latency_us / 2 >= pending.deadline_us:
            return False
        if len(pending.backends) >= self.max_attempts:
            return False
        return result is AttemptResult.CONNECT_FAILED or self.tokens >= 1

    def spend(self, result: AttemptResult) -> None:
        """A retry is forwarded after an attempt that ended so."""
        if result is not AttemptResult.CONNECT_FAILED:
            self.tokens -= 1
