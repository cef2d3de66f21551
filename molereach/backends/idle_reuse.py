"""Estimates from observed resets how long an idle connection may be reused.

A backend or middlebox may drop idle connections long before the configured timeout and reset the next
request, which cannot be retried in a non-idempotent class. Uses and immediate resets are therefore counted
per age class, which is a range of idle times.
"""

AGE_CLASSES = 24  # each doubles the idle milliseconds of the previous one; the first is for new connections
RESET_RATE_MARGIN = 0.1  # by which the reset rate of reused idle connections may exceed that of new ones
MIN_USES = 5.0  # of an age class, before its reset rate is considered
HALF_LIFE_S = 5.0  # of the observations


class IdleReuse:
    """Reset rates by age class; connections are not reused from `max_age_class` on."""

    def __init__(self) -> None:
        self.uses = [0.0] * AGE_CLASSES
        self.resets = [0.0] * AGE_CLASSES
        self.max_age_class = AGE_CLASSES

    @staticmethod
    def age_class(idle_us: int | None) -> int:
        """Return the age class for an idle time, or for a new connection if it is None."""
        return 0 if idle_us is None else min(AGE_CLASSES - 1, 1 + (idle_us // 1000).bit_length())

    def is_reusable(self, idle_us: int) -> bool:
        """Whether a connection with this idle time may be reused."""
        return self.age_class(idle_us) < self.max_age_class

    def record(self, age_class: int, reset: bool) -> None:
        """Count a use, and a reset if it ended in one before any answer."""
        self.uses[age_class] += 1
        self.resets[age_class] += reset
        if reset:
            self.update_max_age()

    def update_max_age(self) -> None:
        """Find the first class whose reset rate exceeds that of new connections by the margin."""
        new_connection_rate = self.resets[0] / max(MIN_USES, self.uses[0])
        unreliable_classes = (
            age_class
            for age_class in range(1, AGE_CLASSES)
            if self.uses[age_class] >= MIN_USES
            and self.resets[age_class] / self.uses[age_class] > new_connection_rate + RESET_RATE_MARGIN
        )
        self.max_age_class = min(unreliable_classes, default=AGE_CLASSES)

    def decay(self) -> None:
        """Halve the counts, so that excluded classes are eventually tried again."""
        self.uses = [count / 2 for count in self.uses]
        self.resets = [count / 2 for count in self.resets]
        self.update_max_age()
