"""Admission control by quota: decides whether a request is within its customer's quota.

A request is within quota while the local bucket covers it. Otherwise a random draw admits it with the
probability quota / demand (see `quota`). The draw is made at the customer's owner, which knows the demand at
all gateways: another gateway sends the owner a request and holds the client's request until the reply. As
messages may be lost, the request is repeated; after a few of them, or if the owner is silent, this gateway
draws with what it knows itself.
"""

from collections.abc import Callable
from random import Random

from molereach.policy.ceiling import GRANT_TTL_US
from molereach.policy.customers import Customers
from molereach.policy.gossip import GossipOutbox
from molereach.policy.interface.settings import Settings
from molereach.policy.peer_liveness import PeerLiveness
from molereach.policy.pending_request import PendingRequest
from molereach.policy.quota import DEMAND_DECAY_US, REPLY_FRESH_US, CustomerAccount
from molereach.policy.time_units import SECOND_US, TICK_US

OWNER_REPLY_TIMEOUT_US = 160_000  # upper bound of the wait for one reply
REPLY_TIMEOUT_OBJECTIVE_DIVISOR = 3  # the wait is also at most a third of the latency objective
MAX_OWNER_REQUESTS = 3
OWNER_REQUEST_FRACTION = 0.5  # of the messages that a gateway can receive, for requests of one customer


def reply_timeout_us(pending: PendingRequest) -> int:
    """How long to wait for one reply of the owner."""
    return min(
        OWNER_REPLY_TIMEOUT_US, pending.request_class.latency_objective_us // REPLY_TIMEOUT_OBJECTIVE_DIVISOR
    )


def decision_deadline_us(pending: PendingRequest) -> int:
    """The latest time for a decision, so that the request can still be rejected in time."""
    return min(pending.deadline_us - 4 * TICK_US, pending.reject_by_us - 2 * TICK_US)


