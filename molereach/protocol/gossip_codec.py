"""Encodes gossip about customers' quotas as datagrams of fixed-length records.

A datagram consists of complete records in network byte order. Amounts of units are signed 16-bit
fixed-point numbers, in steps of 1 / `STEPS_PER_UNIT`.
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

# Flags of a record. Older versions, which know only the first, treat a record with any flag as a reply.
REPLY = 1
CEILING_GRANTED = 2
WITHIN_QUOTA = 4
BEYOND_QUOTA = 8
# The verdict is `GossipMessage.is_within_quota`, which is None where nothing was decided.
FLAG_BY_VERDICT = {None: 0, True: WITHIN_QUOTA, False: BEYOND_QUOTA}
VERDICT_BY_FLAG = {WITHIN_QUOTA: True, BEYOND_QUOTA: False}


class GossipCodec(Protocol):
    """Encodes gossip messages as datagrams and decodes them."""

    def pack(self, peer: int, messages: tuple[GossipMessage | LimitMessage, ...]) -> list[bytes]:
        """Encode messages to a peer as datagrams."""

    def unpack(self, sender: int, data: bytes) -> GossipReceived | None:
        """Decode a datagram from a peer; None if it is malformed."""


class QuotaGossipCodec:
    """The codec of front doors without `[limits]`, which exchange messages about quotas only."""

    def pack(self, peer: int, messages: tuple[GossipMessage | LimitMessage, ...]) -> list[bytes]:
        """Encode the messages about quotas as datagrams; messages about limits are left out."""
        return pack_messages(message for message in messages if isinstance(message, GossipMessage))

    def unpack(self, sender: int, data: bytes) -> GossipReceived | None:
        """Decode a datagram from a peer; None if it is malformed or empty."""
        messages = unpack_messages(data)
        return GossipReceived(sender, messages) if messages else None


def pack_messages(messages: Iterable[GossipMessage]) -> list[bytes]:
    """Encode messages as datagrams, with as many messages in each as `MAX_DATAGRAM_BYTES` allows."""
    records = [_pack_record(message) for message in messages]
    max_records = MAX_DATAGRAM_BYTES // RECORD.size
    return [b"".join(records[first : first + max_records]) for first in range(0, len(records), max_records)]


def unpack_messages(data: bytes) -> tuple[GossipMessage, ...]:
    """Decode the messages of a datagram; none if its length is not a multiple of the record length."""
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
            VERDICT_BY_FLAG.get(flags & (WITHIN_QUOTA | BEYOND_QUOTA)),
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
    """Round an amount of units to whole steps, limited to the range that a record can hold."""
    return max(MIN_STEPS, min(MAX_STEPS, round(units * STEPS_PER_UNIT)))


def _pack_record(message: GossipMessage) -> bytes:
    flags = (
        message.is_reply * REPLY
        | message.is_ceiling_granted * CEILING_GRANTED
        | FLAG_BY_VERDICT[message.is_within_quota]
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
