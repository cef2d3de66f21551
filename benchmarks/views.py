"""All front doors' views of one list: who sees a backend, its load, and what moves. One row for each size.

Views are chosen on one shared ring by the front door's own core. Cells lie within zones.
"""

import statistics
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, replace
from random import Random

from benchmarks.shared import SharedWhole, SharingView
from benchmarks.told import LOST_ZONE, SIZE, zone_told
from benchmarks.touches import holding, reaching
from molereach.policy.interface.events import Endpoint, EndpointState
from molereach.subsetting.endpoint_subsetting import LONG_LIST_FACTOR
from molereach.subsetting.packed_records import cell_of, name_of
from molereach.subsetting.placement import MIN_PROXIES_PER_BACKEND, RING_SIZE, distance_behind, proxy_position
from molereach.subsetting.staging import entry_of
from molereach.subsetting.subset import Subset

ZONES, CELLS, OF_BACKENDS = 26, 2_900, 93_000
LEAST_SAMPLE = 3  # of backends that go, and come, one by one
SAMPLED_MEMBERS = 100_000  # of views chosen anew, about: where one is seen by many, fewer are sampled
DOOR_RATE_PER_S = 293.0  # at the peak
Views = list[Subset]


@dataclass(frozen=True, slots=True)
class Row:
    """One size; moved parts are (door, backend) pairs gained or lost by doors that stay, over all pairs."""

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
    moved_for_one: float  # the larger of both, over the least possible
    moved_door_goes: float
    moved_zone_goes: float
    moved_zone_over_lost: float
    views_not_full: int
    touched: int  # entries, by one front door from the lost zone to its full view
    events_until_full: int
    cold_over_fair: float


