"""Clients that send or read in abusive ways: each costs only its own connection, within bounds."""

import asyncio
import logging
from dataclasses import replace

import pytest

from molereach.__main__ import LogRateLimiter
from molereach.clients import listener
from molereach.clients import resp as clients
from molereach.clients.connection_state import State
from molereach.proxy.proxy import Proxy
from tests.races.scripted_peers import Peer, run_loop_iterations, wait_until
from tests.sockets import CONFIG, Backend, Client, front_door, query, resp, run, submit, value

OK = b"$2\r\nok\r\n"


def test_requests_refused_for_overload_do_not_close_the_connection() -> None:
    """However many of its requests are refused, the connection stays open and every request is answered."""

    async def job() -> None:
        async with front_door(Backend(lambda words: None), max_open=1) as (proxy, address):
            first_client, peer = Peer.connect(address), Peer.connect(address)
            first_client.send(query("a1"))
            await wait_until(lambda: len(proxy.requests.open) == 1)
            count = 2 * clients.MAX_CONSECUTIVE_ERRORS
            peer.send(b"".join(query(f"b{number}") for number in range(count)) + resp("PING"))
            received = await peer.receive_until(b"+PONG\r\n")
            assert received == b"-ERR too many requests are open\r\n" * count + b"+PONG\r\n"
            assert [connection.state for connection in proxy.clients.connections] == [State.BUSY, State.IDLE]

    run(job())


def test_malformed_commands_cost_at_most_one_bounded_log_line_each(caplog: pytest.LogCaptureFixture) -> None:
    async def job() -> None:
        async with front_door(Backend()) as (proxy, address):
            well_behaved = Peer.connect(address)
            for _ in range(30):
                peer = Peer.connect(address)
                peer.send(b"*1\r\n$" + b"9" * 10_000)
                assert (await peer.receive_all()).startswith(b"-ERR Protocol error")
                peer.close()
            well_behaved.send(query("a1"))
            assert await well_behaved.receive_until(OK) == OK
            await wait_until(lambda: len(proxy.clients.connections) == 1)

    caplog.handler.addFilter(rate_limiter := LogRateLimiter())
    try:
        with caplog.at_level(logging.WARNING, "molereach.clients"):
            run(job())
    finally:
        caplog.handler.removeFilter(rate_limiter)
    lines = [record.getMessage() for record in caplog.records if record.name == "molereach.clients.resp"]
    assert 0 < len(lines) <= 10 and max(map(len, lines)) < 200


def test_exception_in_one_connections_timeout_does_not_stop_others(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    monkeypatch.setattr(listener, "SWEEP_INTERVAL_S", 0.01)

    async def job() -> None:
        async with front_door() as (proxy, address):
            peers = [Peer.connect(address) for _ in range(2)]
            await wait_until(lambda: len(proxy.clients.connections) == 2)
            first, second = proxy.clients.connections

            def raise_error() -> None:
                raise RuntimeError("injected error")

            monkeypatch.setattr(first, "on_timeout", raise_error)
            first.timeout_at_us = 0
            assert await peers[0].receive_all() == b""
            second.timeout_at_us = 0
            assert await peers[1].receive_all() == b"-ERR timed out\r\n"

    run(job())
    assert "injected error" in caplog.text


@pytest.mark.parametrize("has_sent_before", [True, False])
def test_command_sent_byte_by_byte_has_one_timeout(has_sent_before: bool) -> None:
    """A received byte does not restart the timeout."""

    async def job() -> None:
        async with front_door(Backend()) as (proxy, address):
            peer = Peer.connect(address)
            if has_sent_before:
                peer.send(resp("PING"))
                assert await peer.receive_until(b"\r\n") == b"+PONG\r\n"
            await wait_until(lambda: len(proxy.clients.connections) == 1)
            (connection,) = proxy.clients.connections
            timeouts = set()
            for count, byte in enumerate(query("a1")[:20], start=1):
                peer.send(bytes([byte]))
                await wait_until(lambda: len(connection.reader.buffer) == count)  # noqa: B023
                await run_loop_iterations()
                timeouts.add(connection.timeout_at_us)
            assert len(timeouts) == 1 and connection.state is (
                State.PARTIAL if has_sent_before else State.NEW
            )
            connection.timeout_at_us = 0
            proxy.clients.sweep()
            assert await peer.receive_all() == b"-ERR timed out\r\n"

    run(job())


def test_ready_answers_are_sent_complete_in_one_write() -> None:
    """Answers that wait for a slow one are sent together with it, in order, also before a close."""

    async def job() -> None:
        body = b"x" * 60_000
        backend = Backend(lambda words: None if words[2] == b"a0" else value(words[2] + body))
        async with front_door(backend) as (proxy, address):
            peer, count = Peer.connect(address), 5
            peer.send(b"".join(query(f"a{number}") for number in range(count)) + b"?")
            await wait_until(lambda: len(backend.commands) == count)
            (connection,) = proxy.clients.connections
            await wait_until(lambda: sum(reply.data is not None for reply in connection.replies) == count)
            slow_index = [words[2] for words in backend.commands].index(b"a0")
            writes: list[bytes] = []
            write = connection.transport.write

            class RecordingTransport:
                """The transport, with its writes recorded."""

                def __getattr__(self, name: str) -> object:
                    return getattr(write.__self__, name)

                def write(self, data: bytes) -> None:
                    writes.append(data)
                    write(data)

            connection.transport = RecordingTransport()
            backend.writers[slow_index].write(value(b"first"))
            received = await peer.receive_all()
            assert writes == [received]
            values = [b"first", *(b"a%d" % number + body for number in range(1, count))]
            expected = b"".join(b"$%d\r\n%b\r\n" % (len(data), data) for data in values)
            assert received == expected + b"-ERR Protocol error: expected '*'\r\n"

    run(job())


def test_flood_of_pipelined_commands_keeps_memory_bounded() -> None:
    """Reading from the sender is paused, and other clients are served."""

    async def job() -> None:
        max_buffered_bytes = 0
        async with front_door(Backend(lambda words: None)) as (proxy, address):
            peer = Peer.connect(address)
            await wait_until(lambda: len(proxy.clients.connections) == 1)
            (connection,) = proxy.clients.connections
            flood = b"".join(submit(f"a{number}", body=b"x" * 4000) for number in range(2000))
            sending = asyncio.create_task(asyncio.get_running_loop().sock_sendall(peer.socket, flood))
            other = await Client.open(address)
            for _ in range(20):
                assert await other.ask(resp("PING")) == b"PONG"
                max_buffered_bytes = max(max_buffered_bytes, connection.buffered_bytes())
            await wait_until(lambda: not connection.is_reading)
            assert max(max_buffered_bytes, connection.buffered_bytes()) <= 3 * listener.READ_BYTES
            assert len(proxy.requests.open) <= clients.MAX_PIPELINED
            sending.cancel()
            await run_loop_iterations()

    run(job())


def test_closing_reserve_is_part_of_the_client_sockets() -> None:
    async def job() -> None:
        proxy = Proxy(replace(CONFIG, sockets=1000))
        assert proxy.clients.max_sockets + proxy.backends.max_connections <= 1000
        assert proxy.clients.max_sockets > listener.MAX_CLOSING_RESERVE
        proxy.close()

    run(job())
