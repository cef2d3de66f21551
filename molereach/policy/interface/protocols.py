"""What the policy consults where it is given: cores without I/O."""

from dataclasses import dataclass
from typing import Generic, NamedTuple, Protocol, TypeVar

from molereach.policy.interface.events import GossipReceived
from molereach.policy.interface.messages import CustomerKey, LimitMessage, SpendingTotal

Message = TypeVar("Message", bound=LimitMessage | None, covariant=True)


@dataclass(frozen=True, slots=True)
class CustomerLimits:
    """What one front door knows of a customer's limits; shares from 0 to 1, units, seconds."""

    # This docstring and the field names are part of the fleet's published control API.

    plan: int
    share: float  # of the ceiling, usable here now
    store: float  # tokens of the ceiling: units that may be forwarded
    lent: dict[int, float]  # share by borrower
    borrowed: dict[int, float]  # share by lender
    oldest_s: float  # age of the oldest loan taken, 0 for none
    taken: float  # units forwarded under the ceiling since the account was opened
    spent: float  # units of the quota spent here, of which its owner is notified
    apart: list[int]  # at the owner: members whose local quotas are not in its tokens


class ReachableQuota(NamedTuple):
    """A customer's quota as seen from one proxy."""

    owner: int  # the proxy that keeps it
    fraction: float  # at the owner: of the quota, from 0 to 1, that this side of a partition may spend
    joined_units: float  # at the owner: that have joined its tokens since the last call


class PeerMessage(NamedTuple, Generic[Message]):
    """A message to a peer; None is a heartbeat, for which any message does."""

    peer: int
    message: Message


class LimitPolicy(Protocol):
    """Shares of ceilings that move, and how much of a quota may be spent here; a core without I/O.

    Without one, a gateway has its fixed share of each ceiling and takes the owner's last message on a quota
    as it is. Times are microseconds.
    """

    def start(self, now_us: int) -> None:
        """The proxy starts; called once, before all other methods."""

    def request_capacity(self, now_us: int, key: CustomerKey, units: float) -> None:
        """A request came that will take so many units of its customer's ceiling."""

    def has_capacity(self, now_us: int, key: CustomerKey, units: float) -> bool:
        """Whether so many units may be forwarded under the customer's ceiling now."""

    def consume(self, now_us: int, key: CustomerKey, units: float) -> None:
        """So many units are forwarded."""

    def reachable_quota(self, now_us: int, key: CustomerKey) -> ReachableQuota:
        """The customer's owner as seen from here, and what of the quota may be spent on this side."""

    def record_spending(self, now_us: int, key: CustomerKey, units: float, remaining_units: float) -> None:
        """So much of the quota was spent here, or given back where it is negative.

        `remaining_units` are left of the local quota, that of this proxy while it is cut off.
        """

    def apply_spending_total(self, now_us: int, sender: int, total: SpendingTotal) -> float:
        """Units that a peer's total takes from the customer's tokens at its owner; negative to add some."""

    def sends_totals(self, sender: int) -> bool:
        """Whether a peer sends totals, so that the spending in its other messages does not count."""

    def receive(self, now_us: int, message: GossipReceived) -> None:
        """Apply a peer's message, except for the spending totals in it, before the policy does."""

    def leave_messages(self) -> list[PeerMessage[LimitMessage]]:
        """The last messages, to all peers."""

    def mark_sent(self, now_us: int, peer: int) -> None:
        """A datagram has just been sent to a peer."""

    def due_messages(self, now_us: int) -> list[PeerMessage[LimitMessage | None]]:
        """Messages to peers by now."""

    @property
    def next_due_us(self) -> int:
        """When `due_messages` has something to do without an event."""

    def snapshot(self, customer_checksum: int, now_us: int) -> list[CustomerLimits]:
        """What is known of a customer, by the checksum of its name; it only reads."""
