"""Membership messages: typed, bounded, at most 1,200 bytes each.

Source: SWIM, section 4.1 (rumours are piggybacked on probes) and Lifeguard, section IV (the nack). The number
of rumours is limited to the byte budget of a message, so that it fits into one datagram unfragmented.
"""

from collections.abc import Iterable, Iterator
from enum import IntEnum
from typing import Annotated

import msgspec
from msgspec import Meta

from molereach.coordination.interface.identifiers import InstanceNumber, Name, NodeInstance, WireStruct

MAX_MESSAGE_BYTES = 1_200
MAX_HEADER_BYTES = 150  # without the rumours; the largest is a PingReq with a name of 64 characters
MIN_RUMOUR_BYTES = 7
MAX_RUMOURS = 128  # more than fit into a message; a longer list is rejected before its items are decoded
MAX_INCARNATION = 1 << 53
MAX_SEQUENCE_NUMBER = (1 << 32) - 1

Incarnation = Annotated[int, Meta(ge=0, le=MAX_INCARNATION)]
SequenceNumber = Annotated[int, Meta(ge=0, le=MAX_SEQUENCE_NUMBER)]


class MemberStatus(IntEnum):
    """The status of an instance. At equal incarnations the higher status takes precedence."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3  # gracefully, as announced by the instance itself

    @property
    def is_live(self) -> bool:
        """Whether the instance counts as live; a suspect does until it is declared dead."""
        return self <= MemberStatus.SUSPECT


class Rumour(msgspec.Struct, frozen=True, forbid_unknown_fields=True, array_like=True):
    """The status of an instance as some member reports it. Only the instance raises its incarnation."""

    name: Name
    instance_number: InstanceNumber
    incarnation: Incarnation
    status: MemberStatus
    accuser: Name | None = None  # the member that reported it suspect or dead

    @property
    def instance(self) -> NodeInstance:
        """The instance that the rumour is about."""
        return NodeInstance(self.name, self.instance_number)


Rumours = Annotated[tuple[Rumour, ...], Meta(max_length=MAX_RUMOURS)]


class Ping(WireStruct, frozen=True, tag="m.ping"):
    """A probe, answered by an `Ack` with the same sequence number."""

    seq: SequenceNumber
    rumours: Rumours = ()


class PingReq(WireStruct, frozen=True, tag="m.pingreq"):
    """A request to ping a member for the sender. The reply is an `Ack`, or a `Nack` while there is none."""

    seq: SequenceNumber
    name: Name
    number: InstanceNumber
    rumours: Rumours = ()


class Ack(WireStruct, frozen=True, tag="m.ack"):
    """The probed member is alive."""

    seq: SequenceNumber
    rumours: Rumours = ()


class Nack(WireStruct, frozen=True, tag="m.nack"):
    """A reply to `PingReq`: the helper has pinged the member and has not received an ack yet."""

    seq: SequenceNumber
    rumours: Rumours = ()


class Sync(WireStruct, frozen=True, tag="m.sync"):
    """Some or all of the rumours of the sender; `wants_reply` asks for all those of the receiver."""

    rumours: Rumours = ()
    wants_reply: bool = msgspec.field(default=False, name="answer")


Message = Ping | PingReq | Ack | Nack | Sync

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """Encode a message as MessagePack."""
    return _encoder.encode(message)


def decode(data: bytes) -> Message:
    """Decode a message; raises ValueError (the base of msgspec's errors) if it is too long or malformed."""
    if len(data) > MAX_MESSAGE_BYTES:
        raise ValueError(f"a message of {len(data)} bytes, more than {MAX_MESSAGE_BYTES}")
    message: Message = _decoder.decode(data)
    return message


def fitting_rumours(rumours: Iterable[Rumour], limit: int = MAX_RUMOURS) -> Iterator[Rumour]:
    """Yield rumours that fit into one message together, in order; skips those that no longer fit."""
    available_bytes = MAX_MESSAGE_BYTES - MAX_HEADER_BYTES
    for rumour in rumours:
        if limit <= 0 or available_bytes < MIN_RUMOUR_BYTES:
            return
        size = len(_encoder.encode(rumour))
        if size <= available_bytes:
            available_bytes -= size
            limit -= 1
            yield rumour


def split_rumours(rumours: Iterable[Rumour]) -> list[tuple[Rumour, ...]]:
    """Split the rumours into groups that each fit into one message."""
    remaining = list(rumours)
    groups = list[tuple[Rumour, ...]]()
    while remaining:
        group = tuple(fitting_rumours(remaining, MAX_RUMOURS))
        taken = set(group)
        remaining = [rumour for rumour in remaining if rumour not in taken]
        groups.append(group)
    return groups
