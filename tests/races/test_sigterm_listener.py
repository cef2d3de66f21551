"""SIGTERM and new connections: the kernel has accepted those established when the listener closes."""

import asyncio

import pytest

from molereach.clients import listener
from tests.races.scripted_peers import Peer, wait_until
from tests.races.sigterm import (
    SHUTTING_DOWN,
    connect_and_query,
    drain,
    is_answer,
    run_before,
    shorten_shutdown_times,
)
from tests.sockets import Backend, front_door, query, run


@pytest.fixture(autouse=True)
def short_shutdown_times(monkeypatch: pytest.MonkeyPatch) -> None:
    shorten_shutdown_times(monkeypatch)


def test_clients_connected_when_the_listener_closes_are_answered() -> None:
    """More connections with complete requests than one iteration accepts; later ones are refused."""
    connected: list[Peer] = []

    async def job() -> None:
        async with front_door(Backend()) as (proxy, address):
            run_before(
                proxy.clients,
                "stop_listening",
                lambda: connected.extend(connect_and_query(address, f"r{number}") for number in range(40)),
            )
            await drain(proxy)
            answers = [await client.receive_all() for client in connected]
            assert len(answers) == 40 and all(map(is_answer, answers))
            with pytest.raises(ConnectionRefusedError):
                Peer.connect(address)

    run(job())


def test_clients_beyond_the_socket_limit_at_the_close_get_an_error() -> None:
    """The limit on sockets also holds in the last iteration. Accepted clients that send nothing get the
    shutdown error."""
    connected: list[Peer] = []
    socket_counts: list[int] = []

    async def job() -> None:
        async with front_door(Backend()) as (proxy, address):
            proxy.clients.max_sockets = 4
            run_before(
                proxy.clients,
                "stop_listening",
                lambda: connected.extend(Peer.connect(address) for _ in range(10)),
            )
            run_before(proxy.clients, "shut_down", lambda: socket_counts.append(proxy.clients.socket_count))
            await drain(proxy)
            received = [await client.receive_all() for client in connected]
            assert received == [SHUTTING_DOWN] * 4 + [listener.TOO_MANY_CLIENTS] * 6 and socket_counts == [4]

    run(job())


def test_client_accepted_in_the_iteration_in_which_draining_starts_is_answered() -> None:
    """The socket is not attached to the loop yet: no connection is left, and one is about to be added."""
    connected: list[Peer] = []

    async def job() -> None:
        async with front_door(Backend()) as (proxy, address):

            def connect_and_accept() -> None:
                connected.append(connect_and_query(address, "a1"))
                proxy.clients.accept()  # as the loop does when both are due in one iteration

            run_before(proxy.clients, "drain", connect_and_accept)
            await drain(proxy)
            assert is_answer(await connected[0].receive_all())

    run(job())


def test_clients_connected_when_an_order_pauses_the_listener_are_answered() -> None:
    """The proxy keeps serving; it only accepts no new connections."""

    async def job() -> None:
        async with front_door(Backend()) as (proxy, address):
            connected = [connect_and_query(address, f"r{number}") for number in range(40)]
            proxy.clients.set_paused(True)
            answers = [await client.receive_until(b"ok\r\n") for client in connected]
            assert len(answers) == 40 and all(map(is_answer, answers))
            with pytest.raises(ConnectionRefusedError):
                Peer.connect(address)

    run(job())


def test_socket_that_fails_before_it_is_attached_does_not_delay_the_drain(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Its client disconnected before it was attached: the drain must not wait for it until its timeout."""

    async def job() -> None:
        async with front_door(Backend()) as (proxy, address):

            async def raise_error(*_: object) -> None:
                raise OSError("gone")

            monkeypatch.setattr(proxy.clients.loop, "connect_accepted_socket", raise_error)
            Peer.connect(address)
            proxy.clients.accept()
            assert proxy.clients.socket_count == 1 and await proxy.clients.wait_closed(60)

    run(job())


def test_order_to_resume_does_not_reopen_a_listener_closed_for_shutdown() -> None:
    """The order ends during shutdown: a connection accepted now would be lost."""

    async def job() -> None:
        async with front_door(Backend()) as (proxy, address):
            proxy.clients.set_paused(True)
            proxy.clients.stop_listening()
            proxy.clients.set_paused(False)
            assert proxy.clients.listener is None
            with pytest.raises(ConnectionRefusedError):
                Peer.connect(address)

    run(job())


def test_late_first_command_on_a_new_connection_is_answered() -> None:
    """A new connection is not idle: draining checks it and keeps it."""

    async def job() -> None:
        async with front_door(Backend()) as (proxy, address):
            client = Peer.connect(address)
            await wait_until(lambda: bool(proxy.clients.connections))
            draining = asyncio.create_task(drain(proxy))
            await wait_until(lambda: proxy.clients.is_draining)
            client.send(query("a1"))
            assert is_answer(await client.receive_all())
            client.close()
            await draining

    run(job())
