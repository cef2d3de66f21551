"""The limit on client sockets: which connections are evicted, which are refused, and that no data is lost."""

import asyncio
import contextlib
import socket
from collections.abc import Sequence

import pytest

from molereach.clients import connection_state
from molereach.clients import resp as clients
from molereach.clients.connection_state import TOO_MANY_CLIENTS, State
from molereach.endpoint_address import EndpointAddress
from molereach.policy.interface.events import RequestReceived
from molereach.proxy.proxy import Proxy
from molereach.resp import has_unread
from tests.races.scripted_peers import Peer, run_loop_iterations, wait_until
from tests.sockets import Backend, front_door, query, resp, run

OK = b"$2\r\nok\r\n"


async def idle_clients(proxy: Proxy, address: EndpointAddress, count: int) -> list[Peer]:
    """Idle connections that may be evicted, the oldest first."""
    peers = []
    for number in range(count):
        peer = Peer.connect(address)
        peer.send(query(f"r{number}"))
        assert await peer.receive_until(OK) == OK
        peers.append(peer)
    for connection in proxy.clients.eviction_queues.by_state[State.IDLE]:
        connection.state_entered_us -= connection_state.MIN_IDLE_US
    return peers


async def busy_clients(proxy: Proxy, address: EndpointAddress, count: int) -> list[Peer]:
    """Connections with one open request each, which the policy holds."""
    handle = proxy.gateway.handle
    proxy.gateway.handle = lambda now, event: [] if isinstance(event, RequestReceived) else handle(now, event)
    peers = [Peer.connect(address) for _ in range(count)]
    for number, peer in enumerate(peers):
        peer.send(query(f"b{number}"))
    await wait_until(lambda: len(proxy.requests.open) == count)
    return peers


def socket_errors(peers: Sequence[Peer]) -> list[int]:
    return [peer.socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) for peer in peers]


def test_connection_with_an_unread_command_is_not_evicted() -> None:
    """The longest idle client has just sent: the next one is evicted, and both requests are served."""

    async def job() -> None:
        async with front_door(Backend()) as (proxy, address):
            proxy.clients.max_sockets = 3
            peers = await idle_clients(proxy, address, 3)
            peers[0].send(query("a1"))
            newcomer = Peer.connect(address)
            newcomer.send(query("a2"))
            proxy.clients.accept()  # before the loop reads the command
            assert await peers[0].receive_until(OK) == OK
            assert await newcomer.receive_until(OK) == OK
            assert await peers[1].receive_all() == b""
            assert len(proxy.clients.connections) == 3

    run(job())


def test_newcomer_is_refused_where_all_connections_have_unread_commands() -> None:
    async def job() -> None:
        async with front_door(Backend()) as (proxy, address):
            proxy.clients.max_sockets = 3
            peers = await idle_clients(proxy, address, 3)
            for number, peer in enumerate(peers):
                peer.send(query(f"a{number}"))
            newcomer = Peer.connect(address)
            proxy.clients.accept()
            assert [await peer.receive_until(OK) for peer in peers] == [OK] * 3
            assert await newcomer.receive_all() == TOO_MANY_CLIENTS

    run(job())


def test_connection_with_an_unsent_answer_is_not_evicted() -> None:
    async def job() -> None:
        async with front_door(Backend()) as (proxy, address):
            proxy.clients.max_sockets = 2
            peers = await idle_clients(proxy, address, 2)
            oldest = next(iter(proxy.clients.eviction_queues.by_state[State.IDLE]))
            peers[0].socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            sock = oldest.transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            written = 0
            while not oldest.transport.get_write_buffer_size():
                oldest.transport.write(b"x" * 10_000)
                written += 10_000
            newcomer = Peer.connect(address)
            newcomer.send(query("a1"))
            proxy.clients.accept()
            assert await newcomer.receive_until(OK) == OK
            received = 0
            while received < written:
                received += len(await peers[0].receive())
            assert received == written

    run(job())


def test_refused_newcomer_with_unread_data_receives_the_error_without_a_reset() -> None:
    """Closing at once with its request unread would reset the connection and lose the error."""

    async def job() -> None:
        async with front_door(Backend()) as (proxy, address):
            proxy.clients.max_sockets = 16
            peers = await busy_clients(proxy, address, 14)
            newcomer = Peer.connect(address)
            newcomer.send(query("a1"))
            await wait_until(lambda: len(proxy.clients.connections) == 15)
            await run_loop_iterations()
            newcomer.send(query("a2"))
            assert await newcomer.receive_all() == TOO_MANY_CLIENTS and socket_errors([newcomer]) == [0]
            newcomer.close()
            await wait_until(lambda: len(proxy.clients.connections) == 14)
            assert len(proxy.requests.open) == proxy.clients.socket_count == len(peers)

    run(job())


