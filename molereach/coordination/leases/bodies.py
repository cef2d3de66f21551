"""The bodies of the log entries about sessions, with their encoder and decoder.

`BecomeManager` starts a leader's term as lease manager, and `EndSession` carries that term's ballot. An
`EndSession` that an earlier leader proposed may be chosen only after its successor has renewed the session;
it is then rejected because of its ballot, so it cannot end a session that is still held. The ballot serves as
the epoch of Burrows, "The Chubby lock service" (OSDI 2006), section 2.9, applied to lease managers.
"""

from typing import Annotated

import msgspec
from msgspec import Meta, field

from molereach.coordination.interface.identifiers import NodeInstance, Position, WireStruct

MACHINE = "sessions"
MAX_SESSION_BODY_BYTES = 256  # the longest is 200; deeply nested input is rejected before it is decoded

BallotNumber = Annotated[int, Meta(ge=0, le=1 << 62)]


class OpenSession(WireStruct, frozen=True, tag_field="kind", tag="open"):
    """Open a session for `instance`, the proposer; this ends the session of a lower instance of the name."""

    instance: NodeInstance = field(name="life")


class EndSession(WireStruct, frozen=True, tag_field="kind", tag="ended"):
    """End a session that has certainly expired. Valid only from the current lease manager."""

    instance: NodeInstance = field(name="life")
    fencing_token: Position = field(name="fence")
    ballot: BallotNumber


class CloseSession(WireStruct, frozen=True, tag_field="kind", tag="close"):
    """Close a session; proposed by its own instance once it has stopped every activity that needs it."""

    instance: NodeInstance = field(name="life")
    fencing_token: Position = field(name="fence")


class BecomeManager(WireStruct, frozen=True, tag_field="kind", tag="keeping"):
    """Make the leader of this ballot the lease manager; `EndSession` under other ballots is rejected."""

    ballot: BallotNumber


Body = OpenSession | EndSession | CloseSession | BecomeManager

_DECODER: msgspec.json.Decoder[Body] = msgspec.json.Decoder(Body)


def encode(body: Body) -> bytes:
    """Encode an entry body as JSON."""
    return msgspec.json.encode(body)


def decode(data: bytes) -> Body:
    """Decode an entry body; raises `msgspec.DecodeError` for anything else."""
    if len(data) > MAX_SESSION_BODY_BYTES:
        raise msgspec.DecodeError("too long")
    return _DECODER.decode(data)
