"""Connections that the proxy closes: requests that cross the close, and the last answer before it."""

import asyncio
import socket
from collections.abc import Callable
from contextlib import contextmanager
from typing import Any

import pytest

from molereach.clients import connection_state, listener
from molereach.clients import resp as clients
from molereach.clients.connection_state import State
from molereach.proxy.proxy import Proxy
from molereach.resp import has_unread
from tests.races.scripted_peers import Peer, run_loop_iterations, wait_until
from tests.sockets import Backend, front_door, query, resp, run, value

CLOSING_TIMEOUT_US = 50_000


@pytest.fixture
def short_timeouts(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(listener, "SWEEP_INTERVAL_S", 0.01)
    monkeypatch.setitem(connection_state.TIMEOUTS_US, State.CLOSING, CLOSING_TIMEOUT_US)


def act_after_check(monkeypatch: pytest.MonkeyPatch, action: Callable[[], None]) -> None:
    """Run an action right after the check for unread bytes, as a peer that acts at that moment."""

    def check(transport: asyncio.BaseTransport) -> bool:
        result = has_unread(transport)
        action()
        return result

    monkeypatch.setattr(clients, "has_unread", check)


async def idle_connection(proxy: Proxy, peer: Peer, reads_answer: bool = True) -> Any:  # noqa: ANN401
    """Return a connection between requests; `reads_answer`: whether the client has read its one answer."""
    peer.send(query("a1"))
    await wait_until(lambda: any(connection.state is State.IDLE for connection in proxy.clients.connections))
    if reads_answer:
        assert await peer.receive_until(b"ok\r\n")
    (connection,) = proxy.clients.connections
    return connection


@pytest.mark.parametrize("reads_answer", [True, False])
def test_request_that_crosses_the_close_is_not_forwarded_and_causes_no_reset(
    monkeypatch: pytest.MonkeyPatch, reads_answer: bool
) -> None:
    """The request stays unread, the client sees EOF, and an answer that it had not read yet is complete."""

    async def job() -> None:
        backend = Backend()
        async with front_door(backend) as (proxy, address):
            peer = Peer.connect(address)
            connection = await idle_connection(proxy, peer, reads_answer)
            act_after_check(monkeypatch, lambda: peer.send(query("a2")))
            connection.close()
            await run_loop_iterations(10)
            assert await peer.receive_all() == (b"" if reads_answer else b"$2\r\nok\r\n")
            assert len(backend.commands) == 1 and has_unread(connection.transport)
            peer.close()
            assert await proxy.clients.wait_closed(10)
            assert len(backend.commands) == 1 and proxy.clients.socket_count == 0

    run(job())


def test_connection_of_a_client_that_does_not_close_is_released_after_a_timeout(
    monkeypatch: pytest.MonkeyPatch, short_timeouts: None
) -> None:
    """The client stays silent or keeps sending; in both cases the time is bounded."""

    async def job() -> None:
        backend = Backend()
        async with front_door(backend) as (proxy, address):
            for sends_more in (False, True):
                peer = Peer.connect(address)
                connection = await idle_connection(proxy, peer)
                connection.close()
                assert await peer.receive_all() == b""
                if sends_more:
                    peer.send(query("a2"))
                assert await proxy.clients.wait_closed(10)
            assert len(backend.commands) == 2 and proxy.clients.socket_count == 0

    run(job())


def test_request_received_before_the_close_is_answered_first() -> None:
    async def job() -> None:
        backend = Backend()
        async with front_door(backend) as (proxy, address):
            peer = Peer.connect(address)
            await idle_connection(proxy, peer)
            peer.send(query("a2"))
            proxy.clients.drain()
            assert await peer.receive_all() == b"$2\r\nok\r\n"
            assert len(backend.commands) == 2

    run(job())


@pytest.mark.parametrize("has_sent_before", [True, False])
def test_drain_waits_for_the_rest_of_a_partial_command(has_sent_before: bool) -> None:
    """Also where it is the first command on its connection."""

    async def job() -> None:
        async with front_door(Backend()) as (proxy, address):
            peer, command = Peer.connect(address), query("a2")
            if has_sent_before:
                await idle_connection(proxy, peer)
            peer.send(command[:30])
            await wait_until(
                lambda: any(connection.reader.buffer for connection in proxy.clients.connections)
            )
            await run_loop_iterations()
            proxy.clients.drain()
            peer.send(command[30:])
            assert await peer.receive_all() == b"$2\r\nok\r\n"

    run(job())


def test_first_command_that_arrives_with_the_timeout_is_answered() -> None:
    async def job() -> None:
        async with front_door(Backend()) as (proxy, address):
            peer = Peer.connect(address)
            await wait_until(lambda: len(proxy.clients.connections) == 1)
            (connection,) = proxy.clients.connections
            peer.send(query("a1"))
            connection.on_timeout()
            assert await peer.receive_until(b"\r\n") == b"$2\r\nok\r\n"

    run(job())


@pytest.mark.parametrize("rest", [b"x" * 8_000, query("a2") * 3])
def test_last_answer_arrives_complete_while_the_client_keeps_sending(rest: bytes) -> None:
    """Data after a malformed command is discarded: left unread at the close, it would cause a reset."""

    async def job() -> None:
        backend = Backend()
        async with front_door(backend) as (proxy, address):
            peer = Peer.connect(address)
            await wait_until(lambda: len(proxy.clients.connections) == 1)
            (connection,) = proxy.clients.connections
            peer.send(b"?" * 10 + rest)
            received = await peer.receive_until(b"\r\n")
            peer.send(rest)
            await run_loop_iterations(10)
            connection.on_timeout()  # the time to read the answer has expired
            assert await proxy.clients.wait_closed(10)
            assert peer.socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) == 0  # no RST arrived
            assert received + await peer.receive_all() == b"-ERR Protocol error: expected '*'\r\n"
            assert backend.commands == []

    run(job())


