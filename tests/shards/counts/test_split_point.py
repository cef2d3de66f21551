"""The split point follows from the bytes that members write; no split if one member has over half of them."""

import pytest

from molereach.coordination.interface.identifiers import NodeInstance
from molereach.shards.counts.messages import MAX_DIGEST_NODES, DigestReport
from molereach.shards.counts.qdigest import COMPRESSION_FACTOR, MAX_UNCOMPRESSED_NODES, TREE_DEPTH, Digest
from molereach.shards.counts.split_point import DominantMember, NoSplitPoint, SplitPoint, find_split_point
from molereach.shards.counts.watched_digests import MAX_WATCHED_SHARDS, WatchedDigests
from molereach.shards.map.shard_map import MEMBER_ID_LIMIT
from tests.shards.generated import random_source


def generate_writes(seed: int, writes: int, skew: int) -> list[tuple[int, int]]:
    """Writes as members and sizes. IDs are given out in order, and the newest members write most."""
    draw = random_source(seed)
    return [(int((1 - draw() ** skew) * (1 << 30)), 1 + int(draw() * 100)) for _ in range(writes)]


def fraction_below(split_point: int, writes: list[tuple[int, int]]) -> float:
    """The fraction of the bytes below a split point."""
    return sum(size for member, size in writes if member < split_point) / sum(size for _, size in writes)


@pytest.mark.parametrize("skew", [1, 4, 12])
def test_half_of_the_bytes_are_on_each_side_of_a_split_point(skew: int) -> None:
    digest, writes = Digest(), generate_writes(skew, 20_000, skew)
    for member, size in writes:
        digest.add(member, size)
    result = find_split_point(digest, 0, MEMBER_ID_LIMIT)
    assert isinstance(result, SplitPoint)
    assert abs(fraction_below(result.member, writes) - 0.5) < 0.05
    assert abs(fraction_below(MEMBER_ID_LIMIT // 2, writes) - 0.5) > 0.4  # the middle of the range would fail
    assert abs(result.fraction_below - fraction_below(result.member, writes)) <= (
        TREE_DEPTH / COMPRESSION_FACTOR
    )


def test_the_split_point_is_inside_the_shard() -> None:
    digest = Digest()
    for member in (100, 101, 102, 103):
        digest.add(member, 10)
    result = find_split_point(digest, 100, 104)
    assert result == SplitPoint(102, 0.5)
    assert find_split_point(Digest(), 0, 100) == NoSplitPoint("no writes are known")
    digest = Digest()
    digest.add(100, 10)
    digest.add(105, 10)
    assert isinstance(find_split_point(digest, 103, 200), DominantMember)  # 100 is not in the shard


def test_a_member_with_over_half_of_the_bytes_is_named() -> None:
    digest = Digest()
    for member, size in generate_writes(3, 5000, 1):
        digest.add(member, size)
        digest.add(77, size + 30)
    result = find_split_point(digest, 0, MEMBER_ID_LIMIT)
    assert isinstance(result, DominantMember) and result.member == 77 and result.fraction > 0.5
    for member, size in generate_writes(4, 9000, 1):
        digest.add(member, size)
    assert isinstance(find_split_point(digest, 0, MEMBER_ID_LIMIT), SplitPoint)


def test_the_split_point_is_by_weight_and_has_bytes_on_both_sides() -> None:
    digest = Digest()
    for member, size in ((5, 6), (6, 47), (7, 47)):
        digest.add(member, size)
    assert find_split_point(digest, 5, 8) == SplitPoint(7, 0.53)
    assert find_split_point(digest, 5, 7) == DominantMember(6, 47 / 53)
    digest = Digest()
    digest.nodes[MEMBER_ID_LIMIT >> 1] = 10  # a node of the IDs 0 and 1
    assert isinstance(find_split_point(digest, 0, 2), NoSplitPoint) and isinstance(
        find_split_point(digest, 0, 9), NoSplitPoint
    )
    digest.nodes[MEMBER_ID_LIMIT + 8] = 9
    assert find_split_point(digest, 0, 9) == SplitPoint(2, 10 / 19)


def test_digests_are_bounded_and_can_be_added_up() -> None:
    one, two, writes = Digest(), Digest(), generate_writes(5, 30_000, 3)
    for index, (member, size) in enumerate(writes):
        (one if index % 2 else two).add(member, size)
        assert len(one.nodes) <= MAX_UNCOMPRESSED_NODES + 1
    merged = Digest()
    merged.merge(one.nodes_to_report())
    merged.merge(two.nodes_to_report())
    assert len(one.nodes_to_report()) <= MAX_DIGEST_NODES and merged.total == sum(size for _, size in writes)
    result = find_split_point(merged, 0, MEMBER_ID_LIMIT)
    assert isinstance(result, SplitPoint) and abs(fraction_below(result.member, writes) - 0.5) < 0.06
    with pytest.raises(ValueError):
        one.add(MEMBER_ID_LIMIT, 1)


def test_the_heaviest_digest_of_an_instance_is_kept_and_few_shards_are_watched() -> None:
    a, b = NodeInstance("a", 1), NodeInstance("b", 1)
    local, remote = WatchedDigests(a), WatchedDigests(b)
    for digests in (local, remote):
        digests.watch(tuple(range(1, 50)))
        assert len(digests.reports()) == MAX_WATCHED_SHARDS
    local.add(1, 10, 100)
    local.add(40, 10, 100)
    remote.add(1, 20, 70)
    early = remote.reports()
    remote.add(1, 20, 30)
    for report in (*remote.reports(), *early, *remote.reports(), DigestReport(a, 1, early[0].nodes)):
        local.merge(report)
    assert local.merged(1).total == 200 and local.merged(40).total == 0
    local.watch((2,))
    assert local.merged(1).total == 0
