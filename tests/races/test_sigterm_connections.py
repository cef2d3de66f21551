"""SIGTERM and connections: who stays until the end, and what the close leaves of the last answers."""

import asyncio
import contextlib
import socket

import pytest

from molereach.clients.connection_state import NEVER_US, TIMEOUTS_US, State
from molereach.clients.resp import MAX_PIPELINED
from molereach.proxy import connection_draining, graceful_shutdown
from molereach.proxy.proxy import Proxy
from molereach.resp import has_unread
from tests.races.scripted_peers import Peer, turns, until
from tests.races.sigterm import ENDS, FAILED, OK, before, drained, is_answer, shorten
from tests.sockets import Backend, front_door, query, resp, run, value

LARGE = value(b"x" * 60_000)
ANSWER = b"$60000\r\n" + b"x" * 60_000 + b"\r\n"


@pytest.fixture(autouse=True)
def short(monkeypatch: pytest.MonkeyPatch) -> None:
    shorten(monkeypatch)


async def resting(address: tuple[str, int], name: str = "a0") -> Peer:
    """A client whose connection rests after an answer."""
    client = Peer.dial(address)
    client.say(query(name))
    assert await client.hear_until(b"ok\r\n") == OK
    return client


def test_request_in_the_instant_of_its_resting_connections_close_is_answered() -> None:
    async def job() -> None:
        async with front_door(Backend()) as (door, address):
            client = await resting(address)
            before(door.clients, "drain", lambda: client.say(query("a1")))
            draining = asyncio.create_task(drained(door))
            assert is_answer(await client.hear_all())
            client.close()
            await draining

    run(job())


def test_request_that_comes_after_the_end_of_our_sending_is_never_sent_on() -> None:
    """Its client sends it once more elsewhere: sent on, it would run twice."""

    taken: list[None] = []

    async def job() -> None:
        backend = Backend()
        async with front_door(backend) as (door, address):
            client = await resting(address)
            before(door, "handle_command", lambda: taken.append(None))
            door.clients.shut_down()
            assert await client.hear_all() == b""  # it rests until the front door ends it: an end, no reset
            client.say(query("a1"))
            await turns()
            assert has_unread(next(iter(door.clients.connections)).transport)
            await drained(door)
            assert not taken and len(backend.commands) == 1

    run(job())


def test_half_a_command_when_draining_begins_is_answered_when_its_rest_comes() -> None:
    command = query("a1")

    async def job() -> None:
        async with front_door(Backend()) as (door, address):
            client = await resting(address)
            client.say(command[:40])
            draining = asyncio.create_task(drained(door))
            await until(lambda: door.clients.is_draining)
            door.clients.sweep()
            client.say(command[40:])
            assert is_answer(await client.hear_all())
            client.close()
            await draining

    run(job())


