"""Backend responses that coincide with a timeout, connection reuse or close, or that never end."""

import asyncio
import time

import pytest

from molereach.backends import pool
from molereach.policy.interface.events import AttemptResult
from molereach.resp import MAX_VALUE_BYTES
from tests.races.attempt_sender import SECOND_US, Sender
from tests.races.scripted_peers import Peer, ScriptedServer, run_loop_iterations, scripted_server, wait_until
from tests.sockets import Client, front_door, query, run, submit, value


def block_loop(seconds: float) -> None:
    """Block the loop, so that incoming data and due timers are met in one iteration."""
    time.sleep(seconds)


async def serve_first_request(sender: Sender, backend: ScriptedServer) -> Peer:
    """Serve one request and return its connection, which is idle now."""
    sender.send(b"first")
    peer = await backend.accept()
    assert await peer.receive_until(b"first")
    peer.send(value(b"ok"))
    await wait_until(lambda: sender.results == [AttemptResult.OK])
    return peer


@pytest.mark.parametrize("winner", ["response", "timeout"])
@pytest.mark.parametrize("response", [value(b"late"), b"-ERR failed\r\n", b"-BUSY\r\n", b"?", b""])
def test_timeout_and_response_in_one_loop_iteration_give_one_result(response: bytes, winner: str) -> None:
    async def job() -> None:
        with scripted_server() as backend:
            sender = Sender(backend)
            attempt = sender.send(b"first", timeout_us=50_000)
            peer = await backend.accept()
            await peer.receive_until(b"first")
            if response:
                peer.send(response)
            else:
                peer.reset()
            if winner == "timeout":
                attempt.on_timeout()
                assert sender.results == [AttemptResult.TIMEOUT]
            block_loop(0.06)
            await run_loop_iterations(5)
            attempt.on_timeout()  # as a timer that the loop has already dequeued
            assert len(sender.results) == 1 and attempt.connection is None
            sender.send(b"second")
            if winner == "timeout":  # a late response must not reach the next request
                peer = await backend.accept()
                assert await peer.receive() == b"second"
            sender.backends.close()

    run(job())


def test_timeout_and_response_in_one_loop_iteration_give_the_client_one_answer() -> None:
    async def job() -> None:
        with scripted_server() as backend:
            async with front_door(addresses=[backend.address]) as (proxy, address):
                client = await Client.open(address)
                client.send(submit("a1", wait_ms=300))
                peer = await backend.accept()
                await peer.receive_until(b"BODY")
                peer.send(value(b"late"))
                block_loop(0.3)
                assert await client.answer() in (b"late", "-ERR failed")
                await run_loop_iterations(5)
                assert await client.ask(b"*1\r\n$4\r\nPING\r\n") == b"PONG"
                assert (
                    not proxy.requests.open
                    and not proxy.requests.answered
                    and not proxy.gateway.attempts.pending
                )

    run(job())


