"""The bodies of frames: a protocol's number and a message of that protocol. Sans-I/O.

A body is msgpack, an array of the two. Protocols are numbered from 1 in alphabetical order of their names,
which both sides compare in the handshake; 0 is the transport's own protocol.
"""

from collections.abc import Mapping
from typing import Annotated, Any

import msgspec
from msgspec import Meta

from molereach.coordination.interface.identifiers import WireStruct
from molereach.coordination.transport.errors import MessageError
from molereach.coordination.transport.handshake import MAX_PROTOCOLS, Reason, printable_line

CONTROL_PROTOCOL = ""  # of the transport's own messages


class Heartbeat(WireStruct, frozen=True, array_like=True, tag=1):
    """How many messages the sender has received on this connection since it opened."""

    received: Annotated[int, Meta(ge=0, le=1 << 62)]


class Goodbye(WireStruct, frozen=True, array_like=True, tag=2):
    """The sender sends nothing more on this connection; it processes what still arrives."""

    reason: Reason


class Envelope(WireStruct, frozen=True, array_like=True):
    """A body whose message is not decoded yet."""

    protocol_number: Annotated[int, Meta(ge=0, le=MAX_PROTOCOLS)]
    body: msgspec.Raw


class MessageCodec:
    """Encodes and decodes messages; `message_types` has a msgspec type (a tagged union) per protocol."""

    def __init__(self, message_types: Mapping[str, Any]) -> None:
        if len(message_types) > MAX_PROTOCOLS or CONTROL_PROTOCOL in message_types:
            raise ValueError(f"parts: up to {MAX_PROTOCOLS} with a name each")
        self.protocols = tuple(sorted(message_types))
        numbered_names = enumerate((CONTROL_PROTOCOL, *self.protocols))
        self.protocol_numbers = {name: number for number, name in numbered_names}
        self.encoder = msgspec.msgpack.Encoder()
        self.envelope_decoder = msgspec.msgpack.Decoder(Envelope)
        types: dict[str, Any] = {CONTROL_PROTOCOL: Heartbeat | Goodbye, **message_types}
        self.decoders = [(name, msgspec.msgpack.Decoder(types[name])) for name in self.protocol_numbers]

    def encode(self, protocol: str, message: object) -> bytes:
        """The body of a message; KeyError for an unknown protocol, a programming error."""
        return self.encoder.encode((self.protocol_numbers[protocol], message))

    def decode(self, body: bytes) -> tuple[str, Any]:
        """The protocol and the message in a body; MessageError if there is none."""
        try:
            envelope = self.envelope_decoder.decode(body)
            if envelope.protocol_number >= len(self.decoders):
                raise MessageError(f"part {envelope.protocol_number} is not known")
            protocol, decoder = self.decoders[envelope.protocol_number]
            return protocol, decoder.decode(envelope.body)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise MessageError(printable_line(f"not understood: {error}")) from error
