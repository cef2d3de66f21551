"""Attempts that wait for a connect while discovery reports that their backend drains or has restarted."""

import asyncio
from dataclasses import replace

import pytest

from molereach.policy.interface.events import Endpoint, EndpointListKind, EndpointListReceived, EndpointState
from molereach.proxy.proxy import Proxy
from tests.races.scripted_peers import (
    HeldConnects,
    Peer,
    ScriptedServer,
    run_loop_iterations,
    scripted_server,
    wait_until,
)
from tests.sockets import SETTINGS, Backend, Client, front_door, run, submit, value

KNOWN_ENDPOINT = Endpoint("s0", 0, 0, 0, EndpointState.UP)
OTHER_ENDPOINT = Endpoint("other", 0, 0, 0, EndpointState.UP)


def report_change(proxy: Proxy, *endpoints: Endpoint, **addresses: tuple[str, int]) -> None:
    """Publish a change of the endpoint list, as discovery does."""
    proxy.endpoints.publish(EndpointListReceived(EndpointListKind.CHANGES, 8, endpoints), addresses)


async def expect_closed_unwritten(backend: ScriptedServer) -> None:
    """Accept the released connect; it must be closed with nothing written."""
    peer = await backend.accept()
    assert await peer.receive() == b""


@pytest.mark.parametrize("state", [EndpointState.DRAINING, EndpointState.REMOVED])
def test_attempt_waiting_for_a_connect_moves_when_its_backend_drains(state: EndpointState) -> None:
    """The policy knows the new list before the attempt is returned, so it wastes no second attempt on this
    backend."""

    async def job() -> None:
        other = Backend()
        with scripted_server() as backend:
            async with front_door(
                addresses=[backend.address],
                connect_timeout_us=5_000_000,
                settings=replace(SETTINGS, max_attempts=2),
            ) as (proxy, address):
                client = await Client.open(address)
                with HeldConnects() as connects:
                    client.send(submit("a1"))
                    await connects.arrived.wait()
                    report_change(
                        proxy, replace(KNOWN_ENDPOINT, state=state), OTHER_ENDPOINT, other=await other.start()
                    )
                    await wait_until(lambda: len(connects.gates) == 2)
                    connects.release(1)
                    assert await client.answer() == b"ok"
                    connects.release()
                    await expect_closed_unwritten(backend)

    run(job())


def test_request_routed_by_the_old_list_does_not_connect_to_a_draining_backend() -> None:
    """The request and the list arrive in one loop iteration, the request first."""

    async def job() -> None:
        other = Backend()
        other_address = await other.start()
        with scripted_server() as backend:
            async with front_door(addresses=[backend.address]) as (proxy, address):
                client = Peer.connect(address)
                await wait_until(lambda: bool(proxy.clients.connections))
                client.send(submit("a1"))
                while not proxy.driver.inbox:
                    await asyncio.sleep(0)
                report_change(
                    proxy,
                    replace(KNOWN_ENDPOINT, state=EndpointState.DRAINING),
                    OTHER_ENDPOINT,
                    other=other_address,
                )
                assert await client.receive_until(b"ok\r\n")
                await run_loop_iterations()
                assert not backend.has_pending_connection()

    run(job())


def test_connect_to_a_backend_that_restarts_under_its_name_carries_no_request() -> None:
    """The attempt was routed to the old process, and the connect may have reached it: the attempt is routed
    again."""

    async def job() -> None:
        with scripted_server() as backend:
            async with front_door(addresses=[backend.address], connect_timeout_us=5_000_000) as (
                proxy,
                address,
            ):
                client = await Client.open(address)
                with HeldConnects() as connects:
                    client.send(submit("a1"))
                    await connects.arrived.wait()
                    report_change(proxy, replace(KNOWN_ENDPOINT, started_us=1), s0=backend.address)
                    await wait_until(lambda: len(connects.gates) == 2)
                    connects.release()
                    await expect_closed_unwritten(backend)
                    connects.release(1)
                    peer = await backend.accept()
                    assert b"BODY" in await peer.receive_until(b"BODY")
                    peer.send(value(b"ok"))
                    assert await client.answer() == b"ok"

    run(job())


def test_idle_connection_to_a_restarted_backend_is_not_reused() -> None:
    """The old process's RST may be on its way: a request that is not idempotent would be lost on the
    connection."""

    async def job() -> None:
        with scripted_server() as backend:
            async with front_door(addresses=[backend.address]) as (proxy, address):
                client = await Client.open(address)
                client.send(submit("a1"))
                first = await backend.accept()
                await first.receive_until(b"BODY")
                first.send(value(b"ok"))
                assert await client.answer() == b"ok"
                for connection in proxy.backends.pools["s0"].idle:
                    connection.idle_since_us = 0  # above the minimum idle time
                report_change(proxy, replace(KNOWN_ENDPOINT, started_us=1), s0=backend.address)
                client.send(submit("a2"))
                second = await backend.accept()
                await second.receive_until(b"BODY")
                second.send(value(b"ok"))
                assert await client.answer() == b"ok" and await first.receive() == b""

    run(job())
