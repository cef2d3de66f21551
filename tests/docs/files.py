"""TOML examples, each through the program's own checker of its kind, which refuses unknown keys."""

import re
import tomllib
from pathlib import Path

from molereach import command, operator_config
from molereach.fleet.settings import AgentFile, FleetFile, SettingsError, load
from rig import scenario_files
from tests.docs.marks import FILE_KINDS


def operator_file(path: Path) -> None:
    """What `molereach config check` does."""
    command.limits_attacher(path, operator_config.load(path))


def scenario(path: Path) -> None:
    """What `molereach demo` and `molereach simulate` do."""
    scenario_files.load(str(path), real=False)


def fleet_file(path: Path) -> None:
    """What `molereach fleet` does."""
    load(path, FleetFile)


def agent_file(path: Path) -> None:
    """What `molereach agent` does, before it looks for the files that this one names."""
    load(path, AgentFile)


CHECKERS = dict(zip(FILE_KINDS, (operator_file, fleet_file, agent_file, scenario), strict=True))


def fault(kind: str, path: Path) -> str:
    """What is wrong with a file of a kind, in the program's own words; '' for nothing."""
    try:
        CHECKERS[kind](path)
    except (operator_config.OperatorError, SettingsError, scenario_files.ScenarioError) as error:
        return str(error)
    return ""


def is_toml(text: str) -> bool:
    """Whether a text is TOML that says something."""
    try:
        return bool(tomllib.loads(text))
    except tomllib.TOMLDecodeError:
        return False


def switched_on(text: str) -> str:
    """A file by example with the settings that stand in comments put in force: `# key = value`, `# [table]`.

    Prose between them stays a comment.
    """
    return re.sub(r"^# (?=\[+[a-z0-9_.-]+\]|[a-z0-9_-]+ = )", "", text, flags=re.MULTILINE)
