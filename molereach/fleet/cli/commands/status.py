"""`status`: every agent and every front door."""

from pathlib import Path
from typing import Any

import click

from molereach.fleet.api_bodies import Status
from molereach.fleet.cli.client import Fleet
from molereach.fleet.cli.exits import complain, errors, good, reading_exit
from molereach.fleet.cli.session import as_json, run
from molereach.fleet.cli.tables import Printer, age


@click.command()
@as_json
@click.pass_obj
def status(file: Path | None, json_only: bool) -> None:
    """The state of every agent and every front door."""

    async def job(made: Fleet) -> int:
        out, found = Printer(json_only), await made.all("/v1/status", Status)
        heard: dict[str, Status] = good(found)
        unseen = [
            (agent, door)
            for agent, doors in made.settings.expected_proxies().items()
            for door in doors
            if agent not in heard or door not in {each.name for each in heard[agent].proxies}
        ]
        out.result(
            {
                "agents": list(heard.values()),
                "not_reached": errors(found),
                "not_seen": [{"agent": agent, "door": door} for agent, door in unseen],
            }
        )
        if not json_only:
            show_status(out, heard, unseen)
            complain(out, errors(found))
        away = any(
            door.reachability not in ("up", "ended") for each in heard.values() for door in each.proxies
        )
        return reading_exit(found, away or bool(unseen))

    run(file, job)


def show_status(out: Printer, heard: dict[str, Status], unseen: list[tuple[str, str]]) -> None:
    rows: list[tuple[Any, ...]] = []
    for agent, each in heard.items():
        for door in each.proxies:
            state = door.state
            rows.append(
                (
                    agent,
                    door.name,
                    door.reachability,
                    age(door.reported_ago_ms),
                    door.revision,
                    state and ("held" if state.on_hold else "open"),
                    state and state.clients,
                    state and state.open_requests,
                    state and f"{state.up_s:.0f}",
                    door.reason,
                )
            )
    rows += [
        (agent, door, "unknown", "never", None, None, None, None, None, "named in the fleet's file only")
        for agent, door in unseen
    ]
    out.table(
        "front doors",
        ("agent", "door", "reach", "heard", "revision", "clients are", "clients", "requests", "up s", ""),
        rows,
    )
    out.table(
        "agents",
        ("agent", "revision", "synced", "pending", "journal"),
        (
            (
                agent,
                each.revision,
                "yes" if each.synced else "NO",
                each.pending and each.pending.id,
                each.journal or "well",
            )
            for agent, each in heard.items()
        ),
    )
