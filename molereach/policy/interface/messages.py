"""Messages between gateways: on customers' quotas, to and from their owners, and of the `LimitPolicy`.

Amounts are in units. Names of fields are not on the wire: `molereach.protocol.gossip_codec` and
`molereach.limits.gossip_codec` pack the values.
"""

from dataclasses import dataclass
from typing import NamedTuple


class CustomerKey(NamedTuple):
    """A customer under one plan, and the gateways of its set: consecutive ones from `set_first` on."""

    customer_checksum: int  # CRC-32 of the customer's name
    plan_index: int
    set_first: int
    set_size: int


@dataclass(frozen=True, slots=True)
class GossipMessage:
    """A report or request to a customer's owner, or the owner's reply.

    The first four fields are the `CustomerKey`.
    """

    customer_checksum: int
    plan_index: int
    set_first: int
    set_size: int
    is_reply: bool = False
    demand: float = 0.0  # not reported before; in a reply, of the whole set
    spent_units: float = 0.0  # not reported before
    requested_units: float = 0.0  # above 0 in a request, which the owner answers, and in the reply to it
    tokens: float = 0.0  # what the set has left, below 0 what it owes
    is_ceiling_granted: bool = False  # the reply brings the requested units of the ceiling's reserve
    is_within_quota: bool | None = None  # the owner's draw; in a request, True: the sender drew so


SPLIT_CEILING_PLAN_INDEX = 255  # in place of a plan: the sender keeps to the split fraction of ceilings


@dataclass(frozen=True, slots=True)
class LoanRequest:
    """A borrower's loan from one lender of a ceiling, and the loan that it needs.

    A higher number revokes all grants to lower ones.
    """

    key: CustomerKey
    number: int
    accepted: int  # the last request whose grant took effect
    borrower_share: int  # of the ceiling, in 1/10,000
    wanted_share: int
    returned_units: float = 0.0  # of the part that is given up


@dataclass(frozen=True, slots=True)
class LoanGrant:
    """A lender's reply to the request of that number."""

    key: CustomerKey
    number: int
    granted_share: int  # of the ceiling, in 1/10,000: the complete loan
    granted_units: float = 0.0  # that come with it once


@dataclass(frozen=True, slots=True)
class Join:
    """A gateway has started: what it lent in an earlier incarnation must not be used from now on."""


@dataclass(frozen=True, slots=True)
class JoinAcknowledged:
    """The reply to a `Join`: the sender holds no loan of that gateway any more."""

    incarnation: int  # that joined
    total_count: int = 0  # customers owned by that gateway whose spending totals follow


@dataclass(frozen=True, slots=True)
class SpendingTotal:
    """What a gateway has spent of a customer's quota since its start, and what is left in its bucket."""

    key: CustomerKey
    spent_units: float
    remaining_units: float


@dataclass(frozen=True, slots=True)
class Leave:
    """A gateway has shut down gracefully: it spends nothing any more."""


LimitMessage = LoanRequest | LoanGrant | Join | JoinAcknowledged | SpendingTotal | Leave
