"""A connect that succeeds in the loop iteration in which its timeout expires."""

import asyncio
import time

import pytest

from molereach.backends import pool as pools
from molereach.backends.connection import BackendConnection
from molereach.policy.interface.events import AttemptResult
from tests.races.attempt_sender import SECOND_US, Sender
from tests.races.scripted_peers import scripted_server, wait_until
from tests.sockets import run, value

CONNECT_TIMEOUT_S = 0.02


def block_loop_after_first_connect(monkeypatch: pytest.MonkeyPatch) -> None:
    """Block the loop after the first connection is made until the connect timeout has expired."""
    original, first = BackendConnection.connection_made, [True]

    def connection_made(self: BackendConnection, transport: asyncio.BaseTransport) -> None:
        original(self, transport)
        if first:
            first.clear()
            time.sleep(2 * CONNECT_TIMEOUT_S)

    monkeypatch.setattr(BackendConnection, "connection_made", connection_made)


@pytest.mark.parametrize("is_waiting", [True, False])
def test_connect_that_succeeds_in_the_iteration_of_its_timeout_counts_as_failed(
    is_waiting: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The loop closes the socket without calling connection_lost; if the connection were kept, each request
    sent on it would fail."""
    block_loop_after_first_connect(monkeypatch)
    monkeypatch.setattr(pools, "MIN_IDLE_US", 0)

    async def job() -> None:
        with scripted_server() as backend:
            sender = Sender(backend)
            sender.backends.connect_timeout_s = CONNECT_TIMEOUT_S
            pool = sender.backends.pools["s"]
            first = sender.send(b"first", 60 * SECOND_US)
            if not is_waiting:
                first.cancel()
            await wait_until(lambda: bool(sender.results) and not pool.dial_count)
            assert sender.results == [AttemptResult.CONNECT_FAILED if is_waiting else AttemptResult.CANCELLED]
            assert not pool.idle and not pool.connections and pool.owner.open_connections == 0
            (await backend.accept()).close()  # the connection of the first attempt
            sender.backends.connect_timeout_s = 5
            sender.send(b"second")
            peer = await backend.accept()
            assert await peer.receive() == b"second"
            peer.send(value(b"ok"))
            await wait_until(lambda: len(sender.results) == 2)
            assert sender.results[1] is AttemptResult.OK
            sender.backends.close()

    run(job())
