"""Datagrams between front doors: the words that they carry, and how they are packed.

Amounts are whole steps of 1/50, so that they come back as they were.
"""

from collections.abc import Callable, Sequence
from dataclasses import replace
from itertools import product

from molereach.limits.gossip_codec import LimitGossipCodec
from molereach.policy.interface.messages import (
    SPLIT_CEILING_PLAN_INDEX,
    CustomerKey,
    GossipMessage,
    Join,
    JoinAcknowledged,
    Leave,
    LimitMessage,
    LoanGrant,
    LoanRequest,
    SpendingTotal,
)
from molereach.protocol.gossip_codec import QuotaGossipCodec

SENDER, PEER, GENERATION = 3, 1, 0xBEEF
KEY = bytes(range(16))
CUSTOMER_KEY: CustomerKey = (0xDEADBEEF, 2, 1, 3)

# Every combination of the flags of a word.
QUOTA_WORDS = tuple(
    GossipMessage(
        customer_checksum=0x01020304 + number,
        plan_index=number,
        set_first=number + 1,
        set_size=3,
        is_reply=is_answer,
        demand=12.5 + number,
        spent_units=-0.02 * number,
        requested_units=655.34,
        tokens=-655.36,
        is_ceiling_granted=granted,
        is_within_quota=inside,
    )
    for number, (is_answer, granted, inside) in enumerate(
        product((False, True), (False, True), (None, True, False))
    )
)

# The form with limits carries of the flags only whether a word is an answer.
QUOTA_WORDS_IN_LIMIT_FORM = tuple(
    replace(word, is_ceiling_granted=False, is_within_quota=None) for word in QUOTA_WORDS
)
LIMIT_FORM_WORDS = tuple(
    GossipMessage(
        customer_checksum=0xDEADBEEF,
        plan_index=2,
        set_first=1,
        set_size=3,
        is_reply=is_answer,
        demand=12.5,
        spent_units=-0.02,
        requested_units=655.34,
        tokens=-655.36,
    )
    for is_answer in (False, True)
)

LIMIT_WORDS: dict[str, LimitMessage] = {
    "loan-ask": LoanRequest(
        key=CUSTOMER_KEY,
        number=0x10203040,
        accepted=7,
        borrower_share=2500,
        wanted_share=10_000,
        returned_units=3.14,
    ),
    "loan-ask-split": LoanRequest(
        key=(1, SPLIT_CEILING_PLAN_INDEX, 0, 2), number=1, accepted=0, borrower_share=0, wanted_share=1
    ),
    "loan-grant": LoanGrant(
        key=CUSTOMER_KEY, number=0x10203040, granted_share=10_000, granted_units=42_949_672.94
    ),
    "loan-grant-empty": LoanGrant(key=CUSTOMER_KEY, number=2, granted_share=0),
    "hello": Join(),
    "clear": JoinAcknowledged(incarnation=GENERATION, total_count=300),
    "clear-no-totals": JoinAcknowledged(incarnation=0),
    "total": SpendingTotal(key=CUSTOMER_KEY, spent_units=1234.56, remaining_units=0.02),
    "bye": Leave(),
}

# A word that has more than its field holds, and what is read back.
TOO_LARGE = GossipMessage(
    customer_checksum=1, plan_index=0, set_first=0, set_size=1, demand=1e9, spent_units=-1e9
)
TOO_LARGE_READ = GossipMessage(
    customer_checksum=1, plan_index=0, set_first=0, set_size=1, demand=655.34, spent_units=-655.36
)

Words = Sequence[GossipMessage | LimitMessage]


def codec(keyed: bool, hears: bool, speaks: bool = True) -> LimitGossipCodec:
    """The codec of the sending front door."""
    return LimitGossipCodec(
        SENDER,
        GENERATION,
        understands=lambda peer: speaks,
        key=KEY if keyed else b"",
        receives_from=lambda peer: hears,
    )


# Every way of packing the form with limits: whether a key is set, and whether the receiver was heard of late.
CODECS: dict[str, LimitGossipCodec] = {
    f"{'keyed' if keyed else 'open'}-{'hears' if hears else 'deaf'}": codec(keyed, hears)
    for keyed, hears in product((False, True), (False, True))
}

# To a front door of the last version, quotas go in the plain form and all else beside them.
MIXED_CODEC = codec(keyed=False, hears=True, speaks=False)
MIXED_WORDS: Words = (*QUOTA_WORDS, *LIMIT_WORDS.values())

SINGLE: dict[str, Words] = {
    "nothing": (),
    "word": LIMIT_FORM_WORDS[:1],
    "word-answer": LIMIT_FORM_WORDS[1:],
    **{name: (word,) for name, word in LIMIT_WORDS.items()},
}
# Enough to fill more than one datagram.
MANY: Words = (*LIMIT_FORM_WORDS, *LIMIT_WORDS.values()) * 2


def plain_datagrams() -> list[bytes]:
    """Quota words in the form of the last version."""
    return QuotaGossipCodec().pack(PEER, QUOTA_WORDS)


def too_large_datagrams() -> list[bytes]:
    """A word whose amounts are cut to what fits."""
    return QuotaGossipCodec().pack(PEER, (TOO_LARGE,))


def limit_datagrams(packing: LimitGossipCodec) -> list[bytes]:
    """A datagram for each kind of record, then one run of all of them."""
    single = [datagram for words in SINGLE.values() for datagram in packing.pack(PEER, words)]
    return [*single, *packing.pack(PEER, MANY)]


def hex_lines(datagrams: Sequence[bytes]) -> bytes:
    """A text file with a datagram a line."""
    return "".join(f"{datagram.hex()}\n" for datagram in datagrams).encode()


# The recorded files of this module, and what makes each.
FILES: dict[str, Callable[[], bytes]] = {
    "gossip-plain.hex": lambda: hex_lines(plain_datagrams()),
    "gossip-plain-too-large.hex": lambda: hex_lines(too_large_datagrams()),
    "gossip-mixed.hex": lambda: hex_lines(MIXED_CODEC.pack(PEER, MIXED_WORDS)),
    "gossip-limits-quota.hex": lambda: hex_lines(CODECS["open-hears"].pack(PEER, QUOTA_WORDS)),
    **{
        f"gossip-limits-{name}.hex": lambda packing=packing: hex_lines(limit_datagrams(packing))
        for name, packing in CODECS.items()
    },
}
