"""The bodies of the entries about works, and their one decoder."""

from typing import Annotated

import msgspec
from msgspec import Meta

from molereach.coordination.interface.clearance import ClearanceEvidence
from molereach.coordination.interface.identifiers import MAX_MEMBERS, Id, Name, Position, WireStruct
from molereach.coordination.interface.log import MAX_ENTRY_BODY_BYTES
from molereach.upkeep.permits.lifecycle import Step
from molereach.upkeep.requests.work_item import MOST_MS, Work
from molereach.upkeep.rules.fleet_facts import MOST_ORDERED, MOST_SEATS, MOST_SERVERS, Door, Server

MACHINE = "upkeep"
MOST_PARTS = 16  # of one set of facts
MOST_WORDS = 2 * MAX_MEMBERS  # in a proof: of a name two sessions may count
_FIRST = b'{"kind":"'  # so that nothing is skipped, however deep, before it is known what it is


class Ask(WireStruct, frozen=True, tag_field="kind", tag="ask"):
    """Take this machine out. The same again is answered with what became of it."""

    work: Work


class Seen(WireStruct, frozen=True, tag_field="kind", tag="seen"):
    """A part of what was measured. Parts come in order, from one proposer; a first part begins anew."""

    number: Position
    part: Annotated[int, Meta(ge=0, lt=MOST_PARTS)]
    parts: Annotated[int, Meta(ge=1, le=MOST_PARTS)]
    age_ms: Annotated[int, Meta(ge=0, le=MOST_MS)]  # of the oldest of it, as it was proposed
    servers: Annotated[tuple[Server, ...], Meta(max_length=MOST_SERVERS)] = ()
    doors: Annotated[tuple[Door, ...], Meta(max_length=MAX_MEMBERS)] = ()
    panel: Annotated[tuple[Name, ...], Meta(max_length=MOST_SEATS)] = ()
    spares: Annotated[int, Meta(ge=0, le=MAX_MEMBERS)] = 0
    ordered: Annotated[tuple[Name, ...], Meta(max_length=MOST_ORDERED)] = ()


class Stand(WireStruct, frozen=True, tag_field="kind", tag="stand"):
    """These servers, and no others, stand for front doors that are long without a session."""

    servers: Annotated[tuple[Name, ...], Meta(max_length=MOST_SERVERS)]


class Move(WireStruct, frozen=True, tag_field="kind", tag="move"):
    """A step of a work. `begun` is the position of the entry by which it drains, 0 where it does not."""

    id: Id
    step: Step
    begun: Position = 0


class Word(WireStruct, frozen=True, array_like=True):
    """Of one session, by its fence: what `Accounted` says, in the fewest bytes, as 256 must fit in an
    entry."""

    fence: Position
    known: ClearanceEvidence
    position: Position


class Out(WireStruct, frozen=True, tag_field="kind", tag="out"):
    """The permit, with the proof for the draining that began at `begun`."""

    id: Id
    begun: Position
    proof: Annotated[tuple[Word, ...], Meta(max_length=MOST_WORDS)]


class Back(WireStruct, frozen=True, tag_field="kind", tag="back"):
    """The machine that was out by this permit is there again, under this name."""

    id: Id
    permit: Annotated[int, Meta(ge=1, le=MOST_MS)]
    name: Name


Body = Ask | Seen | Stand | Move | Out | Back

_DECODER: msgspec.json.Decoder[Body] = msgspec.json.Decoder(Body)


def encode(body: Body) -> bytes:
    return msgspec.json.encode(body)


def decode(data: bytes) -> Body:
    """ValueError where it is none of them."""
    if len(data) > MAX_ENTRY_BODY_BYTES or not data.startswith(_FIRST):
        raise ValueError("not understood")
    try:
        return _DECODER.decode(data)
    except msgspec.DecodeError:  # its words are the library's, and may differ between its versions
        raise ValueError("not understood") from None
