"""Scenarios from files: those that are shipped, and others."""

from collections.abc import Iterator
from importlib import resources
from pathlib import Path
from typing import Any

import msgspec

from rig.scenario import Scenario, decode


class ScenarioError(Exception):
    """The scenario is not usable; the text is one plain line."""


def one_line(error: object) -> str:
    return " ".join(str(error).split())


# Only `molereach simulate` plays these.
LARGE = ("mass-replacement", "mass-restart", "rolling-restart", "split-with-losses", "zone-lost")


def shipped() -> Iterator[str]:
    """The names of the scenarios that come with the rig, without those of large fleets."""
    for entry in sorted(resources.files("rig").joinpath("scenarios").iterdir(), key=lambda file: file.name):
        name = entry.name.removesuffix(".toml")
        if entry.name.endswith(".toml") and name not in LARGE:
            yield name


def load(name_or_file: str, changes: dict[str, Any] | None = None, real: bool = True) -> Scenario:
    """A shipped scenario by its name, or one from a file; ScenarioError is one line."""
    names = [*shipped(), *LARGE]
    try:
        if name_or_file in names:
            text = resources.files("rig").joinpath("scenarios", f"{name_or_file}.toml").read_text("utf-8")
        elif Path(name_or_file).suffix == ".toml":
            text = Path(name_or_file).read_text("utf-8")
        else:
            raise ScenarioError(f"there is no scenario '{name_or_file}'; shipped: {', '.join(names)}")
        return decode(text, changes, real)
    except OSError as error:
        raise ScenarioError(f"{name_or_file}: {error.strerror}") from error
    except (ValueError, msgspec.ValidationError) as error:
        raise ScenarioError(f"{name_or_file}: {one_line(error)}") from error
