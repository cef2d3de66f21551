"""Connections to backends: reuse, bounds, and whether an attempt may have run."""

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator

from fennelwinch import interface as i
from molereach.backends import Attempt, Backends, read_reply
from molereach.config import Address
from tests.sockets import HOST, Backend, refusing_address, resp, run, value

S = 1_000_000


class Sender:
    """Sends attempts through a pool and keeps how they ended."""

    def __init__(self, address: Address, idle_us: int = 30 * S, most: int = 50) -> None:
        self.backends = Backends(idle_us, 200_000, most)
        self.backends.update({"s": i.ServerState.UP}, {"s": address}, whole=True)
        self.ended: asyncio.Queue[tuple[i.Result, bytes | None, i.LoadReport | None]] = asyncio.Queue()

    def send(self, payload: bytes = resp("PING"), timeout_us: int = 5 * S) -> Attempt:
        attempt = Attempt("a", 0, "s", payload, lambda _, *how: self.ended.put_nowait(how))
        self.backends.send(attempt, timeout_us)
        return attempt

    async def result(self) -> i.Result:
        return (await self.ended.get())[0]


@contextlib.asynccontextmanager
async def deaf() -> AsyncIterator[tuple[Address, socket.socket]]:
    """A machine that takes connections and reads nothing."""
    with socket.socket() as listener:
        listener.bind((HOST, 0))
        listener.listen()
        yield listener.getsockname(), listener


def test_connection_is_reused_and_carries_one_command_at_a_time() -> None:
    async def job() -> None:
        backend = Backend(lambda words: None)
        sender = Sender(await backend.start())
        sender.send()
        sender.send()
        while len(backend.commands) < 2:
            backend.came.clear()
            await backend.came.wait()
        assert backend.opened == 2
        for writer in backend.writers:
            writer.write(value(b"x"))
        assert [await sender.result(), await sender.result()] == [i.Result.OK] * 2
        backend.answer = lambda words: value(b"y")
        for _ in range(5):
            sender.send()
            assert await sender.result() is i.Result.OK
        assert backend.opened == 2
        sender.backends.close()

    run(job())


def test_given_up_attempt_closes_its_connection() -> None:
    async def job() -> None:
        backend = Backend(lambda words: None)
        sender = Sender(await backend.start())
        attempt = sender.send()
        await backend.came.wait()
        attempt.cancel()
        assert await sender.result() is i.Result.CANCELLED
        await backend.left.wait()  # an answer that is still due must not meet the next command
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
        assert await sender.result() is i.Result.RESET

    run(job())


def test_silent_after_the_last_byte_timed_out() -> None:
    async def job() -> None:
        async with deaf() as (address, _):
            sender = Sender(address)
            sender.send(timeout_us=50_000)
            assert await sender.result() is i.Result.TIMEOUT

    run(job())


def test_refused_or_out_of_time_before_the_last_byte_never_ran() -> None:
    async def job() -> None:
        sender = Sender(refusing_address())
        sender.send()
        assert await sender.result() is i.Result.CONNECT_FAILED
        async with deaf() as (address, _):
            sender = Sender(address)
            sender.send(b"x" * (64 << 20), timeout_us=300_000)  # more than the kernel takes in
            assert await sender.result() is i.Result.CONNECT_FAILED
        async with deaf() as (address, listener):
            sender = Sender(address)
            sender.send(b"x" * (64 << 20))
            listener.setblocking(False)
            accepted, _ = await asyncio.get_running_loop().sock_accept(listener)
            accepted.close()  # with bytes unread: a reset
            assert await sender.result() is i.Result.CONNECT_FAILED

    run(job())


def test_connection_that_ends_as_soon_as_it_is_up_never_ran() -> None:
    async def job() -> None:
        async with deaf() as (address, listener):
            sender = Sender(address)
            sender.send(timeout_us=20 * S)
            listener.setblocking(False)
            accepted, _ = await asyncio.get_running_loop().sock_accept(listener)
            accepted.close()  # before the loop comes to know that the connection is up
            assert await asyncio.wait_for(sender.result(), 5) in (i.Result.CONNECT_FAILED, i.Result.RESET)

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
            assert await asyncio.wait_for(sender.result(), 5) is i.Result.CONNECT_FAILED

    run(job())


def test_idle_connection_is_closed_by_us_first() -> None:
    async def job() -> None:
        backend = Backend()
        sender = Sender(await backend.start(), idle_us=200_000)
        sender.backends.sweep()
        sender.send()
        assert await sender.result() is i.Result.OK
        await backend.left.wait()
        assert sender.backends.count() == 0

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
                backend.came.clear()
                await backend.came.wait()
            for writer in backend.writers:
                writer.write(value(b"x"))
            assert [await sender.result(), await sender.result()] == [i.Result.OK] * 2
            assert len(sender.backends.pools["s"].idle) == 2
            backend.answer = lambda words, broken=broken: broken
            sender.send(timeout_us=100_000)
            assert await sender.result() in (i.Result.TIMEOUT, i.Result.RESET)
            assert sender.backends.pools["s"].idle == []

    run(job())


def test_connections_are_bounded_over_all_backends() -> None:
    async def job() -> None:
        backend = Backend(lambda words: None)
        sender = Sender(await backend.start(), most=2)
        first = sender.send()
        sender.send()
        sender.send()
        assert await sender.result() is i.Result.CONNECT_FAILED
        assert sender.backends.count() == 2
        first.cancel()
        assert await sender.result() is i.Result.CANCELLED
        await backend.came.wait()
        sender.backends.close()

    run(job())


def test_gone_backend_keeps_its_attempt_and_loses_idle_connections() -> None:
    async def job() -> None:
        backend = Backend(lambda words: None)
        sender = Sender(await backend.start())
        sender.send()
        await backend.came.wait()
        sender.backends.update({}, {}, whole=True)
        backend.writers[0].write(value(b"x"))
        assert await sender.result() is i.Result.OK
        await backend.left.wait()
        sender.send()
        assert await sender.result() is i.Result.CONNECT_FAILED

    run(job())


def test_load_report_is_read_by_name() -> None:
    load = i.LoadReport(util=0.61, service_ms=12.5)
    assert read_reply([b"v", None, b"util=0.61,latency_ms=12.5,strange=x"]) == (i.Result.OK, b"v", load)
    assert read_reply([b"v", None, b"util=what"]) == (i.Result.OK, b"v", None)
    assert read_reply([b"v"]) == (i.Result.OK, b"v", None)
    assert read_reply([None, None, None])[0] is i.Result.ERROR
