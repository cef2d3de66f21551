"""Two published subsetting algorithms to compare the proxy's own with, each in a few lines.

Deterministic subsetting is from Google SRE (Site Reliability Engineering, chapter 20), rendezvous hashing
from Thaler and Ravishankar (1998). Both are as published: neither has idempotency groups, and both scan the
whole list for each choice.
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
SPLITMIX64 = 0xBF58476D1CE4E5B9, 0x94D049BB133111EB  # multipliers of splitmix64


def deterministic_subsets(names: Sequence[str], doors: int, size: int) -> Subsets:
    """Deterministic subsetting: each round of proxies divides one shuffled list.

    Backends that remain after the division are unused in that round.
    """
    subsets_per_round, subsets = max(1, len(names) // size), list[set[str]]()
    for door in range(doors):
        if door % subsets_per_round == 0:
            shuffled = sorted(names)
            Random(door // subsets_per_round).shuffle(shuffled)
        start = door % subsets_per_round * size
        subsets.append(set(shuffled[start : start + size]))
    return subsets


def rendezvous_subsets(names: Sequence[str], doors: int, size: int) -> Subsets:
    """Rendezvous hashing: each proxy takes the backends with the largest hashes of the pair."""
    hashed_names = [(backend_position(name.encode()), name) for name in names]

    def weights(proxy_hash: int) -> list[tuple[int, str]]:
        mixed = (((name_hash ^ proxy_hash) * SPLITMIX64[0] & MASK, name) for name_hash, name in hashed_names)
        return [((value ^ value >> 31) * SPLITMIX64[1] & MASK, name) for value, name in mixed]

    proxy_hashes = [backend_position(b"door %d" % door) for door in range(doors)]
    return [{name for _, name in nlargest(size, weights(proxy_hash))} for proxy_hash in proxy_hashes]


def ring_subsets(names: Sequence[str], doors: int, size: int) -> Subsets:
    """The proxy's own subsetting on the ring, without idempotency groups."""
    index, subsets = EndpointIndex(()), list[set[str]]()
    for name in names:
        index.put(backend_position(name.encode()), pack(Endpoint(name, 0, 0, 0, EndpointState.UP), None))
    for door in range(doors):
        subset = Subset(proxy_position(door), min_subset_distance(door, doors), size)
        subset.select(index)
        subsets.append({name.decode() for name in subset.members})
    return subsets


ALGORITHMS: dict[str, Callable[[Sequence[str], int, int], Subsets]] = {
    "ring": ring_subsets,
    "subsetting": deterministic_subsets,
    "rendezvous": rendezvous_subsets,
}


@dataclass(frozen=True, slots=True)
class AlgorithmFigures:
    """Figures of one algorithm at one size.

    `moved_*` are shares of all (proxy, backend) pairs.
    """

    way: str
    doors: int
    backends: int
    least_doors: int  # that see one backend
    most_doors: int
    largest_load: float  # over the mean load
    moved_backend_goes: float
    moved_door_goes: float


def moved_share(before: Subsets, after: Subsets) -> float:
    """Return the pairs gained or lost by proxies that remain, over all pairs."""
    changed = sum(len(old ^ new) for old, new in zip(before, after, strict=False))
    return changed / sum(len(old) for old in before)


def compare(doors: int, backends: int, size: int, seed: int) -> list[dict[str, object]]:
    """Return the figures of all three algorithms at one size."""
    names, rows = [f"s{seed}-{number}" for number in range(backends)], list[dict[str, object]]()
    remaining = names[: backends // 2] + names[backends // 2 + 1 :]
    for name, choose in ALGORITHMS.items():
        subsets = choose(names, doors, size)
        seen, load = Counter[str](), Counter[str]()
        for subset in subsets:
            seen.update(subset)
            load.update(dict.fromkeys(subset, backends / doors / len(subset)))
        rows.append(
            asdict(
                AlgorithmFigures(
                    name,
                    doors,
                    backends,
                    min(seen[backend] for backend in names),
                    max(seen.values()),
                    round(max(load.values()), 3),
                    round(moved_share(subsets, choose(remaining, doors, size)), 6),
                    round(moved_share(subsets, choose(names, doors - 1, size)), 6),
                )
            )
        )
    return rows
