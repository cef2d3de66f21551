"""A front door that starts while nothing else speaks: discovery, peers and those on its known list."""

import asyncio
import contextlib
import json
import socket
import zlib
from collections.abc import AsyncIterator
from dataclasses import replace

import pytest

from molereach.endpoint_address import EndpointAddress
from molereach.policy.interface.settings import Plan
from molereach.proxy import proxy, resources
from molereach.proxy.proxy import Proxy
from tests.races.scripted_peers import Dials, Peer, machine
from tests.sockets import CONFIG, HOST, SETTINGS, Backend, Client, catalog, entry, refusing_address, resp, run


@contextlib.asynccontextmanager
async def started(discovery: EndpointAddress, **changes: object) -> AsyncIterator[tuple[Proxy, Client]]:
    """A front door that serves, and a client of it that has been told +PONG."""
    door = Proxy(replace(CONFIG, discovery=discovery, **changes))
    await door.start()
    try:
        client = await Client.open(door.address)
        assert await client.ask(resp("PING")) == b"PONG"
        yield door, client
    finally:
        door.close()


def known(*addresses: EndpointAddress) -> dict[str, object]:
    found: dict[str, object] = json.loads(catalog(4, [entry(f"s{n}", at) for n, at in enumerate(addresses)]))
    return found


def request(name: str, customer: str = "00000000b4d65521", **more: str) -> bytes:
    extra = "".join(f",{key}={value}" for key, value in more.items())
    return resp("SVC.QUERY", customer, name, f"c=read,t=team,d=3000{extra}")


@pytest.fixture(autouse=True)
def soon(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(proxy, "FIRST_LIST_TIMEOUT_S", 0.02)


def test_discovery_that_refuses_or_says_nothing_keeps_nobody_waiting() -> None:
    """It serves from its known list."""

    async def job() -> None:
        backend = await Backend().start()
        with machine() as silent:  # takes connections, and never an answer
            for discovery in (refusing_address(), silent.address):
                async with started(discovery, known=known(backend)) as (_, client):
                    assert await client.ask(request("a1")) == b"ok"

    run(job())


def test_discovery_whose_connection_never_comes_up_keeps_nobody_waiting() -> None:
    async def job() -> None:
        with Dials() as dials:
            door = Proxy(replace(CONFIG, discovery=(HOST, 9)))
            await door.start()
            client = Peer.dial(door.address)
            client.say(resp("PING"))
            assert await client.hear() == b"+PONG\r\n"
            assert len(dials.held) == 1  # the dial is still under way
            client.close()
            door.close()

    run(job())


def test_without_any_list_requests_are_held_and_the_first_list_counts_at_once() -> None:
    async def job() -> None:
        backend = await Backend().start()
        with machine() as discovery:
            async with started(discovery.address, known={}) as (door, client):
                watch = await discovery.accept()
                await watch.hear_until(b"\r\n\r\n")
                body = catalog(5, [entry("s0", backend)])
                client.send(request("a1"))
                while not door.requests.open:
                    await asyncio.sleep(0)
                watch.say(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                assert await client.answer() == b"ok"

    run(job())


def test_known_list_that_is_old_costs_an_attempt_and_not_the_request() -> None:
    """One of its machines is gone, and refuses; another one serves."""

    async def job() -> None:
        backend = await Backend().start()
        async with started(refusing_address(), known=known(refusing_address(), backend)) as (_, client):
            for number in range(8):  # whichever is tried first
                assert await client.ask(request(f"a{number}")) == b"ok"

    run(job())


def test_silent_peers_keep_no_request_waiting_for_long() -> None:
    """The home of the customer has not started yet, or never will: what is known here must do."""

    async def job() -> None:
        backend = await Backend().start()
        peer = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        peer.bind((HOST, 0))
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as free:
            free.bind((HOST, 0))
            listen = free.getsockname()
        # Its part of the burst holds no whole request, so that it has to ask.
        settings = replace(SETTINGS, plans=(Plan(quota_rate=5.0, quota_burst=1.0),))
        customer = next(name for name in map("{:016x}".format, range(99)) if zlib.crc32(name.encode()) % 2)
        async with started(
            refusing_address(),
            known=known(backend),
            settings=settings,
            peer_listen=listen,
            peers=(listen, peer.getsockname()),
        ) as (_, client):
            assert await client.ask(request("a1", customer, spread="2", first="0")) == b"ok"
            assert peer.recv(2048)  # it was asked
        peer.close()

    run(job())


def test_restart_has_the_address_although_connections_to_its_predecessor_were_open() -> None:
    """What it closed lingers in TIME_WAIT; what listens there still is an error that ends the start."""

    async def job() -> None:
        async with started(refusing_address()) as (door, client):
            address = door.address
            taken = Proxy(replace(CONFIG, listen=address, discovery=refusing_address()))
            with pytest.raises(OSError):
                await taken.start()
            taken.close()
        with contextlib.suppress(EOFError, ConnectionError):
            await client.answer()
        async with started(refusing_address(), listen=address) as (again, _):
            assert again.address == address

    run(job())


def test_address_for_peers_in_use_ends_the_start() -> None:
    async def job() -> None:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as taken:
            taken.bind((HOST, 0))
            door = Proxy(replace(CONFIG, discovery=refusing_address(), peer_listen=taken.getsockname()))
            with pytest.raises(OSError):
                await door.start()
            door.close()

    run(job())


def test_bounds_leave_room_for_what_is_no_client_and_no_backend() -> None:
    async def job() -> None:
        for sockets in (48, 100, 1024):
            door = Proxy(replace(CONFIG, sockets=sockets))
            assert (
                door.clients.max_sockets + door.backends.max_connections + resources.RESERVED_SOCKETS
                <= sockets
            )
            assert door.clients.max_sockets > 0 and door.backends.max_connections > 0
            door.close()

    run(job())
