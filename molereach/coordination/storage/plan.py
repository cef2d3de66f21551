"""What the names in a folder mean: which generation is valid, what is to be removed, what is missing.

A new generation n+1: `base.n+1.new`, then `tail.n+1`, then the base gets its name, then the old ones are
removed; the folder is synced in between. So a tail that is ahead of the bases has its `.new` beside it, or
its base was lost. A new folder: `identity.new` comes first, and gets its name once `base.0` and `tail.0` are
there; so an `identity.new` alone is a folder that was never completed, and a base or tail without either is a
folder that lost its identity, never a new one.
"""

import re
from collections.abc import Iterable
from dataclasses import dataclass

from molereach.coordination.storage.errors import InvalidFileError

IDENTITY = "identity"
NEW_SUFFIX = ".new"
MAX_NAMES = 256  # of files in a folder
NUMBERED = re.compile(r"(base|tail)\.(0|[1-9][0-9]{0,17})(\.new)?")


@dataclass(frozen=True, slots=True)
class NewFolder:
    """Nothing was ever synced here; a folder that was not completed is overwritten."""


@dataclass(frozen=True, slots=True)
class ExistingFolder:
    """The `generation` that is valid, and the files to `remove` in order, syncing the folder after each."""

    generation: int
    remove: tuple[str, ...] = ()


def base_name(generation: int) -> str:
    """The name of a generation's base."""
    return f"base.{generation}"


def tail_name(generation: int) -> str:
    """The name of a generation's tail."""
    return f"tail.{generation}"


def plan_opening(names: Iterable[str]) -> NewFolder | ExistingFolder:
    """How to open a folder; other names are ignored. What raises `InvalidFileError` is never repaired."""
    present = set(names)
    ours = sorted(name for name in present if NUMBERED.fullmatch(name))
    if IDENTITY in present:
        return find_generation(present, ours)
    if IDENTITY + NEW_SUFFIX in present and set(ours) <= {
        base_name(0),
        base_name(0) + NEW_SUFFIX,
        tail_name(0),
    }:
        return NewFolder()
    if ours:
        raise InvalidFileError(f"{IDENTITY}: is missing, and {ours[0]} is there")
    return NewFolder()


def find_generation(present: set[str], ours: list[str]) -> ExistingFolder:
    """The valid generation among the names; raises `InvalidFileError` where a file is missing."""
    numbers: dict[str, set[int]] = {"base": set(), "tail": set()}
    for name in ours:
        kind, number, *new = name.split(".")
        if not new:
            numbers[kind].add(int(number))
    last = max(numbers["base"], default=None)
    if last is None:
        raise InvalidFileError("base: there is none, though the folder was made")
    if last not in numbers["tail"]:
        raise InvalidFileError(f"{tail_name(last)}: is missing")
    for ahead in sorted(numbers["tail"]):
        if ahead > last and base_name(ahead) + NEW_SUFFIX not in present:
            raise InvalidFileError(f"{base_name(ahead)}: is missing")
    rest = [name for name in ours if name not in (base_name(last), tail_name(last))]
    # Unfinished tails first: without its `.new` one would say that its base was lost.
    order = sorted(rest, key=lambda name: (not name.startswith("tail"), name))
    return ExistingFolder(
        last, tuple(order) + ((IDENTITY + NEW_SUFFIX,) if IDENTITY + NEW_SUFFIX in present else ())
    )
