"""What gateways tell each other: of customers to their homes, and of shares of ceilings, totals and lives."""

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
    """What one gateway tells another of a customer: to its home, or from there when it answers.

    A customer goes by a checksum of its name. `demand` and `spent` are new to the home; in an answer,
    `demand` is that of the whole set. `asked` waits for an answer; `level` is what the set has left or owes.
    `inside`: whether the home lets in what was asked, as it drew; in an ask, that the asker drew so.
    `granted`: units as asked come with the answer from the home's share of the ceiling.
    """

    customer_checksum: int
    plan_index: int
    set_first: int
    set_size: int
    is_reply: bool = False
    demand: float = 0.0
    spent_units: float = 0.0
    requested_units: float = 0.0
    tokens: float = 0.0
    is_ceiling_granted: bool = False
    is_within_quota: bool | None = None


SPLIT_CEILING_MARK = 255  # in place of a plan: the sender keeps no more of any ceiling than its split share


@dataclass(frozen=True, slots=True)
class LoanRequest:
    """A borrower's state with one lender of a ceiling's share, and what it would hold; shares in 1/10,000.

    A higher number voids all grants to lower ones. `accepted` is the last ask whose grant took hold,
    `returned` are units that go back with what is given up.
    """

    key: CustomerKey
    number: int
    accepted: int
    held_share: int
    wanted_share: int
    returned_units: float = 0.0


@dataclass(frozen=True, slots=True)
class LoanGrant:
    """A lender's answer to the ask of that number: the whole share lent, and units that come with it once."""

    key: CustomerKey
    number: int
    granted_share: int
    granted_units: float = 0.0


@dataclass(frozen=True, slots=True)
class Join:
    """A gateway has started: what it lent in an earlier life must not be used from now on."""


@dataclass(frozen=True, slots=True)
class JoinAcknowledged:
    """The answer: nothing of the shares of the gateway with that generation's hello is held here, and totals
    are told of so many customers whose home it is."""

    incarnation: int
    total_count: int = 0


@dataclass(frozen=True, slots=True)
class SpendingTotal:
    """All that a gateway has spent of a customer's quota since its start, and what is left of its part."""

    key: CustomerKey
    spent_units: float
    remaining_units: float


@dataclass(frozen=True, slots=True)
class Leave:
    """A gateway has ended in order: it spends nothing any more."""


LimitMessage = LoanRequest | LoanGrant | Join | JoinAcknowledged | SpendingTotal | Leave
