"""`members` and `quota`: servers and a customer's quota, as each proxy sees them."""

from collections.abc import Iterator
from pathlib import Path
from typing import Any

import click

from molereach.fleet.api_bodies import Members, Quota
from molereach.fleet.cli.client import Fleet
from molereach.fleet.cli.exits import answers, errors, print_errors, reading_exit
from molereach.fleet.cli.session import as_json, run
from molereach.fleet.cli.tables import Printer, age
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
        results = await fleet.all("/v1/members", Members)
        found: dict[str, Members] = answers(results)
        missing = {
            f"{agent}/{proxy}": text for agent, each in found.items() for proxy, text in each.missing.items()
        }
        printer.result({"agents": list(found.values()), "not_reached": errors(results)})
        if not json_only:
            printer.table("servers", MEMBER_COLUMNS, sorted(member_rows(found)))
            print_errors(printer, errors(results))
            for name, text in missing.items():
                printer.line(f"front door {name}: not reached: {text}")
        return reading_exit(results, bool(missing))

    run(file, command)


def member_rows(found: dict[str, Members]) -> Iterator[tuple[Any, ...]]:
    """Yield a row for each server of each proxy."""
    for each in found.values():
        for proxy, servers in each.proxies.items():
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
        results = await fleet.all(f"/v1/quota/{customer}", Quota)
        found: dict[str, Quota] = answers(results)
        printer.result({"customer": customer, "agents": list(found.values()), "not_reached": errors(results)})
        if not json_only:
            print_quota(printer, customer, found)
            print_errors(printer, errors(results))
        return reading_exit(results, any(each.missing for each in found.values()))

    run(file, command)


def print_quota(printer: Printer, customer: str, found: dict[str, Quota]) -> None:
    """Print a table of the quota, and one of the limits where there are any."""
    statuses = [
        (proxy, status)
        for each in found.values()
        for proxy, of_proxy in each.proxies.items()
        for status in of_proxy
    ]
    printer.table(
        f"customer {customer}", QUOTA_COLUMNS, (quota_row(proxy, status) for proxy, status in statuses)
    )
    limits = [limits_row(proxy, status.plan, status.limits) for proxy, status in statuses if status.limits]
    if limits:
        printer.table("shares of ceilings", LIMITS_COLUMNS, limits)


def quota_row(proxy: str, status: QuotaStatus) -> tuple[Any, ...]:
    """Return the table's row of a quota."""
    return (
        proxy,
        status.plan,
        f"{status.tokens:.1f}",
        f"{status.local_tokens:.2f}",
        f"{status.ceiling_tokens:.2f}",
        f"{status.demand:.1f}",
        age(None if status.reply_age_s is None else round(status.reply_age_s * MS_PER_S)),
    )


def limits_row(proxy: str, plan: int, limits: CustomerLimits) -> tuple[Any, ...]:
    """Return the table's row of a customer's limits."""
    return (
        proxy,
        plan,
        f"{limits.share:.3f}",
        f"{limits.store:.1f}",
        amounts(limits.lent),
        amounts(limits.borrowed),
        f"{limits.oldest_s:.1f} s",
        f"{limits.taken:.0f}",
        f"{limits.spent:.0f}",
        ", ".join(map(str, limits.apart)),
    )


def amounts(by_proxy: dict[int, float]) -> str:
    """Return amounts by the number of a proxy as text."""
    return ", ".join(f"{number}: {amount:.3f}" for number, amount in by_proxy.items())
