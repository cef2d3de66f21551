"""SIGTERM and new connections: who has connected when the listener closes has been taken by the machine."""

import asyncio

import pytest

from tests.crossings.sigterm import before, dial_and_ask, drained, is_answer, shorten
from tests.crossings.wire import Peer, until
from tests.sockets import Backend, front_door, query, run


@pytest.fixture(autouse=True)
def short(monkeypatch: pytest.MonkeyPatch) -> None:
    shorten(monkeypatch)


def test_who_is_accepted_in_the_turn_in_which_draining_begins_is_answered() -> None:
    """It is not attached to the loop yet: no connection is left, and one is on its way."""
    came: list[Peer] = []

    async def job() -> None:
        async with front_door(Backend()) as (door, address):

            def come() -> None:
                came.append(dial_and_ask(address, "a1"))
                door.clients.accept()  # as the loop does when it finds both due in one turn

            before(door.clients, "drain", come)
            await drained(door)
            assert is_answer(await came[0].hear_all())

    run(job())


def test_first_command_that_comes_a_while_after_its_connection_is_answered() -> None:
    """A new connection is not idle: it is looked at while draining, and kept."""

    async def job() -> None:
        async with front_door(Backend()) as (door, address):
            client = Peer.dial(address)
            await until(lambda: bool(door.clients.connections))
            draining = asyncio.create_task(drained(door))
            await until(lambda: door.clients.draining)
            client.say(query("a1"))
            assert is_answer(await client.hear_all())
            client.close()
            await draining

    run(job())
