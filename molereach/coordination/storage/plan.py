"""Decides from the file names in a folder which generation is valid and which files are to be removed.

A new generation n+1 is written in these steps: create `base.n+1.new`, create `tail.n+1`, rename the base to
its final name, remove the files of generation n. The folder is synced between the steps. A tail that is newer
than every base therefore has its `base.n+1.new` beside it, or its base was lost.

In a new folder `identity.new` is created first, and gets its final name once `base.0` and `tail.0` exist. A
folder with only `identity.new` was therefore never completed. A base or tail with neither identity file means
that the identity was lost; such a folder is never treated as new.
"""

import re
from collections.abc import Iterable
from dataclasses import dataclass

from molereach.coordination.storage.errors import InvalidFileError

IDENTITY = "identity"
NEW_SUFFIX = ".new"
MAX_NAMES = 256  # in a folder
GENERATION_FILE = re.compile(r"(base|tail)\.(0|[1-9][0-9]{0,17})(\.new)?")


@dataclass(frozen=True, slots=True)
class NewFolder:
    """The folder holds no completed log; files of an uncompleted creation are overwritten."""


@dataclass(frozen=True, slots=True)
class ExistingFolder:
    """The valid `generation`, and the files to remove in this order, with a folder sync after each."""

    generation: int
    names_to_remove: tuple[str, ...] = ()


def base_name(generation: int) -> str:
    """The name of the base file of a generation."""
    return f"base.{generation}"


def tail_name(generation: int) -> str:
    """The name of the tail file of a generation."""
    return f"tail.{generation}"


def plan_opening(names: Iterable[str]) -> NewFolder | ExistingFolder:
    """Decide how to open a folder; unknown names are ignored.

    Raises `InvalidFileError` for a lost file, which is never repaired.
    """
    present = set(names)
    generation_files = sorted(name for name in present if GENERATION_FILE.fullmatch(name))
    if IDENTITY in present:
        return find_generation(present, generation_files)
    if IDENTITY + NEW_SUFFIX in present and set(generation_files) <= {
        base_name(0),
        base_name(0) + NEW_SUFFIX,
        tail_name(0),
    }:
        return NewFolder()
    if generation_files:
        raise InvalidFileError(f"{IDENTITY}: is missing, and {generation_files[0]} is there")
    return NewFolder()


def find_generation(present: set[str], generation_files: list[str]) -> ExistingFolder:
    """Find the valid generation; raises `InvalidFileError` if a file is missing."""
    generations: dict[str, set[int]] = {"base": set(), "tail": set()}
    for name in generation_files:
        kind, number, *suffix = name.split(".")
        if not suffix:
            generations[kind].add(int(number))
    newest = max(generations["base"], default=None)
    if newest is None:
        raise InvalidFileError("base: there is none, though the folder was made")
    if newest not in generations["tail"]:
        raise InvalidFileError(f"{tail_name(newest)}: is missing")
    for generation in sorted(generations["tail"]):
        if generation > newest and base_name(generation) + NEW_SUFFIX not in present:
            raise InvalidFileError(f"{base_name(generation)}: is missing")
    obsolete = [name for name in generation_files if name not in (base_name(newest), tail_name(newest))]
    # Tails come first: a newer tail without its `.new` would mean that its base was lost.
    removal_order = sorted(obsolete, key=lambda name: (not name.startswith("tail"), name))
    return ExistingFolder(
        newest, tuple(removal_order) + ((IDENTITY + NEW_SUFFIX,) if IDENTITY + NEW_SUFFIX in present else ())
    )
