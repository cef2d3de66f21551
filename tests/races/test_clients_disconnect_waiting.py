"""Requests whose clients go while they wait inside the module: no attempt begins more than 0.1 s later.

The waits are the module's own here, and each of them ends after the client has gone: room under the cap, a
word of a home, a repeat's moment. Those for a dial: test_clients_disconnect.py and
test_attempts_client_disconnect.py.
"""

import asyncio
import socket
import zlib
from collections.abc import Callable
from dataclasses import replace

import pytest

from molereach.clients import disconnect_watch
from molereach.clients import resp as clients
from molereach.clients.listener import READ_BYTES
from molereach.policy.interface.events import (
    EndpointListKind,
    EndpointListReceived,
    EndpointState,
    TimerExpired,
)
from molereach.policy.interface.settings import Plan
from molereach.policy.overload_control import IN_FLIGHT_PER_BACKEND
from molereach.proxy.proxy import Proxy
from tests.races.scripted_peers import Peer, machine, turns, until
from tests.races.test_clients_disconnect import GOES, events, gone
from tests.sockets import CONFIG, HOST, SETTINGS, Backend, front_door, query, resp, run, submit, value

GONE_S = 0.1  # from a close until when the last attempt for its client may begin
TURN_S = 0.02  # the longest turn of the loop
ROOM = IN_FLIGHT_PER_BACKEND // SETTINGS.proxy_count  # out at one server at once, for each front door


def servers_are(door: Proxy, state: EndpointState) -> None:
    """The list says so of all of them, as if discovery had told."""
    entries = tuple(
        replace(server.endpoint, state=state) for server in door.gateway.load_balancer.backends.values()
    )
    door.endpoints.publish(EndpointListReceived(EndpointListKind.CHANGES, 8, entries), {})


def test_end_behind_what_is_not_read_is_looked_for_soon_enough() -> None:
    """A connection that is not read is looked at that often; one that is read tells its end by itself."""
    assert disconnect_watch.POLL_INTERVAL_S + TURN_S < GONE_S


@GOES
def test_client_that_goes_while_its_request_waits_for_room_under_the_cap(go: Callable[[Peer], None]) -> None:
    async def job() -> None:
        backend = Backend(lambda words: None)
        async with front_door(backend) as (door, address):
            told, others = events(door), Peer.dial(address)
            others.say(b"".join(query(f"b{number}") for number in range(ROOM)))
            await until(lambda: len(backend.commands) == ROOM)
            peer = Peer.dial(address)
            peer.say(query("a1"))
            await until(lambda: len(door.gateway.queue.entries) == 1)
            assert not door.requests.open["a1"].in_flight
            go(peer)
            await until(lambda: gone(told) == ["a1"])
            for writer in backend.writers[:ROOM]:
                writer.write(value(b"ok"))
            await until(lambda: not door.requests.open)
            door.gateway.forward_waiting()
            await turns(9)
            assert [words[2] for words in backend.commands if words[2] == b"a1"] == []
            assert not door.gateway.attempts.pending

    run(job())


@GOES
def test_client_that_goes_while_its_repeat_waits_for_a_server(go: Callable[[Peer], None]) -> None:
    """The first attempt was turned away by the only server, which drains; then that serves again."""

    async def job() -> None:
        backend = Backend(lambda words: None)
        async with front_door(backend) as (door, address):
            told, peer = events(door), Peer.dial(address)
            peer.say(submit("a1"))
            await until(lambda: bool(backend.commands))
            servers_are(door, EndpointState.DRAINING)
            backend.writers[0].write(b"-BUSY\r\n")
            await until(lambda: len(door.gateway.queue.entries) == 1)
            go(peer)
            await until(lambda: gone(told) == ["a1"])
            servers_are(door, EndpointState.UP)
            await until(lambda: door.gateway.load_balancer.ready != [])
            door.gateway.forward_waiting()
            await turns(9)
            assert len(backend.commands) == 1
            assert not door.requests.open and not door.requests.answered and not door.gateway.attempts.pending

    run(job())


