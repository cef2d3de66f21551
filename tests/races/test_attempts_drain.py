"""An attempt that waits for its dial, against news that its server takes nothing new, or is another one."""

import asyncio
from dataclasses import replace

import pytest

from molereach.policy.interface.events import Endpoint, EndpointListKind, EndpointListReceived, EndpointState
from molereach.proxy.proxy import Proxy
from tests.races.scripted_peers import Dials, Machine, Peer, machine, turns, until
from tests.sockets import SETTINGS, Backend, Client, front_door, run, submit, value

OLD = Endpoint("s0", 0, 0, 0, EndpointState.UP)
OTHER = Endpoint("other", 0, 0, 0, EndpointState.UP)


def tell(door: Proxy, *servers: Endpoint, **addresses: tuple[str, int]) -> None:
    """News of the list, as discovery brings them."""
    door.endpoints.publish(EndpointListReceived(EndpointListKind.CHANGES, 8, servers), addresses)


async def nothing_comes(held: Machine) -> None:
    """The dial that was let go comes up, and is ended with nothing written."""
    peer = await held.accept()
    assert await peer.hear() == b""


@pytest.mark.parametrize("state", [EndpointState.DRAINING, EndpointState.REMOVED])
def test_attempt_that_waits_for_its_dial_goes_elsewhere_once_its_server_drains(state: EndpointState) -> None:
    """The list is known to the module before the attempt is back: it wastes no further one there."""

    async def job() -> None:
        other = Backend()
        with machine() as held:
            async with front_door(
                addresses=[held.address],
                connect_timeout_us=5_000_000,
                settings=replace(SETTINGS, max_attempts=2),
            ) as (door, address):
                client = await Client.open(address)
                with Dials() as dials:
                    client.send(submit("a1"))
                    await dials.came.wait()
                    tell(door, replace(OLD, state=state), OTHER, other=await other.start())
                    await until(lambda: len(dials.held) == 2)
                    dials.let_go(1)
                    assert await client.answer() == b"ok"
                    dials.let_go()
                    await nothing_comes(held)

    run(job())


def test_request_that_is_decided_with_the_old_list_waits_for_no_dial_of_a_server_that_drains() -> None:
    """Request and list come in one turn, the request first."""

    async def job() -> None:
        other = Backend()
        at = await other.start()
        with machine() as held:
            async with front_door(addresses=[held.address]) as (door, address):
                client = Peer.dial(address)
                await until(lambda: bool(door.clients.connections))
                client.say(submit("a1"))
                while not door.driver.inbox:
                    await asyncio.sleep(0)
                tell(door, replace(OLD, state=EndpointState.DRAINING), OTHER, other=at)
                assert await client.hear_until(b"ok\r\n")
                await turns()
                assert not held.waiting()

    run(job())


def test_dial_to_a_server_that_restarts_under_its_name_carries_nothing() -> None:
    """It was chosen for what the old one was, and may have come up there: what waits is decided anew."""

    async def job() -> None:
        with machine() as held:
            async with front_door(addresses=[held.address], connect_timeout_us=5_000_000) as (door, address):
                client = await Client.open(address)
                with Dials() as dials:
                    client.send(submit("a1"))
                    await dials.came.wait()
                    tell(door, replace(OLD, started_us=1), s0=held.address)
                    await until(lambda: len(dials.held) == 2)
                    dials.let_go()
                    await nothing_comes(held)
                    dials.let_go(1)
                    peer = await held.accept()
                    assert b"BODY" in await peer.hear_until(b"BODY")
                    peer.say(value(b"ok"))
                    assert await client.answer() == b"ok"

    run(job())


def test_connection_that_rests_is_not_used_for_a_server_that_has_restarted() -> None:
    """The reset of the old process may be on its way: an unsafe request would be lost on it."""

    async def job() -> None:
        with machine() as held:
            async with front_door(addresses=[held.address]) as (door, address):
                client = await Client.open(address)
                client.send(submit("a1"))
                first = await held.accept()
                await first.hear_until(b"BODY")
                first.say(value(b"ok"))
                assert await client.answer() == b"ok"
                for connection in door.backends.pools["s0"].idle:
                    connection.idle_since_us = 0  # it has rested
                tell(door, replace(OLD, started_us=1), s0=held.address)
                client.send(submit("a2"))
                second = await held.accept()
                await second.hear_until(b"BODY")
                second.say(value(b"ok"))
                assert await client.answer() == b"ok" and await first.hear() == b""

    run(job())
