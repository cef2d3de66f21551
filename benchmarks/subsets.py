"""Two other ways to give each front door a part of a list, to weigh the view against, each in a few lines.

Deterministic subsetting is Google SRE's (Site Reliability Engineering, chapter 20), rendezvous hashing Thaler
and Ravishankar's (1998). Both as published: neither knows of groups, and both walk all of the list for each
choice.
"""

from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import asdict, dataclass
from heapq import nlargest
from random import Random

from molereach.policy.interface.events import Endpoint, EndpointState
from molereach.subsetting.packed_records import pack
from molereach.subsetting.placement import backend_position, min_subset_distance, proxy_position
from molereach.subsetting.subset import EndpointIndex, Subset

Subsets = list[set[str]]
MASK = (1 << 64) - 1
MIX = 0xBF58476D1CE4E5B9, 0x94D049BB133111EB  # of splitmix64


def subsetting(names: Sequence[str], doors: int, size: int) -> Subsets:
    """Each round of front doors shares out one shuffled list; what is left over goes unused in that round."""
    parts, subsets = max(1, len(names) // size), list[set[str]]()
    for door in range(doors):
        if door % parts == 0:
            shuffled = sorted(names)
            Random(door // parts).shuffle(shuffled)
        start = door % parts * size
        subsets.append(set(shuffled[start : start + size]))
    return subsets


def rendezvous(names: Sequence[str], doors: int, size: int) -> Subsets:
    """The largest hashes of door and backend."""
    places = [(backend_position(name.encode()), name) for name in names]

    def weights(own: int) -> list[tuple[int, str]]:
        mixed = (((place ^ own) * MIX[0] & MASK, name) for place, name in places)
        return [((each ^ each >> 31) * MIX[1] & MASK, name) for each, name in mixed]

    own = [backend_position(b"door %d" % door) for door in range(doors)]
    return [{name for _, name in nlargest(size, weights(each))} for each in own]


def ring(names: Sequence[str], doors: int, size: int) -> Subsets:
    """The view, without groups."""
    whole, subsets = EndpointIndex(()), list[set[str]]()
    for name in names:
        whole.put(backend_position(name.encode()), pack(Endpoint(name, 0, 0, 0, EndpointState.UP), None))
    for door in range(doors):
        view = Subset(proxy_position(door), min_subset_distance(door, doors), size)
        view.select(whole)
        subsets.append({name.decode() for name in view.members})
    return subsets


WAYS: dict[str, Callable[[Sequence[str], int, int], Subsets]] = {
    "ring": ring,
    "subsetting": subsetting,
    "rendezvous": rendezvous,
}


@dataclass(frozen=True, slots=True)
class Way:
    """One way at one size: who is seen, and the parts of all (door, backend) pairs that move."""

    way: str
    doors: int
    backends: int
    least_doors: int  # that a backend has
    most_doors: int
    largest_load: float  # over the fair one
    moved_backend_goes: float
    moved_door_goes: float


def moved(before: Subsets, after: Subsets) -> float:
    """Pairs gained or lost by front doors that stay, over all pairs."""
    changed = sum(len(old ^ new) for old, new in zip(before, after, strict=False))
    return changed / sum(len(old) for old in before)


def compare(doors: int, backends: int, size: int, seed: int) -> list[dict[str, object]]:
    """All three, at one size."""
    names, rows = [f"s{seed}-{number}" for number in range(backends)], list[dict[str, object]]()
    gone = names[: backends // 2] + names[backends // 2 + 1 :]
    for name, choose in WAYS.items():
        subsets = choose(names, doors, size)
        seen, load = Counter[str](), Counter[str]()
        for subset in subsets:
            seen.update(subset)
            load.update(dict.fromkeys(subset, backends / doors / len(subset)))
        rows.append(
            asdict(
                Way(
                    name,
                    doors,
                    backends,
                    min(seen[each] for each in names),
                    max(seen.values()),
                    round(max(load.values()), 3),
                    round(moved(subsets, choose(gone, doors, size)), 6),
                    round(moved(subsets, choose(names, doors - 1, size)), 6),
                )
            )
        )
    return rows
