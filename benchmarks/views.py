"""All proxies' subsets of one endpoint list: who sees a backend, its load, and what moves.

There is one row for each size. Subsets are selected on one shared ring by the proxy's own code. Cells lie
within zones.
"""

import statistics
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, replace
from random import Random

from benchmarks.shared import SharedEndpointIndex, SharedSubset
from benchmarks.told import LOST_ZONE, SUBSET_SIZE, zone_loss_cost
from benchmarks.touches import changed_by_addition, changed_by_removal
from molereach.policy.interface.events import Endpoint, EndpointState
from molereach.subsetting.endpoint_subsetting import LONG_LIST_FACTOR
from molereach.subsetting.packed_records import cell_of, name_of
from molereach.subsetting.placement import MIN_PROXIES_PER_BACKEND, RING_SIZE, distance_behind, proxy_position
from molereach.subsetting.staging import entry_of
from molereach.subsetting.subset import Subset

ZONES, CELLS, REFERENCE_BACKENDS = 26, 2_900, 93_000
MIN_SAMPLED_BACKENDS = 3  # backends removed, and added, one at a time
MAX_SAMPLED_MEMBERS = 100_000  # of subsets selected again, approximately; caps the sample of popular backends
PROXY_RATE_PER_S = 293.0  # peak rate
Subsets = list[Subset]


@dataclass(frozen=True, slots=True)
class Row:
    """Figures of one size.

    The `moved_*_goes` and `moved_*_comes` figures are (proxy, backend) pairs gained or lost by proxies that
    remain, over all pairs.
    """

    doors: int
    backends: int
    cells: bool  # whether keyed requests are bound to cells
    view_least: int
    view_mean: float
    view_most: int
    least_doors: int
    most_doors: int
    largest_load: float
    least_load: float
    moved_backend_goes: float
    moved_backend_comes: float
    moved_for_one: float  # the larger of both, over the minimum possible
    moved_door_goes: float
    moved_zone_goes: float
    moved_zone_over_lost: float
    views_not_full: int
    touched: int  # entries that one proxy examines from the loss of the zone until its subset is full
    events_until_full: int
    cold_over_fair: float


