"""Client connections: order of replies, limits and timeouts, and arbitrary input."""

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


def test_replies_are_sent_in_the_order_of_the_commands() -> None:
    async def scenario() -> None:
        backend = Backend(lambda arguments: None if arguments[2] == b"a1" else value(arguments[2]))
        async with front_door(backend) as (_, address):
            client = await Client.open(address)
            client.send(query("a1") + resp("PING") + query("a2") + resp("WHAT"))
            while len(backend.commands) < 2:
                backend.command_received.clear()
                await backend.command_received.wait()
            delayed = next(n for n, arguments in enumerate(backend.commands) if arguments[2] == b"a1")
            backend.writers[delayed].write(value(b"a1"))
            answers = [await client.answer() for _ in range(4)]
            assert answers == [b"a1", b"PONG", b"a2", "-ERR unknown command"]

    run(scenario())


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
def test_malformed_resp_gets_an_error_and_a_close(data: bytes) -> None:
    async def scenario() -> None:
        backend = Backend()
        async with front_door(backend) as (_, address):
            client = await Client.open(address)
            assert str(await client.ask(data)).startswith("-ERR Protocol error")
            assert await client.ended()
            other = await Client.open(address)
            assert await other.ask(query("a1")) == b"ok"
            assert len(backend.commands) == 1

    run(scenario())


FIELDS = "c=read,t=team,d=500"


