"""What the decisions consult: cores without I/O that are handed in, or not."""

from dataclasses import dataclass
from typing import Protocol

from molereach.policy.interface.events import GossipReceived
from molereach.policy.interface.messages import CustomerKey, LimitMessage, SpendingTotal


@dataclass(frozen=True, slots=True)
class CustomerLimits:
    """What one front door knows of a customer's limits; shares from 0 to 1, units, seconds."""

    plan: int
    share: float  # of the ceiling, held here now
    store: float  # units that may be sent on under it
    lent: dict[int, float]  # share by borrower
    borrowed: dict[int, float]  # share by lender
    oldest_s: float  # age of the oldest loan taken, 0 for none
    taken: float  # units sent on under the ceiling, since the account was opened
    spent: float  # units of the quota spent here and told to its home
    apart: list[int]  # at the home: whose parts are not in its store


class LimitPolicy(Protocol):
    """Shares of ceilings that move, and how much of a quota may be spent here; a core without I/O.

    Without one, a gateway has its fixed part of each ceiling and takes the last word on a quota as it is.
    """

    def start(self, now_us: int) -> None:
        """The gateway lives from now on; called once, before all others."""

    def request_capacity(self, now_us: int, key: CustomerKey, units: float) -> None:
        """A try came that will take so much of its customer's ceiling."""

    def has_capacity(self, now_us: int, key: CustomerKey, units: float) -> bool:
        """Whether so much may be sent on under the customer's ceiling now."""

    def consume(self, now_us: int, key: CustomerKey, units: float) -> None:
        """So much was sent on."""

    def reachable_quota(self, now_us: int, key: CustomerKey) -> tuple[int, float, float]:
        """The customer's home as seen from here; where that is this gateway, the part of the quota, from 0 to
        1, that this side of a split may spend; and units that have joined the store since the last call."""

    def record_spending(self, now_us: int, key: CustomerKey, units: float, left: float) -> None:
        """So much of the quota was spent here (below 0: given back), and so much of the part here is left."""

    def apply_spending_total(self, now_us: int, sender: int, total: SpendingTotal) -> float:
        """What is new in a total, in units to be taken from the customer's store at its home."""

    def sends_totals(self, sender: int) -> bool:
        """Whether the other gateway tells totals, so that what its words say of spending is passed over."""

    def receive(self, now_us: int, message: GossipReceived) -> None:
        """A message from another gateway, before the module looks at its words."""

    def leave_messages(self) -> list[tuple[int, LimitMessage]]:
        """The last words, for each a peer."""

    def mark_sent(self, now_us: int, peer: int) -> None:
        """A message has just left for a peer."""

    def due_messages(self, now_us: int) -> list[tuple[int, LimitMessage | None]]:
        """Words to peers by now; None asks for a message to the peer even if there is no word for it."""

    @property
    def next_due_us(self) -> int:
        """When `due` has something to do without an event."""

    def snapshot(self, customer: int, now_us: int) -> list[CustomerLimits]:
        """What is known of a customer, by the checksum of its name; it only reads."""
