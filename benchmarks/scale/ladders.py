"""Slopes: doors measured at several sizes of one thing while the others stay, and what a hollow door costs.

Tenants that a door knows are those of its sets: their number is what a slope is taken over, and the tier's
number of tenants is how it is reached. Backends are raised together with doors, whose own part is taken off.
"""

import asyncio
import signal
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random

from benchmarks.scale import doors, moves
from benchmarks.scale.counted import MARK
from benchmarks.scale.doors import counts_in
from benchmarks.scale.figures import rounded
from benchmarks.scale.fit import Fit, fit
from benchmarks.scale.moves import Figures
from benchmarks.scale.stage import Size, Stage
from benchmarks.scale.tier import SPREAD

MB = 1 << 20
TURNS = 3  # of each side of a comparison
LINE_S = 0.3  # for a line that a door was asked for
REAL = 2


def alike(backends: int, doors: int) -> Size:
    """A tier with as many tenants for each door as the one that is coming."""
    return Size(backends, doors, doors * 170_000 // 7_500, REAL)


# With as many doors for each backend as there will be: few doors must see more of a list.
BACKENDS = [alike(backends, backends * 7_500 // 93_000) for backends in (200, 2_000, 20_000, 93_000)]
DOORS = [alike(20_000, count) for count in (200, 1_000, 7_500)]
TENANTS = [Size(2_000, 200, tenants, REAL) for tenants in (1_000, 20_000, 170_000)]
EIGHT, HALF = Size(200, 8, 181, 8), Size(200, 8, 181, 4)  # a tier that is small enough to be all real


@dataclass(frozen=True, slots=True)
class Ladder:
    """What is raised, and the figures that are fitted over it: name of the slope, figure, its unit in it."""

    name: str
    sizes: Sequence[Size]
    over: Callable[[Size], float]
    fitted: dict[str, tuple[str, float]]
    to: float  # the size that is coming


LESS_DOORS = "memory_less_doors_mb"  # less what other doors take, by the ladder before
LADDERS = (
    Ladder(
        "doors",
        DOORS,
        lambda size: size.doors,
        {
            "bytes_a_door": ("memory_mb", MB),
            "request_ns_a_door": ("request_us", 1000),
            "word_bytes_per_s_a_door": ("words_bytes_per_s", 1),
        },
        7_500,
    ),
    Ladder(
        "backends",
        BACKENDS,
        lambda size: size.backends,
        {
            "bytes_a_backend": (LESS_DOORS, MB),
            "request_ns_a_backend": ("request_us", 1000),
            "change_ns_a_backend": ("change_us", 1000),
        },
        93_000,
    ),
    Ladder(
        "tenants",
        TENANTS,
        lambda size: size.tenants * SPREAD / size.doors,
        {
            "bytes_a_tenant": ("memory_mb", MB),
            "request_ns_a_tenant": ("request_us", 1000),
        },
        170_000 * SPREAD / 7_500,
    ),
)

MakeStage = Callable[..., Stage]


async def rung(make: MakeStage, size: Size, warm_s: float, seconds: float, changes: bool) -> Figures:
    """Memory and CPU of doors at one size, under their traffic and then without."""
    stage = make(size)
    try:
        await stage.start()
        await stage.begin_load()
        await asyncio.sleep(warm_s)
        look = await stage.look()
        await asyncio.sleep(seconds)
        window = await look.window()
        found = {
            "request_us": moves.request_us(window, stage.names),
            **moves.shares(window, stage.names),
            **moves.latencies(window, stage.names),
            **moves.memory(stage),
            **await moves.words(stage),
        }
        await stage.end_load()
        if changes:
            await stage.hollow_do("pause", on=True)
            await asyncio.sleep(moves.SETTLE_S)
            still = await stage.look()
            await asyncio.sleep(seconds / 2)
            rest = await still.window()
            share = sum(rest.cpu_s.values()) / len(rest.cpu_s) / rest.seconds
            found["change_us"] = await moves.change_us(stage, Random(1), share)
        return found
    finally:
        await stage.end()


async def climb(
    make: MakeStage,
    ladder: Ladder,
    warm_s: float,
    seconds: float,
    say: Callable[[str], None],
    bytes_a_door: float = 0.0,
) -> tuple[Figures, dict[str, dict[str, object]]]:
    """The figures of each rung by its size, and the fits; `bytes_a_door` is a slope that is known by then."""
    figures: Figures = {}
    rungs: list[tuple[float, Figures]] = []
    for size in ladder.sizes:
        found = await rung(make, size, warm_s, seconds, ladder.name == "backends")
        if ladder.sizes is BACKENDS:
            found[LESS_DOORS] = found["memory_mb"] - bytes_a_door * size.doors / MB
        rungs.append((ladder.over(size), found))
        say(f"{ladder.name} {ladder.over(size):g}: {found}")
        figures |= {
            f"{ladder.name}_{round(ladder.over(size))}_{name}": rounded(figure)
            for name, figure in found.items()
        }
    fits: dict[str, dict[str, object]] = {}
    for name, (figure, unit) in ladder.fitted.items():
        line: Fit = fit([(at, found[figure] * unit) for at, found in rungs if figure in found])
        fits[name] = {"of": figure, "over": ladder.name, **line.shown(ladder.to)}
        figures[name] = rounded(line.slope)
    return figures, fits


async def beside(make: MakeStage, warm_s: float, seconds: float) -> Figures:
    """What a door receives and costs among 7 real ones, and among 3 real and 4 hollow ones: in turn, so that
    what slows the machine slows both."""
    stages = {
        "real": make(EIGHT, numbers=range(8), hollow=[], of=doors.COUNTED),
        "hollow": make(HALF, numbers=range(4), hollow=[4, 5, 6, 7], of=doors.COUNTED),
    }
    seen: dict[str, list[Figures]] = {side: [] for side in stages}
    try:
        for stage in stages.values():
            await stage.start()
            await stage.hollow_do("pause", on=True)
        for _ in range(TURNS):
            for side, stage in stages.items():
                await stage.hollow_do("pause", on=False)
                await stage.begin_load()
                await asyncio.sleep(warm_s)
                seen[side].append(await turn(stage, seconds))
                await stage.end_load()
                await stage.hollow_do("pause", on=True)
    finally:
        await asyncio.gather(*(stage.end() for stage in stages.values()))
    return {
        f"beside_{side}_{name}": rounded(sum(figures[name] for figures in turns) / len(turns))
        for side, turns in seen.items()
        for name in turns[0]
    }


async def turn(stage: Stage, seconds: float) -> Figures:
    """Means of the doors that are real on both sides."""
    look = await stage.look()
    signal_all(stage, signal.SIGUSR1)
    await asyncio.sleep(seconds)
    signal_all(stage, signal.SIGUSR2)
    window = await look.window()
    await asyncio.sleep(LINE_S)
    compared = stage.real[: HALF.real]
    counts = [counts_in(list(real.door.log), MARK) for real in compared]
    found = {
        f"{what}_per_s": sum(count[what] / count["seconds"] for count in counts) / len(counts)
        for what in ("datagrams", "bytes")
    }
    names = [real.name for real in compared]
    share = sum(window.cpu_s[name] for name in names) / window.seconds / len(names)
    return {
        **found,
        "cpu_share": share,
        "request_us": moves.request_us(window, names),
        **moves.shares(window, names),
        **moves.latencies(window, names),
    }


def signal_all(stage: Stage, number: signal.Signals) -> None:
    for real in stage.real:
        real.door.signal(number)
