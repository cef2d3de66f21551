"""An attempt of a request that is owed nothing more: its client has gone, or it was answered.

What is not sent is withdrawn in any case; whether one that may run is called off is the settings' matter.
"""

import asyncio
import socket
from dataclasses import replace

import pytest

from molereach.policy.interface.settings import Settings
from molereach.proxy.proxy import Proxy
from tests.races.scripted_peers import Dials, Peer, machine, narrow, turns, until
from tests.sockets import CLASSES, SETTINGS, front_door, run, submit

STREAMED = replace(SETTINGS, classes=tuple(replace(rule, is_streamed=True) for rule in CLASSES))
KEPT = replace(SETTINGS, may_cancel=False)


async def asked(door: Proxy, body: bytes = b"BODY", wait_ms: int = 3000) -> Peer:
    """A client whose request has come, on a connection that was accepted before."""
    client = Peer.dial(door.address)
    await until(lambda: bool(door.clients.connections))
    client.say(submit("a1", body=body, wait_ms=wait_ms))
    return client


@pytest.mark.parametrize("settings", [SETTINGS, KEPT, STREAMED])
def test_attempt_that_waits_for_its_dial_is_withdrawn_with_its_client(settings: Settings) -> None:
    async def job() -> None:
        with machine() as held:
            async with front_door(
                addresses=[held.address], settings=settings, connect_timeout_us=5_000_000
            ) as (door, _):
                with Dials() as dials:
                    client = await asked(door)
                    await dials.came.wait()
                    client.close()
                    await until(lambda: not door.requests.open)
                    await turns()
                    assert not door.requests.answered and not door.gateway.attempts.pending
                    dials.let_go()
                    peer = await held.accept()
                    pool = door.backends.pools["s0"]
                    await until(lambda: bool(pool.idle))  # the connection is kept for others
                    assert peer.pending() == b"" and not pool.waiting

    run(job())


@pytest.mark.parametrize("settings", [SETTINGS, KEPT])
def test_attempt_that_is_written_in_part_is_withdrawn_with_its_client(
    settings: Settings, monkeypatch: pytest.MonkeyPatch
) -> None:
    narrow(monkeypatch)

    async def job() -> None:
        with machine() as held:
            held.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
            async with front_door(addresses=[held.address], settings=settings) as (door, _):
                client = await asked(door, body=b"x" * 65_000 + b"BODY")
                peer = await held.accept()
                await peer.hear(1)
                client.close()
                await until(lambda: not door.requests.open)
                heard = await peer.hear_all()  # it is ended, and not whole
                assert not heard.endswith(b"BODY\r\n") and not door.requests.answered

    run(job())


def test_client_that_goes_between_two_tries_has_no_second_one() -> None:
    """The outcome of the first try and the client's end are read in one turn, in that order."""

    async def job() -> None:
        with machine() as held:
            async with front_door(addresses=[held.address]) as (door, _):
                client = await asked(door)
                peer = await held.accept()
                await peer.hear_until(b"BODY")
                peer.say(b"-BUSY\r\n")  # it never ran: a second try is free
                while not door.driver.inbox:
                    await asyncio.sleep(0)
                client.close()
                door.on_client_disconnected(next(iter(door.requests.open.values())).reply)
                await turns(9)
                assert not held.waiting() and peer.pending() == b""
                assert (
                    not door.requests.open
                    and not door.requests.answered
                    and not door.gateway.attempts.pending
                )

    run(job())


def test_attempt_that_waits_for_its_dial_is_withdrawn_when_its_request_is_answered() -> None:
    """The backstop answers for a module that has nothing to say: its attempt must not run afterwards."""

    async def job() -> None:
        with machine() as held:
            async with front_door(addresses=[held.address], settings=KEPT, connect_timeout_us=5_000_000) as (
                door,
                _,
            ):
                with Dials() as dials:
                    client = await asked(door)
                    await dials.came.wait()
                    door.actions.on_backstop_timeout("a1")
                    assert await client.hear_until(b"-ERR failed\r\n")
                    await turns()
                    assert not door.requests.answered
                    dials.let_go()
                    peer = await held.accept()
                    await until(lambda: bool(door.backends.pools["s0"].idle))
                    assert peer.pending() == b""

    run(job())
