"""`molereach demo`: runs a scenario on loopback, with a live table and the audit ledger at the end."""

import asyncio
import contextlib
import json
import signal
import sys
from collections.abc import Sequence
from pathlib import Path

import click
import uvloop
from rich.console import Console
from rich.live import Live

from rig import scenario as sc
from rig import scenario_files
from rig.doors import FRONT_DOOR
from rig.fleet import FleetRig
from rig.table import doors_table, ledger_lines, live_table
from rig.world.report import Report
from rig.world.world import World

DONE, BROKEN, BAD_INPUT, NO_VERDICT, INTERRUPTED = 0, 1, 2, 3, 130
EPILOG = """\b
exit codes: 0 every request has one outcome and no rule is broken; 1 a rule is
broken or the rig failed; 2 bad input; 3 the rig was too late for a verdict on
times; 130 interrupted"""
REFRESH_INTERVAL_S = 0.5
DEFAULT_WIDTH = 120  # columns, without a terminal


def exit_code(report: Report) -> int:
    """The exit code of a run."""
    if report.ok:
        return DONE
    ledger = report.ledger
    if not ledger.times_judged and not ledger.broken_count and not ledger.unaccounted and not report.trouble:
        return NO_VERDICT
    return BROKEN


async def show(world: World, ready: asyncio.Event, console: Console) -> None:
    """Redraw the table in place until cancelled."""
    await ready.wait()
    with Live(live_table(world), console=console, auto_refresh=False) as live:
        while True:
            await asyncio.sleep(REFRESH_INTERVAL_S)
            live.update(live_table(world), refresh=True)


async def run_scenario(
    scenario: sc.Scenario, seed: int, console: Console | None, folder: Path | None, operator: Path | None
) -> Report | None:
    """Run a scenario; returns None if a signal interrupted it.

    With a `folder`, agents run beside the front doors; `operator` is the operator file of all front doors.
    """
    command = (*FRONT_DOOR, "--operator", str(operator.absolute())) if operator else FRONT_DOOR
    world, ready, loop = World(scenario, seed, command), asyncio.Event(), asyncio.get_running_loop()
    text = operator.read_text() if operator else ""
    fleet = FleetRig(folder, world.host, world.doors, operator_text=text) if folder else None

    async def run_all() -> Report:
        if fleet:
            await fleet.start()
            print(f"agents answer; export MOLEREACH_FLEET={fleet.file}", file=sys.stderr)
        return await world.run(ready.set)

    running = loop.create_task(run_all())
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, running.cancel)
    table = loop.create_task(show(world, ready, console)) if console else None
    try:
        return await running
    except asyncio.CancelledError:
        return None
    finally:
        if table:
            table.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await table
        if fleet:
            fleet.close()


def run_and_print(
    scenario: sc.Scenario, seed: int, as_json: bool, folder: Path | None, operator: Path | None
) -> int:
    """Run a scenario and print its result; returns the exit code."""
    live = sys.stdout.isatty() and not as_json
    console = Console(width=None if sys.stdout.isatty() else DEFAULT_WIDTH)
    if live:
        console.print(f"{scenario.name}: {scenario.title}; seed {seed}", highlight=False, markup=False)
    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            report = runner.run(run_scenario(scenario, seed, console if live else None, folder, operator))
    except (RuntimeError, OSError, TimeoutError) as error:
        print(f"molereach demo: the rig failed: {error or type(error).__name__}", file=sys.stderr)
        return BROKEN
    if report is None:
        print("molereach demo: interrupted; all that it started has ended", file=sys.stderr)
        return INTERRUPTED
    if as_json:
        print(json.dumps(report.json()))
    else:
        console.print(doors_table(report.doors, f"{report.scenario}, seed {report.seed}"))
        print("\n".join(ledger_lines(report)))
    return exit_code(report)


def folder_for_agents(folder: Path | None) -> Path | None:
    """Create the folder if necessary; a usage error if it is not empty."""
    if folder is None:
        return None
    try:
        folder.mkdir(mode=0o700, exist_ok=True)
        if any(folder.iterdir()):
            raise click.BadParameter(f"{folder}: is not empty", param_hint="--fleet")
    except OSError as error:
        raise click.BadParameter(f"{folder}: {error.strerror}", param_hint="--fleet") from error
    return folder.absolute()


@click.command("molereach demo", epilog=EPILOG)
@click.option(
    "--scenario",
    "name",
    default="calm",
    metavar="NAME|FILE",
    show_default=True,
    help=f"A TOML file, or one of: {', '.join(scenario_files.shipped())}.",
)
@click.option("--doors", type=int, metavar="N", help="Front doors, instead of the scenario's number.")
@click.option("--seconds", type=float, metavar="S", help="Length of the load.")
@click.option("--seed", type=int, default=1, metavar="N", show_default=True, help="Of all that is drawn.")
@click.option(
    "--fleet",
    "folder",
    type=click.Path(path_type=Path),
    metavar="FOLDER",
    help="Run an agent beside each front door, with its files in this empty folder.",
)
@click.option(
    "--operator",
    type=click.Path(path_type=Path, exists=True, dir_okay=False),
    metavar="FILE",
    help="Operator file of all front doors; with --fleet without [control].",
)
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object and nothing else.")
def demo(
    name: str,
    doors: int | None,
    seconds: float | None,
    seed: int,
    folder: Path | None,
    operator: Path | None,
    as_json: bool,
) -> None:
    """Front doors, servers, discovery and clients on loopback, then an audit of the day."""
    try:
        scenario = scenario_files.load(name, {"doors": doors, "seconds": seconds})
    except scenario_files.ScenarioError as error:
        print(f"molereach demo: {error}", file=sys.stderr)
        raise SystemExit(BAD_INPUT) from error
    raise SystemExit(run_and_print(scenario, seed, as_json, folder_for_agents(folder), operator))


def main(arguments: Sequence[str]) -> int:
    """Carry out a command line; returns the exit code."""
    try:
        demo.main(list(arguments), prog_name="molereach demo")
    except SystemExit as system_exit:
        return system_exit.code if isinstance(system_exit.code, int) else BROKEN
    return DONE
