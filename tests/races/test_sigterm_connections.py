"""SIGTERM and open connections: which stay until the end, and whether their last answers arrive."""

import asyncio
import contextlib
import socket

import pytest

from molereach.clients.connection_state import NEVER_US, TIMEOUTS_US, State
from molereach.clients.resp import MAX_PIPELINED
from molereach.proxy import connection_draining, graceful_shutdown
from molereach.proxy.proxy import Proxy
from molereach.resp import has_unread
from tests.races.scripted_peers import Peer, run_loop_iterations, wait_until
from tests.races.sigterm import (
    FAILED,
    OK,
    SHUTTING_DOWN,
    drain,
    is_answer,
    run_before,
    shorten_shutdown_times,
)
from tests.sockets import Backend, front_door, query, resp, run, value

LARGE_VALUE = value(b"x" * 60_000)
LARGE_ANSWER = b"$60000\r\n" + b"x" * 60_000 + b"\r\n"


@pytest.fixture(autouse=True)
def short_shutdown_times(monkeypatch: pytest.MonkeyPatch) -> None:
    shorten_shutdown_times(monkeypatch)


async def idle_client(address: tuple[str, int], name: str = "a0") -> Peer:
    """Return a client whose connection is idle after an answer."""
    client = Peer.connect(address)
    client.send(query(name))
    assert await client.receive_until(b"ok\r\n") == OK
    return client


def test_request_that_crosses_the_close_of_its_idle_connection_is_answered() -> None:
    async def job() -> None:
        async with front_door(Backend()) as (proxy, address):
            client = await idle_client(address)
            run_before(proxy.clients, "drain", lambda: client.send(query("a1")))
            draining = asyncio.create_task(drain(proxy))
            assert is_answer(await client.receive_all())
            client.close()
            await draining

    run(job())


def test_request_received_after_our_half_close_is_not_forwarded() -> None:
    """Its client sends it again elsewhere: if it were forwarded, it would run twice."""

    handled: list[None] = []

    async def job() -> None:
        backend = Backend()
        async with front_door(backend) as (proxy, address):
            client = await idle_client(address)
            run_before(proxy, "handle_command", lambda: handled.append(None))
            proxy.clients.shut_down()
            assert await client.receive_all() == b""  # an idle connection ends with EOF, not with a reset
            client.send(query("a1"))
            await run_loop_iterations()
            assert has_unread(next(iter(proxy.clients.connections)).transport)
            await drain(proxy)
            assert not handled and len(backend.commands) == 1

    run(job())


def test_partial_command_at_the_start_of_draining_is_answered_once_complete() -> None:
    command = query("a1")

    async def job() -> None:
        async with front_door(Backend()) as (proxy, address):
            client = await idle_client(address)
            client.send(command[:40])
            draining = asyncio.create_task(drain(proxy))
            await wait_until(lambda: proxy.clients.is_draining)
            proxy.clients.sweep()
            client.send(command[40:])
            assert is_answer(await client.receive_all())
            client.close()
            await draining

    run(job())


