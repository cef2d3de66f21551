"""`orders`: how far each order has come at every agent and proxy."""

import asyncio
import json
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import click
import msgspec

from molereach.fleet.api_bodies import Orders, ProxyStatus, Status
from molereach.fleet.cli.client import Fleet
from molereach.fleet.cli.exits import answers, errors, print_errors, reading_exit
from molereach.fleet.cli.session import as_json, run
from molereach.fleet.cli.tables import Printer
from molereach.fleet.orders import Decided

COLUMNS = ("order", "what", "of", "by", "reason", "revision", "agents", "front doors", "lacking")


@click.command()
@as_json
@click.option("--all", "everything", is_flag=True, help="Also orders that are over.")
@click.pass_obj
def orders(file: Path | None, json_only: bool, everything: bool) -> None:
    """Orders, and how far each has come at every agent and front door."""

    async def command(fleet: Fleet) -> int:
        printer = Printer(json_only)
        results, statuses = await asyncio.gather(
            fleet.all("/v1/orders", Orders), fleet.all("/v1/status", Status)
        )
        proxies = listed_proxies(answers(statuses))
        rows = [
            *decided_rows(answers(results), proxies, len(fleet.urls), everything),
            *pending_rows(answers(results), len(proxies), len(fleet.urls)),
        ]
        printer.result({"orders": rows, "not_reached": errors(results)})
        if not json_only:
            printer.table("orders", COLUMNS, map(table_row, rows))
            print_errors(printer, errors(results))
        return reading_exit(results, False)

    run(file, command)


def listed_proxies(statuses: dict[str, Status]) -> list[tuple[str, ProxyStatus]]:
    """Return the proxies that have not ended, each with its name after that of its agent."""
    return [
        (f"{agent}/{proxy.name}", proxy)
        for agent, status in statuses.items()
        for proxy in status.proxies
        if proxy.reachability != "ended"
    ]


def decided_rows(
    found: dict[str, Orders], proxies: list[tuple[str, ProxyStatus]], total: int, everything: bool
) -> Iterator[dict[str, Any]]:
    """Yield a row for each decided order by revision; `everything` includes those that are over."""
    by_revision: dict[int, Decided] = {}
    for each in found.values():
        for decided in (*each.recent, *each.in_force) if everything else each.in_force:
            by_revision[decided.revision] = decided
    for revision, decided in sorted(by_revision.items()):
        informed = {agent for agent, each in found.items() if each.revision >= revision}
        applied = {name for name, proxy in proxies if proxy.revision >= revision}
        lacking = (found.keys() - informed) | {name for name, _ in proxies if name not in applied}
        yield {
            **msgspec.to_builtins(decided.order),
            "stands": revision,
            "agents": f"{len(informed)}/{total}",
            "doors": f"{len(applied)}/{len(proxies)}",
            "lacking": sorted(lacking),
        }


def pending_rows(found: dict[str, Orders], proxy_count: int, total: int) -> Iterator[dict[str, Any]]:
    """Yield a row for each order that agents have accepted and that is not known to be decided."""
    pending: dict[str, list[str]] = {}
    for agent, each in found.items():
        if each.pending:
            pending.setdefault(json.dumps(msgspec.to_builtins(each.pending)), []).append(agent)
    for text, accepted in pending.items():
        yield {
            **json.loads(text),
            "stands": "not decided: give it again",
            "agents": f"accepted {len(accepted)}/{total}",
            "doors": f"0/{proxy_count}",
            "lacking": sorted(found.keys() - set(accepted)),
        }


def table_row(row: dict[str, Any]) -> tuple[Any, ...]:
    """Return the table's row of an order."""
    keys = ("id", "verb", "subject", "issuer", "reason", "stands", "agents", "doors")
    return (*(row[key] for key in keys), " ".join(row["lacking"]))
