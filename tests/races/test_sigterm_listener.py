"""SIGTERM and new connections: who has connected when the listener closes has been taken by the machine."""

import asyncio

import pytest

from molereach.clients import listener
from tests.races.scripted_peers import Peer, until
from tests.races.sigterm import ENDS, before, dial_and_ask, drained, is_answer, shorten
from tests.sockets import Backend, front_door, query, run


@pytest.fixture(autouse=True)
def short(monkeypatch: pytest.MonkeyPatch) -> None:
    shorten(monkeypatch)


def test_who_has_connected_when_the_listener_closes_is_answered() -> None:
    """More than are accepted in one turn, their whole requests sent. Who comes later is refused."""
    asked: list[Peer] = []

    async def job() -> None:
        async with front_door(Backend()) as (door, address):
            before(
                door.clients,
                "stop_listening",
                lambda: asked.extend(dial_and_ask(address, f"r{number}") for number in range(40)),
            )
            await drained(door)
            answers = [await client.hear_all() for client in asked]
            assert len(answers) == 40 and all(map(is_answer, answers))
            with pytest.raises(ConnectionRefusedError):
                Peer.dial(address)

    run(job())


def test_who_has_connected_and_finds_all_places_taken_is_told_so() -> None:
    """The bound on sockets holds in the last turn too. Those that say nothing are told of the end."""
    came: list[Peer] = []
    held: list[int] = []

    async def job() -> None:
        async with front_door(Backend()) as (door, address):
            door.clients.max_sockets = 4
            before(door.clients, "stop_listening", lambda: came.extend(Peer.dial(address) for _ in range(10)))
            before(door.clients, "shut_down", lambda: held.append(door.clients.socket_count))
            await drained(door)
            heard = [await client.hear_all() for client in came]
            assert heard == [ENDS] * 4 + [listener.TOO_MANY_CLIENTS] * 6 and held == [4]

    run(job())


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


def test_who_has_connected_when_an_order_closes_the_listener_is_answered() -> None:
    """The door serves on; it only takes nobody new."""

    async def job() -> None:
        async with front_door(Backend()) as (door, address):
            asked = [dial_and_ask(address, f"r{number}") for number in range(40)]
            door.clients.set_paused(True)
            answers = [await client.hear_until(b"ok\r\n") for client in asked]
            assert len(answers) == 40 and all(map(is_answer, answers))
            with pytest.raises(ConnectionRefusedError):
                Peer.dial(address)

    run(job())


def test_last_socket_that_ends_unattached_is_heard_of_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """Its client was gone before it was taken in: the drain must not wait for it until its time is over."""

    async def job() -> None:
        async with front_door(Backend()) as (door, address):

            async def gone(*_: object) -> None:
                raise OSError("gone")

            monkeypatch.setattr(door.clients.loop, "connect_accepted_socket", gone)
            Peer.dial(address)
            door.clients.accept()
            assert door.clients.socket_count == 1 and await door.clients.wait_closed(60)

    run(job())


def test_order_to_take_connections_again_opens_no_listener_that_has_closed_for_good() -> None:
    """An order that ends while the front door does: whoever came now would be lost."""

    async def job() -> None:
        async with front_door(Backend()) as (door, address):
            door.clients.set_paused(True)
            door.clients.stop_listening()
            door.clients.set_paused(False)
            assert door.clients.listener is None
            with pytest.raises(ConnectionRefusedError):
                Peer.dial(address)

    run(job())


def test_first_command_that_comes_a_while_after_its_connection_is_answered() -> None:
    """A new connection is not idle: it is looked at while draining, and kept."""

    async def job() -> None:
        async with front_door(Backend()) as (door, address):
            client = Peer.dial(address)
            await until(lambda: bool(door.clients.connections))
            draining = asyncio.create_task(drained(door))
            await until(lambda: door.clients.is_draining)
            client.say(query("a1"))
            assert is_answer(await client.hear_all())
            client.close()
            await draining

    run(job())
