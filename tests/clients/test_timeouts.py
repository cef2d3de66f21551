"""Timeouts of client connections: each state that can last has one, in every way to stay in it."""

import asyncio
import contextlib
import socket

import pytest

from molereach.clients import connection_state, input_drain, listener
from tests.sockets import Backend, Client, front_door, query, resp, run, value

SHORT_TIMEOUT_US = 500_000  # longer than a slow machine takes to reply


def shorten_timeout(monkeypatch: pytest.MonkeyPatch, name: str) -> None:
    """Set one of the timeouts to `SHORT_TIMEOUT_US`."""
    monkeypatch.setattr(listener, "SWEEP_INTERVAL_S", 0.01)
    monkeypatch.setattr(connection_state, name, SHORT_TIMEOUT_US)
    monkeypatch.setitem(
        connection_state.TIMEOUTS_US, connection_state.State.PING_ONLY, connection_state.IDLE_TIMEOUT_US
    )
    states = {
        "FIRST_COMMAND_TIMEOUT_US": connection_state.State.NEW,
        "IDLE_TIMEOUT_US": connection_state.State.IDLE,
        "COMMAND_TIMEOUT_US": connection_state.State.PARTIAL,
        "WRITE_TIMEOUT_US": connection_state.State.WRITE_BLOCKED,
        "LINGER_TIMEOUT_US": connection_state.State.CLOSING,
    }
    if name in states:
        monkeypatch.setitem(connection_state.TIMEOUTS_US, states[name], SHORT_TIMEOUT_US)


@pytest.mark.parametrize(
    ("name", "data", "reply_count"),
    [
        ("FIRST_COMMAND_TIMEOUT_US", b"", 0),
        ("FIRST_COMMAND_TIMEOUT_US", b"*4\r\n$9\r\nSVC.", 0),
        ("FIRST_COMMAND_TIMEOUT_US", resp("WHAT"), 1),
        ("COMMAND_TIMEOUT_US", resp("PING") + b"*4\r\n$9\r\nSVC.", 1),
        ("IDLE_TIMEOUT_US", resp("PING"), 1),
    ],
)
def test_connection_without_valid_requests_times_out(
    monkeypatch: pytest.MonkeyPatch, name: str, data: bytes, reply_count: int
) -> None:
    shorten_timeout(monkeypatch, name)

    async def scenario() -> None:
        async with front_door() as (_, address):
            client = await Client.open(address)
            client.send(data)
            for _ in range(reply_count):
                await client.answer()
            if name == "IDLE_TIMEOUT_US":
                assert await client.ended()
            else:
                assert await client.answer() == "-ERR timed out"
                assert await client.ended()

    run(scenario())


def test_client_whose_wrong_commands_wait_for_unread_input_times_out(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a connection without a timeout: it waited, and was new again after that."""
    shorten_timeout(monkeypatch, "FIRST_COMMAND_TIMEOUT_US")

    async def scenario() -> None:
        async with front_door() as (door, address):
            client = await Client.open(address)
            while not door.clients.connections:
                await asyncio.sleep(0)
            (connection,) = door.clients.connections
            with monkeypatch.context() as patch:
                patch.setattr(input_drain, "has_unread", lambda transport: True)
                client.send(resp("WHAT"))
                while not connection.commands.has_commands():
                    await asyncio.sleep(0)
            client.send(resp("WHAT"))
            assert [await client.answer() for _ in range(2)] == ["-ERR unknown command"] * 2
            assert await client.answer() == "-ERR timed out"
            assert await client.ended()

    run(scenario())


def test_timeouts_conform_to_the_protocol() -> None:
    sweep_us = listener.SWEEP_INTERVAL_S * 1e6
    assert 2_000_000 < connection_state.FIRST_COMMAND_TIMEOUT_US < 3_000_000 - 2 * sweep_us
    assert connection_state.COMMAND_TIMEOUT_US + 2 * sweep_us < 3_000_000
    assert connection_state.WRITE_TIMEOUT_US + 2 * sweep_us < 3_000_000
    assert min(connection_state.IDLE_TIMEOUT_US, connection_state.MIN_IDLE_US) > 2_000_000


def test_unread_replies_end_the_connection(monkeypatch: pytest.MonkeyPatch) -> None:
    shorten_timeout(monkeypatch, "WRITE_TIMEOUT_US")

    async def scenario() -> None:
        body = b"x" * 65536
        async with front_door(Backend(lambda arguments: value(body))) as (door, address):
            with socket.socket() as client_socket:
                client_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
                client_socket.connect(address)
                client_socket.setblocking(False)
                loop = asyncio.get_running_loop()
                with contextlib.suppress(OSError):
                    for number in range(200):
                        await loop.sock_sendall(client_socket, query(f"a{number}"))
                while not door.clients.connections:
                    await asyncio.sleep(0)
                assert await door.clients.wait_closed(20)

    run(scenario())


def test_close_is_bounded_if_the_client_reads_nothing_and_continues_sending(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    shorten_timeout(monkeypatch, "LINGER_TIMEOUT_US")

    async def scenario() -> None:
        async with front_door() as (door, address):
            client = await Client.open(address)
            client.send(b"*1\r\n$60000000\r\n" + b"x" * (4 << 20))
            assert await client.answer() == "-ERR Protocol error: too long"
            (connection,) = door.clients.connections
            buffered_bytes = len(connection.reader.buffer)
            assert await client.ended()
            assert buffered_bytes <= listener.READ_BYTES  # nothing was buffered after the header
            assert await door.clients.wait_closed(20)

    run(scenario())
