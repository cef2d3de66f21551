"""Ends of a connection to a backend against the last byte of the request on it: before, at and after it."""

from collections.abc import Callable

import pytest

from molereach.backends import pool
from molereach.policy.interface.events import (
    AttemptResult,
    Endpoint,
    EndpointListKind,
    EndpointListReceived,
    EndpointState,
)
from tests.races.attempt_sender import Sender
from tests.races.scripted_peers import Dials, Machine, Peer, machine, until
from tests.sockets import Backend, Client, front_door, query, run, submit, value

ENDS = [Peer.close, Peer.reset, lambda peer: peer.say(b"-BUSY\r\n") or peer.close()]


class Ended(Dials):
    """The first connection is ended by its machine before the front door has written to it."""

    def __init__(self, held: Machine, end: Callable[[Peer], None]) -> None:
        super().__init__()
        self.machine, self.end, self.ended = held, end, 0

    async def hold(self, *args: object, **values: object) -> object:
        made = await self.dial(*args, **values)
        if args[-1] == self.machine.address[1] and not self.ended:
            self.ended += 1
            own, _ = self.machine.listener.accept()
            self.end(Peer(own))
        return made


@pytest.mark.parametrize("end", ENDS)
def test_new_connection_that_is_ended_before_a_byte_is_written_never_ran(end: Callable[[Peer], None]) -> None:
    """A backend that holds too many takes a connection and ends it: an unsafe request goes elsewhere."""

    async def job() -> None:
        other = Backend()
        with machine() as held:
            async with front_door(other, addresses=[held.address]) as (door, address):
                client = await Client.open(address)
                with Ended(held, end) as dials:
                    for number in range(50):
                        assert await client.ask(submit(f"a{number}")) == b"ok"
                        door.backends.close_idle("s1")
                        if dials.ended:
                            break
                    assert dials.ended

    run(job())


def test_reset_between_the_last_look_and_the_write_never_ran(monkeypatch: pytest.MonkeyPatch) -> None:
    """The kernel refuses the write, and takes none of it."""

    async def job() -> None:
        with machine() as held:
            sender = Sender(held)
            sender.send(b"first")
            peer = await held.accept()
            await peer.hear_until(b"first")
            peer.say(value(b"ok"))
            await until(lambda: sender.ended == [AttemptResult.OK])
            next(iter(sender.backends.pools["s"].idle)).idle_since_us = 0  # it has rested
            monkeypatch.setattr(pool, "has_unread", lambda transport: peer.reset())
            sender.send(b"second")
            await until(lambda: len(sender.ended) == 2)
            assert sender.ended[1] is AttemptResult.CONNECT_FAILED
            sender.backends.close()

    run(job())


def gone() -> Endpoint:
    return Endpoint("s0", 0, 0, 0, EndpointState.REMOVED)


@pytest.mark.parametrize("said", [b"", b"*3\r\n$2\r\no", b"-ERR fai"])
@pytest.mark.parametrize("end", [Peer.close, Peer.reset])
def test_reset_after_the_last_byte_or_within_an_answer_may_have_run(
    end: Callable[[Peer], None], said: bytes
) -> None:
    """An unsafe request is failed, and a safe one goes elsewhere, each with one answer."""

    async def job() -> None:
        other = Backend()
        with machine() as held:
            async with front_door(addresses=[held.address]) as (door, address):
                for request, answer in ((submit("a1"), "-ERR failed"), (query("a2"), b"ok")):
                    client = await Client.open(address)
                    client.send(request)
                    peer = await held.accept()
                    await peer.hear_until(b"d=")
                    if said:
                        peer.say(said)
                    if answer == b"ok":
                        server = Endpoint("other", 0, 0, 0, EndpointState.UP)
                        news = EndpointListReceived(EndpointListKind.CHANGES, 8, (server, gone()))
                        door.endpoints.publish(news, {"other": await other.start()})
                    end(peer)
                    assert await client.answer() == answer
                    assert not held.waiting()  # an unsafe one is not tried again anywhere
                    assert await client.ask(b"*1\r\n$4\r\nPING\r\n") == b"PONG"  # nothing else came
                    assert not door.requests.open and not door.requests.answered
                assert len(other.commands) == 1

    run(job())
