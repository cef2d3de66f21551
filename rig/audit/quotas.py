"""What customers were sent on of their plans' quotas: counted, not judged."""

from collections import defaultdict
from collections.abc import Iterable, Mapping

from rig.audit.figures import Quota, S
from rig.audit.ledger import Ledger, QuotaUse
from rig.audit.requests import Request
from rig.facts import Asked


def count_quotas(ledger: Ledger, quotas: Mapping[str, Quota], requests: Iterable[Request]) -> None:
    tries: dict[tuple[str, str], list[tuple[Asked, int | None]]] = defaultdict(list)
    for request in requests:
        if request.asks[0].plan in quotas:
            ask = request.asks[0]
            sent = min((arrival.at_us for arrival in request.arrivals), default=None)
            tries[ask.plan, ask.customer].append((ask, sent))
    for (plan, customer), each in tries.items():
        ledger.quotas.append(quota_use(quotas[plan], customer, each))


def quota_use(quota: Quota, customer: str, tries: list[tuple[Asked, int | None]]) -> QuotaUse:
    """One customer's tries, with when each was sent on, against a store that is full at the first of them."""
    use = QuotaUse(customer, asked=sum(ask.units for ask, _ in tries))
    level, at_us = quota.burst, 0
    for ask in sorted((ask for ask, _ in tries), key=lambda ask: ask.at_us):
        level, at_us = min(quota.burst, level + quota.rate * (ask.at_us - at_us) / S), ask.at_us
        if level >= ask.units:
            level, use.entitled = level - ask.units, use.entitled + ask.units
    level, at_us = quota.burst, 0
    for sent_us, units in sorted((sent, ask.units) for ask, sent in tries if sent is not None):
        level = min(quota.burst, level + quota.rate * (sent_us - at_us) / S) - units
        at_us, use.granted, use.over = sent_us, use.granted + units, max(use.over, -level)
    return use
