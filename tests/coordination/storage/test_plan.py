"""Plans for the names in a folder; a folder with a lost file is never treated as new."""

import pytest

from molereach.coordination.storage.errors import InvalidFileError
from molereach.coordination.storage.plan import ExistingFolder, NewFolder, plan_opening

COMPLETE = ("identity", "base.3", "tail.3")


@pytest.mark.parametrize(
    ("names", "plan"),
    [
        ((), NewFolder()),
        (("lost+found", "base.1x", "tail.01", "base"), NewFolder()),
        (("identity.new",), NewFolder()),
        (("identity.new", "base.0", "tail.0"), NewFolder()),
        (("identity.new", "base.0.new", "tail.0"), NewFolder()),
        (COMPLETE, ExistingFolder(3)),
        ((*COMPLETE, "base.4.new"), ExistingFolder(3, ("base.4.new",))),
        ((*COMPLETE, "base.4.new", "tail.4"), ExistingFolder(3, ("tail.4", "base.4.new"))),
        (("identity", "base.10", "tail.10", "base.9", "tail.9"), ExistingFolder(10, ("tail.9", "base.9"))),
        ((*COMPLETE, "base.2", "identity.new"), ExistingFolder(3, ("base.2", "identity.new"))),
    ],
)
def test_valid_generation_and_removed_files(names: tuple[str, ...], plan: NewFolder | ExistingFolder) -> None:
    assert plan_opening(names) == plan


@pytest.mark.parametrize(
    ("names", "reason"),
    [
        (("base.3", "tail.3"), "^identity: is missing, and base.3"),
        (("tail.0",), "^identity: is missing"),
        (("base.0.new",), "^identity: is missing"),
        (("identity.new", "base.3", "tail.3"), "^identity: is missing"),
        (("identity",), "^base: there is none"),
        (("identity", "tail.3"), "^base: there is none"),
        (("identity", "base.3.new", "tail.3"), "^base: there is none"),
        (("identity", "base.3"), "^tail.3: is missing"),
        ((*COMPLETE, "base.4"), "^tail.4: is missing"),
        ((*COMPLETE, "tail.4"), "^base.4: is missing"),
    ],
)
def test_missing_file_is_rejected(names: tuple[str, ...], reason: str) -> None:
    with pytest.raises(InvalidFileError, match=reason):
        plan_opening(names)
