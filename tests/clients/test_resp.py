"""Client connections: order, bounds, and whatever a client may send."""

import asyncio
import contextlib
import socket
from itertools import pairwise

import pytest
from hypothesis import given
from hypothesis import strategies as st

from molereach.clients import connection_state, listener
from molereach.clients import resp as clients
from molereach.clients.commands import CommandParser
from molereach.clients.requests import CommandError
from molereach.resp import CommandReader, ProtocolError
from tests.sockets import CONFIG, CUSTOMER, Backend, Client, front_door, query, resp, run, value

PARSER = CommandParser(CONFIG)


def test_answers_come_in_the_order_of_the_commands() -> None:
    async def job() -> None:
        backend = Backend(lambda words: None if words[2] == b"a1" else value(words[2]))
        async with front_door(backend) as (_, address):
            client = await Client.open(address)
            client.send(query("a1") + resp("PING") + query("a2") + resp("WHAT"))
            while len(backend.commands) < 2:
                backend.command_received.clear()
                await backend.command_received.wait()
            slow = next(n for n, words in enumerate(backend.commands) if words[2] == b"a1")
            backend.writers[slow].write(value(b"a1"))
            answers = [await client.answer() for _ in range(4)]
            assert answers == [b"a1", b"PONG", b"a2", "-ERR unknown command"]

    run(job())


@pytest.mark.parametrize(
    "data",
    [
        b"PING\r\n",
        b"*1\r\n:1\r\n",
        b"*2\r\n*100000000\r\n",
        b"*100000000\r\n",
        b"$4\r\nPING\r\n",
        b"*x\r\n",
        b"*-1\r\n",
        b"*0\r\n" * 1000,
        b"*1\r\n$-1\r\n",
        b"*2\r\n$40000\r\n" + b"x" * 40000 + b"\r\n$40000\r\n",
        b"*1\r\n$70000\r\n",
        b"*1\r\n$1\r\nab\r\n",
        b"*1\r\n$" + b"1" * 40,
        b"\x16\x03\x01\x02\x00",
    ],
)
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


@pytest.mark.parametrize(
    "words",
    [
        ("GET", "x"),
        ("svc.query", CUSTOMER, "a", FIELDS),
        ("SVC.QUERY",),
        ("SVC.QUERY", CUSTOMER, "a"),
        ("SVC.QUERY", CUSTOMER, "a", FIELDS, "BODY"),
        ("SVC.SUBMIT", CUSTOMER, "a", "c=settle,t=team,d=500"),
        ("SVC.QUERY", "b4d65521", "a", FIELDS),
        ("SVC.QUERY", "0" * 15 + "g", "a", FIELDS),
        ("SVC.QUERY", "f" * 16, "a", FIELDS),
        ("SVC.QUERY", CUSTOMER, "", FIELDS),
        ("SVC.QUERY", CUSTOMER, "a b", FIELDS),
        ("SVC.QUERY", CUSTOMER, "a", ""),
        ("SVC.QUERY", CUSTOMER, "a", "c=what,t=team,d=500"),
        ("SVC.QUERY", CUSTOMER, "a", "c=read,t=what,d=500"),
        ("SVC.QUERY", CUSTOMER, "a", "c=read,t=team"),
        ("SVC.QUERY", CUSTOMER, "a", "c=read,t=team,d=-5"),
        ("SVC.QUERY", CUSTOMER, "a", "c=read,t=team,d=1e3"),
        ("SVC.QUERY", CUSTOMER, "a", "c=settle,t=team,d=500"),
        ("SVC.SUBMIT", CUSTOMER, "a", FIELDS, "B"),
        ("SVC.SUBMIT", CUSTOMER, "a", "c=book,t=team,d=500", "B"),
        ("SVC.QUERY", CUSTOMER, "a", FIELDS + ",units=nan"),
        ("SVC.QUERY", CUSTOMER, "a", FIELDS + ",units=0"),
        *[
            ("SVC.QUERY", CUSTOMER, "a", FIELDS + f",units={units}")
            for units in ("-1", "inf", "1_0", " 1", "1e3", "x", "", "1001", "0x1", "1.", "+1")
        ],
        ("SVC.QUERY", CUSTOMER, "a", FIELDS + ",spread=1,first=1"),
        ("SVC.QUERY", CUSTOMER, "a", FIELDS + ",spread=0"),
        ("SVC.QUERY", CUSTOMER, "a", "c=read,t=team,d=86400000"),
        ("SVC.QUERY", CUSTOMER, "a", FIELDS + ",spread=3"),
        ("SVC.QUERY", CUSTOMER, "a", FIELDS + ",first=2"),
        ("SVC.QUERY", CUSTOMER, "a", FIELDS + ",d=900"),
        ("SVC.QUERY", CUSTOMER, "a", FIELDS + ",é=1"),
        ("SVC.QUERY", CUSTOMER, "a", FIELDS + ",odd"),
        ("PING", "a", "b"),
    ],
)
def test_wrong_command_is_an_error_and_the_connection_lives(words: tuple[str, ...]) -> None:
    async def job() -> None:
        backend = Backend()
        async with front_door(backend) as (_, address):
            client = await Client.open(address)
            assert str(await client.ask(resp(*words))).startswith("-ERR ")
            assert await client.ask(resp("PING")) == b"PONG"
            assert backend.commands == []

    run(job())