def server(number: int, backends: int, seed: int) -> Endpoint:
    cell = number % max(1, backends * CELLS // OF_BACKENDS)
    return Endpoint(f"s{seed}-{number}", cell % ZONES, 0, cell, EndpointState.UP, 1.0, 1)


def reaches(doors: int) -> list[int]:
    """`min_subset_distance` of all front doors in one go."""
    order = sorted(range(doors), key=proxy_position)
    reach = [RING_SIZE] * doors
    for at, me in enumerate(order if doors > MIN_PROXIES_PER_BACKEND else ()):
        reach[me] = distance_behind(proxy_position(order[at - MIN_PROXIES_PER_BACKEND]), proxy_position(me))
    return reach


def filled(whole: SharedWhole, me: int, reach: int, is_long: bool) -> Subset:
    """A view; all of a short list."""
    view = SharingView(proxy_position(me), reach if is_long else RING_SIZE, SIZE)
    view.select(whole)
    return view


def moved(before: Iterable[Subset], after: Iterable[Subset]) -> int:
    return sum(len(old.members.keys() ^ new.members.keys()) for old, new in zip(before, after, strict=False))


class Tier:
    """All front doors' views of one list."""

    def __init__(self, doors: int, backends: int, cells: bool, seed: int) -> None:
        self.doors, self.backends, self.cells, self.seed = doors, backends, cells, seed
        self.is_long = backends > LONG_LIST_FACTOR * SIZE
        self.whole = SharedWhole((cell_of,) if cells else ())
        self.servers = [server(number, backends, seed) for number in range(backends)]
        for each in self.servers:
            self.put(each)
        self.reach = reaches(doors)
        self.views = [self.fill(me) for me in range(doors)]
        self.pairs = sum(len(view.members) for view in self.views)

    def fill(self, me: int) -> Subset:
        return filled(self.whole, me, self.reach[me], self.is_long)

    def put(self, each: Endpoint) -> tuple[int, bytes]:
        place, record, _ = entry_of(each, ("10.0.0.1", 80))
        self.whole.put(place, record)
        return place, record

    def refill(self, place: int, before: bytes | None, after: bytes | None) -> tuple[Views, Views]:
        """Old and new views of those that a change concerns and may move: the others come out as they are."""
        touches = holding(before) if before is not None else reaching(self.whole, place, after or b"")
        me = [
            number
            for number, view in enumerate(self.views)
            if touches(view) and view.is_affected_by(self.whole, place, before, after)
        ]
        return [self.views[number] for number in me], [self.fill(number) for number in me]

    def one_goes(self, each: Endpoint) -> tuple[int, int]:
        """Pairs moved, and those of its own."""
        place, record, _ = entry_of(each, ("10.0.0.1", 80))
        self.whole.remove(place, name_of(record))
        old, new = self.refill(place, record, None)
        self.whole.put(place, record)
        return moved(old, new), sum(name_of(record) in view.members for view in old)

    def one_comes(self, each: Endpoint) -> tuple[int, int, float]:
        """Pairs moved, those of its own, and the usual rate to it while cold over the fair one."""
        place, record = self.put(each)
        old, new = self.refill(place, None, record)
        sees = [view for view in new if name_of(record) in view.members]
        rate = sum(max(1 / self.seen_by(view), DOOR_RATE_PER_S / len(view.members)) for view in sees)
        fair = max(1.0, DOOR_RATE_PER_S * self.doors / self.whole.ring.up)
        self.whole.remove(place, name_of(record))
        return moved(old, new), len(sees), rate / fair

    def seen_by(self, view: Subset) -> int:
        """As the module is told."""
        return min(
            self.doors,
            max(MIN_PROXIES_PER_BACKEND, round(self.doors * len(view.members) / self.whole.ring.up)),
        )

    def door_goes(self) -> int:
        """Pairs moved when the last front door goes; only views that must reach further change."""
        fewer = reaches(self.doors - 1)
        others = [me for me, reach in enumerate(fewer) if reach != self.reach[me]]
        new = [filled(self.whole, me, fewer[me], self.is_long) for me in others]
        return moved([self.views[me] for me in others], new)

    def zone_goes(self) -> tuple[int, int, int]:
        """Pairs moved, pairs lost, and views that are not full after it."""
        lost = [self.servers[n] for n in range(self.backends) if self.servers[n].zone == LOST_ZONE]
        for each in lost:
            place, name, _ = entry_of(replace(each, state=EndpointState.REMOVED), None)
            self.whole.remove(place, name)
        gone = {each.name.encode() for each in lost}
        wanted, changed, lost_pairs, not_full = min(SIZE, self.whole.ring.up), 0, 0, 0
        for me, old in enumerate(self.views):
            new = self.fill(me)
            changed += moved([old], [new])
            lost_pairs += len(gone & old.members.keys())
            not_full += len(new.members) < wanted or bool(gone & new.members.keys())
        return changed, lost_pairs, not_full

    def row(self, sample: int) -> Row:
        seen, load = Counter[bytes](), dict[bytes, float]()
        for view in self.views:
            seen.update(view.members.keys())
            part = self.backends / self.doors / len(view.members)
            for name in view.members:
                load[name] = load.get(name, 0.0) + part
        each_costs = self.pairs * self.pairs // (self.doors * self.backends)  # members of all that see one
        sample = min(sample, max(LEAST_SAMPLE, SAMPLED_MEMBERS // each_costs))
        sizes, names = [len(view.members) for view in self.views], [e.name.encode() for e in self.servers]
        chosen = Random(self.seed).sample(self.servers, min(sample, self.backends))
        goes = [self.one_goes(each) for each in chosen]
        comes = [self.one_comes(server(self.backends + n, self.backends, self.seed)) for n in range(sample)]
        door, (zone, lost, not_full) = self.door_goes(), self.zone_goes()
        touched, events = zone_told(self.servers, self.doors, self.cells)
        ratios = [pairs / own for pairs, own in [*goes, *(each[:2] for each in comes)] if own]
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
            self.part(statistics.mean(each[0] for each in goes)),
            self.part(statistics.mean(each[0] for each in comes)),
            round(max(ratios), 2),
            self.part(door),
            self.part(zone),
            round(zone / max(1, lost), 2),
            not_full,
            touched,
            events,
            round(max(each[2] for each in comes), 3),
        )

    def part(self, pairs: float) -> float:
        return round(pairs / self.pairs, 8)
