"""Places that run out: who gives way, who is turned away, and that neither loses what is on its way."""

import asyncio
import contextlib
import socket
from collections.abc import Sequence

import pytest

from molereach.clients import connection_state
from molereach.clients import resp as clients
from molereach.clients.connection_state import TOO_MANY_CLIENTS, State
from molereach.endpoint_address import EndpointAddress
from molereach.policy.interface.events import RequestReceived
from molereach.proxy.proxy import Proxy
from molereach.resp import has_unread
from tests.races.scripted_peers import Peer, turns, until
from tests.sockets import Backend, front_door, query, resp, run

OK = b"$2\r\nok\r\n"


async def rested(door: Proxy, address: EndpointAddress, count: int) -> list[Peer]:
    """Connections between requests that may give way, the oldest first."""
    peers = []
    for number in range(count):
        peer = Peer.dial(address)
        peer.say(query(f"r{number}"))
        assert await peer.hear_until(OK) == OK
        peers.append(peer)
    for connection in door.clients.eviction_queues.by_state[State.IDLE]:
        connection.state_entered_us -= connection_state.MIN_IDLE_US
    return peers


async def busy(door: Proxy, address: EndpointAddress, count: int) -> list[Peer]:
    """Connections with a request open on each, which the module holds."""
    handle = door.gateway.handle
    door.gateway.handle = lambda now, event: [] if isinstance(event, RequestReceived) else handle(now, event)
    peers = [Peer.dial(address) for _ in range(count)]
    for number, peer in enumerate(peers):
        peer.say(query(f"b{number}"))
    await until(lambda: len(door.requests.open) == count)
    return peers


def resets(peers: Sequence[Peer]) -> list[int]:
    return [peer.socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) for peer in peers]


def test_connection_with_a_command_on_its_way_does_not_give_way() -> None:
    """The one that rested longest has just sent: the next one gives way, and both requests are served."""

    async def job() -> None:
        async with front_door(Backend()) as (door, address):
            door.clients.max_sockets = 3
            peers = await rested(door, address, 3)
            peers[0].say(query("a1"))
            late = Peer.dial(address)
            late.say(query("a2"))
            door.clients.accept()  # before the loop comes to what was said
            assert await peers[0].hear_until(OK) == OK
            assert await late.hear_until(OK) == OK
            assert await peers[1].hear_all() == b""
            assert len(door.clients.connections) == 3

    run(job())


def test_newcomer_is_turned_away_where_all_have_commands_on_their_way() -> None:
    async def job() -> None:
        async with front_door(Backend()) as (door, address):
            door.clients.max_sockets = 3
            peers = await rested(door, address, 3)
            for number, peer in enumerate(peers):
                peer.say(query(f"a{number}"))
            late = Peer.dial(address)
            door.clients.accept()
            assert [await peer.hear_until(OK) for peer in peers] == [OK] * 3
            assert await late.hear_all() == TOO_MANY_CLIENTS

    run(job())


def test_answer_that_is_not_sent_yet_does_not_give_way() -> None:
    async def job() -> None:
        async with front_door(Backend()) as (door, address):
            door.clients.max_sockets = 2
            peers = await rested(door, address, 2)
            first = next(iter(door.clients.eviction_queues.by_state[State.IDLE]))
            peers[0].socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            kernel = first.transport.get_extra_info("socket")
            kernel.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            written = 0
            while not first.transport.get_write_buffer_size():
                first.transport.write(b"x" * 10_000)
                written += 10_000
            late = Peer.dial(address)
            late.say(query("a1"))
            door.clients.accept()
            assert await late.hear_until(OK) == OK
            heard = 0
            while heard < written:
                heard += len(await peers[0].hear())
            assert heard == written

    run(job())


