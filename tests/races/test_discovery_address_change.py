"""Discovery at a new address, and versions that go back. The rows: docs/design/endings.md."""

from collections.abc import Iterator

import pytest

from molereach.policy.interface.events import EndpointListKind, EndpointState
from tests.races.discovery_agent import WHOLE, asked, call, changes, gone, listed, watch, whole
from tests.races.scripted_peers import Machine, machine, until
from tests.sockets import HEAD, chunk, run

UP, DRAINING = EndpointState.UP, EndpointState.DRAINING


@pytest.fixture
def agent() -> Iterator[Machine]:
    with machine() as made:
        yield made


@pytest.fixture
def other() -> Iterator[Machine]:
    with machine() as made:
        yield made


def test_list_is_taken_before_its_answer_has_ended(
    agent: Machine, other: Machine, caplog: pytest.LogCaptureFixture
) -> None:
    """The object is whole, also where it does not say so, and the watch is opened; the rest is not heard."""

    async def job() -> None:
        async with asked(agent) as door:
            door.discovery.change_address(other.address)
            peer, target = await call(other)
            assert target == WHOLE
            peer.say(HEAD + chunk(changes(7, s1="SERVING") + changes(8, s1="DRAINING")))
            event = (await door.heard.get()).event
            assert (event.kind, event.version) == (EndpointListKind.FULL, 7)
            kept = await watch(other, 7)
            assert await gone(peer) and door.heard.empty() and not kept.pending()
        assert not [line for line in caplog.messages if "no sense" in line]

    run(job())


def test_old_address_is_asked_again_until_the_new_one_has_told_its_list(
    agent: Machine, other: Machine
) -> None:
    """The new one accepts and says nothing, and the old watch breaks meanwhile."""

    async def job() -> None:
        async with asked(agent) as door:
            old = await watch(agent)
            await until(
                lambda: any(
                    one.last_byte_at_s for one in door.discovery.current.supervisor.open_attempts.values()
                )
            )
            door.discovery.change_address(other.address)
            new, target = await call(other)
            assert target == WHOLE
            old.reset()
            old = await watch(agent)
            old.say(chunk(changes(4, s1="DRAINING")))
            assert await door.next() == (4, {"s1": DRAINING})
            new.say(listed(2, "s1"))
            assert await door.next() == (2, {"s1": UP})
            await watch(other, 2)
            assert await gone(old)

    run(job())


def test_moves_back_before_the_new_address_has_spoken(agent: Machine, other: Machine) -> None:
    """A, B, A: the watch on A was never left, and what B says at last is not heard."""

    async def job() -> None:
        async with asked(agent) as door:
            old = await watch(agent)
            door.discovery.change_address(other.address)
            new, _ = await call(other)
            new.say(listed(9, "s9"))  # in the very turn
            door.discovery.change_address(agent.address)
            door.discovery.change_address(agent.address)
            assert await gone(new)
            old.say(chunk(changes(4, s1="DRAINING")))
            assert await door.next() == (4, {"s1": DRAINING})
            assert door.discovery.current.address == agent.address
            assert door.heard.empty() and door.discovery.successor is None

    run(job())


def test_moves_back_after_the_new_address_has_spoken(agent: Machine, other: Machine) -> None:
    """A, B, A: A is asked anew and whole, and its smaller count of versions is taken over."""

    async def job() -> None:
        async with asked(agent) as door:
            old = await watch(agent)
            door.discovery.change_address(other.address)
            new, _ = await call(other)
            new.say(listed(9, "s9"))
            assert await door.next() == (9, {"s9": UP})
            await watch(other, 9)
            assert await gone(old)
            door.discovery.change_address(agent.address)
            peer, target = await call(agent)
            assert target == WHOLE
            peer.say(listed(4, "s1"))
            assert await door.next() == (4, {"s1": UP})
            await watch(agent, 4)

    run(job())


def test_version_that_goes_back_on_a_watch_is_taken_over(agent: Machine) -> None:
    """An agent that has started anew counts from the beginning, and says its whole list."""

    async def job() -> None:
        async with asked(agent) as door:
            peer = await watch(agent)
            peer.say(chunk(whole(1, "s7")))
            version, states = await door.next()
            assert (version, states) == (1, {"s7": UP})
            peer.reset()
            await watch(agent, 1)

    run(job())
