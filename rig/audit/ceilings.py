"""Rule 5, ceilings are kept: checks each customer's first attempts against the hard ceiling of its plan."""

from collections import defaultdict
from collections.abc import Iterable, Mapping

from rig.audit.figures import US_PER_S, Ceiling
from rig.audit.ledger import Ledger, Rule
from rig.audit.requests import Request
from rig.facts import Arrived, Asked

CEILING_SLACK_US = 150_000  # adds this much of the ceiling's rate to its slack, for delays on sockets
EPSILON_UNITS = 1e-6


def check_ceilings(ledger: Ledger, ceilings: Mapping[str, Ceiling], requests: Iterable[Request]) -> None:
    """Check the requests of all customers whose plan has a ceiling."""
    first_attempts: dict[tuple[str, str], list[tuple[Arrived, Asked]]] = defaultdict(list)
    for request in requests:
        if request.arrivals and request.asks[0].plan in ceilings:
            first = min(request.arrivals, key=lambda fact: fact.at_us)
            ask = request.asks[0]
            first_attempts[ask.plan, ask.customer].append((first, ask))
    for (plan, customer), sent in first_attempts.items():
        check_customer_ceiling(ledger, ceilings[plan], customer, sent)


def check_customer_ceiling(
    ledger: Ledger, ceiling: Ceiling, customer: str, sent: list[tuple[Arrived, Asked]]
) -> None:
    """Check one customer against a token bucket, which starts full and pays for first attempts only."""
    sent.sort(key=lambda pair: pair[0].at_us)
    tolerance_us = CEILING_SLACK_US + ledger.late_us
    allowed_level = -ceiling.slack - ceiling.rate * tolerance_us / US_PER_S
    level, at_us, previous = ceiling.burst, sent[0][0].at_us, sent[0][0]
    for arrival, ask in sent:
        level = min(ceiling.burst, level + ceiling.rate * (arrival.at_us - at_us) / US_PER_S) - ask.units
        at_us = arrival.at_us
        ledger.units_over = max(ledger.units_over, -level)
        if level < allowed_level - EPSILON_UNITS:
            ledger.add_violation(
                Rule.CEILING,
                f"customer {customer}",
                f"{-level:.1f} units above its ceiling, {-allowed_level:.1f} allowed",
                previous,
                arrival,
            )
        previous = arrival
