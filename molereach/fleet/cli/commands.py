"""`molereach fleet`: many front doors as one, by their agents."""

import asyncio
import getpass
import json
import secrets
import time
from collections.abc import Awaitable, Callable, Iterator
from pathlib import Path
from random import SystemRandom
from typing import Any

import click
import msgspec
import uvloop

from molereach.fleet.campaign import events as ev
from molereach.fleet.campaign.course import Campaign
from molereach.fleet.campaign.report import Report, Verdict
from molereach.fleet.cli.client import CallError, Fleet, Giver, RefusedCallError, now_us
from molereach.fleet.cli.tables import Printer, age
from molereach.fleet.orders import Order, OrderError, Verb
from molereach.fleet.settings import FleetFile, SettingsError, load
from molereach.fleet.view import Event, Members, Orders, Quota, Status

DONE, FAILED, BAD_INPUT, PARTLY, CONFLICT, UNREACHABLE, REFUSED, INTERRUPTED = 0, 1, 2, 3, 4, 5, 6, 130
EXITS = {Verdict.DONE: DONE, Verdict.PARTLY: PARTLY, Verdict.CONFLICT: CONFLICT,
         Verdict.UNREACHABLE: UNREACHABLE, Verdict.REFUSED: REFUSED}
EXIT_TEXT = """\b
exit codes: 0 done everywhere; 1 a fault of the tool's own; 2 bad input;
3 partly: it stands, and not everybody said so, or not everybody answered;
4 conflict: another order stands in its way; 5 unreachable: no majority of
agents, or no agent, answered; 6 refused; 130 interrupted"""
WAIT_POLL_S = 0.2
QUIET_LOOKS = 2  # in a row without anything in flight
FLEET_VARIABLE = "MOLEREACH_FLEET"


@click.group("fleet", epilog=EXIT_TEXT)
@click.option("--fleet", "file", type=click.Path(path_type=Path), envvar=FLEET_VARIABLE, metavar="FILE",
              help=f"The fleet's file: its agents, and how to speak with them (or {FLEET_VARIABLE}).")
@click.pass_context
def fleet(context: click.Context, file: Path | None) -> None:
    """See and steer many front doors as one."""
    context.obj = file


def opened(file: Path | None) -> tuple[Path, FleetFile]:
    if file is None:
        raise click.UsageError(f"no fleet file: give --fleet FILE, or set {FLEET_VARIABLE}")
    return file, load(file, FleetFile)


def run(file: Path | None, job: Callable[[Fleet], Awaitable[int]], many_calls: bool = False) -> None:
    """Carry out a command on a fleet and end with its exit code."""

    async def all_of_it(path: Path, settings: FleetFile) -> int:
        async with Fleet(path, settings, http1=not many_calls) as made:
            return await job(made)

    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            code = runner.run(all_of_it(*opened(file)))
    except (SettingsError, OrderError) as error:
        click.echo(f"molereach fleet: {error}", err=True)
        code = BAD_INPUT
    except KeyboardInterrupt:
        click.echo("molereach fleet: interrupted; 'orders' shows how far it came", err=True)
        code = INTERRUPTED
    raise SystemExit(code)


as_json = click.option("--json", "json_only", is_flag=True, help="Print one JSON object and nothing else.")


def good(found: dict[str, Any]) -> dict[str, Any]:
    return {name: each for name, each in found.items() if not isinstance(each, CallError)}


def errors(found: dict[str, Any]) -> dict[str, str]:
    return {name: str(each) for name, each in found.items() if isinstance(each, CallError)}


def reading_exit(found: dict[str, Any], missing: bool) -> int:
    """Of a command that reads: all answered, some did, none did, or all refused."""
    if not good(found):
        refused = all(isinstance(each, RefusedCallError) for each in found.values())
        return REFUSED if refused else UNREACHABLE
    return PARTLY if errors(found) or missing else DONE


def complain(out: Printer, failed: dict[str, str]) -> None:
    for name, text in failed.items():
        out.line(f"agent {name}: not reached: {text}")


