"""Readings by member: bounds in bytes and age, and whose readings make way."""

import random
from itertools import pairwise

import pytest

from molereach.cache.readings.reading import Reading
from molereach.cache.readings.settings import MOST_ASKED_BYTES, OVERHEAD_BYTES, ReadingSettings, S
from molereach.cache.readings.store import Share, Store

KB = 1024
SETTINGS = ReadingSettings({"load": 2 * S, "meter": S}, 64 * KB, 16 * KB, 4 * KB)
A, B, C = "00000000000000aa", "00000000000000bb", "00000000000000cc"


def reading(member: str, asked: str, size: int = 100, sent_us: int = 0, class_name: str = "load") -> Reading:
    return Reading(member, class_name, asked.encode(), b"v" * size, sent_us, 0)


def sound(store: Store) -> None:
    """What must hold after each call."""
    shares = store._shares
    assert store.size <= store.settings.total_bytes
    assert all(share.size <= store.settings.member_bytes and share.readings for share in shares.values())
    assert store.size == sum(share.size for share in shares.values())
    kept = {each for share in shares.values() for each in share.readings.values()}
    assert kept == set(store._fresh) | set(store._proven) and not set(store._fresh) & set(store._proven)
    assert sum(each.size for each in store._proven) == store._proven_size <= store._most_proven


def test_a_reading_is_found_by_member_class_and_what_was_asked_alone() -> None:
    store = Store(SETTINGS)
    kept = reading(A, "x")
    assert store.put(0, kept)
    assert store.get(1, A, "load", b"x") is kept
    for wrong in ((B, "load", b"x"), (A, "meter", b"x"), (A, "load", b"y")):
        assert store.get(1, *wrong) is None


def test_a_reading_is_dead_at_its_class_s_age_from_when_its_request_was_sent() -> None:
    store = Store(SETTINGS)
    assert store.put(S, reading(A, "x", sent_us=10))
    assert store.get(2 * S + 9, A, "load", b"x")
    assert store.get(2 * S + 10, A, "load", b"x") is None
    assert not store.size and not store._shares
    assert not store.put(3 * S, reading(A, "x", sent_us=S))
    assert not store.put(0, reading(A, "x", class_name="write"))


def test_one_that_was_sent_before_the_one_that_is_here_does_not_replace_it() -> None:
    store = Store(SETTINGS)
    store.put(10, late := reading(A, "x", sent_us=9))
    assert not store.put(11, reading(A, "x", sent_us=8))
    assert store.get(12, A, "load", b"x") is late
    assert store.put(13, newer := reading(A, "x", sent_us=12))
    assert store.get(14, A, "load", b"x") is newer
    sound(store)


def test_what_is_too_large_is_not_kept() -> None:
    store = Store(SETTINGS)
    assert not store.put(0, reading(A, "x", 4 * KB + 1))
    assert not store.put(0, reading(A, "x" * (MOST_ASKED_BYTES + 1)))
    assert store.put(0, reading(A, "x" * MOST_ASKED_BYTES, 4 * KB))


def test_a_member_at_its_bound_pushes_out_its_own_the_one_used_longest_ago_first() -> None:
    store = Store(SETTINGS)
    store.put(0, reading(B, "other"))
    for number in range(100):
        store.put(0, reading(A, str(number)))
        if store.get(0, A, "load", b"0") is None:
            pytest.fail("the one in use was pushed out")
    assert store.get(0, B, "load", b"other")
    assert store.get(0, A, "load", b"99") and not store.get(0, A, "load", b"1")
    sound(store)


def test_one_member_costs_all_others_no_more_than_its_own_bound() -> None:
    store = Store(SETTINGS)
    others = [f"{number:016x}" for number in range(200)]
    for member in others:
        store.put(0, reading(member, "x"))
    before = store.size
    for number in range(5_000):
        store.put(0, reading(A, str(number)))
    left = store.size - store.size_of(A)
    assert before - left <= SETTINGS.member_bytes
    assert store.size_of(A) <= SETTINGS.member_bytes
    sound(store)


