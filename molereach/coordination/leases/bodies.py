"""The bodies of the entries about sessions, and their one decoder.

`Keeping` opens a leader's time as keeper, and `Ended` names it: an end that an earlier leader proposed, and
that was settled only after its successor began to renew, would end a session that is held. It is refused by
its ballot. This is the epoch of Burrows, "The Chubby lock service" (OSDI 2006), section 2.9, put on the
keepers.
"""

from typing import Annotated

import msgspec
from msgspec import Meta, field

from molereach.coordination.interface.identifiers import NodeInstance, Position, WireStruct

MACHINE = "sessions"
MAX_SESSION_BODY_BYTES = 256  # the longest takes 200; and what is nested deep is refused before it is read

BallotNumber = Annotated[int, Meta(ge=0, le=1 << 62)]


class OpenSession(WireStruct, frozen=True, tag_field="kind", tag="open"):
    """A session for this life, proposed by itself; a lower life's session of the name is thereby ended."""

    incarnation: NodeInstance = field(name="life")


class EndSession(WireStruct, frozen=True, tag_field="kind", tag="ended"):
    """The session is certainly over by time. Only of the keeper that gives renewals now."""

    incarnation: NodeInstance = field(name="life")
    fencing_token: Position = field(name="fence")
    ballot: BallotNumber


class CloseSession(WireStruct, frozen=True, tag_field="kind", tag="close"):
    """Left in order, proposed by itself: it has stopped what hangs on the session."""

    incarnation: NodeInstance = field(name="life")
    fencing_token: Position = field(name="fence")


class BecomeManager(WireStruct, frozen=True, tag_field="kind", tag="keeping"):
    """The leader of this ballot keeps the sessions from here on; earlier leaders' ends are void after it."""

    ballot: BallotNumber


Body = OpenSession | EndSession | CloseSession | BecomeManager

_DECODER: msgspec.json.Decoder[Body] = msgspec.json.Decoder(Body)


def encode(body: Body) -> bytes:
    return msgspec.json.encode(body)


def decode(data: bytes) -> Body:
    """msgspec.DecodeError where it is none of them."""
    if len(data) > MAX_SESSION_BODY_BYTES:
        raise msgspec.DecodeError("too long")
    return _DECODER.decode(data)
