"""Answers that cross something: the time-out, the connection's next use, its close; or that never end."""

import asyncio
import time

import pytest

from molereach.backends import pool
from molereach.policy.interface.events import AttemptResult
from molereach.resp import MAX_VALUE_BYTES
from tests.races.attempt_sender import S, Sender
from tests.races.scripted_peers import Machine, Peer, machine, turns, until
from tests.sockets import Client, front_door, query, run, submit, value


def stand_still(seconds: float) -> None:
    """The loop runs nothing meanwhile: what comes and what falls due is met in one turn."""
    time.sleep(seconds)


async def served(sender: Sender, held: Machine) -> Peer:
    """A connection on which a request was answered, and that rests."""
    sender.send(b"first")
    peer = await held.accept()
    assert await peer.hear_until(b"first")
    peer.say(value(b"ok"))
    await until(lambda: sender.ended == [AttemptResult.OK])
    return peer


@pytest.mark.parametrize("first", ["answer", "time-out"])
@pytest.mark.parametrize("answer", [value(b"late"), b"-ERR failed\r\n", b"-BUSY\r\n", b"?", b""])
def test_time_out_and_answer_in_one_turn_are_one_outcome(answer: bytes, first: str) -> None:
    async def job() -> None:
        with machine() as held:
            sender = Sender(held)
            attempt = sender.send(b"first", timeout_us=50_000)
            peer = await held.accept()
            await peer.hear_until(b"first")
            if answer:
                peer.say(answer)
            else:
                peer.reset()
            if first == "time-out":
                attempt.on_timeout()
                assert sender.ended == [AttemptResult.TIMEOUT]
            stand_still(0.06)
            await turns(5)
            attempt.on_timeout()  # a timer that the loop had taken out already
            assert len(sender.ended) == 1 and attempt.connection is None
            sender.send(b"second")
            if first == "time-out":  # what was answered late must not meet the next request
                peer = await held.accept()
                assert await peer.hear() == b"second"
            sender.backends.close()

    run(job())


def test_time_out_and_answer_in_one_turn_are_one_answer_to_the_client() -> None:
    async def job() -> None:
        with machine() as held:
            async with front_door(addresses=[held.address]) as (door, address):
                client = await Client.open(address)
                client.send(submit("a1", wait_ms=300))
                peer = await held.accept()
                await peer.hear_until(b"BODY")
                peer.say(value(b"late"))
                stand_still(0.3)
                assert await client.answer() in (b"late", "-ERR failed")
                await turns(5)
                assert await client.ask(b"*1\r\n$4\r\nPING\r\n") == b"PONG"
                assert (
                    not door.requests.open
                    and not door.requests.answered
                    and not door.gateway.attempts.pending
                )

    run(job())


@pytest.mark.parametrize("end", [Peer.close, Peer.finish, Peer.reset, lambda peer: peer.say(value(b"copy"))])
def test_connection_that_ends_in_the_instant_of_its_next_use_is_not_used(
    end: object, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The end, or a second answer, is in the kernel and not told yet: no request must meet it."""
    monkeypatch.setattr(pool, "MIN_IDLE_US", 0)

    async def job() -> None:
        with machine() as held:
            sender = Sender(held)
            old = await served(sender, held)
            end(old)
            sender.send(b"second")
            peer = await held.accept()
            assert await peer.hear_until(b"second")
            peer.say(value(b"ok"))
            await until(lambda: len(sender.ended) == 2)
            assert sender.ended == [AttemptResult.OK] * 2
            sender.backends.close()

    run(job())


def test_second_answer_that_comes_late_meets_no_request(monkeypatch: pytest.MonkeyPatch) -> None:
    """The connection has not rested: a request goes elsewhere, and the copy ends its connection."""
    monkeypatch.setattr(pool, "MIN_IDLE_US", 20 * S)  # however long this takes

    async def job() -> None:
        with machine() as held:
            sender = Sender(held)
            old = await served(sender, held)
            sender.send(b"second")
            peer = await held.accept()
            old.say(value(b"copy"))
            assert await old.hear_all() == b""
            peer.say(value(b"ok"))
            await until(lambda: len(sender.ended) == 2)
            assert sender.ended == [AttemptResult.OK] * 2 and sender.backends.open_connections == 1
            sender.backends.close()

    run(job())


@pytest.mark.parametrize("end", ["cancel", "on_timeout"])
def test_half_an_answer_before_we_close_is_read_by_no_one(end: str) -> None:
    async def job() -> None:
        with machine() as held:
            sender = Sender(held)
            attempt = sender.send(b"first")
            peer = await held.accept()
            await peer.hear_until(b"first")
            peer.say(value(b"whole")[:-3])
            await until(lambda: bool(attempt.connection and attempt.connection.reader.buffer))
            getattr(attempt, end)()
            peer.say(value(b"whole")[-3:])
            await until(lambda: sender.backends.open_connections == 0)
            sender.send(b"second")
            peer = await held.accept()
            await peer.hear_until(b"second")
            peer.say(value(b"ok"))
            await until(lambda: len(sender.ended) == 2)
            assert sender.ended[1] is AttemptResult.OK
            sender.backends.close()

    run(job())


def test_answer_that_trickles_ends_with_the_attempts_time() -> None:
    async def job() -> None:
        with machine() as held:
            sender = Sender(held)
            sender.send(b"first", timeout_us=60_000)
            peer = await held.accept()
            await peer.hear_until(b"first")
            peer.say(b"*3\r\n$60000\r\n")
            while not sender.ended:
                try:
                    peer.socket.send(b"x")
                except OSError:
                    break
                await asyncio.sleep(0.005)
            await until(
                lambda: sender.ended == [AttemptResult.TIMEOUT] and sender.backends.open_connections == 0
            )

    run(job())


ENDLESS = [b"-" + b"x" * 100_000, b"*3\r\n$65537\r\n", b"*3\r\n$2\r\nok" + b"x" * 70_000]


@pytest.mark.parametrize("answer", ENDLESS)
def test_answer_that_never_ends_is_bounded_by_its_size(answer: bytes) -> None:
    """Long before its time is over, and whatever is still sent."""

    async def job() -> None:
        with machine() as held:
            sender = Sender(held)
            attempt = sender.send(b"first", timeout_us=60 * S)
            peer = await held.accept()
            await peer.hear_until(b"first")
            connection = attempt.connection
            assert connection
            at = 0
            while at < len(answer) and not sender.ended:
                at += peer.socket.send(answer[at : at + 8192])
                await asyncio.sleep(0)
                assert len(connection.reader.buffer) <= MAX_VALUE_BYTES + 8192
            await until(
                lambda: sender.ended == [AttemptResult.MALFORMED] and sender.backends.open_connections == 0
            )

    run(job())


def test_safe_request_whose_answer_is_cut_is_served_elsewhere_once() -> None:
    async def job() -> None:
        with machine() as held:
            async with front_door(addresses=[held.address]) as (_, address):
                client = await Client.open(address)
                client.send(query("a1"))
                peer = await held.accept()
                await peer.hear_until(b"d=")
                peer.say(value(b"whole")[:-3])
                peer.reset()
                peer = await held.accept()
                await peer.hear_until(b"d=")
                peer.say(value(b"again"))
                assert await client.answer() == b"again"
                assert await client.ask(b"*1\r\n$4\r\nPING\r\n") == b"PONG"

    run(job())