def test_full_front_door_closes_those_of_least_use(monkeypatch: pytest.MonkeyPatch) -> None:
    """First who never sent a whole command, then who only greeted, then who is idle for longest, but for
    the least time of those that have asked."""

    async def job() -> None:
        held = asyncio.Event()
        backend = Backend(lambda words: None if held.is_set() else value(b"ok"))
        async with front_door(backend) as (door, address):
            door.clients.max_sockets = 3
            first, second = await Client.open(address), await Client.open(address)
            assert await first.ask(query("a")) == b"ok"
            assert await second.ask(query("b")) == b"ok"
            silent = await Client.open(address)
            greeter = await Client.open(address)
            assert await silent.ended()
            assert await greeter.ask(resp("PING")) == b"PONG"
            third = await Client.open(address)
            assert await greeter.ended()
            assert await third.ask(query("c")) == b"ok"
            early = await Client.open(address)  # the others have not been idle for long enough
            assert await early.answer() == "-ERR max number of clients reached"
            assert await early.ended()
            for connection in door.clients.evictable.by_state[connection_state.State.IDLE]:
                connection.since_us -= connection_state.MIN_IDLE_US
            fourth = await Client.open(address)
            assert await fourth.ask(resp("PING")) == b"PONG"
            assert await first.ended()
            held.set()
            for number, client in enumerate((second, third, fourth)):
                client.send(query(f"a{number}"))
            while len(door.requests.open) < 3:
                await asyncio.sleep(0)
            late = await Client.open(address)  # nobody is idle
            assert await late.answer() == "-ERR max number of clients reached"
            assert await late.ended()

    run(job())


def test_burst_of_connections_stays_within_the_bound() -> None:
    """Also an accepted socket counts until it is closed; a server of the loop's accepts all that wait."""

    async def job() -> None:
        async with front_door() as (door, address):
            door.clients.max_sockets, most = 20, 0
            attach = door.clients.attach

            def counted(accepted: socket.socket) -> object:
                nonlocal most
                most = max(most, door.clients.sockets)
                return attach(accepted)

            door.clients.attach = counted
            with contextlib.ExitStack() as stack:
                for _ in range(300):
                    burst = stack.enter_context(socket.socket())
                    burst.setblocking(False)
                    burst.connect_ex(address)
                client = await Client.open(address)
                assert await client.ask(resp("PING")) == b"PONG"
            assert 20 <= most <= 21

    run(job())


TEST_US = 500_000  # short, and yet longer than a slow machine takes to answer


def hurry(monkeypatch: pytest.MonkeyPatch, name: str) -> None:
    """Make one of the times short."""
    monkeypatch.setattr(listener, "SWEEP_S", 0.01)
    monkeypatch.setattr(connection_state, name, TEST_US)
    monkeypatch.setitem(
        connection_state.TIMEOUTS_US, connection_state.State.GREETED, connection_state.IDLE_TIMEOUT_US
    )
    states = {
        "FIRST_COMMAND_TIMEOUT_US": connection_state.State.NEW,
        "IDLE_TIMEOUT_US": connection_state.State.IDLE,
        "COMMAND_TIMEOUT_US": connection_state.State.PARTIAL,
        "WRITE_TIMEOUT_US": connection_state.State.CLOGGED,
        "LINGER_TIMEOUT_US": connection_state.State.CLOSING,
    }
    if name in states:
        monkeypatch.setitem(connection_state.TIMEOUTS_US, states[name], TEST_US)


