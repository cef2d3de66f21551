"""Limit on the number of entries of long lists in memory, over all containers. No I/O.

Containers are tracked by weak references and counted as long as anything references them. So no code has to
return entries to the budget, and none can fail to.
"""

from typing import Protocol, TypeVar
from weakref import WeakSet

from molereach.subsetting.interface import EntryBudgetExceededError

MAX_LIST_COPIES = 2  # of the longest list: the one in use, and one that is being received or released


class EntryContainer(Protocol):
    """An object that holds entries in memory."""

    @property
    def entry_count(self) -> int:
        """Number of entries that it holds."""


Container = TypeVar("Container", bound=EntryContainer)


class EntryBudget:
    """A limit of `max_entries` for all tracked containers together."""

    def __init__(self, max_entries: int) -> None:
        self.max_entries = max_entries
        self.containers: WeakSet[EntryContainer] = WeakSet()

    def track(self, container: Container) -> Container:
        """Count the entries of a container from now on; returns the container."""
        self.containers.add(container)
        return container

    @property
    def entry_count(self) -> int:
        """Number of entries in all containers."""
        return sum(container.entry_count for container in self.containers)

    def require(self, additional: int) -> None:
        """Raise EntryBudgetExceededError if so many additional entries would exceed the limit."""
        count = self.entry_count
        if count + additional > self.max_entries:
            raise EntryBudgetExceededError(
                f"no room in memory beside {count} entries of lists, of {self.max_entries} at most"
            )
