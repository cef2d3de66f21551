"""A link's handshake and sealed frames, under a fixed key, keep their recorded bytes."""

import pytest

from molereach.coordination.transport.errors import HandshakeError
from molereach.coordination.transport.handshake import AuthenticatedSession
from tests.compatibility import council_samples, council_session
from tests.compatibility.council_files import recorded_values
from tests.compatibility.council_session import DIALLER, FILE_NAME, LISTENER


def recorded_session() -> dict[str, bytes]:
    """All recorded bytes of the link."""
    return recorded_values(FILE_NAME)


def recorded_frames(side: str) -> list[bytes]:
    """One side's recorded frames, in order."""
    return [data for name, data in recorded_session().items() if name.startswith(f"{side}-")]


def test_a_link_is_spoken_with_the_recorded_bytes() -> None:
    assert council_session.session_values() == recorded_session()


def test_a_listener_takes_the_recorded_hello() -> None:
    recorded, listener = recorded_session(), council_session.answering()
    assert listener.greeting == recorded["greeting"]
    peer = listener.receive_hello(recorded["hello"])
    assert peer == council_samples.FIRST_DOOR
    assert listener.accept(peer) == (recorded["welcome"], AuthenticatedSession(recorded["session"], peer))


def test_a_dialler_takes_the_recorded_greeting_and_welcome() -> None:
    recorded, dialler = recorded_session(), council_session.dialling()
    assert dialler.receive_greeting(recorded["greeting"]) == recorded["hello"]
    assert dialler.receive_reply(recorded["welcome"]) == AuthenticatedSession(
        recorded["session"], council_samples.SECOND_DOOR
    )


def test_a_dialler_understands_the_recorded_refusal() -> None:
    dialler = council_session.dialling()
    dialler.receive_greeting(recorded_session()["greeting"])
    with pytest.raises(HandshakeError, match=f"^refused: {council_session.REFUSAL}$"):
        dialler.receive_reply(recorded_session()["refusal"])


@pytest.mark.parametrize("side", [DIALLER, LISTENER])
def test_recorded_frames_are_opened_to_the_same_messages(side: str) -> None:
    peer = council_samples.FIRST_DOOR if side == DIALLER else council_samples.SECOND_DOOR
    session = AuthenticatedSession(recorded_session()["session"], peer)
    assert council_session.heard(session, side, recorded_frames(side)) == council_session.spoken(side)
