"""Slopes: doors measured at several sizes of one dimension, and simulated doors compared with real ones.

The tenants that a door knows are those of its sets: slopes are taken over their number, which the tier's
number of tenants determines. Backends grow together with doors, whose own share is subtracted.
"""

import asyncio
import signal
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random

from benchmarks.scale import doors, moves
from benchmarks.scale.counted import LOG_PREFIX
from benchmarks.scale.doors import last_logged_counts
from benchmarks.scale.figures import round_figure
from benchmarks.scale.fit import Fit, fit_line
from benchmarks.scale.moves import Figures
from benchmarks.scale.stage import Size, Stage
from benchmarks.scale.tier import SPREAD

MB = 1 << 20
ROUNDS = 3  # for each side of a comparison
LOG_WAIT_S = 0.3  # time for a door to write a requested log line
REAL_DOORS = 2


def proportional_size(backends: int, doors: int) -> Size:
    """Return a size with as many tenants for each door as the planned tier."""
    return Size(backends, doors, doors * 170_000 // 7_500, REAL_DOORS)


# With the planned number of doors for each backend: with few doors each must see more of a list.
BACKENDS = [
    proportional_size(backends, backends * 7_500 // 93_000) for backends in (200, 2_000, 20_000, 93_000)
]
DOORS = [proportional_size(20_000, count) for count in (200, 1_000, 7_500)]
TENANTS = [Size(2_000, 200, tenants, REAL_DOORS) for tenants in (1_000, 20_000, 170_000)]
ALL_REAL, HALF_REAL = Size(200, 8, 181, 8), Size(200, 8, 181, 4)  # small enough for all doors to be real


@dataclass(frozen=True, slots=True)
class SizeSeries:
    """A dimension that grows, and the figures fitted over it: slope's name, figure, factor of its unit."""

    name: str
    sizes: Sequence[Size]
    over: Callable[[Size], float]
    fitted: dict[str, tuple[str, float]]
    to: float  # the planned size


LESS_DOORS = "memory_less_doors_mb"  # less the memory for other doors, by the slope of the series `doors`
SERIES = (
    SizeSeries(
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
    SizeSeries(
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
    SizeSeries(
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


async def measure_size(make: MakeStage, size: Size, warm_s: float, seconds: float, changes: bool) -> Figures:
    """Measure memory and CPU of doors at one size, with traffic and then without."""
    stage = make(size)
    try:
        await stage.start()
        await stage.begin_load()
        await asyncio.sleep(warm_s)
        measurement = await stage.start_measurement()
        await asyncio.sleep(seconds)
        window = await measurement.window()
        figures = {
            "request_us": moves.request_us(window, stage.names),
            **moves.outcome_shares(window, stage.names),
            **moves.latencies(window, stage.names),
            **moves.memory_figures(stage),
            **await moves.gossip_figures(stage),
        }
        await stage.end_load()
        if changes:
            await stage.call_simulated("pause", on=True)
            await asyncio.sleep(moves.SETTLE_S)
            rest_start = await stage.start_measurement()
            await asyncio.sleep(seconds / 2)
            rest_window = await rest_start.window()
            share = sum(rest_window.cpu_s.values()) / len(rest_window.cpu_s) / rest_window.seconds
            figures["change_us"] = await moves.change_us(stage, Random(1), share)
        return figures
    finally:
        await stage.end()


async def measure_series(
    make: MakeStage,
    series: SizeSeries,
    warm_s: float,
    seconds: float,
    say: Callable[[str], None],
    bytes_a_door: float = 0.0,
) -> tuple[Figures, dict[str, dict[str, object]]]:
    """Return the figures at each size of a series, and the fits.

    `bytes_a_door` is a slope that has been measured before.
    """
    figures: Figures = {}
    points: list[tuple[float, Figures]] = []
    for size in series.sizes:
        measured = await measure_size(make, size, warm_s, seconds, series.name == "backends")
        if series.sizes is BACKENDS:
            measured[LESS_DOORS] = measured["memory_mb"] - bytes_a_door * size.doors / MB
        points.append((series.over(size), measured))
        say(f"{series.name} {series.over(size):g}: {measured}")
        figures |= {
            f"{series.name}_{round(series.over(size))}_{name}": round_figure(figure)
            for name, figure in measured.items()
        }
    fits: dict[str, dict[str, object]] = {}
    for name, (figure, unit) in series.fitted.items():
        line: Fit = fit_line([(at, measured[figure] * unit) for at, measured in points if figure in measured])
        fits[name] = {"of": figure, "over": series.name, **line.as_fields(series.to)}
        figures[name] = round_figure(line.slope)
    return figures, fits


async def compare_simulated(make: MakeStage, warm_s: float, seconds: float) -> Figures:
    """Measure a door among 7 real ones, and among 3 real and 4 simulated ones.

    The two tiers alternate, so that a slowdown of the machine affects both.
    """
    stages = {
        "real": make(ALL_REAL, numbers=range(8), simulated=[], door_command=doors.COUNTING_DOOR_COMMAND),
        "hollow": make(
            HALF_REAL, numbers=range(4), simulated=[4, 5, 6, 7], door_command=doors.COUNTING_DOOR_COMMAND
        ),
    }
    rounds_by_side: dict[str, list[Figures]] = {side: [] for side in stages}
    try:
        for stage in stages.values():
            await stage.start()
            await stage.call_simulated("pause", on=True)
        for _ in range(ROUNDS):
            for side, stage in stages.items():
                await stage.call_simulated("pause", on=False)
                await stage.begin_load()
                await asyncio.sleep(warm_s)
                rounds_by_side[side].append(await measure_round(stage, seconds))
                await stage.end_load()
                await stage.call_simulated("pause", on=True)
    finally:
        await asyncio.gather(*(stage.end() for stage in stages.values()))
    return {
        f"beside_{side}_{name}": round_figure(sum(figures[name] for figures in rounds) / len(rounds))
        for side, rounds in rounds_by_side.items()
        for name in rounds[0]
    }


async def measure_round(stage: Stage, seconds: float) -> Figures:
    """Return means over the doors that are real on both sides."""
    measurement = await stage.start_measurement()
    signal_all(stage, signal.SIGUSR1)
    await asyncio.sleep(seconds)
    signal_all(stage, signal.SIGUSR2)
    window = await measurement.window()
    await asyncio.sleep(LOG_WAIT_S)
    compared = stage.real[: HALF_REAL.real]
    counts = [last_logged_counts(list(real.door.log), LOG_PREFIX) for real in compared]
    datagram_rates = {
        f"{what}_per_s": sum(count[what] / count["seconds"] for count in counts) / len(counts)
        for what in ("datagrams", "bytes")
    }
    names = [real.name for real in compared]
    share = sum(window.cpu_s[name] for name in names) / window.seconds / len(names)
    return {
        **datagram_rates,
        "cpu_share": share,
        "request_us": moves.request_us(window, names),
        **moves.outcome_shares(window, names),
        **moves.latencies(window, names),
    }


def signal_all(stage: Stage, number: signal.Signals) -> None:
    """Send a signal to all real doors."""
    for real in stage.real:
        real.door.signal(number)
