"""The ring, packed records and idempotency groups, compared with sorted lists."""

from hypothesis import given, settings
from hypothesis import strategies as st

from molereach.policy.interface.events import Endpoint, EndpointState
from molereach.policy.interface.settings import DeduplicationScope
from molereach.subsetting.idempotency_groups import IdempotencyGroups, scope_keys
from molereach.subsetting.packed_records import cell_of, is_up, name_of, pack, unpack, zone_of
from molereach.subsetting.ring import Ring
from tests.subsetting.model import DRAINING, REMOVED, UP, endpoint, settings_with

POSITIONS = st.one_of(st.integers(0, 5), st.integers(0, (1 << 64) - 1), st.just((1 << 64) - 1))
OPERATION = st.tuples(st.sampled_from(("put", "drain", "remove")), st.integers(0, 12), POSITIONS)


@given(st.lists(OPERATION, max_size=40), POSITIONS)
def test_ring_yields_records_in_order_from_any_position(
    operations: list[tuple[str, int, int]], start: int
) -> None:
    ring, expected = Ring(), dict[tuple[int, str], bytes]()
    for operation, number, position in operations:
        listed = endpoint(number, state=DRAINING if operation == "drain" else UP)
        record = pack(listed, ("h", 1))
        if operation == "remove":
            assert ring.remove(position, listed.name.encode()) == expected.pop((position, listed.name), None)
        else:
            assert ring.put(position, record) == expected.get((position, listed.name))
            expected[position, listed.name] = record
    up = {key: record for key, record in expected.items() if is_up(record)}
    assert (ring.count, ring.up) == (len(expected), len(up))
    assert list(ring) == [record for _, record in sorted(expected.items())]
    descending = [(position, record) for (position, _), record in sorted(up.items(), reverse=True)]
    backwards = [each for each in descending if each[0] <= start] + [
        each for each in descending if each[0] > start
    ]
    assert list(ring.up_backwards_from(start)) == backwards
    assert list(ring.up_at_position(start)) == [
        record for (position, _), record in sorted(up.items()) if position == start
    ]


@settings(max_examples=50)
@given(
    st.text(max_size=20),
    st.integers(-1, 1 << 30),
    st.integers(-(1 << 60), 1 << 60),
    st.sampled_from((UP, DRAINING)),
    st.one_of(st.none(), st.tuples(st.text(max_size=20), st.integers(1, 65_535))),
)
def test_unpack_returns_what_was_packed(
    name: str, number: int, started_us: int, state: EndpointState, address: tuple[str, int] | None
) -> None:
    listed = Endpoint(name, number, number // 2, number // 3, state, 0.5, started_us)
    record = pack(listed, address)
    assert unpack(record) == (listed, address)
    assert name_of(record).decode() == name and is_up(record) == (state is UP)
    assert (zone_of(record), cell_of(record)) == (number, number // 3)


@settings(max_examples=50)
@given(st.lists(st.tuples(st.integers(0, 30), st.integers(0, 3)), unique_by=lambda pair: pair[0]))
def test_substitutes_are_the_next_backends_of_the_group(members: list[tuple[int, int]]) -> None:
    groups = IdempotencyGroups(cell_of)
    records = {position: pack(endpoint(position, cell=cell), None) for position, cell in members}
    for position, record in records.items():
        groups.add(position, record)
    for position, cell in members:
        others = sorted(
            (other for other, other_cell in members if other_cell == cell and other != position),
            key=lambda other: (other < position, other),
        )
        assert list(groups.substitutes(position, records[position])) == others[:2]
    for position, record in records.items():
        groups.remove(position, record)
    assert not groups.positions_by_scope  # an empty group is removed


def test_scope_keys_are_those_to_which_classes_restrict_their_retries() -> None:
    assert scope_keys(settings_with()) == scope_keys(settings_with(scopes=(DeduplicationScope.ALL,))) == []
    assert scope_keys(settings_with(scopes=(DeduplicationScope.CELL, DeduplicationScope.ZONE))) == [
        zone_of,
        cell_of,
    ]
    assert REMOVED not in (UP, DRAINING)
