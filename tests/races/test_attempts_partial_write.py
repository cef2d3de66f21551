"""An attempt that is written in part and given up: the backend must never have it whole.

The abort of a connection is carried out by the loop in its next turn; in the rest of this one the loop may
find that the backend reads on, and write what was left.
"""

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator

import pytest

from molereach.backends.attempt import Attempt
from molereach.policy.interface.events import AttemptResult
from tests.races.attempt_sender import Sender
from tests.races.scripted_peers import Peer, machine, narrow, until
from tests.sockets import run, value

LONG = b"x" * 65_000 + b"LAST"


@contextlib.asynccontextmanager
async def in_part(monkeypatch: pytest.MonkeyPatch) -> AsyncIterator[tuple[Sender, Attempt, Peer]]:
    """An attempt whose first bytes are written, and the backend's end, which has read nothing."""
    narrow(monkeypatch)
    with machine() as held:
        held.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
        sender = Sender(held)
        attempt = sender.send(LONG)
        peer = await held.accept()
        await until(lambda: attempt.connection is not None)
        assert not attempt.is_written
        yield sender, attempt, peer
        sender.backends.close()


def read_on(peer: Peer) -> bytes:
    """Take what has come, so that there is room for more; the loop doesn't run."""
    data = b""
    while more := peer.pending():
        data += more
    return data


async def whole(peer: Peer) -> bytes:
    heard = b""
    with contextlib.suppress(ConnectionResetError):
        while more := await peer.hear():
            heard += more
    return heard


async def nearly_whole(attempt: Attempt, peer: Peer) -> bytes:
    """The backend reads until what is left goes in one write, and has made room for it that the loop has not
    seen yet; what it has read."""
    heard = b""
    while len(LONG) - len(heard) > 8_000:
        heard += read_on(peer)
        await asyncio.sleep(0)
    assert not attempt.is_written
    return heard + read_on(peer)


@pytest.mark.parametrize(
    ("how", "result"),
    [
        ("cancel", AttemptResult.CANCELLED),
        ("on_timeout", AttemptResult.CONNECT_FAILED),
        ("cancel_if_unwritten", AttemptResult.NOT_SENT),
    ],
)
def test_what_is_given_up_in_part_is_never_whole(
    how: str, result: AttemptResult, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def job() -> None:
        async with in_part(monkeypatch) as (sender, attempt, peer):
            heard = await nearly_whole(attempt, peer)
            getattr(attempt, how)(*[result] if how == "cancel_if_unwritten" else [])
            assert not (heard + await whole(peer)).endswith(b"LAST")
            assert sender.ended == [result]

    run(job())


@pytest.mark.parametrize("said", [value(b"early"), b"-BUSY\r\n", b"-ERR failed\r\n", b"?", b"*3\r\n$2", b""])
def test_backend_that_answers_or_ends_before_it_has_all_never_gets_the_rest(
    said: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    """What it says and the room that it has are seen in one turn; it still reads after its half-close."""

    async def job() -> None:
        async with in_part(monkeypatch) as (sender, attempt, peer):
            heard = await nearly_whole(attempt, peer)
            if said:
                peer.say(said)
            peer.finish()
            assert not (heard + await whole(peer)).endswith(b"LAST")
            await until(lambda: bool(sender.ended))
            assert sender.ended == [AttemptResult.CONNECT_FAILED] and sender.backends.open_connections == 0

    run(job())


def test_reset_before_the_last_byte_is_written_never_ran(monkeypatch: pytest.MonkeyPatch) -> None:
    async def job() -> None:
        async with in_part(monkeypatch) as (sender, _, peer):
            peer.reset()
            await until(lambda: bool(sender.ended))
            assert sender.ended == [AttemptResult.CONNECT_FAILED]

    run(job())
