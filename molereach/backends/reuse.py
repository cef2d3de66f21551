"""For how long a connection that rests may be used again."""

AGES = 24  # of kept connections, by the doubling of milliseconds; the first is that of new ones
STALE_MARGIN = 0.1  # how much more often than new ones connections of an age may be reset and still be used
LEAST_USES = 5.0  # of one age, before anything is made of it
FADE_S = 5.0  # in which what was seen comes to count for half


class Reuse:
    """For how long kept connections are good, as seen: a backend, or what lies between, may let go of them
    long before the time in the settings, and reset the next request, which an unsafe class cannot repeat."""

    def __init__(self) -> None:
        self.uses, self.resets = [0.0] * AGES, [0.0] * AGES
        self.most = AGES  # ages from there on are not used

    @staticmethod
    def age(idle_us: int | None) -> int:
        """The class of a connection's time without a request; of a new one, the first."""
        return 0 if idle_us is None else min(AGES - 1, 1 + (idle_us // 1000).bit_length())

    def good(self, idle_us: int) -> bool:
        return self.age(idle_us) < self.most

    def note(self, age: int, reset: bool) -> None:
        self.uses[age] += 1
        self.resets[age] += reset
        if reset:
            self.judge()

    def judge(self) -> None:
        fresh = self.resets[0] / max(LEAST_USES, self.uses[0])
        bad = (
            age
            for age in range(1, AGES)
            if self.uses[age] >= LEAST_USES and self.resets[age] / self.uses[age] > fresh + STALE_MARGIN
        )
        self.most = min(bad, default=AGES)

    def fade(self) -> None:
        """What was seen counts for less, so that what is not used is tried again."""
        self.uses = [count / 2 for count in self.uses]
        self.resets = [count / 2 for count in self.resets]
        self.judge()
