"""The store's bounds on size and age, and which readings it evicts."""

import random
from itertools import pairwise

import pytest

from molereach.cache.readings.reading import Reading
from molereach.cache.readings.settings import (
    MAX_REQUEST_BYTES,
    OVERHEAD_BYTES,
    SECOND_US,
    ReadingSettings,
)
from molereach.cache.readings.store import Share, Store

KB = 1024
SETTINGS = ReadingSettings({"load": 2 * SECOND_US, "meter": SECOND_US}, 64 * KB, 16 * KB, 4 * KB)
A, B, C = "00000000000000aa", "00000000000000bb", "00000000000000cc"


def new_reading(
    member: str, request: str, value_bytes: int = 100, sent_us: int = 0, class_name: str = "load"
) -> Reading:
    return Reading(member, class_name, request.encode(), b"v" * value_bytes, sent_us, 0)


def check_invariants(store: Store) -> None:
    shares = store._shares
    assert store.size <= store.settings.total_bytes
    assert all(share.size <= store.settings.member_bytes and share.readings for share in shares.values())
    assert store.size == sum(share.size for share in shares.values())
    stored = {reading for share in shares.values() for reading in share.readings.values()}
    assert stored == set(store._fresh) | set(store._proven) and not set(store._fresh) & set(store._proven)
    assert sum(reading.size for reading in store._proven) == store._proven_size <= store._max_proven_size


def test_a_reading_is_found_only_by_its_member_class_and_request() -> None:
    store = Store(SETTINGS)
    reading = new_reading(A, "x")
    assert store.put(0, reading)
    assert store.get(1, A, "load", b"x") is reading
    for other in ((B, "load", b"x"), (A, "meter", b"x"), (A, "load", b"y")):
        assert store.get(1, *other) is None


def test_a_reading_expires_at_its_class_s_age_from_when_its_request_was_sent() -> None:
    store = Store(SETTINGS)
    assert store.put(SECOND_US, new_reading(A, "x", sent_us=10))
    assert store.get(2 * SECOND_US + 9, A, "load", b"x")
    assert store.get(2 * SECOND_US + 10, A, "load", b"x") is None
    assert not store.size and not store._shares
    assert not store.put(3 * SECOND_US, new_reading(A, "x", sent_us=SECOND_US))
    assert not store.put(0, new_reading(A, "x", class_name="write"))


def test_a_reading_that_was_sent_earlier_does_not_replace_the_stored_one() -> None:
    store = Store(SETTINGS)
    store.put(10, stored := new_reading(A, "x", sent_us=9))
    assert not store.put(11, new_reading(A, "x", sent_us=8))
    assert store.get(12, A, "load", b"x") is stored
    assert store.put(13, newer := new_reading(A, "x", sent_us=12))
    assert store.get(14, A, "load", b"x") is newer
    check_invariants(store)


def test_a_reading_that_is_too_large_is_not_stored() -> None:
    store = Store(SETTINGS)
    assert not store.put(0, new_reading(A, "x", 4 * KB + 1))
    assert not store.put(0, new_reading(A, "x" * (MAX_REQUEST_BYTES + 1)))
    assert store.put(0, new_reading(A, "x" * MAX_REQUEST_BYTES, 4 * KB))


def test_a_member_at_its_bound_evicts_its_own_least_recently_used_reading() -> None:
    store = Store(SETTINGS)
    store.put(0, new_reading(B, "other"))
    for number in range(100):
        store.put(0, new_reading(A, str(number)))
        if store.get(0, A, "load", b"0") is None:
            pytest.fail("the reading in use was evicted")
    assert store.get(0, B, "load", b"other")
    assert store.get(0, A, "load", b"99") and not store.get(0, A, "load", b"1")
    check_invariants(store)


def test_one_member_evicts_no_more_of_others_than_its_own_bound() -> None:
    store = Store(SETTINGS)
    others = [f"{number:016x}" for number in range(200)]
    for member in others:
        store.put(0, new_reading(member, "x"))
    initial_size = store.size
    for number in range(5_000):
        store.put(0, new_reading(A, str(number)))
    others_size = store.size - store.member_size(A)
    assert initial_size - others_size <= SETTINGS.member_bytes
    assert store.member_size(A) <= SETTINGS.member_bytes
    check_invariants(store)


