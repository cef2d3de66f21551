"""`orders`: which agents know each order, and which proxies apply it."""

import asyncio
import json
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import click
import msgspec

from molereach.fleet.api_bodies import Orders, Status
from molereach.fleet.cli.client import Fleet
from molereach.fleet.cli.commands.status import is_tier_down
from molereach.fleet.cli.exits import error_texts, print_errors, query_exit_code, successful_answers
from molereach.fleet.cli.session import as_json, run_command
from molereach.fleet.cli.tables import Printer
from molereach.fleet.orders import Decided

ORDER_COLUMNS = ("order", "what", "of", "by", "reason", "revision", "agents", "front doors", "lacking")


@click.command()
@as_json
@click.option("--all", "everything", is_flag=True, help="Also orders that are over.")
@click.pass_obj
def orders(file: Path | None, json_only: bool, everything: bool) -> None:
    """Orders, and how far each has come at every agent and front door."""

    async def command(fleet: Fleet) -> int:
        printer = Printer(json_only)
        results, statuses = await asyncio.gather(
            fleet.call_all("/v1/orders", Orders), fleet.call_all("/v1/status", Status)
        )
        proxies = listed_proxies(successful_answers(statuses))
        rows = [
            *decided_rows(successful_answers(results), proxies, len(fleet.urls), everything),
            *pending_rows(successful_answers(results), len(proxies), len(fleet.urls)),
        ]
        printer.result({"orders": rows, "not_reached": error_texts(results)})
        if not json_only:
            printer.table("orders", ORDER_COLUMNS, map(table_row, rows))
            print_errors(printer, error_texts(results))
        return query_exit_code(results, is_tier_down(successful_answers(statuses)))

    run_command(file, command)


@dataclass(frozen=True, slots=True)
class ListedProxy:
    """A proxy that is to have the orders in force, as `AGENT/PROXY`; `revision` is the one it has."""

    name: str
    revision: int = 0


def listed_proxies(statuses: dict[str, Status]) -> list[ListedProxy]:
    """Return the proxies that agents know.

    Proxies that have ended are left out while others run: they get the orders when they start. If all have
    ended they hold no orders, and each is listed as lacking them.
    """
    known = [(agent, proxy) for agent, status in statuses.items() for proxy in status.proxies]
    running = [
        ListedProxy(f"{agent}/{proxy.name}", proxy.revision)
        for agent, proxy in known
        if proxy.reachability != "ended"
    ]
    ended = [ListedProxy(f"{agent}/{proxy.name}") for agent, proxy in known if proxy.reachability == "ended"]
    return running or ended


def decided_rows(
    answers: dict[str, Orders], proxies: list[ListedProxy], agent_count: int, everything: bool
) -> Iterator[dict[str, Any]]:
    """Yield a row for each decided order, by revision; `everything` includes those no longer in force."""
    by_revision: dict[int, Decided] = {}
    for answer in answers.values():
        for decided in (*answer.recent, *answer.in_force) if everything else answer.in_force:
            by_revision[decided.revision] = decided
    for revision, decided in sorted(by_revision.items()):
        agents_informed = {agent for agent, answer in answers.items() if answer.revision >= revision}
        proxies_lacking = {proxy.name for proxy in proxies if proxy.revision < revision}
        lacking = (answers.keys() - agents_informed) | proxies_lacking
        yield {
            **msgspec.to_builtins(decided.order),
            "stands": revision,
            "agents": f"{len(agents_informed)}/{agent_count}",
            "doors": f"{len(proxies) - len(proxies_lacking)}/{len(proxies)}",
            "lacking": sorted(lacking),
        }


def pending_rows(answers: dict[str, Orders], proxy_count: int, agent_count: int) -> Iterator[dict[str, Any]]:
    """Yield a row for each order that an agent has accepted without knowing whether it is decided."""
    agents_by_order: dict[str, list[str]] = {}
    for agent, answer in answers.items():
        if answer.pending:
            agents_by_order.setdefault(json.dumps(msgspec.to_builtins(answer.pending)), []).append(agent)
    for order_json, accepting_agents in agents_by_order.items():
        yield {
            **json.loads(order_json),
            "stands": "not decided: give it again",
            "agents": f"accepted {len(accepting_agents)}/{agent_count}",
            "doors": f"0/{proxy_count}",
            "lacking": sorted(answers.keys() - set(accepting_agents)),
        }


def table_row(row: dict[str, Any]) -> tuple[Any, ...]:
    """Return the cells of an order's row in the table."""
    keys = ("id", "verb", "subject", "issuer", "reason", "stands", "agents", "doors")
    return (*(row[key] for key in keys), " ".join(row["lacking"]))
