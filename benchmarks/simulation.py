"""Speed, sameness, memory and fidelity of simulated days, and how soon broken front doors are found.

With MOLEREACH_BASE naming another checkout, CPU for a request is compared with the front door there.
"""

import asyncio
import json
import os
import resource
import statistics
import subprocess
import sys
import time
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import uvloop

from benchmarks.door import Instant, Loop, cost, start_door
from benchmarks.result import Result
from rig import scenario as sc
from rig import scenario_files
from rig.broken import MODES
from rig.doors import FRONT_DOOR
from rig.sockets import Listener, own_host
from sim.world import run_scenario

SPEED_S, QUICK_SPEED_S = 20.0, 8.0
LARGE = sc.Scenario("large", "50 doors, 1,000 servers", 4.0, 50, 1000, sc.Load(400.0, 400))
QUICK_LARGE = sc.Scenario("large", "50 doors, 1,000 servers", 1.0, 50, 1000, sc.Load(200.0, 400))
SAME_SEEDS, QUICK_SAME_SEEDS = 10, 4
FIDELITY_SEEDS, QUICK_FIDELITY = (1, 2, 3), ("calm",)
SHARES = ("served", "refused", "failed")
BROKEN_SECONDS, BROKEN_DAYS = 20.0, 200
BASE = "MOLEREACH_BASE"
PAIRS, PAIR_REQUESTS = 24, 3000
RULES = {
    "drop": {"unaccounted", "no request is lost"},
    "twice": {"no effect happens twice"},
    "drain": {"drains are kept"},
    "crash": {"no request is lost"},
    "foreign": {"no request is lost"},
    "hold": {"no request is lost", "unaccounted"},
    "ceiling": {"ceilings are kept"},
    "cold": {"no cold server is pushed over"},
}


def speed(day: sc.Scenario) -> tuple[float, float, int]:
    """Virtual seconds a real one, real seconds, callbacks; the start and the end of the world included."""
    begun = time.process_time()
    played = run_scenario(day, 1)
    took = time.process_time() - begun
    assert played.ok, played.report.json()
    return day.seconds / took, took, played.callbacks


def sameness(seeds: int) -> int:
    """How many seeds gave the same callbacks at the same times twice."""
    day = scenario_files.load("kill-a-door", {"seconds": 4.0})
    return sum(run_scenario(day, seed).digest == run_scenario(day, seed).digest for seed in range(seeds))


def real(name: str, seed: int) -> dict[str, Any]:
    done = subprocess.run(
        [sys.executable, "-m", "rig", "--json", "--scenario", name, "--seed", str(seed)],
        capture_output=True,
        text=True,
        check=False,
        timeout=180,
    )
    found: dict[str, Any] = json.loads(done.stdout)
    return found


def shares(found: dict[str, Any]) -> dict[str, float]:
    """Shares of the outcomes, and the median over front doors of p50 and p99 in milliseconds."""
    made = {name: found[name] / found["requests"] for name in SHARES}
    for name in ("p50_ms", "p99_ms"):
        made[name] = statistics.median(door[name] for door in found["doors"])
    return made


def fidelity(names: tuple[str, ...], seeds: tuple[int, ...], progress: bool) -> list[dict[str, Any]]:
    """Each scenario in both worlds: shares and waiting, means over the seeds."""
    rows = []
    for name in names:
        with ThreadPoolExecutor(2) as pool:
            outside = [shares(each) for each in pool.map(lambda seed, name=name: real(name, seed), seeds)]
        inside = [shares(run_scenario(scenario_files.load(name), seed).report.json()) for seed in seeds]
        row: dict[str, Any] = {"scenario": name}
        for key in outside[0]:
            both = [statistics.fmean(each[key] for each in world) for world in (outside, inside)]
            row[key] = [round(each, 4) for each in both]
        rows.append(row)
        if progress:
            print(row, file=sys.stderr)
    return rows


