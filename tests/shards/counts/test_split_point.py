"""The cut follows from the members' own writes; one member that is over half is named, not cut."""

import pytest

from molereach.coordination.interface.identifiers import NodeInstance
from molereach.shards.counts.messages import MOST_NODES, Sketch
from molereach.shards.counts.qdigest import FACTOR, LEVELS, MOST_HELD, Digest
from molereach.shards.counts.split_point import Cut, NoCut, OneMember, place
from molereach.shards.counts.watched_digests import MOST_WATCHED, Sketches
from molereach.shards.map.shard_map import MEMBERS
from tests.shards.generated import drawn_by


def drawn_members(seed: int, writes: int, skew: int) -> list[tuple[int, int]]:
    """Most of the writes by the newest ids, as ids are given out in order."""
    draw = drawn_by(seed)
    return [(int((1 - draw() ** skew) * (1 << 30)), 1 + int(draw() * 100)) for _ in range(writes)]


def balance(cut: int, members: list[tuple[int, int]]) -> float:
    return sum(size for member, size in members if member < cut) / sum(size for _, size in members)


@pytest.mark.parametrize("skew", [1, 4, 12])
def test_a_cut_has_half_of_the_writes_on_each_side(skew: int) -> None:
    digest, members = Digest(), drawn_members(skew, 20_000, skew)
    for member, size in members:
        digest.add(member, size)
    cut = place(digest, 0, MEMBERS)
    assert isinstance(cut, Cut)
    assert abs(balance(cut.member, members) - 0.5) < 0.05
    assert abs(balance(MEMBERS // 2, members) - 0.5) > 0.4  # the mutation: the middle of the range
    assert abs(cut.below - balance(cut.member, members)) <= LEVELS / FACTOR


def test_the_cut_is_inside_the_shard() -> None:
    digest = Digest()
    for member in (100, 101, 102, 103):
        digest.add(member, 10)
    cut = place(digest, 100, 104)
    assert cut == Cut(102, 0.5)
    assert place(Digest(), 0, 100) == NoCut("no writes are known")
    digest = Digest()
    digest.add(100, 10)
    digest.add(105, 10)
    assert isinstance(place(digest, 103, 200), OneMember)  # the other is not in it


def test_one_member_over_half_is_named() -> None:
    digest = Digest()
    for member, size in drawn_members(3, 5000, 1):
        digest.add(member, size)
        digest.add(77, size + 30)
    found = place(digest, 0, MEMBERS)
    assert isinstance(found, OneMember) and found.member == 77 and found.part > 0.5
    for member, size in drawn_members(4, 9000, 1):
        digest.add(member, size)
    assert isinstance(place(digest, 0, MEMBERS), Cut)


def test_the_cut_is_by_weight_and_never_beside_all_writes() -> None:
    digest = Digest()
    for member, size in ((5, 6), (6, 47), (7, 47)):
        digest.add(member, size)
    assert place(digest, 5, 8) == Cut(7, 0.53)
    assert place(digest, 5, 7) == OneMember(6, 47 / 53)
    digest = Digest()
    digest.nodes[MEMBERS >> 1] = 10  # ids 0 and 1, not known apart
    assert isinstance(place(digest, 0, 2), NoCut) and isinstance(place(digest, 0, 9), NoCut)
    digest.nodes[MEMBERS + 8] = 9
    assert place(digest, 0, 9) == Cut(2, 10 / 19)


def test_digests_are_bounded_and_add_up() -> None:
    one, two, members = Digest(), Digest(), drawn_members(5, 30_000, 3)
    for at, (member, size) in enumerate(members):
        (one if at % 2 else two).add(member, size)
        assert len(one.nodes) <= MOST_HELD + 1
    whole = Digest()
    whole.join(one.told())
    whole.join(two.told())
    assert len(one.told()) <= MOST_NODES and whole.total == sum(size for _, size in members)
    cut = place(whole, 0, MEMBERS)
    assert isinstance(cut, Cut) and abs(balance(cut.member, members) - 0.5) < 0.06
    with pytest.raises(ValueError):
        one.add(MEMBERS, 1)


def test_the_largest_sketch_of_a_life_holds_and_few_shards_are_watched() -> None:
    a, b = NodeInstance("a", 1), NodeInstance("b", 1)
    mine, theirs = Sketches(a), Sketches(b)
    for sketches in (mine, theirs):
        sketches.watch(tuple(range(1, 50)))
        assert len(sketches.told()) == MOST_WATCHED
    mine.add(1, 10, 100)
    mine.add(40, 10, 100)
    theirs.add(1, 20, 70)
    early = theirs.told()
    theirs.add(1, 20, 30)
    for sketch in (*theirs.told(), *early, *theirs.told(), Sketch(a, 1, early[0].nodes)):
        mine.heard(sketch)
    assert mine.of(1).total == 200 and mine.of(40).total == 0
    mine.watch((2,))
    assert mine.of(1).total == 0
