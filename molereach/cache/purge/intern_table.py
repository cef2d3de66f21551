"""Lists that many purges have in common, stored once: open sessions, and how each front door cleared a purge.

While no session opens or ends, all purges share one list of each kind.
"""

from collections.abc import Iterable, Sequence
from typing import Generic, TypeVar

Row = TypeVar("Row")


class InternTable(Generic[Row]):
    """Reference-counted lists by number; an unused list is removed."""

    def __init__(self) -> None:
        self.row_count = 0  # of all lists
        self.next_number = 1
        self._lists: dict[int, tuple[Row, ...]] = {}
        self._numbers: dict[tuple[Row, ...], int] = {}
        self._reference_counts: dict[int, int] = {}

    def __getitem__(self, number: int) -> tuple[Row, ...]:
        return self._lists[number]

    def __len__(self) -> int:
        return len(self._lists)

    def additional_rows(self, rows: tuple[Row, ...]) -> int:
        """By how much `row_count` would grow with one more reference to this list."""
        return 0 if rows in self._numbers else len(rows)

    def acquire(self, rows: tuple[Row, ...]) -> int:
        """Add a reference to a list, which is stored if it is new; returns its number."""
        number = self._numbers.get(rows)
        if number is None:
            number, self.next_number = self.next_number, self.next_number + 1
            self._lists[number], self._numbers[rows], self._reference_counts[number] = rows, number, 0
            self.row_count += len(rows)
        return self.acquire_number(number)

    def acquire_number(self, number: int) -> int:
        """Add a reference to a stored list, without hashing its rows."""
        self._reference_counts[number] += 1
        return number

    def release(self, number: int) -> None:
        """Drop a reference to a list."""
        self._reference_counts[number] -= 1
        if not self._reference_counts[number]:
            del self._reference_counts[number]
            rows = self._lists.pop(number)
            del self._numbers[rows]
            self.row_count -= len(rows)

    def snapshot(self) -> tuple[tuple[int, tuple[Row, ...]], ...]:
        """All lists with their numbers, in order."""
        return tuple(sorted(self._lists.items(), key=lambda pair: pair[0]))

    @classmethod
    def from_snapshot(
        cls, lists: Sequence[tuple[int, tuple[Row, ...]]], references: Iterable[int], next_number: int
    ) -> "InternTable[Row]":
        """Restore a table; raises ValueError if lists and references do not match."""
        table = cls()
        table.next_number = next_number
        table._lists = dict(lists)
        table._numbers = {rows: number for number, rows in table._lists.items()}
        for number in references:
            table._reference_counts[number] = table._reference_counts.get(number, 0) + 1
        if table._reference_counts.keys() != table._lists.keys() or len(table._numbers) < len(lists):
            raise ValueError("a list is unused, missing or duplicated")
        if any(not 0 < number < next_number for number in table._lists):
            raise ValueError("a list has a number that has not been assigned yet")
        table.row_count = sum(map(len, table._lists.values()))
        return table
