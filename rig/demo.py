"""`molereach demo`: a day on loopback in one command, a live table, and the auditor's ledger."""

import argparse
import asyncio
import contextlib
import json
import signal
import sys
from collections.abc import Sequence

import uvloop

from rig import scenario as sc
from rig import scenario_files
from rig.table import ledger_lines, live_lines
from rig.world import Report, World

DONE, BROKEN, BAD_INPUT, NO_VERDICT, INTERRUPTED = 0, 1, 2, 3, 130
EPILOG = """\
exit codes: 0 every request has one outcome and no rule is broken; 1 a rule is broken or the rig failed;
2 bad input; 3 the rig was too late for a verdict on times; 130 interrupted"""
REFRESH_S = 0.5


def parser() -> argparse.ArgumentParser:
    top = argparse.ArgumentParser(
        prog="molereach demo", epilog=EPILOG, formatter_class=argparse.RawDescriptionHelpFormatter,
        description="Front doors, servers, discovery and clients on loopback, then an audit of the day.",
    )
    top.add_argument("--scenario", default="calm", metavar="NAME|FILE",
                     help=f"a TOML file, or one of: {', '.join(scenario_files.shipped())} (default: calm)")
    top.add_argument("--doors", type=int, metavar="N", help="front doors, instead of the scenario's number")
    top.add_argument("--seconds", type=float, metavar="S", help="length of the load")
    top.add_argument("--seed", type=int, default=1, metavar="N", help="of all that is drawn (default: 1)")
    top.add_argument("--json", action="store_true", help="print one JSON object and nothing else")
    return top


def exit_code(report: Report) -> int:
    if report.ok:
        return DONE
    ledger = report.ledger
    if not ledger.times_judged and not ledger.broken_count and not ledger.unaccounted and not report.trouble:
        return NO_VERDICT
    return BROKEN


async def show(world: World, ready: asyncio.Event) -> None:
    """Draw the table anew, in place, for as long as the day runs."""
    await ready.wait()
    drawn = 0
    while True:
        lines = live_lines(world)
        sys.stdout.write((f"\x1b[{drawn}A" if drawn else "") + "".join(f"\x1b[2K{line}\n" for line in lines))
        sys.stdout.flush()
        drawn = len(lines)
        await asyncio.sleep(REFRESH_S)


async def day(scenario: sc.Scenario, seed: int, live: bool) -> Report | None:
    """Play a scenario; None where a signal ended it."""
    world, ready, loop = World(scenario, seed), asyncio.Event(), asyncio.get_running_loop()
    running = loop.create_task(world.run(ready.set))
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, running.cancel)
    table = loop.create_task(show(world, ready)) if live else None
    try:
        return await running
    except asyncio.CancelledError:
        return None
    finally:
        if table:
            table.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await table


def main(arguments: Sequence[str]) -> int:
    options = parser().parse_args(arguments)
    try:
        scenario = scenario_files.load(options.scenario, {"doors": options.doors, "seconds": options.seconds})
    except scenario_files.ScenarioError as error:
        print(f"molereach demo: {error}", file=sys.stderr)
        return BAD_INPUT
    live = sys.stdout.isatty() and not options.json
    if live:
        print(f"{scenario.name}: {scenario.title}; seed {options.seed}")
    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            report = runner.run(day(scenario, options.seed, live))
    except (RuntimeError, OSError, TimeoutError) as error:
        print(f"molereach demo: the rig failed: {error or type(error).__name__}", file=sys.stderr)
        return BROKEN
    if report is None:
        print("molereach demo: interrupted; all that it started has ended", file=sys.stderr)
        return INTERRUPTED
    print(json.dumps(report.json()) if options.json else "\n".join(ledger_lines(report)))
    return exit_code(report)