@pytest.mark.parametrize(
    ("sent", "heard"),
    [
        (query("a1")[:40], ENDS),  # the rest may be on its way: a whole answer, whenever it comes
        (resp("PING") + query("a1")[:40], b"+PONG\r\n" + ENDS),
        (resp("PING"), b"+PONG\r\n"),  # between requests: an end, and no word that answers nothing
        (query("a0") + b"*", OK + ENDS),
    ],
)
def test_who_stops_within_a_command_is_told_before_the_kill(
    sent: bytes, heard: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(
        connection_draining, "FINAL_WRITE_TIMEOUT_S", 60.0
    )  # not for being quiet: by the time

    async def job() -> None:
        async with front_door(Backend()) as (door, address):
            client = Peer.dial(address)
            client.say(sent)
            await until(lambda: bool(door.clients.connections))
            draining = asyncio.create_task(drained(door))
            assert await client.hear_all() == heard
            client.close()
            await draining

    run(job())


def test_client_that_always_has_a_request_on_its_way_is_ended_before_the_kill() -> None:
    """Its connection is never idle. Whatever was read has its answer; the last one is sent once more."""
    asked, taken = 0, 0

    async def job() -> None:
        async with front_door(Backend()) as (door, address):
            client = Peer.dial(address)

            def ask(*_: object) -> None:
                nonlocal asked
                asked += 1
                client.say(query(f"r{asked}"))

            def count() -> None:
                nonlocal taken
                taken += 1

            before(door, "handle_command", count)
            before(door.actions, "answer", ask)  # the next one has come when an answer leaves
            ask()
            heard = asyncio.create_task(client.hear_all())
            draining = asyncio.create_task(drained(door))
            lines = await heard
            client.close()
            await draining
            assert lines.count(OK) + lines.count(b"-") == taken == asked - 1 > 2

    run(job())


def test_commands_that_were_read_and_wait_for_their_turn_are_answered_at_the_end() -> None:
    async def job() -> None:
        async with front_door(Backend(lambda words: None)) as (door, address):
            client = Peer.dial(address)
            client.say(b"".join(query(f"r{number}") for number in range(40)))
            await until(lambda: len(door.requests.open) == MAX_PIPELINED)
            door.clients.shut_down()
            for name in list(door.requests.open):
                door.actions.answer(name, OK)
            assert await client.hear_all() == OK * MAX_PIPELINED + FAILED * (40 - MAX_PIPELINED)

    run(job())


def slow(door: Proxy, address: tuple[str, int], requests: int) -> Peer:
    """A client that asks and does not read, and little room between."""
    assert door.clients.listener
    door.clients.listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 16_384)  # as what it accepts
    own = socket.socket()
    own.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16_384)
    own.connect(address)
    client = Peer(own)
    client.say(b"".join(query(f"r{number}") for number in range(requests)))
    return client


def clogged(door: Proxy) -> bool:
    return (
        any(each.buffered_bytes() > len(ANSWER) for each in door.clients.connections)
        and not door.requests.open
    )


def test_answers_not_read_yet_leave_whole_where_their_client_reads_before_the_kill(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(graceful_shutdown, "KILL_GRACE_US", 20_000_000)  # the kill is far
    monkeypatch.setattr(connection_draining, "FINAL_WRITE_TIMEOUT_S", 0.05)

    async def job() -> None:
        async with front_door(Backend(lambda words: LARGE)) as (door, address):
            client = slow(door, address, 4)
            await until(lambda: clogged(door))
            ended = asyncio.Event()

            def end() -> None:
                monkeypatch.setattr(connection_draining, "FINAL_WRITE_TIMEOUT_S", 60.0)
                ended.set()

            before(door.clients, "shut_down", end)
            task = asyncio.create_task(drained(door))
            await ended.wait()
            assert await client.hear_all() == ANSWER * 4
            client.close()
            await task

    run(job())


def test_client_that_never_reads_does_not_keep_the_door_past_the_kill(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It can tell that what it gets of the last value is not whole."""
    monkeypatch.setattr(connection_draining, "FINAL_WRITE_TIMEOUT_S", 60.0)
    monkeypatch.setitem(TIMEOUTS_US, State.WRITE_BLOCKED, NEVER_US)  # not by the time that it has to read

    async def job() -> None:
        async with front_door(Backend(lambda words: LARGE)) as (door, address):
            client = slow(door, address, 4)
            await until(lambda: clogged(door))
            await drained(door)
            heard = b""
            with contextlib.suppress(ConnectionResetError):
                while data := await client.hear():
                    heard += data
            assert (ANSWER * 4).startswith(heard) and len(heard) < len(ANSWER) * 4

    run(job())


def test_small_writes_are_not_held_back() -> None:
    """A close that resets would take what the system still holds."""

    async def job() -> None:
        async with front_door(Backend()) as (door, address):
            await resting(address)
            accepted = next(iter(door.clients.connections)).transport.get_extra_info("socket")
            assert accepted.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)

    run(job())
