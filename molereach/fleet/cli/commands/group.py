"""The command group `molereach fleet`."""

from pathlib import Path

import click

from molereach.fleet.cli.commands.give import order_command
from molereach.fleet.cli.commands.orders import orders
from molereach.fleet.cli.commands.servers import members, quota
from molereach.fleet.cli.commands.status import status
from molereach.fleet.cli.commands.watch import watch
from molereach.fleet.cli.exits import EXIT_CODES_HELP
from molereach.fleet.cli.session import FLEET_ENVIRONMENT_VARIABLE
from molereach.fleet.orders import Verb


@click.group("fleet", epilog=EXIT_CODES_HELP)
@click.option(
    "--fleet",
    "file",
    type=click.Path(path_type=Path),
    envvar=FLEET_ENVIRONMENT_VARIABLE,
    metavar="FILE",
    help=f"The fleet's file: its agents, and how to speak with them (or {FLEET_ENVIRONMENT_VARIABLE}).",
)
@click.pass_context
def fleet(context: click.Context, file: Path | None) -> None:
    """See and steer many front doors as one."""
    context.obj = file


for command in (status, members, quota, orders, watch):
    fleet.add_command(command)
fleet.add_command(order_command(Verb.DRAIN, "SERVER", "Nothing new to a SERVER, at every front door."))
fleet.add_command(
    order_command(Verb.UNDRAIN, "SERVER", "End the drain of a SERVER; discovery's own drains stay.")
)
fleet.add_command(
    order_command(Verb.HOLD, "DOOR", "No new clients at a front DOOR; those that it has are served.")
)
fleet.add_command(order_command(Verb.RELEASE, "DOOR", "End the hold of a front DOOR."))