class Admission:
    """Admits requests, some after a reply of the owner; `awaiting_owner` holds those that wait for it.

    `decide` is called once for each request, with the probability that it is within quota.
    """

    __slots__ = (
        "awaiting_owner",
        "customers",
        "decide",
        "max_request_demand",
        "outbox",
        "peer_liveness",
        "random",
        "settings",
    )

    def __init__(
        self,
        settings: Settings,
        random: Random,
        customers: Customers,
        decide: Callable[[PendingRequest, float], None],
    ) -> None:
        self.settings = settings
        self.random = random
        self.customers = customers
        self.decide = decide
        self.peer_liveness = PeerLiveness()
        self.outbox = GossipOutbox(settings, customers, self.peer_liveness)
        self.awaiting_owner: list[PendingRequest] = []
        # Recent demand of a customer, in units, above which only a part of its requests go to the owner.
        self.max_request_demand = (
            OWNER_REQUEST_FRACTION * settings.gossip_messages_per_s * DEMAND_DECAY_US / SECOND_US
        )

    def admit(self, now_us: int, pending: PendingRequest) -> None:
        """Decide by the local bucket if it covers the request; else draw here or send the owner a request."""
        account = pending.account
        units = pending.request.units
        account.local_demand += units
        account.unreported_demand += units
        has_fresh_reply = now_us - account.replied_at_us < REPLY_FRESH_US
        relies_on_reply = has_fresh_reply and self.random.random() * account.demand > self.max_request_demand
        if (
            not account.plan.max_in_flight
            and account.local_tokens >= units
            and not account.ceiling.needs_grant(units)
        ):
            self.decide(pending, 1.0)
            self.outbox.report_spending(now_us, account)
        elif (
            relies_on_reply
            or account.owner == self.settings.proxy_index
            or not account.plan.quota_rate
            or self.peer_liveness.is_silent(now_us, account.owner)
        ):
            self.decide_locally(now_us, pending)
        else:
            self.request_from_owner(now_us, pending)

    def decide_locally(self, now_us: int, pending: PendingRequest) -> None:
        """Decide with what is known here.

        If the ceiling's bucket holds too little, units of its reserve are needed as well. The owner is sent a
        request for these only if this gateway's draw admits the client's request.
        """
        account = pending.account
        units = pending.request.units
        if not account.ceiling.needs_grant(units):
            self.decide(pending, account.admission_probability(units))
        elif account.owner == self.settings.proxy_index:
            if self.outbox.grant_ceiling(account, units):
                account.ceiling.add_grant(now_us, now_us + GRANT_TTL_US, units)
            self.decide(pending, account.admission_probability(units))
        elif self.peer_liveness.is_silent(now_us, account.owner):
            self.decide(pending, account.admission_probability(units))
        else:
            pending.is_drawn_locally = self.random.random() < account.admission_probability(units)
            if pending.is_drawn_locally:
                self.request_from_owner(now_us, pending)
            else:
                self.decide(pending, 0.0)

    def request_from_owner(self, now_us: int, pending: PendingRequest) -> None:
        """Send a request to the customer's owner and hold the client's request until the reply."""
        account = pending.account
        pending.owner_requested_at_us = now_us
        pending.owner_request_count += 1
        pending.decide_by_us = min(now_us + reply_timeout_us(pending), decision_deadline_us(pending))
        self.peer_liveness.record_request(now_us, account.owner)
        account.unanswered_since_us = min(account.unanswered_since_us, now_us)
        self.awaiting_owner.append(pending)
        self.outbox.enqueue(account.owner, account, pending.request.units, pending.is_drawn_locally or None)

    def resolve_reply(
        self, now_us: int, account: CustomerAccount, is_ceiling_granted: bool, is_within_quota: bool | None
    ) -> None:
        """Decide on the longest waiting request of the customer after a reply of the owner.

        `is_within_quota` is the owner's draw, or None if it did not draw. Requests of any customer whose wait
        has expired are decided as well.
        """
        answered = [pending for pending in self.awaiting_owner if pending.account is account][:1]
        ready = answered + self.take_expired(now_us, answered)
        for pending in [entry for entry in ready if not entry.is_closed]:
            if pending.account is not account:
                self.decide_unanswered(pending)
                continue
            if is_ceiling_granted:
                until_us = pending.owner_requested_at_us + GRANT_TTL_US
                account.ceiling.add_grant(now_us, until_us, pending.request.units)
            if is_within_quota is None:
                self.decide_unanswered(pending)
            else:
                self.decide_as_drawn(pending, is_within_quota)

    def resolve_expired(self, now_us: int) -> None:
        """Repeat the request to the owner for each expired wait if there is time left, else decide here."""
        ready = self.take_expired(now_us, [])
        for pending in [entry for entry in ready if not entry.is_closed]:
            may_wait = now_us + reply_timeout_us(pending) < decision_deadline_us(pending)
            if pending.owner_request_count < MAX_OWNER_REQUESTS and may_wait:
                self.request_from_owner(now_us, pending)
            else:
                self.decide_unanswered(pending)

    def take_expired(self, now_us: int, answered: list[PendingRequest]) -> list[PendingRequest]:
        """Remove the answered requests and those whose wait has expired; return the latter."""
        others = [pending for pending in self.awaiting_owner if pending not in answered]
        self.awaiting_owner = [pending for pending in others if pending.decide_by_us > now_us]
        return [pending for pending in others if pending.decide_by_us <= now_us]

    def decide_unanswered(self, pending: PendingRequest) -> None:
        """Decide with what is known here, or by the draw made here before the owner was sent a request."""
        probability = 1.0
        if not pending.is_drawn_locally:
            probability = pending.account.admission_probability(pending.request.units)
        self.subtract_counted_units(pending, probability * pending.owner_request_count)
        self.decide(pending, probability)

    def decide_as_drawn(self, pending: PendingRequest, is_within_quota: bool) -> None:
        """Decide by the owner's draw for the last request; earlier requests may have been lost."""
        probability = 1.0
        if not pending.is_drawn_locally:
            probability = pending.account.admission_probability(pending.request.units)
        self.subtract_counted_units(
            pending, is_within_quota + probability * (pending.owner_request_count - 1)
        )
        self.decide(pending, float(is_within_quota))

    def subtract_counted_units(self, pending: PendingRequest, counted_requests: float) -> None:
        """Subtract from the next report what the owner has already counted, `counted_requests` times.

        Not with a `LimitPolicy`, since the owner then counts spending totals instead.
        """
        if not self.customers.limits:
            pending.account.unreported_units -= pending.request.units * counted_requests