@pytest.mark.parametrize(
    ("name", "data", "answers"),
    [
        ("FIRST_COMMAND_TIMEOUT_US", b"", 0),
        ("FIRST_COMMAND_TIMEOUT_US", b"*4\r\n$9\r\nSVC.", 0),
        ("FIRST_COMMAND_TIMEOUT_US", resp("WHAT"), 1),
        ("COMMAND_TIMEOUT_US", resp("PING") + b"*4\r\n$9\r\nSVC.", 1),
        ("IDLE_TIMEOUT_US", resp("PING"), 1),
    ],
)
def test_connection_that_is_of_no_use_ends(
    monkeypatch: pytest.MonkeyPatch, name: str, data: bytes, answers: int
) -> None:
    hurry(monkeypatch, name)

    async def job() -> None:
        async with front_door() as (_, address):
            client = await Client.open(address)
            client.send(data)
            for _ in range(answers):
                await client.answer()
            if name == "IDLE_TIMEOUT_US":
                assert await client.ended()
            else:
                assert await client.answer() == "-ERR timed out"
                assert await client.ended()

    run(job())


def test_times_keep_the_protocol() -> None:
    sweep_us = listener.SWEEP_S * 1e6
    assert 2_000_000 < connection_state.FIRST_COMMAND_TIMEOUT_US < 3_000_000 - 2 * sweep_us
    assert connection_state.COMMAND_TIMEOUT_US + 2 * sweep_us < 3_000_000
    assert connection_state.WRITE_TIMEOUT_US + 2 * sweep_us < 3_000_000
    assert min(connection_state.IDLE_TIMEOUT_US, connection_state.MIN_IDLE_US) > 2_000_000


def test_answers_that_nobody_reads_end_the_connection(monkeypatch: pytest.MonkeyPatch) -> None:
    hurry(monkeypatch, "WRITE_TIMEOUT_US")

    async def job() -> None:
        body = b"x" * 65536
        async with front_door(Backend(lambda words: value(body))) as (door, address):
            with socket.socket() as deaf:
                deaf.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
                deaf.connect(address)
                deaf.setblocking(False)
                loop = asyncio.get_running_loop()
                with contextlib.suppress(OSError):
                    for number in range(200):
                        await loop.sock_sendall(deaf, query(f"a{number}"))
                while not door.clients.connections:
                    await asyncio.sleep(0)
                assert await door.clients.wait_closed(20)

    run(job())


