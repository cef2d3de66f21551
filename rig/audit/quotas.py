"""How much of their quotas customers got: measured, not a rule."""

from collections import defaultdict
from collections.abc import Iterable, Mapping

from rig.audit.figures import US_PER_S, Quota
from rig.audit.ledger import Ledger, QuotaUse
from rig.audit.requests import Request
from rig.facts import Asked


def measure_quotas(ledger: Ledger, quotas: Mapping[str, Quota], requests: Iterable[Request]) -> None:
    """Add the quota use of each customer whose plan has a quota to the ledger."""
    sent_requests: dict[tuple[str, str], list[tuple[Asked, int | None]]] = defaultdict(list)
    for request in requests:
        if request.asks[0].plan in quotas:
            ask = request.asks[0]
            sent = min((arrival.at_us for arrival in request.arrivals), default=None)
            sent_requests[ask.plan, ask.customer].append((ask, sent))
    for (plan, customer), of_customer in sent_requests.items():
        ledger.quotas.append(quota_use(quotas[plan], customer, of_customer))


def quota_use(quota: Quota, customer: str, sent_requests: list[tuple[Asked, int | None]]) -> QuotaUse:
    """The quota use of one customer, from its requests with the time at which each was sent on, if it was.

    The quota is a token bucket that is full at the first request.
    """
    use = QuotaUse(customer, asked=sum(ask.units for ask, _ in sent_requests))
    level, at_us = quota.burst, 0
    for ask in sorted((ask for ask, _ in sent_requests), key=lambda ask: ask.at_us):
        level, at_us = min(quota.burst, level + quota.rate * (ask.at_us - at_us) / US_PER_S), ask.at_us
        if level >= ask.units:
            level, use.entitled = level - ask.units, use.entitled + ask.units
    level, at_us = quota.burst, 0
    for sent_us, units in sorted((sent, ask.units) for ask, sent in sent_requests if sent is not None):
        level = min(quota.burst, level + quota.rate * (sent_us - at_us) / US_PER_S) - units
        at_us, use.granted, use.over = sent_us, use.granted + units, max(use.over, -level)
    return use
