"""The handshake: a side without the key or with an unexpected name is rejected, with a one-line reason."""

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

KEY, PROTOCOLS = b"k" * 32, ("leases", "log")
A, B = NodeInstance("a", 10), NodeInstance("b", 20)


def new_dialler(
    instance: NodeInstance = A, recipient: str = "b", protocols: tuple[str, ...] = PROTOCOLS, key: bytes = KEY
) -> DiallerHandshake:
    return DiallerHandshake(instance, recipient, protocols, key, b"d" * 16)


def new_listener(key: bytes = KEY, nonce: bytes = b"l" * 16) -> ListenerHandshake:
    return ListenerHandshake(B, {"a", "b", "c"}, PROTOCOLS, key, nonce)


def test_both_sides_agree_on_one_session_and_authenticate_each_other() -> None:
    dialler, listener = new_dialler(), new_listener()
    assert listener.receive_hello(dialler.receive_greeting(listener.greeting)) == A
    welcome, listener_session = listener.accept(A)
    dialler_session = dialler.receive_reply(welcome)
    assert (dialler_session.id, dialler_session.peer, listener_session.peer) == (listener_session.id, B, A)
    assert KEY not in listener.greeting + dialler.hello + welcome


@pytest.mark.parametrize(
    ("dialler", "reason"),
    [
        (new_dialler(key=b"o" * 32), "proof"),
        (new_dialler(recipient="c"), "b is here, not c"),
        (new_dialler(instance=NodeInstance("b", 9)), "name of who is asked"),
        (new_dialler(instance=NodeInstance("x", 9)), "not of this council"),
        (new_dialler(protocols=("log",)), "other parts"),
    ],
)
def test_a_listener_rejects(dialler: DiallerHandshake, reason: str) -> None:
    listener = new_listener()
    with pytest.raises(HandshakeError, match=reason):
        listener.receive_hello(dialler.receive_greeting(listener.greeting))


def test_another_version_is_rejected_by_both_sides() -> None:
    with pytest.raises(HandshakeError, match="version 2"):
        new_dialler().receive_greeting(msgspec.msgpack.encode(Greeting(2, b"n" * 16)))
    listener = new_listener()
    hello = msgspec.msgpack.decode(new_dialler().receive_greeting(listener.greeting), type=Hello)
    with pytest.raises(HandshakeError, match="version 2"):
        listener.receive_hello(msgspec.msgpack.encode(msgspec.structs.replace(hello, version=2)))


def test_a_replayed_hello_is_rejected_by_the_new_nonce() -> None:
    recorded = new_listener()
    hello = new_dialler().receive_greeting(recorded.greeting)
    assert recorded.receive_hello(hello) == A
    with pytest.raises(HandshakeError, match="proof"):
        new_listener(nonce=b"m" * 16).receive_hello(hello)


def test_a_listener_with_another_key_a_replayed_welcome_or_another_name_is_rejected() -> None:
    dialler, listener, other_key_listener = new_dialler(), new_listener(), new_listener(key=b"o" * 32)
    listener.receive_hello(dialler.receive_greeting(listener.greeting))
    recorded, _ = listener.accept(A)
    second_dialler = DiallerHandshake(A, "b", PROTOCOLS, KEY, b"e" * 16)
    second_dialler.receive_greeting(listener.greeting)
    with pytest.raises(HandshakeError, match="proof"):
        second_dialler.receive_reply(recorded)
    other_key_listener.hello = second_dialler.hello
    with pytest.raises(HandshakeError, match="proof"):
        second_dialler.receive_reply(other_key_listener.accept(A)[0])
    other = new_dialler(recipient="c")
    listener.hello = other.receive_greeting(listener.greeting)
    with pytest.raises(HandshakeError, match="b is there, not c"):
        other.receive_reply(listener.accept(A)[0])


def test_a_proof_cannot_be_returned_to_its_sender() -> None:
    dialler, listener = new_dialler(), new_listener()
    hello = msgspec.msgpack.decode(dialler.receive_greeting(listener.greeting), type=Hello)
    with pytest.raises(HandshakeError, match="proof"):
        dialler.receive_reply(msgspec.msgpack.encode(handshake.Welcome(B, hello.proof)))


def test_any_flipped_bit_in_a_message_ends_the_handshake() -> None:
    listener = new_listener()
    hello = new_dialler().receive_greeting(listener.greeting)
    for offset in range(len(hello)):
        data = bytearray(hello)
        data[offset] ^= 1
        with pytest.raises(HandshakeError):
            listener.receive_hello(bytes(data))
    listener.receive_hello(hello)
    dialler = new_dialler()
    dialler.receive_greeting(listener.greeting)
    welcome, _ = listener.accept(A)
    for offset in range(len(welcome)):
        data = bytearray(welcome)
        data[offset] ^= 1
        with pytest.raises(HandshakeError):
            dialler.receive_reply(bytes(data))


def test_a_reason_is_one_bounded_line() -> None:
    with pytest.raises(HandshakeError) as caught:
        new_dialler().receive_reply(handshake.encode_rejection("no\nERROR forged " + "x" * 900))
    assert "\n" not in str(caught.value) and len(str(caught.value)) < 300
