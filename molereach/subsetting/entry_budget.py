"""How many entries of long lists there may be in memory at once, wherever they are. A core.

Containers are counted for as long as anything refers to them (weak references), so that no entry has to be
given back and no way out of a call can forget to.
"""

from typing import Protocol, TypeVar
from weakref import WeakSet

from molereach.subsetting.interface import EntryBudgetExceededError

MAX_LIST_COPIES = 2  # of the longest list: the one in service, and one that arrives or is being released


class EntryContainer(Protocol):
    """Anything that keeps entries in memory."""

    @property
    def entry_count(self) -> int:
        """How many entries it holds."""


Container = TypeVar("Container", bound=EntryContainer)


class EntryBudget:
    """A bound of `max_entries` for all containers together."""

    def __init__(self, max_entries: int) -> None:
        self.max_entries = max_entries
        self.containers: WeakSet[EntryContainer] = WeakSet()

    def track(self, container: Container) -> Container:
        """Count a container's entries from now on; returns it."""
        self.containers.add(container)
        return container

    @property
    def entry_count(self) -> int:
        """The entries of all containers."""
        return sum(container.entry_count for container in self.containers)

    def require(self, more: int) -> None:
        """Raise EntryBudgetExceededError where so many more entries would exceed the bound."""
        count = self.entry_count
        if count + more > self.max_entries:
            raise EntryBudgetExceededError(
                f"no room in memory beside {count} entries of lists, of {self.max_entries} at most"
            )