@fleet.command()
@as_json
@click.pass_obj
def status(file: Path | None, json_only: bool) -> None:
    """The state of every agent and every front door."""

    async def job(made: Fleet) -> int:
        out, found = Printer(json_only), await made.all("/v1/status", Status)
        heard: dict[str, Status] = good(found)
        unseen = [(agent, door) for agent, doors in made.settings.expected().items() for door in doors
                  if agent not in heard or door not in {each.name for each in heard[agent].doors}]
        out.result({"agents": list(heard.values()), "not_reached": errors(found),
                    "not_seen": [{"agent": agent, "door": door} for agent, door in unseen]})
        if not json_only:
            show_status(out, heard, unseen)
            complain(out, errors(found))
        away = any(door.reach not in ("up", "ended") for each in heard.values() for door in each.doors)
        return reading_exit(found, away or bool(unseen))

    run(file, job)


def show_status(out: Printer, heard: dict[str, Status], unseen: list[tuple[str, str]]) -> None:
    rows: list[tuple[Any, ...]] = []
    for agent, each in heard.items():
        for door in each.doors:
            state = door.state
            rows.append((agent, door.name, door.reach, age(door.heard_ago_ms), door.revision,
                         state and ("held" if state.held else "open"), state and state.clients,
                         state and state.open_requests, state and f"{state.up_s:.0f}", door.why))
    rows += [(agent, door, "unknown", "never", None, None, None, None, None, "named in the fleet's file only")
             for agent, door in unseen]
    out.table("front doors", ("agent", "door", "reach", "heard", "revision", "clients are", "clients",
                              "requests", "up s", ""), rows)
    out.table("agents", ("agent", "revision", "synced", "pending", "journal"), (
        (agent, each.revision, "yes" if each.synced else "NO", each.pending and each.pending.id,
         each.journal or "well") for agent, each in heard.items()))


@fleet.command()
@as_json
@click.pass_obj
def members(file: Path | None, json_only: bool) -> None:
    """The servers as each front door sees them, and what is in flight there."""

    async def job(made: Fleet) -> int:
        out, found = Printer(json_only), await made.all("/v1/members", Members)
        heard: dict[str, Members] = good(found)
        missing = {f"{agent}/{door}": text for agent, each in heard.items()
                   for door, text in each.missing.items()}
        out.result({"agents": list(heard.values()), "not_reached": errors(found)})
        if not json_only:
            columns = ("server", "building", "front door", "listed", "by order", "in flight")
            out.table("servers", columns, sorted(
                (one.name, one.building, door, one.listed, "drained" if one.drained else "", one.in_flight)
                for each in heard.values() for door, seen in each.doors.items() for one in seen))
            complain(out, errors(found))
            for name, text in missing.items():
                out.line(f"front door {name}: not reached: {text}")
        return reading_exit(found, bool(missing))

    run(file, job)


def parts(shares: dict[int, float]) -> str:
    """Shares by front door's number."""
    return ", ".join(f"{door}: {share:.3f}" for door, share in shares.items())


@fleet.command()
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
            out.table(f"customer {customer}", columns, (
                (door, one.plan, f"{one.level:.1f}", f"{one.part:.2f}", f"{one.ceiling_part:.2f}",
                 f"{one.demand:.1f}",
                 age(None if one.heard_s_ago is None else round(one.heard_s_ago * 1000)))
                for each in heard.values() for door, seen in each.doors.items() for one in seen))
            held = [(door, one.plan, one.shares) for each in heard.values()
                    for door, seen in each.doors.items() for one in seen if one.shares]
            if held:
                names = ("front door", "plan", "share", "units", "lent to", "borrowed of", "oldest loan",
                         "sent on", "quota spent", "apart")
                out.table("shares of ceilings", names, (
                    (door, plan, f"{shares.share:.3f}", f"{shares.store:.1f}", parts(shares.lent),
                     parts(shares.borrowed), f"{shares.oldest_s:.1f} s", f"{shares.taken:.0f}",
                     f"{shares.spent:.0f}", ", ".join(map(str, shares.apart)))
                    for door, plan, shares in held))
            complain(out, errors(found))
        return reading_exit(found, any(each.missing for each in heard.values()))

    run(file, job)


@fleet.command()
@as_json
@click.option("--all", "everything", is_flag=True, help="Also orders that are over.")
@click.pass_obj
def orders(file: Path | None, json_only: bool, everything: bool) -> None:
    """Orders, and how far each has come at every agent and front door."""

    async def job(made: Fleet) -> int:
        out = Printer(json_only)
        found, stood = await asyncio.gather(made.all("/v1/orders", Orders), made.all("/v1/status", Status))
        rows = list(order_rows(good(found), good(stood), len(made.urls), everything))
        out.result({"orders": rows, "not_reached": errors(found)})
        if not json_only:
            columns = ("order", "what", "of", "by", "reason", "revision", "agents", "front doors", "lacking")
            out.table("orders", columns, (
                (row["id"], row["verb"], row["subject"], row["issuer"], row["reason"], row["stands"],
                 row["agents"], row["doors"], " ".join(row["lacking"])) for row in rows))
            complain(out, errors(found))
        return reading_exit(found, False)

    run(file, job)


