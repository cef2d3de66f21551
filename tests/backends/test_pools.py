"""Connections to backends: reuse, limits, and whether an attempt may have been executed."""

import asyncio
import contextlib
import os
import socket

import pytest

from molereach.backends import idle_reuse, pool
from molereach.policy.interface.events import AttemptResult, EndpointState
from tests.backends.sender import SECOND_US, Sender, unresponsive_backend
from tests.sockets import HOST, Backend, refusing_address, run, value


def test_connection_is_reused_and_carries_one_command_at_a_time(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(pool, "MIN_IDLE_US", 0)

    async def scenario() -> None:
        backend = Backend(lambda arguments: None)
        sender = Sender(await backend.start())
        sender.send()
        sender.send()
        while len(backend.commands) < 2:
            backend.command_received.clear()
            await backend.command_received.wait()
        assert backend.opened == 2
        for writer in backend.writers:
            writer.write(value(b"x"))
        assert [await sender.result(), await sender.result()] == [AttemptResult.OK] * 2
        backend.answer = lambda arguments: value(b"y")
        for _ in range(5):
            sender.send()
            assert await sender.result() is AttemptResult.OK
        assert backend.opened == 2
        sender.backends.close()

    run(scenario())


def test_cancelled_attempt_closes_its_connection() -> None:
    async def scenario() -> None:
        backend = Backend(lambda arguments: None)
        sender = Sender(await backend.start())
        attempt = sender.send()
        await backend.command_received.wait()
        attempt.cancel()
        assert await sender.result() is AttemptResult.CANCELLED
        await backend.disconnected.wait()  # a late answer must not reach the next command
        backend.answer = lambda arguments: value(b"fresh")
        sender.send()
        assert (await sender.outcomes.get())[1] == b"fresh"
        assert sender.outcomes.empty()
        sender.backends.close()

    run(scenario())


def test_reset_after_the_last_byte_may_have_been_executed() -> None:
    async def scenario() -> None:
        sender = Sender(await Backend(lambda arguments: b"").start())
        sender.send()
        assert await sender.result() is AttemptResult.RESET

    run(scenario())


def test_no_answer_after_the_last_byte_is_a_timeout() -> None:
    async def scenario() -> None:
        async with unresponsive_backend() as (address, _):
            sender = Sender(address)
            sender.send(timeout_us=50_000)
            assert await sender.result() is AttemptResult.TIMEOUT

    run(scenario())


def test_failure_before_the_last_byte_was_not_executed() -> None:
    async def scenario() -> None:
        sender = Sender(refusing_address())
        sender.send()
        assert await sender.result() is AttemptResult.CONNECT_FAILED
        async with unresponsive_backend() as (address, _):
            sender = Sender(address)
            sender.send(b"x" * (64 << 20), timeout_us=300_000)  # more than the kernel buffers
            assert await sender.result() is AttemptResult.CONNECT_FAILED
        async with unresponsive_backend() as (address, listener):
            sender = Sender(address)
            sender.send(b"x" * (64 << 20))
            listener.setblocking(False)
            accepted, _ = await asyncio.get_running_loop().sock_accept(listener)
            accepted.close()  # a reset, as bytes are unread
            assert await sender.result() is AttemptResult.CONNECT_FAILED

    run(scenario())


def test_connection_closed_immediately_after_connecting_fails_its_attempt() -> None:
    async def scenario() -> None:
        async with unresponsive_backend() as (address, listener):
            sender = Sender(address)
            sender.send(timeout_us=20 * SECOND_US)
            listener.setblocking(False)
            accepted, _ = await asyncio.get_running_loop().sock_accept(listener)
            accepted.close()  # before the event loop reports that the connection is established
            assert await asyncio.wait_for(sender.result(), 5) in (
                AttemptResult.CONNECT_FAILED,
                AttemptResult.RESET,
            )

    run(scenario())


def test_connect_to_an_unreachable_machine_times_out_early() -> None:
    async def scenario() -> None:
        with contextlib.ExitStack() as stack:
            listener = stack.enter_context(socket.socket())
            listener.bind((HOST, 0))
            listener.listen(0)
            for _ in range(3):  # fill the backlog, so that the kernel drops further connects
                filler = stack.enter_context(socket.socket())
                filler.setblocking(False)
                filler.connect_ex(listener.getsockname())
            sender = Sender(listener.getsockname())
            sender.send(timeout_us=20 * SECOND_US)
            assert await asyncio.wait_for(sender.result(), 5) is AttemptResult.CONNECT_FAILED

    run(scenario())


def test_idle_connection_is_closed_before_the_backend_closes_it() -> None:
    async def scenario() -> None:
        backend = Backend()
        sender = Sender(await backend.start(), idle_us=200_000)
        sender.backends.sweep()
        sender.send()
        assert await sender.result() is AttemptResult.OK
        await backend.disconnected.wait()
        assert sender.backends.open_connections == 0

    run(scenario())


def test_timeout_or_reset_closes_idle_connections() -> None:
    """A vanished machine resets them once it returns, which would lose a non-idempotent request."""

    async def scenario() -> None:
        for failure in (None, b""):
            backend = Backend(lambda arguments: None)
            sender = Sender(await backend.start())
            sender.send()
            sender.send()
            while len(backend.commands) < 2:
                backend.command_received.clear()
                await backend.command_received.wait()
            for writer in backend.writers:
                writer.write(value(b"x"))
            assert [await sender.result(), await sender.result()] == [AttemptResult.OK] * 2
            assert len(sender.backends.pools["s"].idle) == 2
            backend.answer = lambda arguments, failure=failure: failure
            sender.send(timeout_us=100_000)
            assert await sender.result() in (AttemptResult.TIMEOUT, AttemptResult.RESET)
            assert sender.backends.pools["s"].idle == []

    run(scenario())


def test_connections_of_all_backends_are_bounded() -> None:
    async def scenario() -> None:
        backend = Backend(lambda arguments: None)
        sender = Sender(await backend.start(), max_connections=2)
        first = sender.send()
        sender.send()
        sender.send()
        assert await sender.result() is AttemptResult.NOT_SENT  # a local shortage, not the backend's fault
        assert sender.backends.open_connections == 2
        first.cancel()
        assert await sender.result() is AttemptResult.CANCELLED
        await backend.command_received.wait()
        sender.backends.close()

    run(scenario())


def test_removed_backend_completes_its_attempt_and_closes_idle_connections() -> None:
    async def scenario() -> None:
        backend = Backend(lambda arguments: None)
        sender = Sender(await backend.start())
        sender.send()
        await backend.command_received.wait()
        sender.backends.update({}, {}, is_full_list=True)
        backend.writers[0].write(value(b"x"))
        assert await sender.result() is AttemptResult.OK
        await backend.disconnected.wait()
        sender.send()
        assert await sender.result() is AttemptResult.CONNECT_FAILED

    run(scenario())


MALFORMED_ANSWERS = [
    b"*1000000000\r\n",
    b"*3\r\n$3000000000\r\n",
    b"*3\r\n$-7\r\n",
    b"*3\r\n$-1\r\n",
    b"*3\r\n*3\r\n",
    b":5\r\n",
    b"+OK\r\n",
    b"*2\r\n",
    b"$2\r\nok\r\n",
    b"*3\r\n$4\r\nabcdefgh\r\n",
    b"_\r\n",
    b"x" * 20,
    b"-" + b"x" * 600,
    b"*3\r\n$2\r\nok\r\n$-1\r\n$99999\r\n",
    b"*3\r\n$2\r\nok\r\n:1\r\n:2\r\n",
    b"*3\r\n+ok\r\n",
    b"*-1\r\n",
]


@pytest.mark.parametrize("answer", MALFORMED_ANSWERS)
def test_malformed_answer_fails_immediately_and_keeps_other_connections(
    answer: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The backend keeps the connection open, so waiting for the rest of the answer would never end."""
    monkeypatch.setattr(pool, "MIN_IDLE_US", 0)

    async def scenario() -> None:
        backend = Backend(lambda arguments: None)
        sender = Sender(await backend.start())
        sender.send()
        sender.send()
        while len(backend.commands) < 2:
            backend.command_received.clear()
            await backend.command_received.wait()
        for writer in backend.writers:
            writer.write(value(b"x"))
        assert [await sender.result(), await sender.result()] == [AttemptResult.OK] * 2
        backend.answer = lambda arguments: answer
        sender.send(timeout_us=20 * SECOND_US)
        assert await sender.result() is AttemptResult.MALFORMED
        await backend.disconnected.wait()
        assert len(sender.backends.pools["s"].idle) == 1
        backend.answer = lambda arguments: value(b"good")
        sender.send()
        assert await sender.outcomes.get() == (AttemptResult.OK, b"good", None)
        assert backend.opened == 2
        sender.backends.close()

    run(scenario())


def test_surplus_bytes_after_an_answer_never_answer_the_next_request() -> None:
    async def scenario() -> None:
        backend = Backend(lambda arguments: None)
        sender = Sender(await backend.start())
        sender.send()
        await backend.command_received.wait()
        backend.writers[0].write(value(b"first"))
        assert (await sender.outcomes.get())[1] == b"first"
        backend.answer = lambda arguments: value(b"second")
        sender.send()  # before the connection has been idle for the minimum time
        assert (await sender.outcomes.get())[1] == b"second"
        assert backend.opened == 2
        for connection in sender.backends.pools["s"].idle:
            connection.idle_since_us = 0
        # Both have been idle long enough and have unread bytes, detected before the event loop runs again.
        for writer in backend.writers:
            writer.transport.get_extra_info("socket")  # still open
            socket.socket(fileno=os.dup(writer.get_extra_info("socket").fileno())).send(value(b"copy"))
        backend.answer = lambda arguments: value(b"third")
        sender.send()
        assert (await sender.outcomes.get())[1] == b"third"
        assert backend.opened == 3
        sender.backends.close()

    run(scenario())


def test_answer_before_the_complete_request_is_not_accepted() -> None:
    async def scenario() -> None:
        async with unresponsive_backend() as (address, listener):
            sender = Sender(address)
            sender.send(b"x" * (64 << 20), timeout_us=20 * SECOND_US)
            listener.setblocking(False)
            accepted, _ = await asyncio.get_running_loop().sock_accept(listener)
            with accepted:
                accepted.send(value(b"of another"))
                assert await sender.result() is AttemptResult.CONNECT_FAILED

    run(scenario())


def test_nothing_is_written_to_a_backend_removed_while_connecting() -> None:
    async def scenario() -> None:
        async with unresponsive_backend() as (address, listener):
            sender = Sender(address)
            sender.send()
            sender.backends.update({"s": EndpointState.REMOVED}, {}, is_full_list=False)
            # Not executed, so it may be retried elsewhere.
            assert await sender.result() is AttemptResult.CONNECT_FAILED
            listener.setblocking(False)
            accepted, _ = await asyncio.get_running_loop().sock_accept(listener)
            accepted.setblocking(False)
            assert await asyncio.get_running_loop().sock_recv(accepted, 100) == b""
            accepted.close()

    run(scenario())


def test_connection_count_includes_sockets_until_they_are_closed() -> None:
    async def scenario() -> None:
        backend = Backend(lambda arguments: None)
        sender = Sender(await backend.start())
        attempt = sender.send()
        await backend.command_received.wait()
        attempt.cancel()
        assert sender.backends.open_connections == 1  # until the event loop closes the socket
        await backend.disconnected.wait()
        assert sender.backends.open_connections == 0
        sender.backends.update({"s": EndpointState.UP}, {"s": refusing_address()}, is_full_list=True)
        sender.send()
        assert await sender.result() is AttemptResult.CANCELLED
        assert await sender.result() is AttemptResult.CONNECT_FAILED
        assert sender.backends.open_connections == 0 and sender.backends.pools["s"].dial_count == 0

    run(scenario())


def test_idle_time_is_limited_after_resets_of_reused_connections(monkeypatch: pytest.MonkeyPatch) -> None:
    """Otherwise, requests on dropped connections would be reset and non-idempotent ones lost."""
    monkeypatch.setattr(pool, "MIN_IDLE_US", 0)

    async def scenario() -> None:
        backend = Backend()
        backend.answer = lambda arguments: (
            b"" if backend.writers.index(backend.writers[-1]) < len(backend.writers) - 1 else value(b"ok")
        )  # the second command on a connection
        sender = Sender(await backend.start())
        results = []
        for _ in range(40):
            sender.send()
            results.append(await sender.result())
        assert AttemptResult.RESET in results
        assert results.count(AttemptResult.RESET) <= idle_reuse.MIN_USES
        assert results[-20:] == [AttemptResult.OK] * 20
        for _ in range(9):
            sender.backends.idle_reuse.decay()
        # The age class is tried again after the observations have decayed.
        assert sender.backends.idle_reuse.max_age_class == idle_reuse.AGE_CLASSES
        sender.backends.close()

    run(scenario())
