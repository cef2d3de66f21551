"""What the benchmarks measure with: turns of a loop, and whose front door is measured."""

import asyncio
import logging
import subprocess
import sys
import time
from pathlib import Path

import pytest
from click.testing import CliRunner

from benchmarks.__main__ import main
from benchmarks.door import DOOR, TURNS, Sides
from benchmarks.turns import MARK, TurnWatch

BURNT_S = 0.05
ROOT = Path(__file__).parents[1]


def burn() -> None:
    until = time.thread_time() + BURNT_S
    while time.thread_time() < until:
        pass


def test_longest_turn_is_one_of_cpu_and_is_forgotten_when_counting_begins_anew(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def job() -> tuple[float, float]:
        loop = asyncio.get_running_loop()
        watch = TurnWatch(loop)
        loop.call_soon(burn)
        await asyncio.sleep(0.02)
        burnt = watch.longest_us
        watch.begin()
        loop.call_soon(time.sleep, 4 * BURNT_S)  # it waits: no turn of ours
        await asyncio.sleep(0.02)
        watch.end()
        return burnt, watch.longest_us

    with caplog.at_level(logging.INFO):
        burnt, waited = asyncio.run(job())
    assert burnt >= BURNT_S * 1e6 and waited < 4 * BURNT_S * 1e6
    assert [record for record in caplog.records if MARK in record.getMessage()]


def test_front_door_of_another_checkout_is_measured_and_not_this_one(tmp_path: Path) -> None:
    """Wherever the benchmark is started, also in the root of this one."""
    (tmp_path / "molereach" / "proxy").mkdir(parents=True)
    for name, text in (
        ("__init__", ""),
        ("proxy/__init__", ""),
        ("proxy/proxy", "Proxy = object"),
        ("__main__", "def front_door(**more): print('other'); return 0\nfront_door()"),
    ):
        (tmp_path / "molereach" / f"{name}.py").write_text(text)
    sides = Sides("127.0.0.1", ("127.0.0.1", 1), str(tmp_path))
    for command in (DOOR, TURNS):
        done = subprocess.run(
            sides.command("against_", command),
            cwd=ROOT,
            capture_output=True,
            text=True,
            check=True,
            timeout=30,
        )
        assert done.stdout.startswith("other")
        assert list(sides.command("", command)) == list(command)


def test_benchmark_of_one_side_refuses_another_checkout(tmp_path: Path) -> None:
    done = CliRunner().invoke(main, ["limits", "--against", str(tmp_path)])
    assert done.exit_code == 2 and "--against: only for door" in done.output
    assert sys.executable == DOOR[0]
