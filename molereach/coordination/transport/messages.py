"""What a frame's body says: the part that it is for, and a message of that part. A core.

A body is msgpack: an array of the part's number and the message. Parts are numbered from 1 in the order of
their names, which both sides compare in the handshake; 0 is the links' own.
"""

from collections.abc import Mapping
from typing import Annotated, Any

import msgspec
from msgspec import Meta

from molereach.coordination.interface.identifiers import WireStruct
from molereach.coordination.transport.handshake import MAX_PROTOCOLS, Reason, printable_line

CONTROL_PROTOCOL = ""  # the part of the links' own words


class MessageError(ValueError):
    """A body says nothing that is understood here; one plain line."""


class Heartbeat(WireStruct, frozen=True, array_like=True, tag=1):
    """How many messages of this link were taken in since it began."""

    received: Annotated[int, Meta(ge=0, le=1 << 62)]


class Goodbye(WireStruct, frozen=True, array_like=True, tag=2):
    """Nothing more will be said on this link; what is still on its way is taken."""

    reason: Reason


class Envelope(WireStruct, frozen=True, array_like=True):
    protocol_number: Annotated[int, Meta(ge=0, le=MAX_PROTOCOLS)]
    body: msgspec.Raw


class MessageCodec:
    """The messages of the given parts, each a msgspec type (a union of tagged structs)."""

    def __init__(self, parts: Mapping[str, Any]) -> None:
        if len(parts) > MAX_PROTOCOLS or CONTROL_PROTOCOL in parts:
            raise ValueError(f"parts: up to {MAX_PROTOCOLS} with a name each")
        self.protocols = tuple(sorted(parts))
        self.protocol_numbers = {
            name: number for number, name in enumerate((CONTROL_PROTOCOL, *self.protocols))
        }
        self.encoder = msgspec.msgpack.Encoder()
        self.envelope_decoder = msgspec.msgpack.Decoder(Envelope)
        types: dict[str, Any] = {CONTROL_PROTOCOL: Heartbeat | Goodbye, **parts}
        self.decoders = [(name, msgspec.msgpack.Decoder(types[name])) for name in self.protocol_numbers]

    def encode(self, part: str, message: object) -> bytes:
        """KeyError for a part that is not here: a fault of ours."""
        return self.encoder.encode((self.protocol_numbers[part], message))

    def decode(self, body: bytes) -> tuple[str, Any]:
        """The part and its message; WordError where there is none."""
        try:
            envelope = self.envelope_decoder.decode(body)
            if envelope.protocol_number >= len(self.decoders):
                raise MessageError(f"part {envelope.protocol_number} is not known")
            name, reader = self.decoders[envelope.protocol_number]
            return name, reader.decode(envelope.body)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise MessageError(printable_line(f"not understood: {error}")) from error
