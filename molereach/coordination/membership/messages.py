"""The messages of membership: typed, bounded, at most 1,200 bytes each.

Source: SWIM, section 4.1 (rumours ride on the probes) and Lifeguard, section IV (the nack). A message is cut
to its budget before it is returned, so that it fits one datagram and no transport need split it.
"""

from collections.abc import Iterable, Iterator
from enum import IntEnum
from typing import Annotated

import msgspec
from msgspec import Meta

from molereach.coordination.interface.identifiers import InstanceNumber, Name, NodeInstance, WireStruct

MAX_MESSAGE_BYTES = 1_200
MAX_HEADER_BYTES = 150  # a message without its rumours: the longest is a PingReq with a name of 64 characters
MIN_RUMOUR_BYTES = 7
MAX_RUMOURS = 128  # more than fit in a message; a longer list is rejected before its members are decoded
MAX_INCARNATION = 1 << 53
MAX_SEQUENCE_NUMBER = (1 << 32) - 1

Incarnation = Annotated[int, Meta(ge=0, le=MAX_INCARNATION)]
SequenceNumber = Annotated[int, Meta(ge=0, le=MAX_SEQUENCE_NUMBER)]


class MemberStatus(IntEnum):
    """The status of an instance. Of two rumours with one incarnation the higher status wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3  # in order, by its own message

    @property
    def is_live(self) -> bool:
        """Whether the instance counts as a member: alive, or suspect until it is declared dead."""
        return self <= MemberStatus.SUSPECT


class Rumour(msgspec.Struct, frozen=True, forbid_unknown_fields=True, array_like=True):
    """The status that some member gives an instance. The incarnation is raised by that instance alone."""

    name: Name
    instance_number: InstanceNumber
    incarnation: Incarnation
    status: MemberStatus
    accuser: Name | None = None  # the member that suspects it or declared it dead

    @property
    def instance(self) -> NodeInstance:
        """The instance that it is of."""
        return NodeInstance(self.name, self.instance_number)


Rumours = Annotated[tuple[Rumour, ...], Meta(max_length=MAX_RUMOURS)]


class Ping(WireStruct, frozen=True, tag="m.ping"):
    """A probe. The reply is an `Ack` with the same sequence number."""

    seq: SequenceNumber
    rumours: Rumours = ()


class PingReq(WireStruct, frozen=True, tag="m.pingreq"):
    """Request to ping a member on the sender's behalf. The reply is its `Ack`, or a `Nack` before that."""

    seq: SequenceNumber
    name: Name
    number: InstanceNumber
    rumours: Rumours = ()


class Ack(WireStruct, frozen=True, tag="m.ack"):
    """The probed member is alive."""

    seq: SequenceNumber
    rumours: Rumours = ()


class Nack(WireStruct, frozen=True, tag="m.nack"):
    """The helper is alive and has pinged the member, which has not replied so far."""

    seq: SequenceNumber
    rumours: Rumours = ()


class Sync(WireStruct, frozen=True, tag="m.sync"):
    """A part of all rumours of the sender; with `wants_reply` it asks for those of the receiver."""

    rumours: Rumours = ()
    wants_reply: bool = msgspec.field(default=False, name="answer")


Message = Ping | PingReq | Ack | Nack | Sync

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """A message as MessagePack."""
    return _encoder.encode(message)


def decode(data: bytes) -> Message:
    """The message in `data`; ValueError (msgspec's errors are such) if it is too long or malformed."""
    if len(data) > MAX_MESSAGE_BYTES:
        raise ValueError(f"a message of {len(data)} bytes, more than {MAX_MESSAGE_BYTES}")
    message: Message = _decoder.decode(data)
    return message


def fitting_rumours(rumours: Iterable[Rumour], limit: int = MAX_RUMOURS) -> Iterator[Rumour]:
    """The rumours that fit together in one message, in order; one that does not fit is skipped."""
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
    """All of the rumours, divided among as many messages as they need."""
    remaining = list(rumours)
    groups = list[tuple[Rumour, ...]]()
    while remaining:
        group = tuple(fitting_rumours(remaining, MAX_RUMOURS))
        taken = set(group)
        remaining = [rumour for rumour in remaining if rumour not in taken]
        groups.append(group)
    return groups
