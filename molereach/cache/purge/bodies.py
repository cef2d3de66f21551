"""The bodies of the log entries about purges, with their one decoder, and the values of their outcomes."""

from typing import Annotated

import msgspec
from msgspec import Meta, field

from molereach.cache.purge.ids import PurgeId
from molereach.coordination.interface.identifiers import MAX_MEMBERS, Name, Position, WireStruct

MACHINE = "purge"
MAX_PURGE_BODY_BYTES = 8 << 10  # the longest takes 5,300: `CompletePurges` with 256 fencing tokens
MAX_SHARDS = 2  # that hold a member's state: two while its shard is being split

Member = Annotated[str, Meta(pattern=r"^[0-9a-f]{16}\Z")]
ClassName = Annotated[str, Meta(max_length=64, pattern=r"^[A-Za-z0-9._-]*\Z")]  # "" for all


class RequestPurge(WireStruct, frozen=True, tag_field="kind", tag="ask"):
    """Show no reading older than this entry, of a member or of one class of its requests.

    `shards` are those that hold the member's state as far as the requester knows: both sides of a split in
    progress.
    """

    id: PurgeId
    member: Member
    class_name: ClassName = ""
    shards: Annotated[tuple[Name, ...], Meta(max_length=MAX_SHARDS)] = ()


class CompletePurges(WireStruct, frozen=True, tag_field="kind", tag="done"):
    """The sessions with these fencing tokens have reported `clear` of all entries up to a position.

    The machine finds the rest of the proof in the log, and decides by it which purges are complete.
    """

    up_to_position: Position = field(name="upto")
    cleared_tokens: Annotated[tuple[Position, ...], Meta(max_length=MAX_MEMBERS)] = field(name="said")


Body = RequestPurge | CompletePurges

_DECODER: msgspec.json.Decoder[Body] = msgspec.json.Decoder(Body)


def encode(body: Body) -> bytes:
    """The JSON of a body."""
    return msgspec.json.encode(body)


def decode(data: bytes) -> Body:
    """Decode a body; raises msgspec.DecodeError if it is none."""
    if len(data) > MAX_PURGE_BODY_BYTES:
        raise msgspec.DecodeError("body is too long")
    return _DECODER.decode(data)


class RequestResult(WireStruct, frozen=True):
    """The outcome of `RequestPurge`: where the purge was first requested, and where completed (0: not)."""

    id: PurgeId
    requested_position: Position = field(name="asked")
    completed_position: Position = field(name="done", default=0)


def decode_request_result(value: bytes) -> RequestResult:
    """Decode the value of a `RequestPurge` outcome."""
    return msgspec.json.decode(value, type=RequestResult)


class CompletionResult(WireStruct, frozen=True):
    """The outcome of `CompletePurges`: how many purges it completed, and the position of the last of them.

    Purges complete in the order in which they were requested.
    """

    count: int
    last_position: Position = field(name="last")


def decode_completion_result(value: bytes) -> CompletionResult:
    """Decode the value of a `CompletePurges` outcome."""
    return msgspec.json.decode(value, type=CompletionResult)
