"""Client connections: order, bounds, and whatever a client may send."""

import asyncio
from itertools import pairwise

import pytest
from hypothesis import given
from hypothesis import strategies as st

from molereach.clients import CommandError, CommandParser, CommandReader, ProtocolError
from tests.sockets import CONFIG, CUSTOMER, Backend, Client, front_door, query, resp, run, value

PARSER = CommandParser(CONFIG)


def test_answers_come_in_the_order_of_the_commands() -> None:
    async def job() -> None:
        backend = Backend(lambda words: None if words[2] == b"a1" else value(words[2]))
        async with front_door(backend) as (_, address):
            client = await Client.open(address)
            client.send(query("a1") + resp("PING") + query("a2") + resp("WHAT"))
            while len(backend.commands) < 2:
                backend.came.clear()
                await backend.came.wait()
            slow = next(n for n, words in enumerate(backend.commands) if words[2] == b"a1")
            backend.writers[slow].write(value(b"a1"))
            answers = [await client.answer() for _ in range(4)]
            assert answers == [b"a1", b"PONG", b"a2", "-ERR unknown command"]

    run(job())


@pytest.mark.parametrize("data", [
    b"PING\r\n", b"*1\r\n:1\r\n", b"*2\r\n*100000000\r\n", b"*100000000\r\n", b"$4\r\nPING\r\n", b"*x\r\n",
    b"*-1\r\n", b"*1\r\n$70000\r\n", b"*1\r\n$1\r\nab\r\n", b"*1\r\n$" + b"1" * 40, b"\x16\x03\x01\x02\x00",
])
def test_malformed_resp_is_an_error_and_a_close(data: bytes) -> None:
    async def job() -> None:
        backend = Backend()
        async with front_door(backend) as (_, address):
            client = await Client.open(address)
            assert str(await client.ask(data)).startswith("-ERR Protocol error")
            assert await client.ended()
            other = await Client.open(address)
            assert await other.ask(query("a1")) == b"ok"
            assert len(backend.commands) == 1

    run(job())


FIELDS = "c=read,t=team,d=500"


@pytest.mark.parametrize("words", [
    ("GET", "x"), ("svc.query", CUSTOMER, "a", FIELDS), ("SVC.QUERY",), ("SVC.QUERY", CUSTOMER, "a"),
    ("SVC.QUERY", CUSTOMER, "a", FIELDS, "BODY"), ("SVC.SUBMIT", CUSTOMER, "a", "c=settle,t=team,d=500"),
    ("SVC.QUERY", "b4d65521", "a", FIELDS), ("SVC.QUERY", "0" * 15 + "g", "a", FIELDS),
    ("SVC.QUERY", "f" * 16, "a", FIELDS), ("SVC.QUERY", CUSTOMER, "", FIELDS),
    ("SVC.QUERY", CUSTOMER, "a b", FIELDS), ("SVC.QUERY", CUSTOMER, "a", ""),
    ("SVC.QUERY", CUSTOMER, "a", "c=what,t=team,d=500"), ("SVC.QUERY", CUSTOMER, "a", "c=read,t=what,d=500"),
    ("SVC.QUERY", CUSTOMER, "a", "c=read,t=team"), ("SVC.QUERY", CUSTOMER, "a", "c=read,t=team,d=-5"),
    ("SVC.QUERY", CUSTOMER, "a", "c=read,t=team,d=1e3"),
    ("SVC.QUERY", CUSTOMER, "a", "c=settle,t=team,d=500"),
    ("SVC.SUBMIT", CUSTOMER, "a", FIELDS, "B"), ("SVC.SUBMIT", CUSTOMER, "a", "c=book,t=team,d=500", "B"),
    ("SVC.QUERY", CUSTOMER, "a", FIELDS + ",units=nan"), ("SVC.QUERY", CUSTOMER, "a", FIELDS + ",units=0"),
    ("SVC.QUERY", CUSTOMER, "a", FIELDS + ",spread=3"), ("SVC.QUERY", CUSTOMER, "a", FIELDS + ",first=2"),
    ("SVC.QUERY", CUSTOMER, "a", FIELDS + ",d=900"), ("SVC.QUERY", CUSTOMER, "a", FIELDS + ",é=1"),
    ("SVC.QUERY", CUSTOMER, "a", FIELDS + ",odd"), ("PING", "a", "b"),
])
def test_wrong_command_is_an_error_and_the_connection_lives(words: tuple[str, ...]) -> None:
    async def job() -> None:
        backend = Backend()
        async with front_door(backend) as (_, address):
            client = await Client.open(address)
            assert str(await client.ask(resp(*words))).startswith("-ERR ")
            assert await client.ask(resp("PING")) == b"PONG"
            assert backend.commands == []

    run(job())