def test_what_was_used_again_outlives_what_was_used_once() -> None:
    store = Store(SETTINGS)
    store.put(0, reading(A, "hot"))
    assert store.get(0, A, "load", b"hot")
    for number in range(1_000):
        store.put(0, reading(f"{number:016x}", "once"))
    assert store.get(0, A, "load", b"hot")
    sound(store)


def test_where_all_is_used_again_the_part_of_it_that_was_used_longest_ago_gives_way() -> None:
    store = Store(SETTINGS)
    for number in range(70):
        store.put(0, reading(f"{number:016x}", "x"))
        assert store.get(0, f"{number:016x}", "load", b"x")
        sound(store)
    for number in range(70, 100):
        store.put(0, reading(f"{number:016x}", "x"))
    assert not store.get(0, f"{0:016x}", "load", b"x") and store.get(0, f"{69:016x}", "load", b"x")


def test_one_large_reading_makes_a_bounded_number_give_way() -> None:
    store = Store(SETTINGS)
    for number in range(1_000):
        store.put(0, reading(f"{number:016x}", "small", 0))
    before = store.pushed_out
    store.put(0, reading(A, "large", 4 * KB))
    assert 1 <= store.pushed_out - before <= (4 * KB + MOST_ASKED_BYTES) // OVERHEAD_BYTES + 2


def test_nothing_stays_for_twice_its_age_and_a_look_is_bounded() -> None:
    store, now_us = Store(SETTINGS), 0
    chance = random.Random(1)
    for number in range(40):
        now_us += S // 20
        store.put(now_us, reading(A, str(number), sent_us=now_us))
        store.get(now_us, A, "load", str(chance.randrange(number + 1)).encode())
        assert store.expire(now_us, 3) <= 3
    assert len(store) > 10
    while store.expire(now_us + 2 * S, 3):
        pass
    assert not len(store) and not store.size and not store._shares


def test_any_calls_leave_all_of_it_in_step() -> None:
    chance, store, now_us = random.Random(2), Store(SETTINGS), 0
    for _ in range(3_000):
        now_us += chance.randrange(S // 50)
        member, asked = chance.choice((A, B, C)), str(chance.randrange(40))
        match chance.randrange(5):
            case 0 | 1:
                sent_us = now_us - chance.randrange(3 * S)
                store.put(
                    now_us,
                    reading(
                        member, asked, chance.randrange(4 * KB), sent_us, chance.choice(("load", "meter"))
                    ),
                )
            case 2 | 3:
                found = store.get(now_us, member, chance.choice(("load", "meter")), asked.encode())
                assert found is None or (found.member, found.asked) == (member, asked.encode())
            case _:
                store.expire(now_us, 2)
        sound(store)


def test_readings_are_dropped_once_and_listed_in_part() -> None:
    store = Store(SETTINGS)
    for number in range(10):
        assert store.put(0, reading(A, str(number)))
    store.get(0, A, "load", b"0")
    assert len(store.some(3)) == 3 and len(store.some(99)) == 10
    first, *_ = store.some(1)
    assert store.drop(first) and not store.drop(first)
    assert [each.asked for each, _ in pairwise(store.of(A))] and not list(store.of(B))
    assert isinstance(store._shares[A], Share)


@pytest.mark.parametrize(
    ("key", "changed"),
    [
        ("ages", {"ages_us": {}}),
        ("ages", {"ages_us": {"x": 0}}),
        ("ages", {"ages_us": {"x": 61 * S}}),
        ("reading_bytes", {"reading_bytes": 0}),
        ("reading_bytes", {"reading_bytes": 1 << 20}),
        ("member_bytes", {"member_bytes": 4 * KB}),
        ("total_bytes", {"total_bytes": 31 * KB}),
    ],
)
def test_settings_that_cannot_be_name_their_key(key: str, changed: dict[str, object]) -> None:
    fields: dict[str, object] = {
        "ages_us": {"load": S},
        "total_bytes": 64 * KB,
        "member_bytes": 16 * KB,
        "reading_bytes": 4 * KB,
    }
    with pytest.raises(ValueError, match=f"^{key}: "):
        ReadingSettings(**{**fields, **changed})  # type: ignore[arg-type]
