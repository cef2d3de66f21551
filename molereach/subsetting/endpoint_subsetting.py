"""The endpoint list of discovery, reported to the policy as a whole if it is short, else as a subset.

A list becomes long when it has more than twice as many entries as the subset, and short again when it has no
more than the subset. With this hysteresis, a list near a limit does not change between the two with every
backend. A backend that leaves the subset, also because it drains, is reported as removed, so attempts on it
end as on any removed backend. No I/O.
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
from molereach.subsetting.interface import (
    FULL_LIST_KINDS,
    AddressedEndpoint,
    EndpointListError,
    StagedEndpoints,
    SubsetUpdate,
    removed,
)
from molereach.subsetting.packed_records import name_of, unpack
from molereach.subsetting.placement import MIN_PROXIES_PER_BACKEND, min_subset_distance, proxy_position
from molereach.subsetting.staging import STEP_ENTRIES, Staging, entry_of
from molereach.subsetting.subset import EndpointIndex, Subset
from molereach.subsetting.takeover_overlay import TakeoverOverlay

LONG_LIST_FACTOR = 2  # a list becomes long above this multiple of the subset's size
# Each step of changes may exceed the limit of a list, as removals may follow additions.
CHANGE_HEADROOM_ENTRIES = 2 * STEP_ENTRIES
MAX_SHOWN_NAME_BYTES = 80

Steps = Generator[None, None, SubsetUpdate | None]
ShortList = dict[str, AddressedEndpoint]


class EndpointSubsetting:
    """The full list and the subset of it that is reported to the policy."""

    def __init__(self, settings: Settings, subset_size: int, max_entries: int) -> None:
        """`max_entries`: maximum length of the full list.

        `subset_size` is the minimum size of the subset, and the length up to which a long list becomes short;
        a short one becomes long above `LONG_LIST_FACTOR` times that.
        """
        self.proxy_count = settings.proxy_count
        self.subset_size = subset_size
        self.max_entries = max_entries
        self.scope_keys = scope_keys(settings)
        self.short_list: ShortList | None = {}  # None if the list is long; it is then in `index`
        self.budget = EntryBudget(MAX_LIST_COPIES * max_entries + CHANGE_HEADROOM_ENTRIES)
        self.index = self.new_index()
        self.subset = Subset(
            proxy_position(settings.proxy_index),
            min_subset_distance(settings.proxy_index, settings.proxy_count),
            subset_size,
        )
        self.reported: dict[bytes, bytes] = {}  # members of the subset by name, as reported to the policy
        self.is_stale = False  # whether the subset has to be selected again
        self.overlay = TakeoverOverlay(self.stage)

    @property
    def count(self) -> int:
        """Number of entries of the full list."""
        return self.index.ring.count if self.short_list is None else len(self.short_list)

    def new_index(self) -> EndpointIndex:
        """Create an empty index whose entries count against the budget."""
        return self.budget.track(EndpointIndex(self.scope_keys))

    def stage(self) -> Staging:
        """Create the staging for a list that is received in parts."""
        return self.budget.track(Staging(self.max_entries, self.budget))

    def apply(
        self, event: EndpointListReceived, addresses: Mapping[str, EndpointAddress]
    ) -> SubsetUpdate | None:
        """Apply a full list, or changes, received in one part, and so with few entries."""
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
        """Apply a staged list, or staged changes, in short steps; the last one reports to the policy."""
        assert isinstance(staged, Staging)
        if kind in FULL_LIST_KINDS:
            yield from self.replace_index(staged)
        else:
            yield from self.change_index(staged)
        was_short = self.short_list is not None
        self.short_list = None
        if self.index.ring.count <= self.subset_size * (LONG_LIST_FACTOR if was_short else 1):
            return self.report_short_list(kind, version)
        return self.report_subset(kind, version, was_short)

    def replace_index(self, staged: Staging) -> Generator[None, None, None]:
        """Build a new index from a full list, and replace the current one with it."""
        index = self.new_index()
        # Changes to the current list are recorded during the build, and applied to the new index after it.
        recording = self.overlay.begin()
        yield from self.build_index(index, staged)
        yield from self.overlay.catch_up(index, recording)
        replaced = self.index
        self.index = index
        self.is_stale = True
        # The records of the replaced index are freed before the update is reported, in steps. A caller that
        # drops this generator between two steps gets no update, and `reported` is unchanged.
        if self.short_list is None:
            yield from replaced.ring.release()

    def change_index(self, staged: Staging) -> Generator[None, None, None]:
        """Apply changes to the index, which is built first if the list was short."""
        if self.short_list is not None:
            self.index = self.new_index()
            self.is_stale = True
            yield from self.build_index(self.index, self.stage_short_list(self.short_list))
        yield from self.apply_changes(staged)

    def stage_short_list(self, short_list: ShortList) -> Staging:
        """Stage the entries of a short list."""
        staged = Staging(self.max_entries)
        for endpoint, address in short_list.values():
            staged.append(entry_of(endpoint, address))
        return staged

    def build_index(self, index: EndpointIndex, staged: Staging) -> Generator[None, None, None]:
        """Add the entries of a full list to an empty index, in steps.

        Raises EndpointListError if the list names a backend twice, as either entry may be the right one.
        """
        for entries in staged.consume_slices():
            for position, record, is_removed in entries:
                if not is_removed and index.put(position, record) is not None:
                    shown_name = name_of(record)[:MAX_SHOWN_NAME_BYTES]
                    raise EndpointListError(f"the whole list names a server twice: {shown_name!r}")
            yield

    def apply_changes(self, staged: Staging) -> Generator[None, None, None]:
        """Apply changes to the index in steps; raises EndpointListError if the list becomes too long.

        Each change is valid by itself: if not all are applied, the next request receives them again. Removals
        may follow additions, so the length of the list is checked only at the end of each step.
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

    def report_short_list(self, kind: EndpointListKind, version: int) -> SubsetUpdate:
        """Store the list as a short one from now on, and report all of it."""
        listed = [unpack(record) for record in self.index.ring]
        self.short_list = {endpoint.name: (endpoint, address) for endpoint, address in listed}
        self.index = self.new_index()
        self.reported = {}
        self.is_stale = False
        return subset_update(full_kind(kind), version, listed)

    def report_subset(self, kind: EndpointListKind, version: int, was_short: bool) -> SubsetUpdate | None:
        """Report the subset, or the changes to it; None if there are none."""
        is_full = was_short or kind in FULL_LIST_KINDS
        if not (self.is_stale or is_full):
            return None
        if self.is_stale:
            self.subset.select(self.index)
            self.is_stale = False
        before = self.reported
        self.reported = self.subset.members
        if before is self.reported and not was_short:  # not selected again, so there is nothing to compare
            return None
        if is_full:
            members = [unpack(record) for record in self.reported.values()]
            return subset_update(full_kind(kind), version, members, self.sharing_proxies())
        changes = self.member_changes(before)
        return subset_update(kind, version, changes, self.sharing_proxies()) if changes else None

    def sharing_proxies(self) -> int:
        """Average number of proxies that have a backend in their subsets."""
        up = max(1, self.index.ring.up)
        mean = round(self.proxy_count * len(self.reported) / up)
        return min(self.proxy_count, max(MIN_PROXIES_PER_BACKEND, mean))

    def member_changes(self, before: Mapping[bytes, bytes]) -> list[AddressedEndpoint]:
        """The members that left the subset, as removed, then those that joined it or changed."""
        departed = [
            (removed(unpack(record)[0]), None) for name, record in before.items() if name not in self.reported
        ]
        changed = [unpack(record) for name, record in self.reported.items() if before.get(name) != record]
        return [*departed, *changed]