def test_clients_are_bounded_by_closing_the_one_idle_longest() -> None:
    async def job() -> None:
        async with front_door(Backend(lambda words: None)) as (door, address):
            door.clients.most = 2
            first, second = await Client.open(address), await Client.open(address)
            assert await first.ask(resp("PING")) == b"PONG"
            assert await second.ask(resp("PING")) == b"PONG"
            third = await Client.open(address)
            assert await third.ask(resp("PING")) == b"PONG"
            assert await first.ended()
            second.send(query("a1"))
            third.send(query("a2"))
            while len(door.open) < 2:
                await asyncio.sleep(0)
            fourth = await Client.open(address)  # nobody is idle: it cannot be taken
            assert await fourth.answer() == "-ERR max number of clients reached"
            assert await fourth.ended()

    run(job())


def test_fault_on_a_connection_answers_what_it_owes(caplog: pytest.LogCaptureFixture) -> None:
    async def job() -> None:
        backend = Backend(lambda words: None)
        async with front_door(backend) as (door, address):
            client = await Client.open(address)
            client.send(query("a1"))
            await backend.came.wait()

            def broken(words: list[bytes], reply: object) -> None:
                raise RuntimeError("a fault of ours")

            door.clients.take = broken
            client.send(query("a2"))
            answers = [await client.answer() for _ in range(3)]
            assert answers == ["-ERR failed", "-ERR failed", "-ERR internal error"]
            assert await client.ended()
            assert not door.open

    run(job())
    assert "a fault of ours" in caplog.text


WORDS = st.lists(st.binary(max_size=40), min_size=1, max_size=6)


@given(st.lists(WORDS, max_size=4), st.lists(st.integers(0, 400), max_size=6))
def test_commands_are_the_same_however_cut(commands: list[list[bytes]], cuts: list[int]) -> None:
    data, reader, found = b"".join(resp(*words) for words in commands), CommandReader(), []
    places = [0, *sorted(min(cut, len(data)) for cut in cuts), len(data)]
    for start, end in pairwise(places):
        found += reader.feed(data[start:end])
    assert found == commands
    assert reader.buffer == b""


PIECES = st.one_of(st.binary(max_size=20), st.sampled_from([b"*2\r\n", b"$3\r\nabc\r\n", b"$0\r\n\r\n"]))


@given(st.lists(PIECES))
def test_whatever_comes_is_a_command_or_a_protocol_error(pieces: list[bytes]) -> None:
    reader = CommandReader()
    try:
        for piece in pieces:
            assert all(reader.feed(piece))
    except ProtocolError:
        pass
    assert len(reader.buffer) <= sum(map(len, pieces))


TEXTS = ["read", "book", "team", "500", "", "=", "-1", "²"]
FIELD = st.tuples(st.sampled_from("ctdkrx"), st.sampled_from(TEXTS))


@given(st.sampled_from([b"SVC.QUERY", b"SVC.SUBMIT"]), st.lists(FIELD, max_size=6), st.booleans())
def test_whatever_the_fields_are_they_are_taken_or_an_error(
    name: bytes, fields: list[tuple[str, str]], body: bool
) -> None:
    text = ",".join(f"{key}={word}" for key, word in fields)
    words = [name, CUSTOMER.encode(), b"a1", text.encode(), *[b"B"] * body]
    try:
        command = PARSER.parse(words, 0)
    except CommandError:
        return
    assert command.request.left_us == 500_000
    assert text.replace("d=500", "d=7") in command.payload(7_000).decode()
