"""What may not be asked for: the field and the reason, in one line."""

from typing import Any

import msgspec
import pytest

from molereach.upkeep.requests.cycles import cycle
from molereach.upkeep.requests.validation import MOST_OPEN, MOST_OPEN_EACH, wrong
from molereach.upkeep.requests.work_item import Kind, Work, wrong_by_itself
from tests.upkeep.builders import NOON_MS, work

MACHINES = {**{f"s{number}": Kind.SERVER for number in range(300)}, "d0": Kind.DOOR}


@pytest.mark.parametrize(
    "more, said",
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
        ({"kind": Kind.DOOR}, "kind: s0 is a server"),
        ({"after": ("gone",)}, "after: gone is not known"),
        ({"not_with": ("gone",)}, "not_with: gone is not known"),
        ({"successor": "s9"}, "successor: s9 is another machine"),
        ({"not_after_ms": NOON_MS}, "not_after_ms: the window has passed"),
    ],
)
def test_what_is_wrong_is_one_line_with_the_field(more: dict[str, Any], said: str) -> None:
    asked = msgspec.structs.replace(work("w"), **more)
    assert str(wrong(asked, (), {}, MACHINES, NOON_MS)) == said


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
def test_what_is_out_of_range_is_not_read(field: str, value: object) -> None:
    fields = {**msgspec.to_builtins(work("w")), field: value}
    with pytest.raises(msgspec.ValidationError):
        msgspec.convert(fields, Work)


def test_the_same_again_is_not_wrong_and_an_id_is_for_one_thing() -> None:
    one = work("w")
    assert wrong(one, (one,), {"w": one}, MACHINES, NOON_MS) is None
    other = wrong(work("w", "s1"), (one,), {"w": one}, MACHINES, NOON_MS)
    assert str(other) == "id: is used for something else"


def test_cycles_are_told_by_their_machines_over_all_works_of_each() -> None:
    others = (work("1", "s1", after=("s2",)), work("2", "s2"), work("3", "s2", after=("s0",)))
    assert cycle(work("4", "s3", after=("s1",)), others) == ()
    assert cycle(work("4", "s0", after=("s1",)), others) == ("s1", "s2", "s0")
    said = wrong(work("4", "s0", after=("s1",)), others, {}, MACHINES, NOON_MS)
    assert str(said) == "after: a cycle: s0 after s1 after s2 after s0"
    own = (work("1", "s0", after=("s1",)),)
    assert (
        str(wrong(work("2", "s1", after=("s0",)), own, {}, MACHINES, NOON_MS))
        == "after: a cycle: s1 after s0 after s1"
    )


def test_open_works_are_bounded_in_all_and_for_each_machine() -> None:
    full = [work(f"w{number}", f"s{number}") for number in range(MOST_OPEN)]
    said = str(wrong(work("w", "s299"), full, {}, MACHINES, NOON_MS))
    assert said == f"id: more than {MOST_OPEN} works are open"
    each = [work(f"w{number}") for number in range(MOST_OPEN_EACH)]
    assert str(wrong(work("w"), each, {}, MACHINES, NOON_MS)) == "machine: more than 4 works of s0 are open"
    assert wrong(work("w"), each[1:], {}, MACHINES, NOON_MS) is None
    assert wrong_by_itself(work("w")) is None
