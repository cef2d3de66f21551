"""File descriptors that the proxy itself needs are kept while idle clients use up the others."""

import asyncio
import contextlib
import json
from pathlib import Path

from molereach.proxy.resources import CLIENT_SOCKET_FRACTION, RESERVED_SOCKETS
from tests.races.proxy_processes import ProxyProcess, stopped_on_exit
from tests.races.scripted_peers import Peer, ScriptedServer, scripted_server, wait_until
from tests.sockets import CUSTOMER, HEAD, Backend, Client, catalog, chunk, entry, resp, run, value
from tests.test_program import SETTINGS

DESCRIPTOR_LIMIT = 64  # of the process, in its configuration and by ulimit
CLIENT_SOCKETS = round((DESCRIPTOR_LIMIT - RESERVED_SOCKETS) * CLIENT_SOCKET_FRACTION)  # sockets for clients
IDLE_CLIENTS = 300
MAX_UPDATE_DELAY_S = 6.0  # from when discovery is reachable and has a change
LARGE_QUOTA = {**SETTINGS, "plans": [{"name": "team", "units-per-s": 1000, "burst": 1000}]}


def request(name: str) -> bytes:
    return resp("SVC.QUERY", CUSTOMER, name, "c=read,t=team,d=1500")


class IdleClients:
    """Idle clients, more than there are sockets for: those that are accepted receive +PONG and stay."""

    def __init__(self, proxy: ProxyProcess, count: int) -> None:
        self.peers = [Peer.connect(proxy.address) for _ in range(count)]

    async def ping_all(self) -> int:
        """Return how many of them received +PONG."""
        for peer in self.peers:
            with contextlib.suppress(OSError):  # closed by the proxy
                peer.send(resp("PING"))
        return [await self.receive(peer) for peer in self.peers].count(b"+PONG\r\n")

    async def receive(self, peer: Peer) -> bytes:
        with contextlib.suppress(OSError):
            return await peer.receive()
        return b""

    def close(self) -> None:
        for peer in self.peers:
            peer.close()


def test_idle_clients_leave_descriptors_for_discovery_and_backends(tmp_path: Path) -> None:
    """A backend drains while discovery is down. Once discovery is back, the change is received in time,
    requests go to the backend that joined, and the log still reports the state of discovery."""

    async def job() -> None:
        old_backend, new_backend = Backend(), Backend(lambda words: value(b"new"))
        old_address = await old_backend.start()
        entries = [entry("s1", old_address)]
        with scripted_server() as discovery:
            address = discovery.address
            proxy = ProxyProcess(
                tmp_path / "n0",
                DESCRIPTOR_LIMIT,
                discovery="{}:{}".format(*address),
                limits={"sockets": DESCRIPTOR_LIMIT},
                settings=LARGE_QUOTA,
                known=json.loads(catalog(4, entries)),
            )
            async with stopped_on_exit(proxy):
                await proxy.start()
                watch = await discovery.accept()
                await watch.receive_until(b"\r\n\r\n")
                watch.send(HEAD + chunk(catalog(5, entries)))
                client = await proxy.connect_when_ready()
                assert await client.ask(request("a1")) == b"ok"
                discovery.close()
                watch.reset()  # discovery goes down
                idle_clients = IdleClients(proxy, IDLE_CLIENTS)
                # Not all were accepted; a connection that only pings may be evicted.
                assert 0 < await idle_clients.ping_all() < IDLE_CLIENTS
                # Wait until all client sockets are in use.
                await wait_until(lambda: proxy.open_descriptors() > CLIENT_SOCKETS)
                assert proxy.open_descriptors() <= DESCRIPTOR_LIMIT
                assert await client.ask(request("a2")) == b"ok"
                await proxy.wait_for_log(b"no watch on discovery")  # the log still works
                new_address = await new_backend.start()
                await restart_discovery(
                    address[1], client, [entry("s1", old_address, "DRAINING"), entry("s2", new_address)]
                )
                idle_clients.close()

    run(job())


async def restart_discovery(port: int, client: Client, entries: list[dict[str, object]]) -> None:
    """Restart discovery with this list: the proxy asks for it, and the list is in force, in time."""
    discovery = ScriptedServer(port=port)
    async with asyncio.timeout(MAX_UPDATE_DELAY_S):
        watch = await discovery.accept()
        await watch.receive_until(b"\r\n\r\n")
        watch.send(HEAD + chunk(catalog(9, entries)))
        number = 0
        while await client.ask(request(f"b{number}")) != b"new":  # the request may be read before the list
            number += 1
    for number in range(5):
        assert await client.ask(request(f"c{number}")) == b"new"
    discovery.close()
