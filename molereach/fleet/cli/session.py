"""One command on one fleet: its file, the agents' clients, the loop, and the exit code."""

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path

import click
import uvloop

from molereach.fleet.cli.client import Fleet
from molereach.fleet.cli.exits import BAD_INPUT, INTERRUPTED
from molereach.fleet.orders import OrderError
from molereach.fleet.settings import FleetFile, SettingsError, load

FLEET_VARIABLE = "MOLEREACH_FLEET"
as_json = click.option("--json", "json_only", is_flag=True, help="Print one JSON object and nothing else.")


def opened(file: Path | None) -> tuple[Path, FleetFile]:
    if file is None:
        raise click.UsageError(f"no fleet file: give --fleet FILE, or set {FLEET_VARIABLE}")
    return file, load(file, FleetFile)


def run(file: Path | None, job: Callable[[Fleet], Awaitable[int]], many_calls: bool = False) -> None:
    """Carry out a command on a fleet and end with its exit code."""

    async def all_of_it(path: Path, settings: FleetFile) -> int:
        async with Fleet(path, settings, http1=not many_calls) as made:
            return await job(made)

    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            code = runner.run(all_of_it(*opened(file)))
    except (SettingsError, OrderError) as error:
        click.echo(f"molereach fleet: {error}", err=True)
        code = BAD_INPUT
    except KeyboardInterrupt:
        click.echo("molereach fleet: interrupted; 'orders' shows how far it came", err=True)
        code = INTERRUPTED
    raise SystemExit(code)
