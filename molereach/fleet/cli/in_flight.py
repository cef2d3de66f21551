"""Waits until nothing is in flight at a drained server."""

import asyncio
from collections.abc import Callable

import msgspec

from molereach.fleet.api_bodies import Members
from molereach.fleet.cli.client import Fleet
from molereach.fleet.cli.exits import answers, errors
from molereach.fleet.cli.runner import US_PER_S, now_us
from molereach.fleet.cli.tables import Printer

WAIT_POLL_S = 0.2
QUIET_POLLS = 2  # consecutive polls without anything in flight


class InFlight(msgspec.Struct, frozen=True):
    """The result of the last poll; `ended` if nothing was in flight in enough polls."""

    ended: bool
    proxies: dict[str, int] = msgspec.field(name="doors")  # attempts in flight, by proxy
    unknown: dict[str, str]  # proxies and agents without an answer, and why


async def wait_for_end(fleet: Fleet, server: str, within_s: float, note: Callable[[str], None]) -> InFlight:
    """Poll until nothing is in flight at a server, or `within_s` seconds are over; return the last result."""
    deadline_us = now_us() + round(within_s * US_PER_S)
    quiet_polls = 0
    while True:
        counts, unknown = await poll(fleet, server)
        quiet_polls = 0 if any(counts.values()) or unknown else quiet_polls + 1
        ended = quiet_polls >= QUIET_POLLS
        if ended or now_us() >= deadline_us:
            return InFlight(ended, {name: count for name, count in counts.items() if count}, unknown)
        note(f"in flight at {server}: {sum(counts.values())}; not known: {len(unknown)}")
        await asyncio.sleep(WAIT_POLL_S)


async def poll(fleet: Fleet, server: str) -> tuple[dict[str, int], dict[str, str]]:
    """Return the attempts in flight at a server by proxy, and the proxies and agents without an answer."""
    results = await fleet.all("/v1/members", Members)
    counts: dict[str, int] = {}
    unknown = {f"agent {name}": text for name, text in errors(results).items()}
    for agent, answer in answers(results).items():
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
    for name, text in result.unknown.items():
        printer.line(f"not known what is in flight at {server} from {name}: {text}")