@pytest.mark.parametrize("may_cancel", [True, False])
def test_client_that_goes_while_its_attempt_is_out_has_no_repeat(may_cancel: bool) -> None:
    """Also where settings forbid to call it off: its end brings no other."""

    async def job() -> None:
        with machine() as one, machine() as other:
            settings = replace(SETTINGS, may_cancel=may_cancel)
            async with front_door(addresses=[one.address, other.address], settings=settings) as (door, _):
                told, peer = events(door), Peer.dial(door.address)
                peer.say(query("a1"))
                await until(
                    lambda: any(
                        each.is_written for x in door.requests.open.values() for each in x.in_flight.values()
                    )
                )
                first, second = (
                    (one, other) if door.requests.open["a1"].in_flight[0].server == "s0" else (other, one)
                )
                backend = await first.accept()
                peer.close()
                await until(lambda: gone(told) == ["a1"])
                if not may_cancel:
                    backend.reset()  # a safe request would be sent again
                await until(lambda: not door.requests.answered)
                await turns(9)
                assert not second.waiting() and not first.waiting()
                assert not door.gateway.attempts.pending

    run(job())


@GOES
def test_client_that_goes_while_a_home_is_asked(go: Callable[[Peer], None]) -> None:
    """The home never answers; without the client's end the request would be let in by chance, or refused."""

    async def job() -> None:
        backend, home = Backend(), socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        home.bind((HOST, 0))
        home.setblocking(False)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as free:
            free.bind((HOST, 0))
            listen = free.getsockname()
        settings = replace(SETTINGS, plans=(Plan(quota_rate=5.0, quota_burst=1.0),))
        customer = next(name for name in map("{:016x}".format, range(99)) if zlib.crc32(name.encode()) % 2)
        async with front_door(
            backend, settings=settings, peer_listen=listen, peers=(listen, home.getsockname())
        ) as (door, address):
            assert CONFIG.settings.proxy_index == 0
            told, peer = events(door), Peer.dial(address)
            fields = "c=read,t=team,d=3000,spread=2,first=0"
            peer.say(resp("SVC.QUERY", customer, "a1", fields))
            await asyncio.get_running_loop().sock_recv(home, 2048)  # it is asked
            assert "a1" in door.requests.open and not door.requests.open["a1"].in_flight
            go(peer)
            await until(lambda: gone(told) == ["a1"])
            await until(lambda: not door.gateway.outbox.waiting)
            ticks = len(told)
            await until(lambda: sum(isinstance(event, TimerExpired) for event in told[ticks:]) > 0)
            assert backend.commands == [] and not door.gateway.attempts.pending
        home.close()

    run(job())


@pytest.mark.parametrize("half", [False, True])
def test_pipelined_commands_behind_which_a_client_goes_are_not_taken(half: bool) -> None:
    """As many are open as may be, and more than is read ahead waits behind: none of that has an attempt."""

    async def job() -> None:
        backend = Backend(lambda words: None)
        async with front_door(backend) as (door, address):
            told, peer = events(door), Peer.dial(address)
            most = clients.MAX_PIPELINED
            peer.say(b"".join(query(f"a{number}") for number in range(most)))
            await until(lambda: len(door.requests.open) == most)
            (connection,) = door.clients.connections
            peer.say(submit("b1", body=b"x" * READ_BYTES)[: READ_BYTES + 9000 * half])
            await until(lambda: not connection.is_reading or len(connection.reader.buffer) >= READ_BYTES // 2)
            await until(lambda: len(backend.commands) == ROOM)  # the others wait for room
            (peer.finish if half else peer.close)()
            await until(lambda: len(gone(told)) == most)
            await until(lambda: all(writer.is_closing() for writer in backend.writers))  # called off
            door.gateway.forward_waiting()
            await turns(9)
            assert len(backend.commands) == ROOM and not door.requests.open

    run(job())
