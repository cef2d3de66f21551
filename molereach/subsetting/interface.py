"""Interface of subsetting for discovery and the proxy: endpoint list, staged entries, updates of the subset.

A short list is passed through unchanged: the policy gets the same events as were received.
"""

from collections.abc import Generator, Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol

from molereach.endpoint_address import EndpointAddress
from molereach.policy.interface.events import Endpoint, EndpointListKind, EndpointListReceived, EndpointState

FULL_LIST_KINDS = (EndpointListKind.FULL, EndpointListKind.SAVED)

AddressedEndpoint = tuple[Endpoint, EndpointAddress | None]


class EndpointListError(ValueError):
    """An endpoint list cannot be applied; the current one stays in use. The message is a single line."""


class EntryBudgetExceededError(EndpointListError):
    """Other lists use the memory for entries; there may be enough once one of them has been released."""


@dataclass(frozen=True, slots=True)
class SubsetUpdate:
    """An event for the policy, and the addresses of the endpoints that it names."""

    event: EndpointListReceived
    addresses: dict[str, EndpointAddress]


def removed(endpoint: Endpoint) -> Endpoint:
    """The entry that reports an endpoint as removed."""
    return Endpoint(
        endpoint.name,
        endpoint.zone,
        endpoint.kind,
        endpoint.cell,
        EndpointState.REMOVED,
        endpoint.size,
        endpoint.started_us,
    )


class StagedEndpoints(Protocol):
    """Entries of one list that is received in parts; they are not in use until the list is taken over."""

    def add(self, endpoints: Sequence[Endpoint], addresses: Mapping[str, EndpointAddress]) -> None:
        """Add the entries of the next part.

        Raises EndpointListError if the list would exceed its maximum length, and EntryBudgetExceededError if
        other lists use the memory at present. In both cases no entry of the part is added.
        """


class EndpointList(Protocol):
    """The complete endpoint list, and the subset of it that the policy sees."""

    def stage(self) -> StagedEndpoints:
        """Create the staging for a list that is received in parts."""

    def apply(
        self, event: EndpointListReceived, addresses: Mapping[str, EndpointAddress]
    ) -> SubsetUpdate | None:
        """Apply a full list, or changes, received in one part; returns None if the subset does not change."""

    def take_over(
        self, staged: StagedEndpoints, kind: EndpointListKind, version: int
    ) -> Generator[None, None, SubsetUpdate | None]:
        """Apply a staged list, or staged changes, in steps short enough for one turn of the event loop each.

        The policy keeps the previous subset until the last step. Raises EndpointListError if the list cannot
        be applied.
        """
