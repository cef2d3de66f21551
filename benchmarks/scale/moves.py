"""The moves of a run: each is played on stages and gives figures by name.

Quick and full runs play the same ones; only spans differ.
"""

import asyncio
import time
from collections.abc import Mapping
from random import Random

from benchmarks.result import quantile
from benchmarks.scale.catalogue import DELETED, SERVING
from benchmarks.scale.day import FORCE_S, SEEN_S, Day, unix_ms
from benchmarks.scale.doors import READY_S, write_known
from benchmarks.scale.hollow import DATAGRAM_HEAD_BYTES
from benchmarks.scale.stage import Stage, Window
from benchmarks.scale.tier import ZONES, Tier
from rig.doors import Door

RACK, ZONE = 40, 3
TOLD_S = 1.0  # from when backends die to the word of it
BURST, BURST_EVERY_S = 50, 0.05  # changes one after the other, to see what one costs
SETTLE_S = 2.5
Figures = dict[str, float]


def tier_of(backends: int, doors: int, tenants: int, seed: int, port: int) -> Tier:
    return Tier(doors, tenants, min(4, doors), seed, port)


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
        figures = {"request_us": request_us(window, stage.names), **latencies(window, stage.names),
                   **shares(window, stage.names), **helpers,
                   "driver_late_p99_ms": quantile(window.times_ms(stage.names, "late_ms") or [0.0], 0.99),
                   **forced(day), **await words(stage), **memory(stage)}
        if bare in window.requests:
            figures |= {f"bare_{name}": figure for name, figure in latencies(window, [bare]).items()}
        connects = await stage.ask("backends", "take")
        figures["connects_per_s"] = connects["connects"] / window.seconds
        found[kind] = figures
    return found


def shares(window: Window, names: list[str]) -> Figures:
    """What came of the requests, as parts of all that were due."""
    due = max(1, window.total("due", names))
    return {f"{what}_share": window.total(what, names) / due
            for what in ("served", "refused", "failed", "lost", "unsent")}


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
    found = {name: sum(count[name] / part["seconds"] for part in taken for count in part["doors"].values())
             / len(stage.all)
             for name in ("sent_datagrams", "received_datagrams", "sent_bytes", "received_bytes")}
    datagrams = found["sent_datagrams"] + found["received_datagrams"]
    payload = found["sent_bytes"] + found["received_bytes"]
    return {"hollow_skips": sum(part["skips"] for part in taken), "datagrams_per_s": datagrams,
            "words_payload_bytes_per_s": payload,
            "words_bytes_per_s": payload + datagrams * DATAGRAM_HEAD_BYTES}


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
    return {**shares(window, stage.names), **latencies(window, stage.names),
            "force_s": max(force, default=0.0), "force_seen": len(force), "line_bytes": told["line_bytes"]}


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
    return {**figures, "back_served_share": window.served_share(stage.names),
            "back_line_bytes": told["line_bytes"],
            **{f"back_{name}": figure for name, figure in latencies(window, stage.names).items()},
            "back_cold_most_per_s": cold["most"], "back_cold_requests": cold["all"]}


def least(used: Mapping[str, list[list[int]]]) -> int:
    """The fewest backends that a door asked."""
    return min((len(counts) for counts in used.values()), default=0)


async def reset(stage: Stage, random: Random, seconds: float) -> Figures:
    """Discovery is back with a whole list for everybody, and a change right behind it."""
    day, look = Day(stage, random), await stage.look()
    sent = await stage.ask("agent", "reset")
    used = await stage.ask("backends", "used", since_s=time.monotonic() - SEEN_S)
    await day.drain([number for counts in used.values() for number, _ in counts[:3]], max(seconds, FORCE_S))
    window = await look.window()
    return {**shares(window, stage.names), **latencies(window, stage.names),
            "whole_bytes": sent["line_bytes"], **forced(day),
            "share": max(window.cpu_s[name] for name in stage.names) / window.seconds, **memory(stage)}


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
            found |= {"fresh_ready_s": ready_s, "fresh_served_s": served_s,
                      "fresh_served": int(served_s < READY_S), "fresh_calls": sent["calls"],
                      "fresh_whole_bytes": sent["whole"], "fresh_memory_mb": now_mb,
                      "fresh_peak_memory_mb": most_mb}
        times += seen
    ready, serves = [ready_s for ready_s, _ in times], [served_s for _, served_s in times]
    return {**found, "starts": len(ready), "ready_s": quantile(ready, 0.9), "slowest_ready_s": max(ready),
            "first_served_s": quantile(serves, 0.9)}


async def stop(door: Door) -> None:
    door.kill()
    await door.ended.wait()

