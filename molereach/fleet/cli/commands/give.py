"""`drain`, `undrain`, `hold`, `release`: roll out an order and print a report."""

import getpass
import secrets
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import click
import msgspec

from molereach.fleet.cli.client import Fleet
from molereach.fleet.cli.exits import DONE, EXIT_CODES, PARTIAL
from molereach.fleet.cli.in_flight import print_in_flight, wait_until_idle
from molereach.fleet.cli.rollouts import new_rollout
from molereach.fleet.cli.runner import RolloutRunner
from molereach.fleet.cli.session import as_json, run_command
from molereach.fleet.cli.tables import Printer, format_age
from molereach.fleet.orders import Order, Verb
from molereach.fleet.rollout import events
from molereach.fleet.rollout.report import Report

ORDER_ID_BYTES = 8
NS_PER_MS = 1_000_000
MS_PER_S = 1000


def print_report(printer: Printer, report: Report) -> None:
    """Print a report as text."""
    printer.line(f"{report.verdict.value}: {report.text} (order {report.order_id})")
    if report.winner:
        winner = report.winner.order
        printer.line(
            f"  stands: {winner.verb.value} {winner.subject} at revision {report.winner.revision}, by "
            f"{winner.issuer}: {winner.reason} (order {winner.id})"
        )
    for agent in report.agents:
        if agent.reason or (report.decided and not agent.notified):
            printer.line(f"  agent {agent.agent}: {agent.reason or 'has not said that it knows the order'}")
    if report.decided and report.proxies:
        printer.table(
            "",
            ("agent", "front door", "carried out", "reach", "revision", "heard", ""),
            (
                (
                    proxy.agent,
                    proxy.proxy,
                    "yes" if proxy.applied else "NOT KNOWN",
                    proxy.reachability,
                    proxy.revision,
                    format_age(proxy.reported_ago_ms),
                    proxy.reason,
                )
                for proxy in report.proxies
            ),
        )


def run_rollout(file: Path | None, draft: events.Draft, json_only: bool, wait_s: float | None) -> None:
    """Roll out an order and exit with the code of its verdict.

    `wait_s` is how many seconds to wait until nothing is in flight at a drained server; None for no wait.
    """

    async def command(fleet: Fleet) -> int:
        check_draft(draft)
        printer = Printer(json_only)
        rollout = new_rollout(fleet.settings, draft)
        report = await RolloutRunner(fleet, rollout, lambda step: printer.progress(f"{step} ...")).run()
        exit_code = EXIT_CODES[report.verdict]
        in_flight = None
        if wait_s is not None and report.decided and exit_code in (DONE, PARTIAL):
            in_flight = await wait_until_idle(fleet, draft.subject, wait_s, printer.progress)
            exit_code = exit_code if in_flight.ended else PARTIAL
        printer.result({**msgspec.to_builtins(report), "exit": exit_code, "in_flight": in_flight})
        if not json_only:
            print_report(printer, report)
            if in_flight:
                print_in_flight(printer, draft.subject, in_flight, wait_s or 0.0)
        return exit_code

    run_command(file, command, many_calls=True)


def check_draft(draft: events.Draft) -> None:
    """Raise OrderError if the order that a draft describes is not valid."""
    Order(
        draft.id,
        draft.verb,
        draft.subject,
        draft.issuer,
        draft.reason,
        draft.based_on or 0,
        draft.lapses_ms,
        draft.forced,
    ).check()


def lapse_time_ms(lapse_s: float) -> int:
    """Return the Unix time in milliseconds at which an order lapses; 0 (never) if `lapse_s` is 0."""
    return time.time_ns() // NS_PER_MS + round(lapse_s * MS_PER_S) if lapse_s else 0


def order_options(verb: Verb, metavar: str) -> list[Callable[..., Any]]:
    """Return the argument and the options of a verb's command, in the order in which its help lists them."""
    options = [
        click.argument("subject", metavar=metavar),
        as_json,
        click.option("--reason", required=True, help="Why; others read it."),
        click.option("--issuer", default=getpass.getuser, help="Who gives it (default: the user)."),
        click.option("--id", "order_id", default="", help="Given twice with one id, it is one order."),
        click.option(
            "--lapse",
            type=click.FloatRange(0.0, 30 * 86400.0),
            default=0.0,
            metavar="S",
            help="It is void after so many seconds (default: never).",
        ),
        click.option(
            "--based-on",
            type=click.IntRange(0),
            default=None,
            metavar="REVISION",
            help="The revision that was looked at (default: the latest).",
        ),
    ]
    if verb in (Verb.DRAIN, Verb.HOLD):
        options.append(
            click.option(
                "--force", "forced", is_flag=True, help="Also below the floor, and of what nobody knows."
            )
        )
    if verb is Verb.DRAIN:
        options.append(
            click.option(
                "--wait",
                "wait_s",
                type=click.FloatRange(0.0, 3600.0),
                metavar="S",
                help="Then wait until nothing is in flight there, so long at most.",
            )
        )
    return options


def order_command(verb: Verb, metavar: str, help_text: str) -> click.Command:
    """Return the command for a verb; `metavar` names its argument in the help."""

    def command(
        file: Path | None,
        subject: str,
        json_only: bool,
        reason: str,
        issuer: str,
        order_id: str,
        lapse: float,
        based_on: int | None,
        forced: bool = False,
        wait_s: float | None = None,
    ) -> None:
        draft = events.Draft(
            order_id or secrets.token_hex(ORDER_ID_BYTES),
            verb,
            subject,
            issuer,
            reason,
            lapse_time_ms(lapse),
            forced,
            based_on,
        )
        run_rollout(file, draft, json_only, wait_s)

    command.__doc__ = help_text
    decorated_command: Callable[..., None] = command
    for option in reversed(order_options(verb, metavar)):
        decorated_command = option(decorated_command)
    return click.command(verb.value)(click.pass_obj(decorated_command))
