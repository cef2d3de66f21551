"""Handling of gossip messages: reports and requests that an owner receives, and replies of owners.

The owner adds up what the gateways of the set request and spend. It draws for each request itself: if the
sender drew and reported the result later, the owner would have to count the expected value until then.
"""

from random import Random

from molereach.policy.admission import Admission
from molereach.policy.interface.events import GossipReceived
from molereach.policy.interface.messages import (
    SPLIT_CEILING_PLAN_INDEX,
    CustomerKey,
    GossipMessage,
    SpendingTotal,
)
from molereach.policy.interface.settings import Settings
from molereach.policy.quota import CustomerAccount
from molereach.policy.time_units import NEVER_US


class GossipReceiver:
    """Applies gossip messages to the accounts of customers whose set includes this gateway."""

    __slots__ = ("admission", "customers", "outbox", "peer_liveness", "random", "settings")

    def __init__(self, settings: Settings, random: Random, admission: Admission) -> None:
        self.settings = settings
        self.random = random
        self.admission = admission
        self.customers = admission.customers
        self.outbox = admission.outbox
        self.peer_liveness = admission.peer_liveness

    def receive(self, now_us: int, event: GossipReceived) -> None:
        """Apply the messages of one peer, in order."""
        self.peer_liveness.record_message(now_us, event.sender)
        limits = self.customers.limits
        if limits:
            limits.receive(now_us, event)
        for message in event.messages:
            if isinstance(message, GossipMessage):
                self.apply_message(now_us, event.sender, message)
            elif limits and isinstance(message, SpendingTotal) and self.is_in_set(message.key):
                self.customers.apply_spending_total(now_us, event.sender, message)

    def apply_message(self, now_us: int, sender: int, message: GossipMessage) -> None:
        """Apply one message about a customer, or a split advertisement."""
        if message.plan_index == SPLIT_CEILING_PLAN_INDEX:
            self.peer_liveness.record_split_advertisement(now_us, sender)
        key = CustomerKey(message.customer_checksum, message.plan_index, message.set_first, message.set_size)
        if not self.is_in_set(key):
            return
        account = self.customers.refreshed_account(now_us, key)
        if message.is_reply:
            self.apply_reply(now_us, account, message)
        elif account.owner == self.settings.proxy_index:
            self.apply_report(sender, account, message)

    def apply_reply(self, now_us: int, account: CustomerAccount, message: GossipMessage) -> None:
        """Apply an owner's reply: the state of the whole set, and its decision on a request."""
        account.replied_at_us = now_us
        account.unanswered_since_us = NEVER_US
        account.tokens = message.tokens
        account.remote_demand = max(0.0, message.demand - account.local_demand)
        account.local_tokens = min(account.local_tokens, max(0.0, message.tokens / account.set_size))
        if message.requested_units:
            self.admission.resolve_reply(now_us, account, message.is_ceiling_granted, message.is_within_quota)
        else:
            self.admission.resolve_expired(now_us)

    def apply_report(self, sender: int, account: CustomerAccount, message: GossipMessage) -> None:
        """At the owner: count a peer's demand and spending, decide on its request, and reply."""
        if not account.has_member_report:  # an owner that has just started has a full bucket
            account.has_member_report = True
            account.tokens = min(account.tokens, message.tokens)
        account.remote_demand += message.demand
        limits = self.customers.limits
        sends_totals = limits is not None and limits.sends_totals(sender)
        account.spend(0.0 if sends_totals else message.spent_units)
        is_within_quota = message.is_within_quota
        if message.requested_units and not is_within_quota:  # otherwise the sender has drawn
            probability = account.admission_probability(message.requested_units)
            is_within_quota = self.random.random() < probability
        if message.requested_units or account.tokens < account.plan.quota_burst / 2:
            self.outbox.enqueue(sender, account, message.requested_units, is_within_quota)
        account.spend(0.0 if sends_totals or not is_within_quota else message.requested_units)

    def is_in_set(self, key: CustomerKey) -> bool:
        """Whether the key is valid and the customer's set includes this gateway."""
        proxy_count = self.settings.proxy_count
        is_valid = (
            key.plan_index < len(self.settings.plans)
            and key.set_first < proxy_count
            and 0 < key.set_size <= proxy_count
        )
        return is_valid and (self.settings.proxy_index - key.set_first) % proxy_count < key.set_size
