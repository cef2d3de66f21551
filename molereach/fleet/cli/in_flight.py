"""Waiting until nothing is in flight at a server that is drained, and what was seen last."""

import asyncio
from collections.abc import Callable

import msgspec

from molereach.fleet.api_bodies import Members
from molereach.fleet.cli.client import Fleet, now_us
from molereach.fleet.cli.exits import errors, good
from molereach.fleet.cli.tables import Printer

WAIT_POLL_S = 0.2
QUIET_POLLS = 2  # in a row without anything in flight


class InFlight(msgspec.Struct, frozen=True):
    """What `--wait` saw last."""

    ended: bool
    proxies: dict[str, int] = msgspec.field(name="doors")  # attempts in flight, by proxy
    unknown: dict[str, str]  # front doors and agents that did not say, and why


async def wait_for_end(made: Fleet, server: str, within_s: float, note: Callable[[str], None]) -> InFlight:
    """Look until nothing is in flight at a server, twice in a row, or time is over."""
    until, quiet = now_us() + round(within_s * 1e6), 0
    while True:
        found = await made.all("/v1/members", Members)
        out: dict[str, int] = {}
        unknown = {f"agent {name}": text for name, text in errors(found).items()}
        for agent, each in good(found).items():
            unknown |= {f"{agent}/{door}": text for door, text in each.missing.items()}
            out |= {
                f"{agent}/{door}": sum(one.in_flight for one in seen if one.name == server)
                for door, seen in each.proxies.items()
            }
        quiet = 0 if any(out.values()) or unknown else quiet + 1
        if quiet >= QUIET_POLLS or now_us() >= until:
            left = {name: count for name, count in out.items() if count}
            return InFlight(quiet >= QUIET_POLLS, left, unknown)
        note(f"in flight at {server}: {sum(out.values())}; not known: {len(unknown)}")
        await asyncio.sleep(WAIT_POLL_S)


def show_in_flight(out: Printer, server: str, seen: InFlight, waited_s: float) -> None:
    if seen.ended:
        out.line(f"nothing is in flight at {server}")
        return
    for door, count in seen.proxies.items():
        out.line(f"still in flight at {server} after {waited_s:g} s: {count} of front door {door}")
    for name, text in seen.unknown.items():
        out.line(f"not known what is in flight at {server} from {name}: {text}")
