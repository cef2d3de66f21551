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
MOST_HELLO_BYTES = 1024
MOST_PARTS = 16
MOST_REASON_CHARS = 200
PURPOSE = b"molereach-hello"

Nonce = Annotated[bytes, Meta(min_length=NONCE_BYTES, max_length=NONCE_BYTES)]
Proof = Annotated[bytes, Meta(max_length=PROOF_BYTES)]
Version = Annotated[int, Meta(ge=0, le=1 << 31)]
Reason = Annotated[str, Meta(max_length=MOST_REASON_CHARS)]


class Greeting(WireStruct, frozen=True, array_like=True, tag=1):
    """The listener's first word; every version has it in this form."""

    version: Version
    nonce: Nonce


class Hello(WireStruct, frozen=True, array_like=True, tag=2):
    """The dialler's word."""

    version: Version
    me: NodeInstance
    to: Name
    parts: Annotated[tuple[Name, ...], Meta(max_length=MOST_PARTS)]  # they number messages: all have the same
    nonce: Nonce
    proof: Proof = b""


class Welcome(WireStruct, frozen=True, array_like=True, tag=3):
    """The listener's last word; the session has begun."""

    me: NodeInstance
    proof: Proof = b""


class Refused(WireStruct, frozen=True, array_like=True, tag=4):
    """The listener's last word; one line."""

    reason: Reason


class HelloError(ValueError):
    """The other side is not taken; one plain line."""


@dataclass(frozen=True, slots=True)
class Session:
    """A handshake that is over, both sides proven."""

    id: bytes
    peer: NodeInstance


_encoder = msgspec.msgpack.Encoder()
_greetings = msgspec.msgpack.Decoder(Greeting)
_hellos = msgspec.msgpack.Decoder(Hello)
_endings = msgspec.msgpack.Decoder(Welcome | Refused)


def digest(key: bytes, role: bytes, *words: bytes) -> bytes:
    made = hashlib.blake2b(role, key=key, digest_size=PROOF_BYTES, person=PURPOSE)
    for word in words:
        made.update(len(word).to_bytes(4, "big") + word)
    return made.digest()


def bare(word: Hello | Welcome) -> bytes:
    """A word without its proof: what the proof is made over."""
    return _encoder.encode(msgspec.structs.replace(word, proof=b""))


def check_proof(said: bytes, right: bytes) -> None:
    if not hmac.compare_digest(said, right):
        raise HelloError("the proof is wrong: another key, or an old handshake")


def check_version(version: int) -> None:
    if version != VERSION:
        raise HelloError(f"version {version} is not spoken here; {VERSION} is")


def line(text: str) -> str:
    """What another said, fit for one line of a log."""
    return "".join(char if char.isprintable() else "?" for char in text[:MOST_REASON_CHARS])


def refusal(reason: str) -> bytes:
    return _encoder.encode(Refused(reason[:MOST_REASON_CHARS]))


class Dialling:
    """The dialler's side of one handshake; `nonce` is drawn for this one alone."""

    def __init__(self, me: NodeInstance, to: str, parts: tuple[str, ...], key: bytes, nonce: bytes) -> None:
        self.me, self.to, self.parts, self.key, self.nonce = me, to, parts, key, nonce
        self.said = b""  # the hello
        self.greeting = b""

    def greeted(self, data: bytes) -> bytes:
        """The hello that answers a greeting."""
        try:
            greeting = _greetings.decode(data)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise HelloError(f"no greeting: {line(str(error))}") from error
        check_version(greeting.version)
        hello = Hello(VERSION, self.me, self.to, self.parts, self.nonce)
        self.greeting = data
        proof = digest(self.key, b"dialler", data, bare(hello))
        self.said = _encoder.encode(msgspec.structs.replace(hello, proof=proof))
        return self.said

    def ended(self, data: bytes) -> Session:
        """The session that a welcome begins; HelloError for a refusal, with its reason."""
        try:
            word = _endings.decode(data)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise HelloError(f"no welcome: {line(str(error))}") from error
        if isinstance(word, Refused):
            raise HelloError(f"refused: {line(word.reason)}")
        check_proof(word.proof, digest(self.key, b"listener", self.greeting, self.said, bare(word)))
        if word.me.name != self.to:
            raise HelloError(f"{word.me.name} is there, not {self.to}")
        return Session(digest(self.key, b"session", self.greeting, self.said, data), word.me)


class Answering:
    """The listener's side of one handshake."""

    def __init__(
        self,
        me: NodeInstance,
        known: Container[str],
        parts: tuple[str, ...],
        key: bytes,
        nonce: bytes,
    ) -> None:
        self.me, self.known, self.parts, self.key = me, known, parts, key
        self.greeting = _encoder.encode(Greeting(VERSION, nonce))
        self.heard = b""  # the hello

    def hello(self, data: bytes) -> NodeInstance:
        """Who dials, proven; whether it is welcome is then the owner's matter."""
        try:
            hello = _hellos.decode(data)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise HelloError(f"no hello: {line(str(error))}") from error
        check_version(hello.version)
        check_proof(hello.proof, digest(self.key, b"dialler", self.greeting, bare(hello)))
        if hello.to != self.me.name:
            raise HelloError(f"{self.me.name} is here, not {hello.to}")
        if hello.me.name == self.me.name:
            raise HelloError(f"{hello.me.name} is the name of who is asked")
        if hello.me.name not in self.known:
            raise HelloError(f"{hello.me.name} is not of this council")
        if hello.parts != self.parts:
            raise HelloError(f"other parts: {', '.join(hello.parts)}")
        self.heard = data
        return hello.me

    def welcome(self, peer: NodeInstance) -> tuple[bytes, Session]:
        word = Welcome(self.me)
        proof = digest(self.key, b"listener", self.greeting, self.heard, bare(word))
        said = _encoder.encode(msgspec.structs.replace(word, proof=proof))
        return said, Session(digest(self.key, b"session", self.greeting, self.heard, said), peer)