def test_evicted_connection_is_half_closed(monkeypatch: pytest.MonkeyPatch) -> None:
    """A request that crosses the eviction is not forwarded; its client sees EOF and sends it again."""

    async def job() -> None:
        backend = Backend()
        async with front_door(backend) as (proxy, address):
            proxy.clients.max_sockets = 16
            peers = await idle_clients(proxy, address, 14)

            def first_check(transport: asyncio.BaseTransport) -> bool:
                result = has_unread(transport)
                monkeypatch.setattr(clients, "has_unread", second_check)
                return result

            def second_check(transport: asyncio.BaseTransport) -> bool:
                result = has_unread(transport)
                peers[0].send(query("a1"))
                monkeypatch.undo()
                return result

            monkeypatch.setattr(clients, "has_unread", first_check)
            newcomer = Peer.connect(address)
            assert await peers[0].receive_all() == b"" and socket_errors(peers[:1]) == [0]
            newcomer.send(query("a2"))
            assert await newcomer.receive_until(OK) == OK
            assert [words[2] for words in backend.commands].count(b"a1") == 0
            assert proxy.clients.socket_count == 15

    run(job())


def test_evicted_new_connection_receives_an_error() -> None:
    """If it were closed without an error, a request that it sends at this moment would stay unanswered."""

    async def job() -> None:
        async with front_door(Backend()) as (proxy, address):
            proxy.clients.max_sockets = 16
            peers = await busy_clients(proxy, address, 13)
            silent_peer = Peer.connect(address)
            await wait_until(lambda: len(proxy.clients.connections) == 14)
            newcomer = Peer.connect(address)
            newcomer.send(resp("PING"))
            assert await newcomer.receive_until(b"\r\n") == b"+PONG\r\n"
            silent_peer.send(query("a1"))
            assert await silent_peer.receive_all() == TOO_MANY_CLIENTS
            assert len(proxy.requests.open) == len(peers)

    run(job())


def test_flood_of_newcomers_stays_within_the_socket_limit_and_evicts_no_busy_connection() -> None:
    async def job() -> None:
        async with front_door(Backend()) as (proxy, address):
            proxy.clients.max_sockets, max_seen = 16, 0
            peers = await busy_clients(proxy, address, 14)
            newcomers = []
            for number in range(100):
                newcomer = Peer.connect(address)
                newcomer.send(query(f"f{number}"))
                newcomers.append(newcomer)
            while len(proxy.clients.connections) > 16 or any(
                not newcomer.receive_nowait() for newcomer in newcomers[-1:]
            ):
                max_seen = max(max_seen, proxy.clients.socket_count)
                await asyncio.sleep(0)
            assert 16 <= max(max_seen, proxy.clients.socket_count) <= 17
            assert len(proxy.requests.open) == 14
            for number, peer in enumerate(peers):
                proxy.actions.answer(f"b{number}", OK)
                assert await peer.receive_until(OK) == OK
            for newcomer in newcomers:
                with contextlib.suppress(OSError):
                    newcomer.close()

    run(job())


def test_command_that_arrives_during_eviction_has_another_connection_evicted(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The command arrives after the first check and before the half-close: it is served, and another is
    evicted."""

    async def job() -> None:
        async with front_door(Backend()) as (proxy, address):
            proxy.clients.max_sockets = 16
            peers = await idle_clients(proxy, address, 14)

            def first_check(transport: asyncio.BaseTransport) -> bool:
                result = has_unread(transport)
                monkeypatch.undo()
                peers[0].send(query("a1"))
                return result

            monkeypatch.setattr(clients, "has_unread", first_check)
            newcomer = Peer.connect(address)
            newcomer.send(query("a2"))
            assert await peers[1].receive_all() == b""
            assert await peers[0].receive_until(OK) == OK
            assert await newcomer.receive_until(OK) == OK
            peers[1].close()
            await wait_until(lambda: proxy.clients.socket_count == 14)
            assert len(proxy.clients.eviction_queues.by_state[State.IDLE]) == 14

    run(job())
