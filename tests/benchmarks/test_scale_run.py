"""What a run makes of what it sees, and of what it does not get to see."""

import asyncio
import json
import time
from pathlib import Path
from random import Random
from typing import Any, cast

import pytest
from click.testing import CliRunner

from benchmarks.__main__ import main
from benchmarks.scale import run as measuring
from benchmarks.scale.catalogue import DELETED, DRAINING, SERVING
from benchmarks.scale.day import Day
from benchmarks.scale.stage import Size, Stage, Window
from benchmarks.scale.troubles import least


class Played:
    """A stage whose backends were asked by doors 1 and 2 before a change, and by door 2 a while after it."""

    size, next_number = Size(30, 8, 40, 2), 30

    def __init__(self, late_s: float) -> None:
        self.late_s, self.told_s = late_s, 0.0
        self.changes: list[tuple[int, str]] = []

    async def ask(self, role: str, do: str, **values: Any) -> Any:  # noqa: ANN401
        if do == "change":
            self.told_s = self.told_s or time.monotonic()
            self.changes += [(number, state) for number, state, _ in values["changes"]]
            return {"at_s": self.told_s, "line_bytes": 100}
        if do == "used":
            return {"1": [[7, 3]]}
        assert do == "last"
        return {"1": 0.0, "2": 0.0} if not self.told_s else {"2": self.told_s + self.late_s}


def test_change_is_in_force_at_a_door_that_had_asked_when_it_asks_no_more() -> None:
    async def play() -> Day:
        day = Day(cast(Stage, Played(1.25)), Random(1), 0.0)
        await day.drain([7], 0.0)
        return day

    day = asyncio.run(play())
    assert day.force_s == [0.0, pytest.approx(1.25)] and day.seen == 2 and day.changes == 1


def test_restarts_are_told_in_turn_as_a_new_start_and_as_another_in_its_place() -> None:
    async def play() -> Played:
        stage = Played(0.0)
        day = Day(cast(Stage, stage), Random(1), 0.0)
        assert await day.pick() == 7
        await day.restart(7)
        await day.restart(7)
        await day.end()
        return stage

    changes = asyncio.run(play()).changes
    assert changes[:2] == [(7, DRAINING), (7, SERVING)]
    assert changes[2:4] == [(7, DRAINING), (7, DELETED)]
    number, state = changes[4]
    assert state == SERVING and number >= 30 and number % 26 == 7  # in the same zone


def test_window_sums_what_doors_were_asked() -> None:
    window = Window(
        2.0,
        {
            "a": {"due": 10, "served": 9, "took_ms": [1.0]},
            "b": {"due": 10, "served": 10, "took_ms": [2.0, 3.0]},
        },
    )
    assert window.served_share(["a", "b"]) == 0.95 and window.served_share(["c"]) == 0.0
    assert window.times_ms(["a", "b"]) == [1.0, 2.0, 3.0]
    assert least({"1": [[1, 1], [2, 1]], "2": [[3, 5]]}) == 1 and least({}) == 0


def test_run_that_fails_half_way_gives_what_it_had_and_misses_the_rest(
    monkeypatch: pytest.MonkeyPatch, tmp_path: Path
) -> None:
    async def broken(run: measuring.Run) -> None:
        run.parts["ordinary"] = {"served_share": 0.0, "request_us": 9.0}
        raise TimeoutError("too long")

    monkeypatch.setattr(measuring.Run, "main", broken)
    file = tmp_path / "scale.json"
    result = measuring.measure(True, 1, False, str(tmp_path), str(file))
    assert result.figures["served_share_93000"] == result.figures["against_served_share_93000"] == 0.0
    assert "most_memory_mb_93000" in result.missed()
    written = json.loads(file.read_text())
    assert written["ok"] is False and written["figures"] == result.figures
    assert set(written["unfinished"]) == {"this", "against_"} and "doors" in written["hollow"]


def test_only_a_run_that_is_filed_takes_a_file(tmp_path: Path) -> None:
    done = CliRunner().invoke(main, ["limits", "--out", str(tmp_path / "file")])
    assert done.exit_code == 2 and "--out: only for scale" in done.output
