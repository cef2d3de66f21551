"""Speed, sameness, memory and fidelity of simulated days, and how soon broken front doors are found.

If MOLEREACH_BASE names another checkout, CPU for a request is compared with that checkout's front door.
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

from benchmarks.door import ClosedLoopClients, ImmediateServer, cpu_per_request_us, start_door
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
REPRODUCED_SEEDS, QUICK_REPRODUCED_SEEDS = 10, 4
FIDELITY_SEEDS, QUICK_FIDELITY = (1, 2, 3), ("calm",)
SHARES = ("served", "refused", "failed")
BROKEN_DAY_S, BROKEN_DAYS = 20.0, 200
BASE_VARIABLE = "MOLEREACH_BASE"
PAIRS, PAIR_REQUESTS = 24, 3000
RULES_BY_MODE = {
    "drop": {"unaccounted", "no request is lost"},
    "twice": {"no effect happens twice"},
    "drain": {"drains are kept"},
    "crash": {"no request is lost"},
    "foreign": {"no request is lost"},
    "hold": {"no request is lost", "unaccounted"},
    "ceiling": {"ceilings are kept"},
    "cold": {"no cold server is pushed over"},
}


def measure_speed(scenario: sc.Scenario) -> tuple[float, float, int]:
    """Return virtual seconds per real second, real seconds and callbacks.

    Start and end of the simulated world are included.
    """
    started_s = time.process_time()
    played = run_scenario(scenario, 1)
    elapsed_s = time.process_time() - started_s
    assert played.ok, played.report.json()
    return scenario.seconds / elapsed_s, elapsed_s, played.callbacks


def count_reproducible(seeds: int) -> int:
    """Return how many seeds gave the same callbacks at the same times in two runs."""
    scenario = scenario_files.load("kill-a-door", {"seconds": 4.0})
    return sum(
        run_scenario(scenario, seed).digest == run_scenario(scenario, seed).digest for seed in range(seeds)
    )


def run_in_real_time(name: str, seed: int) -> dict[str, Any]:
    """Run a scenario in real time and return its report."""
    process = subprocess.run(
        [sys.executable, "-m", "rig", "--json", "--scenario", name, "--seed", str(seed)],
        capture_output=True,
        text=True,
        check=False,
        timeout=180,
    )
    report: dict[str, Any] = json.loads(process.stdout)
    return report


def outcome_shares(report: dict[str, Any]) -> dict[str, float]:
    """Return the shares of the outcomes, and the medians over front doors of p50 and p99 in milliseconds."""
    figures = {name: report[name] / report["requests"] for name in SHARES}
    for name in ("p50_ms", "p99_ms"):
        figures[name] = statistics.median(door[name] for door in report["doors"])
    return figures


def compare_real_and_virtual(
    names: tuple[str, ...], seeds: tuple[int, ...], progress: bool
) -> list[dict[str, Any]]:
    """Run each scenario in real and in virtual time; return means of shares and latencies over the seeds."""
    rows = []
    for name in names:
        with ThreadPoolExecutor(2) as pool:
            real_runs = [
                outcome_shares(each)
                for each in pool.map(lambda seed, name=name: run_in_real_time(name, seed), seeds)
            ]
        virtual_runs = [
            outcome_shares(run_scenario(scenario_files.load(name), seed).report.json()) for seed in seeds
        ]
        row: dict[str, Any] = {"scenario": name}
        for key in real_runs[0]:
            means = [statistics.fmean(each[key] for each in world) for world in (real_runs, virtual_runs)]
            row[key] = [round(each, 4) for each in means]
        rows.append(row)
        if progress:
            print(row, file=sys.stderr)
    return rows


def find_broken_door(mode: str) -> dict[str, Any]:
    """Run random days until a broken front door is found; return how few faults remain after shrinking."""
    process = subprocess.run(
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
            str(BROKEN_DAY_S),
            "--jobs",
            "4",
            "--json",
        ],
        capture_output=True,
        text=True,
        check=False,
        timeout=900,
    )
    report = json.loads(process.stdout)
    small = report.get("small", {})
    is_found = bool(RULES_BY_MODE[mode] & set(report["failed"][0]["why"])) if report["failed"] else False
    return {
        "mode": mode,
        "days": report["days"],
        "found": is_found,
        "faults": small.get("faults"),
        "why": small.get("why"),
    }


async def compare_checkouts(base: str) -> dict[str, float]:
    """Compare the CPU for a request here and in another checkout, in alternating order."""
    host, clients = own_host(), ClosedLoopClients()
    backend = Listener(host, ImmediateServer)
    other = ("env", f"--chdir={base}", f"PYTHONPATH={base}", sys.executable, "-m", "molereach")
    here, here_agent = await start_door(host, 4, backend.address, FRONT_DOOR)
    there, there_agent = await start_door(host, 4, backend.address, other)
    try:
        assert here.process is not None and there.process is not None
        cpu_us: dict[str, list[float]] = {"here": [], "there": []}
        doors = {"here": here, "there": there}
        for number in range(PAIRS):
            for side in ("here", "there") if number % 2 else ("there", "here"):
                process = doors[side].process
                assert process is not None
                cpu_us[side].append(
                    (await cpu_per_request_us(clients, process.pid, doors[side].address, PAIR_REQUESTS))[0]
                )
    finally:
        for door, agent in ((here, here_agent), (there, there_agent)):
            await door.finish()
            door.close()
            agent.close()
        backend.end()
    more = [one / two - 1 for one, two in zip(cpu_us["here"], cpu_us["there"], strict=True)]
    return {
        "door_cpu_more_percent": round(100 * statistics.median(more), 2),
        "door_us": round(statistics.median(cpu_us["here"]), 1),
    }


def measure(quick: bool, seed: int, progress: bool) -> Result:
    """Aims: 10 virtual seconds per real second with 3 doors, reproducible runs, every broken door found."""
    small = sc.Scenario("small", "3 doors, 120 requests a second", QUICK_SPEED_S if quick else SPEED_S)
    fast, _, callbacks = measure_speed(small)
    large, large_s, _ = measure_speed(QUICK_LARGE if quick else LARGE)
    count = QUICK_REPRODUCED_SEEDS if quick else REPRODUCED_SEEDS
    figures = {
        "speed_3_doors": round(fast, 2),
        "speed_50_doors": round(large, 3),
        "large_real_s": round(large_s, 1),
        "callbacks_a_virtual_s": round(callbacks / small.seconds),
        "same": float(count_reproducible(count)),
        "memory_mb": round(resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024, 1),
    }
    aims = {"speed_3_doors": 10.0, "same": float(count)}
    more: dict[str, object] = {}
    names = QUICK_FIDELITY if quick else tuple(scenario_files.shipped())
    rows = compare_real_and_virtual(names, FIDELITY_SEEDS[:1] if quick else FIDELITY_SEEDS, progress)
    more["fidelity"] = rows
    figures["served_share_apart"] = max(abs(row["served"][0] - row["served"][1]) for row in rows)
    aims["most_served_share_apart"] = 0.05
    if not quick:
        found = [find_broken_door(mode) for mode in MODES]
        more["broken"] = found
        figures["broken_found"] = float(sum(row["found"] for row in found))
        figures["most_faults_left"] = float(max(len(row["faults"] or ()) for row in found))
        aims |= {"broken_found": float(len(MODES)), "most_most_faults_left": 3.0}
    if base := os.environ.get(BASE_VARIABLE):
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            figures |= runner.run(compare_checkouts(base))
        aims["most_door_cpu_more_percent"] = 1.0
    return Result("simulation", seed, aims, figures, more)