def full_kind(kind: EndpointListKind) -> EndpointListKind:
    """The kind with which a full list is reported."""
    return kind if kind in FULL_LIST_KINDS else EndpointListKind.FULL


def apply_to_short_list(
    short_list: ShortList, endpoints: Sequence[Endpoint], addresses: Mapping[str, EndpointAddress]
) -> None:
    """Apply changes to a short list; a backend keeps its address if a change has none."""
    for endpoint in endpoints:
        before = short_list.pop(endpoint.name, None)
        if endpoint.state is not EndpointState.REMOVED:
            short_list[endpoint.name] = endpoint, addresses.get(endpoint.name) or (before and before[1])


def subset_update(
    kind: EndpointListKind, version: int, listed: Sequence[AddressedEndpoint], sharing_proxies: int = 0
) -> SubsetUpdate:
    """An update with these endpoints and their known addresses."""
    endpoints = tuple(endpoint for endpoint, _ in listed)
    event = EndpointListReceived(kind, version, endpoints, sharing_proxies)
    return SubsetUpdate(event, {endpoint.name: address for endpoint, address in listed if address})


def run_to_end(steps: Steps) -> SubsetUpdate | None:
    """Run all steps at once, for a list of few entries."""
    while True:
        try:
            next(steps)
        except StopIteration as done:
            result: SubsetUpdate | None = done.value
            return result
