"""Measurements of failures: backends lost, discovery restarted, doors restarted.

Quick and full runs do the same ones with different spans.
"""

import asyncio
import time
from collections.abc import Mapping
from random import Random

from benchmarks.result import quantile
from benchmarks.scale.catalogue import DELETED, SERVING
from benchmarks.scale.day import RECENT_S, OrdinaryDay, unix_ms
from benchmarks.scale.doors import READY_S, write_known
from benchmarks.scale.moves import Figures, in_force_figures, latencies, memory_figures, outcome_shares
from benchmarks.scale.stage import Stage
from benchmarks.scale.tier import ZONES
from rig.doors import Door

RACK_BACKENDS, LOST_ZONE = 40, 3
ANNOUNCEMENT_DELAY_S = 1.0  # from the failure of backends to its announcement
QUIET_S = 2.0  # a change of several backends is in force after this time without a request to them


async def lose_backends(stage: Stage, numbers: list[int], seconds: float) -> Figures:
    """Take backends down at once and announce it a little later."""
    used_before = await stage.call("backends", "last", since_s=time.monotonic() - RECENT_S, numbers=numbers)
    measurement = await stage.start_measurement()
    await stage.call("backends", "gone", numbers=numbers)
    await asyncio.sleep(ANNOUNCEMENT_DELAY_S)
    announced = await stage.call("agent", "change", changes=[(number, DELETED, 0) for number in numbers])
    await asyncio.sleep(seconds)
    window = await measurement.window()
    last = await stage.call("backends", "last", since_s=announced["at_s"], numbers=numbers)
    delays_s = [max(0.0, last.get(door, announced["at_s"]) - announced["at_s"]) for door in used_before]
    return {
        **outcome_shares(window, stage.names),
        **latencies(window, stage.names),
        "force_s": max(delays_s, default=0.0),
        "force_seen": len(delays_s),
        "line_bytes": announced["line_bytes"],
    }


async def lose_rack(stage: Stage, random: Random, seconds: float) -> Figures:
    """Lose a rack of 40 at once: the backends that doors use most, since others would not show."""
    used = await stage.call("backends", "used", since_s=time.monotonic() - RECENT_S)
    most_used = [number for counts in used.values() for number, _ in counts[: RACK_BACKENDS // len(used) + 1]]
    others = random.sample(range(stage.size.backends), min(RACK_BACKENDS, stage.size.backends))
    numbers = list(dict.fromkeys([*most_used, *others]))[:RACK_BACKENDS]
    return await lose_backends(stage, numbers, seconds)


async def lose_zone(stage: Stage, seconds: float) -> Figures:
    """Lose one of 26 zones, and bring it back as cold backends with new names."""
    size = stage.size.backends
    numbers = list(range(LOST_ZONE, size, ZONES))
    span_s = min(RECENT_S, seconds)
    before = await stage.call("backends", "used", since_s=time.monotonic() - span_s)
    figures = await lose_backends(stage, numbers, seconds)
    after = await stage.call("backends", "used", since_s=time.monotonic() - span_s)
    figures |= {"asked_before": fewest_backends(before), "asked_after": fewest_backends(after)}
    base = stage.next_number - stage.next_number % ZONES + ZONES + LOST_ZONE
    back = [base + at * ZONES for at in range(len(numbers))]
    stage.next_number = back[-1]
    measurement, now_ms = await stage.start_measurement(), unix_ms()
    announced = await stage.call("agent", "change", changes=[(number, SERVING, now_ms) for number in back])
    await asyncio.sleep(seconds)
    window = await measurement.window()
    cold = await stage.call("backends", "busiest", since_s=announced["at_s"], numbers=back)
    return {
        **figures,
        "back_served_share": window.served_share(stage.names),
        "back_line_bytes": announced["line_bytes"],
        **{f"back_{name}": figure for name, figure in latencies(window, stage.names).items()},
        "back_cold_most_per_s": cold["most"],
        "back_cold_requests": cold["all"],
    }


def fewest_backends(used: Mapping[str, list[list[int]]]) -> int:
    """Return the fewest backends that one door used."""
    return min((len(counts) for counts in used.values()), default=0)


async def reset_discovery(stage: Stage, random: Random, seconds: float) -> Figures:
    """Restart discovery: a whole list for all doors, followed by a change."""
    day, measurement = OrdinaryDay(stage, random), await stage.start_measurement()
    sent = await stage.call("agent", "reset")
    used = await stage.call("backends", "used", since_s=time.monotonic() - RECENT_S)
    most_used = [number for counts in used.values() for number, _ in counts[:3]]
    await day.drain(most_used, seconds, quiet_s=QUIET_S)
    window = await measurement.window()
    return {
        **outcome_shares(window, stage.names),
        **latencies(window, stage.names),
        "whole_bytes": sent["line_bytes"],
        **in_force_figures(day),
        "share": max(window.cpu_s[name] for name in stage.names) / window.seconds,
        **memory_figures(stage),
    }


async def restart_doors(stage: Stage, rounds: int, before: list[tuple[float, float]]) -> Figures:
    """Kill and restart all real doors at once, with the whole list in their configuration.

    In the last round the first door has none and reads it from discovery. `before` are the times of earlier
    starts.
    """
    times, fresh_figures = list(before), Figures()
    for round_number in range(rounds):
        for real in stage.real:
            await kill_door(real.door)
        first = stage.real[0]
        if round_number == rounds - 1:
            write_known(first.door, "{}")
            await stage.call("agent", "take")
        round_times = await asyncio.gather(*(stage.start_door(real) for real in stage.real))
        if round_number == rounds - 1:
            ready_s, served_s = round_times.pop(0)
            sent = (await stage.call("agent", "take"))[str(first.number)]
            now_mb, most_mb = first.memory_mb()
            fresh_figures |= {
                "fresh_ready_s": ready_s,
                "fresh_served_s": served_s,
                "fresh_served": int(served_s < READY_S),
                "fresh_calls": sent["calls"],
                "fresh_whole_bytes": sent["whole"],
                "fresh_memory_mb": now_mb,
                "fresh_peak_memory_mb": most_mb,
            }
        times += round_times
    ready, served = [ready_s for ready_s, _ in times], [served_s for _, served_s in times]
    return {
        **fresh_figures,
        "starts": len(ready),
        "ready_s": quantile(ready, 0.9),
        "slowest_ready_s": max(ready),
        "first_served_s": quantile(served, 0.9),
    }


async def kill_door(door: Door) -> None:
    """Kill a front door and wait for its end."""
    door.kill()
    await door.ended.wait()