def test_data_discarded_after_a_last_answer_is_bounded(short_timeouts: None) -> None:
    async def job() -> None:
        async with front_door() as (proxy, address):
            peer = Peer.connect(address)
            peer.send(b"?")
            await wait_until(lambda: len(proxy.clients.connections) == 1)
            (connection,) = proxy.clients.connections

            async def flood() -> None:
                while True:
                    await asyncio.get_running_loop().sock_sendall(peer.socket, b"x" * 65536)

            flooding = asyncio.create_task(flood())
            assert await proxy.clients.wait_closed(10)
            assert connection.discarded_bytes <= clients.MAX_DISCARDED_BYTES + listener.READ_BYTES
            assert not connection.reader.buffer[64:]
            await asyncio.wait([flooding])

    run(job())


def test_requests_before_a_malformed_command_are_answered_after_writing_was_paused(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Writing is paused for a while on a connection that is closing, then resumes, and the connection goes
    on."""
    monkeypatch.setitem(connection_state.TIMEOUTS_US, State.WRITE_BLOCKED, 0)

    async def job() -> None:
        backend = Backend(lambda words: None)
        async with front_door(backend) as (proxy, address):
            peer = Peer.connect(address)
            peer.send(query("a1") + b"?")
            await backend.command_received.wait()
            (connection,) = proxy.clients.connections
            connection.pause_writing()
            connection.resume_writing()
            proxy.clients.sweep()
            backend.writers[0].write(value(b"late"))
            assert await peer.receive_all() == b"$4\r\nlate\r\n-ERR Protocol error: expected '*'\r\n"

    run(job())


@contextmanager
def client_with_small_buffer(address: Any) -> Any:  # noqa: ANN401
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.connect(address)
        yield Peer(sock)


def test_close_waits_a_bounded_time_for_unread_answers(
    monkeypatch: pytest.MonkeyPatch, short_timeouts: None
) -> None:
    """A closing transport waits forever for the kernel to take its buffer."""
    monkeypatch.setitem(connection_state.TIMEOUTS_US, State.WRITE_BLOCKED, CLOSING_TIMEOUT_US)

    async def job() -> None:
        async with front_door(Backend()) as (proxy, address):
            with client_with_small_buffer(address) as peer:
                connection = await idle_connection(proxy, peer)
                sock = connection.transport.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
                while not connection.transport.get_write_buffer_size():
                    connection.transport.write(b"x" * 10_000)
                connection.close()
                assert connection.state is State.WRITE_BLOCKED
                assert await proxy.clients.wait_closed(10)
                assert proxy.clients.socket_count == 0

    run(job())


def test_accepted_sockets_have_tcp_nodelay() -> None:
    """A reset would discard data that the kernel holds back without TCP_NODELAY."""

    async def job() -> None:
        async with front_door() as (proxy, address):
            peer = Peer.connect(address)
            peer.send(resp("PING"))
            assert await peer.receive() == b"+PONG\r\n"
            (connection,) = proxy.clients.connections
            sock = connection.transport.get_extra_info("socket")
            assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)

    run(job())
