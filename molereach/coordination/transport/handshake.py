"""Who is at the other end: both sides prove that they have the shared key, and never send it. A core.

Three words, the listener's first: `Greeting` with its nonce; `Hello` with the dialler's nonce, life, whom it
wants and its proof; `Welcome` with the listener's life and proof, or `Refused`. A proof is BLAKE2b (RFC 7693)
under the key over the side's role and all words so far, so an old one is worth nothing against a new nonce,
nor one side's to the other, and the listener proves nothing to who has not proven itself. The session is made
of the same words. What was said before a proof was checked is believed in nothing but a line of the log.
"""

import hashlib
import hmac
from collections.abc import Container
from dataclasses import dataclass
from typing import Annotated

import msgspec
from msgspec import Meta

from molereach.coordination.interface.identifiers import Name, NodeInstance, WireStruct

VERSION = 1
NONCE_BYTES = 16
PROOF_BYTES = 32
MAX_HANDSHAKE_BYTES = 1024
MAX_PROTOCOLS = 16
MAX_REASON_CHARS = 200
PURPOSE = b"molereach-hello"

Nonce = Annotated[bytes, Meta(min_length=NONCE_BYTES, max_length=NONCE_BYTES)]
Proof = Annotated[bytes, Meta(max_length=PROOF_BYTES)]
Version = Annotated[int, Meta(ge=0, le=1 << 31)]
Reason = Annotated[str, Meta(max_length=MAX_REASON_CHARS)]


class Greeting(WireStruct, frozen=True, array_like=True, tag=1):
    """The listener's first word; every version has it in this form."""

    version: Version
    nonce: Nonce


class Hello(WireStruct, frozen=True, array_like=True, tag=2):
    """The dialler's word."""

    version: Version
    sender: NodeInstance
    recipient: Name
    protocols: Annotated[
        tuple[Name, ...], Meta(max_length=MAX_PROTOCOLS)
    ]  # they number messages: all have the same
    nonce: Nonce
    proof: Proof = b""


class Welcome(WireStruct, frozen=True, array_like=True, tag=3):
    """The listener's last word; the session has begun."""

    sender: NodeInstance
    proof: Proof = b""


class Rejection(WireStruct, frozen=True, array_like=True, tag=4):
    """The listener's last word; one line."""

    reason: Reason


class HandshakeError(ValueError):
    """The other side is not taken; one plain line."""


@dataclass(frozen=True, slots=True)
class Session:
    """A handshake that is over, both sides proven."""

    id: bytes
    peer: NodeInstance


_encoder = msgspec.msgpack.Encoder()
_greetings = msgspec.msgpack.Decoder(Greeting)
_hellos = msgspec.msgpack.Decoder(Hello)
_replies = msgspec.msgpack.Decoder(Welcome | Rejection)


def handshake_digest(key: bytes, role: bytes, *words: bytes) -> bytes:
    made = hashlib.blake2b(role, key=key, digest_size=PROOF_BYTES, person=PURPOSE)
    for word in words:
        made.update(len(word).to_bytes(4, "big") + word)
    return made.digest()


def encode_without_proof(word: Hello | Welcome) -> bytes:
    """A word without its proof: what the proof is made over."""
    return _encoder.encode(msgspec.structs.replace(word, proof=b""))


def check_proof(said: bytes, right: bytes) -> None:
    if not hmac.compare_digest(said, right):
        raise HandshakeError("the proof is wrong: another key, or an old handshake")


def check_version(version: int) -> None:
    if version != VERSION:
        raise HandshakeError(f"version {version} is not spoken here; {VERSION} is")


def printable_line(text: str) -> str:
    """What another said, fit for one line of a log."""
    return "".join(char if char.isprintable() else "?" for char in text[:MAX_REASON_CHARS])


def encode_rejection(reason: str) -> bytes:
    return _encoder.encode(Rejection(reason[:MAX_REASON_CHARS]))


class DiallerHandshake:
    """The dialler's side of one handshake; `nonce` is drawn for this one alone."""

    def __init__(self, me: NodeInstance, to: str, parts: tuple[str, ...], key: bytes, nonce: bytes) -> None:
        self.local_instance, self.recipient, self.protocols, self.key, self.nonce = me, to, parts, key, nonce
        self.hello = b""  # the hello
        self.greeting = b""

    def receive_greeting(self, data: bytes) -> bytes:
        """The hello that answers a greeting."""
        try:
            greeting = _greetings.decode(data)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise HandshakeError(f"no greeting: {printable_line(str(error))}") from error
        check_version(greeting.version)
        hello = Hello(VERSION, self.local_instance, self.recipient, self.protocols, self.nonce)
        self.greeting = data
        proof = handshake_digest(self.key, b"dialler", data, encode_without_proof(hello))
        self.hello = _encoder.encode(msgspec.structs.replace(hello, proof=proof))
        return self.hello

    def receive_reply(self, data: bytes) -> Session:
        """The session that a welcome begins; HelloError for a refusal, with its reason."""
        try:
            word = _replies.decode(data)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise HandshakeError(f"no welcome: {printable_line(str(error))}") from error
        if isinstance(word, Rejection):
            raise HandshakeError(f"refused: {printable_line(word.reason)}")
        check_proof(
            word.proof,
            handshake_digest(self.key, b"listener", self.greeting, self.hello, encode_without_proof(word)),
        )
        if word.sender.name != self.recipient:
            raise HandshakeError(f"{word.sender.name} is there, not {self.recipient}")
        return Session(handshake_digest(self.key, b"session", self.greeting, self.hello, data), word.sender)


class ListenerHandshake:
    """The listener's side of one handshake."""

    def __init__(
        self,
        me: NodeInstance,
        known: Container[str],
        parts: tuple[str, ...],
        key: bytes,
        nonce: bytes,
    ) -> None:
        self.local_instance, self.known_names, self.protocols, self.key = me, known, parts, key
        self.greeting = _encoder.encode(Greeting(VERSION, nonce))
        self.hello = b""  # the hello

    def receive_hello(self, data: bytes) -> NodeInstance:
        """Who dials, proven; whether it is welcome is then the owner's matter."""
        try:
            hello = _hellos.decode(data)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise HandshakeError(f"no hello: {printable_line(str(error))}") from error
        check_version(hello.version)
        check_proof(
            hello.proof, handshake_digest(self.key, b"dialler", self.greeting, encode_without_proof(hello))
        )
        if hello.recipient != self.local_instance.name:
            raise HandshakeError(f"{self.local_instance.name} is here, not {hello.recipient}")
        if hello.sender.name == self.local_instance.name:
            raise HandshakeError(f"{hello.sender.name} is the name of who is asked")
        if hello.sender.name not in self.known_names:
            raise HandshakeError(f"{hello.sender.name} is not of this council")
        if hello.protocols != self.protocols:
            raise HandshakeError(f"other parts: {', '.join(hello.protocols)}")
        self.hello = data
        return hello.sender

    def accept(self, peer: NodeInstance) -> tuple[bytes, Session]:
        word = Welcome(self.local_instance)
        proof = handshake_digest(self.key, b"listener", self.greeting, self.hello, encode_without_proof(word))
        said = _encoder.encode(msgspec.structs.replace(word, proof=proof))
        return said, Session(handshake_digest(self.key, b"session", self.greeting, self.hello, said), peer)