def order_rows(
    found: dict[str, Orders], stood: dict[str, Status], total: int, everything: bool
) -> Iterator[dict[str, Any]]:
    """A row for each order: decided ones by revision, then those that are under way."""
    ids, doors = {}, [(f"{agent}/{door.name}", door) for agent, each in stood.items() for door in each.doors
                      if door.reach != "ended"]
    for each in found.values():
        for decided in (*each.recent, *each.in_force) if everything else each.in_force:
            ids[decided.revision] = decided
    for revision, decided in sorted(ids.items()):
        know = [agent for agent, each in found.items() if each.revision >= revision]
        have = [name for name, door in doors if door.revision >= revision]
        lacking = sorted((found.keys() - set(know)) | {name for name, _ in doors if name not in have})
        yield {**msgspec.to_builtins(decided.order), "stands": revision, "agents": f"{len(know)}/{total}",
               "doors": f"{len(have)}/{len(doors)}", "lacking": lacking}
    pending: dict[str, list[str]] = {}
    for agent, each in found.items():
        if each.pending:
            pending.setdefault(json.dumps(msgspec.to_builtins(each.pending)), []).append(agent)
    for text, accepted in pending.items():
        yield {**json.loads(text), "stands": "not decided: give it again",
               "agents": f"accepted {len(accepted)}/{total}",
               "doors": f"0/{len(doors)}", "lacking": sorted(found.keys() - set(accepted))}


@fleet.command()
@as_json
@click.option("--seconds", type=click.FloatRange(0.1, 86400.0), help="End after so long.")
@click.pass_obj
def watch(file: Path | None, json_only: bool, seconds: float | None) -> None:
    """What happens at all agents, as it happens; with --json an object a line."""

    async def job(made: Fleet) -> int:
        failed: dict[str, str] = {}

        def show(event: Event) -> None:
            if json_only:
                click.echo(json.dumps(msgspec.to_builtins(event)))
            else:
                clock = time.strftime("%H:%M:%S", time.localtime(event.at_ms / 1000))
                click.echo(f"{clock} {event.agent} {event.kind} {event.subject}: {event.text}")

        async def follow(agent: str) -> None:
            try:
                async for event in made.watch(agent):
                    show(event)
                failed[agent] = "its stream has ended"
            except CallError as error:
                failed[agent] = str(error)
            click.echo(f"molereach fleet: agent {agent}: {failed[agent]}", err=True)

        try:
            async with asyncio.timeout(seconds):
                await asyncio.gather(*(follow(agent) for agent in made.urls))
        except TimeoutError:
            pass
        return (UNREACHABLE if len(failed) == len(made.urls) else PARTLY) if failed else DONE

    run(file, job, many_calls=True)


# --- giving orders ---


def draws() -> Iterator[float]:
    random = SystemRandom()
    while True:
        yield random.random()


def campaign_for(settings: FleetFile, draft: ev.Draft, confirm_s: float | None = None) -> Campaign:
    """A campaign whose run has a name that no other has ever had."""
    times = ev.Times(round(settings.agree_s * 1e6), round((confirm_s or settings.confirm_s) * 1e6))
    return Campaign(settings.names, draft, secrets.token_hex(16), draws(), time.time_ns() // 1_000_000,
                      settings.floor, times, settings.expected())


class InFlight(msgspec.Struct, frozen=True):
    """What `--wait` saw last."""

    ended: bool
    doors: dict[str, int]  # attempts that are out, by front door
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
            out |= {f"{agent}/{door}": sum(one.in_flight for one in seen if one.name == server)
                    for door, seen in each.doors.items()}
        quiet = 0 if any(out.values()) or unknown else quiet + 1
        if quiet >= QUIET_LOOKS or now_us() >= until:
            left = {name: count for name, count in out.items() if count}
            return InFlight(quiet >= QUIET_LOOKS, left, unknown)
        note(f"in flight at {server}: {sum(out.values())}; not known: {len(unknown)}")
        await asyncio.sleep(WAIT_POLL_S)


