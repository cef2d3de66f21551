"""Where to split a shard, so that half of the bytes that members write fall on each side.

The middle of the ID range would not do: IDs are given out in order, and the newest members write most.
"""

from dataclasses import dataclass

from molereach.shards.counts.qdigest import Digest

MAX_MEMBER_FRACTION = 0.5  # of a shard's written bytes; no split helps if one member has more


@dataclass(frozen=True, slots=True)
class SplitPoint:
    """Split at `member`, the first of the upper part; `fraction_below` of the bytes are below it."""

    member: int
    fraction_below: float


@dataclass(frozen=True, slots=True)
class DominantMember:
    """No split: one member has written this fraction of all bytes."""

    member: int
    fraction: float


@dataclass(frozen=True, slots=True)
class NoSplitPoint:
    """No split, for this reason."""

    reason: str


def find_split_point(digest: Digest, first: int, end: int) -> SplitPoint | DominantMember | NoSplitPoint:
    """Where to split the shard that has the members from `first` up to `end`."""
    inside = [span for span in digest.spans() if first <= span[0] and span[1] < end]
    total = sum(weight for _, _, weight in inside)
    if not total:
        return NoSplitPoint("no writes are known")
    low, high, heaviest = max(inside, key=lambda span: span[2])
    if low == high and heaviest > MAX_MEMBER_FRACTION * total:
        return DominantMember(low, heaviest / total)
    member, below = nearest_to_half(inside, total, first)
    return SplitPoint(member, below) if 0 < below < 1 else NoSplitPoint("all known writes are in one node")


def nearest_to_half(spans: list[tuple[int, int, int]], total: int, first: int) -> tuple[int, float]:
    """The node boundary nearest to half of the weight; half of a node across it counts for each side."""
    boundaries = sorted(
        {boundary for low, high, _ in spans for boundary in (low, high + 1) if boundary > first}
    )
    starts, ends = (
        sorted((low, weight) for low, _, weight in spans),
        sorted((high + 1, weight) for _, high, weight in spans),
    )
    best, started, ended, start_index, end_index = (first, 0.0), 0, 0, 0, 0
    for boundary in boundaries:
        while start_index < len(starts) and starts[start_index][0] < boundary:
            started += starts[start_index][1]
            start_index += 1
        while end_index < len(ends) and ends[end_index][0] <= boundary:
            ended += ends[end_index][1]
            end_index += 1
        below = (started + ended) / (2 * total)
        if abs(below - 0.5) < abs(best[1] - 0.5):
            best = (boundary, below)
    return best
