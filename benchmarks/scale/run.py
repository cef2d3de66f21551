"""One run as a result: figures against aims."""

import asyncio
import json
import os
from dataclasses import asdict
from pathlib import Path

import uvloop

from benchmarks.result import Result
from benchmarks.scale.figures import AIMS, HOLLOW
from benchmarks.scale.play import FULL, QUICK, SMALL, WHOLE, Run
from benchmarks.scale.tier import RATE, SPREAD

LIMIT_S, QUICK_LIMIT_S = 450.0, 130.0  # of one side; what is not measured by then has no figure


async def compare(
    quick: bool, seed: int, progress: bool, against: str
) -> tuple[dict[str, float], dict[str, object]]:
    spans = QUICK if quick else WHOLE
    figures: dict[str, float] = {}
    unfinished: dict[str, str] = {}
    fits: dict[str, object] = {}
    loads = [os.getloadavg()[0]]
    for number, (side, root) in enumerate({"": "", **({"against_": against} if against else {})}.items()):
        run = Run(spans, seed, root, progress, number)
        try:
            async with asyncio.timeout(QUICK_LIMIT_S if quick else LIMIT_S):
                await run.main()
                if not root:  # the slopes are this program's
                    await run.more()
        except (OSError, RuntimeError, TimeoutError) as error:
            unfinished[side or "this"] = f"{type(error).__name__}: {error}"
        fits |= run.fits
        figures |= {f"{side}{name}": figure for name, figure in run.figures().items()}
    loads.append(os.getloadavg()[0])
    return figures, {"unfinished": unfinished, "fits": fits, "load_averages": loads}


def measure(quick: bool, seed: int, progress: bool, against: str = "", out: str = "") -> Result:
    """`out` names a file that takes the result as JSON: the pages' figures come from there."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        figures, more = runner.run(compare(quick, seed, progress, against))
    result = Result(
        "scale",
        seed,
        AIMS,
        figures,
        {
            "quick": quick,
            "hollow": HOLLOW,
            "spread": SPREAD,
            "rate_per_s": RATE,
            "tiers": {"full": asdict(FULL), "small": asdict(SMALL)},
            **more,
        },
    )
    if out:
        Path(out).write_text(json.dumps(json.loads(result.json()), indent=1) + "\n")
    return result
