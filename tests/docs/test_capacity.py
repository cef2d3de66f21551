"""The capacity page says what the scale run has measured, and the run was a whole one."""

import json

from benchmarks.scale.page import page_faults
from tests.docs.shell import ROOT

FILE = ROOT / "docs" / "capacity" / "scale.json"
PAGE = ROOT / "docs" / "CAPACITY.md"


def test_figures_of_the_page_are_those_of_the_run() -> None:
    run = json.loads(FILE.read_text())
    assert not run["quick"] and run["name"] == "scale"
    assert page_faults(PAGE.read_text(), run["figures"]) == []


def test_what_the_run_missed_stands_on_the_page() -> None:
    """A figure that misses its aim is said to do so, in its row."""
    run, rows = json.loads(FILE.read_text()), PAGE.read_text().splitlines()
    for aim in run["missed"]:
        figure = aim.removeprefix("most_")
        assert any(f"scale: {figure} " in row and "missed" in row for row in rows), figure
