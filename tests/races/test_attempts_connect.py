"""Dials that come up late: after their attempt was given up, or for another's attempt."""

import pytest

from molereach.backends.attempt import Attempt
from molereach.policy.interface.events import AttemptResult
from tests.races.attempt_sender import Sender
from tests.races.scripted_peers import Dials, Machine, machine, turns, until
from tests.sockets import run, value


async def nothing_is_written(sender: Sender, held: Machine) -> None:
    """The dial comes up, and the connection is kept with nothing on it."""
    peer = await held.accept()
    await until(lambda: bool(sender.backends.pools["s"].idle))
    assert peer.pending() == b""


@pytest.mark.parametrize(
    ("how", "result"),
    [(Attempt.cancel, AttemptResult.CANCELLED), (Attempt.on_timeout, AttemptResult.CONNECT_FAILED)],
)
def test_dial_that_comes_up_after_its_attempt_was_given_up_carries_nothing(
    how: object, result: AttemptResult
) -> None:
    async def job() -> None:
        with machine() as held:
            sender = Sender(held)
            with Dials() as dials:
                attempt = sender.send(b"first")
                await dials.came.wait()
                how(attempt)
                assert sender.ended == [result] and not sender.backends.pools["s"].waiting
                dials.let_go()
                await nothing_is_written(sender, held)
                assert sender.ended == [result]
            sender.backends.close()

    run(job())


def test_dial_serves_whoever_waits_longest_and_still_waits() -> None:
    async def job() -> None:
        with machine() as held:
            sender = Sender(held)
            with Dials() as dials:
                first, second, third = (sender.send(text) for text in (b"first", b"second", b"third"))
                await until(lambda: len(dials.held) == 3)
                first.cancel()
                dials.let_go(2)
                peer = await held.accept()
                assert await peer.hear() == b"second"
                second.cancel()
                dials.let_go(0)
                peer = await held.accept()
                assert await peer.hear() == b"third" and third.is_written
                dials.let_go(1)
                await nothing_is_written(sender, held)
                assert sender.backends.pools["s"].dial_count == 0
            sender.backends.close()

    run(job())


def test_failed_dial_takes_down_no_attempt_that_another_dial_is_under_way_for() -> None:
    """Of two that wait one was given up; its dial is left for the other when the first dial fails."""

    async def job() -> None:
        with machine() as held:
            sender = Sender(held)
            with Dials() as dials:
                sender.send(b"first")
                second = sender.send(b"second")
                await until(lambda: len(dials.held) == 2)
                second.cancel()
                dial, dials.dial = dials.dial, refused
                dials.let_go(0)
                await turns(5)
                dials.dial = dial
                dials.let_go(1)
                peer = await held.accept()
                assert await peer.hear() == b"first"
                peer.say(value(b"ok"))
                await until(lambda: len(sender.ended) == 2)
                assert sender.ended == [AttemptResult.CANCELLED, AttemptResult.OK]
            sender.backends.close()

    run(job())


async def refused(*args: object, **values: object) -> None:
    raise ConnectionRefusedError
