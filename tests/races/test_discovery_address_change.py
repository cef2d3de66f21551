"""Changes of the discovery address, and versions that go back. Cases: docs/design/endings.md."""

from collections.abc import Iterator

import pytest

from molereach.policy.interface.events import EndpointListKind, EndpointState
from tests.races.discovery_agent import (
    FULL_LIST_PATH,
    accept_request,
    accept_watch,
    change_list,
    full_list,
    full_list_response,
    is_closed,
    running_discovery,
)
from tests.races.scripted_peers import ScriptedServer, scripted_server, wait_until
from tests.sockets import HEAD, chunk, run

UP, DRAINING = EndpointState.UP, EndpointState.DRAINING


@pytest.fixture
def agent() -> Iterator[ScriptedServer]:
    with scripted_server() as server:
        yield server


@pytest.fixture
def other_agent() -> Iterator[ScriptedServer]:
    with scripted_server() as server:
        yield server


def test_list_is_applied_before_its_response_has_ended(
    agent: ScriptedServer, other_agent: ScriptedServer, caplog: pytest.LogCaptureFixture
) -> None:
    """The first object is taken as the full list, even if it is not marked as one, and the watch is opened;
    the rest of the response is ignored."""

    async def job() -> None:
        async with running_discovery(agent) as harness:
            harness.discovery.change_address(other_agent.address)
            peer, target = await accept_request(other_agent)
            assert target == FULL_LIST_PATH
            peer.send(HEAD + chunk(change_list(7, s1="SERVING") + change_list(8, s1="DRAINING")))
            event = (await harness.updates.get()).event
            assert (event.kind, event.version) == (EndpointListKind.FULL, 7)
            new_watch = await accept_watch(other_agent, 7)
            assert await is_closed(peer) and harness.updates.empty() and not new_watch.receive_nowait()
        assert not [message for message in caplog.messages if "no sense" in message]

    run(job())


def test_old_address_stays_watched_until_the_new_one_has_sent_its_list(
    agent: ScriptedServer, other_agent: ScriptedServer
) -> None:
    """The new address accepts and stays silent, and the old watch breaks meanwhile."""

    async def job() -> None:
        async with running_discovery(agent) as harness:
            old_watch = await accept_watch(agent)
            await wait_until(
                lambda: any(
                    attempt.last_byte_at_s
                    for attempt in harness.discovery.current.supervisor.open_attempts.values()
                )
            )
            harness.discovery.change_address(other_agent.address)
            new_peer, target = await accept_request(other_agent)
            assert target == FULL_LIST_PATH
            old_watch.reset()
            old_watch = await accept_watch(agent)
            old_watch.send(chunk(change_list(4, s1="DRAINING")))
            assert await harness.next_update() == (4, {"s1": DRAINING})
            new_peer.send(full_list_response(2, "s1"))
            assert await harness.next_update() == (2, {"s1": UP})
            await accept_watch(other_agent, 2)
            assert await is_closed(old_watch)

    run(job())


def test_change_back_before_the_new_address_has_responded(
    agent: ScriptedServer, other_agent: ScriptedServer
) -> None:
    """A, B, A: the watch on A was never closed, and the late response of B is ignored."""

    async def job() -> None:
        async with running_discovery(agent) as harness:
            old_watch = await accept_watch(agent)
            harness.discovery.change_address(other_agent.address)
            new_peer, _ = await accept_request(other_agent)
            new_peer.send(full_list_response(9, "s9"))  # in the same loop iteration
            harness.discovery.change_address(agent.address)
            harness.discovery.change_address(agent.address)
            assert await is_closed(new_peer)
            old_watch.send(chunk(change_list(4, s1="DRAINING")))
            assert await harness.next_update() == (4, {"s1": DRAINING})
            assert harness.discovery.current.address == agent.address
            assert harness.updates.empty() and harness.discovery.successor is None

    run(job())


def test_change_back_after_the_new_address_has_responded(
    agent: ScriptedServer, other_agent: ScriptedServer
) -> None:
    """A, B, A: the full list is requested from A again, and its lower version is adopted."""

    async def job() -> None:
        async with running_discovery(agent) as harness:
            old_watch = await accept_watch(agent)
            harness.discovery.change_address(other_agent.address)
            new_peer, _ = await accept_request(other_agent)
            new_peer.send(full_list_response(9, "s9"))
            assert await harness.next_update() == (9, {"s9": UP})
            await accept_watch(other_agent, 9)
            assert await is_closed(old_watch)
            harness.discovery.change_address(agent.address)
            peer, target = await accept_request(agent)
            assert target == FULL_LIST_PATH
            peer.send(full_list_response(4, "s1"))
            assert await harness.next_update() == (4, {"s1": UP})
            await accept_watch(agent, 4)

    run(job())


def test_lower_version_on_a_watch_is_adopted(agent: ScriptedServer) -> None:
    """A restarted agent counts versions from the beginning and sends its full list."""

    async def job() -> None:
        async with running_discovery(agent) as harness:
            peer = await accept_watch(agent)
            peer.send(chunk(full_list(1, "s7")))
            version, states = await harness.next_update()
            assert (version, states) == (1, {"s7": UP})
            peer.reset()
            await accept_watch(agent, 1)

    run(job())
