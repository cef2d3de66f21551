"""The ring, its records and its groups, against a sorted list."""

from hypothesis import given, settings
from hypothesis import strategies as st

from molereach.policy.interface.events import Endpoint, EndpointState
from molereach.policy.interface.settings import DeduplicationScope
from molereach.subsetting.idempotency_groups import IdempotencyGroups, scope_keys
from molereach.subsetting.packed_records import cell_of, is_up, name_of, pack, unpack, zone_of
from molereach.subsetting.ring import Ring
from tests.subsetting.model import DRAINING, GONE, UP, server, settings_of

PLACES = st.one_of(st.integers(0, 5), st.integers(0, (1 << 64) - 1), st.just((1 << 64) - 1))
STEP = st.tuples(st.sampled_from(("put", "drain", "remove")), st.integers(0, 12), PLACES)


@given(st.lists(STEP, max_size=40), PLACES)
def test_ring_holds_what_was_put_in_order_from_any_position(
    steps: list[tuple[str, int, int]], start: int
) -> None:
    ring, known = Ring(), dict[tuple[int, str], bytes]()
    for what, number, place in steps:
        entry = server(number, state=DRAINING if what == "drain" else UP)
        record = pack(entry, ("h", 1))
        if what == "remove":
            assert ring.remove(place, entry.name.encode()) == known.pop((place, entry.name), None)
        else:
            assert ring.put(place, record) == known.get((place, entry.name))
            known[place, entry.name] = record
    up = {key: record for key, record in known.items() if is_up(record)}
    assert (ring.count, ring.up) == (len(known), len(up))
    assert list(ring) == [record for _, record in sorted(known.items())]
    back = [(place, record) for (place, _), record in sorted(up.items(), reverse=True)]
    once_round = [each for each in back if each[0] <= start] + [each for each in back if each[0] > start]
    assert list(ring.up_backwards_from(start)) == once_round
    assert list(ring.up_at_position(start)) == [
        record for (place, _), record in sorted(up.items()) if place == start
    ]


@settings(max_examples=50)
@given(
    st.text(max_size=20),
    st.integers(-1, 1 << 30),
    st.integers(-(1 << 60), 1 << 60),
    st.sampled_from((UP, DRAINING)),
    st.one_of(st.none(), st.tuples(st.text(max_size=20), st.integers(1, 65_535))),
)
def test_record_gives_back_what_was_packed(
    name: str, figure: int, started_us: int, state: EndpointState, address: tuple[str, int] | None
) -> None:
    entry = Endpoint(name, figure, figure // 2, figure // 3, state, 0.5, started_us)
    record = pack(entry, address)
    assert unpack(record) == (entry, address)
    assert name_of(record).decode() == name and is_up(record) == (state is UP)
    assert (zone_of(record), cell_of(record)) == (figure, figure // 3)


@settings(max_examples=50)
@given(st.lists(st.tuples(st.integers(0, 30), st.integers(0, 3)), unique_by=lambda pair: pair[0]))
def test_substitutes_are_the_next_of_the_group_once_round(members: list[tuple[int, int]]) -> None:
    groups = IdempotencyGroups(cell_of)
    records = {place: pack(server(place, cell=cell), None) for place, cell in members}
    for place, record in records.items():
        groups.add(place, record)
    for place, cell in members:
        others = sorted(
            (other for other, its in members if its == cell and other != place),
            key=lambda other: (other < place, other),
        )
        assert list(groups.substitutes(place, records[place])) == others[:2]
    for place, record in records.items():
        groups.remove(place, record)
    assert not groups.positions_by_scope  # a group that is empty leaves nothing


def test_groups_are_of_the_classes_that_are_repeated_within_them() -> None:
    assert scope_keys(settings_of()) == scope_keys(settings_of(groups=(DeduplicationScope.ALL,))) == []
    assert scope_keys(settings_of(groups=(DeduplicationScope.CELL, DeduplicationScope.ZONE))) == [
        zone_of,
        cell_of,
    ]
    assert GONE not in (UP, DRAINING)
