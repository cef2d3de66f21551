"""The order of a run: the full size beside a small one."""

import asyncio
import os
import signal
import subprocess
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from random import Random

from benchmarks.scale import ladders, moves, troubles
from benchmarks.scale.figures import combine, rename, round_figure
from benchmarks.scale.moves import Figures
from benchmarks.scale.stage import Size, Stage
from benchmarks.scale.tier import backend_address
from rig.doors import die_with_parent
from rig.sockets import Address, own_host

FULL_SIZE, SMALL_SIZE = Size(93_000, 7_500, 170_000, 4, turns=True), Size(200, 16, 363, 2)
BARE = "bare"
COMPARE_WARM_S, COMPARE_S = 2.0, 4.0
FIRST_PORT, PORT_RANGES, PORTS_PER_RUN = 20_000, 400, 30  # for peers, below the system's ephemeral ports


@dataclass(frozen=True, slots=True)
class Spans:
    """Durations of the measurements in seconds, and how often some are repeated."""

    warm: float
    traffic: float
    idle: float
    loss: float
    restarts: int  # rounds
    drain: float
    with_series: bool = False
    series_warm: float = 8.0
    series_measured: float = 5.0


QUICK_SPANS = Spans(2.0, 4.5, 2.0, 2.0, 2, drain=2.0)
FULL_SPANS = Spans(5.0, 15.0, 12.0, 6.0, 3, drain=5.5, with_series=True)


class Run:
    """One run of one checkout: that at `root`, or this one."""

    def __init__(self, spans: Spans, seed: int, root: str, progress: bool, run: int = 0) -> None:
        self.spans, self.seed, self.root, self.progress = spans, seed, root, progress
        self.random, self.host = Random(seed), own_host()
        self.measured: dict[str, Figures] = {}  # by measurement; kept when a run times out
        self.small: Figures = {}
        self.extra: Figures = {}
        self.fits: dict[str, dict[str, object]] = {}
        self.port = FIRST_PORT + os.getpid() % PORT_RANGES * PORTS_PER_RUN + run * PORTS_PER_RUN // 2

    def say(self, text: str) -> None:
        """Print progress."""
        if self.progress:
            print(f"scale{' (against)' if self.root else ''}: {text}", file=sys.stderr, flush=True)

    def stage(self, size: Size, **options: object) -> Stage:
        """Create a tier of a size with a peer port of its own."""
        self.port += 1
        tier = moves.create_tier(size.backends, size.doors, size.tenants, self.seed, self.port)
        return Stage(size, tier, self.host, self.root, **options)  # type: ignore[arg-type]

    async def main(self) -> None:
        """Run all measurements at the full size, with a small tier beside it while requests are measured."""
        full, small = self.stage(FULL_SIZE), self.stage(SMALL_SIZE)
        try:
            starts, _ = await asyncio.gather(full.start(), small.start())
            self.say(f"started: {starts}")
            async with passthrough(full) as baseline:
                await asyncio.gather(full.begin_load({BARE: baseline}), small.begin_load())
                await asyncio.sleep(self.spans.warm)
                tiers = {"full": full, "small": small}
                warm = await longest_turn(full)
                suspend_timed_door(full, True)
                by_size = await moves.measure_ordinary_day(
                    tiers, self.random, self.spans.traffic, self.spans.drain, BARE
                )
                suspend_timed_door(full, False)
                self.small = by_size["small"]
                self.record("ordinary", by_size["full"] | warm)
                await longest_turn(full)  # discards the turns in which it caught up after the pause
                lost, _ = await asyncio.gather(
                    troubles.lose_rack(full, self.random, self.spans.loss), small.end()
                )
                self.record("rack", lost | await longest_turn(full))
                self.record(
                    "zone", await troubles.lose_zone(full, self.spans.loss) | await longest_turn(full)
                )
                back = await troubles.reset_discovery(full, self.random, self.spans.loss)
                self.record("reset", back | await longest_turn(full))
                await full.end_load()
            idle = moves.measure_idle(full, self.random, self.spans.idle, self.spans.drain)
            figures, _ = await asyncio.gather(idle, stop_timed_door(full))
            self.record("idle", figures)
            self.record("restart", await troubles.restart_doors(full, self.spans.restarts, starts))
        finally:
            await asyncio.gather(full.end(), small.end())

    async def measure_series(self) -> None:
        """In a full run, compare simulated doors with real ones and measure the slopes."""
        spans = self.spans
        if not spans.with_series:
            return
        self.extra = await ladders.compare_simulated(self.stage, COMPARE_WARM_S, COMPARE_S)
        self.say(f"beside: {self.extra}")
        for series in ladders.SERIES:
            figures, fits = await ladders.measure_series(
                self.stage,
                series,
                spans.series_warm,
                spans.series_measured,
                self.say,
                self.extra.get("bytes_a_door", 0.0),
            )
            self.extra |= figures
            self.fits |= fits

    def record(self, measurement: str, figures: Figures) -> None:
        """Keep the figures of a measurement."""
        self.measured[measurement] = figures
        self.say(f"{measurement}: {rename(figures)}")

    def figures(self) -> Figures:
        """Return the figures of all completed measurements."""
        combined = combine(self.measured, FULL_SIZE.backends) | combine(
            {"ordinary": self.small}, SMALL_SIZE.backends
        )
        if self.small:
            ratio = self.measured["ordinary"]["request_us"] / max(1e-9, self.small["request_us"])
            combined["request_ratio"] = round_figure(ratio)
        return combined | self.extra


async def longest_turn(stage: Stage) -> Figures:
    """Return the longest turn of a measurement, if a door is timed."""
    longest_ms = await stage.longest_turn_ms()
    return {} if longest_ms is None else {"turn_ms": longest_ms}


async def stop_timed_door(stage: Stage) -> None:
    """Stop the timed door, before doors without traffic are measured."""
    timed_door, stage.timed_door = stage.timed_door, None
    if timed_door:
        await timed_door.end()


def suspend_timed_door(stage: Stage, on: bool) -> None:
    """Suspend or resume the timed door: its timer never rests and would disturb other times."""
    if stage.timed_door:
        stage.timed_door.door.signal(signal.SIGSTOP if on else signal.SIGCONT)


@asynccontextmanager
async def passthrough(stage: Stage) -> AsyncIterator[Address]:
    """Run the pass-through in front of the same backends."""
    host, port = backend_address(-1, stage.port)  # an address that is not on the list
    baseline = subprocess.Popen(
        [sys.executable, "-m", "benchmarks.passthrough", host, str(port)],
        stdout=subprocess.PIPE,
        preexec_fn=die_with_parent(),
    )
    try:
        assert baseline.stdout is not None
        yield host, int(await asyncio.to_thread(baseline.stdout.readline))
    finally:
        baseline.kill()
        baseline.wait()
