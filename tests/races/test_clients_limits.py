"""Clients that send or read as they should not: each costs its own connection, within bounds."""

import asyncio
import logging
from dataclasses import replace

import pytest

from molereach.__main__ import LogRateLimiter
from molereach.clients import listener
from molereach.clients import resp as clients
from molereach.clients.connection_state import State
from molereach.proxy.proxy import Proxy
from tests.races.scripted_peers import Peer, turns, until
from tests.sockets import CONFIG, Backend, Client, front_door, query, resp, run, submit, value

OK = b"$2\r\nok\r\n"


def test_overload_is_no_fault_of_the_client() -> None:
    """However many of its requests found no room: the connection lives, and all of them are answered."""

    async def job() -> None:
        async with front_door(Backend(lambda words: None), max_open=1) as (door, address):
            holder, peer = Peer.dial(address), Peer.dial(address)
            holder.say(query("a1"))
            await until(lambda: len(door.requests.open) == 1)
            count = 2 * clients.MAX_CONSECUTIVE_ERRORS
            peer.say(b"".join(query(f"b{number}") for number in range(count)) + resp("PING"))
            heard = await peer.hear_until(b"+PONG\r\n")
            assert heard == b"-ERR too many requests are open\r\n" * count + b"+PONG\r\n"
            assert [each.state for each in door.clients.connections] == [State.BUSY, State.IDLE]

    run(job())


def test_garbled_commands_cost_one_bounded_line_each(caplog: pytest.LogCaptureFixture) -> None:
    async def job() -> None:
        async with front_door(Backend()) as (door, address):
            good = Peer.dial(address)
            for _ in range(30):
                peer = Peer.dial(address)
                peer.say(b"*1\r\n$" + b"9" * 10_000)
                assert (await peer.hear_all()).startswith(b"-ERR Protocol error")
                peer.close()
            good.say(query("a1"))
            assert await good.hear_until(OK) == OK
            await until(lambda: len(door.clients.connections) == 1)

    caplog.handler.addFilter(limit := LogRateLimiter())
    try:
        with caplog.at_level(logging.WARNING, "molereach.clients"):
            run(job())
    finally:
        caplog.handler.removeFilter(limit)
    lines = [record.getMessage() for record in caplog.records if record.name == "molereach.clients.resp"]
    assert 0 < len(lines) <= 10 and max(map(len, lines)) < 200


def test_fault_at_one_connections_time_out_stops_no_others(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    monkeypatch.setattr(listener, "SWEEP_S", 0.01)

    async def job() -> None:
        async with front_door() as (door, address):
            peers = [Peer.dial(address) for _ in range(2)]
            await until(lambda: len(door.clients.connections) == 2)
            first, second = door.clients.connections

            def broken() -> None:
                raise RuntimeError("a fault of ours")

            monkeypatch.setattr(first, "on_timeout", broken)
            first.timeout_at_us = 0
            assert await peers[0].hear_all() == b""
            second.timeout_at_us = 0
            assert await peers[1].hear_all() == b"-ERR timed out\r\n"

    run(job())
    assert "a fault of ours" in caplog.text


@pytest.mark.parametrize("known", [True, False])
def test_command_that_comes_a_byte_at_a_time_has_one_time_for_all(known: bool) -> None:
    """Each byte does not begin it anew."""

    async def job() -> None:
        async with front_door(Backend()) as (door, address):
            peer = Peer.dial(address)
            if known:
                peer.say(resp("PING"))
                assert await peer.hear_until(b"\r\n") == b"+PONG\r\n"
            await until(lambda: len(door.clients.connections) == 1)
            (connection,) = door.clients.connections
            times = set()
            for count, byte in enumerate(query("a1")[:20], start=1):
                peer.say(bytes([byte]))
                await until(lambda: len(connection.reader.buffer) == count)  # noqa: B023
                await turns()
                times.add(connection.timeout_at_us)
            assert len(times) == 1 and connection.state is (State.PARTIAL if known else State.NEW)
            connection.timeout_at_us = 0
            door.clients.sweep()
            assert await peer.hear_all() == b"-ERR timed out\r\n"

    run(job())


def test_many_answers_leave_in_one_write_and_whole() -> None:
    """Answers behind a slow one: those that are ready leave together, in order, before a close too."""

    async def job() -> None:
        body = b"x" * 60_000
        backend = Backend(lambda words: None if words[2] == b"a0" else value(words[2] + body))
        async with front_door(backend) as (door, address):
            peer, count = Peer.dial(address), 5
            peer.say(b"".join(query(f"a{number}") for number in range(count)) + b"?")
            await until(lambda: len(backend.commands) == count)
            (connection,) = door.clients.connections
            await until(lambda: sum(reply.data is not None for reply in connection.replies) == count)
            slow = [words[2] for words in backend.commands].index(b"a0")
            writes: list[bytes] = []
            write = connection.transport.write

            class Noted:
                """The transport, with what is written noted."""

                def __getattr__(self, name: str) -> object:
                    return getattr(write.__self__, name)

                def write(self, data: bytes) -> None:
                    writes.append(data)
                    write(data)

            connection.transport = Noted()
            backend.writers[slow].write(value(b"first"))
            heard = await peer.hear_all()
            assert writes == [heard]
            wanted = [b"first", *(b"a%d" % number + body for number in range(1, count))]
            answers = b"".join(b"$%d\r\n%b\r\n" % (len(each), each) for each in wanted)
            assert heard == answers + b"-ERR Protocol error: expected '*'\r\n"

    run(job())


def test_flood_of_pipelined_commands_keeps_memory_bounded() -> None:
    """Its sender is held back by its own connection, and others are heard."""

    async def job() -> None:
        door_most = 0
        async with front_door(Backend(lambda words: None)) as (door, address):
            peer = Peer.dial(address)
            await until(lambda: len(door.clients.connections) == 1)
            (connection,) = door.clients.connections
            flood = b"".join(submit(f"a{number}", body=b"x" * 4000) for number in range(2000))
            sending = asyncio.create_task(asyncio.get_running_loop().sock_sendall(peer.socket, flood))
            other = await Client.open(address)
            for _ in range(20):
                assert await other.ask(resp("PING")) == b"PONG"
                door_most = max(door_most, connection.buffered_bytes())
            await until(lambda: not connection.is_reading)
            assert max(door_most, connection.buffered_bytes()) <= 3 * listener.READ_BYTES
            assert len(door.requests.open) <= clients.MAX_PIPELINED
            sending.cancel()
            await turns()

    run(job())


def test_spare_sockets_are_within_those_of_clients() -> None:
    async def job() -> None:
        door = Proxy(replace(CONFIG, sockets=1000))
        assert door.clients.max_sockets + door.backends.max_connections <= 1000
        assert door.clients.max_sockets > listener.MAX_CLOSING_RESERVE
        door.close()

    run(job())
