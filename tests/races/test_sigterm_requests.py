"""SIGTERM and requests: what was open when it came, what comes on the connections that clients have."""

import asyncio
from dataclasses import replace

import pytest

from molereach.policy.interface.settings import Idempotency, RequestClass
from tests.races.scripted_peers import Peer, machine, until
from tests.races.sigterm import FAILED, shorten
from tests.sockets import SETTINGS, front_door, query, run, submit


@pytest.fixture(autouse=True)
def short(monkeypatch: pytest.MonkeyPatch) -> None:
    shorten(monkeypatch)


def test_request_of_before_is_answered_before_the_kill_however_long_its_client_waits() -> None:
    """Its client waits for 12 s, and the kill may come 3.7 s after SIGTERM."""

    async def job() -> None:
        with machine() as backend:
            async with front_door(addresses=[backend.address]) as (door, address):
                client = Peer.dial(address)
                client.say(query("out", 12_000))
                work = await backend.accept()
                await work.hear_until(b"out")
                draining = asyncio.create_task(door.drain())
                async with asyncio.timeout(5):  # without the bound it takes 12 s
                    assert await client.hear_all() == FAILED
                    await draining

    run(job())


def test_request_held_for_want_of_a_backend_is_answered_before_the_kill() -> None:
    patient = RequestClass(
        latency_objective_us=6_000_000, deadline_us=6_000_000, idempotency=Idempotency.NON_IDEMPOTENT
    )
    settings = replace(SETTINGS, classes=(patient, patient, patient))

    async def job() -> None:
        async with front_door(settings=settings) as (door, address):
            client = Peer.dial(address)
            client.say(submit("held", wait_ms=12_000))
            await until(lambda: "held" in door.requests.open)
            assert not door.requests.open["held"].attempts_sent
            draining = asyncio.create_task(door.drain())
            async with asyncio.timeout(5):  # the module would refuse it after half of its time, 6 s
                assert await client.hear_all() == FAILED
                await draining

    run(job())
