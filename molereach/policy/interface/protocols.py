"""Services that the policy consults if the caller supplies them; they do no I/O."""

from dataclasses import dataclass
from typing import Generic, NamedTuple, Protocol, TypeVar

from molereach.policy.interface.events import GossipReceived
from molereach.policy.interface.messages import CustomerKey, LimitMessage, SpendingTotal

Message = TypeVar("Message", bound=LimitMessage | None, covariant=True)


@dataclass(frozen=True, slots=True)
class CustomerLimits:
    """What one front door knows of a customer's limits; shares from 0 to 1, units, seconds."""

    # This docstring and the field names appear in the fleet's published control API.

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
    """The owner of a customer's quota, and what may be spent of the quota, as seen from one proxy."""

    owner: int  # index of the proxy that counts the quota
    fraction: float  # at the owner: part of the quota, from 0 to 1, that this side of a partition may spend
    joined_units: float  # at the owner: units added to its tokens since the last call


class PeerMessage(NamedTuple, Generic[Message]):
    """A message to a peer; None stands for a heartbeat, which any other message replaces."""

    peer: int
    message: Message


class LimitPolicy(Protocol):
    """Moves shares of ceilings between gateways and decides how much of a quota may be spent here.

    Without a limit policy, a gateway has a fixed share of each ceiling and uses the owner's last reply about
    a quota unchanged. Implementations do no I/O. Times are microseconds.
    """

    def start(self, now_us: int) -> None:
        """Start at that time; called once, before any other method."""

    def request_capacity(self, now_us: int, key: CustomerKey, units: float) -> None:
        """Announce a request that will need `units` of its customer's ceiling."""

    def has_capacity(self, now_us: int, key: CustomerKey, units: float) -> bool:
        """Whether `units` may be forwarded under the customer's ceiling now."""

    def consume(self, now_us: int, key: CustomerKey, units: float) -> None:
        """Count `units` as forwarded under the customer's ceiling."""

    def reachable_quota(self, now_us: int, key: CustomerKey) -> ReachableQuota:
        """The owner of the customer's quota, and what may be spent on this side of a partition."""

    def record_spending(self, now_us: int, key: CustomerKey, units: float, remaining_units: float) -> None:
        """Record units of the quota that were spent here; negative units were returned.

        `remaining_units` is what the local bucket still holds: all that this proxy may spend while it is cut
        off from its peers.
        """

    def apply_spending_total(self, now_us: int, sender: int, total: SpendingTotal) -> float:
        """Units by which a peer's total reduces the customer's tokens at its owner; negative to add."""

    def sends_totals(self, sender: int) -> bool:
        """Whether a peer sends spending totals, so that spending in its other messages is ignored."""

    def receive(self, now_us: int, message: GossipReceived) -> None:
        """Apply a peer's messages except its spending totals; called before the policy applies them."""

    def leave_messages(self) -> list[PeerMessage[LimitMessage]]:
        """The messages that announce the shutdown to all peers."""

    def mark_sent(self, now_us: int, peer: int) -> None:
        """Record that a datagram was sent to a peer."""

    def due_messages(self, now_us: int) -> list[PeerMessage[LimitMessage | None]]:
        """The messages to peers that are due by now."""

    @property
    def next_due_us(self) -> int:
        """The time by which `due_messages` must be called even if no event occurs."""

    def snapshot(self, customer_checksum: int, now_us: int) -> list[CustomerLimits]:
        """What is known about a customer, by the checksum of its name; changes nothing."""