def test_close_is_bounded_where_the_client_reads_nothing_and_sends_on(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    hurry(monkeypatch, "LINGER_TIMEOUT_US")

    async def job() -> None:
        async with front_door() as (door, address):
            client = await Client.open(address)
            client.send(b"*1\r\n$60000000\r\n" + b"x" * (4 << 20))
            assert await client.answer() == "-ERR Protocol error: too long"
            (connection,) = door.clients.connections
            read = len(connection.reader.buffer)
            assert await client.ended()
            assert read <= listener.READ_BYTES  # nothing was taken in behind the head
            assert await door.clients.wait_closed(20)

    run(job())


def test_bytes_that_wait_are_bounded_over_all_clients(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(listener, "SWEEP_S", 0.01)

    async def job() -> None:
        async with front_door() as (door, address):
            door.clients.max_buffered_bytes = 100_000
            small = await Client.open(address)
            assert await small.ask(resp("PING")) == b"PONG"
            large = [await Client.open(address) for _ in range(2)]
            for client in large:
                client.send(b"*1\r\n$60000\r\n" + b"x" * 59_000)
            while len(door.clients.connections) == 3:
                await asyncio.sleep(0)
            assert len(door.clients.connections) == 2
            assert await small.ask(resp("PING")) == b"PONG"

    run(job())


def test_open_requests_are_bounded_by_the_memory() -> None:
    async def job() -> None:
        async with front_door(Backend(lambda words: None), memory_mb=1) as (door, address):
            asking = [await Client.open(address) for _ in range(4)]  # kept: one that is let go of has left
            for number, client in enumerate(asking):
                client.send(b"".join(query(f"a{number}x{other}") for other in range(16)))
            last = await Client.open(address)
            while len(door.requests.open) < 30:
                await asyncio.sleep(0)
            while (answer := await last.ask(query(f"b{len(door.requests.open)}", wait_ms=10))) == "-BUSY 750":
                pass
            assert answer == "-ERR too many requests are open"
            assert door.requests.open_bytes < (1 << 20) // 8 + 5000

    run(job())


def test_hundreds_of_commands_at_once_are_bounded_and_served_in_order() -> None:
    async def job() -> None:
        most = 0

        def answer(words: list[bytes]) -> bytes:
            nonlocal most
            most = max(most, len(door.requests.open))
            return value(words[2])

        backend = Backend(answer)
        async with front_door(backend) as (door, address):
            client = await Client.open(address)
            names = [f"a{number}" for number in range(300)]
            client.send(b"".join(query(name) for name in names) + resp("PING") * 300)
            assert [await client.answer() for _ in names] == [name.encode() for name in names]
            assert [await client.answer() for _ in names] == [b"PONG"] * 300
            assert 1 < most <= clients.MAX_PIPELINED

    run(job())


def test_wrong_commands_in_a_row_end_the_connection() -> None:
    async def job() -> None:
        async with front_door() as (_, address):
            client = await Client.open(address)
            client.send(resp("WHAT") * 1000)
            for _ in range(clients.MAX_CONSECUTIVE_ERRORS):
                assert await client.answer() == "-ERR unknown command"
            assert await client.answer() == "-ERR too many wrong commands"
            assert await client.ended()

    run(job())


def test_fault_on_a_connection_answers_what_it_owes(caplog: pytest.LogCaptureFixture) -> None:
    async def job() -> None:
        backend = Backend(lambda words: None)
        async with front_door(backend) as (door, address):
            client = await Client.open(address)
            client.send(query("a1"))
            await backend.command_received.wait()

            def broken(words: list[bytes], reply: object) -> None:
                raise RuntimeError("a fault of ours")

            door.handle_command = broken
            client.send(query("a2"))
            answers = [await client.answer() for _ in range(3)]
            assert answers == ["-ERR failed", "-ERR failed", "-ERR internal error"]
            assert await client.ended()
            assert not door.requests.open

    run(job())
    assert "a fault of ours" in caplog.text


WORDS = st.lists(st.binary(max_size=40), min_size=1, max_size=6)


@given(st.lists(WORDS, max_size=4), st.lists(st.integers(0, 400), max_size=6))
def test_commands_are_the_same_however_cut(commands: list[list[bytes]], cuts: list[int]) -> None:
    data, reader, found = b"".join(resp(*words) for words in commands), CommandReader(), []
    places = [0, *sorted(min(cut, len(data)) for cut in cuts), len(data)]
    for start, end in pairwise(places):
        reader.feed(data[start:end])
        while words := reader.next():
            found.append(words)
    assert found == commands
    assert reader.buffer == b""


PIECES = st.one_of(st.binary(max_size=20), st.sampled_from([b"*2\r\n", b"$3\r\nabc\r\n", b"$0\r\n\r\n"]))


@given(st.lists(PIECES))
def test_whatever_comes_is_a_command_or_a_protocol_error(pieces: list[bytes]) -> None:
    reader = CommandReader()
    try:
        for piece in pieces:
            reader.feed(piece)
            while words := reader.next():
                assert words
    except ProtocolError:
        pass
    assert len(reader.buffer) <= sum(map(len, pieces))


def test_client_may_wait_for_a_little_longer_than_the_class() -> None:
    fields = b"c=read,t=team,d=6200"  # of 6 s
    command = PARSER.parse([b"SVC.QUERY", CUSTOMER.encode(), b"a1", fields], 25_000)
    assert command.request.remaining_us == 6_175_000


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
    assert command.request.remaining_us == 500_000
    assert text.replace("d=500", "d=7") in command.payload(7_000).decode()
