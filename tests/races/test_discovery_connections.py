"""Calls to discovery on sockets: silent, forgotten, refused. The rows: docs/design/endings.md."""

import asyncio
import time
from collections.abc import Iterator
from dataclasses import replace

import pytest

from molereach.discovery import client, watch_supervisor
from molereach.discovery.poll_backoff import MAX_LOCAL_DISCOVERY_BACKOFF_S
from molereach.policy.interface.events import EndpointState
from molereach.proxy.proxy import Proxy
from tests.races.discovery_agent import after, asked, call, changes, gone, watch
from tests.races.scripted_peers import Machine, machine, until
from tests.sockets import CONFIG, HEAD, Client, chunk, resp, run

UP, DRAINING = EndpointState.UP, EndpointState.DRAINING


@pytest.fixture
def agent() -> Iterator[Machine]:
    with machine() as made:
        yield made


def test_watch_that_fell_silent_is_closed_and_opened_anew(
    agent: Machine, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(watch_supervisor, "LOCAL_DISCOVERY_SILENCE_TIMEOUT_S", 0.05)

    async def job() -> None:
        async with asked(agent) as door:
            old = await watch(agent)
            old.say(chunk(changes(4, s1="DRAINING")))
            assert await door.next() == (4, {"s1": DRAINING})
            new = await watch(agent, 4)
            assert await gone(old)
            new.say(chunk(changes(5, s1="SERVING")))
            assert await door.next() == (5, {"s1": UP})

    run(job())


def test_own_standstill_is_not_taken_for_silence(agent: Machine, monkeypatch: pytest.MonkeyPatch) -> None:
    """The signs of life came while the process was stopped; they are read before anything is judged."""
    monkeypatch.setattr(watch_supervisor, "LOCAL_DISCOVERY_SILENCE_TIMEOUT_S", 0.05)

    async def job() -> None:
        async with asked(agent) as door:
            peer = await watch(agent)
            peer.say(chunk(changes(4, s1="DRAINING")))
            assert await door.next() == (4, {"s1": DRAINING})
            for _ in range(3):
                peer.say(chunk(b"\n"))
                time.sleep(0.06)  # the loop stands still for longer than a watch may be silent
                await asyncio.sleep(0)
            peer.say(chunk(changes(5, s1="SERVING")))
            assert await door.next() == (5, {"s1": UP})
            assert not agent.waiting()

    run(job())


def test_call_that_a_dead_agent_forgot_is_followed_by_another_beside_it(
    agent: Machine, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The first one stays, as it may be the one that is answered when the agent is back."""
    monkeypatch.setattr(watch_supervisor, "LOCAL_DISCOVERY_HEDGE_DELAY_S", 0.05)

    async def job() -> None:
        async with asked(agent) as door:
            first, _ = await call(agent)
            second, target = await call(agent)
            assert target == after(3)
            first.say(HEAD + chunk(changes(4, s1="DRAINING")))
            assert await door.next() == (4, {"s1": DRAINING})
            assert await gone(second)

    run(job())


def test_first_call_that_is_answered_closes_those_before_it(
    agent: Machine, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(watch_supervisor, "LOCAL_DISCOVERY_HEDGE_DELAY_S", 0.02)
    monkeypatch.setattr(watch_supervisor, "MAX_OPEN_ATTEMPTS", 1000)  # none is closed but for the answer

    async def job() -> None:
        async with asked(agent) as door:
            first, _ = await call(agent)
            second, _ = await call(agent)
            second.say(HEAD + chunk(changes(4, s1="DRAINING")))
            first.say(HEAD + chunk(changes(4, s1="SERVING")))  # in the same turn: only one is taken
            second.say(chunk(changes(5, s1="DRAINING")))
            assert (await door.next())[0] == 4
            (number,) = door.discovery.current.watches
            assert await gone([first, second][2 - number])

    run(job())


def test_serves_while_discovery_accepts_and_says_nothing(agent: Machine) -> None:
    async def job() -> None:
        door = Proxy(replace(CONFIG, discovery=agent.address))
        async with asyncio.timeout(5):  # of the 10 s in which it has to be ready
            await door.start()
            client = await Client.open(door.address)
            assert await client.ask(resp("PING")) == b"PONG"
        door.close()

    run(job())


def test_fault_of_its_own_does_not_end_the_watching(agent: Machine, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(client, "FAULT_RETRY_DELAY_S", 0.01)
    step, faults = client.DiscoveryClient.supervise, [ZeroDivisionError()]

    def fail_once(self: client.DiscoveryClient, now_s: float) -> None:
        if faults:
            raise faults.pop()
        step(self, now_s)

    monkeypatch.setattr(client.DiscoveryClient, "supervise", fail_once)

    async def job() -> None:
        async with asked(agent):
            await watch(agent)

    run(job())


def test_agent_that_refuses_is_asked_again_soon_however_long_it_was_down(agent: Machine) -> None:
    """What it has at its return counts at once, with a grace of a second."""

    async def job() -> None:
        async with asked(agent) as door:
            pacing = door.discovery.current.backoff
            for _ in range(100):
                pacing.record_failure(1.0)
            peer, _ = await call(agent)
            peer.reset()
            await until(lambda: not door.discovery.current.watches)
            assert door.discovery.current.supervisor.wait_s(time.monotonic()) <= MAX_LOCAL_DISCOVERY_BACKOFF_S
            await watch(agent)

    run(job())