def broken(mode: str) -> dict[str, Any]:
    """Random days until a broken front door is found, and to how many faults the day was shrunk."""
    done = subprocess.run(
        [
            sys.executable,
            "-m",
            "molereach",
            "simulate",
            "--broken",
            mode,
            "--seeds",
            f"1..{BROKEN_DAYS}",
            "--seconds",
            str(BROKEN_SECONDS),
            "--jobs",
            "4",
            "--json",
        ],
        capture_output=True,
        text=True,
        check=False,
        timeout=900,
    )
    found = json.loads(done.stdout)
    small = found.get("small", {})
    hit = bool(RULES[mode] & set(found["failed"][0]["why"])) if found["failed"] else False
    return {
        "mode": mode,
        "days": found["days"],
        "found": hit,
        "faults": small.get("faults"),
        "why": small.get("why"),
    }


async def paired(base: str) -> dict[str, float]:
    """CPU for a request here and in another checkout, in turn."""
    host, loop = own_host(), Loop()
    backend = Listener(host, Instant)
    other = ("env", f"--chdir={base}", f"PYTHONPATH={base}", sys.executable, "-m", "molereach")
    here, here_agent = await start_door(host, 4, backend.address, FRONT_DOOR)
    there, there_agent = await start_door(host, 4, backend.address, other)
    try:
        assert here.process is not None and there.process is not None
        taken: dict[str, list[float]] = {"here": [], "there": []}
        doors = {"here": here, "there": there}
        for number in range(PAIRS):
            for which in ("here", "there") if number % 2 else ("there", "here"):
                process = doors[which].process
                assert process is not None
                taken[which].append((await cost(loop, process.pid, doors[which].address, PAIR_REQUESTS))[0])
    finally:
        for door, agent in ((here, here_agent), (there, there_agent)):
            await door.finish()
            door.close()
            agent.close()
        backend.end()
    more = [one / two - 1 for one, two in zip(taken["here"], taken["there"], strict=True)]
    return {
        "door_cpu_more_percent": round(100 * statistics.median(more), 2),
        "door_us": round(statistics.median(taken["here"]), 1),
    }


def measure(quick: bool, seed: int, progress: bool) -> Result:
    """Aims: 10 virtual seconds a real one with 3 doors, the same twice, every broken front door found."""
    small = sc.Scenario("small", "3 doors, 120 requests a second", QUICK_SPEED_S if quick else SPEED_S)
    fast, _, callbacks = speed(small)
    large, large_s, _ = speed(QUICK_LARGE if quick else LARGE)
    count = QUICK_SAME_SEEDS if quick else SAME_SEEDS
    figures = {
        "speed_3_doors": round(fast, 2),
        "speed_50_doors": round(large, 3),
        "large_real_s": round(large_s, 1),
        "callbacks_a_virtual_s": round(callbacks / small.seconds),
        "same": float(sameness(count)),
        "memory_mb": round(resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024, 1),
    }
    aims = {"speed_3_doors": 10.0, "same": float(count)}
    more: dict[str, object] = {}
    names = QUICK_FIDELITY if quick else tuple(scenario_files.shipped())
    rows = fidelity(names, FIDELITY_SEEDS[:1] if quick else FIDELITY_SEEDS, progress)
    more["fidelity"] = rows
    figures["served_share_apart"] = max(abs(row["served"][0] - row["served"][1]) for row in rows)
    aims["most_served_share_apart"] = 0.05
    if not quick:
        found = [broken(mode) for mode in MODES]
        more["broken"] = found
        figures["broken_found"] = float(sum(row["found"] for row in found))
        figures["most_faults_left"] = float(max(len(row["faults"] or ()) for row in found))
        aims |= {"broken_found": float(len(MODES)), "most_most_faults_left": 3.0}
    if base := os.environ.get(BASE):
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            figures |= runner.run(paired(base))
        aims["most_door_cpu_more_percent"] = 1.0
    return Result("simulation", seed, aims, figures, more)
