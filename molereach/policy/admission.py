"""Admission by quota: whether a request is within its customer's quota.

A request is within quota while the local bucket lasts. Else it is drawn with the probability quota / demand
(`quota`), at the customer's owner where the others' demand is known: a gateway elsewhere sends the owner a
request and lets the client's request wait for the reply. Messages may be lost, so the request is repeated;
after a few, or where the owner is silent, this gateway draws by what it knows.
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

OWNER_REPLY_TIMEOUT_US = 160_000
OBJECTIVE_DIVISOR = 3  # one reply is awaited for a third of the latency objective at most
MAX_OWNER_REQUESTS = 3
OWNER_REQUEST_FRACTION = 0.5  # of the messages that a gateway can receive: requests for one customer


def reply_timeout_us(pending: PendingRequest) -> int:
    """How long one reply of the owner is awaited."""
    return min(OWNER_REPLY_TIMEOUT_US, pending.request_class.latency_objective_us // OBJECTIVE_DIVISOR)


def last_decision_us(pending: PendingRequest) -> int:
    """Until when a request may wait for the owner, so that it can still be rejected in time."""
    return min(pending.deadline_us - 4 * TICK_US, pending.reject_by_us - 2 * TICK_US)


class Admission:
    """Requests that wait for their owners' replies.

    `decide` is called for each request in turn, with the probability that it is within quota.
    """

    __slots__ = (
        "awaiting_owner",
        "customers",
        "decide",
        "max_request_demand",
        "outbox",
        "peers",
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
        self.peers = PeerLiveness()
        self.outbox = GossipOutbox(settings, customers, self.peers)
        self.awaiting_owner: list[PendingRequest] = []
        # Units of a customer's recent demand past which only some requests are sent to the owner.
        self.max_request_demand = (
            OWNER_REQUEST_FRACTION * settings.gossip_messages_per_s * DEMAND_DECAY_US / SECOND_US
        )

    def admit(self, now_us: int, pending: PendingRequest) -> None:
        """Decide by the local bucket while it lasts; else draw here, or send the owner a request."""
        account = pending.account
        units = pending.request.units
        account.local_demand += units
        account.unreported_demand += units
        has_fresh_reply = now_us - account.replied_at_us < REPLY_FRESH_US
        goes_by_reply = has_fresh_reply and self.random.random() * account.demand > self.max_request_demand
        if (
            not account.plan.max_in_flight
            and account.local_tokens >= units
            and not account.ceiling.needs_grant(units)
        ):
            self.decide(pending, 1.0)
            self.outbox.report_spending(now_us, account)
        elif (
            goes_by_reply
            or account.owner == self.settings.proxy_index
            or not account.plan.quota_rate
            or self.peers.is_silent(now_us, account.owner)
        ):
            self.decide_here(now_us, pending)
        else:
            self.request_from_owner(now_us, pending)

    def decide_here(self, now_us: int, pending: PendingRequest) -> None:
        """Decide by what is known here; where the ceiling's bucket is short, units of its reserve are needed.

        Only requests that this gateway's draw admits are sent to the owner for these.
        """
        account = pending.account
        units = pending.request.units
        if not account.ceiling.needs_grant(units):
            self.decide(pending, account.admission_probability(units))
        elif account.owner == self.settings.proxy_index:
            if self.outbox.grant_ceiling(account, units):
                account.ceiling.add_grant(now_us, now_us + GRANT_TTL_US, units)
            self.decide(pending, account.admission_probability(units))
        elif self.peers.is_silent(now_us, account.owner):
            self.decide(pending, account.admission_probability(units))
        else:
            pending.is_drawn_here = self.random.random() < account.admission_probability(units)
            if pending.is_drawn_here:
                self.request_from_owner(now_us, pending)
            else:
                self.decide(pending, 0.0)

    def request_from_owner(self, now_us: int, pending: PendingRequest) -> None:
        """Send the customer's owner a request, and let the client's request wait for the reply."""
        account = pending.account
        pending.owner_requested_at_us = now_us
        pending.owner_request_count += 1
        pending.decide_by_us = min(now_us + reply_timeout_us(pending), last_decision_us(pending))
        self.peers.record_request(now_us, account.owner)
        account.unanswered_since_us = min(account.unanswered_since_us, now_us)
        self.awaiting_owner.append(pending)
        self.outbox.enqueue(account.owner, account, pending.request.units, pending.is_drawn_here or None)

    def resolve_reply(
        self, now_us: int, account: CustomerAccount, is_ceiling_granted: bool, is_within_quota: bool | None
    ) -> None:
        """The owner has answered a request for that customer: decide on the one that waits longest.

        `is_within_quota` is the owner's draw, None where it did not draw. Requests whose time to wait is over
        are decided along with it.
        """
        answered = [each for each in self.awaiting_owner if each.account is account][:1]
        ready = answered + self.take_expired(now_us, answered)
        for pending in [each for each in ready if not each.is_closed]:
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
        """Requests whose reply is late: send another request while there is time, else decide here."""
        ready = self.take_expired(now_us, [])
        for pending in [each for each in ready if not each.is_closed]:
            may_wait = now_us + reply_timeout_us(pending) < last_decision_us(pending)
            if pending.owner_request_count < MAX_OWNER_REQUESTS and may_wait:
                self.request_from_owner(now_us, pending)
            else:
                self.decide_unanswered(pending)

    def take_expired(self, now_us: int, answered: list[PendingRequest]) -> list[PendingRequest]:
        """Remove the answered requests and those whose time to wait is over; return the latter."""
        others = [each for each in self.awaiting_owner if each not in answered]
        self.awaiting_owner = [each for each in others if each.decide_by_us > now_us]
        return [each for each in others if each.decide_by_us <= now_us]

    def decide_unanswered(self, pending: PendingRequest) -> None:
        """Decide by what is known here, or as this gateway drew before it sent the request."""
        probability = 1.0
        if not pending.is_drawn_here:
            probability = pending.account.admission_probability(pending.request.units)
        self.discount(pending, probability * pending.owner_request_count)
        self.decide(pending, probability)

    def decide_as_drawn(self, pending: PendingRequest, is_within_quota: bool) -> None:
        """Decide as the owner drew for the last request; earlier ones may have been lost."""
        probability = 1.0
        if not pending.is_drawn_here:
            probability = pending.account.admission_probability(pending.request.units)
        self.discount(pending, is_within_quota + probability * (pending.owner_request_count - 1))
        self.decide(pending, float(is_within_quota))

    def discount(self, pending: PendingRequest, counted_requests: float) -> None:
        """Report less: the owner has counted the units already with so many requests.

        Not with a `LimitPolicy`: the owner counts spending totals then.
        """
        if not self.customers.limits:
            pending.account.unreported_units -= pending.request.units * counted_requests
