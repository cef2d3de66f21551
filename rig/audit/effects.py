"""Rule 2, no effect happens twice: runs at servers, and attempts sent again though one may have run."""

import itertools

from rig.audit.ledger import Ledger, Rule
from rig.audit.requests import Request
from rig.facts import Arrived, Asked, Effect, Kind, Ran


def judge_effects(ledger: Ledger, name: str, request: Request) -> None:
    """Judge one request by its attempts and runs, which are in order."""
    ask = request.asks[0]
    if ask.effect is Effect.SAFE:
        return
    if ask.effect is Effect.UNSAFE and len(request.runs) > 1:
        ledger.note(Rule.TWICE, name, "an unsafe request ran twice", request.runs[0], request.runs[1])
    if ask.effect is Effect.KEYED:
        judge_keyed_runs(ledger, name, ask, request.runs)
    unproven: Arrived | None = None  # the first attempt that may have run
    for arrival in request.arrivals:
        if unproven is not None:
            judge_second(ledger, name, ask, unproven, arrival)
        elif not proven(request, arrival):
            unproven = arrival
    refusal = next((answer for answer in request.answers if answer.kind is Kind.REFUSED), None)
    if refusal and unproven and not (ask.effect is Effect.KEYED and ask.group == "all"):
        ledger.note(Rule.TWICE, name, "refused though it may have run", unproven, refusal)


def proven(request: Request, arrival: Arrived) -> bool:
    """Whether the server said that this attempt never ran, before anything else was done."""
    return any(
        turned.server == arrival.server and turned.door == arrival.door and turned.at_us >= arrival.at_us
        for turned in request.turned
    )


def judge_second(ledger: Ledger, name: str, ask: Asked, first: Arrived, second: Arrived) -> None:
    if ask.effect is Effect.UNSAFE:
        ledger.note(Rule.TWICE, name, "an unsafe request sent again though it may have run", first, second)
    elif ask.group == "zone" and first.zone != second.zone:
        ledger.note(Rule.TWICE, name, "a keyed request sent again outside its group", first, second)
    elif ledger.times_judged and second.first_us > first.at_us + ask.window_us + ledger.slack_us:
        ledger.note(Rule.TWICE, name, "a keyed request sent again after its window", first, second)


def judge_keyed_runs(ledger: Ledger, name: str, ask: Asked, runs: list[Ran]) -> None:
    """Two runs in one window are two effects; a later one is another effect by the key's own terms."""
    for first, second in itertools.pairwise(runs):
        if second.at_us - first.at_us < ask.window_us:
            ledger.note(Rule.TWICE, name, "a keyed request ran twice", first, second)
