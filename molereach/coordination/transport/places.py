"""How many connections there are that have not proven who they are, in all and from one source. A core."""

from collections import Counter


class Places:
    """Of unproven connections that others opened."""

    def __init__(self, most: int, most_of_source: int) -> None:
        self.most, self.most_of_source = most, most_of_source
        self.taken: Counter[str] = Counter()
        self.refused = 0

    def take(self, source: str) -> bool:
        if self.taken.total() >= self.most or self.taken[source] >= self.most_of_source:
            self.refused += 1
            return False
        self.taken[source] += 1
        return True

    def leave(self, source: str) -> None:
        self.taken[source] -= 1
        if not self.taken[source]:
            del self.taken[source]
