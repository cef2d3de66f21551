"""What is made of the names in a folder; nothing that was there is taken for a new folder."""

import pytest

from molereach.coordination.storage.errors import InvalidFileError
from molereach.coordination.storage.plan import ExistingFolder, NewFolder, plan_opening

SET = ("identity", "base.3", "tail.3")


@pytest.mark.parametrize(
    ("names", "found"),
    [
        ((), NewFolder()),
        (("lost+found", "base.1x", "tail.01", "base"), NewFolder()),
        (("identity.new",), NewFolder()),
        (("identity.new", "base.0", "tail.0"), NewFolder()),
        (("identity.new", "base.0.new", "tail.0"), NewFolder()),
        (SET, ExistingFolder(3)),
        ((*SET, "base.4.new"), ExistingFolder(3, ("base.4.new",))),
        ((*SET, "base.4.new", "tail.4"), ExistingFolder(3, ("tail.4", "base.4.new"))),
        (("identity", "base.10", "tail.10", "base.9", "tail.9"), ExistingFolder(10, ("tail.9", "base.9"))),
        ((*SET, "base.2", "identity.new"), ExistingFolder(3, ("base.2", "identity.new"))),
    ],
)
def test_what_counts_and_what_goes(names: tuple[str, ...], found: NewFolder | ExistingFolder) -> None:
    assert plan_opening(names) == found


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
        ((*SET, "base.4"), "^tail.4: is missing"),
        ((*SET, "tail.4"), "^base.4: is missing"),
    ],
)
def test_one_of_the_set_is_gone(names: tuple[str, ...], reason: str) -> None:
    with pytest.raises(InvalidFileError, match=reason):
        plan_opening(names)
