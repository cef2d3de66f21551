"""SIGTERM and requests that are open when it arrives."""

import asyncio
from dataclasses import replace

import pytest

from molereach.policy.interface.settings import Idempotency, RequestClass
from tests.races.scripted_peers import Peer, scripted_server, wait_until
from tests.races.sigterm import FAILED, shorten_shutdown_times
from tests.sockets import SETTINGS, front_door, query, run, submit


@pytest.fixture(autouse=True)
def short_shutdown_times(monkeypatch: pytest.MonkeyPatch) -> None:
    shorten_shutdown_times(monkeypatch)


def test_open_request_is_answered_before_sigkill_despite_a_longer_deadline() -> None:
    """Its client waits for 12 s, and SIGKILL may come 3.7 s after SIGTERM."""

    async def job() -> None:
        with scripted_server() as backend:
            async with front_door(addresses=[backend.address]) as (proxy, address):
                client = Peer.connect(address)
                client.send(query("out", 12_000))
                backend_peer = await backend.accept()
                await backend_peer.receive_until(b"out")
                draining = asyncio.create_task(proxy.drain())
                async with asyncio.timeout(5):  # without the limit it takes 12 s
                    assert await client.receive_all() == FAILED
                    await draining

    run(job())


def test_request_held_without_a_backend_is_answered_before_sigkill() -> None:
    long_class = RequestClass(
        latency_objective_us=6_000_000, deadline_us=6_000_000, idempotency=Idempotency.NON_IDEMPOTENT
    )
    settings = replace(SETTINGS, classes=(long_class, long_class, long_class))

    async def job() -> None:
        async with front_door(settings=settings) as (proxy, address):
            client = Peer.connect(address)
            client.send(submit("held", wait_ms=12_000))
            await wait_until(lambda: "held" in proxy.requests.open)
            assert not proxy.requests.open["held"].attempts_sent
            draining = asyncio.create_task(proxy.drain())
            async with asyncio.timeout(5):  # the policy would reject it after half of its time, 6 s
                assert await client.receive_all() == FAILED
                await draining

    run(job())
