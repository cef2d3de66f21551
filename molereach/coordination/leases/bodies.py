"""The bodies of the log entries about sessions, and their one decoder.

`BecomeManager` opens a leader's term as lease manager, and `EndSession` names that term's ballot: an end that
an earlier leader proposed, and that was chosen only after its successor began to renew, would end a session
that is held; its ballot rejects it. This is the epoch of Burrows, "The Chubby lock service" (OSDI 2006),
section 2.9, applied to the lease managers.
"""

from typing import Annotated

import msgspec
from msgspec import Meta, field

from molereach.coordination.interface.identifiers import NodeInstance, Position, WireStruct

MACHINE = "sessions"
MAX_SESSION_BODY_BYTES = 256  # the longest takes 200; rejects deeply nested input before it is decoded

BallotNumber = Annotated[int, Meta(ge=0, le=1 << 62)]


class OpenSession(WireStruct, frozen=True, tag_field="kind", tag="open"):
    """Open a session for this instance, its proposer; a lower instance's session of the name ends thereby."""

    instance: NodeInstance = field(name="life")


class EndSession(WireStruct, frozen=True, tag_field="kind", tag="ended"):
    """End a session that has certainly expired. Valid only from the manager that gives renewals now."""

    instance: NodeInstance = field(name="life")
    fencing_token: Position = field(name="fence")
    ballot: BallotNumber


class CloseSession(WireStruct, frozen=True, tag_field="kind", tag="close"):
    """Close a session in order, proposed by its instance, which has stopped all that needs the session."""

    instance: NodeInstance = field(name="life")
    fencing_token: Position = field(name="fence")


class BecomeManager(WireStruct, frozen=True, tag_field="kind", tag="keeping"):
    """The leader of this ballot is lease manager from here on; ends under lower ballots are void."""

    ballot: BallotNumber


Body = OpenSession | EndSession | CloseSession | BecomeManager

_DECODER: msgspec.json.Decoder[Body] = msgspec.json.Decoder(Body)


def encode(body: Body) -> bytes:
    """An entry's body as JSON."""
    return msgspec.json.encode(body)


def decode(data: bytes) -> Body:
    """The body of an entry; raises `msgspec.DecodeError` for anything else."""
    if len(data) > MAX_SESSION_BODY_BYTES:
        raise msgspec.DecodeError("too long")
    return _DECODER.decode(data)
