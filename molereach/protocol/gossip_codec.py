"""Gossip on customers' quotas, as records of fixed length in datagrams.

A datagram holds whole records and nothing else, in network byte order. Amounts of units are signed
16-bit integers, in steps of 1 / `STEPS_PER_UNIT`.
"""

import struct
from collections.abc import Iterable
from typing import Protocol

from molereach.policy.interface.events import GossipReceived
from molereach.policy.interface.messages import GossipMessage, LimitMessage

RECORD = struct.Struct("!IBHHBhhhh")
MAX_DATAGRAM_BYTES = 256
STEPS_PER_UNIT = 50
MIN_STEPS = -0x8000
MAX_STEPS = 0x7FFF

# Flags of a record. Versions that know only the first take any flag for a reply.
REPLY = 1
CEILING_GRANTED = 2
WITHIN_QUOTA = 4
BEYOND_QUOTA = 8
FLAG_OF_VERDICT = {None: 0, True: WITHIN_QUOTA, False: BEYOND_QUOTA}
VERDICT_OF_FLAG = {WITHIN_QUOTA: True, BEYOND_QUOTA: False}


class GossipCodec(Protocol):
    """How gossip messages are laid out in datagrams."""

    def pack(self, peer: int, messages: tuple[GossipMessage | LimitMessage, ...]) -> list[bytes]:
        """The datagrams that bring the messages to a peer."""

    def unpack(self, sender: int, data: bytes) -> GossipReceived | None:
        """The messages of a datagram from a peer; None for one that is malformed."""


class QuotaGossipCodec:
    """Messages on quotas alone, as front doors without `[limits]` exchange them."""

    def pack(self, peer: int, messages: tuple[GossipMessage | LimitMessage, ...]) -> list[bytes]:
        """The datagrams that bring the messages to a peer; messages on limits are left out."""
        return pack_messages(message for message in messages if isinstance(message, GossipMessage))

    def unpack(self, sender: int, data: bytes) -> GossipReceived | None:
        """The messages of a datagram from a peer; None for one that is malformed."""
        messages = unpack_messages(data)
        return GossipReceived(sender, messages) if messages else None


def pack_messages(messages: Iterable[GossipMessage]) -> list[bytes]:
    """Datagrams with the messages, each as long as the wire allows."""
    records = [_pack_record(message) for message in messages]
    max_records = MAX_DATAGRAM_BYTES // RECORD.size
    return [b"".join(records[n : n + max_records]) for n in range(0, len(records), max_records)]


def unpack_messages(data: bytes) -> tuple[GossipMessage, ...]:
    """The messages of a datagram; none where its length is not that of whole records."""
    if len(data) % RECORD.size:
        return ()
    return tuple(
        GossipMessage(
            customer_checksum,
            plan_index,
            set_first,
            set_size,
            bool(flags & REPLY),
            demand / STEPS_PER_UNIT,
            spent / STEPS_PER_UNIT,
            requested / STEPS_PER_UNIT,
            tokens / STEPS_PER_UNIT,
            bool(flags & CEILING_GRANTED),
            VERDICT_OF_FLAG.get(flags & (WITHIN_QUOTA | BEYOND_QUOTA)),
        )
        for (
            customer_checksum,
            plan_index,
            set_first,
            set_size,
            flags,
            demand,
            spent,
            requested,
            tokens,
        ) in RECORD.iter_unpack(data)
    )


def signed_steps(units: float) -> int:
    """An amount of units in whole steps, limited to what a record can hold."""
    return max(MIN_STEPS, min(MAX_STEPS, round(units * STEPS_PER_UNIT)))


def _pack_record(message: GossipMessage) -> bytes:
    flags = (
        message.is_reply * REPLY
        | message.is_ceiling_granted * CEILING_GRANTED
        | FLAG_OF_VERDICT[message.is_within_quota]
    )
    return RECORD.pack(
        message.customer_checksum,
        message.plan_index,
        message.set_first,
        message.set_size,
        flags,
        signed_steps(message.demand),
        signed_steps(message.spent_units),
        signed_steps(message.requested_units),
        signed_steps(message.tokens),
    )
