"""Rule 5, ceilings are kept: first attempts of each customer against its plan's hard ceiling."""

from collections import defaultdict
from collections.abc import Iterable, Mapping

from rig.audit.figures import Ceiling, S
from rig.audit.ledger import Ledger, Rule
from rig.audit.requests import Request
from rig.facts import Arrived, Asked

CEILING_SLACK_US = 150_000  # of the ceiling's rate, that its slack is wider by on sockets
EPS = 1e-6


def judge_ceilings(ledger: Ledger, ceilings: Mapping[str, Ceiling], requests: Iterable[Request]) -> None:
    firsts: dict[tuple[str, str], list[tuple[Arrived, Asked]]] = defaultdict(list)
    for request in requests:
        if request.arrivals and request.asks[0].plan in ceilings:
            first = min(request.arrivals, key=lambda fact: fact.at_us)
            ask = request.asks[0]
            firsts[ask.plan, ask.customer].append((first, ask))
    for (plan, customer), sent in firsts.items():
        judge_ceiling(ledger, ceilings[plan], customer, sent)


def judge_ceiling(ledger: Ledger, ceiling: Ceiling, customer: str, sent: list[tuple[Arrived, Asked]]) -> None:
    """One customer's store: it starts full, fills at the rate, and each first attempt takes its units."""
    sent.sort(key=lambda pair: pair[0].at_us)
    late_us = CEILING_SLACK_US + ledger.late_us
    lowest = -ceiling.slack - ceiling.rate * late_us / S
    level, at_us, previous = ceiling.burst, sent[0][0].at_us, sent[0][0]
    for arrival, ask in sent:
        level = min(ceiling.burst, level + ceiling.rate * (arrival.at_us - at_us) / S) - ask.units
        at_us = arrival.at_us
        ledger.units_over = max(ledger.units_over, -level)
        if level < lowest - EPS:
            ledger.note(
                Rule.CEILING,
                f"customer {customer}",
                f"{-level:.1f} units above its ceiling, {-lowest:.1f} allowed",
                previous,
                arrival,
            )
        previous = arrival
