"""How many messages on limits may go to each peer: a token bucket a peer."""

from typing import NamedTuple

from molereach.limits.settings import SECOND_US

MAX_MESSAGES_PER_S = 100.0  # to one peer; about ten go into a datagram
MAX_MESSAGE_BURST = 24.0


class Bucket(NamedTuple):
    """Messages that may go to a peer, as of a time in microseconds."""

    tokens: float
    updated_us: int


class MessageBudget:
    """The budgets of all peers."""

    def __init__(self) -> None:
        self.buckets: dict[int, Bucket] = {}

    def take(self, now_us: int, peer: int) -> bool:
        """Whether one more message may go to a peer now; if so, it is counted."""
        bucket = self.buckets.get(peer, Bucket(MAX_MESSAGE_BURST, now_us))
        refilled = bucket.tokens + MAX_MESSAGES_PER_S * (now_us - bucket.updated_us) / SECOND_US
        tokens = min(MAX_MESSAGE_BURST, refilled)
        is_allowed = tokens >= 1
        self.buckets[peer] = Bucket(tokens - is_allowed, now_us)
        return is_allowed
