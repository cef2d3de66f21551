"""Connects that succeed after their attempt ended, or serve the attempt of another connect."""

import pytest

from molereach.backends.attempt import Attempt
from molereach.policy.interface.events import AttemptResult
from tests.races.attempt_sender import Sender
from tests.races.scripted_peers import (
    HeldConnects,
    ScriptedServer,
    run_loop_iterations,
    scripted_server,
    wait_until,
)
from tests.sockets import run, value


async def expect_idle_and_unwritten(sender: Sender, backend: ScriptedServer) -> None:
    """The connect succeeds, and the connection is kept idle with nothing written to it."""
    peer = await backend.accept()
    await wait_until(lambda: bool(sender.backends.pools["s"].idle))
    assert peer.receive_nowait() == b""


@pytest.mark.parametrize(
    ("abandon", "result"),
    [(Attempt.cancel, AttemptResult.CANCELLED), (Attempt.on_timeout, AttemptResult.CONNECT_FAILED)],
)
def test_connect_that_succeeds_after_its_attempt_ended_carries_no_request(
    abandon: object, result: AttemptResult
) -> None:
    async def job() -> None:
        with scripted_server() as backend:
            sender = Sender(backend)
            with HeldConnects() as connects:
                attempt = sender.send(b"first")
                await connects.arrived.wait()
                abandon(attempt)
                assert sender.results == [result] and not sender.backends.pools["s"].waiting
                connects.release()
                await expect_idle_and_unwritten(sender, backend)
                assert sender.results == [result]
            sender.backends.close()

    run(job())


def test_connect_serves_the_longest_waiting_attempt() -> None:
    async def job() -> None:
        with scripted_server() as backend:
            sender = Sender(backend)
            with HeldConnects() as connects:
                first, second, third = (sender.send(text) for text in (b"first", b"second", b"third"))
                await wait_until(lambda: len(connects.gates) == 3)
                first.cancel()
                connects.release(2)
                peer = await backend.accept()
                assert await peer.receive() == b"second"
                second.cancel()
                connects.release(0)
                peer = await backend.accept()
                assert await peer.receive() == b"third" and third.is_written
                connects.release(1)
                await expect_idle_and_unwritten(sender, backend)
                assert sender.backends.pools["s"].dial_count == 0
            sender.backends.close()

    run(job())


def test_failed_connect_fails_no_attempt_that_another_connect_can_serve() -> None:
    """One of two waiting attempts is cancelled; when the first connect fails, the second one serves the other
    attempt."""

    async def job() -> None:
        with scripted_server() as backend:
            sender = Sender(backend)
            with HeldConnects() as connects:
                sender.send(b"first")
                second = sender.send(b"second")
                await wait_until(lambda: len(connects.gates) == 2)
                second.cancel()
                connect, connects.connect = connects.connect, refuse_connect
                connects.release(0)
                await run_loop_iterations(5)
                connects.connect = connect
                connects.release(1)
                peer = await backend.accept()
                assert await peer.receive() == b"first"
                peer.send(value(b"ok"))
                await wait_until(lambda: len(sender.results) == 2)
                assert sender.results == [AttemptResult.CANCELLED, AttemptResult.OK]
            sender.backends.close()

    run(job())


async def refuse_connect(*args: object, **kwargs: object) -> None:
    raise ConnectionRefusedError
