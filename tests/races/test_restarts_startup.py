"""Startup while discovery, peers and backends of the known list are silent."""

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
from molereach.proxy import proxy as proxy_module
from molereach.proxy import resources
from molereach.proxy.proxy import Proxy
from tests.races.scripted_peers import HeldConnects, Peer, scripted_server
from tests.sockets import CONFIG, HOST, SETTINGS, Backend, Client, catalog, entry, refusing_address, resp, run


@contextlib.asynccontextmanager
async def running_proxy(discovery: EndpointAddress, **changes: object) -> AsyncIterator[tuple[Proxy, Client]]:
    """Provide a running proxy and a client of it that has received +PONG."""
    proxy = Proxy(replace(CONFIG, discovery=discovery, **changes))
    await proxy.start()
    try:
        client = await Client.open(proxy.address)
        assert await client.ask(resp("PING")) == b"PONG"
        yield proxy, client
    finally:
        proxy.close()


def known_list(*addresses: EndpointAddress) -> dict[str, object]:
    values: dict[str, object] = json.loads(
        catalog(4, [entry(f"s{number}", address) for number, address in enumerate(addresses)])
    )
    return values


def request(name: str, customer: str = "00000000b4d65521", **more: str) -> bytes:
    extra = "".join(f",{key}={value}" for key, value in more.items())
    return resp("SVC.QUERY", customer, name, f"c=read,t=team,d=3000{extra}")


@pytest.fixture(autouse=True)
def short_first_list_timeout(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(proxy_module, "FIRST_LIST_TIMEOUT_S", 0.02)


def test_refusing_or_silent_discovery_does_not_delay_the_start() -> None:
    """The proxy serves from its known list."""

    async def job() -> None:
        backend = await Backend().start()
        with scripted_server() as silent:  # accepts connections and never responds
            for discovery in (refusing_address(), silent.address):
                async with running_proxy(discovery, known=known_list(backend)) as (_, client):
                    assert await client.ask(request("a1")) == b"ok"

    run(job())


def test_hanging_connect_to_discovery_does_not_delay_the_start() -> None:
    async def job() -> None:
        with HeldConnects() as connects:
            proxy = Proxy(replace(CONFIG, discovery=(HOST, 9)))
            await proxy.start()
            client = Peer.connect(proxy.address)
            client.send(resp("PING"))
            assert await client.receive() == b"+PONG\r\n"
            assert len(connects.gates) == 1  # the connect is still pending
            client.close()
            proxy.close()

    run(job())


def test_requests_are_held_without_a_list_and_served_with_the_first_one() -> None:
    async def job() -> None:
        backend = await Backend().start()
        with scripted_server() as discovery:
            async with running_proxy(discovery.address, known={}) as (proxy, client):
                watch = await discovery.accept()
                await watch.receive_until(b"\r\n\r\n")
                body = catalog(5, [entry("s0", backend)])
                client.send(request("a1"))
                while not proxy.requests.open:
                    await asyncio.sleep(0)
                watch.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                assert await client.answer() == b"ok"

    run(job())


def test_stale_known_list_costs_an_attempt_and_not_the_request() -> None:
    """One of its backends is gone and refuses connections; another one serves."""

    async def job() -> None:
        backend = await Backend().start()
        async with running_proxy(refusing_address(), known=known_list(refusing_address(), backend)) as (
            _,
            client,
        ):
            for number in range(8):  # either backend may be tried first
                assert await client.ask(request(f"a{number}")) == b"ok"

    run(job())


def test_silent_peers_do_not_delay_requests_for_long() -> None:
    """The customer's home has not started yet, or never will: the proxy decides with what it knows."""

    async def job() -> None:
        backend = await Backend().start()
        peer = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        peer.bind((HOST, 0))
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as temporary:
            temporary.bind((HOST, 0))
            listen = temporary.getsockname()
        # This proxy's part of the burst holds no whole request, so that it must ask the home.
        settings = replace(SETTINGS, plans=(Plan(quota_rate=5.0, quota_burst=1.0),))
        customer = next(name for name in map("{:016x}".format, range(99)) if zlib.crc32(name.encode()) % 2)
        async with running_proxy(
            refusing_address(),
            known=known_list(backend),
            settings=settings,
            peer_listen=listen,
            peers=(listen, peer.getsockname()),
        ) as (_, client):
            assert await client.ask(request("a1", customer, spread="2", first="0")) == b"ok"
            assert peer.recv(2048)  # the question to the home
        peer.close()

    run(job())


def test_restart_can_bind_the_address_despite_connections_in_time_wait() -> None:
    """Connections that the old process closed are in TIME_WAIT. A listener there fails the start."""

    async def job() -> None:
        async with running_proxy(refusing_address()) as (proxy, client):
            address = proxy.address
            taken = Proxy(replace(CONFIG, listen=address, discovery=refusing_address()))
            with pytest.raises(OSError):
                await taken.start()
            taken.close()
        with contextlib.suppress(EOFError, ConnectionError):
            await client.answer()
        async with running_proxy(refusing_address(), listen=address) as (restarted, _):
            assert restarted.address == address

    run(job())


def test_gossip_address_in_use_fails_the_start() -> None:
    async def job() -> None:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as taken:
            taken.bind((HOST, 0))
            proxy = Proxy(replace(CONFIG, discovery=refusing_address(), peer_listen=taken.getsockname()))
            with pytest.raises(OSError):
                await proxy.start()
            proxy.close()

    run(job())


def test_socket_limits_leave_room_for_reserved_sockets() -> None:
    async def job() -> None:
        for sockets in (48, 100, 1024):
            proxy = Proxy(replace(CONFIG, sockets=sockets))
            assert (
                proxy.clients.max_sockets + proxy.backends.max_connections + resources.RESERVED_SOCKETS
                <= sockets
            )
            assert proxy.clients.max_sockets > 0 and proxy.backends.max_connections > 0
            proxy.close()

    run(job())
