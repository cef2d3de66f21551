"""What to make of the names in a folder: which generation counts, what is to go, what is missing.

A new generation n+1: `base.n+1.new`, then `tail.n+1`, then the base gets its name, then the old ones go; all
with the folder synced between. So a tail that is ahead of the bases has its `.new` beside it, or its base was
lost. A new folder: `identity.new` stands first, and gets its name once `base.0` and `tail.0` are there; so an
`identity.new` alone is a folder that was never finished, and base or tail without either is one that lost its
identity, never a new one.
"""

import re
from collections.abc import Iterable
from dataclasses import dataclass

IDENTITY = "identity"
NEW = ".new"
MOST_NAMES = 256
NUMBERED = re.compile(r"(base|tail)\.(0|[1-9][0-9]{0,17})(\.new)?")


class FileError(ValueError):
    """A file of the set is gone or wrong; the text starts with its name."""


@dataclass(frozen=True, slots=True)
class Fresh:
    """Nothing was ever promised here; a folder that was not finished is written over."""


@dataclass(frozen=True, slots=True)
class Kept:
    """`generation` counts. `remove` in this order, the folder synced after each."""

    generation: int
    remove: tuple[str, ...] = ()


def base_name(generation: int) -> str:
    return f"base.{generation}"


def tail_name(generation: int) -> str:
    return f"tail.{generation}"


def plan(names: Iterable[str]) -> Fresh | Kept:
    """What to do; names that are not ours are let be. what raises `FileError` is never mended here."""
    present = set(names)
    ours = sorted(name for name in present if NUMBERED.fullmatch(name))
    if IDENTITY in present:
        return kept(present, ours)
    if IDENTITY + NEW in present and set(ours) <= {base_name(0), base_name(0) + NEW, tail_name(0)}:
        return Fresh()
    if ours:
        raise FileError(f"{IDENTITY}: is missing, and {ours[0]} is there")
    return Fresh()


def kept(present: set[str], ours: list[str]) -> Kept:
    numbers: dict[str, set[int]] = {"base": set(), "tail": set()}
    for name in ours:
        kind, number, *new = name.split(".")
        if not new:
            numbers[kind].add(int(number))
    last = max(numbers["base"], default=None)
    if last is None:
        raise FileError("base: there is none, though the folder was made")
    if last not in numbers["tail"]:
        raise FileError(f"{tail_name(last)}: is missing")
    for ahead in sorted(numbers["tail"]):
        if ahead > last and base_name(ahead) + NEW not in present:
            raise FileError(f"{base_name(ahead)}: is missing")
    rest = [name for name in ours if name not in (base_name(last), tail_name(last))]
    # Unfinished tails first: without its `.new` one would say that its base was lost.
    order = sorted(rest, key=lambda name: (not name.startswith("tail"), name))
    return Kept(last, tuple(order) + ((IDENTITY + NEW,) if IDENTITY + NEW in present else ()))
