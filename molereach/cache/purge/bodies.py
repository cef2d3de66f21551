"""The bodies of the entries about purges, and their one decoder."""

from typing import Annotated

import msgspec
from msgspec import Meta

from molereach.cache.purge.ids import PurgeId
from molereach.coordination.interface.identifiers import MAX_MEMBERS, Name, Position, WireStruct

MACHINE = "purge"
MOST_PURGE_BODY_BYTES = 8 << 10  # the longest takes 5,300: `Done` with 256 fences
MOST_SHARDS = 2  # that a member's state is on: two while its shard is being split

Member = Annotated[str, Meta(pattern=r"^[0-9a-f]{16}\Z")]
ClassName = Annotated[str, Meta(max_length=64, pattern=r"^[A-Za-z0-9._-]*\Z")]  # "" for all


class Ask(WireStruct, frozen=True, tag_field="kind", tag="ask"):
    """Nothing older than this entry is to be shown of the member, or of one class of its requests.

    `shards` are those that the member's state is on as known to who asks, both sides of a split under way.
    """

    id: PurgeId
    member: Member
    class_name: ClassName = ""
    shards: Annotated[tuple[Name, ...], Meta(max_length=MOST_SHARDS)] = ()


class Done(WireStruct, frozen=True, tag_field="kind", tag="done"):
    """These sessions, by their fences, have said `clear` of all up to there. What else the proof needs the
    machine finds in the log; which purges are done by it, too."""

    upto: Position
    said: Annotated[tuple[Position, ...], Meta(max_length=MAX_MEMBERS)]


Body = Ask | Done

_DECODER: msgspec.json.Decoder[Body] = msgspec.json.Decoder(Body)


def encode(body: Body) -> bytes:
    return msgspec.json.encode(body)


def decode(data: bytes) -> Body:
    """msgspec.DecodeError where it is none of them."""
    if len(data) > MOST_PURGE_BODY_BYTES:
        raise msgspec.DecodeError("too long")
    return _DECODER.decode(data)


class Standing(WireStruct, frozen=True):
    """What an `Ask` came to, in its outcome: where it was asked first, and where done, 0 for not yet."""

    id: PurgeId
    asked: Position
    done: Position = 0


def standing(value: bytes) -> Standing:
    return msgspec.json.decode(value, type=Standing)


class Ended(WireStruct, frozen=True):
    """What a `Done` came to, in its outcome: how many purges it ended, and the position of the last of them.
    They end in the order in which they were asked for."""

    count: int
    last: Position


def ended(value: bytes) -> Ended:
    return msgspec.json.decode(value, type=Ended)
