"""Clients that go: noticed at once, whatever their requests wait for, and nothing is sent on for them."""

import socket
from collections.abc import Callable
from dataclasses import replace

import pytest

from molereach.clients import disconnect_watch
from molereach.clients import resp as clients
from molereach.clients.listener import READ_BYTES
from molereach.policy.interface.actions import Action
from molereach.policy.interface.events import ClientDisconnected, Event, RequestReceived
from molereach.policy.interface.settings import Plan
from molereach.proxy.proxy import Proxy
from tests.races.scripted_peers import Dials, Peer, turns, until
from tests.sockets import CUSTOMER, SETTINGS, Backend, Client, front_door, query, resp, run, submit, value

GOES = pytest.mark.parametrize("go", [Peer.close, Peer.finish, Peer.reset])


def events(door: Proxy) -> list[Event]:
    """What the module is told from now on, in order."""
    told: list[Event] = []
    handle = door.gateway.handle

    def note(now: int, event: Event) -> list[Action]:
        told.append(event)
        return handle(now, event)

    door.gateway.handle = note
    return told


def hold(door: Proxy) -> None:
    """The module takes requests and does nothing with them, as while it waits for a server or for words."""
    handle = door.gateway.handle
    door.gateway.handle = lambda now, event: [] if isinstance(event, RequestReceived) else handle(now, event)


def gone(told: list[Event]) -> list[str]:
    return [event.request_id for event in told if isinstance(event, ClientDisconnected)]


async def taken(door: Proxy, peer: Peer, data: bytes, count: int) -> None:
    peer.say(data)
    await until(lambda: len(door.requests.open) == count)


@GOES
def test_client_that_goes_while_its_request_is_held(go: Callable[[Peer], None]) -> None:
    """Also one that only ends its sending: an end is all that is seen of a close."""

    async def job() -> None:
        async with front_door() as (door, address):
            hold(door)
            told, peer = events(door), Peer.dial(address)
            await taken(door, peer, query("a1"), 1)
            go(peer)
            await until(lambda: gone(told) == ["a1"])
            assert not door.requests.open and door.requests.open_bytes == 0

    run(job())


@GOES
def test_client_that_goes_while_its_attempt_waits_for_a_dial(go: Callable[[Peer], None]) -> None:
    async def job() -> None:
        backend = Backend()
        async with front_door(backend) as (door, address):
            told, peer = events(door), Peer.dial(address)
            with Dials() as dials:
                peer.say(query("a1"))
                await dials.came.wait()
                go(peer)
                await until(lambda: gone(told) == ["a1"])
                dials.let_go()
                await until(lambda: not door.requests.answered)
                await turns(10)
            assert backend.commands == []

    run(job())


def small(count: int) -> bytes:
    return b"".join(query(f"a{number}") for number in range(count))