@pytest.mark.parametrize(
    "arguments",
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
def test_invalid_command_gets_an_error_and_the_connection_stays_open(arguments: tuple[str, ...]) -> None:
    async def scenario() -> None:
        backend = Backend()
        async with front_door(backend) as (_, address):
            client = await Client.open(address)
            assert str(await client.ask(resp(*arguments))).startswith("-ERR ")
            assert await client.ask(resp("PING")) == b"PONG"
            assert backend.commands == []

    run(scenario())


def test_connections_are_evicted_in_order_at_the_limit(monkeypatch: pytest.MonkeyPatch) -> None:
    """The order is: no complete command, only PING, longest idle. The last applies after the minimum time."""

    async def scenario() -> None:
        is_silent = asyncio.Event()
        backend = Backend(lambda arguments: None if is_silent.is_set() else value(b"ok"))
        async with front_door(backend) as (door, address):
            door.clients.max_sockets = 3
            first, second = await Client.open(address), await Client.open(address)
            assert await first.ask(query("a")) == b"ok"
            assert await second.ask(query("b")) == b"ok"
            silent_client = await Client.open(address)
            ping_client = await Client.open(address)
            assert await silent_client.ended()
            assert await ping_client.ask(resp("PING")) == b"PONG"
            third = await Client.open(address)
            assert await ping_client.ended()
            assert await third.ask(query("c")) == b"ok"
            rejected = await Client.open(address)  # the others have not been idle for the minimum time
            assert await rejected.answer() == "-ERR max number of clients reached"
            assert await rejected.ended()
            for connection in door.clients.eviction_queues.by_state[connection_state.State.IDLE]:
                connection.state_entered_us -= connection_state.MIN_IDLE_US
            fourth = await Client.open(address)
            assert await fourth.ask(resp("PING")) == b"PONG"
            assert await first.ended()
            is_silent.set()
            for number, client in enumerate((second, third, fourth)):
                client.send(query(f"a{number}"))
            while len(door.requests.open) < 3:
                await asyncio.sleep(0)
            rejected = await Client.open(address)  # no connection is idle
            assert await rejected.answer() == "-ERR max number of clients reached"
            assert await rejected.ended()

    run(scenario())


def test_burst_of_connections_stays_within_the_socket_limit() -> None:
    """Accepted sockets count until they are closed; an event loop's server would accept all waiting ones."""

    async def scenario() -> None:
        async with front_door() as (door, address):
            door.clients.max_sockets, max_count = 20, 0
            attach = door.clients.attach

            def attach_and_count(accepted: socket.socket) -> object:
                nonlocal max_count
                max_count = max(max_count, door.clients.socket_count)
                return attach(accepted)

            door.clients.attach = attach_and_count
            with contextlib.ExitStack() as stack:
                for _ in range(300):
                    burst = stack.enter_context(socket.socket())
                    burst.setblocking(False)
                    burst.connect_ex(address)
                client = await Client.open(address)
                assert await client.ask(resp("PING")) == b"PONG"
            assert 20 <= max_count <= 21

    run(scenario())


def test_buffered_bytes_of_all_clients_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(listener, "SWEEP_INTERVAL_S", 0.01)

    async def scenario() -> None:
        async with front_door() as (door, address):
            door.clients.max_buffered_bytes = 100_000
            small_client = await Client.open(address)
            assert await small_client.ask(resp("PING")) == b"PONG"
            large_clients = [await Client.open(address) for _ in range(2)]
            for client in large_clients:
                client.send(b"*1\r\n$60000\r\n" + b"x" * 59_000)
            while len(door.clients.connections) == 3:
                await asyncio.sleep(0)
            assert len(door.clients.connections) == 2
            assert await small_client.ask(resp("PING")) == b"PONG"

    run(scenario())


def test_open_requests_are_bounded_by_memory() -> None:
    async def scenario() -> None:
        async with front_door(Backend(lambda arguments: None), memory_mb=1) as (door, address):
            open_clients = [
                await Client.open(address) for _ in range(4)
            ]  # kept referenced, to stay connected
            for number, client in enumerate(open_clients):
                client.send(b"".join(query(f"a{number}x{other}") for other in range(16)))
            last = await Client.open(address)
            while len(door.requests.open) < 30:
                await asyncio.sleep(0)
            while (answer := await last.ask(query(f"b{len(door.requests.open)}", wait_ms=10))) == "-BUSY 750":
                pass
            assert answer == "-ERR too many requests are open"
            assert door.requests.open_bytes < (1 << 20) // 8 + 5000

    run(scenario())


def test_hundreds_of_pipelined_commands_are_bounded_and_served_in_order() -> None:
    async def scenario() -> None:
        max_open = 0

        def answer(arguments: list[bytes]) -> bytes:
            nonlocal max_open
            max_open = max(max_open, len(door.requests.open))
            return value(arguments[2])

        backend = Backend(answer)
        async with front_door(backend) as (door, address):
            client = await Client.open(address)
            request_ids = [f"a{number}" for number in range(300)]
            client.send(b"".join(query(request_id) for request_id in request_ids) + resp("PING") * 300)
            assert [await client.answer() for _ in request_ids] == [
                request_id.encode() for request_id in request_ids
            ]
            assert [await client.answer() for _ in request_ids] == [b"PONG"] * 300
            assert 1 < max_open <= clients.MAX_PIPELINED

    run(scenario())


def test_consecutive_invalid_commands_end_the_connection() -> None:
    async def scenario() -> None:
        async with front_door() as (_, address):
            client = await Client.open(address)
            client.send(resp("WHAT") * 1000)
            for _ in range(clients.MAX_CONSECUTIVE_ERRORS):
                assert await client.answer() == "-ERR unknown command"
            assert await client.answer() == "-ERR too many wrong commands"
            assert await client.ended()

    run(scenario())


def test_internal_error_fails_the_pending_requests_of_the_connection(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def scenario() -> None:
        backend = Backend(lambda arguments: None)
        async with front_door(backend) as (door, address):
            client = await Client.open(address)
            client.send(query("a1"))
            await backend.command_received.wait()

            def fail(arguments: list[bytes], reply: object) -> None:
                raise RuntimeError("an error of the test")

            door.handle_command = fail
            client.send(query("a2"))
            answers = [await client.answer() for _ in range(3)]
            assert answers == ["-ERR failed", "-ERR failed", "-ERR internal error"]
            assert await client.ended()
            assert not door.requests.open

    run(scenario())
    assert "an error of the test" in caplog.text


def test_commands_behind_an_internal_error_are_answered_before_the_close() -> None:
    async def scenario() -> None:
        async with front_door(Backend()) as (door, address):

            def fail(arguments: list[bytes], reply: object) -> None:
                raise RuntimeError("an error of the test")

            door.handle_command = fail
            client = await Client.open(address)
            count = 3 * clients.MAX_PIPELINED
            client.send(b"".join(query(f"a{number}") for number in range(count)))
            assert [await client.answer() for _ in range(count)] == ["-ERR failed"] * count
            assert await client.answer() == "-ERR internal error"
            assert await client.ended()

    run(scenario())


ARGUMENTS = st.lists(st.binary(max_size=40), min_size=1, max_size=6)


@given(st.lists(ARGUMENTS, max_size=4), st.lists(st.integers(0, 400), max_size=6))
def test_commands_do_not_depend_on_how_the_data_is_split(
    commands: list[list[bytes]], cuts: list[int]
) -> None:
    data, reader, parsed = b"".join(resp(*arguments) for arguments in commands), CommandReader(), []
    boundaries = [0, *sorted(min(cut, len(data)) for cut in cuts), len(data)]
    for start, end in pairwise(boundaries):
        reader.feed(data[start:end])
        while arguments := reader.next():
            parsed.append(arguments)
    assert parsed == commands
    assert reader.buffer == b""


CHUNKS = st.one_of(st.binary(max_size=20), st.sampled_from([b"*2\r\n", b"$3\r\nabc\r\n", b"$0\r\n\r\n"]))


@given(st.lists(CHUNKS))
def test_arbitrary_data_is_a_command_or_a_protocol_error(chunks: list[bytes]) -> None:
    reader = CommandReader()
    try:
        for chunk in chunks:
            reader.feed(chunk)
            while arguments := reader.next():
                assert arguments
    except ProtocolError:
        pass
    assert len(reader.buffer) <= sum(map(len, chunks))


def test_client_timeout_may_exceed_the_deadline_of_the_class() -> None:
    fields = b"c=read,t=team,d=6200"  # the deadline is 6 s
    command = PARSER.parse([b"SVC.QUERY", CUSTOMER.encode(), b"a1", fields], 25_000)
    assert command.request.remaining_us == 6_175_000


FIELD_TEXTS = ["read", "book", "team", "500", "", "=", "-1", "²"]
FIELD = st.tuples(st.sampled_from("ctdkrx"), st.sampled_from(FIELD_TEXTS))


@given(st.sampled_from([b"SVC.QUERY", b"SVC.SUBMIT"]), st.lists(FIELD, max_size=6), st.booleans())
def test_arbitrary_fields_are_accepted_or_rejected(
    name: bytes, fields: list[tuple[str, str]], has_value: bool
) -> None:
    text = ",".join(f"{key}={text}" for key, text in fields)
    arguments = [name, CUSTOMER.encode(), b"a1", text.encode(), *[b"B"] * has_value]
    try:
        command = PARSER.parse(arguments, 0)
    except CommandError:
        return
    assert command.request.remaining_us == 500_000
    assert text.replace("d=500", "d=7") in command.payload(7_000).decode()
