"""What benchmarks measure with: the event loop timer, and the selection of the measured checkout."""

import asyncio
import logging
import subprocess
import sys
import time
from pathlib import Path

import pytest
from click.testing import CliRunner

from benchmarks.__main__ import main
from benchmarks.door import DOOR_COMMAND, TIMED_DOOR_COMMAND, ComparedCheckouts
from benchmarks.turns import LOG_PREFIX, LoopIterationTimer

BUSY_S = 0.05
ROOT = Path(__file__).parents[1]


def use_cpu() -> None:
    until = time.thread_time() + BUSY_S
    while time.thread_time() < until:
        pass


def test_longest_iteration_counts_cpu_time_and_is_cleared_by_reset(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def measure() -> tuple[float, float]:
        loop = asyncio.get_running_loop()
        timer = LoopIterationTimer(loop)
        loop.call_soon(use_cpu)
        await asyncio.sleep(0.02)
        busy_us = timer.longest_us
        timer.reset()
        loop.call_soon(time.sleep, 4 * BUSY_S)  # waits without using CPU
        await asyncio.sleep(0.02)
        timer.stop()
        return busy_us, timer.longest_us

    with caplog.at_level(logging.INFO):
        busy_us, waiting_us = asyncio.run(measure())
    assert busy_us >= BUSY_S * 1e6 and waiting_us < 4 * BUSY_S * 1e6
    assert [record for record in caplog.records if LOG_PREFIX in record.getMessage()]


def test_front_door_of_the_named_checkout_is_measured(tmp_path: Path) -> None:
    """Also when the benchmark is started in the root of this checkout."""
    (tmp_path / "molereach" / "proxy").mkdir(parents=True)
    for name, text in (
        ("__init__", ""),
        ("proxy/__init__", ""),
        ("proxy/proxy", "Proxy = object"),
        ("__main__", "def front_door(**more): print('other'); return 0\nfront_door()"),
    ):
        (tmp_path / "molereach" / f"{name}.py").write_text(text)
    checkouts = ComparedCheckouts("127.0.0.1", ("127.0.0.1", 1), str(tmp_path))
    for command in (DOOR_COMMAND, TIMED_DOOR_COMMAND):
        process = subprocess.run(
            checkouts.command("against_", command),
            cwd=ROOT,
            capture_output=True,
            text=True,
            check=True,
            timeout=30,
        )
        assert process.stdout.startswith("other")
        assert list(checkouts.command("", command)) == list(command)


def test_benchmark_without_comparison_rejects_another_checkout(tmp_path: Path) -> None:
    process = CliRunner().invoke(main, ["limits", "--against", str(tmp_path)])
    assert process.exit_code == 2 and "--against: only for door" in process.output
    assert sys.executable == DOOR_COMMAND[0]
