"""Which subsets the removal or addition of one backend can change, so that only these are computed again.

`Subset.is_affected_by` also accepts a few subsets that come out the same, which is cheap in one proxy. With
keyed requests bound to cells, of which a subset holds many, it accepts most subsets of all proxies.
"""

from bisect import bisect_left
from collections.abc import Callable

from molereach.subsetting.idempotency_groups import SUBSTITUTE_COUNT, IdempotencyGroups
from molereach.subsetting.packed_records import name_of
from molereach.subsetting.placement import distance_behind
from molereach.subsetting.subset import EndpointIndex, Subset

SubsetFilter = Callable[[Subset], bool]


def changed_by_removal(record: bytes) -> SubsetFilter:
    """Match the subsets that hold a removed record; the others don't depend on it."""
    name = name_of(record)
    return lambda subset: name in subset.members


def changed_by_addition(index: EndpointIndex, position: int, record: bytes) -> SubsetFilter:
    """Match the subsets that may hold an added record.

    The record, or one that it is a substitute of, lies within the distance that the subset has searched. No
    subset searches further because of an addition: the record displaces at most one of the substitutes. This
    holds for subsets that are full or have searched the whole ring.
    """
    positions = [position]
    for groups in index.groups:
        positions += substituted_positions(groups, position, record)

    def matches(subset: Subset) -> bool:
        return any(
            distance_behind(candidate, subset.proxy_position) <= subset.max_distance
            for candidate in positions
        )

    return matches


def substituted_positions(groups: IdempotencyGroups, position: int, record: bytes) -> list[int]:
    """Return the positions of the preceding records of the group that the record is a substitute of.

    These are the ones for which `IdempotencyGroups.substitutes` yields it.
    """
    positions = groups.positions_by_scope[groups.scope_of(record)]
    start = bisect_left(positions, position)
    return [positions[start - step] for step in range(1, 1 + min(SUBSTITUTE_COUNT, len(positions) - 1))]
