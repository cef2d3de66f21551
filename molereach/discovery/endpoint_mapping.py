"""Discovery's lists as the module reads them: names become the settings' numbers, times our clock's."""

import json
import logging
import time
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any

from molereach.policy.interface.events import Endpoint, EndpointListKind, EndpointListReceived, EndpointState
from molereach.proxy.config import Address, Config, ConfigError, read_address
from molereach.subsetting.interface import StagedEndpoints

log = logging.getLogger(__name__)

STATES = {
    "SERVING": EndpointState.UP,
    "DRAINING": EndpointState.DRAINING,
    "DELETED": EndpointState.REMOVED,
}
# What an entry that makes no sense runs into.
SENSELESS = (KeyError, TypeError, ValueError, AttributeError, ArithmeticError, ConfigError)
MOST_WEIGHT = 1e6
MOST_CELL = 1e9
MOST_TIME_MS = 1e14  # some thousands of years


Read = tuple[list[Endpoint], dict[str, Address]]  # entries in their order, and the addresses that they give


@dataclass(frozen=True, slots=True)
class News:
    """News of the list for the module, and the addresses that go with it."""

    event: EndpointListReceived
    addresses: dict[str, Address]


@dataclass(frozen=True, slots=True)
class LongNews:
    """News of a list that came in parts: what is to be taken over, in turns."""

    staged: StagedEndpoints
    kind: EndpointListKind
    version: int


def number(value: object, most: float) -> float:
    """A number that is finite and in range; 0 for one that says nothing."""
    if isinstance(value, (int, float)) and 0 <= value <= most:
        return float(value)  # the range is also false for what is no number
    return 0.0


class Catalog:
    """Reads discovery's lists, with names turned to the settings' numbers and times to our clock.

    Every front door reads every entry: what is done for each is kept short.
    """

    def __init__(self, config: Config) -> None:
        self.zones, self.kinds = config.zone_numbers, config.kind_numbers
        # Fixed once: the module takes a backend whose start time differs for one that has restarted.
        self.offset_us = (time.monotonic_ns() - time.time_ns()) // 1000

    def started_us(self, unix_ms: float) -> int:
        """0 stays 0, for long ago; nothing else becomes 0."""
        return (round(unix_ms * 1000) + self.offset_us) or 1 if unix_ms else 0

    def server(self, entry: Mapping[str, Any]) -> Endpoint:
        name, get = entry["instanceId"], entry.get
        if not isinstance(name, str) or not name:
            raise ValueError("no name")
        started_ms = number(get("startedAtMs"), MOST_TIME_MS)
        return Endpoint(
            name,
            self.zones.get(str(get("zone")), -1),
            self.kinds.get(str(get("machineType")), -1),
            int(number(get("cell"), MOST_CELL)),
            # In a state that we do not know it is not said to serve: nothing new goes there.
            STATES.get(str(get("lifecycle")), EndpointState.DRAINING),
            number(get("weight"), MOST_WEIGHT) or 1.0,
            self.started_us(started_ms) if started_ms else 0,
        )

    @staticmethod
    def address(entry: Mapping[str, Any], state: EndpointState) -> Address | None:
        """One that is to get nothing new must be heard of in any case, and needs no address for that."""
        try:
            return read_address(entry["hostPort"]) if state is not EndpointState.REMOVED else None
        except SENSELESS:
            if state is EndpointState.UP or "lifecycle" not in entry:
                raise
            return None

    def entries(self, listed: Iterable[Any]) -> Read:
        """Entries of a list; those that make no sense are passed over, with one line for all of them."""
        servers: list[Endpoint] = []
        addresses: dict[str, Address] = {}
        odd, first = 0, ""
        for entry in listed:
            try:
                server = self.server(entry)
                address = self.address(entry, server.state)
            except SENSELESS as error:
                first = first or f"{entry!r:.200}: {error!s:.200}"
                odd += 1
                continue
            servers.append(server)
            if address:
                addresses[server.name] = address
        if odd:
            more = f" (and {odd - 1} more)" if odd > 1 else ""
            log.error("passed over an entry of the list%s: %s", more, first)
        return servers, addresses

    def part(self, text: bytes) -> Read:
        """Entries of an object that comes in parts."""
        return self.entries(json.loads(text))

    def news(self, value: Mapping[str, Any], kind: EndpointListKind | None = None) -> News:
        """A list or changes to it. A whole list that names a server twice is a ValueError: which of the two
        holds, nobody can say."""
        kind = kind or kind_of(value)
        servers, addresses = self.entries(value["instances"])
        if kind is EndpointListKind.FULL and len({server.name for server in servers}) < len(servers):
            raise ValueError("the whole list names a server twice")
        return News(EndpointListReceived(kind, int(value["generation"]), tuple(servers)), addresses)

    def long_news(
        self, value: Mapping[str, Any], staged: StagedEndpoints, kind: EndpointListKind | None = None
    ) -> LongNews:
        """The end of an object whose parts have been staged; what came with it is staged too."""
        staged.add(*self.entries(value["instances"]))
        return LongNews(staged, kind or kind_of(value), int(value["generation"]))


def kind_of(value: Mapping[str, Any]) -> EndpointListKind:
    return EndpointListKind.FULL if value.get("reset") else EndpointListKind.CHANGES
