"""Connections that we close: what crosses the close, and the last answer before it."""

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
from tests.races.scripted_peers import Peer, turns, until
from tests.sockets import Backend, front_door, query, resp, run, value

LINGER_US = 50_000


@pytest.fixture
def short(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(listener, "SWEEP_S", 0.01)
    monkeypatch.setitem(connection_state.TIMEOUTS_US, State.CLOSING, LINGER_US)


def crossed_by(monkeypatch: pytest.MonkeyPatch, act: Callable[[], None]) -> None:
    """What a peer does in the instant after the look for unread bytes."""

    def look(transport: asyncio.BaseTransport) -> bool:
        found = has_unread(transport)
        act()
        return found

    monkeypatch.setattr(clients, "has_unread", look)


async def rested(door: Proxy, peer: Peer, hear: bool = True) -> Any:  # noqa: ANN401
    """A connection between requests; its one answer is read by the client or not."""
    peer.say(query("a1"))
    await until(lambda: any(each.state is State.IDLE for each in door.clients.connections))
    if hear:
        assert await peer.hear_until(b"ok\r\n")
    (connection,) = door.clients.connections
    return connection


@pytest.mark.parametrize("hear", [True, False])
def test_request_that_crosses_the_close_is_neither_sent_on_nor_a_reset(
    monkeypatch: pytest.MonkeyPatch, hear: bool
) -> None:
    """It stays unread, its client hears a clean end, and an answer that it had not read yet is whole."""

    async def job() -> None:
        backend = Backend()
        async with front_door(backend) as (door, address):
            peer = Peer.dial(address)
            connection = await rested(door, peer, hear)
            crossed_by(monkeypatch, lambda: peer.say(query("a2")))
            connection.close()
            await turns(10)
            assert await peer.hear_all() == (b"" if hear else b"$2\r\nok\r\n")
            assert len(backend.commands) == 1 and has_unread(connection.transport)
            peer.close()
            assert await door.clients.wait_closed(10)
            assert len(backend.commands) == 1 and door.clients.socket_count == 0

    run(job())


def test_client_that_rests_on_after_the_close_is_let_go_of(
    monkeypatch: pytest.MonkeyPatch, short: None
) -> None:
    """Whether it says nothing or sends on; the time is bounded."""

    async def job() -> None:
        backend = Backend()
        async with front_door(backend) as (door, address):
            for sends in (False, True):
                peer = Peer.dial(address)
                connection = await rested(door, peer)
                connection.close()
                assert await peer.hear_all() == b""
                if sends:
                    peer.say(query("a2"))
                assert await door.clients.wait_closed(10)
            assert len(backend.commands) == 2 and door.clients.socket_count == 0

    run(job())


def test_request_that_came_before_the_close_is_answered_first() -> None:
    async def job() -> None:
        backend = Backend()
        async with front_door(backend) as (door, address):
            peer = Peer.dial(address)
            await rested(door, peer)
            peer.say(query("a2"))
            door.clients.drain()
            assert await peer.hear_all() == b"$2\r\nok\r\n"
            assert len(backend.commands) == 2

    run(job())


@pytest.mark.parametrize("known", [True, False])
def test_half_a_command_is_waited_for_when_connections_are_closed(known: bool) -> None:
    """Also where it is the first on its connection."""

    async def job() -> None:
        async with front_door(Backend()) as (door, address):
            peer, whole = Peer.dial(address), query("a2")
            if known:
                await rested(door, peer)
            peer.say(whole[:30])
            await until(lambda: any(each.reader.buffer for each in door.clients.connections))
            await turns()
            door.clients.drain()
            peer.say(whole[30:])
            assert await peer.hear_all() == b"$2\r\nok\r\n"

    run(job())


def test_first_command_in_the_moment_of_its_time_out_is_taken() -> None:
    async def job() -> None:
        async with front_door(Backend()) as (door, address):
            peer = Peer.dial(address)
            await until(lambda: len(door.clients.connections) == 1)
            (connection,) = door.clients.connections
            peer.say(query("a1"))
            connection.on_timeout()
            assert await peer.hear_until(b"\r\n") == b"$2\r\nok\r\n"

    run(job())


@pytest.mark.parametrize("more", [b"x" * 8_000, query("a2") * 3])
def test_last_answer_comes_whole_while_the_client_sends_on(more: bytes) -> None:
    """What follows a command that cannot be read is thrown away: left unread, it would be a reset."""

    async def job() -> None:
        backend = Backend()
        async with front_door(backend) as (door, address):
            peer = Peer.dial(address)
            await until(lambda: len(door.clients.connections) == 1)
            (connection,) = door.clients.connections
            peer.say(b"?" * 10 + more)
            heard = await peer.hear_until(b"\r\n")
            peer.say(more)
            await turns(10)
            connection.on_timeout()  # its time to read the answer is over
            assert await door.clients.wait_closed(10)
            assert peer.socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) == 0  # no reset came
            assert heard + await peer.hear_all() == b"-ERR Protocol error: expected '*'\r\n"
            assert backend.commands == []

    run(job())


