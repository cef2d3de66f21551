"""Attempts that are abandoned after a partial write: the backend must never receive the whole command.

The loop carries out the abort of a connection in its next iteration; in the rest of the current one it may
find the socket writable and write the remaining bytes.
"""

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator

import pytest

from molereach.backends.attempt import Attempt
from molereach.policy.interface.events import AttemptResult
from tests.races.attempt_sender import Sender
from tests.races.scripted_peers import Peer, scripted_server, shrink_send_buffers, wait_until
from tests.sockets import run, value

LONG_COMMAND = b"x" * 65_000 + b"LAST"


@contextlib.asynccontextmanager
async def partially_written(monkeypatch: pytest.MonkeyPatch) -> AsyncIterator[tuple[Sender, Attempt, Peer]]:
    """Provide an attempt whose first bytes are written, and the backend's end, which has read nothing."""
    shrink_send_buffers(monkeypatch)
    with scripted_server() as backend:
        backend.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
        sender = Sender(backend)
        attempt = sender.send(LONG_COMMAND)
        peer = await backend.accept()
        await wait_until(lambda: attempt.connection is not None)
        assert not attempt.is_written
        yield sender, attempt, peer
        sender.backends.close()


def drain_received(peer: Peer) -> bytes:
    """Read what has arrived, which makes room for more; the loop does not run."""
    data = b""
    while chunk := peer.receive_nowait():
        data += chunk
    return data


async def receive_until_closed(peer: Peer) -> bytes:
    received = b""
    with contextlib.suppress(ConnectionResetError):
        while chunk := await peer.receive():
            received += chunk
    return received


async def receive_nearly_all(attempt: Attempt, peer: Peer) -> bytes:
    """Read until one write can complete the command and the socket is writable again, which the loop has not
    noticed yet; return the data read."""
    received = b""
    while len(LONG_COMMAND) - len(received) > 8_000:
        received += drain_received(peer)
        await asyncio.sleep(0)
    assert not attempt.is_written
    return received + drain_received(peer)


@pytest.mark.parametrize(
    ("abandon", "result"),
    [
        ("cancel", AttemptResult.CANCELLED),
        ("on_timeout", AttemptResult.CONNECT_FAILED),
        ("cancel_if_unwritten", AttemptResult.NOT_SENT),
    ],
)
def test_abandoned_partially_written_command_is_never_completed(
    abandon: str, result: AttemptResult, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def job() -> None:
        async with partially_written(monkeypatch) as (sender, attempt, peer):
            received = await receive_nearly_all(attempt, peer)
            getattr(attempt, abandon)(*[result] if abandon == "cancel_if_unwritten" else [])
            assert not (received + await receive_until_closed(peer)).endswith(b"LAST")
            assert sender.results == [result]

    run(job())


@pytest.mark.parametrize(
    "response", [value(b"early"), b"-BUSY\r\n", b"-ERR failed\r\n", b"?", b"*3\r\n$2", b""]
)
def test_backend_that_responds_or_closes_early_never_gets_the_rest_of_the_command(
    response: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The response and the writable socket are seen in one loop iteration; a half-closed backend can still
    read."""

    async def job() -> None:
        async with partially_written(monkeypatch) as (sender, attempt, peer):
            received = await receive_nearly_all(attempt, peer)
            if response:
                peer.send(response)
            peer.half_close()
            assert not (received + await receive_until_closed(peer)).endswith(b"LAST")
            await wait_until(lambda: bool(sender.results))
            assert sender.results == [AttemptResult.CONNECT_FAILED] and sender.backends.open_connections == 0

    run(job())


def test_reset_before_the_last_byte_is_written_fails_as_unsent(monkeypatch: pytest.MonkeyPatch) -> None:
    async def job() -> None:
        async with partially_written(monkeypatch) as (sender, _, peer):
            peer.reset()
            await wait_until(lambda: bool(sender.results))
            assert sender.results == [AttemptResult.CONNECT_FAILED]

    run(job())
