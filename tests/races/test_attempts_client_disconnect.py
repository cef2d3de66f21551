"""Attempts whose request needs no answer any more: its client disconnected, or it was answered.

An unsent attempt is always withdrawn; the settings decide whether one that may run is cancelled.
"""

import asyncio
import socket
from dataclasses import replace

import pytest

from molereach.policy.interface.settings import Settings
from molereach.proxy.proxy import Proxy
from tests.races.scripted_peers import (
    HeldConnects,
    Peer,
    run_loop_iterations,
    scripted_server,
    shrink_send_buffers,
    wait_until,
)
from tests.sockets import CLASSES, SETTINGS, front_door, run, submit

STREAMED = replace(
    SETTINGS, classes=tuple(replace(request_class, is_streamed=True) for request_class in CLASSES)
)
WITHOUT_CANCELLATION = replace(SETTINGS, may_cancel=False)


async def send_request(proxy: Proxy, body: bytes = b"BODY", wait_ms: int = 3000) -> Peer:
    """Return a client whose request has been sent, on a connection that was accepted before."""
    client = Peer.connect(proxy.address)
    await wait_until(lambda: bool(proxy.clients.connections))
    client.send(submit("a1", body=body, wait_ms=wait_ms))
    return client


@pytest.mark.parametrize("settings", [SETTINGS, WITHOUT_CANCELLATION, STREAMED])
def test_attempt_waiting_for_a_connect_is_withdrawn_when_its_client_disconnects(settings: Settings) -> None:
    async def job() -> None:
        with scripted_server() as backend:
            async with front_door(
                addresses=[backend.address], settings=settings, connect_timeout_us=5_000_000
            ) as (proxy, _):
                with HeldConnects() as connects:
                    client = await send_request(proxy)
                    await connects.arrived.wait()
                    client.close()
                    await wait_until(lambda: not proxy.requests.open)
                    await run_loop_iterations()
                    assert not proxy.requests.answered and not proxy.gateway.attempts.pending
                    connects.release()
                    peer = await backend.accept()
                    pool = proxy.backends.pools["s0"]
                    await wait_until(lambda: bool(pool.idle))  # the connection is kept for other requests
                    assert peer.receive_nowait() == b"" and not pool.waiting

    run(job())


@pytest.mark.parametrize("settings", [SETTINGS, WITHOUT_CANCELLATION])
def test_partially_written_attempt_is_withdrawn_when_its_client_disconnects(
    settings: Settings, monkeypatch: pytest.MonkeyPatch
) -> None:
    shrink_send_buffers(monkeypatch)

    async def job() -> None:
        with scripted_server() as backend:
            backend.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
            async with front_door(addresses=[backend.address], settings=settings) as (proxy, _):
                client = await send_request(proxy, body=b"x" * 65_000 + b"BODY")
                peer = await backend.accept()
                await peer.receive(1)
                client.close()
                await wait_until(lambda: not proxy.requests.open)
                received = await peer.receive_all()  # the connection ends before the command is complete
                assert not received.endswith(b"BODY\r\n") and not proxy.requests.answered

    run(job())


def test_client_that_disconnects_between_two_attempts_gets_no_second_one() -> None:
    """The result of the first attempt and the client's EOF are read in one loop iteration, in that order."""

    async def job() -> None:
        with scripted_server() as backend:
            async with front_door(addresses=[backend.address]) as (proxy, _):
                client = await send_request(proxy)
                peer = await backend.accept()
                await peer.receive_until(b"BODY")
                peer.send(b"-BUSY\r\n")  # the backend did not run it: a retry is safe
                while not proxy.driver.inbox:
                    await asyncio.sleep(0)
                client.close()
                proxy.on_client_disconnected(next(iter(proxy.requests.open.values())).reply)
                await run_loop_iterations(9)
                assert not backend.has_pending_connection() and peer.receive_nowait() == b""
                assert (
                    not proxy.requests.open
                    and not proxy.requests.answered
                    and not proxy.gateway.attempts.pending
                )

    run(job())


def test_attempt_waiting_for_a_connect_is_withdrawn_when_its_request_is_answered() -> None:
    """The backstop timeout answers when the policy does not: the attempt must not run afterwards."""

    async def job() -> None:
        with scripted_server() as backend:
            async with front_door(
                addresses=[backend.address], settings=WITHOUT_CANCELLATION, connect_timeout_us=5_000_000
            ) as (
                proxy,
                _,
            ):
                with HeldConnects() as connects:
                    client = await send_request(proxy)
                    await connects.arrived.wait()
                    proxy.actions.on_backstop_timeout("a1")
                    assert await client.receive_until(b"-ERR failed\r\n")
                    await run_loop_iterations()
                    assert not proxy.requests.answered
                    connects.release()
                    peer = await backend.accept()
                    await wait_until(lambda: bool(proxy.backends.pools["s0"].idle))
                    assert peer.receive_nowait() == b""

    run(job())
