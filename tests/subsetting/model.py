"""The view by the letter, over a plain dict and without a ring, and a module that hears of it."""

from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import replace
from random import Random

from molereach.endpoint_address import EndpointAddress
from molereach.policy.interface.events import Endpoint, EndpointListKind, EndpointListReceived, EndpointState
from molereach.policy.interface.settings import DeduplicationScope, Idempotency, RequestClass, Settings
from molereach.policy.load_balancing import LoadBalancer
from molereach.subsetting.endpoint_subsetting import LONG_LIST_FACTOR, EndpointSubsetting
from molereach.subsetting.idempotency_groups import SUBSTITUTE_COUNT
from molereach.subsetting.interface import SubsetUpdate
from molereach.subsetting.packed_records import encode_name
from molereach.subsetting.placement import (
    MIN_PROXIES_PER_BACKEND,
    RING_SIZE,
    backend_position,
    distance_behind,
    proxy_position,
)
from molereach.subsetting.staging import entry_of
from molereach.subsetting.subset import EndpointIndex, Subset
from tests.helpers import SECOND_US, SETTINGS

NOW = 100 * SECOND_US
KEYED = tuple(
    RequestClass(
        SECOND_US,
        3 * SECOND_US,
        idempotency=Idempotency.IDEMPOTENT_WITH_KEY,
        deduplication_scope=group,
        deduplication_window_us=SECOND_US,
    )
    for group in (DeduplicationScope.ZONE, DeduplicationScope.CELL, DeduplicationScope.ALL)
)
KINDS: dict[DeduplicationScope, Callable[[Endpoint], int]] = {
    DeduplicationScope.ZONE: lambda server: server.zone,
    DeduplicationScope.CELL: lambda server: server.cell,
}
Known = dict[str, tuple[Endpoint, EndpointAddress | None]]
Place = Callable[[bytes], int]
UP, DRAINING, GONE = EndpointState.UP, EndpointState.DRAINING, EndpointState.REMOVED


def settings_of(me: int = 0, doors: int = 5, groups: Sequence[DeduplicationScope] = ()) -> Settings:
    rules = tuple(rule for rule in KEYED if rule.deduplication_scope in groups)
    return replace(SETTINGS, proxy_index=me, proxy_count=doors, classes=(*SETTINGS.classes, *rules))


def server(number: int, cells: int = 5, zones: int = 3, **changes: object) -> Endpoint:
    return replace(Endpoint(f"b{number}", number % zones, 0, number % cells, UP, 1.0, 1 + number), **changes)


def address_of(server: Endpoint) -> EndpointAddress | None:
    """Another one with each start; none for one that is gone."""
    return None if server.state is GONE else (f"h{server.name}", 1 + server.started_us % 9_000)


def addresses_of(servers: Iterable[Endpoint]) -> dict[str, EndpointAddress]:
    return {server.name: address for server in servers if (address := address_of(server))}


def entries_of(servers: Iterable[Endpoint]) -> list[tuple[int, bytes, bool]]:
    return [entry_of(server, address_of(server)) for server in servers]


def index_of(servers: Iterable[Endpoint], groups: Sequence[Callable[[bytes], int]] = ()) -> EndpointIndex:
    whole = EndpointIndex(groups)
    for place, record, _ in entries_of(servers):
        whole.put(place, record)
    return whole


def names_of(view: Subset) -> set[str]:
    return {name.decode() for name in view.members}


def naive_min_distance(me: int, doors: int) -> int:
    far = sorted(
        distance_behind(proxy_position(other), proxy_position(me)) for other in range(doors) if other != me
    )
    return RING_SIZE if doors <= MIN_PROXIES_PER_BACKEND else far[MIN_PROXIES_PER_BACKEND - 1]


def naive_subset(
    known: Mapping[str, tuple[Endpoint, EndpointAddress | None]],
    settings: Settings,
    size: int,
    place: Place = backend_position,
) -> Known:
    """Those up, sorted by how far they lie behind the front door, each with the next ones of its groups."""
    at = {name: place(encode_name(name)) for name in known}
    door, least = (
        proxy_position(settings.proxy_index),
        naive_min_distance(settings.proxy_index, settings.proxy_count),
    )
    up = [name for name in known if known[name][0].state is UP]
    kinds = [
        KINDS[rule.deduplication_scope] for rule in settings.classes if rule.deduplication_scope in KINDS
    ]
    view: Known = {}
    for name in sorted(sorted(up, reverse=True), key=lambda name: distance_behind(at[name], door)):
        if len(view) >= size and distance_behind(at[name], door) >= least:
            break
        view[name] = known[name]
        for of in kinds:
            alike = [other for other in up if of(known[other][0]) == of(known[name][0])]
            after = sorted(distance_behind(at[name], at[other]) or RING_SIZE for other in alike)
            for far in after[: min(SUBSTITUTE_COUNT, len(alike) - 1)]:
                standin = (at[name] + far) % RING_SIZE
                view |= {other: known[other] for other in alike if at[other] == standin}
    return view


class World:
    """The true list, the routing that hears of it, and the module that hears of the routing."""

    def __init__(
        self, settings: Settings, size: int, most: int = 1_000, place: Place = backend_position
    ) -> None:
        self.settings, self.size, self.place = settings, size, place
        self.routing = EndpointSubsetting(settings, size, most)
        self.fleet = LoadBalancer(settings, Random(1))
        self.known: Known = {}
        self.addresses: dict[str, EndpointAddress] = {}
        self.long = False

    @property
    def told(self) -> Known:
        entries = (known.endpoint for known in self.fleet.backends.values())
        return {entry.name: (entry, self.addresses.get(entry.name)) for entry in entries}

    @property
    def wanted(self) -> Known:
        if not self.long:
            return dict(self.known)
        return naive_subset(self.known, self.settings, self.size, self.place)

    def hear(self, seen: SubsetUpdate | None) -> None:
        if seen:
            self.addresses |= seen.addresses
            self.fleet.apply_endpoint_list(NOW, seen.event)

    def change(self, kind: EndpointListKind, servers: Sequence[Endpoint]) -> None:
        """The model's own way with news."""
        if kind is not EndpointListKind.CHANGES:
            self.known = {}
        for entry in servers:
            self.known.pop(entry.name, None)
            if entry.state is not GONE:
                self.known[entry.name] = entry, address_of(entry)
        self.long = len(self.known) > self.size * (1 if self.long else LONG_LIST_FACTOR)

    def give(
        self, kind: EndpointListKind, servers: Sequence[Endpoint], parts: int = 0
    ) -> tuple[SubsetUpdate | None, int]:
        """News, whole or in that many parts; what came back, and in how many steps."""
        steps = 0
        if parts:
            staged = self.routing.stage()
            for part in range(parts):
                mine = servers[part::parts]
                staged.add(mine, addresses_of(mine))
            takeover = self.routing.take_over(staged, kind, 7)
            while True:
                try:
                    next(takeover)
                    steps += 1
                except StopIteration as done:
                    return done.value, steps
        return self.routing.apply(EndpointListReceived(kind, 7, tuple(servers)), addresses_of(servers)), steps
