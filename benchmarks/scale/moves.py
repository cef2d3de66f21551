"""Moves of an ordinary day: each is played on stages and gives figures by name (`troubles` has the others).

Quick and full runs play the same ones; only spans differ.
"""

import asyncio
from collections.abc import Mapping
from random import Random

from benchmarks.result import quantile
from benchmarks.scale.catalogue import SERVING
from benchmarks.scale.day import Day, unix_ms
from benchmarks.scale.hollow import DATAGRAM_HEAD_BYTES
from benchmarks.scale.stage import Stage, Window
from benchmarks.scale.tier import SPREAD, Tier

BURST, BURST_EVERY_S = 50, 0.05  # changes one after the other, to see what one costs
SETTLE_S = 2.0
Figures = dict[str, float]


def tier_of(backends: int, doors: int, tenants: int, seed: int, port: int) -> Tier:
    return Tier(doors, tenants, min(SPREAD, doors), seed, port)


def latencies(window: Window, names: list[str]) -> Figures:
    took = window.times_ms(names)
    if not took:
        return {}
    return {"p50_ms": quantile(took, 0.5), "p99_ms": quantile(took, 0.99)}


def request_us(window: Window, names: list[str]) -> float:
    """CPU of the doors for each request that came to them, in microseconds."""
    due = window.total("due", names) - window.total("unsent", names)
    return sum(window.cpu_s[name] for name in names) * 1e6 / max(1, due)


async def ordinary(
    stages: Mapping[str, Stage], random: Random, seconds: float, drain_s: float, bare: str
) -> dict[str, Figures]:
    """Traffic and an ordinary day's changes on all stages at once; `bare` names the pass-through's stream."""
    days = [Day(stage, random, drain_s) for stage in stages.values()]
    for stage in stages.values():
        await stage.ask("backends", "take")
    for day in days:
        day.start()
    looks = [await stage.look() for stage in stages.values()]
    await asyncio.sleep(seconds)
    windows = [await look.window() for look in looks]
    for day in days:
        await day.end()
    found: dict[str, Figures] = {}
    for (kind, stage), window, day in zip(stages.items(), windows, days, strict=True):
        helpers = {f"{role}_cpu_share": spent / window.seconds for role, spent in window.helpers_s.items()}
        figures = {
            "request_us": request_us(window, stage.names),
            **latencies(window, stage.names),
            **shares(window, stage.names),
            **helpers,
            "driver_late_p99_ms": quantile(window.times_ms(stage.names, "late_ms") or [0.0], 0.99),
            **forced(day),
            **await words(stage),
            **memory(stage),
        }
        if bare in window.requests:
            figures |= {f"bare_{name}": figure for name, figure in latencies(window, [bare]).items()}
        connects = await stage.ask("backends", "take")
        figures["connects_per_s"] = connects["connects"] / window.seconds
        found[kind] = figures
    return found


def shares(window: Window, names: list[str]) -> Figures:
    """What came of the requests, as parts of all that were due."""
    due = max(1, window.total("due", names))
    return {
        f"{what}_share": window.total(what, names) / due
        for what in ("served", "refused", "failed", "lost", "unsent")
    }


def forced(day: Day) -> Figures:
    if not day.force_s:
        return {"force_seen": 0}
    return {"force_s": max(day.force_s), "force_seen": day.seen}


def memory(stage: Stage) -> Figures:
    sizes = [real.memory_mb() for real in stage.real]
    return {"memory_mb": max(now for now, _ in sizes), "peak_memory_mb": max(most for _, most in sizes)}


async def words(stage: Stage) -> Figures:
    """Datagrams of the real doors with hollow ones, as means of a door."""
    taken = await stage.hollow_do("take")
    found = {
        name: sum(count[name] / part["seconds"] for part in taken for count in part["doors"].values())
        / len(stage.all)
        for name in ("sent_datagrams", "received_datagrams", "sent_bytes", "received_bytes")
    }
    datagrams = found["sent_datagrams"] + found["received_datagrams"]
    payload = found["sent_bytes"] + found["received_bytes"]
    return {
        "hollow_skips": sum(part["skips"] for part in taken),
        "datagrams_per_s": datagrams,
        "words_payload_bytes_per_s": payload,
        "words_bytes_per_s": payload + datagrams * DATAGRAM_HEAD_BYTES,
    }


async def idle(stage: Stage, random: Random, seconds: float, drain_s: float) -> Figures:
    """No traffic of its own: the day's changes with peers' words, then without; then many changes at once."""
    figures: Figures = {}
    await asyncio.sleep(SETTLE_S)
    day = Day(stage, random, drain_s)
    day.start()
    for name, quiet in (("control_share_with_words", False), ("control_share", True)):
        await stage.hollow_do("pause", on=quiet)
        await asyncio.sleep(0.5)
        look, changes = await stage.look(), day.changes
        await asyncio.sleep(seconds)
        window = await look.window()
        sent = await stage.ask("agent", "take")
        figures[name] = max(window.cpu_s[real] for real in stage.names) / window.seconds
        bytes_sent = [sent[str(real.number)]["changes"] for real in stage.real]
        figures["changes_bytes_per_s"] = max(bytes_sent) / window.seconds
        figures["changes_per_s"] = (day.changes - changes) / window.seconds
    await day.stop()
    figures["change_us"] = await change_us(stage, random, figures["control_share"])
    await day.end()
    figures["bytes_a_change"] = day.line_bytes / max(1, day.changes)
    await stage.hollow_do("pause", on=False)
    return figures


async def change_us(stage: Stage, random: Random, share: float) -> float:
    """CPU of a door for one change, in microseconds, less what it takes with hardly any."""
    look = await stage.look()
    for _ in range(BURST):
        number = random.randrange(stage.size.backends)
        await stage.ask("agent", "change", changes=[(number, SERVING, unix_ms())])
        await asyncio.sleep(BURST_EVERY_S)
    await asyncio.sleep(0.5)
    window = await look.window()
    cpu_s = sum(window.cpu_s[name] for name in stage.names) / len(stage.names)
    return max(0.0, cpu_s - share * window.seconds) * 1e6 / BURST
