"""Frame bodies: a protocol number and a message of that protocol. Sans-I/O.

A body is a msgpack array of the two. Protocols are numbered from 1 in the alphabetical order of their names,
which the handshake compares; 0 is the transport's control protocol.
"""

from collections.abc import Mapping
from typing import Annotated, Any

import msgspec
from msgspec import Meta

from molereach.coordination.interface.identifiers import WireStruct
from molereach.coordination.transport.errors import MessageError
from molereach.coordination.transport.handshake import MAX_PROTOCOLS, Reason, printable_line

CONTROL_PROTOCOL = ""  # name of the protocol of the transport's control messages


class Heartbeat(WireStruct, frozen=True, array_like=True, tag=1):
    """The total of messages that the sender has received on this connection."""

    received: Annotated[int, Meta(ge=0, le=1 << 62)]


class Goodbye(WireStruct, frozen=True, array_like=True, tag=2):
    """The last message of its sender on this connection; the sender still processes received messages."""

    reason: Reason


class Envelope(WireStruct, frozen=True, array_like=True):
    """A body with an undecoded message."""

    protocol_number: Annotated[int, Meta(ge=0, le=MAX_PROTOCOLS)]
    body: msgspec.Raw


class MessageCodec:
    """Encodes and decodes messages; `message_types` maps a protocol to a msgspec type (a tagged union)."""

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
        """The body that contains a message; KeyError for an unknown protocol (a programming error)."""
        return self.encoder.encode((self.protocol_numbers[protocol], message))

    def decode(self, body: bytes) -> tuple[str, Any]:
        """The protocol and message of a body; MessageError if the body is invalid."""
        try:
            envelope = self.envelope_decoder.decode(body)
            if envelope.protocol_number >= len(self.decoders):
                raise MessageError(f"part {envelope.protocol_number} is not known")
            protocol, decoder = self.decoders[envelope.protocol_number]
            return protocol, decoder.decode(envelope.body)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise MessageError(printable_line(f"not understood: {error}")) from error
