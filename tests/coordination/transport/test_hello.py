"""The handshake: who has not the key, or is not who is wanted, is refused in one line."""

import msgspec
import pytest

from molereach.coordination.interface.identifiers import NodeInstance
from molereach.coordination.transport import hello
from molereach.coordination.transport.hello import Answering, Dialling, Greeting, Hello, HelloError

KEY, PARTS = b"k" * 32, ("leases", "log")
A, B = NodeInstance("a", 10), NodeInstance("b", 20)


def dialling(
    me: NodeInstance = A, to: str = "b", parts: tuple[str, ...] = PARTS, key: bytes = KEY
) -> Dialling:
    return Dialling(me, to, parts, key, b"d" * 16)


def answering(key: bytes = KEY, nonce: bytes = b"l" * 16) -> Answering:
    return Answering(B, {"a", "b", "c"}, PARTS, key, nonce)


def test_both_sides_come_to_one_session_and_know_each_other() -> None:
    ours, theirs = dialling(), answering()
    assert theirs.hello(ours.greeted(theirs.greeting)) == A
    said, session = theirs.welcome(A)
    ended = ours.ended(said)
    assert (ended.id, ended.peer, session.peer) == (session.id, B, A)
    assert KEY not in theirs.greeting + ours.said + said


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
def test_a_listener_refuses(ours: Dialling, reason: str) -> None:
    theirs = answering()
    with pytest.raises(HelloError, match=reason):
        theirs.hello(ours.greeted(theirs.greeting))


def test_another_version_is_refused_on_both_sides() -> None:
    with pytest.raises(HelloError, match="version 2"):
        dialling().greeted(msgspec.msgpack.encode(Greeting(2, b"n" * 16)))
    theirs = answering()
    said = msgspec.msgpack.decode(dialling().greeted(theirs.greeting), type=Hello)
    with pytest.raises(HelloError, match="version 2"):
        theirs.hello(msgspec.msgpack.encode(msgspec.structs.replace(said, version=2)))


def test_an_old_hello_is_refused_by_the_new_nonce() -> None:
    old = answering()
    said = dialling().greeted(old.greeting)
    assert old.hello(said) == A
    with pytest.raises(HelloError, match="proof"):
        answering(nonce=b"m" * 16).hello(said)


def test_a_listener_without_the_key_or_with_an_old_welcome_or_another_name_is_refused() -> None:
    ours, theirs, wrong = dialling(), answering(), answering(key=b"o" * 32)
    theirs.hello(ours.greeted(theirs.greeting))
    old, _ = theirs.welcome(A)
    again = Dialling(A, "b", PARTS, KEY, b"e" * 16)
    again.greeted(theirs.greeting)
    with pytest.raises(HelloError, match="proof"):
        again.ended(old)
    wrong.heard = again.said
    with pytest.raises(HelloError, match="proof"):
        again.ended(wrong.welcome(A)[0])
    other = dialling(to="c")
    theirs.heard = other.greeted(theirs.greeting)
    with pytest.raises(HelloError, match="b is there, not c"):
        other.ended(theirs.welcome(A)[0])


def test_a_side_cannot_be_made_to_prove_itself_to_its_own_words() -> None:
    ours, theirs = dialling(), answering()
    said = msgspec.msgpack.decode(ours.greeted(theirs.greeting), type=Hello)
    with pytest.raises(HelloError, match="proof"):
        ours.ended(msgspec.msgpack.encode(hello.Welcome(B, said.proof)))


def test_a_flipped_bit_anywhere_in_a_word_ends_the_handshake() -> None:
    theirs = answering()
    said = dialling().greeted(theirs.greeting)
    for place in range(len(said)):
        data = bytearray(said)
        data[place] ^= 1
        with pytest.raises(HelloError):
            theirs.hello(bytes(data))
    theirs.hello(said)
    ours = dialling()
    ours.greeted(theirs.greeting)
    welcome, _ = theirs.welcome(A)
    for place in range(len(welcome)):
        data = bytearray(welcome)
        data[place] ^= 1
        with pytest.raises(HelloError):
            ours.ended(bytes(data))


def test_a_reason_is_one_bounded_line() -> None:
    with pytest.raises(HelloError) as caught:
        dialling().ended(hello.refusal("no\nERROR forged " + "x" * 900))
    assert "\n" not in str(caught.value) and len(str(caught.value)) < 300
