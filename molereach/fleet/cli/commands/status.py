"""`status`: the state of every agent and every proxy."""

from pathlib import Path
from typing import Any

import click

from molereach.fleet.api_bodies import ProxyStatus, Status
from molereach.fleet.cli.client import Fleet
from molereach.fleet.cli.exits import error_texts, print_errors, query_exit_code, successful_answers
from molereach.fleet.cli.session import as_json, run_command
from molereach.fleet.cli.tables import Printer, format_age

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
        results = await fleet.call_all("/v1/status", Status)
        statuses: dict[str, Status] = successful_answers(results)
        unknown = unknown_proxies(fleet.settings.expected_proxies(), statuses)
        printer.result(
            {
                "agents": list(statuses.values()),
                "not_reached": error_texts(results),
                "not_seen": [{"agent": agent, "door": proxy} for agent, proxy in unknown],
            }
        )
        if not json_only:
            print_status(printer, statuses, unknown)
            print_errors(printer, error_texts(results))
        unreachable = any(
            proxy.reachability not in ("up", "ended")
            for agent_status in statuses.values()
            for proxy in agent_status.proxies
        )
        return query_exit_code(results, unreachable or bool(unknown) or is_tier_down(statuses))

    run_command(file, command)


def unknown_proxies(
    expected: dict[str, tuple[str, ...]], statuses: dict[str, Status]
) -> list[tuple[str, str]]:
    """Return agent and name of each proxy that the fleet file lists but its agent has not reported."""
    known = {
        (agent, proxy.name) for agent, agent_status in statuses.items() for proxy in agent_status.proxies
    }
    listed = [(agent, name) for agent, names in expected.items() for name in names]
    return [proxy for proxy in listed if proxy not in known]


def is_tier_down(statuses: dict[str, Status]) -> bool:
    """Return whether the agents know proxies and none of them is up: no order is applied anywhere."""
    reachabilities = {
        proxy.reachability for agent_status in statuses.values() for proxy in agent_status.proxies
    }
    return bool(reachabilities) and "up" not in reachabilities


def print_status(printer: Printer, statuses: dict[str, Status], unknown: list[tuple[str, str]]) -> None:
    """Print a table of the proxies, unknown ones last, and a table of the agents."""
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
    """Return the cells of a proxy's row in the table."""
    state = proxy.state
    return (
        agent,
        proxy.name,
        proxy.reachability,
        format_age(proxy.reported_ago_ms),
        proxy.revision,
        state and ("held" if state.on_hold else "open"),
        state and state.clients,
        state and state.open_requests,
        state and f"{state.up_s:.0f}",
        proxy.reason,
    )