def test_flood_behind_a_last_answer_is_bounded(short: None) -> None:
    async def job() -> None:
        async with front_door() as (door, address):
            peer = Peer.dial(address)
            peer.say(b"?")
            await until(lambda: len(door.clients.connections) == 1)
            (connection,) = door.clients.connections

            async def flood() -> None:
                while True:
                    await asyncio.get_running_loop().sock_sendall(peer.socket, b"x" * 65536)

            flooding = asyncio.create_task(flood())
            assert await door.clients.wait_closed(10)
            assert connection.discarded_bytes <= clients.MAX_DISCARDED_BYTES + listener.READ_BYTES
            assert not connection.reader.buffer[64:]
            await asyncio.wait([flooding])

    run(job())


def test_requests_before_a_garbled_command_are_answered_also_after_a_clog(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The connection is closing, and its answers were not read for a while: then they are, and it goes on."""
    monkeypatch.setitem(connection_state.TIMEOUTS_US, State.WRITE_BLOCKED, 0)

    async def job() -> None:
        backend = Backend(lambda words: None)
        async with front_door(backend) as (door, address):
            peer = Peer.dial(address)
            peer.say(query("a1") + b"?")
            await backend.command_received.wait()
            (connection,) = door.clients.connections
            connection.pause_writing()
            connection.resume_writing()
            door.clients.sweep()
            backend.writers[0].write(value(b"late"))
            assert await peer.hear_all() == b"$4\r\nlate\r\n-ERR Protocol error: expected '*'\r\n"

    run(job())


@contextmanager
def slow_reader(address: Any) -> Any:  # noqa: ANN401
    with socket.socket() as own:
        own.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        own.connect(address)
        yield Peer(own)


def test_close_with_answers_unread_waits_for_them_within_bounds(
    monkeypatch: pytest.MonkeyPatch, short: None
) -> None:
    """A transport that closes waits without end for what the kernel does not take."""
    monkeypatch.setitem(connection_state.TIMEOUTS_US, State.WRITE_BLOCKED, LINGER_US)

    async def job() -> None:
        async with front_door(Backend()) as (door, address):
            with slow_reader(address) as peer:
                connection = await rested(door, peer)
                kernel = connection.transport.get_extra_info("socket")
                kernel.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
                while not connection.transport.get_write_buffer_size():
                    connection.transport.write(b"x" * 10_000)
                connection.close()
                assert connection.state is State.WRITE_BLOCKED
                assert await door.clients.wait_closed(10)
                assert door.clients.socket_count == 0

    run(job())


def test_small_writes_are_not_held_back() -> None:
    """An accepted socket has TCP_NODELAY: a reset would take along what the system holds back."""

    async def job() -> None:
        async with front_door() as (door, address):
            peer = Peer.dial(address)
            peer.say(resp("PING"))
            assert await peer.hear() == b"+PONG\r\n"
            (connection,) = door.clients.connections
            kernel = connection.transport.get_extra_info("socket")
            assert kernel.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)

    run(job())
