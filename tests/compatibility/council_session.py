"""One link between two front doors, with fixed nonces and a fixed key: its handshake and its first frames."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from molereach.coordination.node.components import DISSEMINATION, LOG, MEMBERSHIP, MESSAGE_TYPES
from molereach.coordination.transport.frames import MAX_BODY_BYTES, TAG_BYTES, FrameSplitter
from molereach.coordination.transport.handshake import (
    AuthenticatedSession,
    DiallerHandshake,
    ListenerHandshake,
    encode_rejection,
)
from molereach.coordination.transport.heartbeat import HeartbeatMonitor
from molereach.coordination.transport.messages import CONTROL_PROTOCOL, MessageCodec
from molereach.coordination.transport.session_channel import SessionChannel
from tests.compatibility import council_samples as samples

KEY = bytes(range(100, 132))
DIALLER_NONCE, LISTENER_NONCE = bytes(range(16)), bytes(range(16, 32))
FILE_NAME = "council_link_session.hex"
REFUSAL = "crossed: the dial of the smaller name stays"
DIALLER, LISTENER = "dialler", "listener"

Spoken = tuple[str, Any]  # a part and its message


@dataclass(frozen=True, slots=True)
class Handshake:
    """The words of a finished handshake, and the session as each side has it."""

    greeting: bytes
    hello: bytes
    welcome: bytes
    dialler: AuthenticatedSession
    listener: AuthenticatedSession


def part_names() -> tuple[str, ...]:
    """The parts as a handshake names them."""
    return MessageCodec(MESSAGE_TYPES).protocols


def dialling() -> DiallerHandshake:
    """The dialler's side."""
    first, second = samples.FIRST_DOOR, samples.SECOND_DOOR
    return DiallerHandshake(first, second.name, part_names(), KEY, DIALLER_NONCE)


def answering() -> ListenerHandshake:
    """The listener's side."""
    known = {samples.FIRST_DOOR.name, samples.SECOND_DOOR.name}
    return ListenerHandshake(samples.SECOND_DOOR, known, part_names(), KEY, LISTENER_NONCE)


def shake_hands() -> Handshake:
    """Both sides of the handshake."""
    dialler, listener = dialling(), answering()
    hello = dialler.receive_greeting(listener.greeting)
    peer = listener.receive_hello(hello)
    welcome, listener_session = listener.accept(peer)
    return Handshake(listener.greeting, hello, welcome, dialler.receive_reply(welcome), listener_session)


def speech(session: AuthenticatedSession, side: str) -> SessionChannel:
    """One side's sealed conversation."""
    pulse = HeartbeatMonitor(max_silent_heartbeats=8, max_stalled_heartbeats=8, max_idle_heartbeats=1000)
    return SessionChannel(KEY, session, side == DIALLER, MessageCodec(MESSAGE_TYPES), pulse)


def spoken(side: str) -> list[Spoken]:
    """What a side says, in order: all messages of the dialler, the links' own of the listener."""
    if side == LISTENER:
        beat, bye = samples.link_own_messages().values()
        return [(DISSEMINATION, message) for message in samples.spread_messages().values()] + [
            (CONTROL_PROTOCOL, beat),
            (CONTROL_PROTOCOL, bye),
        ]
    membership = [(MEMBERSHIP, message) for message in samples.membership_messages().values()]
    return membership + [(LOG, message) for message in samples.log_messages().values()]


def frames(session: AuthenticatedSession, side: str) -> list[bytes]:
    """The sealed frames of what a side says."""
    talk, words = speech(session, side), MessageCodec(MESSAGE_TYPES)
    return [
        talk.seal_control(message)
        if part == CONTROL_PROTOCOL
        else talk.seal_message(words.encode(part, message))
        for part, message in spoken(side)
    ]


def heard(session: AuthenticatedSession, side: str, data: Iterable[bytes]) -> list[Spoken]:
    """What the other side takes out of a side's frames."""
    other = LISTENER if side == DIALLER else DIALLER
    talk, cutter = speech(session, other), FrameSplitter(MAX_BODY_BYTES, TAG_BYTES)
    for _ in range(1000):
        talk.heartbeat.on_sent()  # so that any count of messages may be acknowledged
    for part in data:
        cutter.feed(part)
    found = []
    while (frame := cutter.next_frame()) is not None:
        found.append(talk.open_frame(frame))
    return found


def session_values() -> dict[str, bytes]:
    """All bytes of the link, by name."""
    done = shake_hands()
    values = {"greeting": done.greeting, "hello": done.hello, "welcome": done.welcome}
    values |= {"session": done.dialler.id, "refusal": encode_rejection(REFUSAL)}
    for side, session in ((DIALLER, done.dialler), (LISTENER, done.listener)):
        values |= {f"{side}-{at}": frame for at, frame in enumerate(frames(session, side))}
    return values
