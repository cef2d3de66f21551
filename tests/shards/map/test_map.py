"""Each member is in exactly one shard at each version; news leads from any version to the last."""

import msgspec
import pytest

from molereach.shards.map.delta import Delta, applied, between
from molereach.shards.map.history import MOST_DELTAS, History
from molereach.shards.map.range_split import after, wrong
from molereach.shards.map.shard_lookup import Lookup
from molereach.shards.map.shard_map import MEMBERS, MOST_SHARDS, Home, Piece, ShardMap, unsound
from tests.shards.generated import HOMES, drawn_by, even_map


def test_each_member_is_in_one_shard_at_each_version_of_drawn_cuts() -> None:
    draw, found = drawn_by(1), even_map(1)
    for _ in range(300):
        index = int(draw() * len(found.pieces))
        piece, end = found.pieces[index], found.end(index)
        cut = piece.first + int(draw() * (end - piece.first))
        to = next(home for home in HOMES if home.building == piece.home.building and home != piece.home)
        if wrong(found, piece.shard, cut, to):
            continue
        found = after(found, piece.shard, cut, to)
        look = Lookup(found)
        for member in (0, cut - 1, cut, MEMBERS - 1, int(draw() * MEMBERS)):
            inside = [
                each.shard for at, each in enumerate(found.pieces) if each.first <= member < found.end(at)
            ]
            assert inside == [look.at(member).shard]
        assert look.at(cut).home == to and look.at(cut - 1).home == piece.home
    assert found.version > 200


@pytest.mark.parametrize(
    "pieces",
    [
        (),
        (Piece(5, 1, HOMES[0]),),
        (Piece(0, 1, HOMES[0]), Piece(0, 2, HOMES[0])),
        (Piece(0, 1, HOMES[0]), Piece(9, 2, HOMES[0]), Piece(7, 3, HOMES[0])),
        (Piece(0, 1, HOMES[0]), Piece(9, 1, HOMES[0])),
        (Piece(0, 9, HOMES[0]),),
    ],
)
def test_a_map_that_leaves_out_or_doubles_a_member_is_refused(pieces: tuple[Piece, ...]) -> None:
    found = ShardMap(1, pieces, 3)
    assert unsound(found)
    with pytest.raises(ValueError):
        Lookup(found)
    with pytest.raises(ValueError):
        History(found)


@pytest.mark.parametrize(
    ("shard", "cut", "to", "said"),
    [
        (9, 5, HOMES[1], "shard"),
        (1, 0, HOMES[1], "cut"),
        (1, MEMBERS // 2, HOMES[1], "cut"),
        (1, 5, HOMES[0], "to"),
        (1, 5, Home("b9", "c1"), "to"),
    ],
)
def test_cuts_that_cannot_be(shard: int, cut: int, to: Home, said: str) -> None:
    assert wrong(even_map(2), shard, cut, to).startswith(said)
    with pytest.raises(ValueError):
        after(even_map(2), shard, cut, to)


def test_a_full_map_is_not_cut() -> None:
    assert wrong(even_map(MOST_SHARDS), 1, 5, HOMES[1]).startswith("pieces")


def test_a_shards_number_is_never_used_again() -> None:
    found = after(even_map(1), 1, 100, HOMES[1])
    assert [piece.shard for piece in found.pieces] == [1, 2]
    assert [piece.shard for piece in after(found, 1, 50, HOMES[2]).pieces] == [1, 3, 2]


def test_look_up_takes_the_same_steps_in_any_map() -> None:
    seen: list[int] = []

    class Counted(int):
        def __lt__(self, other: int) -> bool:
            seen.append(1)
            return int(self) < int(other)

        def __ge__(self, other: int) -> bool:
            seen.append(1)
            return int(self) >= int(other)

    for shards in (1, MOST_SHARDS):
        seen.clear()
        assert Lookup(even_map(shards)).at(Counted(MEMBERS - 1)).shard == shards
        assert 1 <= len(seen) <= 12


def test_news_lead_from_any_version_to_the_last_and_are_bounded() -> None:
    found = even_map(1)
    history, versions = History(found), [found]
    for number in range(MOST_DELTAS + 20):
        shard = found.pieces[0]
        found = after(found, shard.shard, (1 << 32) - 1000 * number, HOMES[1 + number % 3])
        history.put(found)
        versions.append(found)
    for old in versions:
        news = history.news(old.version)
        if isinstance(news, ShardMap):
            assert news == found and old.version < found.version - MOST_DELTAS
            continue
        for delta in news:
            old = applied(old, delta)
        assert old == found
    assert history.news(found.version + 5) == found  # who says what never was is told all


def test_a_delta_for_another_version_is_refused() -> None:
    one = even_map(1)
    two = after(one, 1, 100, HOMES[1])
    three = after(two, 2, 200, HOMES[0])
    assert applied(one, between(one, three)) == three
    change = between(one, two)
    for broken in (
        between(two, three),
        Delta(1, 1, (), 3),
        msgspec.structs.replace(change, last_shard=1),
        msgspec.structs.replace(change, new=(Piece(0, 2, HOMES[1]),)),
        msgspec.structs.replace(change, new=(Piece(7, 1, HOMES[1]),)),
    ):
        with pytest.raises(ValueError):
            applied(one, broken)
    for later in (two, even_map(2, version=9)):
        with pytest.raises(ValueError):
            between(two, later)
    full = even_map(MOST_SHARDS)
    with pytest.raises(ValueError):
        applied(full, Delta(1, 2, (Piece(7, MOST_SHARDS + 1, HOMES[1]),), MOST_SHARDS + 1))
