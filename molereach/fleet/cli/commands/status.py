"""`status`: the state of every agent and every proxy."""

from pathlib import Path
from typing import Any

import click

from molereach.fleet.api_bodies import ProxyStatus, Status
from molereach.fleet.cli.client import Fleet
from molereach.fleet.cli.exits import answers, errors, print_errors, reading_exit
from molereach.fleet.cli.session import as_json, run
from molereach.fleet.cli.tables import Printer, age

PROXY_COLUMNS = (
    "agent",
    "door",
    "reach",
    "heard",
    "revision",
    "clients are",
    "clients",
    "requests",
    "up s",
    "",
)
AGENT_COLUMNS = ("agent", "revision", "synced", "pending", "journal")


@click.command()
@as_json
@click.pass_obj
def status(file: Path | None, json_only: bool) -> None:
    """The state of every agent and every front door."""

    async def command(fleet: Fleet) -> int:
        printer = Printer(json_only)
        results = await fleet.all("/v1/status", Status)
        statuses: dict[str, Status] = answers(results)
        unknown = unknown_proxies(fleet.settings.expected_proxies(), statuses)
        printer.result(
            {
                "agents": list(statuses.values()),
                "not_reached": errors(results),
                "not_seen": [{"agent": agent, "door": proxy} for agent, proxy in unknown],
            }
        )
        if not json_only:
            print_status(printer, statuses, unknown)
            print_errors(printer, errors(results))
        unreachable = any(
            proxy.reachability not in ("up", "ended")
            for agent_status in statuses.values()
            for proxy in agent_status.proxies
        )
        return reading_exit(results, unreachable or bool(unknown))

    run(file, command)


def unknown_proxies(
    expected: dict[str, tuple[str, ...]], statuses: dict[str, Status]
) -> list[tuple[str, str]]:
    """Return agent and name of the proxies that the fleet's file names and no agent has reported."""
    known = {
        (agent, proxy.name) for agent, agent_status in statuses.items() for proxy in agent_status.proxies
    }
    named = [(agent, name) for agent, names in expected.items() for name in names]
    return [each for each in named if each not in known]


def print_status(printer: Printer, statuses: dict[str, Status], unknown: list[tuple[str, str]]) -> None:
    """Print a table of the proxies, with the unknown ones at its end, and a table of the agents."""
    rows = [
        proxy_row(agent, proxy) for agent, agent_status in statuses.items() for proxy in agent_status.proxies
    ]
    rows += [
        (agent, name, "unknown", "never", None, None, None, None, None, "named in the fleet's file only")
        for agent, name in unknown
    ]
    printer.table("front doors", PROXY_COLUMNS, rows)
    printer.table(
        "agents",
        AGENT_COLUMNS,
        (
            (
                agent,
                agent_status.revision,
                "yes" if agent_status.synced else "NO",
                agent_status.pending and agent_status.pending.id,
                agent_status.journal or "well",
            )
            for agent, agent_status in statuses.items()
        ),
    )


def proxy_row(agent: str, proxy: ProxyStatus) -> tuple[Any, ...]:
    """Return the table's row of a proxy."""
    state = proxy.state
    return (
        agent,
        proxy.name,
        proxy.reachability,
        age(proxy.reported_ago_ms),
        proxy.revision,
        state and ("held" if state.on_hold else "open"),
        state and state.clients,
        state and state.open_requests,
        state and f"{state.up_s:.0f}",
        proxy.reason,
    )
