"""What a run derives from its observations, and what a failed run reports."""

import asyncio
import json
import time
from pathlib import Path
from random import Random
from typing import Any, cast

import pytest
from click.testing import CliRunner

from benchmarks.__main__ import main
from benchmarks.scale import run as scale_run
from benchmarks.scale.catalogue import DELETED, DRAINING, SERVING
from benchmarks.scale.day import OrdinaryDay
from benchmarks.scale.stage import Size, Stage, Window
from benchmarks.scale.troubles import fewest_backends


class FakeStage:
    """A tier whose backends doors 1 and 2 used before a change, and door 2 for a while after it."""

    size, next_number = Size(30, 8, 40, 2), 30

    def __init__(self, late_s: float) -> None:
        self.late_s, self.announced_s = late_s, 0.0
        self.changes: list[tuple[int, str]] = []

    async def call(self, role: str, do: str, **values: Any) -> Any:  # noqa: ANN401
        if do == "change":
            self.announced_s = self.announced_s or time.monotonic()
            self.changes += [(number, state) for number, state, _ in values["changes"]]
            return {"at_s": self.announced_s, "line_bytes": 100}
        if do == "used":
            return {"1": [[7, 3]]}
        assert do == "last"
        return {"1": 0.0, "2": 0.0} if not self.announced_s else {"2": self.announced_s + self.late_s}


def test_change_is_in_force_at_the_last_request_of_a_door_that_used_the_backend() -> None:
    async def play() -> OrdinaryDay:
        day = OrdinaryDay(cast(Stage, FakeStage(1.25)), Random(1), 0.0)
        await day.drain([7], 0.0)
        return day

    day = asyncio.run(play())
    assert day.in_force_s == [0.0, pytest.approx(1.25)] and day.observed_pairs == 2 and day.changes == 1


def test_restarts_alternate_between_a_new_start_and_a_replacement() -> None:
    async def play() -> FakeStage:
        stage = FakeStage(0.0)
        day = OrdinaryDay(cast(Stage, stage), Random(1), 0.0)
        assert await day.pick_backend() == 7
        await day.restart(7)
        await day.restart(7)
        await day.end()
        return stage

    changes = asyncio.run(play()).changes
    assert changes[:2] == [(7, DRAINING), (7, SERVING)]
    assert changes[2:4] == [(7, DRAINING), (7, DELETED)]
    number, state = changes[4]
    assert state == SERVING and number >= 30 and number % 26 == 7  # in the same zone


def test_window_sums_the_counts_of_doors() -> None:
    window = Window(
        2.0,
        {
            "a": {"due": 10, "served": 9, "took_ms": [1.0]},
            "b": {"due": 10, "served": 10, "took_ms": [2.0, 3.0]},
        },
    )
    assert window.served_share(["a", "b"]) == 0.95 and window.served_share(["c"]) == 0.0
    assert window.times_ms(["a", "b"]) == [1.0, 2.0, 3.0]
    assert fewest_backends({"1": [[1, 1], [2, 1]], "2": [[3, 5]]}) == 1 and fewest_backends({}) == 0


def test_failed_run_reports_its_figures_and_misses_the_other_aims(
    monkeypatch: pytest.MonkeyPatch, tmp_path: Path
) -> None:
    async def broken(run: scale_run.Run) -> None:
        run.measured["ordinary"] = {"served_share": 0.0, "request_us": 9.0}
        raise TimeoutError("too long")

    monkeypatch.setattr(scale_run.Run, "main", broken)
    file = tmp_path / "scale.json"
    result = scale_run.measure(True, 1, False, str(tmp_path), str(file))
    assert result.figures["served_share_93000"] == result.figures["against_served_share_93000"] == 0.0
    assert "most_memory_mb_93000" in result.missed()
    written = json.loads(file.read_text())
    assert written["ok"] is False and written["figures"] == result.figures
    assert set(written["unfinished"]) == {"this", "against_"} and "doors" in written["hollow"]


def test_out_is_rejected_by_benchmarks_that_write_no_file(tmp_path: Path) -> None:
    process = CliRunner().invoke(main, ["limits", "--out", str(tmp_path / "file")])
    assert process.exit_code == 2 and "--out: only for scale" in process.output
