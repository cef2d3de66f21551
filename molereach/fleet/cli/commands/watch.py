"""`watch`: streams the events of all agents."""

import asyncio
import json
import time
from pathlib import Path

import click
import msgspec

from molereach.fleet.api_bodies import Event
from molereach.fleet.cli.client import CallError, Fleet
from molereach.fleet.cli.exits import DONE, PARTIAL, UNREACHABLE
from molereach.fleet.cli.session import as_json, run_command


@click.command()
@as_json
@click.option("--seconds", type=click.FloatRange(0.1, 86400.0), help="End after so long.")
@click.pass_obj
def watch(file: Path | None, json_only: bool, seconds: float | None) -> None:
    """What happens at all agents, as it happens; with --json an object a line."""

    async def command(fleet: Fleet) -> int:
        failures: dict[str, str] = {}

        def print_event(event: Event) -> None:
            if json_only:
                click.echo(json.dumps(msgspec.to_builtins(event)))
            else:
                local_time = time.strftime("%H:%M:%S", time.localtime(event.at_ms / 1000))
                click.echo(f"{local_time} {event.agent} {event.kind} {event.subject}: {event.text}")

        async def watch_agent(agent: str) -> None:
            try:
                async for event in fleet.watch(agent):
                    print_event(event)
                failures[agent] = "its stream has ended"
            except CallError as error:
                failures[agent] = str(error)
            click.echo(f"molereach fleet: agent {agent}: {failures[agent]}", err=True)

        try:
            async with asyncio.timeout(seconds):
                await asyncio.gather(*(watch_agent(agent) for agent in fleet.urls))
        except TimeoutError:
            pass
        return (UNREACHABLE if len(failures) == len(fleet.urls) else PARTIAL) if failures else DONE

    run_command(file, command, many_calls=True)
