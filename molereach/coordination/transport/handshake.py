"""Mutual authentication of two proxies with a shared key, which is never transmitted. Sans-I/O.

There are three messages. The listener sends `Greeting` with its nonce; the dialler sends `Hello` with its
nonce, instance, intended recipient and proof; the listener sends `Welcome` with its instance and proof, or
`Rejection`. A proof is BLAKE2b (RFC 7693), keyed with the shared key, over the role of its sender and all
messages so far. So a replayed proof fails against a new nonce, a proof cannot be reflected to its sender, and
the listener sends no proof to a peer that is not authenticated. The session identifier is derived from the
same messages. Unauthenticated data is otherwise used in log lines and rejections only.
"""

import hashlib
import hmac
from collections.abc import Container
from dataclasses import dataclass
from typing import Annotated

import msgspec
from msgspec import Meta

from molereach.coordination.interface.identifiers import Name, NodeInstance, WireStruct
from molereach.coordination.transport.errors import HandshakeError

VERSION = 1
NONCE_BYTES = 16
PROOF_BYTES = 32
MAX_HANDSHAKE_BYTES = 1024
MAX_PROTOCOLS = 16
MAX_REASON_CHARS = 200
PERSONALIZATION = b"molereach-hello"  # separates these digests from other uses of the key
MESSAGE_LENGTH_BYTES = 4  # size of a message's length in the digest's input
DIALLER_ROLE = b"dialler"
LISTENER_ROLE = b"listener"
SESSION_ROLE = b"session"

Nonce = Annotated[bytes, Meta(min_length=NONCE_BYTES, max_length=NONCE_BYTES)]
Proof = Annotated[bytes, Meta(max_length=PROOF_BYTES)]
Version = Annotated[int, Meta(ge=0, le=1 << 31)]
Reason = Annotated[str, Meta(max_length=MAX_REASON_CHARS)]


class Greeting(WireStruct, frozen=True, array_like=True, tag=1):
    """The listener's first message; its format is the same in all versions."""

    version: Version
    nonce: Nonce


class Hello(WireStruct, frozen=True, array_like=True, tag=2):
    """The dialler's request for a session."""

    version: Version
    sender: NodeInstance
    recipient: Name
    protocols: Annotated[
        tuple[Name, ...], Meta(max_length=MAX_PROTOCOLS)
    ]  # must be the same on both sides: the order numbers the protocols
    nonce: Nonce
    proof: Proof = b""


class Welcome(WireStruct, frozen=True, array_like=True, tag=3):
    """The listener accepts the dialler; the session is established."""

    sender: NodeInstance
    proof: Proof = b""


class Rejection(WireStruct, frozen=True, array_like=True, tag=4):
    """The listener rejects the dialler; the reason is one line."""

    reason: Reason


@dataclass(frozen=True, slots=True)
class AuthenticatedSession:
    """The result of a completed handshake: both sides are authenticated."""

    id: bytes
    peer: NodeInstance


_encoder = msgspec.msgpack.Encoder()
_greeting_decoder = msgspec.msgpack.Decoder(Greeting)
_hello_decoder = msgspec.msgpack.Decoder(Hello)
_reply_decoder = msgspec.msgpack.Decoder(Welcome | Rejection)


def handshake_digest(key: bytes, role: bytes, *messages: bytes) -> bytes:
    """The keyed hash of a role and messages; length prefixes make sequences of messages unambiguous."""
    keyed_hash = hashlib.blake2b(role, key=key, digest_size=PROOF_BYTES, person=PERSONALIZATION)
    for message in messages:
        keyed_hash.update(len(message).to_bytes(MESSAGE_LENGTH_BYTES, "big") + message)
    return keyed_hash.digest()


def encode_without_proof(message: Hello | Welcome) -> bytes:
    """The encoded message with an empty proof, which its proof covers."""
    return _encoder.encode(msgspec.structs.replace(message, proof=b""))


def check_proof(received: bytes, expected: bytes) -> None:
    """HandshakeError if the proofs differ; compares in constant time."""
    if not hmac.compare_digest(received, expected):
        raise HandshakeError("the proof is wrong: another key, or an old handshake")


