"""Invalid requests are rejected with the field and the reason in one line."""

from typing import Any

import msgspec
import pytest

from molereach.upkeep.requests.cycles import find_cycle
from molereach.upkeep.requests.validation import MAX_OPEN_ITEMS, MAX_OPEN_ITEMS_PER_MACHINE, check_request
from molereach.upkeep.requests.work_item import MachineKind, WorkItem, check_fields
from tests.upkeep.builders import NOON_MS, work_item

MACHINES = {**{f"s{number}": MachineKind.SERVER for number in range(300)}, "d0": MachineKind.DOOR}


@pytest.mark.parametrize(
    "fields, reason",
    [
        ({"not_before_ms": 9, "not_after_ms": 9}, "not_after_ms: the window ends before it begins"),
        (
            {"not_before_ms": 0, "not_after_ms": 29 * 60_000},
            "not_after_ms: the window is shorter than 30 min",
        ),
        ({"after": ("s0",)}, "after: s0 itself is among them"),
        ({"not_with": ("s0",)}, "not_with: s0 itself is among them"),
        ({"after": ("s1", "s1")}, "after: a machine is named twice"),
        ({"successor": "s0"}, "successor: the machine's own name"),
        ({"reason": "two\nlines"}, "reason: not printable text"),
        ({"machine": "s999"}, "machine: s999 is not known"),
        ({"kind": MachineKind.DOOR}, "kind: s0 is a server"),
        ({"after": ("gone",)}, "after: gone is not known"),
        ({"not_with": ("gone",)}, "not_with: gone is not known"),
        ({"successor": "s9"}, "successor: s9 is another machine"),
        ({"not_after_ms": NOON_MS}, "not_after_ms: the window has passed"),
    ],
)
def test_first_invalid_field_is_reported_in_one_line(fields: dict[str, Any], reason: str) -> None:
    item = msgspec.structs.replace(work_item("w"), **fields)
    assert str(check_request(item, (), {}, MACHINES, NOON_MS)) == reason


@pytest.mark.parametrize(
    "field, value",
    [
        ("minutes", 0),
        ("minutes", 10_081),
        ("id", ""),
        ("machine", "-x"),
        ("reason", ""),
        ("not_before_ms", -1),
        ("after", [f"s{n}" for n in range(9)]),
        ("kind", "rack"),
        ("more", 1),
    ],
)
def test_values_out_of_range_are_not_decoded(field: str, value: object) -> None:
    fields = {**msgspec.to_builtins(work_item("w")), field: value}
    with pytest.raises(msgspec.ValidationError):
        msgspec.convert(fields, WorkItem)


def test_repeated_request_is_valid_and_an_id_has_one_meaning() -> None:
    item = work_item("w")
    assert check_request(item, (item,), {"w": item}, MACHINES, NOON_MS) is None
    other = check_request(work_item("w", "s1"), (item,), {"w": item}, MACHINES, NOON_MS)
    assert str(other) == "id: is used for something else"


def test_cycle_is_reported_by_its_machines_over_all_their_items() -> None:
    others = (work_item("1", "s1", after=("s2",)), work_item("2", "s2"), work_item("3", "s2", after=("s0",)))
    assert find_cycle(work_item("4", "s3", after=("s1",)), others) == ()
    assert find_cycle(work_item("4", "s0", after=("s1",)), others) == ("s1", "s2", "s0")
    reason = check_request(work_item("4", "s0", after=("s1",)), others, {}, MACHINES, NOON_MS)
    assert str(reason) == "after: a cycle: s0 after s1 after s2 after s0"
    own = (work_item("1", "s0", after=("s1",)),)
    assert (
        str(check_request(work_item("2", "s1", after=("s0",)), own, {}, MACHINES, NOON_MS))
        == "after: a cycle: s1 after s0 after s1"
    )


def test_open_items_are_limited_in_total_and_per_machine() -> None:
    open_items = [work_item(f"w{number}", f"s{number}") for number in range(MAX_OPEN_ITEMS)]
    reason = str(check_request(work_item("w", "s299"), open_items, {}, MACHINES, NOON_MS))
    assert reason == f"id: more than {MAX_OPEN_ITEMS} works are open"
    items = [work_item(f"w{number}") for number in range(MAX_OPEN_ITEMS_PER_MACHINE)]
    assert (
        str(check_request(work_item("w"), items, {}, MACHINES, NOON_MS))
        == "machine: more than 4 works of s0 are open"
    )
    assert check_request(work_item("w"), items[1:], {}, MACHINES, NOON_MS) is None
    assert check_fields(work_item("w")) is None
