"""Loads shipped scenarios by name, and others from files."""

from collections.abc import Iterator
from importlib import resources
from pathlib import Path
from typing import Any

import msgspec

from rig.scenario import Scenario, decode


class ScenarioError(Exception):
    """The scenario is invalid; the message is a single line."""


def one_line(error: object) -> str:
    """The text of an error with all white space, line breaks too, reduced to single spaces."""
    return " ".join(str(error).split())


# Too large for real processes: only `molereach simulate` runs these.
SIMULATED_ONLY = ("mass-replacement", "mass-restart", "rolling-restart", "split-with-losses", "zone-lost")


def shipped() -> Iterator[str]:
    """The names of the shipped scenarios that run with real processes."""
    for entry in sorted(resources.files("rig").joinpath("scenarios").iterdir(), key=lambda file: file.name):
        name = entry.name.removesuffix(".toml")
        if entry.name.endswith(".toml") and name not in SIMULATED_ONLY:
            yield name


def load(name_or_file: str, changes: dict[str, Any] | None = None, real: bool = True) -> Scenario:
    """Load a shipped scenario by name, or one from a TOML file; ScenarioError if it is invalid."""
    names = [*shipped(), *SIMULATED_ONLY]
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