def test_newcomer_that_has_sent_already_is_told_and_not_reset() -> None:
    """A close at once over its unread request would reset the word away."""

    async def job() -> None:
        async with front_door(Backend()) as (door, address):
            door.clients.max_sockets = 16
            peers = await busy(door, address, 14)
            late = Peer.dial(address)
            late.say(query("a1"))
            await until(lambda: len(door.clients.connections) == 15)
            await turns()
            late.say(query("a2"))
            assert await late.hear_all() == TOO_MANY_CLIENTS and resets([late]) == [0]
            late.close()
            await until(lambda: len(door.clients.connections) == 14)
            assert len(door.requests.open) == door.clients.socket_count == len(peers)

    run(job())


def test_connection_that_gives_way_is_half_closed(monkeypatch: pytest.MonkeyPatch) -> None:
    """A request that crosses this is not sent on; its client hears a clean end and sends it again."""

    async def job() -> None:
        backend = Backend()
        async with front_door(backend) as (door, address):
            door.clients.max_sockets = 16
            peers = await rested(door, address, 14)

            def look(transport: asyncio.BaseTransport) -> bool:
                found = has_unread(transport)
                monkeypatch.setattr(clients, "has_unread", look_again)
                return found

            def look_again(transport: asyncio.BaseTransport) -> bool:
                found = has_unread(transport)
                peers[0].say(query("a1"))
                monkeypatch.undo()
                return found

            monkeypatch.setattr(clients, "has_unread", look)
            late = Peer.dial(address)
            assert await peers[0].hear_all() == b"" and resets(peers[:1]) == [0]
            late.say(query("a2"))
            assert await late.hear_until(OK) == OK
            assert [words[2] for words in backend.commands].count(b"a1") == 0
            assert door.clients.socket_count == 15

    run(job())


def test_new_connection_that_gives_way_is_told_so() -> None:
    """Closed with no word, the request that it sends just then would have no answer."""

    async def job() -> None:
        async with front_door(Backend()) as (door, address):
            door.clients.max_sockets = 16
            peers = await busy(door, address, 13)
            silent = Peer.dial(address)
            await until(lambda: len(door.clients.connections) == 14)
            late = Peer.dial(address)
            late.say(resp("PING"))
            assert await late.hear_until(b"\r\n") == b"+PONG\r\n"
            silent.say(query("a1"))
            assert await silent.hear_all() == TOO_MANY_CLIENTS
            assert len(door.requests.open) == len(peers)

    run(job())


def test_flood_of_newcomers_takes_no_more_sockets_and_no_ones_place() -> None:
    async def job() -> None:
        async with front_door(Backend()) as (door, address):
            door.clients.max_sockets, seen = 16, 0
            peers = await busy(door, address, 14)
            flood = []
            for number in range(100):
                late = Peer.dial(address)
                late.say(query(f"f{number}"))
                flood.append(late)
            while len(door.clients.connections) > 16 or any(not late.pending() for late in flood[-1:]):
                seen = max(seen, door.clients.socket_count)
                await asyncio.sleep(0)
            assert 16 <= max(seen, door.clients.socket_count) <= 17
            assert len(door.requests.open) == 14
            for number, peer in enumerate(peers):
                door.actions.answer(f"b{number}", OK)
                assert await peer.hear_until(OK) == OK
            for late in flood:
                with contextlib.suppress(OSError):
                    late.close()

    run(job())


def test_command_that_comes_in_the_moment_of_giving_way_has_another_one_leave(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """After the first look and before the half-close: it is served, and the place is found elsewhere."""

    async def job() -> None:
        async with front_door(Backend()) as (door, address):
            door.clients.max_sockets = 16
            peers = await rested(door, address, 14)

            def look(transport: asyncio.BaseTransport) -> bool:
                found = has_unread(transport)
                monkeypatch.undo()
                peers[0].say(query("a1"))
                return found

            monkeypatch.setattr(clients, "has_unread", look)
            late = Peer.dial(address)
            late.say(query("a2"))
            assert await peers[1].hear_all() == b""
            assert await peers[0].hear_until(OK) == OK
            assert await late.hear_until(OK) == OK
            peers[1].close()
            await until(lambda: door.clients.socket_count == 14)
            assert len(door.clients.eviction_queues.by_state[State.IDLE]) == 14

    run(job())
