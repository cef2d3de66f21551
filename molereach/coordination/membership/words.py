"""What front doors say to one another about who lives: typed, bounded, at most 1,200 bytes each.

Source: SWIM, section 4.1 (rumours ride on the probes) and Lifeguard, section IV (the nack). A message is cut
to its budget here, before it is handed out, so that it fits one datagram and a link need not split it.
"""

from collections.abc import Iterable, Iterator
from enum import IntEnum
from typing import Annotated

import msgspec
from msgspec import Meta

from molereach.coordination.interface.identifiers import InstanceNumber, Name, NodeInstance, WireStruct

MOST_MESSAGE_BYTES = 1_200
MOST_FRAME_BYTES = 150  # of a message without its rumours: the longest is a PingReq with a name of 64
LEAST_RUMOUR_BYTES = 7
MOST_RUMOURS = 128  # that fit in any message; a longer list is refused before its members are looked at
MOST_INCARNATION = 1 << 53
MOST_SEQ = (1 << 32) - 1

Incarnation = Annotated[int, Meta(ge=0, le=MOST_INCARNATION)]
Seq = Annotated[int, Meta(ge=0, le=MOST_SEQ)]


class Status(IntEnum):
    """What is believed of a life. Of two rumours with one incarnation the higher wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3  # in order, and said so itself

    @property
    def living(self) -> bool:
        return self <= Status.SUSPECT


class Rumour(msgspec.Struct, frozen=True, forbid_unknown_fields=True, array_like=True):
    """What somebody believes of a life. Only that life itself raises its incarnation."""

    name: Name
    number: InstanceNumber
    incarnation: Incarnation
    status: Status
    accuser: Name | None = None  # who says that it is suspect or dead

    @property
    def life(self) -> NodeInstance:
        return NodeInstance(self.name, self.number)


Rumours = Annotated[tuple[Rumour, ...], Meta(max_length=MOST_RUMOURS)]


class Ping(WireStruct, frozen=True, tag="m.ping"):
    """Do you live? The answer is an `Ack` with the same number."""

    seq: Seq
    rumours: Rumours = ()


class PingReq(WireStruct, frozen=True, tag="m.pingreq"):
    """I do not hear that one: ask it for me. The answer is its `Ack` passed on, or a `Nack` before that."""

    seq: Seq
    name: Name
    number: InstanceNumber
    rumours: Rumours = ()


class Ack(WireStruct, frozen=True, tag="m.ack"):
    """Who was asked for lives."""

    seq: Seq
    rumours: Rumours = ()


class Nack(WireStruct, frozen=True, tag="m.nack"):
    """I live and did ask, but do not hear that one either (yet)."""

    seq: Seq
    rumours: Rumours = ()


class Sync(WireStruct, frozen=True, tag="m.sync"):
    """A piece of all that the sender believes; with `answer` the same is wanted back."""

    rumours: Rumours = ()
    answer: bool = False


Message = Ping | PingReq | Ack | Nack | Sync

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    return _encoder.encode(message)


def decode(data: bytes) -> Message:
    """`ValueError` (msgspec's are such) for anything that is too long or not just as a message says."""
    if len(data) > MOST_MESSAGE_BYTES:
        raise ValueError(f"a message of {len(data)} bytes, more than {MOST_MESSAGE_BYTES}")
    message: Message = _decoder.decode(data)
    return message


def fit(rumours: Iterable[Rumour], most: int = MOST_RUMOURS) -> Iterator[Rumour]:
    """Those of the rumours, in order, that fit together in one message; one that does not is passed over."""
    room = MOST_MESSAGE_BYTES - MOST_FRAME_BYTES
    for rumour in rumours:
        if most <= 0 or room < LEAST_RUMOUR_BYTES:
            return
        size = len(_encoder.encode(rumour))
        if size <= room:
            room, most = room - size, most - 1
            yield rumour


def pieces(rumours: Iterable[Rumour]) -> list[tuple[Rumour, ...]]:
    """All of the rumours, in as many messages as they need."""
    left, out = list(rumours), list[tuple[Rumour, ...]]()
    while left:
        piece = tuple(fit(left, MOST_RUMOURS))
        taken = set(piece)
        left = [rumour for rumour in left if rumour not in taken]
        out.append(piece)
    return out
