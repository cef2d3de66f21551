"""What discovery and the proxy use of subsetting: an endpoint list, staged entries, updates of the subset.

A list that is no longer than the subset passes through unchanged: the same events come out as went in.
"""

from collections.abc import Generator, Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol

from molereach.endpoint_address import EndpointAddress
from molereach.policy.interface.events import Endpoint, EndpointListKind, EndpointListReceived


class EndpointListError(ValueError):
    """An endpoint list that cannot be applied. The text is one line; the list in service stays in force."""


class EntryBudgetExceededError(EndpointListError):
    """Other lists use up the memory for entries; there may be enough once one of them is released."""


@dataclass(frozen=True, slots=True)
class SubsetUpdate:
    """An event for the policy, and the addresses of the endpoints that it names."""

    event: EndpointListReceived
    addresses: dict[str, EndpointAddress]


class StagedEndpoints(Protocol):
    """Entries of one list that arrives in pieces; none of them is in force before the list is taken over."""

    def add(self, servers: Sequence[Endpoint], addresses: Mapping[str, EndpointAddress]) -> None:
        """Add the entries of the next piece.

        Raises EndpointListError where the list would exceed its own bound, EntryBudgetExceededError where
        other lists use the memory just now. In both cases nothing of the piece was added.
        """


class EndpointList(Protocol):
    """The complete endpoint list, and the subset of it that the policy sees."""

    def stage(self) -> StagedEndpoints:
        """Begin a list of which a first piece has arrived."""

    def apply(
        self, event: EndpointListReceived, addresses: Mapping[str, EndpointAddress]
    ) -> SubsetUpdate | None:
        """Apply a list or changes that arrived in one piece; None where the subset does not change."""

    def take_over(
        self, staged: StagedEndpoints, kind: EndpointListKind, version: int
    ) -> Generator[None, None, SubsetUpdate | None]:
        """Apply a staged list in steps, each short enough for one turn of the event loop.

        The list before stays in force until the last step. Raises EndpointListError where it cannot be
        applied.
        """
