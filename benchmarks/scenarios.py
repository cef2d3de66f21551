"""Every shipped scenario with several seeds: its ledger and the rules that were broken.

Each run is a process of its own; a few run in parallel.
"""

import json
import subprocess
import sys
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from benchmarks.result import Result
from rig import scenario_files

SEEDS, QUICK_SEEDS = 10, 1
PARALLEL_RUNS = 4
TIMEOUT_S = 180
REPORT_FIELDS = (
    "requests",
    "served",
    "refused",
    "failed",
    "lost_to_kills",
    "clients_gone",
    "unaccounted",
    "broken_rules",
    "broken",
    "rig_late_ms",
    "repeats_dropped",
    "rig_trouble",
)


def run_scenario(name: str, seed: int) -> dict[str, Any]:
    """Run one scenario with one seed and return the reported fields that are kept."""
    process = subprocess.run(
        [sys.executable, "-m", "rig", "--json", "--scenario", name, "--seed", str(seed)],
        capture_output=True,
        text=True,
        check=False,
        timeout=TIMEOUT_S,
    )
    report = json.loads(process.stdout) if process.stdout else {}
    return {
        "scenario": name,
        "seed": seed,
        "exit": process.returncode,
        "errors": process.stderr.strip(),
        **{key: report.get(key) for key in REPORT_FIELDS},
    }


def run_all(seeds: range, progress: bool) -> Iterator[dict[str, Any]]:
    """Run every shipped scenario with every seed; yield the rows in order."""
    keys = [(name, seed) for name in scenario_files.shipped() for seed in seeds]
    with ThreadPoolExecutor(PARALLEL_RUNS) as pool:
        for number, row in enumerate(pool.map(lambda key: run_scenario(*key), keys)):
            if progress:
                run = f"{row['scenario']} seed {row['seed']}: exit {row['exit']}"
                print(f"{number + 1} of {len(keys)}: {run}", file=sys.stderr)
            yield row


def measure(quick: bool, seed: int, progress: bool) -> Result:
    """Aims: every request is accounted for, no rule is broken and every run passes."""
    count = QUICK_SEEDS if quick else SEEDS
    rows = list(run_all(range(seed, seed + count), progress))
    passed = [row for row in rows if row["exit"] == 0]
    figures = {
        "days": float(len(rows)),
        "days_in_order": float(len(passed)),
        "requests": float(sum(row["requests"] or 0 for row in rows)),
        "unaccounted": float(sum(row["unaccounted"] or 0 for row in rows)),
        "rules_broken": float(sum(len(row["broken_rules"] or ()) for row in rows)),
        "lost_to_kills": float(sum(row["lost_to_kills"] or 0 for row in rows)),
        "rig_late_ms": max((row["rig_late_ms"] or 0.0 for row in rows), default=0.0),
    }
    aims = {"days_in_order": float(len(rows)), "most_unaccounted": 0.0, "most_rules_broken": 0.0}
    return Result("scenarios", seed, aims, figures, {"table": rows})
