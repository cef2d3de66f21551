"""The result of one run: figures and aims."""

import asyncio
import json
import os
from dataclasses import asdict
from pathlib import Path

import uvloop

from benchmarks.result import Result
from benchmarks.scale.figures import AIMS, SIMULATED_PARTS
from benchmarks.scale.play import FULL_SIZE, FULL_SPANS, QUICK_SPANS, SMALL_SIZE, Run
from benchmarks.scale.tier import RATE, SPREAD

TIMEOUT_S, QUICK_TIMEOUT_S = 450.0, 130.0  # for one checkout; what is not measured by then has no figure


async def compare(
    quick: bool, seed: int, progress: bool, against: str
) -> tuple[dict[str, float], dict[str, object]]:
    """Measure this checkout and, if one is named, another; errors are part of the result."""
    spans = QUICK_SPANS if quick else FULL_SPANS
    figures: dict[str, float] = {}
    unfinished: dict[str, str] = {}
    fits: dict[str, object] = {}
    loads = [os.getloadavg()[0]]
    for number, (side, root) in enumerate({"": "", **({"against_": against} if against else {})}.items()):
        run = Run(spans, seed, root, progress, number)
        try:
            async with asyncio.timeout(QUICK_TIMEOUT_S if quick else TIMEOUT_S):
                await run.main()
                if not root:  # slopes are measured for this checkout only
                    await run.measure_series()
        except (OSError, RuntimeError, TimeoutError) as error:
            unfinished[side or "this"] = f"{type(error).__name__}: {error}"
        fits |= run.fits
        figures |= {f"{side}{name}": figure for name, figure in run.figures().items()}
    loads.append(os.getloadavg()[0])
    return figures, {"unfinished": unfinished, "fits": fits, "load_averages": loads}


def measure(quick: bool, seed: int, progress: bool, against: str = "", out: str = "") -> Result:
    """Measure, and write the result as JSON to the file `out` if it is given.

    The pages' figures come from that file.
    """
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        figures, more = runner.run(compare(quick, seed, progress, against))
    result = Result(
        "scale",
        seed,
        AIMS,
        figures,
        {
            "quick": quick,
            "hollow": SIMULATED_PARTS,
            "spread": SPREAD,
            "rate_per_s": RATE,
            "tiers": {"full": asdict(FULL_SIZE), "small": asdict(SMALL_SIZE)},
            **more,
        },
    )
    if out:
        Path(out).write_text(json.dumps(json.loads(result.json()), indent=1) + "\n")
    return result
