"""Where a shard is cut: such that the members' own writes fall to both sides alike.

The middle of the range says nothing of them: ids are given out in order, and the newest write most.
"""

from dataclasses import dataclass

from molereach.shards.counts.qdigest import Digest

MOST_OF_ONE = 0.5  # of a shard's writes; no cut helps where one member has more


@dataclass(frozen=True, slots=True)
class Cut:
    """At this member, the first of the upper side; `below` is the part of the writes below it."""

    member: int
    below: float


@dataclass(frozen=True, slots=True)
class OneMember:
    """Not cut: one member has this part of all writes."""

    member: int
    part: float


@dataclass(frozen=True, slots=True)
class NoCut:
    """Not cut, and why."""

    why: str


def place(digest: Digest, first: int, end: int) -> Cut | OneMember | NoCut:
    """The cut of a shard that has the members from `first` up to `end`."""
    inside = [span for span in digest.spans() if first <= span[0] and span[1] < end]
    total = sum(weight for _, _, weight in inside)
    if not total:
        return NoCut("no writes are known")
    low, high, heaviest = max(inside, key=lambda span: span[2])
    if low == high and heaviest > MOST_OF_ONE * total:
        return OneMember(low, heaviest / total)
    member, below = nearest(inside, total, first)
    return Cut(member, below) if 0 < below < 1 else NoCut("all writes that are known lie together")


def nearest(inside: list[tuple[int, int, int]], total: int, first: int) -> tuple[int, float]:
    """The cut between two nodes that comes nearest to half; what spans it counts half to each side."""
    marks = sorted({cut for low, high, _ in inside for cut in (low, high + 1) if cut > first})
    starts, ends = (
        sorted((low, weight) for low, _, weight in inside),
        sorted((high + 1, weight) for _, high, weight in inside),
    )
    best, begun, ended, at_start, at_end = (first, 0.0), 0, 0, 0, 0
    for cut in marks:
        while at_start < len(starts) and starts[at_start][0] < cut:
            begun += starts[at_start][1]
            at_start += 1
        while at_end < len(ends) and ends[at_end][0] <= cut:
            ended += ends[at_end][1]
            at_end += 1
        below = (begun + ended) / (2 * total)
        if abs(below - 0.5) < abs(best[1] - 0.5):
            best = (cut, below)
    return best