@pytest.mark.parametrize(
    ("sent", "expected"),
    [
        (query("a1")[:40], SHUTTING_DOWN),  # the rest may be on its way: a complete answer in any case
        (resp("PING") + query("a1")[:40], b"+PONG\r\n" + SHUTTING_DOWN),
        (resp("PING"), b"+PONG\r\n"),  # between requests: EOF without an error
        (query("a0") + b"*", OK + SHUTTING_DOWN),
    ],
)
def test_client_that_stops_within_a_command_gets_an_error_before_sigkill(
    sent: bytes, expected: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    # The deadline, not the silence, must end the connection.
    monkeypatch.setattr(connection_draining, "FINAL_WRITE_TIMEOUT_S", 60.0)

    async def job() -> None:
        async with front_door(Backend()) as (proxy, address):
            client = Peer.connect(address)
            client.send(sent)
            await wait_until(lambda: bool(proxy.clients.connections))
            draining = asyncio.create_task(drain(proxy))
            assert await client.receive_all() == expected
            client.close()
            await draining

    run(job())


def test_client_that_never_stops_sending_is_closed_before_sigkill() -> None:
    """Its connection is never idle. Every request that was read is answered; the client sends the last one
    again."""
    sent_count, handled = 0, 0

    async def job() -> None:
        async with front_door(Backend()) as (proxy, address):
            client = Peer.connect(address)

            def send_next(*_: object) -> None:
                nonlocal sent_count
                sent_count += 1
                client.send(query(f"r{sent_count}"))

            def count_handled() -> None:
                nonlocal handled
                handled += 1

            run_before(proxy, "handle_command", count_handled)
            run_before(proxy.actions, "answer", send_next)  # the next request arrives as an answer is sent
            send_next()
            receiving = asyncio.create_task(client.receive_all())
            draining = asyncio.create_task(drain(proxy))
            answers = await receiving
            client.close()
            await draining
            assert answers.count(OK) + answers.count(b"-") == handled == sent_count - 1 > 2

    run(job())


def test_queued_commands_are_answered_at_shutdown() -> None:
    async def job() -> None:
        async with front_door(Backend(lambda words: None)) as (proxy, address):
            client = Peer.connect(address)
            client.send(b"".join(query(f"r{number}") for number in range(40)))
            await wait_until(lambda: len(proxy.requests.open) == MAX_PIPELINED)
            proxy.clients.shut_down()
            for name in list(proxy.requests.open):
                proxy.actions.answer(name, OK)
            assert await client.receive_all() == OK * MAX_PIPELINED + FAILED * (40 - MAX_PIPELINED)

    run(job())


def connect_slow_reader(proxy: Proxy, address: tuple[str, int], requests: int) -> Peer:
    """Connect a client that sends requests and does not read, with small socket buffers on both sides."""
    assert proxy.clients.listener
    # Inherited by accepted sockets.
    proxy.clients.listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 16_384)
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16_384)
    sock.connect(address)
    client = Peer(sock)
    client.send(b"".join(query(f"r{number}") for number in range(requests)))
    return client


def is_write_blocked(proxy: Proxy) -> bool:
    return (
        any(connection.buffered_bytes() > len(LARGE_ANSWER) for connection in proxy.clients.connections)
        and not proxy.requests.open
    )


def test_unread_answers_are_delivered_if_the_client_reads_before_sigkill(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(graceful_shutdown, "KILL_GRACE_US", 20_000_000)  # SIGKILL is far off
    monkeypatch.setattr(connection_draining, "FINAL_WRITE_TIMEOUT_S", 0.05)

    async def job() -> None:
        async with front_door(Backend(lambda words: LARGE_VALUE)) as (proxy, address):
            client = connect_slow_reader(proxy, address, 4)
            await wait_until(lambda: is_write_blocked(proxy))
            shutdown_started = asyncio.Event()

            def extend_write_timeout() -> None:
                monkeypatch.setattr(connection_draining, "FINAL_WRITE_TIMEOUT_S", 60.0)
                shutdown_started.set()

            run_before(proxy.clients, "shut_down", extend_write_timeout)
            draining = asyncio.create_task(drain(proxy))
            await shutdown_started.wait()
            assert await client.receive_all() == LARGE_ANSWER * 4
            client.close()
            await draining

    run(job())


def test_client_that_never_reads_does_not_delay_the_exit_past_sigkill(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It can tell that the last value which it receives is truncated."""
    monkeypatch.setattr(connection_draining, "FINAL_WRITE_TIMEOUT_S", 60.0)
    # The read timeout must not end the connection.
    monkeypatch.setitem(TIMEOUTS_US, State.WRITE_BLOCKED, NEVER_US)

    async def job() -> None:
        async with front_door(Backend(lambda words: LARGE_VALUE)) as (proxy, address):
            client = connect_slow_reader(proxy, address, 4)
            await wait_until(lambda: is_write_blocked(proxy))
            await drain(proxy)
            received = b""
            with contextlib.suppress(ConnectionResetError):
                while data := await client.receive():
                    received += data
            assert (LARGE_ANSWER * 4).startswith(received) and len(received) < len(LARGE_ANSWER) * 4

    run(job())


def test_accepted_sockets_have_tcp_nodelay() -> None:
    """A close with a reset would discard what the kernel holds back."""

    async def job() -> None:
        async with front_door(Backend()) as (proxy, address):
            await idle_client(address)
            sock = next(iter(proxy.clients.connections)).transport.get_extra_info("socket")
            assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)

    run(job())
