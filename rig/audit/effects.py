"""Rule 2, no effect happens twice: checks executions at servers, and attempts after one that may have run."""

import itertools

from rig.audit.ledger import Ledger, Rule
from rig.audit.requests import Request
from rig.facts import Arrived, Asked, Effect, Kind, Ran


def check_effects(ledger: Ledger, request_id: str, request: Request) -> None:
    """Check one request; its attempts and executions must be sorted by time."""
    ask = request.asks[0]
    if ask.effect is Effect.SAFE:
        return
    if ask.effect is Effect.UNSAFE and len(request.runs) > 1:
        ledger.add_violation(
            Rule.TWICE, request_id, "an unsafe request ran twice", request.runs[0], request.runs[1]
        )
    if ask.effect is Effect.KEYED:
        check_keyed_runs(ledger, request_id, ask, request.runs)
    possibly_run: Arrived | None = None  # the first attempt that may have run
    for arrival in request.arrivals:
        if possibly_run is not None:
            check_later_attempt(ledger, request_id, ask, possibly_run, arrival)
        elif not never_ran(request, arrival):
            possibly_run = arrival
    refusal = next((answer for answer in request.answers if answer.kind is Kind.REFUSED), None)
    if refusal and possibly_run and not (ask.effect is Effect.KEYED and ask.group == "all"):
        ledger.add_violation(Rule.TWICE, request_id, "refused though it may have run", possibly_run, refusal)


def never_ran(request: Request, arrival: Arrived) -> bool:
    """Whether the server answered at the same front door that it never ran this attempt."""
    return any(
        rejection.server == arrival.server
        and rejection.door == arrival.door
        and rejection.at_us >= arrival.at_us
        for rejection in request.turned
    )


def check_later_attempt(ledger: Ledger, request_id: str, ask: Asked, first: Arrived, second: Arrived) -> None:
    """Check an attempt that follows one that may have run."""
    if ask.effect is Effect.UNSAFE:
        ledger.add_violation(
            Rule.TWICE, request_id, "an unsafe request sent again though it may have run", first, second
        )
    elif ask.group == "zone" and first.zone != second.zone:
        ledger.add_violation(
            Rule.TWICE, request_id, "a keyed request sent again outside its group", first, second
        )
    elif ledger.times_judged and second.first_us > first.at_us + ask.window_us + ledger.slack_us:
        ledger.add_violation(
            Rule.TWICE, request_id, "a keyed request sent again after its window", first, second
        )


def check_keyed_runs(ledger: Ledger, request_id: str, ask: Asked, runs: list[Ran]) -> None:
    """Check executions of a keyed request: a second one counts within the window only, as the key expires."""
    for first, second in itertools.pairwise(runs):
        if second.at_us - first.at_us < ask.window_us:
            ledger.add_violation(Rule.TWICE, request_id, "a keyed request ran twice", first, second)
