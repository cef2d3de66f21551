"""Waits until a drained server has no attempts in flight."""

import asyncio
from collections.abc import Callable

import msgspec

from molereach.fleet.api_bodies import Members
from molereach.fleet.cli.client import Fleet
from molereach.fleet.cli.exits import error_texts, successful_answers
from molereach.fleet.cli.runner import US_PER_S, now_us
from molereach.fleet.cli.tables import Printer

POLL_INTERVAL_S = 0.2
REQUIRED_IDLE_POLLS = 2  # consecutive polls that find nothing in flight


class InFlight(msgspec.Struct, frozen=True):
    """The result of the last poll; `ended` after enough consecutive polls with nothing in flight."""

    ended: bool
    proxies: dict[str, int] = msgspec.field(name="doors")  # attempts in flight, by proxy
    unknown: dict[str, str]  # proxies and agents that did not answer, with the reason


async def wait_until_idle(
    fleet: Fleet, server: str, timeout_s: float, report_progress: Callable[[str], None]
) -> InFlight:
    """Poll until nothing is in flight at a server, or the timeout is over; return the last result."""
    deadline_us = now_us() + round(timeout_s * US_PER_S)
    idle_polls = 0
    while True:
        counts, unknown = await count_in_flight(fleet, server)
        idle_polls = 0 if any(counts.values()) or unknown else idle_polls + 1
        ended = idle_polls >= REQUIRED_IDLE_POLLS
        if ended or now_us() >= deadline_us:
            return InFlight(ended, {proxy: count for proxy, count in counts.items() if count}, unknown)
        report_progress(f"in flight at {server}: {sum(counts.values())}; not known: {len(unknown)}")
        await asyncio.sleep(POLL_INTERVAL_S)


async def count_in_flight(fleet: Fleet, server: str) -> tuple[dict[str, int], dict[str, str]]:
    """Return the attempts in flight at a server by proxy, and the proxies and agents that did not answer."""
    results = await fleet.call_all("/v1/members", Members)
    counts: dict[str, int] = {}
    unknown = {f"agent {agent}": text for agent, text in error_texts(results).items()}
    for agent, answer in successful_answers(results).items():
        unknown |= {f"{agent}/{proxy}": text for proxy, text in answer.missing.items()}
        for proxy, members in answer.proxies.items():
            counts[f"{agent}/{proxy}"] = sum(member.in_flight for member in members if member.name == server)
    return counts, unknown


def print_in_flight(printer: Printer, server: str, result: InFlight, waited_s: float) -> None:
    """Print the result of a wait."""
    if result.ended:
        printer.line(f"nothing is in flight at {server}")
        return
    for proxy, count in result.proxies.items():
        printer.line(f"still in flight at {server} after {waited_s:g} s: {count} of front door {proxy}")
    for source, text in result.unknown.items():
        printer.line(f"not known what is in flight at {server} from {source}: {text}")
