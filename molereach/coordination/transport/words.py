"""What a frame's body says: the part that it is for, and a message of that part. A core.

A body is msgpack: an array of the part's number and the message. Parts are numbered from 1 in the order of
their names, which both sides compare in the handshake; 0 is the links' own.
"""

from collections.abc import Mapping
from typing import Annotated, Any

import msgspec
from msgspec import Meta

from molereach.coordination.interface.identifiers import WireStruct
from molereach.coordination.transport.hello import MOST_PARTS, Reason, line

OWN = ""  # the part of the links' own words


class WordError(ValueError):
    """A body says nothing that is understood here; one plain line."""


class Beat(WireStruct, frozen=True, array_like=True, tag=1):
    """How many messages of this link were taken in since it began."""

    heard: Annotated[int, Meta(ge=0, le=1 << 62)]


class Bye(WireStruct, frozen=True, array_like=True, tag=2):
    """Nothing more will be said on this link; what is still on its way is taken."""

    reason: Reason


class Envelope(WireStruct, frozen=True, array_like=True):
    part: Annotated[int, Meta(ge=0, le=MOST_PARTS)]
    body: msgspec.Raw


class Words:
    """The messages of the given parts, each a msgspec type (a union of tagged structs)."""

    def __init__(self, parts: Mapping[str, Any]) -> None:
        if len(parts) > MOST_PARTS or OWN in parts:
            raise ValueError(f"parts: up to {MOST_PARTS} with a name each")
        self.names = tuple(sorted(parts))
        self.numbers = {name: number for number, name in enumerate((OWN, *self.names))}
        self.encoder = msgspec.msgpack.Encoder()
        self.envelopes = msgspec.msgpack.Decoder(Envelope)
        types: dict[str, Any] = {OWN: Beat | Bye, **parts}
        self.readers = [(name, msgspec.msgpack.Decoder(types[name])) for name in self.numbers]

    def pack(self, part: str, message: object) -> bytes:
        """KeyError for a part that is not here: a fault of ours."""
        return self.encoder.encode((self.numbers[part], message))

    def read(self, body: bytes) -> tuple[str, Any]:
        """The part and its message; WordError where there is none."""
        try:
            envelope = self.envelopes.decode(body)
            if envelope.part >= len(self.readers):
                raise WordError(f"part {envelope.part} is not known")
            name, reader = self.readers[envelope.part]
            return name, reader.decode(envelope.body)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise WordError(line(f"not understood: {error}")) from error