def test_a_reading_that_was_used_again_outlives_those_used_once() -> None:
    store = Store(SETTINGS)
    store.put(0, new_reading(A, "hot"))
    assert store.get(0, A, "load", b"hot")
    for number in range(1_000):
        store.put(0, new_reading(f"{number:016x}", "once"))
    assert store.get(0, A, "load", b"hot")
    check_invariants(store)


def test_where_all_readings_were_used_again_the_least_recently_used_are_evicted() -> None:
    store = Store(SETTINGS)
    for number in range(70):
        store.put(0, new_reading(f"{number:016x}", "x"))
        assert store.get(0, f"{number:016x}", "load", b"x")
        check_invariants(store)
    for number in range(70, 100):
        store.put(0, new_reading(f"{number:016x}", "x"))
    assert not store.get(0, f"{0:016x}", "load", b"x") and store.get(0, f"{69:016x}", "load", b"x")


def test_one_large_reading_evicts_a_bounded_number() -> None:
    store = Store(SETTINGS)
    for number in range(1_000):
        store.put(0, new_reading(f"{number:016x}", "small", 0))
    initial_evictions = store.evictions
    store.put(0, new_reading(A, "large", 4 * KB))
    assert 1 <= store.evictions - initial_evictions <= (4 * KB + MAX_REQUEST_BYTES) // OVERHEAD_BYTES + 2


def test_no_reading_stays_for_twice_its_age_and_removal_is_bounded() -> None:
    store, now_us = Store(SETTINGS), 0
    generator = random.Random(1)
    for number in range(40):
        now_us += SECOND_US // 20
        store.put(now_us, new_reading(A, str(number), sent_us=now_us))
        store.get(now_us, A, "load", str(generator.randrange(number + 1)).encode())
        assert store.remove_expired(now_us, 3) <= 3
    assert len(store) > 10
    while store.remove_expired(now_us + 2 * SECOND_US, 3):
        pass
    assert not len(store) and not store.size and not store._shares


def test_random_calls_keep_the_invariants() -> None:
    generator, store, now_us = random.Random(2), Store(SETTINGS), 0
    for _ in range(3_000):
        now_us += generator.randrange(SECOND_US // 50)
        member, request = generator.choice((A, B, C)), str(generator.randrange(40))
        match generator.randrange(5):
            case 0 | 1:
                sent_us = now_us - generator.randrange(3 * SECOND_US)
                store.put(
                    now_us,
                    new_reading(
                        member,
                        request,
                        generator.randrange(4 * KB),
                        sent_us,
                        generator.choice(("load", "meter")),
                    ),
                )
            case 2 | 3:
                found = store.get(now_us, member, generator.choice(("load", "meter")), request.encode())
                assert found is None or (found.member, found.request) == (member, request.encode())
            case _:
                store.remove_expired(now_us, 2)
        check_invariants(store)


def test_a_reading_is_removed_once_and_lists_of_readings_are_limited() -> None:
    store = Store(SETTINGS)
    for number in range(10):
        assert store.put(0, new_reading(A, str(number)))
    store.get(0, A, "load", b"0")
    assert len(store.oldest_readings(3)) == 3 and len(store.oldest_readings(99)) == 10
    first, *_ = store.oldest_readings(1)
    assert store.remove(first) and not store.remove(first)
    assert [reading.request for reading, _ in pairwise(store.readings_of(A))] and not list(
        store.readings_of(B)
    )
    assert isinstance(store._shares[A], Share)


@pytest.mark.parametrize(
    ("key", "changed"),
    [
        ("ages", {"ages_us": {}}),
        ("ages", {"ages_us": {"x": 0}}),
        ("ages", {"ages_us": {"x": 61 * SECOND_US}}),
        ("reading_bytes", {"reading_bytes": 0}),
        ("reading_bytes", {"reading_bytes": 1 << 20}),
        ("member_bytes", {"member_bytes": 4 * KB}),
        ("total_bytes", {"total_bytes": 31 * KB}),
    ],
)
def test_the_error_for_invalid_settings_names_the_key(key: str, changed: dict[str, object]) -> None:
    fields: dict[str, object] = {
        "ages_us": {"load": SECOND_US},
        "total_bytes": 64 * KB,
        "member_bytes": 16 * KB,
        "reading_bytes": 4 * KB,
    }
    with pytest.raises(ValueError, match=f"^{key}: "):
        ReadingSettings(**{**fields, **changed})  # type: ignore[arg-type]
