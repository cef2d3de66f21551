"""Modules, classes and attributes that the architecture page and the glossary name are in the code."""

import importlib
import inspect
import pkgutil
import re
from pathlib import Path

import pytest

import molereach

DOCS = Path(__file__).parents[2] / "docs"
PACKAGES = {module.name for module in pkgutil.iter_modules(molereach.__path__)}
DOTTED_NAME = re.compile(r"`([a-z_]+(?:\.\w+)+)(?:\(\))?`")


def named_in(page: str) -> list[str]:
    """Dotted names that begin with a package or module of the program; paths of files are none."""
    found = DOTTED_NAME.findall((DOCS / page).read_text())
    return sorted({name for name in found if name.partition(".")[0] in PACKAGES and not name.endswith(".py")})


def is_in_the_code(name: str) -> bool:
    """Whether a name is a module, or something that a module or class of one defines."""
    parts = name.split(".")
    for length in range(len(parts), 0, -1):
        try:
            found: object = importlib.import_module(".".join(["molereach", *parts[:length]]))
        except ModuleNotFoundError:
            continue
        return all_defined(found, parts[length:])
    return False


def all_defined(owner: object, attributes: list[str]) -> bool:
    """Whether each attribute is defined in what the one before it names, if only by an assignment to self."""
    for attribute in attributes:
        if hasattr(owner, attribute):
            owner = getattr(owner, attribute)
        elif not inspect.isclass(owner) or not re.search(rf"\bself\.{attribute}\b", inspect.getsource(owner)):
            return False
    return True


@pytest.mark.parametrize("page", ["ARCHITECTURE.md", "GLOSSARY.md"])
def test_names_in_the_code_are_as_they_are_there(page: str) -> None:
    names = named_in(page)
    assert len(names) > 30
    assert [name for name in names if not is_in_the_code(name)] == []


def test_name_that_is_not_in_the_code_is_found() -> None:
    assert is_in_the_code("policy.gateway.Gateway.handle")
    assert not is_in_the_code("policy.gateway.Gateway.nothing_of_the_kind")
    assert not is_in_the_code("policy.no_module.Gateway")