def show_report(out: Printer, report: Report) -> None:
    out.line(f"{report.verdict.value}: {report.text} (order {report.order_id})")
    if report.winner:
        other = report.winner.order
        out.line(f"  stands: {other.verb.value} {other.subject} at revision {report.winner.revision}, by "
                 f"{other.issuer}: {other.reason} (order {other.id})")
    for word in report.agents:
        if word.why or (report.decided and not word.told):
            out.line(f"  agent {word.agent}: {word.why or 'has not said that it knows the order'}")
    if report.decided and report.doors:
        out.table("", ("agent", "front door", "carried out", "reach", "revision", "heard", ""), (
            (word.agent, word.door, "yes" if word.carried_out else "NOT KNOWN", word.reach, word.revision,
             age(word.heard_ago_ms), word.why) for word in report.doors))


def give(
    file: Path | None, verb: Verb, subject: str, json_only: bool, reason: str, issuer: str, order_id: str,
    lapse: float, forced: bool, based_on: int | None, wait_s: float | None,
) -> None:
    """Give an order and end with the exit code of what became of it."""
    lapses_ms = time.time_ns() // 1_000_000 + round(lapse * 1000) if lapse else 0
    draft = ev.Draft(order_id or secrets.token_hex(8), verb, subject, issuer, reason, lapses_ms, forced,
                    based_on)

    async def job(made: Fleet) -> int:
        Order(draft.id, verb, subject, issuer, reason, based_on or 0, lapses_ms, forced).check()
        out = Printer(json_only)
        campaign = campaign_for(made.settings, draft)
        report = await Giver(made, campaign, lambda step: out.note(f"{step} ...")).run()
        code, in_flight = EXITS[report.verdict], None
        if wait_s is not None and report.decided and code in (DONE, PARTLY):
            in_flight = await wait_for_end(made, subject, wait_s, out.note)
            code = code if in_flight.ended else PARTLY
        out.result({**msgspec.to_builtins(report), "exit": code, "in_flight": in_flight})
        if not json_only:
            show_report(out, report)
            if in_flight:
                show_in_flight(out, subject, in_flight, wait_s or 0.0)
        return code

    run(file, job, many_calls=True)


def show_in_flight(out: Printer, server: str, seen: InFlight, waited_s: float) -> None:
    if seen.ended:
        out.line(f"nothing is in flight at {server}")
        return
    for door, count in seen.doors.items():
        out.line(f"still in flight at {server} after {waited_s:g} s: {count} of front door {door}")
    for name, text in seen.unknown.items():
        out.line(f"not known what is in flight at {server} from {name}: {text}")


def giving(verb: Verb, what: str, text: str) -> None:
    """Add the command of one verb."""
    options = [
        click.argument("subject", metavar=what), as_json,
        click.option("--reason", required=True, help="Why; others read it."),
        click.option("--issuer", default=getpass.getuser, help="Who gives it (default: the user)."),
        click.option("--id", "order_id", default="", help="Given twice with one id, it is one order."),
        click.option("--lapse", type=click.FloatRange(0.0, 30 * 86400.0), default=0.0, metavar="S",
                     help="It is void after so many seconds (default: never)."),
        click.option("--based-on", type=click.IntRange(0), default=None, metavar="REVISION",
                     help="The revision that was looked at (default: the latest)."),
    ]
    if verb in (Verb.DRAIN, Verb.HOLD):
        options.append(click.option("--force", "forced", is_flag=True,
                                    help="Also below the floor, and of what nobody knows."))
    if verb is Verb.DRAIN:
        options.append(click.option("--wait", "wait_s", type=click.FloatRange(0.0, 3600.0), metavar="S",
                                    help="Then wait until nothing is in flight there, so long at most."))

    def command(file: Path | None, forced: bool = False, wait_s: float | None = None, **more: Any) -> None:  # noqa: ANN401
        give(file, verb, forced=forced, wait_s=wait_s, **more)

    command.__doc__ = text
    made: Callable[..., None] = command
    for option in reversed(options):
        made = option(made)
    fleet.command(verb.value)(click.pass_obj(made))


giving(Verb.DRAIN, "SERVER", "Nothing new to a SERVER, at every front door.")
giving(Verb.UNDRAIN, "SERVER", "End the drain of a SERVER; discovery's own drains stay.")
giving(Verb.HOLD, "DOOR", "No new clients at a front DOOR; those that it has are served.")
giving(Verb.RELEASE, "DOOR", "End the hold of a front DOOR.")
