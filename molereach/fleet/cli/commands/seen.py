"""`members` and `quota`: servers and a customer's quota, as each front door sees them."""

from pathlib import Path

import click

from molereach.fleet.api_bodies import Members, Quota
from molereach.fleet.cli.client import Fleet
from molereach.fleet.cli.exits import complain, errors, good, reading_exit
from molereach.fleet.cli.session import as_json, run
from molereach.fleet.cli.tables import Printer, age


@click.command()
@as_json
@click.pass_obj
def members(file: Path | None, json_only: bool) -> None:
    """The servers as each front door sees them, and what is in flight there."""

    async def job(made: Fleet) -> int:
        out, found = Printer(json_only), await made.all("/v1/members", Members)
        heard: dict[str, Members] = good(found)
        missing = {
            f"{agent}/{door}": text for agent, each in heard.items() for door, text in each.missing.items()
        }
        out.result({"agents": list(heard.values()), "not_reached": errors(found)})
        if not json_only:
            columns = ("server", "building", "front door", "listed", "by order", "in flight")
            out.table(
                "servers",
                columns,
                sorted(
                    (
                        one.name,
                        one.building,
                        door,
                        one.listed,
                        "drained" if one.drained else "",
                        one.in_flight,
                    )
                    for each in heard.values()
                    for door, seen in each.proxies.items()
                    for one in seen
                ),
            )
            complain(out, errors(found))
            for name, text in missing.items():
                out.line(f"front door {name}: not reached: {text}")
        return reading_exit(found, bool(missing))

    run(file, job)


def parts(shares: dict[int, float]) -> str:
    """Shares by front door's number."""
    return ", ".join(f"{door}: {share:.3f}" for door, share in shares.items())


@click.command()
@click.argument("customer")
@as_json
@click.pass_obj
def quota(file: Path | None, customer: str, json_only: bool) -> None:
    """What every front door knows of a CUSTOMER's quota (16 hex digits)."""
    if len(customer) != 16 or set(customer.lower()) - set("0123456789abcdef"):
        raise click.BadParameter("not 16 hex digits", param_hint="CUSTOMER")

    async def job(made: Fleet) -> int:
        out, found = Printer(json_only), await made.all(f"/v1/quota/{customer}", Quota)
        heard: dict[str, Quota] = good(found)
        out.result({"customer": customer, "agents": list(heard.values()), "not_reached": errors(found)})
        if not json_only:
            columns = ("front door", "plan", "level units", "part", "ceiling part", "demand units/s", "heard")
            out.table(
                f"customer {customer}",
                columns,
                (
                    (
                        door,
                        one.plan,
                        f"{one.tokens:.1f}",
                        f"{one.local_tokens:.2f}",
                        f"{one.ceiling_tokens:.2f}",
                        f"{one.demand:.1f}",
                        age(None if one.reply_age_s is None else round(one.reply_age_s * 1000)),
                    )
                    for each in heard.values()
                    for door, seen in each.proxies.items()
                    for one in seen
                ),
            )
            held = [
                (door, one.plan, one.limits)
                for each in heard.values()
                for door, seen in each.proxies.items()
                for one in seen
                if one.limits
            ]
            if held:
                names = (
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
                out.table(
                    "shares of ceilings",
                    names,
                    (
                        (
                            door,
                            plan,
                            f"{shares.share:.3f}",
                            f"{shares.store:.1f}",
                            parts(shares.lent),
                            parts(shares.borrowed),
                            f"{shares.oldest_s:.1f} s",
                            f"{shares.taken:.0f}",
                            f"{shares.spent:.0f}",
                            ", ".join(map(str, shares.apart)),
                        )
                        for door, plan, shares in held
                    ),
                )
            complain(out, errors(found))
        return reading_exit(found, any(each.missing for each in heard.values()))

    run(file, job)
