"""Endpoint lists as the policy reads them: names become the settings' numbers, times the local clock's."""

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
# What reading a malformed entry may raise; errors of this package and of addresses are ValueErrors.
MALFORMED_ENTRY_ERRORS = (KeyError, TypeError, ValueError, AttributeError, ArithmeticError)
MAX_WEIGHT = 1e6
MAX_CELL = 1e9
MAX_UNIX_TIME_MS = 1e14  # some thousands of years


class ListedEndpoints(NamedTuple):
    """Entries of a list in their order, and the addresses that they give, by the endpoint's name."""

    endpoints: list[Endpoint]
    addresses: dict[str, EndpointAddress]


@dataclass(frozen=True, slots=True)
class EndpointUpdate:
    """A list, or changes to one, for the policy, and the addresses that go with it."""

    event: EndpointListReceived
    addresses: dict[str, EndpointAddress]


@dataclass(frozen=True, slots=True)
class StagedEndpointUpdate:
    """A list, or changes to one, that came in parts: what was staged is yet to be applied, step by step."""

    staged: StagedEndpoints
    kind: EndpointListKind
    version: int


def number_in_range(value: object, maximum: float) -> float:
    """The value where it is a number from 0 to `maximum`, else 0."""
    if isinstance(value, (int, float)) and 0 <= value <= maximum:
        return float(value)  # the comparison is also false for NaN
    return 0.0


class EndpointMapping:
    """Reads endpoint lists, with names turned to the settings' numbers and times to the local clock.

    Every proxy reads every entry: the work for each is kept short.
    """

    def __init__(self, zone_numbers: Mapping[str, int], kind_numbers: Mapping[str, int]) -> None:
        """The settings' numbers of zones and of machine types, by name."""
        self.zone_numbers = zone_numbers
        self.kind_numbers = kind_numbers
        # Fixed once: the policy takes an endpoint whose start time differs for one that has restarted.
        self.clock_offset_us = (time.monotonic_ns() - time.time_ns()) // 1000

    def started_us(self, unix_ms: float) -> int:
        """A start time in microseconds of the local clock. 0 means long ago and stays; nothing else becomes
        0.
        """
        return (round(unix_ms * 1000) + self.clock_offset_us) or 1 if unix_ms else 0

    def read_endpoint(self, entry: Mapping[str, Any]) -> Endpoint:
        """One entry of a list; one of MALFORMED_ENTRY_ERRORS where it has no usable name."""
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
            # An unknown state does not say that the endpoint serves: no new requests go there.
            LIFECYCLE_STATES.get(str(get("lifecycle")), EndpointState.DRAINING),
            number_in_range(get("weight"), MAX_WEIGHT) or 1.0,
            self.started_us(started_ms) if started_ms else 0,
        )

    @staticmethod
    def read_entry_address(entry: Mapping[str, Any], state: EndpointState) -> EndpointAddress | None:
        """The address that an entry gives; an error only where the endpoint may get new requests.

        That an endpoint drains or is removed must count in any case, and needs no address.
        """
        try:
            return read_address(entry["hostPort"]) if state is not EndpointState.REMOVED else None
        except MALFORMED_ENTRY_ERRORS:
            if state is EndpointState.UP or "lifecycle" not in entry:
                raise
            return None

    def read_entries(self, listed: Iterable[Any]) -> ListedEndpoints:
        """The entries of a list; malformed ones are skipped, with one log line for all of them."""
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
        """Entries that were extracted from a long object, as a JSON list."""
        return self.read_entries(json.loads(text))

    def read_update(self, value: Mapping[str, Any], kind: EndpointListKind | None = None) -> EndpointUpdate:
        """A list, or changes to one, from an object that came complete.

        MalformedListError where a full list names an endpoint twice: either entry may be the right one.
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
        """The end of an object whose entries have been staged; those that are left in it are staged too."""
        staged.add(*self.read_entries(value["instances"]))
        return StagedEndpointUpdate(staged, kind or list_kind(value), int(value["generation"]))


def list_kind(value: Mapping[str, Any]) -> EndpointListKind:
    """Whether an object of a watch replaces the list or changes it."""
    return EndpointListKind.FULL if value.get("reset") else EndpointListKind.CHANGES
