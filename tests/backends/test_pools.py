"""Connections to backends: reuse, bounds, and whether an attempt may have run."""

import asyncio
import contextlib
import os
import socket

import pytest

from molereach.backends import idle_reuse, pool
from molereach.policy.interface.events import AttemptResult, EndpointState
from tests.backends.sender import S, Sender, deaf
from tests.sockets import HOST, Backend, refusing_address, run, value


def test_connection_is_reused_and_carries_one_command_at_a_time(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(pool, "MIN_IDLE_US", 0)

    async def job() -> None:
        backend = Backend(lambda words: None)
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
        backend.answer = lambda words: value(b"y")
        for _ in range(5):
            sender.send()
            assert await sender.result() is AttemptResult.OK
        assert backend.opened == 2
        sender.backends.close()

    run(job())


def test_given_up_attempt_closes_its_connection() -> None:
    async def job() -> None:
        backend = Backend(lambda words: None)
        sender = Sender(await backend.start())
        attempt = sender.send()
        await backend.command_received.wait()
        attempt.cancel()
        assert await sender.result() is AttemptResult.CANCELLED
        await backend.disconnected.wait()  # an answer that is still due must not meet the next command
        backend.answer = lambda words: value(b"fresh")
        sender.send()
        assert (await sender.ended.get())[1] == b"fresh"
        assert sender.ended.empty()
        sender.backends.close()

    run(job())


def test_broken_after_the_last_byte_may_have_run() -> None:
    async def job() -> None:
        sender = Sender(await Backend(lambda words: b"").start())
        sender.send()
        assert await sender.result() is AttemptResult.RESET

    run(job())


def test_silent_after_the_last_byte_timed_out() -> None:
    async def job() -> None:
        async with deaf() as (address, _):
            sender = Sender(address)
            sender.send(timeout_us=50_000)
            assert await sender.result() is AttemptResult.TIMEOUT

    run(job())


def test_refused_or_out_of_time_before_the_last_byte_never_ran() -> None:
    async def job() -> None:
        sender = Sender(refusing_address())
        sender.send()
        assert await sender.result() is AttemptResult.CONNECT_FAILED
        async with deaf() as (address, _):
            sender = Sender(address)
            sender.send(b"x" * (64 << 20), timeout_us=300_000)  # more than the kernel takes in
            assert await sender.result() is AttemptResult.CONNECT_FAILED
        async with deaf() as (address, listener):
            sender = Sender(address)
            sender.send(b"x" * (64 << 20))
            listener.setblocking(False)
            accepted, _ = await asyncio.get_running_loop().sock_accept(listener)
            accepted.close()  # with bytes unread: a reset
            assert await sender.result() is AttemptResult.CONNECT_FAILED

    run(job())


def test_connection_that_ends_as_soon_as_it_is_up_never_ran() -> None:
    async def job() -> None:
        async with deaf() as (address, listener):
            sender = Sender(address)
            sender.send(timeout_us=20 * S)
            listener.setblocking(False)
            accepted, _ = await asyncio.get_running_loop().sock_accept(listener)
            accepted.close()  # before the loop comes to know that the connection is up
            assert await asyncio.wait_for(sender.result(), 5) in (
                AttemptResult.CONNECT_FAILED,
                AttemptResult.RESET,
            )

    run(job())


def test_machine_that_never_answers_a_connect_is_given_up_soon() -> None:
    async def job() -> None:
        with contextlib.ExitStack() as stack:
            listener = stack.enter_context(socket.socket())
            listener.bind((HOST, 0))
            listener.listen(0)
            for _ in range(3):  # its backlog is full: the kernel drops further attempts to connect
                filler = stack.enter_context(socket.socket())
                filler.setblocking(False)
                filler.connect_ex(listener.getsockname())
            sender = Sender(listener.getsockname())
            sender.send(timeout_us=20 * S)
            assert await asyncio.wait_for(sender.result(), 5) is AttemptResult.CONNECT_FAILED

    run(job())


def test_idle_connection_is_closed_by_us_first() -> None:
    async def job() -> None:
        backend = Backend()
        sender = Sender(await backend.start(), idle_us=200_000)
        sender.backends.sweep()
        sender.send()
        assert await sender.result() is AttemptResult.OK
        await backend.disconnected.wait()
        assert sender.backends.open_connections == 0

    run(job())


def test_silence_or_a_reset_puts_idle_connections_in_doubt() -> None:
    """A machine that vanished resets them when it is back: an unsafe request would be lost on one."""

    async def job() -> None:
        for broken in (None, b""):
            backend = Backend(lambda words: None)
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
            backend.answer = lambda words, broken=broken: broken
            sender.send(timeout_us=100_000)
            assert await sender.result() in (AttemptResult.TIMEOUT, AttemptResult.RESET)
            assert sender.backends.pools["s"].idle == []

    run(job())


def test_connections_are_bounded_over_all_backends() -> None:
    async def job() -> None:
        backend = Backend(lambda words: None)
        sender = Sender(await backend.start(), most=2)
        first = sender.send()
        sender.send()
        sender.send()
        assert (
            await sender.result() is AttemptResult.NOT_SENT
        )  # a shortage of ours is no fault of the backend
        assert sender.backends.open_connections == 2
        first.cancel()
        assert await sender.result() is AttemptResult.CANCELLED
        await backend.command_received.wait()
        sender.backends.close()

    run(job())


def test_gone_backend_keeps_its_attempt_and_loses_idle_connections() -> None:
    async def job() -> None:
        backend = Backend(lambda words: None)
        sender = Sender(await backend.start())
        sender.send()
        await backend.command_received.wait()
        sender.backends.update({}, {}, is_full_list=True)
        backend.writers[0].write(value(b"x"))
        assert await sender.result() is AttemptResult.OK
        await backend.disconnected.wait()
        sender.send()
        assert await sender.result() is AttemptResult.CONNECT_FAILED

    run(job())


SPOILT = [
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


@pytest.mark.parametrize("answer", SPOILT)
def test_spoilt_answer_fails_at_its_head_and_leaves_other_connections(
    answer: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The backend leaves the connection open: whoever waits for the rest waits for good."""
    monkeypatch.setattr(pool, "MIN_IDLE_US", 0)

    async def job() -> None:
        backend = Backend(lambda words: None)
        sender = Sender(await backend.start())
        sender.send()
        sender.send()
        while len(backend.commands) < 2:
            backend.command_received.clear()
            await backend.command_received.wait()
        for writer in backend.writers:
            writer.write(value(b"x"))
        assert [await sender.result(), await sender.result()] == [AttemptResult.OK] * 2
        backend.answer = lambda words: answer
        sender.send(timeout_us=20 * S)
        assert await sender.result() is AttemptResult.MALFORMED
        await backend.disconnected.wait()
        assert len(sender.backends.pools["s"].idle) == 1
        backend.answer = lambda words: value(b"good")
        sender.send()
        assert await sender.ended.get() == (AttemptResult.OK, b"good", None)
        assert backend.opened == 2
        sender.backends.close()

    run(job())


def test_what_comes_behind_an_answer_never_answers_the_next_request() -> None:
    async def job() -> None:
        backend = Backend(lambda words: None)
        sender = Sender(await backend.start())
        sender.send()
        await backend.command_received.wait()
        backend.writers[0].write(value(b"first"))
        assert (await sender.ended.get())[1] == b"first"
        backend.answer = lambda words: value(b"second")
        sender.send()  # at once: the connection has not rested
        assert (await sender.ended.get())[1] == b"second"
        assert backend.opened == 2
        for connection in sender.backends.pools["s"].idle:
            connection.idle_since_us = 0
        # Rested, and unread bytes on both: seen before they are used, as the loop has not run in between.
        for writer in backend.writers:
            writer.transport.get_extra_info("socket")  # still open
            socket.socket(fileno=os.dup(writer.get_extra_info("socket").fileno())).send(value(b"copy"))
        backend.answer = lambda words: value(b"third")
        sender.send()
        assert (await sender.ended.get())[1] == b"third"
        assert backend.opened == 3
        sender.backends.close()

    run(job())


def test_answer_before_the_whole_request_is_not_its_value() -> None:
    async def job() -> None:
        async with deaf() as (address, listener):
            sender = Sender(address)
            sender.send(b"x" * (64 << 20), timeout_us=20 * S)
            listener.setblocking(False)
            accepted, _ = await asyncio.get_running_loop().sock_accept(listener)
            with accepted:
                accepted.send(value(b"of another"))
                assert await sender.result() is AttemptResult.CONNECT_FAILED

    run(job())


def test_nothing_is_written_to_an_address_that_was_retired_while_connecting() -> None:
    async def job() -> None:
        async with deaf() as (address, listener):
            sender = Sender(address)
            sender.send()
            sender.backends.update({"s": EndpointState.REMOVED}, {}, is_full_list=False)
            assert await sender.result() is AttemptResult.CONNECT_FAILED  # never ran: it may go elsewhere
            listener.setblocking(False)
            accepted, _ = await asyncio.get_running_loop().sock_accept(listener)
            accepted.setblocking(False)
            assert await asyncio.get_running_loop().sock_recv(accepted, 100) == b""
            accepted.close()

    run(job())


def test_counts_are_those_of_the_sockets() -> None:
    async def job() -> None:
        backend = Backend(lambda words: None)
        sender = Sender(await backend.start())
        attempt = sender.send()
        await backend.command_received.wait()
        attempt.cancel()
        assert sender.backends.open_connections == 1  # closed only when the loop has come to it
        await backend.disconnected.wait()
        assert sender.backends.open_connections == 0
        sender.backends.update({"s": EndpointState.UP}, {"s": refusing_address()}, is_full_list=True)
        sender.send()
        assert await sender.result() is AttemptResult.CANCELLED
        assert await sender.result() is AttemptResult.CONNECT_FAILED
        assert sender.backends.open_connections == 0 and sender.backends.pools["s"].dial_count == 0

    run(job())


def test_kept_connections_that_are_reset_are_not_kept_for_long(monkeypatch: pytest.MonkeyPatch) -> None:
    """Whatever lets go of them: the next request on one ends as a reset, and an unsafe one is lost."""
    monkeypatch.setattr(pool, "MIN_IDLE_US", 0)

    async def job() -> None:
        backend = Backend()
        backend.answer = lambda words: (
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
            sender.backends.reuse.decay()
        assert (
            sender.backends.reuse.max_age_class == idle_reuse.AGE_CLASSES
        )  # it is tried again after a while
        sender.backends.close()

    run(job())
