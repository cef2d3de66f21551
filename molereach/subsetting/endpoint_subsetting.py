"""The endpoint list as it arrives, and what the policy sees of it: a short list, or a subset of a long one.

A list is long from twice the subset's size on, and short again at the subset's size, so that a list near a
bound does not change its state with every backend. What leaves the subset, also to drain, is reported as
gone: attempts there end as they do on any backend that is removed. A core.
"""

from collections.abc import Generator, Mapping, Sequence

from molereach.endpoint_address import EndpointAddress
from molereach.policy.interface.events import (
    Endpoint,
    EndpointListKind,
    EndpointListReceived,
    EndpointState,
)
from molereach.policy.interface.settings import Settings
from molereach.subsetting.entry_budget import MAX_LIST_COPIES, EntryBudget
from molereach.subsetting.idempotency_groups import scope_keys
from molereach.subsetting.interface import EndpointListError, StagedEndpoints, SubsetUpdate
from molereach.subsetting.packed_records import name_of, unpack
from molereach.subsetting.placement import MIN_PROXIES_PER_BACKEND, min_subset_distance, proxy_position
from molereach.subsetting.staging import STEP_ENTRIES, Staging, entry_of
from molereach.subsetting.subset import EndpointIndex, Subset
from molereach.subsetting.takeover_overlay import TakeoverOverlay

LONG_LIST_FACTOR = 2  # times the subset's size: from there on a list is long
FULL_LIST_KINDS = (EndpointListKind.FULL, EndpointListKind.SAVED)
CHANGE_HEADROOM_ENTRIES = 2 * STEP_ENTRIES  # beyond the bound, between the steps of changes to a list
MAX_SHOWN_NAME_BYTES = 80

Steps = Generator[None, None, SubsetUpdate | None]
AddressedEndpoint = tuple[Endpoint, EndpointAddress | None]
ShortList = dict[str, AddressedEndpoint]


