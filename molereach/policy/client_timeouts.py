"""How long clients wait, by class: what is left of a retry's latency objective.

An answer after the objective of the client's first attempt is worth nothing and would take quota.
"""

from molereach.policy.interface.events import RequestReceived
from molereach.policy.interface.settings import Settings

GROWTH_STEPS = 200  # first attempts after which the estimate may have doubled


class ClientTimeouts:
    """The estimated timeout of clients by request class, in microseconds; 0 before the first request."""

    __slots__ = ("settings", "timeout_us")

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.timeout_us = [0] * len(settings.classes)

    def elapsed_us(self, request: RequestReceived) -> int:
        """How long ago the client sent its first attempt, at least.

        The estimate is the smallest remaining time of recent first attempts, as clients may differ; it grows
        slowly should they wait for longer. Classes whose late answers have a value have no elapsed time.
        """
        known_us = self.timeout_us[request.class_index]
        if self.settings.classes[request.class_index].late_priority_weight:
            return 0
        if request.is_client_retry:
            return max(0, known_us - request.remaining_us)
        longer_us = known_us + known_us // GROWTH_STEPS + 1 if known_us else request.remaining_us
        self.timeout_us[request.class_index] = min(request.remaining_us, longer_us)
        return 0
