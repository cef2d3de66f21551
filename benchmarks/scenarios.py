"""Every shipped scenario with several seeds: its ledger and the rules that were broken.

Each runs in a process of its own, a few side by side.
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
AT_ONCE = 4
WAIT_S = 180
KEPT = (
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


def play(name: str, seed: int) -> dict[str, Any]:
    done = subprocess.run(
        [sys.executable, "-m", "rig", "--json", "--scenario", name, "--seed", str(seed)],
        capture_output=True,
        text=True,
        check=False,
        timeout=WAIT_S,
    )
    found = json.loads(done.stdout) if done.stdout else {}
    return {
        "scenario": name,
        "seed": seed,
        "exit": done.returncode,
        "errors": done.stderr.strip(),
        **{key: found.get(key) for key in KEPT},
    }


def days(seeds: range, progress: bool) -> Iterator[dict[str, Any]]:
    keys = [(name, seed) for name in scenario_files.shipped() for seed in seeds]
    with ThreadPoolExecutor(AT_ONCE) as pool:
        for number, row in enumerate(pool.map(lambda key: play(*key), keys)):
            if progress:
                day = f"{row['scenario']} seed {row['seed']}: exit {row['exit']}"
                print(f"{number + 1} of {len(keys)}: {day}", file=sys.stderr)
            yield row


def measure(quick: bool, seed: int, progress: bool) -> Result:
    """Aims: every request accounted for, no rule broken, every day judged."""
    count = QUICK_SEEDS if quick else SEEDS
    rows = list(days(range(seed, seed + count), progress))
    judged = [row for row in rows if row["exit"] == 0]
    figures = {
        "days": float(len(rows)),
        "days_in_order": float(len(judged)),
        "requests": float(sum(row["requests"] or 0 for row in rows)),
        "unaccounted": float(sum(row["unaccounted"] or 0 for row in rows)),
        "rules_broken": float(sum(len(row["broken_rules"] or ()) for row in rows)),
        "lost_to_kills": float(sum(row["lost_to_kills"] or 0 for row in rows)),
        "rig_late_ms": max((row["rig_late_ms"] or 0.0 for row in rows), default=0.0),
    }
    aims = {"days_in_order": float(len(rows)), "most_unaccounted": 0.0, "most_rules_broken": 0.0}
    return Result("scenarios", seed, aims, figures, {"table": rows})
