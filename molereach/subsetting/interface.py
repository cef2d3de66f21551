"""What the front door hands to its view of the list, and what it gets back for the decision module.

A list that is no longer than the view passes through as it came: same events in, same events out.
"""

from collections.abc import Generator, Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol

from molereach.policy.interface.events import Endpoint, EndpointListKind, EndpointListReceived

Address = tuple[str, int]


class ListError(ValueError):
    """A list that cannot be taken over; the text is one line, and the list before it holds."""


class RoomError(ListError):
    """There is no room for it beside the lists that are held: it may be had once one of them has gone."""


@dataclass(frozen=True, slots=True)
class Seen:
    """News for the module, and the addresses of the servers that it names."""

    event: EndpointListReceived
    addresses: dict[str, Address]


class Staged(Protocol):
    """Entries of one object that comes in parts; nothing of them counts until they are taken over."""

    def add(self, servers: Sequence[Endpoint], addresses: Mapping[str, Address]) -> None:
        """The next part; ListError where the list would need more memory than it may have, RoomError where
        others have it just now. Then nothing of the part was added."""


class Lists(Protocol):
    """The whole list, and the view of it."""

    def stage(self) -> Staged:
        """For an object of which a part has come."""

    def take(self, event: EndpointListReceived, addresses: Mapping[str, Address]) -> Seen | None:
        """An object that came whole; None where nothing of it concerns the view."""

    def take_over(
        self, staged: Staged, kind: EndpointListKind, version: int
    ) -> Generator[None, None, Seen | None]:
        """All that was staged; each step is short enough for one turn of the loop, and the list before holds
        until the last. ListError where it cannot be."""
