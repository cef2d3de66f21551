"""A dial that comes up in the very turn in which its time is over."""

import asyncio
import time

import pytest

from molereach.backends import pool as pools
from molereach.backends.connection import BackendConnection
from molereach.policy.interface.events import AttemptResult
from tests.races.attempt_sender import S, Sender
from tests.races.scripted_peers import machine, until
from tests.sockets import run, value

DIAL_S = 0.02


def come_up_too_late(monkeypatch: pytest.MonkeyPatch) -> None:
    """The first connection is told that it is up, and the loop stands still until the dial's time is over."""
    told, first = BackendConnection.connection_made, [True]

    def connection_made(self: BackendConnection, transport: asyncio.BaseTransport) -> None:
        told(self, transport)
        if first:
            first.clear()
            time.sleep(2 * DIAL_S)

    monkeypatch.setattr(BackendConnection, "connection_made", connection_made)


@pytest.mark.parametrize("waits", [True, False])
def test_dial_that_comes_up_in_the_turn_of_its_time_out_is_none(
    waits: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The loop lets go of its socket without a word; kept, it would fail each request that was sent on it."""
    come_up_too_late(monkeypatch)
    monkeypatch.setattr(pools, "MIN_IDLE_US", 0)

    async def job() -> None:
        with machine() as held:
            sender = Sender(held)
            sender.backends.connect_timeout_s = DIAL_S
            pool = sender.backends.pools["s"]
            first = sender.send(b"first", 60 * S)
            if not waits:
                first.cancel()
            await until(lambda: bool(sender.ended) and not pool.dial_count)
            assert sender.ended == [AttemptResult.CONNECT_FAILED if waits else AttemptResult.CANCELLED]
            assert not pool.idle and not pool.connections and pool.owner.open_connections == 0
            (await held.accept()).close()  # that of the first
            sender.backends.connect_timeout_s = 5
            sender.send(b"second")
            peer = await held.accept()
            assert await peer.hear() == b"second"
            peer.say(value(b"ok"))
            await until(lambda: len(sender.ended) == 2)
            assert sender.ended[1] is AttemptResult.OK
            sender.backends.close()

    run(job())
