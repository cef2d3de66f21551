"""Estimates of the clients' timeouts, from which the age of a client's retry is derived.

The latency objective of a retry counts from the client's first attempt: a later answer has no value to the
client but would still use quota.
"""

from molereach.policy.interface.events import RequestReceived
from molereach.policy.interface.settings import Settings

GROWTH_DIVISOR = 200  # each first attempt may raise the estimate by 1/200 of it


class ClientTimeouts:
    """The estimated client timeout of each request class, in microseconds; 0 before the first request."""

    __slots__ = ("settings", "timeout_us")

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.timeout_us = [0] * len(settings.classes)

    def elapsed_us(self, request: RequestReceived) -> int:
        """A lower bound of the time since the client sent its first attempt.

        The estimate is the shortest timeout among recent first attempts, as clients may differ; it grows
        slowly in case they become more patient. The result is 0 for classes whose late answers have a value.
        """
        estimate_us = self.timeout_us[request.class_index]
        if self.settings.classes[request.class_index].late_priority_weight:
            return 0
        if request.is_client_retry:
            return max(0, estimate_us - request.remaining_us)
        raised_us = estimate_us + estimate_us // GROWTH_DIVISOR + 1 if estimate_us else request.remaining_us
        self.timeout_us[request.class_index] = min(request.remaining_us, raised_us)
        return 0