@GOES
@pytest.mark.parametrize("behind", [b"", b"*4\r\n$9\r\nSVC.", small(40)[: READ_BYTES // 2]])
def test_client_that_goes_with_as_many_open_as_may_be(go: Callable[[Peer], None], behind: bytes) -> None:
    async def job() -> None:
        most = clients.MAX_PIPELINED
        async with front_door(Backend(lambda words: None)) as (door, address):
            told, peer = events(door), Peer.dial(address)
            await taken(door, peer, small(most) + behind.replace(b"$2\r\na", b"$2\r\nb"), most)
            await turns()
            go(peer)
            await until(lambda: len(gone(told)) == most)
            assert not door.requests.open

    run(job())


@GOES
def test_client_that_goes_with_more_behind_than_is_read(
    monkeypatch: pytest.MonkeyPatch, go: Callable[[Peer], None]
) -> None:
    """Its end stands behind bytes that stay unread: it is looked for."""
    monkeypatch.setattr(disconnect_watch, "POLL_INTERVAL_S", 0.01)

    async def job() -> None:
        most = clients.MAX_PIPELINED
        async with front_door(Backend(lambda words: None)) as (door, address):
            told, peer = events(door), Peer.dial(address)
            await taken(door, peer, small(most), most)
            (connection,) = door.clients.connections
            peer.say(submit("b1", body=b"x" * 60_000))
            await until(lambda: not connection.is_reading)
            assert READ_BYTES <= len(connection.reader.buffer) < 3 * READ_BYTES
            go(peer)
            await until(lambda: len(gone(told)) == most)
            await until(lambda: not door.clients.connections)
            assert not door.clients.disconnect_watch.watched

    run(job())


def test_client_that_goes_while_it_reads_no_answers(monkeypatch: pytest.MonkeyPatch) -> None:
    """Clogged: what it sent behind is not taken, and its end, which stands behind that, is seen."""
    monkeypatch.setattr(disconnect_watch, "POLL_INTERVAL_S", 0.01)

    async def job() -> None:
        body = b"x" * 65_000
        backend = Backend(lambda words: None if words[2].startswith(b"b") else value(body))
        async with front_door(backend) as (door, address):
            told, peer = events(door), Peer.dial(address)
            await taken(door, peer, query("b1"), 1)
            (connection,) = door.clients.connections
            connection.pause_writing()
            peer.say(resp("PING") * 5000)
            await until(lambda: not connection.is_reading)
            peer.finish()
            await until(lambda: gone(told) == ["b1"])

    run(job())


def test_client_that_goes_behind_a_command_that_cannot_be_read() -> None:
    """That is answered after the one before it; till then the connection is closing, and its end is heard."""

    async def job() -> None:
        async with front_door(Backend(lambda words: None)) as (door, address):
            told, peer = events(door), Peer.dial(address)
            await taken(door, peer, query("a1") + b"?" * 100, 1)
            await turns()
            peer.close()
            await until(lambda: gone(told) == ["a1"])

    run(job())


def test_half_close_with_answers_unread_is_noticed_and_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    """The transport would wait for the last byte to be read before it says that the connection is lost."""
    monkeypatch.setattr("molereach.clients.listener.SWEEP_S", 0.01)
    monkeypatch.setitem(clients.TIMEOUTS_US, clients.State.WRITE_BLOCKED, 50_000)

    async def job() -> None:
        backend = Backend(lambda words: None)
        async with front_door(backend) as (door, address):
            told, peer = events(door), Peer.dial(address)
            peer.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            await taken(door, peer, query("a1"), 1)
            (connection,) = door.clients.connections
            kernel = connection.transport.get_extra_info("socket")
            kernel.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            # Bytes that the kernel does not take, below the mark at which writing is paused.
            while not connection.transport.get_write_buffer_size():
                connection.transport.write(b"x" * 10_000)
            assert not connection.is_write_blocked
            peer.finish()
            await until(lambda: gone(told) == ["a1"])
            assert await door.clients.wait_closed(10)
            assert door.clients.socket_count == 0

    run(job())


def test_burst_of_clients_that_ask_and_leave_at_once_is_not_sent_on() -> None:
    """They connect, send and go within one turn of the loop: the end is heard before the request goes on."""

    async def job() -> None:
        backend = Backend()
        async with front_door(backend) as (door, address):
            for number in range(40):
                peer = Peer.dial(address)
                peer.say(query(f"a{number}"))
                peer.close()
            client = await Client.open(address)
            assert await client.ask(resp("PING")) == b"PONG"
            await until(lambda: len(door.clients.connections) == 1)
            assert backend.commands == [] and backend.opened == 0
            assert not door.requests.open and not door.requests.answered

    run(job())


def test_request_that_comes_with_the_end_is_taken_back() -> None:
    """On a connection that is in use; the attempt that it brought is given up at once."""

    async def job() -> None:
        backend = Backend(lambda words: None if words[2] == b"a2" else value(b"ok"))
        async with front_door(backend) as (door, address):
            told, peer = events(door), Peer.dial(address)
            peer.say(query("a1"))
            assert await peer.hear_until(b"ok\r\n")
            peer.say(query("a2"))
            peer.finish()
            await until(lambda: gone(told) == ["a2"])
            await until(lambda: not door.requests.answered)
            assert await peer.hear_all() == b""

    run(job())


def test_client_that_goes_while_words_of_peers_are_waited_for() -> None:
    async def job() -> None:
        settings = replace(SETTINGS, plans=(Plan(quota_rate=1.0, quota_burst=1.0),))
        async with front_door(Backend(), settings=settings) as (door, address):
            told, peer = events(door), Peer.dial(address)
            hold(door)
            fields = "c=read,t=team,d=3000,spread=2,first=1"
            await taken(door, peer, resp("SVC.QUERY", CUSTOMER, "a1", fields), 1)
            peer.close()
            await until(lambda: gone(told) == ["a1"])
            assert not door.requests.open

    run(job())


def test_greeting_that_comes_with_the_end_is_answered() -> None:
    """It needs no backend: whoever only looks whether we serve may end its side at once."""

    async def job() -> None:
        async with front_door() as (door, address):
            peer = Peer.dial(address)
            peer.say(resp("PING"))
            peer.finish()
            assert await peer.hear_all() == b"+PONG\r\n"
            assert await door.clients.wait_closed(10)

    run(job())
