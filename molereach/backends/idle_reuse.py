"""For how long an idle connection may be used again, as observed.

A backend, or a middlebox on the way, may drop idle connections long before the time in the settings, and
reset the next request, which a non-idempotent class cannot retry. Uses and resets are counted by age class:
how often a connection of that idle time was used, and how often it was reset at once.
"""

AGE_CLASSES = 24  # by the doubling of idle milliseconds; the first is that of new connections
RESET_RATE_MARGIN = 0.1  # how much more often than new ones idle connections may be reset and still be used
MIN_USES = 5.0  # of an age class, before its rate counts
HALF_LIFE_S = 5.0  # of what was observed


class IdleReuse:
    """The reset rate by age class; classes from `max_age_class` on are not used."""

    def __init__(self) -> None:
        self.uses = [0.0] * AGE_CLASSES
        self.resets = [0.0] * AGE_CLASSES
        self.max_age_class = AGE_CLASSES

    @staticmethod
    def age_class(idle_us: int | None) -> int:
        """The class of a connection that was idle for so long; None stands for a new one."""
        return 0 if idle_us is None else min(AGE_CLASSES - 1, 1 + (idle_us // 1000).bit_length())

    def is_reusable(self, idle_us: int) -> bool:
        """Whether a connection that was idle for so long may be used."""
        return self.age_class(idle_us) < self.max_age_class

    def record(self, age_class: int, reset: bool) -> None:
        """Count a use, and whether it ended in a reset before any answer."""
        self.uses[age_class] += 1
        self.resets[age_class] += reset
        if reset:
            self.update_max_age()

    def update_max_age(self) -> None:
        """Find the first class that is reset more often than new connections, by the margin."""
        rate_of_new = self.resets[0] / max(MIN_USES, self.uses[0])
        unreliable = (
            age_class
            for age_class in range(1, AGE_CLASSES)
            if self.uses[age_class] >= MIN_USES
            and self.resets[age_class] / self.uses[age_class] > rate_of_new + RESET_RATE_MARGIN
        )
        self.max_age_class = min(unreliable, default=AGE_CLASSES)

    def decay(self) -> None:
        """Halve the counts, so that a class that is not used is tried again."""
        self.uses = [count / 2 for count in self.uses]
        self.resets = [count / 2 for count in self.resets]
        self.update_max_age()
