"""Recorded values of settings: each is what the file's text says, and no two that differ are mistaken."""

import json
from pathlib import Path

import pytest

from molereach.fleet import settings as fleet_settings
from molereach.proxy import config_file
from tests.compatibility import settings_samples as samples
from tests.compatibility.recording import recorded


def numbers(value: object) -> list[float]:
    """All numbers in nested lists that are no flags."""
    if isinstance(value, list):
        return [number for inner in value for number in numbers(inner)]
    return [value] if isinstance(value, int | float) and not isinstance(value, bool) else []


def test_recorded_values_of_a_front_door_hold_each_figure_of_its_file() -> None:
    found = numbers(json.loads(recorded("settings-door-whole.json")))
    wanted = {1.5, 2.5, 3, 4.5, 5.5, 6.5, 7.5, 8.5, 9.5, *range(15, 22), 23, 24, 25.5, 26.5, 27.5, 28.5, 29.5}
    assert wanted | {11, 12, 13.5, 14.5, 30.5, 31.5, 32, 33, 0.34, 35, 36.5, 37, 512, 65} <= set(found)


def test_a_file_of_a_front_door_is_loaded_as_recorded(tmp_path: Path) -> None:
    file = tmp_path / "config.json"
    file.write_text(samples.WHOLE_DOOR)
    found = config_file.load({"PROXY_CONFIG": str(file)})
    assert samples.values_of(found) == json.loads(recorded("settings-door-whole.json"))


@pytest.mark.parametrize(
    ("name", "text", "kind"),
    [
        ("fleet-whole", samples.WHOLE_FLEET, fleet_settings.FleetFile),
        ("agent-whole", samples.WHOLE_AGENT, fleet_settings.AgentFile),
    ],
)
def test_files_of_a_fleet_are_loaded_as_recorded(name: str, text: str, kind: type, tmp_path: Path) -> None:
    file = tmp_path / "file.toml"
    file.write_text(text)
    found = fleet_settings.load(file, kind)
    assert samples.values_of(found) == json.loads(recorded(f"settings-{name}.json"))
