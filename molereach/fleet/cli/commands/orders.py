"""`orders`: how far each has come at every agent and front door."""

import asyncio
import json
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import click
import msgspec

from molereach.fleet.api_bodies import Orders, Status
from molereach.fleet.cli.client import Fleet
from molereach.fleet.cli.exits import complain, errors, good, reading_exit
from molereach.fleet.cli.session import as_json, run
from molereach.fleet.cli.tables import Printer


@click.command()
@as_json
@click.option("--all", "everything", is_flag=True, help="Also orders that are over.")
@click.pass_obj
def orders(file: Path | None, json_only: bool, everything: bool) -> None:
    """Orders, and how far each has come at every agent and front door."""

    async def job(made: Fleet) -> int:
        out = Printer(json_only)
        found, stood = await asyncio.gather(made.all("/v1/orders", Orders), made.all("/v1/status", Status))
        rows = list(order_rows(good(found), good(stood), len(made.urls), everything))
        out.result({"orders": rows, "not_reached": errors(found)})
        if not json_only:
            columns = ("order", "what", "of", "by", "reason", "revision", "agents", "front doors", "lacking")
            out.table(
                "orders",
                columns,
                (
                    (
                        row["id"],
                        row["verb"],
                        row["subject"],
                        row["issuer"],
                        row["reason"],
                        row["stands"],
                        row["agents"],
                        row["doors"],
                        " ".join(row["lacking"]),
                    )
                    for row in rows
                ),
            )
            complain(out, errors(found))
        return reading_exit(found, False)

    run(file, job)


def order_rows(
    found: dict[str, Orders], stood: dict[str, Status], total: int, everything: bool
) -> Iterator[dict[str, Any]]:
    """A row for each order: decided ones by revision, then those that are under way."""
    ids, doors = (
        {},
        [
            (f"{agent}/{door.name}", door)
            for agent, each in stood.items()
            for door in each.proxies
            if door.reachability != "ended"
        ],
    )
    for each in found.values():
        for decided in (*each.recent, *each.in_force) if everything else each.in_force:
            ids[decided.revision] = decided
    for revision, decided in sorted(ids.items()):
        know = [agent for agent, each in found.items() if each.revision >= revision]
        have = [name for name, door in doors if door.revision >= revision]
        lacking = sorted((found.keys() - set(know)) | {name for name, _ in doors if name not in have})
        yield {
            **msgspec.to_builtins(decided.order),
            "stands": revision,
            "agents": f"{len(know)}/{total}",
            "doors": f"{len(have)}/{len(doors)}",
            "lacking": lacking,
        }
    pending: dict[str, list[str]] = {}
    for agent, each in found.items():
        if each.pending:
            pending.setdefault(json.dumps(msgspec.to_builtins(each.pending)), []).append(agent)
    for text, accepted in pending.items():
        yield {
            **json.loads(text),
            "stands": "not decided: give it again",
            "agents": f"accepted {len(accepted)}/{total}",
            "doors": f"0/{len(doors)}",
            "lacking": sorted(found.keys() - set(accepted)),
        }
