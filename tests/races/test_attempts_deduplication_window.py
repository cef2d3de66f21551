"""Retries of requests with an idempotency key near the end of the deduplication window.

The window counts from when the first attempt may have run. Only the write matters: a retry that was decided
in time may be connected, or have its last byte written, too late.
"""

import asyncio
import contextlib
import socket
from dataclasses import replace

import pytest

from molereach.clock import now_us
from molereach.policy.interface.settings import DeduplicationScope, Settings
from tests.races.scripted_peers import (
    HeldConnects,
    Peer,
    ScriptedServer,
    scripted_server,
    shrink_send_buffers,
    wait_until,
)
from tests.sockets import CLASSES, SETTINGS, Client, front_door, run, submit

WINDOW_US = 150_000
LONG_BODY = b"x" * 65_000 + b"BODY"


def settings(**changes: object) -> Settings:
    idempotent_with_key = replace(CLASSES[1], deduplication_window_us=WINDOW_US, **changes)
    return replace(SETTINGS, classes=(CLASSES[0], idempotent_with_key, CLASSES[2]))


async def receive_until_closed(peer: Peer) -> bytes:
    """Receive until EOF or reset."""
    data = b""
    with contextlib.suppress(ConnectionResetError):
        while more := await peer.receive():
            data += more
    return data


async def reset_first_attempt(client: Client, backend: ScriptedServer, **changes: object) -> None:
    """The backend receives the whole first attempt, which may have run, and resets the connection."""
    client.send(submit("a1", class_name="book", **changes))
    peer = await backend.accept()
    await peer.receive_until(b"BODY")
    peer.reset()


@pytest.mark.parametrize("scope", [DeduplicationScope.ALL, DeduplicationScope.ZONE])
def test_connect_that_succeeds_after_the_window_carries_no_retry(scope: DeduplicationScope) -> None:
    async def job() -> None:
        with scripted_server() as backend:
            async with front_door(
                addresses=[backend.address],
                settings=settings(deduplication_scope=scope),
                connect_timeout_us=5_000_000,
            ) as (proxy, address):
                client = await Client.open(address)
                await reset_first_attempt(client, backend)
                with HeldConnects() as connects:
                    await connects.arrived.wait()  # the retry was decided within the window
                    await asyncio.sleep(WINDOW_US / 1e6)
                    connects.release()
                    peer = await backend.accept()
                    assert await client.answer() == "-ERR failed"  # another attempt would also run it twice
                    assert (
                        peer.receive_nowait() == b""
                        and not proxy.requests.open
                        and not proxy.requests.answered
                    )

    run(job())


class BlockingConnect(HeldConnects):
    """Block the loop until a given time when a connect succeeds, so that no timer runs before it is used."""

    block_until_us = 0

    async def hold(self, *args: object, **kwargs: object) -> object:
        connected = await super().hold(*args, **kwargs)
        while now_us() < self.block_until_us:
            pass
        return connected


def test_connect_that_succeeds_as_the_window_ends_carries_no_retry() -> None:
    async def job() -> None:
        with scripted_server() as backend:
            async with front_door(
                addresses=[backend.address], settings=settings(), connect_timeout_us=5_000_000
            ) as (_, address):
                client = await Client.open(address)
                await reset_first_attempt(client, backend)
                with BlockingConnect() as connects:
                    await connects.arrived.wait()
                    connects.block_until_us = now_us() + WINDOW_US
                    connects.release()
                    peer = await backend.accept()
                    assert await client.answer() == "-ERR failed"
                    assert peer.receive_nowait() == b""

    run(job())


def test_retry_partially_written_when_the_window_ends_is_never_completed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The backend resumes reading only after the window: the bytes that it had not taken by then never
    arrive."""

    shrink_send_buffers(monkeypatch)

    async def job() -> None:
        with scripted_server() as backend:
            backend.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
            async with front_door(
                addresses=[backend.address], settings=settings(), connect_timeout_us=5_000_000
            ) as (proxy, address):
                client = await Client.open(address)
                await reset_first_attempt(client, backend, body=LONG_BODY)
                peer = await backend.accept()
                attempt = next(iter(proxy.requests.open["a1"].in_flight.values()))
                await wait_until(lambda: attempt.connection is not None)
                assert not attempt.is_written
                await asyncio.sleep(WINDOW_US / 1e6)
                assert not (await receive_until_closed(peer)).endswith(b"BODY\r\n")
                assert await client.answer() == "-ERR failed"

    run(job())
