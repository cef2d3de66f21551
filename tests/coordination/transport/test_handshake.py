"""The handshake: who has not the key, or is not who is wanted, is refused in one line."""

import msgspec
import pytest

from molereach.coordination.interface.identifiers import NodeInstance
from molereach.coordination.transport import handshake
from molereach.coordination.transport.handshake import (
    DiallerHandshake,
    Greeting,
    HandshakeError,
    Hello,
    ListenerHandshake,
)

KEY, PARTS = b"k" * 32, ("leases", "log")
A, B = NodeInstance("a", 10), NodeInstance("b", 20)


def dialling(
    me: NodeInstance = A, to: str = "b", parts: tuple[str, ...] = PARTS, key: bytes = KEY
) -> DiallerHandshake:
    return DiallerHandshake(me, to, parts, key, b"d" * 16)


def answering(key: bytes = KEY, nonce: bytes = b"l" * 16) -> ListenerHandshake:
    return ListenerHandshake(B, {"a", "b", "c"}, PARTS, key, nonce)


def test_both_sides_agree_on_one_session_and_authenticate_each_other() -> None:
    ours, theirs = dialling(), answering()
    assert theirs.receive_hello(ours.receive_greeting(theirs.greeting)) == A
    said, session = theirs.accept(A)
    ended = ours.receive_reply(said)
    assert (ended.id, ended.peer, session.peer) == (session.id, B, A)
    assert KEY not in theirs.greeting + ours.hello + said


@pytest.mark.parametrize(
    ("ours", "reason"),
    [
        (dialling(key=b"o" * 32), "proof"),
        (dialling(to="c"), "b is here, not c"),
        (dialling(me=NodeInstance("b", 9)), "name of who is asked"),
        (dialling(me=NodeInstance("x", 9)), "not of this council"),
        (dialling(parts=("log",)), "other parts"),
    ],
)
def test_a_listener_rejects(ours: DiallerHandshake, reason: str) -> None:
    theirs = answering()
    with pytest.raises(HandshakeError, match=reason):
        theirs.receive_hello(ours.receive_greeting(theirs.greeting))


def test_another_version_is_rejected_by_both_sides() -> None:
    with pytest.raises(HandshakeError, match="version 2"):
        dialling().receive_greeting(msgspec.msgpack.encode(Greeting(2, b"n" * 16)))
    theirs = answering()
    said = msgspec.msgpack.decode(dialling().receive_greeting(theirs.greeting), type=Hello)
    with pytest.raises(HandshakeError, match="version 2"):
        theirs.receive_hello(msgspec.msgpack.encode(msgspec.structs.replace(said, version=2)))


def test_a_replayed_hello_is_rejected_by_the_new_nonce() -> None:
    old = answering()
    said = dialling().receive_greeting(old.greeting)
    assert old.receive_hello(said) == A
    with pytest.raises(HandshakeError, match="proof"):
        answering(nonce=b"m" * 16).receive_hello(said)


def test_a_listener_with_another_key_a_replayed_welcome_or_another_name_is_rejected() -> None:
    ours, theirs, wrong = dialling(), answering(), answering(key=b"o" * 32)
    theirs.receive_hello(ours.receive_greeting(theirs.greeting))
    old, _ = theirs.accept(A)
    again = DiallerHandshake(A, "b", PARTS, KEY, b"e" * 16)
    again.receive_greeting(theirs.greeting)
    with pytest.raises(HandshakeError, match="proof"):
        again.receive_reply(old)
    wrong.hello = again.hello
    with pytest.raises(HandshakeError, match="proof"):
        again.receive_reply(wrong.accept(A)[0])
    other = dialling(to="c")
    theirs.hello = other.receive_greeting(theirs.greeting)
    with pytest.raises(HandshakeError, match="b is there, not c"):
        other.receive_reply(theirs.accept(A)[0])


def test_a_proof_cannot_be_returned_to_its_sender() -> None:
    ours, theirs = dialling(), answering()
    said = msgspec.msgpack.decode(ours.receive_greeting(theirs.greeting), type=Hello)
    with pytest.raises(HandshakeError, match="proof"):
        ours.receive_reply(msgspec.msgpack.encode(handshake.Welcome(B, said.proof)))


def test_any_flipped_bit_in_a_message_ends_the_handshake() -> None:
    theirs = answering()
    said = dialling().receive_greeting(theirs.greeting)
    for place in range(len(said)):
        data = bytearray(said)
        data[place] ^= 1
        with pytest.raises(HandshakeError):
            theirs.receive_hello(bytes(data))
    theirs.receive_hello(said)
    ours = dialling()
    ours.receive_greeting(theirs.greeting)
    welcome, _ = theirs.accept(A)
    for place in range(len(welcome)):
        data = bytearray(welcome)
        data[place] ^= 1
        with pytest.raises(HandshakeError):
            ours.receive_reply(bytes(data))


def test_a_reason_is_one_bounded_line() -> None:
    with pytest.raises(HandshakeError) as caught:
        dialling().receive_reply(handshake.encode_rejection("no\nERROR forged " + "x" * 900))
    assert "\n" not in str(caught.value) and len(str(caught.value)) < 300