class EndpointSubsetting:
    """The complete list and the subset of it that the policy sees."""

    def __init__(self, settings: Settings, subset_size: int, max_entries: int) -> None:
        """`subset_size` is that of the subset, `max_entries` what the complete list may have."""
        self.proxy_count = settings.proxy_count
        self.subset_size = subset_size
        self.max_entries = max_entries
        self.scope_keys = scope_keys(settings)
        self.short_list: ShortList | None = {}  # None: the list is long, and is in `index`
        self.budget = EntryBudget(MAX_LIST_COPIES * max_entries + CHANGE_HEADROOM_ENTRIES)
        self.index = self.new_index()
        self.subset = Subset(
            proxy_position(settings.proxy_index),
            min_subset_distance(settings.proxy_index, settings.proxy_count),
            subset_size,
        )
        self.reported: dict[bytes, bytes] = {}  # members of the subset by name, as the policy has them
        self.is_stale = False  # the subset has to be selected anew
        self.overlay = TakeoverOverlay(self.stage)

    @property
    def count(self) -> int:
        """Entries of the complete list."""
        return self.index.ring.count if self.short_list is None else len(self.short_list)

    def new_index(self) -> EndpointIndex:
        """An empty list whose entries count against the budget."""
        return self.budget.track(EndpointIndex(self.scope_keys))

    def stage(self) -> Staging:
        """Begin a list that arrives in pieces."""
        return self.budget.track(Staging(self.max_entries, self.budget))

    def apply(
        self, event: EndpointListReceived, addresses: Mapping[str, EndpointAddress]
    ) -> SubsetUpdate | None:
        """Apply a list or changes that arrived in one piece, and so have few entries."""
        if event.kind is EndpointListKind.FAILED:
            return SubsetUpdate(event, {})
        if self.short_list is not None:
            changed = {} if event.kind in FULL_LIST_KINDS else dict(self.short_list)
            apply_to_short_list(changed, event.endpoints, addresses)
            if len(changed) <= LONG_LIST_FACTOR * self.subset_size:
                self.short_list = changed
                if event.kind not in FULL_LIST_KINDS:
                    self.overlay.record_short_list(event.endpoints, addresses)
                return SubsetUpdate(event, dict(addresses))
        staged = Staging(self.max_entries)
        staged.add(event.endpoints, addresses)
        return run_to_end(self.take_over(staged, event.kind, event.version))

    def take_over(self, staged: StagedEndpoints, kind: EndpointListKind, version: int) -> Steps:
        """Apply a staged list in short steps; what the policy has stays in force until the last one."""
        assert isinstance(staged, Staging)
        if kind in FULL_LIST_KINDS:
            yield from self.replace_index(staged)
        else:
            yield from self.change_index(staged)
        was_short = self.short_list is not None
        self.short_list = None
        if self.index.ring.count <= self.subset_size * (LONG_LIST_FACTOR if was_short else 1):
            return self.become_short(kind, version)
        return self.report(kind, version, was_short)

    def replace_index(self, staged: Staging) -> Generator[None, None, None]:
        """Build a new index of a full list, and put it in place of the one in service."""
        index = self.new_index()
        recording = self.overlay.begin()
        yield from self.build_index(index, staged)
        yield from self.overlay.catch_up(index, recording)
        replaced = self.index
        self.index = index
        self.is_stale = True
        if self.short_list is None:  # before the update is reported: who stops here has reported nothing
            yield from replaced.ring.release()

    def change_index(self, staged: Staging) -> Generator[None, None, None]:
        """Apply changes to the index, which is built first where the list was short."""
        if self.short_list is not None:
            self.index = self.new_index()
            self.is_stale = True
            yield from self.build_index(self.index, self.stage_short_list(self.short_list))
        yield from self.apply_changes(staged)

    def stage_short_list(self, short_list: ShortList) -> Staging:
        """The entries of a short list, packed."""
        staged = Staging(self.max_entries)
        for endpoint, address in short_list.values():
            staged.append(entry_of(endpoint, address))
        return staged

    def build_index(self, index: EndpointIndex, staged: Staging) -> Generator[None, None, None]:
        """Fill an index with a full list.

        Raises EndpointListError where the list names a backend twice, as nobody knows which entry holds.
        """
        for entries in staged.consume_slices():
            for position, record, is_removed in entries:
                if not is_removed and index.put(position, record) is not None:
                    shown = name_of(record)[:MAX_SHOWN_NAME_BYTES]
                    raise EndpointListError(f"the whole list names a server twice: {shown!r}")
            yield

    def apply_changes(self, staged: Staging) -> Generator[None, None, None]:
        """Apply changes to the index in steps; raises EndpointListError where the list becomes too long.

        Each change is true by itself: where not all of them are applied, the next call brings them again. An
        addition may stand before a removal, so the list is counted at the end of a step.
        """
        index = self.index
        subset = self.subset
        for entries in staged.consume_slices():
            for position, record, is_removed in entries:
                before = index.remove(position, record) if is_removed else index.put(position, record)
                after = None if is_removed else record
                self.is_stale = self.is_stale or subset.is_affected_by(index, position, before, after)
            self.overlay.record(entries)
            if index.ring.count > self.max_entries + (STEP_ENTRIES if staged.slices else 0):
                raise EndpointListError(f"a list of over {self.max_entries} entries has no room in memory")
            if staged.slices:
                yield

    def become_short(self, kind: EndpointListKind, version: int) -> SubsetUpdate:
        """Keep the list as a short one from now on, and report all of it."""
        listed = [unpack(record) for record in self.index.ring]
        self.short_list = {endpoint.name: (endpoint, address) for endpoint, address in listed}
        self.index = self.new_index()
        self.reported = {}
        self.is_stale = False
        return subset_update(full_kind(kind), version, listed)

    def report(self, kind: EndpointListKind, version: int, was_short: bool) -> SubsetUpdate | None:
        """The subset, or what has changed of it; None where nothing has."""
        is_full = was_short or kind in FULL_LIST_KINDS
        if not (self.is_stale or is_full):
            return None
        if self.is_stale:
            self.subset.select(self.index)
            self.is_stale = False
        before = self.reported
        self.reported = self.subset.members
        if before is self.reported and not was_short:  # nothing in the subset changed: it is not searched
            return None
        if is_full:
            members = [unpack(record) for record in self.reported.values()]
            return subset_update(full_kind(kind), version, members, self.sharing_proxies())
        changes = self.member_changes(before)
        return subset_update(kind, version, changes, self.sharing_proxies()) if changes else None

    def sharing_proxies(self) -> int:
        """How many proxies have each backend in their subsets, on average."""
        up = max(1, self.index.ring.up)
        mean = round(self.proxy_count * len(self.reported) / up)
        return min(self.proxy_count, max(MIN_PROXIES_PER_BACKEND, mean))

    def member_changes(self, before: Mapping[bytes, bytes]) -> list[AddressedEndpoint]:
        """The members that left the subset, as gone, then those that joined it or changed."""
        removed = [
            removed_endpoint(unpack(record)[0])
            for name, record in before.items()
            if name not in self.reported
        ]
        changed = [unpack(record) for name, record in self.reported.items() if before.get(name) != record]
        return [*removed, *changed]


def full_kind(kind: EndpointListKind) -> EndpointListKind:
    """The kind under which a full list is reported."""
    return kind if kind in FULL_LIST_KINDS else EndpointListKind.FULL


def apply_to_short_list(
    short_list: ShortList, endpoints: Sequence[Endpoint], addresses: Mapping[str, EndpointAddress]
) -> None:
    """Apply changes to a short list; a backend keeps its address where a change names none."""
    for endpoint in endpoints:
        before = short_list.pop(endpoint.name, None)
        if endpoint.state is not EndpointState.REMOVED:
            short_list[endpoint.name] = endpoint, addresses.get(endpoint.name) or (before and before[1])


def removed_endpoint(endpoint: Endpoint) -> AddressedEndpoint:
    """The entry that reports an endpoint as gone."""
    removed = Endpoint(
        endpoint.name,
        endpoint.zone,
        endpoint.kind,
        endpoint.cell,
        EndpointState.REMOVED,
        endpoint.size,
        endpoint.started_us,
    )
    return removed, None


def subset_update(
    kind: EndpointListKind, version: int, listed: Sequence[AddressedEndpoint], sharing_proxies: int = 0
) -> SubsetUpdate:
    """An update of these endpoints, with the addresses that are known."""
    endpoints = tuple(endpoint for endpoint, _ in listed)
    event = EndpointListReceived(kind, version, endpoints, sharing_proxies)
    return SubsetUpdate(event, {endpoint.name: address for endpoint, address in listed if address})


def run_to_end(steps: Steps) -> SubsetUpdate | None:
    """All steps at once, for a list of few entries."""
    while True:
        try:
            next(steps)
        except StopIteration as done:
            result: SubsetUpdate | None = done.value
            return result
