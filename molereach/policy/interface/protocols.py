"""What the policy consults: cores without I/O that are handed to the gateway, or not."""

from dataclasses import dataclass
from typing import Protocol

from molereach.policy.interface.events import GossipReceived
from molereach.policy.interface.messages import CustomerKey, LimitMessage, SpendingTotal


@dataclass(frozen=True, slots=True)
class CustomerLimits:
    """What one gateway knows of a customer's limits under one plan; amounts in units.

    The field names are those of the fleet's control protocol.
    """

    plan: int
    share: float  # of the ceiling, held here now, from 0 to 1
    store: float  # units that may be forwarded under it
    lent: dict[int, float]  # fraction of the ceiling by borrower
    borrowed: dict[int, float]  # fraction of the ceiling by lender
    oldest_s: float  # age of the oldest loan borrowed, 0 for none
    taken: float  # units forwarded under the ceiling since the account was created
    spent: float  # units of the quota that were spent here and reported to the owner
    apart: list[int]  # at the owner: gateways whose part of the quota is not in its bucket


class LimitPolicy(Protocol):
    """Ceilings divided by loans, and quotas that hold during a network partition; a core without I/O.

    Without one, a gateway has a fixed part of each ceiling and goes by the owner's last reply on a quota.
    Amounts are in units, times in microseconds on the clock of the events.
    """

    def start(self, now_us: int) -> None:
        """The gateway starts; called once, before all others."""

    def request_capacity(self, now_us: int, key: CustomerKey, units: float) -> None:
        """A request was admitted that will need so much of its customer's ceiling."""

    def has_capacity(self, now_us: int, key: CustomerKey, units: float) -> bool:
        """Whether so much may be forwarded under the customer's ceiling now."""

    def consume(self, now_us: int, key: CustomerKey, units: float) -> None:
        """So much was forwarded."""

    def reachable_quota(self, now_us: int, key: CustomerKey) -> tuple[int, float, float]:
        """The customer's owner, the fraction of its quota that is reachable, and units that joined.

        The fraction, from 0 to 1, is what this side of a network partition may spend, where this gateway is
        the owner. The units have joined the owner's bucket since the last call.
        """

    def record_spending(self, now_us: int, key: CustomerKey, units: float, left: float) -> None:
        """So much of the quota was spent here (below 0: returned); `left` is in the local bucket."""

    def apply_spending_total(self, now_us: int, sender: int, total: SpendingTotal) -> float:
        """What is new in a total: units to be taken from the customer's bucket at its owner."""

    def sends_totals(self, sender: int) -> bool:
        """Whether the peer sends spending totals, so that the spending in its other messages is ignored."""

    def receive(self, now_us: int, message: GossipReceived) -> None:
        """A message of another gateway, before the policy applies it."""

    def leave_messages(self) -> list[tuple[int, LimitMessage]]:
        """The last messages before a graceful shutdown, each with its peer."""

    def mark_sent(self, now_us: int, peer: int) -> None:
        """A message has just been sent to the peer."""

    def due_messages(self, now_us: int) -> list[tuple[int, LimitMessage | None]]:
        """Messages to be sent by now, each with its peer; None asks for any message to the peer."""

    @property
    def next_due_us(self) -> int:
        """When `due_messages` has something to send without an event."""

    def snapshot(self, customer: int, now_us: int) -> list[CustomerLimits]:
        """What is known of a customer, by the checksum of its name; it only reads."""
