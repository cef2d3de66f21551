"""Lists that many purges have in common, kept once: which sessions were open, how each front door is known.

In a fleet that stands still, all purges share one list of each kind.
"""

from collections.abc import Iterable, Sequence
from typing import Generic, TypeVar

Row = TypeVar("Row")


class Interned(Generic[Row]):
    """Lists by number, each with how many use it; one that nobody uses is let go of."""

    def __init__(self) -> None:
        self.rows = 0  # of all lists
        self.next = 1
        self._lists: dict[int, tuple[Row, ...]] = {}
        self._numbers: dict[tuple[Row, ...], int] = {}
        self._uses: dict[int, int] = {}

    def __getitem__(self, number: int) -> tuple[Row, ...]:
        return self._lists[number]

    def __len__(self) -> int:
        return len(self._lists)

    def costs(self, rows: tuple[Row, ...]) -> int:
        """By how many rows all would grow with one more use of this list."""
        return 0 if rows in self._numbers else len(rows)

    def use(self, rows: tuple[Row, ...]) -> int:
        """One more use; the number of the list."""
        number = self._numbers.get(rows)
        if number is None:
            number, self.next = self.next, self.next + 1
            self._lists[number], self._numbers[rows], self._uses[number] = rows, number, 0
            self.rows += len(rows)
        return self.again(number)

    def again(self, number: int) -> int:
        """One more use of a list that is here: without a look at its rows."""
        self._uses[number] += 1
        return number

    def release(self, number: int) -> None:
        self._uses[number] -= 1
        if not self._uses[number]:
            del self._uses[number]
            rows = self._lists.pop(number)
            del self._numbers[rows]
            self.rows -= len(rows)

    def state(self) -> tuple[tuple[int, tuple[Row, ...]], ...]:
        return tuple(sorted(self._lists.items(), key=lambda pair: pair[0]))

    @classmethod
    def of(
        cls, lists: Sequence[tuple[int, tuple[Row, ...]]], used: Iterable[int], next_number: int
    ) -> "Interned[Row]":
        """As `state` told it; ValueError where lists and uses do not fit together."""
        made = cls()
        made.next = next_number
        made._lists = dict(lists)
        made._numbers = {rows: number for number, rows in made._lists.items()}
        for number in used:
            made._uses[number] = made._uses.get(number, 0) + 1
        if made._uses.keys() != made._lists.keys() or len(made._numbers) < len(lists):
            raise ValueError("lists that nobody uses, or that are not there, or twice")
        if any(not 0 < number < next_number for number in made._lists):
            raise ValueError("a list with a number that was not given yet")
        made.rows = sum(map(len, made._lists.values()))
        return made
