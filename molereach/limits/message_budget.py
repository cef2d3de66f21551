"""Rate limit for messages on limits: one token bucket per peer."""

from typing import NamedTuple

from molereach.limits.settings import SECOND_US

MAX_MESSAGES_PER_S = 100.0  # per peer; a datagram carries about ten
MAX_MESSAGE_BURST = 24.0


class Bucket(NamedTuple):
    """Number of messages that may be sent to a peer, as of a time in microseconds."""

    tokens: float
    updated_us: int


class MessageBudget:
    """Message budgets of all peers."""

    def __init__(self) -> None:
        self.buckets: dict[int, Bucket] = {}

    def take(self, now_us: int, peer: int) -> bool:
        """Consume one message from a peer's budget; False if the budget is exhausted."""
        bucket = self.buckets.get(peer, Bucket(MAX_MESSAGE_BURST, now_us))
        refilled_tokens = bucket.tokens + MAX_MESSAGES_PER_S * (now_us - bucket.updated_us) / SECOND_US
        tokens = min(MAX_MESSAGE_BURST, refilled_tokens)
        is_allowed = tokens >= 1
        self.buckets[peer] = Bucket(tokens - is_allowed, now_us)
        return is_allowed
