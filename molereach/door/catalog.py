"""Discovery's lists as the module reads them: names become the settings' numbers, times our clock's."""

import logging
import time
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from fennelwinch import interface as i
from molereach.door.config import Address, Config, ConfigError, read_address

log = logging.getLogger(__name__)

STATES = {
    "SERVING": i.ServerState.UP,
    "DRAINING": i.ServerState.DRAINING,
    "DELETED": i.ServerState.GONE,
}
# What an entry that makes no sense runs into.
SENSELESS = (KeyError, TypeError, ValueError, AttributeError, ArithmeticError, ConfigError)
MOST_WEIGHT = 1e6
MOST_CELL = 1e9
MOST_TIME_MS = 1e14  # some thousands of years


@dataclass(frozen=True, slots=True)
class News:
    """News of the list for the module, and the addresses that go with it."""

    event: i.ServerList
    addresses: dict[str, Address]


class Catalog:
    """Reads discovery's lists, with names turned to the settings' numbers and times to our clock."""

    def __init__(self, config: Config) -> None:
        self.zones, self.kinds = config.zone_numbers, config.kind_numbers
        # Fixed once: the module takes a backend whose start time differs for one that has restarted.
        self.offset_us = (time.monotonic_ns() - time.time_ns()) // 1000

    def started_us(self, unix_ms: float) -> int:
        """0 stays 0, for long ago; nothing else becomes 0."""
        return (round(unix_ms * 1000) + self.offset_us) or 1 if unix_ms else 0

    @staticmethod
    def number(entry: Mapping[str, Any], name: str, most: float) -> float:
        """A number that is finite and in range; 0 for one that says nothing."""
        value = entry.get(name) or 0
        known = isinstance(value, int | float) and 0 <= value <= most  # also false for what is no number
        return float(value) if known else 0.0

    def server(self, entry: Mapping[str, Any]) -> i.Server:
        name = entry["instanceId"]
        if not isinstance(name, str) or not name:
            raise ValueError("no name")
        return i.Server(
            name=name,
            zone=self.zones.get(str(entry.get("zone")), -1),
            kind=self.kinds.get(str(entry.get("machineType")), -1),
            cell=int(self.number(entry, "cell", MOST_CELL)),
            # In a state that we do not know it is not said to serve: nothing new goes there.
            state=STATES.get(str(entry.get("lifecycle")), i.ServerState.DRAINING),
            size=self.number(entry, "weight", MOST_WEIGHT) or 1.0,
            started_us=self.started_us(self.number(entry, "startedAtMs", MOST_TIME_MS)),
        )

    @staticmethod
    def address(entry: Mapping[str, Any], state: i.ServerState) -> Address | None:
        """One that is to get nothing new must be heard of in any case, and needs no address for that."""
        try:
            return read_address(entry["hostPort"]) if state is not i.ServerState.GONE else None
        except SENSELESS:
            if state is i.ServerState.UP or "lifecycle" not in entry:
                raise
            return None

    def news(self, value: Mapping[str, Any], kind: i.ListKind | None = None) -> News:
        """A list or changes to it; an entry that makes no sense is passed over."""
        kind = kind or (i.ListKind.FULL if value.get("reset") else i.ListKind.CHANGES)
        servers: list[i.Server] = []
        addresses: dict[str, Address] = {}
        for entry in value["instances"]:
            try:
                server = self.server(entry)
                address = self.address(entry, server.state)
            except SENSELESS as error:
                log.error("passed over an entry of the list: %.200r: %.200s", entry, error)
                continue
            servers.append(server)
            if address:
                addresses[server.name] = address
        return News(i.ServerList(kind, int(value["generation"]), tuple(servers)), addresses)
