"""Binary records of gossip on limits, in network byte order.

A record consists of its kind (1 byte) and its fields. Units are encoded in steps of 1 / `STEPS_PER_UNIT`.
"""

import struct
from collections.abc import Callable
from dataclasses import dataclass
from enum import IntEnum

from molereach.limits.errors import MalformedRecordError
from molereach.limits.loans import FULL_SHARE
from molereach.policy.interface.messages import (
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
from molereach.protocol.gossip_codec import RECORD, STEPS_PER_UNIT, signed_steps

Message = GossipMessage | LimitMessage

PAD = 0  # in place of a record's kind: ends the datagram
MAX_UNITS = 0x7FFFFFFF / STEPS_PER_UNIT
MAX_TOTAL_COUNT = 0xFFFF


class RecordKind(IntEnum):
    """The first byte of a record."""

    QUOTA = 1
    LOAN_REQUEST = 2
    LOAN_GRANT = 3
    JOIN = 4
    JOIN_ACKNOWLEDGED = 5
    SPENDING_TOTAL = 6
    LEAVE = 7


_KEY_FORMAT = "IBHH"  # checksum of the customer's name, plan, first proxy of its set, size of the set
QUOTA_RECORD = struct.Struct("!B" + RECORD.format.lstrip("!"))
LOAN_REQUEST_RECORD = struct.Struct(f"!B{_KEY_FORMAT}IIHHI")
LOAN_GRANT_RECORD = struct.Struct(f"!B{_KEY_FORMAT}IHI")
EMPTY_RECORD = struct.Struct("!B")
JOIN_ACKNOWLEDGED_RECORD = struct.Struct("!BHH")
SPENDING_TOTAL_RECORD = struct.Struct(f"!B{_KEY_FORMAT}II")


def pack_record(message: Message) -> bytes:
    """Encode a message; units and counts beyond the range of their field are clamped."""
    match message:
        case GossipMessage():
            return _pack_quota(message)
        case LoanRequest(key, number, accepted, borrower_share, wanted_share, returned_units):
            return LOAN_REQUEST_RECORD.pack(
                RecordKind.LOAN_REQUEST,
                *key,
                number,
                accepted,
                borrower_share,
                wanted_share,
                _unsigned_steps(returned_units),
            )
        case LoanGrant(key, number, granted_share, granted_units):
            return LOAN_GRANT_RECORD.pack(
                RecordKind.LOAN_GRANT, *key, number, granted_share, _unsigned_steps(granted_units)
            )
        case Join():
            return EMPTY_RECORD.pack(RecordKind.JOIN)
        case JoinAcknowledged(incarnation, total_count):
            return JOIN_ACKNOWLEDGED_RECORD.pack(
                RecordKind.JOIN_ACKNOWLEDGED, incarnation, min(total_count, MAX_TOTAL_COUNT)
            )
        case SpendingTotal(key, spent_units, remaining_units):
            return SPENDING_TOTAL_RECORD.pack(
                RecordKind.SPENDING_TOTAL,
                *key,
                _unsigned_steps(spent_units),
                _unsigned_steps(remaining_units),
            )
        case Leave():
            return EMPTY_RECORD.pack(RecordKind.LEAVE)


def unpack_records(data: bytes, start: int) -> tuple[Message, ...]:
    """Decode the records from `start` up to the padding; raises MalformedRecordError."""
    messages: list[Message] = []
    position = start
    while position < len(data) and data[position] != PAD:
        layout = RECORD_LAYOUTS.get(data[position])
        if layout is None:
            raise MalformedRecordError(f"unknown record kind {data[position]}")
        try:
            _kind, *fields = layout.structure.unpack_from(data, position)
        except struct.error as error:
            raise MalformedRecordError("truncated record") from error
        messages.append(layout.parse(fields))
        position += layout.structure.size
    if any(data[position:]) or len(data) - position > 1:
        raise MalformedRecordError("data after the padding byte")
    return tuple(messages)


def _unsigned_steps(units: float) -> int:
    # Rounded down so that no more is given than there is. The inner rounding absorbs floating-point error.
    return int(round(max(0.0, min(MAX_UNITS, units)) * STEPS_PER_UNIT, 6))


def _pack_quota(message: GossipMessage) -> bytes:
    return QUOTA_RECORD.pack(
        RecordKind.QUOTA,
        message.customer_checksum,
        message.plan_index,
        message.set_first,
        message.set_size,
        message.is_reply,
        signed_steps(message.demand),
        signed_steps(message.spent_units),
        signed_steps(message.requested_units),
        signed_steps(message.tokens),
    )


def _parse_quota(fields: list[int]) -> GossipMessage:
    customer_checksum, plan_index, set_first, set_size, is_reply, demand, spent, requested, tokens = fields
    return GossipMessage(
        customer_checksum=customer_checksum,
        plan_index=plan_index,
        set_first=set_first,
        set_size=set_size,
        is_reply=bool(is_reply),
        demand=demand / STEPS_PER_UNIT,
        spent_units=spent / STEPS_PER_UNIT,
        requested_units=requested / STEPS_PER_UNIT,
        tokens=tokens / STEPS_PER_UNIT,
    )


def _parse_loan_request(fields: list[int]) -> LoanRequest:
    checksum, plan, first, size, number, accepted, borrower_share, wanted_share, returned = fields
    return LoanRequest(
        key=CustomerKey(checksum, plan, first, size),
        number=number,
        accepted=accepted,
        borrower_share=_checked_share(borrower_share),
        wanted_share=_checked_share(wanted_share),
        returned_units=returned / STEPS_PER_UNIT,
    )


def _parse_loan_grant(fields: list[int]) -> LoanGrant:
    checksum, plan, first, size, number, granted_share, granted = fields
    return LoanGrant(
        key=CustomerKey(checksum, plan, first, size),
        number=number,
        granted_share=_checked_share(granted_share),
        granted_units=granted / STEPS_PER_UNIT,
    )


def _parse_spending_total(fields: list[int]) -> SpendingTotal:
    checksum, plan, first, size, spent, remaining = fields
    return SpendingTotal(
        CustomerKey(checksum, plan, first, size), spent / STEPS_PER_UNIT, remaining / STEPS_PER_UNIT
    )


def _checked_share(share: int) -> int:
    if share > FULL_SHARE:
        raise MalformedRecordError("share exceeds the full ceiling")
    return share


@dataclass(frozen=True, slots=True)
class RecordLayout:
    """Layout of the records of one kind, including the kind byte, and the parser of their other fields."""

    structure: struct.Struct
    parse: Callable[[list[int]], Message]


RECORD_LAYOUTS = {
    int(RecordKind.QUOTA): RecordLayout(QUOTA_RECORD, _parse_quota),
    int(RecordKind.LOAN_REQUEST): RecordLayout(LOAN_REQUEST_RECORD, _parse_loan_request),
    int(RecordKind.LOAN_GRANT): RecordLayout(LOAN_GRANT_RECORD, _parse_loan_grant),
    int(RecordKind.JOIN): RecordLayout(EMPTY_RECORD, lambda fields: Join()),
    int(RecordKind.JOIN_ACKNOWLEDGED): RecordLayout(
        JOIN_ACKNOWLEDGED_RECORD, lambda fields: JoinAcknowledged(fields[0], fields[1])
    ),
    int(RecordKind.SPENDING_TOTAL): RecordLayout(SPENDING_TOTAL_RECORD, _parse_spending_total),
    int(RecordKind.LEAVE): RecordLayout(EMPTY_RECORD, lambda fields: Leave()),
}