@pytest.mark.parametrize(
    "action", [Peer.close, Peer.half_close, Peer.reset, lambda peer: peer.send(value(b"copy"))]
)
def test_connection_with_an_unread_end_or_response_is_not_reused(
    action: object, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The FIN, RST or second response is in the kernel but not read yet; the next request must not be sent
    there."""
    monkeypatch.setattr(pool, "MIN_IDLE_US", 0)

    async def job() -> None:
        with scripted_server() as backend:
            sender = Sender(backend)
            old_peer = await serve_first_request(sender, backend)
            action(old_peer)
            sender.send(b"second")
            peer = await backend.accept()
            assert await peer.receive_until(b"second")
            peer.send(value(b"ok"))
            await wait_until(lambda: len(sender.results) == 2)
            assert sender.results == [AttemptResult.OK] * 2
            sender.backends.close()

    run(job())


def test_late_second_response_closes_the_connection_and_reaches_no_request(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A connection below its minimum idle time is not reused; the duplicate response closes it."""
    monkeypatch.setattr(pool, "MIN_IDLE_US", 20 * SECOND_US)  # longer than the test takes

    async def job() -> None:
        with scripted_server() as backend:
            sender = Sender(backend)
            old_peer = await serve_first_request(sender, backend)
            sender.send(b"second")
            peer = await backend.accept()
            old_peer.send(value(b"copy"))
            assert await old_peer.receive_all() == b""
            peer.send(value(b"ok"))
            await wait_until(lambda: len(sender.results) == 2)
            assert sender.results == [AttemptResult.OK] * 2 and sender.backends.open_connections == 1
            sender.backends.close()

    run(job())


@pytest.mark.parametrize("action", ["cancel", "on_timeout"])
def test_partial_response_before_close_is_discarded(action: str) -> None:
    async def job() -> None:
        with scripted_server() as backend:
            sender = Sender(backend)
            attempt = sender.send(b"first")
            peer = await backend.accept()
            await peer.receive_until(b"first")
            peer.send(value(b"whole")[:-3])
            await wait_until(lambda: bool(attempt.connection and attempt.connection.reader.buffer))
            getattr(attempt, action)()
            peer.send(value(b"whole")[-3:])
            await wait_until(lambda: sender.backends.open_connections == 0)
            sender.send(b"second")
            peer = await backend.accept()
            await peer.receive_until(b"second")
            peer.send(value(b"ok"))
            await wait_until(lambda: len(sender.results) == 2)
            assert sender.results[1] is AttemptResult.OK
            sender.backends.close()

    run(job())


def test_response_sent_byte_by_byte_does_not_extend_the_attempt_timeout() -> None:
    async def job() -> None:
        with scripted_server() as backend:
            sender = Sender(backend)
            sender.send(b"first", timeout_us=60_000)
            peer = await backend.accept()
            await peer.receive_until(b"first")
            peer.send(b"*3\r\n$60000\r\n")
            while not sender.results:
                try:
                    peer.socket.send(b"x")
                except OSError:
                    break
                await asyncio.sleep(0.005)
            await wait_until(
                lambda: sender.results == [AttemptResult.TIMEOUT] and sender.backends.open_connections == 0
            )

    run(job())


ENDLESS_RESPONSES = [b"-" + b"x" * 100_000, b"*3\r\n$65537\r\n", b"*3\r\n$2\r\nok" + b"x" * 70_000]


@pytest.mark.parametrize("response", ENDLESS_RESPONSES)
def test_endless_response_is_bounded_in_size(response: bytes) -> None:
    """The attempt ends long before its timeout, whatever else the backend sends."""

    async def job() -> None:
        with scripted_server() as backend:
            sender = Sender(backend)
            attempt = sender.send(b"first", timeout_us=60 * SECOND_US)
            peer = await backend.accept()
            await peer.receive_until(b"first")
            connection = attempt.connection
            assert connection
            sent_bytes = 0
            while sent_bytes < len(response) and not sender.results:
                sent_bytes += peer.socket.send(response[sent_bytes : sent_bytes + 8192])
                await asyncio.sleep(0)
                assert len(connection.reader.buffer) <= MAX_VALUE_BYTES + 8192
            await wait_until(
                lambda: sender.results == [AttemptResult.MALFORMED] and sender.backends.open_connections == 0
            )

    run(job())


def test_idempotent_request_with_a_truncated_response_is_retried_once() -> None:
    async def job() -> None:
        with scripted_server() as backend:
            async with front_door(addresses=[backend.address]) as (_, address):
                client = await Client.open(address)
                client.send(query("a1"))
                peer = await backend.accept()
                await peer.receive_until(b"d=")
                peer.send(value(b"whole")[:-3])
                peer.reset()
                peer = await backend.accept()
                await peer.receive_until(b"d=")
                peer.send(value(b"again"))
                assert await client.answer() == b"again"
                assert await client.ask(b"*1\r\n$4\r\nPING\r\n") == b"PONG"

    run(job())
