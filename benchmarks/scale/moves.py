"""Measurements of an ordinary day; each runs on tiers and returns figures by name.

`troubles` has the other measurements. Quick and full runs do the same ones with different spans.
"""

import asyncio
from collections.abc import Mapping
from random import Random

from benchmarks.result import quantile
from benchmarks.scale.catalogue import SERVING
from benchmarks.scale.day import OrdinaryDay, unix_ms
from benchmarks.scale.hollow import DATAGRAM_HEADER_BYTES
from benchmarks.scale.stage import Stage, Window
from benchmarks.scale.tier import SPREAD, Tier

BURST_CHANGES, BURST_INTERVAL_S = 50, 0.05  # a sequence of changes, to measure the cost of one
SETTLE_S = 2.0
Figures = dict[str, float]


def create_tier(backends: int, doors: int, tenants: int, seed: int, port: int) -> Tier:
    """Return a tier of a size."""
    return Tier(doors, tenants, min(SPREAD, doors), seed, port)


def latencies(window: Window, names: list[str]) -> Figures:
    """Return the latency percentiles of doors."""
    times_ms = window.times_ms(names)
    if not times_ms:
        return {}
    return {"p50_ms": quantile(times_ms, 0.5), "p99_ms": quantile(times_ms, 0.99)}


def request_us(window: Window, names: list[str]) -> float:
    """Return the doors' CPU microseconds for each request that they received."""
    due = window.total("due", names) - window.total("unsent", names)
    return sum(window.cpu_s[name] for name in names) * 1e6 / max(1, due)


async def measure_ordinary_day(
    stages: Mapping[str, Stage], random: Random, seconds: float, drain_s: float, bare: str
) -> dict[str, Figures]:
    """Measure traffic and an ordinary day's changes on all tiers at once.

    `bare` names the stream of the pass-through.
    """
    days = [OrdinaryDay(stage, random, drain_s) for stage in stages.values()]
    for stage in stages.values():
        await stage.call("backends", "take")
    for day in days:
        day.start()
    measurements = [await stage.start_measurement() for stage in stages.values()]
    await asyncio.sleep(seconds)
    windows = [await measurement.window() for measurement in measurements]
    for day in days:
        await day.end()
    by_size: dict[str, Figures] = {}
    for (size_name, stage), window, day in zip(stages.items(), windows, days, strict=True):
        role_cpu_shares = {
            f"{role}_cpu_share": spent / window.seconds for role, spent in window.helpers_s.items()
        }
        figures = {
            "request_us": request_us(window, stage.names),
            **latencies(window, stage.names),
            **outcome_shares(window, stage.names),
            **role_cpu_shares,
            "driver_late_p99_ms": quantile(window.times_ms(stage.names, "late_ms") or [0.0], 0.99),
            **in_force_figures(day),
            **await gossip_figures(stage),
            **memory_figures(stage),
        }
        if bare in window.requests:
            figures |= {f"bare_{name}": figure for name, figure in latencies(window, [bare]).items()}
        connects = await stage.call("backends", "take")
        figures["connects_per_s"] = connects["connects"] / window.seconds
        by_size[size_name] = figures
    return by_size


def outcome_shares(window: Window, names: list[str]) -> Figures:
    """Return the outcomes of the requests as shares of all that were due."""
    due = max(1, window.total("due", names))
    return {
        f"{what}_share": window.total(what, names) / due
        for what in ("served", "refused", "failed", "lost", "unsent")
    }


def in_force_figures(day: OrdinaryDay) -> Figures:
    """Return the longest delay of a change and the number of observed pairs."""
    if not day.in_force_s:
        return {"force_seen": 0}
    return {"force_s": max(day.in_force_s), "force_seen": day.observed_pairs}


def memory_figures(stage: Stage) -> Figures:
    """Return the largest memory of the real doors."""
    sizes = [real.memory_mb() for real in stage.real]
    return {"memory_mb": max(now for now, _ in sizes), "peak_memory_mb": max(most for _, most in sizes)}


async def gossip_figures(stage: Stage) -> Figures:
    """Return the datagrams between real and simulated doors, as means for one door."""
    counts = await stage.call_simulated("take")
    means = {
        name: sum(count[name] / part["seconds"] for part in counts for count in part["doors"].values())
        / len(stage.all)
        for name in ("sent_datagrams", "received_datagrams", "sent_bytes", "received_bytes")
    }
    datagrams = means["sent_datagrams"] + means["received_datagrams"]
    payload = means["sent_bytes"] + means["received_bytes"]
    return {
        "hollow_skips": sum(part["skips"] for part in counts),
        "datagrams_per_s": datagrams,
        "words_payload_bytes_per_s": payload,
        "words_bytes_per_s": payload + datagrams * DATAGRAM_HEADER_BYTES,
    }


async def measure_idle(stage: Stage, random: Random, seconds: float, drain_s: float) -> Figures:
    """Measure doors without own traffic: the day's changes with gossip, then without; then a burst of
    changes.
    """
    figures: Figures = {}
    await asyncio.sleep(SETTLE_S)
    day = OrdinaryDay(stage, random, drain_s)
    day.start()
    for name, is_paused in (("control_share_with_words", False), ("control_share", True)):
        await stage.call_simulated("pause", on=is_paused)
        await asyncio.sleep(0.5)
        measurement, changes = await stage.start_measurement(), day.changes
        await asyncio.sleep(seconds)
        window = await measurement.window()
        sent = await stage.call("agent", "take")
        figures[name] = max(window.cpu_s[real] for real in stage.names) / window.seconds
        bytes_sent = [sent[str(real.number)]["changes"] for real in stage.real]
        figures["changes_bytes_per_s"] = max(bytes_sent) / window.seconds
        figures["changes_per_s"] = (day.changes - changes) / window.seconds
    await day.stop()
    figures["change_us"] = await change_us(stage, random, figures["control_share"])
    await day.end()
    figures["bytes_a_change"] = day.line_bytes / max(1, day.changes)
    await stage.call_simulated("pause", on=False)
    return figures


async def change_us(stage: Stage, random: Random, share: float) -> float:
    """Return a door's CPU microseconds for one change, less its use at the ordinary rate."""
    measurement = await stage.start_measurement()
    for _ in range(BURST_CHANGES):
        number = random.randrange(stage.size.backends)
        await stage.call("agent", "change", changes=[(number, SERVING, unix_ms())])
        await asyncio.sleep(BURST_INTERVAL_S)
    await asyncio.sleep(0.5)
    window = await measurement.window()
    cpu_s = sum(window.cpu_s[name] for name in stage.names) / len(stage.names)
    return max(0.0, cpu_s - share * window.seconds) * 1e6 / BURST_CHANGES
