"""Moves of days that are not ordinary: backends lost, discovery back, doors that start anew.

Quick and full runs play the same ones; only spans differ.
"""

import asyncio
import time
from collections.abc import Mapping
from random import Random

from benchmarks.result import quantile
from benchmarks.scale.catalogue import DELETED, SERVING
from benchmarks.scale.day import SEEN_S, Day, unix_ms
from benchmarks.scale.doors import READY_S, write_known
from benchmarks.scale.moves import Figures, forced, latencies, memory, shares
from benchmarks.scale.stage import Stage
from benchmarks.scale.tier import ZONES
from rig.doors import Door

RACK, ZONE = 40, 3
TOLD_S = 1.0  # from when backends die to the word of it
QUIET_S = 2.0  # without a request, after which a change of several backends is in force


async def lose(stage: Stage, numbers: list[int], seconds: float) -> Figures:
    """These die at once, and the word of it comes a little later."""
    had = await stage.ask("backends", "last", since_s=time.monotonic() - SEEN_S, numbers=numbers)
    look = await stage.look()
    await stage.ask("backends", "gone", numbers=numbers)
    await asyncio.sleep(TOLD_S)
    told = await stage.ask("agent", "change", changes=[(number, DELETED, 0) for number in numbers])
    await asyncio.sleep(seconds)
    window = await look.window()
    last = await stage.ask("backends", "last", since_s=told["at_s"], numbers=numbers)
    force = [max(0.0, last.get(door, told["at_s"]) - told["at_s"]) for door in had]
    return {
        **shares(window, stage.names),
        **latencies(window, stage.names),
        "force_s": max(force, default=0.0),
        "force_seen": len(force),
        "line_bytes": told["line_bytes"],
    }


async def rack(stage: Stage, random: Random, seconds: float) -> Figures:
    """A rack of 40 gone at once: those that doors ask most, as the others would not show."""
    used = await stage.ask("backends", "used", since_s=time.monotonic() - SEEN_S)
    asked = [number for counts in used.values() for number, _ in counts[: RACK // len(used) + 1]]
    rest = random.sample(range(stage.size.backends), min(RACK, stage.size.backends))
    numbers = list(dict.fromkeys([*asked, *rest]))[:RACK]
    return await lose(stage, numbers, seconds)


async def zone(stage: Stage, seconds: float) -> Figures:
    """A zone of 26 lost, and back cold as backends of new names."""
    size = stage.size.backends
    numbers = list(range(ZONE, size, ZONES))
    span_s = min(SEEN_S, seconds)
    before = await stage.ask("backends", "used", since_s=time.monotonic() - span_s)
    figures = await lose(stage, numbers, seconds)
    after = await stage.ask("backends", "used", since_s=time.monotonic() - span_s)
    figures |= {"asked_before": least(before), "asked_after": least(after)}
    base = stage.next_number - stage.next_number % ZONES + ZONES + ZONE
    back = [base + at * ZONES for at in range(len(numbers))]
    stage.next_number = back[-1]
    look, now_ms = await stage.look(), unix_ms()
    told = await stage.ask("agent", "change", changes=[(number, SERVING, now_ms) for number in back])
    await asyncio.sleep(seconds)
    window = await look.window()
    cold = await stage.ask("backends", "busiest", since_s=told["at_s"], numbers=back)
    return {
        **figures,
        "back_served_share": window.served_share(stage.names),
        "back_line_bytes": told["line_bytes"],
        **{f"back_{name}": figure for name, figure in latencies(window, stage.names).items()},
        "back_cold_most_per_s": cold["most"],
        "back_cold_requests": cold["all"],
    }


def least(used: Mapping[str, list[list[int]]]) -> int:
    """The fewest backends that a door asked."""
    return min((len(counts) for counts in used.values()), default=0)


async def reset(stage: Stage, random: Random, seconds: float) -> Figures:
    """Discovery is back with a whole list for everybody, and a change right behind it."""
    day, look = Day(stage, random), await stage.look()
    sent = await stage.ask("agent", "reset")
    used = await stage.ask("backends", "used", since_s=time.monotonic() - SEEN_S)
    asked = [number for counts in used.values() for number, _ in counts[:3]]
    await day.drain(asked, seconds, quiet_s=QUIET_S)
    window = await look.window()
    return {
        **shares(window, stage.names),
        **latencies(window, stage.names),
        "whole_bytes": sent["line_bytes"],
        **forced(day),
        "share": max(window.cpu_s[name] for name in stage.names) / window.seconds,
        **memory(stage),
    }


async def restarts(stage: Stage, rounds: int, before: list[tuple[float, float]]) -> Figures:
    """All real doors die and start anew at once, with the whole list in their configuration.

    In the last round the first has none, and reads all of it from discovery. `before` are the times of starts
    that were seen already.
    """
    times, found = list(before), Figures()
    for at in range(rounds):
        for real in stage.real:
            await stop(real.door)
        first = stage.real[0]
        if at == rounds - 1:
            write_known(first.door, "{}")
            await stage.ask("agent", "take")
        seen = await asyncio.gather(*(stage.start_door(real) for real in stage.real))
        if at == rounds - 1:
            ready_s, served_s = seen.pop(0)
            sent = (await stage.ask("agent", "take"))[str(first.number)]
            now_mb, most_mb = first.memory_mb()
            found |= {
                "fresh_ready_s": ready_s,
                "fresh_served_s": served_s,
                "fresh_served": int(served_s < READY_S),
                "fresh_calls": sent["calls"],
                "fresh_whole_bytes": sent["whole"],
                "fresh_memory_mb": now_mb,
                "fresh_peak_memory_mb": most_mb,
            }
        times += seen
    ready, serves = [ready_s for ready_s, _ in times], [served_s for _, served_s in times]
    return {
        **found,
        "starts": len(ready),
        "ready_s": quantile(ready, 0.9),
        "slowest_ready_s": max(ready),
        "first_served_s": quantile(serves, 0.9),
    }


async def stop(door: Door) -> None:
    door.kill()
    await door.ended.wait()
