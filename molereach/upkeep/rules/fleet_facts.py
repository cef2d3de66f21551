"""What decisions rest on, as it was measured, and sums of it by cell and zone.

Shares are whole thousandths, so that sums are the same in any order and on any machine. A server's capacity
is its warmth: one that is cold bears nothing, a warm one 1000. Its load is the part of that in use.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Annotated

from msgspec import Meta

from molereach.coordination.interface.identifiers import MAX_MEMBERS, Name, WireStruct
from molereach.upkeep.requests.work_item import Kind, Ms

WHOLE = 1000
MOST_SERVERS = 512
MOST_ORDERED = 256
MOST_SEATS = 7
MOST_ADDRESS_CHARS = 64

Share = Annotated[int, Meta(ge=0, le=WHOLE)]
Address = Annotated[str, Meta(max_length=MOST_ADDRESS_CHARS, pattern=r"^[A-Za-z0-9.:\[\]_-]*$")]


class Server(WireStruct, frozen=True, array_like=True):
    """One member's server, as it is measured."""

    name: Name
    address: Address
    cell: Name
    zone: Name
    ready: bool
    warmth: Share
    load: Share


class Door(WireStruct, frozen=True, array_like=True):
    """One front door; `number` is its place in the ring of which customers' sets are runs."""

    name: Name
    address: Address
    cell: Name
    zone: Name
    ready: bool
    number: Annotated[int, Meta(ge=0, lt=MAX_MEMBERS)]


class Facts(WireStruct, frozen=True):
    """All of them, measured at `at_ms` or later, in the time of entries."""

    at_ms: Ms = 0
    servers: Annotated[tuple[Server, ...], Meta(max_length=MOST_SERVERS)] = ()
    doors: Annotated[tuple[Door, ...], Meta(max_length=MAX_MEMBERS)] = ()
    panel: Annotated[tuple[Name, ...], Meta(max_length=MOST_SEATS)] = ()
    spares: Annotated[int, Meta(ge=0, le=MAX_MEMBERS)] = 0  # front doors that could take a seat
    ordered: Annotated[tuple[Name, ...], Meta(max_length=MOST_ORDERED)] = ()  # under an order of another


@dataclass(slots=True)
class Sum:
    """Of the servers of one cell or zone that are ready."""

    ready: int = 0
    capacity: int = 0
    demand: int = 0  # in capacity times WHOLE


class Fleet:
    """Facts by name, and their sums; made once for each set of facts."""

    def __init__(self, facts: Facts) -> None:
        self.facts = facts
        self.servers: Mapping[str, Server] = {each.name: each for each in facts.servers}
        self.doors: Mapping[str, Door] = {each.name: each for each in facts.doors}
        self.kinds: Mapping[str, Kind] = {
            **dict.fromkeys(self.servers, Kind.SERVER),
            **dict.fromkeys(self.doors, Kind.DOOR),
        }
        self.ring = tuple(sorted(facts.doors, key=lambda door: door.number))
        self.ordered, self.panel = frozenset(facts.ordered), frozenset(facts.panel)
        self.sums: dict[tuple[str, str], Sum] = {}
        for server in facts.servers:
            for group in groups(server):
                self._add(self.sums.setdefault(group, Sum()), server)

    @staticmethod
    def _add(total: Sum, server: Server) -> None:
        if server.ready:
            total.ready += 1
            total.capacity += server.warmth
            total.demand += server.warmth * server.load

    def get(self, name: str) -> Server | Door | None:
        return self.servers.get(name) or self.doors.get(name)


def groups(machine: Server | Door) -> tuple[tuple[str, str], tuple[str, str]]:
    """The cell and the zone that a machine is in."""
    return ("cell", machine.cell), ("zone", machine.zone)


def unsound(facts: Facts) -> str:
    """What no fleet can be like, in one line; empty where all is well."""
    names = [each.name for each in facts.servers] + [each.name for each in facts.doors]
    if len(set(names)) != len(names):
        return "a machine is there twice"
    if len({door.number for door in facts.doors}) != len(facts.doors):
        return "two front doors have one number"
    return ""
