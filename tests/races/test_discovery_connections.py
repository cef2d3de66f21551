"""Requests to discovery on sockets that are silent, unanswered or refused. Cases: docs/design/endings.md."""

import asyncio
import time
from collections.abc import Iterator
from dataclasses import replace

import pytest

from molereach.discovery import client, watch_supervisor
from molereach.discovery.poll_backoff import MAX_LOCAL_DISCOVERY_BACKOFF_S
from molereach.policy.interface.events import EndpointState
from molereach.proxy.proxy import Proxy
from tests.races.discovery_agent import (
    accept_request,
    accept_watch,
    change_list,
    is_closed,
    running_discovery,
    watch_path,
)
from tests.races.scripted_peers import ScriptedServer, scripted_server, wait_until
from tests.sockets import CONFIG, HEAD, Client, chunk, resp, run

UP, DRAINING = EndpointState.UP, EndpointState.DRAINING


@pytest.fixture
def agent() -> Iterator[ScriptedServer]:
    with scripted_server() as server:
        yield server


def test_silent_watch_is_closed_and_reopened(agent: ScriptedServer, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(watch_supervisor, "LOCAL_DISCOVERY_SILENCE_TIMEOUT_S", 0.05)

    async def job() -> None:
        async with running_discovery(agent) as harness:
            old_watch = await accept_watch(agent)
            old_watch.send(chunk(change_list(4, s1="DRAINING")))
            assert await harness.next_update() == (4, {"s1": DRAINING})
            new_watch = await accept_watch(agent, 4)
            assert await is_closed(old_watch)
            new_watch.send(chunk(change_list(5, s1="SERVING")))
            assert await harness.next_update() == (5, {"s1": UP})

    run(job())


def test_pause_of_the_process_is_not_taken_for_silence_of_the_watch(
    agent: ScriptedServer, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The heartbeats arrived while the process was stopped; they are read before the silence is judged."""
    monkeypatch.setattr(watch_supervisor, "LOCAL_DISCOVERY_SILENCE_TIMEOUT_S", 0.05)

    async def job() -> None:
        async with running_discovery(agent) as harness:
            peer = await accept_watch(agent)
            peer.send(chunk(change_list(4, s1="DRAINING")))
            assert await harness.next_update() == (4, {"s1": DRAINING})
            for _ in range(3):
                peer.send(chunk(b"\n"))
                time.sleep(0.06)  # blocks the loop for longer than the silence timeout
                await asyncio.sleep(0)
            peer.send(chunk(change_list(5, s1="SERVING")))
            assert await harness.next_update() == (5, {"s1": UP})
            assert not agent.has_pending_connection()

    run(job())


def test_unanswered_request_is_hedged_by_a_second_one(
    agent: ScriptedServer, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The first request stays open, as it may be the one that is answered when the agent is back."""
    monkeypatch.setattr(watch_supervisor, "LOCAL_DISCOVERY_HEDGE_DELAY_S", 0.05)

    async def job() -> None:
        async with running_discovery(agent) as harness:
            first, _ = await accept_request(agent)
            second, target = await accept_request(agent)
            assert target == watch_path(3)
            first.send(HEAD + chunk(change_list(4, s1="DRAINING")))
            assert await harness.next_update() == (4, {"s1": DRAINING})
            assert await is_closed(second)

    run(job())


def test_first_answered_request_closes_the_other_ones(
    agent: ScriptedServer, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(watch_supervisor, "LOCAL_DISCOVERY_HEDGE_DELAY_S", 0.02)
    monkeypatch.setattr(watch_supervisor, "MAX_OPEN_ATTEMPTS", 1000)  # only the answer closes any

    async def job() -> None:
        async with running_discovery(agent) as harness:
            first, _ = await accept_request(agent)
            second, _ = await accept_request(agent)
            second.send(HEAD + chunk(change_list(4, s1="DRAINING")))
            # In the same loop iteration: only one is taken.
            first.send(HEAD + chunk(change_list(4, s1="SERVING")))
            second.send(chunk(change_list(5, s1="DRAINING")))
            assert (await harness.next_update())[0] == 4
            (answered,) = harness.discovery.current.watches
            assert await is_closed([first, second][2 - answered])

    run(job())


def test_proxy_serves_while_discovery_accepts_and_stays_silent(agent: ScriptedServer) -> None:
    async def job() -> None:
        proxy = Proxy(replace(CONFIG, discovery=agent.address))
        async with asyncio.timeout(5):  # of the 10 s within which the proxy must be ready
            await proxy.start()
            client = await Client.open(proxy.address)
            assert await client.ask(resp("PING")) == b"PONG"
        proxy.close()

    run(job())


def test_unexpected_exception_does_not_end_the_watch(
    agent: ScriptedServer, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(client, "FAULT_RETRY_DELAY_S", 0.01)
    supervise, errors = client.DiscoveryClient.supervise, [ZeroDivisionError()]

    def fail_once(self: client.DiscoveryClient, now_s: float) -> None:
        if errors:
            raise errors.pop()
        supervise(self, now_s)

    monkeypatch.setattr(client.DiscoveryClient, "supervise", fail_once)

    async def job() -> None:
        async with running_discovery(agent):
            await accept_watch(agent)

    run(job())


def test_agent_that_refused_for_long_is_retried_within_the_maximum_backoff(agent: ScriptedServer) -> None:
    """The list that the agent has on its return counts at once, with a grace period of one second."""

    async def job() -> None:
        async with running_discovery(agent) as harness:
            backoff = harness.discovery.current.backoff
            for _ in range(100):
                backoff.record_failure(1.0)
            peer, _ = await accept_request(agent)
            peer.reset()
            await wait_until(lambda: not harness.discovery.current.watches)
            assert (
                harness.discovery.current.supervisor.wait_s(time.monotonic()) <= MAX_LOCAL_DISCOVERY_BACKOFF_S
            )
            await accept_watch(agent)

    run(job())
