"""Converts endpoint lists of discovery to the policy's types.

Names of zones and machine types become their indexes in the settings; wall-clock times become times of the
local monotonic clock.
"""

import json
import logging
import time
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any, NamedTuple

from molereach.discovery.errors import MalformedListError
from molereach.endpoint_address import EndpointAddress, read_address
from molereach.policy.interface.events import Endpoint, EndpointListKind, EndpointListReceived, EndpointState
from molereach.subsetting.interface import StagedEndpoints

log = logging.getLogger(__name__)

LIFECYCLE_STATES = {
    "SERVING": EndpointState.UP,
    "DRAINING": EndpointState.DRAINING,
    "DELETED": EndpointState.REMOVED,
}
# Exceptions that a malformed entry may raise; those of this package and of addresses are ValueErrors.
MALFORMED_ENTRY_ERRORS = (KeyError, TypeError, ValueError, AttributeError, ArithmeticError)
MAX_WEIGHT = 1e6
MAX_CELL = 1e9
MAX_UNIX_TIME_MS = 1e14  # some thousands of years after 1970


class ListedEndpoints(NamedTuple):
    """The valid entries of a list in order, and their addresses by endpoint name."""

    endpoints: list[Endpoint]
    addresses: dict[str, EndpointAddress]


@dataclass(frozen=True, slots=True)
class EndpointUpdate:
    """A full list, or changes to one, as an event for the policy, with the addresses of its endpoints."""

    event: EndpointListReceived
    addresses: dict[str, EndpointAddress]


@dataclass(frozen=True, slots=True)
class StagedEndpointUpdate:
    """A full list, or changes to one, received in several parts and staged; it is applied in steps."""

    staged: StagedEndpoints
    kind: EndpointListKind
    version: int


def number_in_range(value: object, maximum: float) -> float:
    """Return the value if it is a number from 0 to `maximum`, else 0."""
    if isinstance(value, (int, float)) and 0 <= value <= maximum:  # False for NaN
        return float(value)
    return 0.0


class EndpointMapping:
    """Parses endpoint lists into the policy's endpoints.

    Every proxy parses every entry of the list, so the work per entry is kept small.
    """

    def __init__(self, zone_numbers: Mapping[str, int], kind_numbers: Mapping[str, int]) -> None:
        """`zone_numbers`, `kind_numbers`: indexes of zones and machine types in the settings, by name."""
        self.zone_numbers = zone_numbers
        self.kind_numbers = kind_numbers
        # Computed once: to the policy, an endpoint with a different start time is one that has restarted.
        self.clock_offset_us = (time.monotonic_ns() - time.time_ns()) // 1000

    def local_start_us(self, unix_ms: float) -> int:
        """Convert a start time to microseconds of the local monotonic clock.

        0 means long ago and stays 0; no other time becomes 0.
        """
        return (round(unix_ms * 1000) + self.clock_offset_us) or 1 if unix_ms else 0

    def read_endpoint(self, entry: Mapping[str, Any]) -> Endpoint:
        """Parse one entry of a list; raises one of MALFORMED_ENTRY_ERRORS if it has no valid name."""
        name = entry["instanceId"]
        get = entry.get
        if not isinstance(name, str) or not name:
            raise MalformedListError("no name")
        started_ms = number_in_range(get("startedAtMs"), MAX_UNIX_TIME_MS)
        return Endpoint(
            name,
            self.zone_numbers.get(str(get("zone")), -1),
            self.kind_numbers.get(str(get("machineType")), -1),
            int(number_in_range(get("cell"), MAX_CELL)),
            # An endpoint in an unknown state may not be serving, so it gets no new requests.
            LIFECYCLE_STATES.get(str(get("lifecycle")), EndpointState.DRAINING),
            number_in_range(get("weight"), MAX_WEIGHT) or 1.0,
            self.local_start_us(started_ms) if started_ms else 0,
        )

    @staticmethod
    def read_entry_address(entry: Mapping[str, Any], state: EndpointState) -> EndpointAddress | None:
        """Parse the address of an entry; None if it has no valid one and the endpoint gets no new requests.

        A malformed address raises one of MALFORMED_ENTRY_ERRORS if the endpoint is up or the entry names no
        state. Otherwise the entry is valid without one: a drain or removal takes effect in any case.
        """
        try:
            return read_address(entry["hostPort"]) if state is not EndpointState.REMOVED else None
        except MALFORMED_ENTRY_ERRORS:
            if state is EndpointState.UP or "lifecycle" not in entry:
                raise
            return None

    def read_entries(self, listed: Iterable[Any]) -> ListedEndpoints:
        """Parse the entries of a list; malformed ones are skipped, with a single log line for all of them."""
        endpoints: list[Endpoint] = []
        addresses: dict[str, EndpointAddress] = {}
        malformed_count = 0
        first_malformed = ""
        for entry in listed:
            try:
                endpoint = self.read_endpoint(entry)
                address = self.read_entry_address(entry, endpoint.state)
            except MALFORMED_ENTRY_ERRORS as error:
                first_malformed = first_malformed or f"{entry!r:.200}: {error!s:.200}"
                malformed_count += 1
                continue
            endpoints.append(endpoint)
            if address:
                addresses[endpoint.name] = address
        if malformed_count:
            more = f" (and {malformed_count - 1} more)" if malformed_count > 1 else ""
            log.error("malformed endpoint entry skipped%s: %s", more, first_malformed)
        return ListedEndpoints(endpoints, addresses)

    def read_entry_list(self, text: bytes) -> ListedEndpoints:
        """Parse entries that were extracted from a long object, given as a JSON list."""
        return self.read_entries(json.loads(text))

    def read_update(self, value: Mapping[str, Any], kind: EndpointListKind | None = None) -> EndpointUpdate:
        """Parse a full list, or changes to one, from a complete object.

        Raises MalformedListError if a full list names an endpoint twice: either entry may be the right one.
        """
        kind = kind or list_kind(value)
        endpoints, addresses = self.read_entries(value["instances"])
        names = {endpoint.name for endpoint in endpoints}
        if kind is EndpointListKind.FULL and len(names) < len(endpoints):
            raise MalformedListError("the whole list names a server twice")
        event = EndpointListReceived(kind, int(value["generation"]), tuple(endpoints))
        return EndpointUpdate(event, addresses)

    def read_staged_update(
        self, value: Mapping[str, Any], staged: StagedEndpoints, kind: EndpointListKind | None = None
    ) -> StagedEndpointUpdate:
        """Parse the rest of an object whose first entries were staged, and stage its remaining entries."""
        staged.add(*self.read_entries(value["instances"]))
        return StagedEndpointUpdate(staged, kind or list_kind(value), int(value["generation"]))


def list_kind(value: Mapping[str, Any]) -> EndpointListKind:
    """Return whether an object of a watch is a full list or changes to one."""
    return EndpointListKind.FULL if value.get("reset") else EndpointListKind.CHANGES
