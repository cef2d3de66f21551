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
from benchmarks.scale.figures import joined, named, rounded
from benchmarks.scale.moves import Figures
from benchmarks.scale.stage import Size, Stage
from benchmarks.scale.tier import backend_address
from rig.doors import die_with_parent
from rig.sockets import Address, own_host

FULL, SMALL = Size(93_000, 7_500, 170_000, 4, turns=True), Size(200, 16, 363, 2)
BARE = "bare"
BESIDE_WARM_S, BESIDE_S = 2.0, 4.0
FIRST_PORT, PORTS, PORTS_A_RUN = 20_000, 400, 30  # for peers: below those that the system hands out


@dataclass(frozen=True, slots=True)
class Spans:
    """How long moves last, in seconds, and how often some are played."""

    warm: float
    traffic: float
    idle: float
    loss: float
    restarts: int  # rounds
    drain: float
    ladders: bool = False
    rung_warm: float = 8.0
    rung: float = 5.0


QUICK = Spans(2.0, 4.5, 2.0, 2.0, 2, drain=2.0)
WHOLE = Spans(5.0, 15.0, 12.0, 6.0, 3, drain=5.5, ladders=True)


class Run:
    """One run of one side: the front door of `root`, or of this checkout."""

    def __init__(self, spans: Spans, seed: int, root: str, progress: bool, run: int = 0) -> None:
        self.spans, self.seed, self.root, self.progress = spans, seed, root, progress
        self.random, self.host = Random(seed), own_host()
        self.parts: dict[str, Figures] = {}  # by move: also what a run had that ran out of time
        self.small: Figures = {}
        self.extra: Figures = {}
        self.fits: dict[str, dict[str, object]] = {}
        self.port = FIRST_PORT + os.getpid() % PORTS * PORTS_A_RUN + run * PORTS_A_RUN // 2

    def say(self, text: str) -> None:
        if self.progress:
            print(f"scale{' (against)' if self.root else ''}: {text}", file=sys.stderr, flush=True)

    def stage(self, size: Size, **more: object) -> Stage:
        self.port += 1
        tier = moves.tier_of(size.backends, size.doors, size.tenants, self.seed, self.port)
        return Stage(size, tier, self.host, self.root, **more)  # type: ignore[arg-type]

    async def main(self) -> None:
        """All moves at the full size, with a small tier beside it while requests are measured."""
        full, small = self.stage(FULL), self.stage(SMALL)
        try:
            starts, _ = await asyncio.gather(full.start(), small.start())
            self.say(f"started: {starts}")
            async with passthrough(full) as bare:
                await asyncio.gather(full.begin_load({BARE: bare}), small.begin_load())
                await asyncio.sleep(self.spans.warm)
                sides = {"full": full, "small": small}
                warm = await turn(full)
                still(full, True)
                both = await moves.ordinary(sides, self.random, self.spans.traffic, self.spans.drain, BARE)
                still(full, False)
                self.small = both["small"]
                self.note("ordinary", both["full"] | warm)
                await turn(full)  # in which it caught up with what came while it stood still
                lost, _ = await asyncio.gather(troubles.rack(full, self.random, self.spans.loss), small.end())
                self.note("rack", lost | await turn(full))
                self.note("zone", await troubles.zone(full, self.spans.loss) | await turn(full))
                back = await troubles.reset(full, self.random, self.spans.loss)
                self.note("reset", back | await turn(full))
                await full.end_load()
            idle = moves.idle(full, self.random, self.spans.idle, self.spans.drain)
            figures, _ = await asyncio.gather(idle, end_watched(full))
            self.note("idle", figures)
            self.note("restart", await troubles.restarts(full, self.spans.restarts, starts))
        finally:
            await asyncio.gather(full.end(), small.end())

    async def more(self) -> None:
        """In a whole run: what a hollow door costs others beside a real one, and the ladders."""
        spans = self.spans
        if not spans.ladders:
            return
        self.extra = await ladders.beside(self.stage, BESIDE_WARM_S, BESIDE_S)
        self.say(f"beside: {self.extra}")
        for ladder in ladders.LADDERS:
            figures, fits = await ladders.climb(
                self.stage, ladder, spans.rung_warm, spans.rung, self.say, self.extra.get("bytes_a_door", 0.0)
            )
            self.extra |= figures
            self.fits |= fits

    def note(self, move: str, figures: Figures) -> None:
        self.parts[move] = figures
        self.say(f"{move}: {named(figures)}")

    def figures(self) -> Figures:
        """Of all moves that were played to their end."""
        found = joined(self.parts, FULL.backends) | joined({"ordinary": self.small}, SMALL.backends)
        if self.small:
            ratio = self.parts["ordinary"]["request_us"] / max(1e-9, self.small["request_us"])
            found["request_ratio"] = rounded(ratio)
        return found | self.extra


async def turn(stage: Stage) -> Figures:
    """The longest one of a move, if a door is watched."""
    longest_ms = await stage.turn_ms()
    return {} if longest_ms is None else {"turn_ms": longest_ms}


async def end_watched(stage: Stage) -> None:
    """It is over before doors without traffic are looked at."""
    watched, stage.watched = stage.watched, None
    if watched:
        await watched.end()


def still(stage: Stage, on: bool) -> None:
    """Have the watched door stand still while times are measured: its watch never rests."""
    if stage.watched:
        stage.watched.door.signal(signal.SIGSTOP if on else signal.SIGCONT)


@asynccontextmanager
async def passthrough(stage: Stage) -> AsyncIterator[Address]:
    """A program that only hands bytes on, before the same backends."""
    host, port = backend_address(-1, stage.port)  # of none that is listed
    bare = subprocess.Popen(
        [sys.executable, "-m", "benchmarks.passthrough", host, str(port)],
        stdout=subprocess.PIPE,
        preexec_fn=die_with_parent(),
    )
    try:
        assert bare.stdout is not None
        yield host, int(await asyncio.to_thread(bare.stdout.readline))
    finally:
        bare.kill()
        bare.wait()
