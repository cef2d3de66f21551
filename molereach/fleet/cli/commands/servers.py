"""`members` and `quota`: the servers, and the quota of a customer, as each proxy sees them."""

from collections.abc import Iterator
from pathlib import Path
from typing import Any

import click

from molereach.fleet.api_bodies import Members, Quota
from molereach.fleet.cli.client import Fleet
from molereach.fleet.cli.exits import error_texts, print_errors, query_exit_code, successful_answers
from molereach.fleet.cli.session import as_json, run_command
from molereach.fleet.cli.tables import Printer, format_age
from molereach.fleet.wire import QuotaStatus
from molereach.policy.interface.protocols import CustomerLimits

CUSTOMER_DIGITS = 16
MS_PER_S = 1000
MEMBER_COLUMNS = ("server", "building", "front door", "listed", "by order", "in flight")
QUOTA_COLUMNS = ("front door", "plan", "level units", "part", "ceiling part", "demand units/s", "heard")
LIMITS_COLUMNS = (
    "front door",
    "plan",
    "share",
    "units",
    "lent to",
    "borrowed of",
    "oldest loan",
    "sent on",
    "quota spent",
    "apart",
)


@click.command()
@as_json
@click.pass_obj
def members(file: Path | None, json_only: bool) -> None:
    """The servers as each front door sees them, and what is in flight there."""

    async def command(fleet: Fleet) -> int:
        printer = Printer(json_only)
        results = await fleet.call_all("/v1/members", Members)
        answers: dict[str, Members] = successful_answers(results)
        missing = {
            f"{agent}/{proxy}": text
            for agent, answer in answers.items()
            for proxy, text in answer.missing.items()
        }
        printer.result({"agents": list(answers.values()), "not_reached": error_texts(results)})
        if not json_only:
            printer.table("servers", MEMBER_COLUMNS, sorted(member_rows(answers)))
            print_errors(printer, error_texts(results))
            for proxy, text in missing.items():
                printer.line(f"front door {proxy}: not reached: {text}")
        return query_exit_code(results, bool(missing))

    run_command(file, command)


def member_rows(answers: dict[str, Members]) -> Iterator[tuple[Any, ...]]:
    """Yield a row for each server of each proxy."""
    for answer in answers.values():
        for proxy, servers in answer.proxies.items():
            for server in servers:
                by_order = "drained" if server.drained else ""
                yield server.name, server.building, proxy, server.listed, by_order, server.in_flight


@click.command()
@click.argument("customer")
@as_json
@click.pass_obj
def quota(file: Path | None, customer: str, json_only: bool) -> None:
    """What every front door knows of a CUSTOMER's quota (16 hex digits)."""
    if len(customer) != CUSTOMER_DIGITS or set(customer.lower()) - set("0123456789abcdef"):
        raise click.BadParameter("not 16 hex digits", param_hint="CUSTOMER")

    async def command(fleet: Fleet) -> int:
        printer = Printer(json_only)
        results = await fleet.call_all(f"/v1/quota/{customer}", Quota)
        answers: dict[str, Quota] = successful_answers(results)
        printer.result(
            {"customer": customer, "agents": list(answers.values()), "not_reached": error_texts(results)}
        )
        if not json_only:
            print_quota(printer, customer, answers)
            print_errors(printer, error_texts(results))
        return query_exit_code(results, any(answer.missing for answer in answers.values()))

    run_command(file, command)


def print_quota(printer: Printer, customer: str, answers: dict[str, Quota]) -> None:
    """Print a table of the quota by proxy and plan, and one of the ceiling shares if there are any."""
    statuses = [
        (proxy, status)
        for answer in answers.values()
        for proxy, proxy_statuses in answer.proxies.items()
        for status in proxy_statuses
    ]
    printer.table(
        f"customer {customer}", QUOTA_COLUMNS, (quota_row(proxy, status) for proxy, status in statuses)
    )
    limits = [limits_row(proxy, status.plan, status.limits) for proxy, status in statuses if status.limits]
    if limits:
        printer.table("shares of ceilings", LIMITS_COLUMNS, limits)


def quota_row(proxy: str, status: QuotaStatus) -> tuple[Any, ...]:
    """Return the cells of a row in the quota table."""
    return (
        proxy,
        status.plan,
        f"{status.tokens:.1f}",
        f"{status.local_tokens:.2f}",
        f"{status.ceiling_tokens:.2f}",
        f"{status.demand:.1f}",
        format_age(None if status.reply_age_s is None else round(status.reply_age_s * MS_PER_S)),
    )


def limits_row(proxy: str, plan: int, limits: CustomerLimits) -> tuple[Any, ...]:
    """Return the cells of a row in the table of ceiling shares."""
    return (
        proxy,
        plan,
        f"{limits.share:.3f}",
        f"{limits.store:.1f}",
        format_amounts(limits.lent),
        format_amounts(limits.borrowed),
        f"{limits.oldest_s:.1f} s",
        f"{limits.taken:.0f}",
        f"{limits.spent:.0f}",
        ", ".join(map(str, limits.apart)),
    )


def format_amounts(amounts: dict[int, float]) -> str:
    """Format amounts by proxy number as text."""
    return ", ".join(f"{number}: {amount:.3f}" for number, amount in amounts.items())
