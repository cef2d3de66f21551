"""Runs one command on one fleet: loads its file, opens the HTTP clients and sets the exit code."""

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path

import click
import uvloop

from molereach.fleet.cli.client import Fleet
from molereach.fleet.cli.exits import INTERRUPTED, INVALID_INPUT
from molereach.fleet.orders import OrderError
from molereach.fleet.settings import FleetFile, SettingsError, load

FLEET_ENVIRONMENT_VARIABLE = "MOLEREACH_FLEET"
as_json = click.option("--json", "json_only", is_flag=True, help="Print one JSON object and nothing else.")


def load_fleet(file: Path | None) -> tuple[Path, FleetFile]:
    """Return the path and the settings of a fleet file; raise UsageError if none is given."""
    if file is None:
        raise click.UsageError(f"no fleet file: give --fleet FILE, or set {FLEET_ENVIRONMENT_VARIABLE}")
    return file, load(file, FleetFile)


def run_command(
    file: Path | None, command: Callable[[Fleet], Awaitable[int]], many_calls: bool = False
) -> None:
    """Run a command on a fleet and exit with its code; `many_calls` if it calls an agent more than once."""

    async def run_with_clients(path: Path, settings: FleetFile) -> int:
        async with Fleet(path, settings, http1=not many_calls) as fleet:
            return await command(fleet)

    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            exit_code = runner.run(run_with_clients(*load_fleet(file)))
    except (SettingsError, OrderError) as error:
        click.echo(f"molereach fleet: {error}", err=True)
        exit_code = INVALID_INPUT
    except KeyboardInterrupt:
        click.echo("molereach fleet: interrupted; 'orders' shows how far it came", err=True)
        exit_code = INTERRUPTED
    raise SystemExit(exit_code)