def server(number: int, backends: int, seed: int) -> Endpoint:
    """Return the endpoint of a backend's number."""
    cell = number % max(1, backends * CELLS // REFERENCE_BACKENDS)
    return Endpoint(f"s{seed}-{number}", cell % ZONES, 0, cell, EndpointState.UP, 1.0, 1)


def subset_distances(doors: int) -> list[int]:
    """Compute `min_subset_distance` of all proxies at once."""
    order = sorted(range(doors), key=proxy_position)
    distances = [RING_SIZE] * doors
    for at, proxy in enumerate(order if doors > MIN_PROXIES_PER_BACKEND else ()):
        distances[proxy] = distance_behind(
            proxy_position(order[at - MIN_PROXIES_PER_BACKEND]), proxy_position(proxy)
        )
    return distances


def select_subset(index: SharedEndpointIndex, proxy: int, distance: int, is_long: bool) -> Subset:
    """Select one proxy's subset; it holds all of a short list."""
    subset = SharedSubset(proxy_position(proxy), distance if is_long else RING_SIZE, SUBSET_SIZE)
    subset.select(index)
    return subset


def moved_pairs(before: Iterable[Subset], after: Iterable[Subset]) -> int:
    """Count the members gained and lost by pairs of subsets."""
    return sum(len(old.members.keys() ^ new.members.keys()) for old, new in zip(before, after, strict=False))


class TierSubsets:
    """All proxies' subsets of one endpoint list."""

    def __init__(self, doors: int, backends: int, cells: bool, seed: int) -> None:
        self.doors, self.backends, self.cells, self.seed = doors, backends, cells, seed
        self.is_long = backends > LONG_LIST_FACTOR * SUBSET_SIZE
        self.index = SharedEndpointIndex((cell_of,) if cells else ())
        self.servers = [server(number, backends, seed) for number in range(backends)]
        for each in self.servers:
            self.put(each)
        self.distances = subset_distances(doors)
        self.subsets = [self.select(proxy) for proxy in range(doors)]
        self.pairs = sum(len(subset.members) for subset in self.subsets)

    def select(self, proxy: int) -> Subset:
        """Select the subset of one proxy from the present list."""
        return select_subset(self.index, proxy, self.distances[proxy], self.is_long)

    def put(self, each: Endpoint) -> tuple[int, bytes]:
        """Add an endpoint to the list; return its position and record."""
        position, record, _ = entry_of(each, ("10.0.0.1", 80))
        self.index.put(position, record)
        return position, record

    def reselect(self, position: int, before: bytes | None, after: bytes | None) -> tuple[Subsets, Subsets]:
        """Return the old and new subsets that a change may affect; the others stay as they are."""
        may_change = (
            changed_by_removal(before)
            if before is not None
            else changed_by_addition(self.index, position, after or b"")
        )
        affected = [
            proxy
            for proxy, subset in enumerate(self.subsets)
            if may_change(subset) and subset.is_affected_by(self.index, position, before, after)
        ]
        return [self.subsets[proxy] for proxy in affected], [self.select(proxy) for proxy in affected]

    def remove_backend(self, each: Endpoint) -> tuple[int, int]:
        """Remove one backend and restore it; return the pairs moved and the pairs of that backend."""
        position, record, _ = entry_of(each, ("10.0.0.1", 80))
        self.index.remove(position, name_of(record))
        old, new = self.reselect(position, record, None)
        self.index.put(position, record)
        return moved_pairs(old, new), sum(name_of(record) in subset.members for subset in old)

    def add_backend(self, each: Endpoint) -> tuple[int, int, float]:
        """Add one backend and remove it again.

        Returns the pairs moved, the pairs of that backend, and the usual request rate to it while it is cold,
        divided by the fair rate.
        """
        position, record = self.put(each)
        old, new = self.reselect(position, None, record)
        holders = [subset for subset in new if name_of(record) in subset.members]
        rate = sum(
            max(1 / self.proxies_per_backend(subset), PROXY_RATE_PER_S / len(subset.members))
            for subset in holders
        )
        fair = max(1.0, PROXY_RATE_PER_S * self.doors / self.index.ring.up)
        self.index.remove(position, name_of(record))
        return moved_pairs(old, new), len(holders), rate / fair

    def proxies_per_backend(self, subset: Subset) -> int:
        """Return the number of proxies that see one backend, as the policy module is given it."""
        return min(
            self.doors,
            max(MIN_PROXIES_PER_BACKEND, round(self.doors * len(subset.members) / self.index.ring.up)),
        )

    def remove_proxy(self) -> int:
        """Return the pairs moved if the last proxy is removed.

        Only subsets that must then search further change.
        """
        fewer = subset_distances(self.doors - 1)
        changed = [proxy for proxy, distance in enumerate(fewer) if distance != self.distances[proxy]]
        new = [select_subset(self.index, proxy, fewer[proxy], self.is_long) for proxy in changed]
        return moved_pairs([self.subsets[proxy] for proxy in changed], new)

    def remove_zone(self) -> tuple[int, int, int]:
        """Remove a zone; return the pairs moved, the pairs lost and the subsets that are not full."""
        lost = [self.servers[n] for n in range(self.backends) if self.servers[n].zone == LOST_ZONE]
        for each in lost:
            position, name, _ = entry_of(replace(each, state=EndpointState.REMOVED), None)
            self.index.remove(position, name)
        lost_names = {each.name.encode() for each in lost}
        full_size, changed, lost_pairs, not_full = min(SUBSET_SIZE, self.index.ring.up), 0, 0, 0
        for proxy, old in enumerate(self.subsets):
            new = self.select(proxy)
            changed += moved_pairs([old], [new])
            lost_pairs += len(lost_names & old.members.keys())
            not_full += len(new.members) < full_size or bool(lost_names & new.members.keys())
        return changed, lost_pairs, not_full

    def row(self, sample: int) -> Row:
        """Return the row of this size, with `sample` backends removed and added one at a time."""
        seen, load = Counter[bytes](), dict[bytes, float]()
        for subset in self.subsets:
            seen.update(subset.members.keys())
            load_share = self.backends / self.doors / len(subset.members)
            for name in subset.members:
                load[name] = load.get(name, 0.0) + load_share
        # Members of all subsets that hold one backend.
        members_per_backend = self.pairs * self.pairs // (self.doors * self.backends)
        sample = min(sample, max(MIN_SAMPLED_BACKENDS, MAX_SAMPLED_MEMBERS // members_per_backend))
        sizes, names = (
            [len(subset.members) for subset in self.subsets],
            [e.name.encode() for e in self.servers],
        )
        chosen = Random(self.seed).sample(self.servers, min(sample, self.backends))
        removals = [self.remove_backend(each) for each in chosen]
        additions = [
            self.add_backend(server(self.backends + n, self.backends, self.seed)) for n in range(sample)
        ]
        proxy_pairs, (zone_pairs, lost, not_full) = self.remove_proxy(), self.remove_zone()
        touched, events = zone_loss_cost(self.servers, self.doors, self.cells)
        ratios = [pairs / own for pairs, own in [*removals, *(each[:2] for each in additions)] if own]
        return Row(
            self.doors,
            self.backends,
            self.cells,
            min(sizes),
            round(statistics.mean(sizes), 1),
            max(sizes),
            min(seen[name] for name in names),
            max(seen.values()),
            round(max(load.values()), 3),
            round(min(load.get(name, 0.0) for name in names), 3),
            self.share_of_pairs(statistics.mean(each[0] for each in removals)),
            self.share_of_pairs(statistics.mean(each[0] for each in additions)),
            round(max(ratios), 2),
            self.share_of_pairs(proxy_pairs),
            self.share_of_pairs(zone_pairs),
            round(zone_pairs / max(1, lost), 2),
            not_full,
            touched,
            events,
            round(max(each[2] for each in additions), 3),
        )

    def share_of_pairs(self, pairs: float) -> float:
        """Return pairs as a share of all pairs."""
        return round(pairs / self.pairs, 8)
