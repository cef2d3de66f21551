"""A simple reference model of the subset, without a ring, and its comparison with the policy's state."""

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

NOW_US = 100 * SECOND_US
CLASSES_WITH_KEY = tuple(
    RequestClass(
        SECOND_US,
        3 * SECOND_US,
        idempotency=Idempotency.IDEMPOTENT_WITH_KEY,
        deduplication_scope=scope,
        deduplication_window_us=SECOND_US,
    )
    for scope in (DeduplicationScope.ZONE, DeduplicationScope.CELL, DeduplicationScope.ALL)
)
SCOPE_OF: dict[DeduplicationScope, Callable[[Endpoint], int]] = {
    DeduplicationScope.ZONE: lambda endpoint: endpoint.zone,
    DeduplicationScope.CELL: lambda endpoint: endpoint.cell,
}
EndpointsByName = dict[str, tuple[Endpoint, EndpointAddress | None]]
PositionFunction = Callable[[bytes], int]
UP, DRAINING, REMOVED = EndpointState.UP, EndpointState.DRAINING, EndpointState.REMOVED


def settings_with(
    proxy_index: int = 0, proxy_count: int = 5, scopes: Sequence[DeduplicationScope] = ()
) -> Settings:
    classes = tuple(each for each in CLASSES_WITH_KEY if each.deduplication_scope in scopes)
    return replace(
        SETTINGS, proxy_index=proxy_index, proxy_count=proxy_count, classes=(*SETTINGS.classes, *classes)
    )


def endpoint(number: int, cells: int = 5, zones: int = 3, **changes: object) -> Endpoint:
    return replace(Endpoint(f"b{number}", number % zones, 0, number % cells, UP, 1.0, 1 + number), **changes)


def address_of(endpoint: Endpoint) -> EndpointAddress | None:
    """An address that differs for each start; None for a removed endpoint."""
    return None if endpoint.state is REMOVED else (f"h{endpoint.name}", 1 + endpoint.started_us % 9_000)


def addresses_of(endpoints: Iterable[Endpoint]) -> dict[str, EndpointAddress]:
    return {endpoint.name: address for endpoint in endpoints if (address := address_of(endpoint))}


def entries_of(endpoints: Iterable[Endpoint]) -> list[tuple[int, bytes, bool]]:
    return [entry_of(endpoint, address_of(endpoint)) for endpoint in endpoints]


def index_of(
    endpoints: Iterable[Endpoint], scope_keys: Sequence[Callable[[bytes], int]] = ()
) -> EndpointIndex:
    index = EndpointIndex(scope_keys)
    for position, record, _ in entries_of(endpoints):
        index.put(position, record)
    return index


def member_names(subset: Subset) -> set[str]:
    return {name.decode() for name in subset.members}


def naive_min_distance(proxy_index: int, proxy_count: int) -> int:
    distances = sorted(
        distance_behind(proxy_position(other), proxy_position(proxy_index))
        for other in range(proxy_count)
        if other != proxy_index
    )
    return RING_SIZE if proxy_count <= MIN_PROXIES_PER_BACKEND else distances[MIN_PROXIES_PER_BACKEND - 1]


def naive_subset(
    listed: Mapping[str, tuple[Endpoint, EndpointAddress | None]],
    settings: Settings,
    size: int,
    position_of: PositionFunction = backend_position,
) -> EndpointsByName:
    """The endpoints that are up, by distance behind the proxy, each with its substitutes."""
    positions = {name: position_of(encode_name(name)) for name in listed}
    proxy, min_distance = (
        proxy_position(settings.proxy_index),
        naive_min_distance(settings.proxy_index, settings.proxy_count),
    )
    up = [name for name in listed if listed[name][0].state is UP]
    scope_keys = [
        SCOPE_OF[each.deduplication_scope]
        for each in settings.classes
        if each.deduplication_scope in SCOPE_OF
    ]
    subset: EndpointsByName = {}
    for name in sorted(sorted(up, reverse=True), key=lambda name: distance_behind(positions[name], proxy)):
        if len(subset) >= size and distance_behind(positions[name], proxy) >= min_distance:
            break
        subset[name] = listed[name]
        for scope_of in scope_keys:
            group = [other for other in up if scope_of(listed[other][0]) == scope_of(listed[name][0])]
            distances_after = sorted(
                distance_behind(positions[name], positions[other]) or RING_SIZE for other in group
            )
            for distance in distances_after[: min(SUBSTITUTE_COUNT, len(group) - 1)]:
                substitute = (positions[name] + distance) % RING_SIZE
                subset |= {other: listed[other] for other in group if positions[other] == substitute}
    return subset


class SubsettingModel:
    """`EndpointSubsetting` with a load balancer that gets its updates, and the reference model of both."""

    def __init__(
        self,
        settings: Settings,
        size: int,
        max_entries: int = 1_000,
        position_of: PositionFunction = backend_position,
    ) -> None:
        self.settings, self.size, self.position_of = settings, size, position_of
        self.subsetting = EndpointSubsetting(settings, size, max_entries)
        self.load_balancer = LoadBalancer(settings, Random(1))
        self.listed: EndpointsByName = {}
        self.addresses: dict[str, EndpointAddress] = {}
        self.is_long = False

    @property
    def reported(self) -> EndpointsByName:
        """The endpoints that the load balancer has, with the last addresses that were reported."""
        endpoints = (backend.endpoint for backend in self.load_balancer.backends.values())
        return {endpoint.name: (endpoint, self.addresses.get(endpoint.name)) for endpoint in endpoints}

    @property
    def expected(self) -> EndpointsByName:
        if not self.is_long:
            return dict(self.listed)
        return naive_subset(self.listed, self.settings, self.size, self.position_of)

    def report(self, update: SubsetUpdate | None) -> None:
        if update:
            self.addresses |= update.addresses
            self.load_balancer.apply_endpoint_list(NOW_US, update.event)

    def update_model(self, kind: EndpointListKind, endpoints: Sequence[Endpoint]) -> None:
        """Apply a full list, or changes, to the reference model."""
        if kind is not EndpointListKind.CHANGES:
            self.listed = {}
        for endpoint in endpoints:
            self.listed.pop(endpoint.name, None)
            if endpoint.state is not REMOVED:
                self.listed[endpoint.name] = endpoint, address_of(endpoint)
        self.is_long = len(self.listed) > self.size * (1 if self.is_long else LONG_LIST_FACTOR)

    def apply(
        self, kind: EndpointListKind, endpoints: Sequence[Endpoint], part_count: int = 0
    ) -> tuple[SubsetUpdate | None, int]:
        """Apply a full list, or changes, unstaged or staged in parts; the update and the number of steps."""
        step_count = 0
        if part_count:
            staged = self.subsetting.stage()
            for number in range(part_count):
                part = endpoints[number::part_count]
                staged.add(part, addresses_of(part))
            steps = self.subsetting.take_over(staged, kind, 7)
            while True:
                try:
                    next(steps)
                    step_count += 1
                except StopIteration as stopped:
                    return stopped.value, step_count
        return self.subsetting.apply(
            EndpointListReceived(kind, 7, tuple(endpoints)), addresses_of(endpoints)
        ), step_count
