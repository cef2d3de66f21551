"""The measured state of the fleet on which decisions are based, and its totals by cell and zone.

Ratios are whole thousandths, so that totals are the same in any order of addition and on any machine. The
capacity of a server is its warmth: 0 for one that has just started, 1000 for one that is fully warm. Its load
is the part of that capacity in use.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Annotated

from msgspec import Meta

from molereach.coordination.interface.identifiers import MAX_MEMBERS, Name, WireStruct
from molereach.upkeep.requests.work_item import MachineKind, TimestampMs

PERMILLE = 1000
MAX_SERVERS = 512
MAX_ORDERED_MACHINES = 256
MAX_VOTERS = 7
MAX_ADDRESS_CHARS = 64

Permille = Annotated[int, Meta(ge=0, le=PERMILLE)]
Address = Annotated[str, Meta(max_length=MAX_ADDRESS_CHARS, pattern=r"^[A-Za-z0-9.:\[\]_-]*$")]


class ServerFacts(WireStruct, frozen=True, array_like=True):
    """One backend server, as measured."""

    name: Name
    address: Address
    cell: Name
    zone: Name
    ready: bool
    warmth: Permille
    load: Permille


class ProxyFacts(WireStruct, frozen=True, array_like=True):
    """One front door. `number` is its position in the ring; the set of a customer is a run of that ring."""

    name: Name
    address: Address
    cell: Name
    zone: Name
    ready: bool
    number: Annotated[int, Meta(ge=0, lt=MAX_MEMBERS)]


class FleetFacts(WireStruct, frozen=True):
    """All facts of the fleet, measured at `at_ms` or later, in the time of log entries."""

    at_ms: TimestampMs = 0
    servers: Annotated[tuple[ServerFacts, ...], Meta(max_length=MAX_SERVERS)] = ()
    doors: Annotated[tuple[ProxyFacts, ...], Meta(max_length=MAX_MEMBERS)] = ()  # front doors
    panel: Annotated[tuple[Name, ...], Meta(max_length=MAX_VOTERS)] = ()  # the voters of the log
    spares: Annotated[int, Meta(ge=0, le=MAX_MEMBERS)] = 0  # front doors that could become voters
    ordered: Annotated[
        tuple[Name, ...], Meta(max_length=MAX_ORDERED_MACHINES)
    ] = ()  # machines under an order that is not of this package


@dataclass(slots=True)
class GroupTotals:
    """Totals over the ready servers of one cell or zone."""

    ready: int = 0
    capacity: int = 0
    demand: int = 0  # the sum of capacity times load, so in units of capacity times PERMILLE


class Fleet:
    """Indexes facts by name and computes the totals, once for each set of facts."""

    def __init__(self, facts: FleetFacts) -> None:
        self.facts = facts
        self.servers: Mapping[str, ServerFacts] = {each.name: each for each in facts.servers}
        self.proxies: Mapping[str, ProxyFacts] = {each.name: each for each in facts.doors}
        self.kinds: Mapping[str, MachineKind] = {
            **dict.fromkeys(self.servers, MachineKind.SERVER),
            **dict.fromkeys(self.proxies, MachineKind.DOOR),
        }
        self.ring = tuple(sorted(facts.doors, key=lambda proxy: proxy.number))
        self.ordered, self.voters = frozenset(facts.ordered), frozenset(facts.panel)
        self.group_totals: dict[tuple[str, str], GroupTotals] = {}
        for server in facts.servers:
            for group in groups_of(server):
                self._add(self.group_totals.setdefault(group, GroupTotals()), server)

    @staticmethod
    def _add(total: GroupTotals, server: ServerFacts) -> None:
        if server.ready:
            total.ready += 1
            total.capacity += server.warmth
            total.demand += server.warmth * server.load

    def get(self, name: str) -> ServerFacts | ProxyFacts | None:
        """The facts of a machine of either kind."""
        return self.servers.get(name) or self.proxies.get(name)


def groups_of(machine: ServerFacts | ProxyFacts) -> tuple[tuple[str, str], tuple[str, str]]:
    """The cell and the zone of a machine."""
    return ("cell", machine.cell), ("zone", machine.zone)


def find_inconsistency(facts: FleetFacts) -> str:
    """Describes in one line why the facts contradict each other; empty if they don't."""
    names = [each.name for each in facts.servers] + [each.name for each in facts.doors]
    if len(set(names)) != len(names):
        return "a machine is there twice"
    if len({proxy.number for proxy in facts.doors}) != len(facts.doors):
        return "two front doors have one number"
    return ""
