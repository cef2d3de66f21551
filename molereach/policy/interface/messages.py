"""Messages between gateways: quota reports and replies, and the messages of the `LimitPolicy`.

Amounts are in units. Field names do not appear on the wire: `molereach.protocol.gossip_codec` and
`molereach.limits.gossip_codec` encode the values by position.
"""

from dataclasses import dataclass
from typing import NamedTuple


class CustomerKey(NamedTuple):
    """A customer under one plan, and its set: `set_size` consecutive gateways starting at `set_first`."""

    customer_checksum: int  # CRC-32 of the customer's name
    plan_index: int
    set_first: int
    set_size: int


@dataclass(frozen=True, slots=True)
class GossipMessage:
    """A report or request to the gateway that owns a customer's quota, or the owner's reply.

    The first four fields are those of the `CustomerKey`.
    """

    customer_checksum: int
    plan_index: int
    set_first: int
    set_size: int
    is_reply: bool = False
    demand: float = 0.0  # demand not reported before; in a reply, the demand of the whole set
    spent_units: float = 0.0  # spending not reported before
    requested_units: float = 0.0  # above 0 in a request, which the owner answers, and in that answer
    tokens: float = 0.0  # units that the set has left; a debt when negative
    is_ceiling_granted: bool = False  # the reply grants the requested units from the ceiling's reserve
    is_within_quota: bool | None = None  # the owner's random draw; True in a request: the sender's draw


SPLIT_CEILING_PLAN_INDEX = 255  # reserved index: the sender uses only the split fraction of its ceilings


@dataclass(frozen=True, slots=True)
class LoanRequest:
    """What a borrower holds of one lender's share of a ceiling, and what it needs.

    A request revokes all grants that answered requests with lower numbers.
    """

    key: CustomerKey
    number: int
    accepted: int  # number of the last request whose grant took effect
    borrower_share: int  # of the ceiling, in 1/10,000
    wanted_share: int
    returned_units: float = 0.0  # tokens that belong to the share that is returned


@dataclass(frozen=True, slots=True)
class LoanGrant:
    """A lender's reply to the request with the same number."""

    key: CustomerKey
    number: int
    granted_share: int  # of the ceiling, in 1/10,000: the total loan, not an increment
    granted_units: float = 0.0  # tokens that are transferred once with this grant


@dataclass(frozen=True, slots=True)
class Join:
    """A gateway has started: loans that it granted in an earlier incarnation are no longer valid."""


@dataclass(frozen=True, slots=True)
class JoinAcknowledged:
    """The reply to a `Join`: the sender no longer uses any loan from that gateway."""

    incarnation: int  # of the gateway that joined
    total_count: int = 0  # number of spending totals that follow, of customers which that gateway owns


@dataclass(frozen=True, slots=True)
class SpendingTotal:
    """What a gateway has spent of a customer's quota since it started, and what its local bucket holds."""

    key: CustomerKey
    spent_units: float
    remaining_units: float


@dataclass(frozen=True, slots=True)
class Leave:
    """A gateway has shut down gracefully and spends nothing from now on."""


LimitMessage = LoanRequest | LoanGrant | Join | JoinAcknowledged | SpendingTotal | Leave
