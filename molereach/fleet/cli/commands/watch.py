"""`watch`: the events of all agents as they happen."""

import asyncio
import json
import time
from pathlib import Path

import click
import msgspec

from molereach.fleet.api_bodies import Event
from molereach.fleet.cli.client import CallError, Fleet
from molereach.fleet.cli.exits import DONE, PARTIAL, UNREACHABLE
from molereach.fleet.cli.session import as_json, run


@click.command()
@as_json
@click.option("--seconds", type=click.FloatRange(0.1, 86400.0), help="End after so long.")
@click.pass_obj
def watch(file: Path | None, json_only: bool, seconds: float | None) -> None:
    """What happens at all agents, as it happens; with --json an object a line."""

    async def command(fleet: Fleet) -> int:
        failed: dict[str, str] = {}

        def show(event: Event) -> None:
            if json_only:
                click.echo(json.dumps(msgspec.to_builtins(event)))
            else:
                clock = time.strftime("%H:%M:%S", time.localtime(event.at_ms / 1000))
                click.echo(f"{clock} {event.agent} {event.kind} {event.subject}: {event.text}")

        async def follow(agent: str) -> None:
            try:
                async for event in fleet.watch(agent):
                    show(event)
                failed[agent] = "its stream has ended"
            except CallError as error:
                failed[agent] = str(error)
            click.echo(f"molereach fleet: agent {agent}: {failed[agent]}", err=True)

        try:
            async with asyncio.timeout(seconds):
                await asyncio.gather(*(follow(agent) for agent in fleet.urls))
        except TimeoutError:
            pass
        return (UNREACHABLE if len(failed) == len(fleet.urls) else PARTIAL) if failed else DONE

    run(file, command, many_calls=True)