def check_version(version: int) -> None:
    """HandshakeError for a version other than `VERSION`."""
    if version != VERSION:
        raise HandshakeError(f"version {version} is not spoken here; {VERSION} is")


def printable_line(text: str) -> str:
    """Untrusted text as one printable line of bounded length, for a log."""
    return "".join(char if char.isprintable() else "?" for char in text[:MAX_REASON_CHARS])


def encode_rejection(reason: str) -> bytes:
    """The encoded rejection for a dialler."""
    return _encoder.encode(Rejection(reason[:MAX_REASON_CHARS]))


class DiallerHandshake:
    """The dialler's side of one handshake; `nonce` must be random and used only once."""

    def __init__(
        self,
        local_instance: NodeInstance,
        recipient: str,
        protocols: tuple[str, ...],
        key: bytes,
        nonce: bytes,
    ) -> None:
        self.local_instance = local_instance
        self.recipient = recipient
        self.protocols = protocols
        self.key = key
        self.nonce = nonce
        self.hello = b""
        self.greeting = b""

    def receive_greeting(self, data: bytes) -> bytes:
        """The encoded hello that replies to a greeting; HandshakeError for an invalid greeting."""
        try:
            greeting = _greeting_decoder.decode(data)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise HandshakeError(f"no greeting: {printable_line(str(error))}") from error
        check_version(greeting.version)
        hello = Hello(VERSION, self.local_instance, self.recipient, self.protocols, self.nonce)
        self.greeting = data
        proof = handshake_digest(self.key, DIALLER_ROLE, data, encode_without_proof(hello))
        self.hello = _encoder.encode(msgspec.structs.replace(hello, proof=proof))
        return self.hello

    def receive_reply(self, data: bytes) -> AuthenticatedSession:
        """The session that a welcome establishes; HandshakeError for a rejection, with its reason."""
        try:
            reply = _reply_decoder.decode(data)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise HandshakeError(f"no welcome: {printable_line(str(error))}") from error
        if isinstance(reply, Rejection):
            raise HandshakeError(f"refused: {printable_line(reply.reason)}")
        check_proof(
            reply.proof,
            handshake_digest(self.key, LISTENER_ROLE, self.greeting, self.hello, encode_without_proof(reply)),
        )
        if reply.sender.name != self.recipient:
            raise HandshakeError(f"{reply.sender.name} is there, not {self.recipient}")
        return AuthenticatedSession(
            handshake_digest(self.key, SESSION_ROLE, self.greeting, self.hello, data), reply.sender
        )


class ListenerHandshake:
    """The listener's side of one handshake."""

    def __init__(
        self,
        local_instance: NodeInstance,
        known_names: Container[str],
        protocols: tuple[str, ...],
        key: bytes,
        nonce: bytes,
    ) -> None:
        self.local_instance = local_instance
        self.known_names = known_names
        self.protocols = protocols
        self.key = key
        self.greeting = _encoder.encode(Greeting(VERSION, nonce))
        self.hello = b""

    def receive_hello(self, data: bytes) -> NodeInstance:
        """The authenticated dialler, which the owner may still reject; HandshakeError if it is invalid."""
        try:
            hello = _hello_decoder.decode(data)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise HandshakeError(f"no hello: {printable_line(str(error))}") from error
        check_version(hello.version)
        check_proof(
            hello.proof, handshake_digest(self.key, DIALLER_ROLE, self.greeting, encode_without_proof(hello))
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

    def accept(self, peer: NodeInstance) -> tuple[bytes, AuthenticatedSession]:
        """The encoded welcome for an authenticated dialler, and the session."""
        welcome_without_proof = Welcome(self.local_instance)
        proof_input = encode_without_proof(welcome_without_proof)
        proof = handshake_digest(self.key, LISTENER_ROLE, self.greeting, self.hello, proof_input)
        welcome = _encoder.encode(msgspec.structs.replace(welcome_without_proof, proof=proof))
        session_id = handshake_digest(self.key, SESSION_ROLE, self.greeting, self.hello, welcome)
        return welcome, AuthenticatedSession(session_id, peer)
