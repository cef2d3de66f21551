"""Client connections: which unexpected answers count as faults of a front door."""

import asyncio

import pytest

from rig.clients import encode, retry_after_us
from rig.door_pool import MAX_IDLE_US, ClientConnection, DoorPool, LostError
from rig.facts import Extra, Fact
from rig.final_poll import LateCounts


class Transport(asyncio.Transport):
    """Records all written data."""

    def __init__(self) -> None:
        super().__init__()
        self.written: list[bytes] = []

    def write(self, data: object) -> None:
        assert isinstance(data, bytes)
        self.written.append(data)

    def abort(self) -> None:
        self.written.append(b"aborted")


def connected() -> tuple[ClientConnection, list[Fact], Transport]:
    facts: list[Fact] = []
    connection, transport = ClientConnection("n0", facts), Transport()
    connection.connection_made(transport)
    return connection, facts, transport


def test_answer_completes_the_request_and_a_second_one_is_a_fact() -> None:
    async def run() -> None:
        connection, facts, transport = connected()
        waiter = connection.ask(encode([b"PING"]))
        connection.data_received(b"$2\r\no")
        assert not waiter.done() and transport.written == [b"*1\r\n$4\r\nPING\r\n"]
        connection.data_received(b"k\r\n-BUSY 7\r\n")
        assert await waiter == b"ok"
        assert [type(fact) for fact in facts] == [Extra]

    asyncio.run(run())


@pytest.mark.parametrize("departure_recorded", [False, True])
def test_answer_to_a_departing_client_is_no_fault(departure_recorded: bool) -> None:
    async def run() -> None:
        connection, facts, _ = connected()
        connection.ask(b"").cancel()
        connection.departed = departure_recorded  # false if the client's task has not run yet
        connection.data_received(b"$2\r\nok\r\n")
        assert not facts

    asyncio.run(run())


def test_unreadable_answer_is_a_fact_and_ends_the_connection() -> None:
    async def run() -> None:
        connection, facts, transport = connected()
        waiter = connection.ask(b"")
        connection.data_received(b"what?\r\n")
        assert [type(fact) for fact in facts] == [Extra] and transport.written[-1] == b"aborted"
        connection.connection_lost(None)
        with pytest.raises(LostError):
            await waiter

    asyncio.run(run())


def test_error_on_a_connection_without_a_request_is_a_fault_unless_the_client_was_late() -> None:
    """A front door closes connections that send nothing for 2 s, and says why."""
    for age_us, reply, is_fault in (
        (0, b"-ERR timed out\r\n", True),
        (MAX_IDLE_US + 1_000, b"-ERR timed out\r\n", False),
        (MAX_IDLE_US + 1_000, b"$2\r\nok\r\n", True),
    ):
        connection, facts, _ = connected()
        connection.created_us -= age_us
        connection.data_received(reply)
        assert [type(fact) for fact in facts] == [Extra] * is_fault


def test_connection_that_was_established_too_long_ago_is_replaced(monkeypatch: pytest.MonkeyPatch) -> None:
    """The test bed read late that it was established: the front door may be about to close it."""
    opened: list[ClientConnection] = []

    async def connect(self: DoorPool) -> ClientConnection:
        connection, _, _ = connected()
        connection.created_us -= 0 if opened else MAX_IDLE_US + 1_000
        opened.append(connection)
        return connection

    monkeypatch.setattr(DoorPool, "connect", connect)
    pool = DoorPool("n0", ("127.0.0.1", 1), [], LateCounts())
    assert asyncio.run(pool.acquire()) is opened[1]
    transport = opened[0].transport
    assert isinstance(transport, Transport) and transport.written == [b"aborted"]


def test_new_connection_that_the_front_door_closes_at_once_is_lost(monkeypatch: pytest.MonkeyPatch) -> None:
    async def connect(self: DoorPool) -> ClientConnection:
        connection, _, _ = connected()
        connection.connection_lost(None)
        return connection

    monkeypatch.setattr(DoorPool, "connect", connect)
    with pytest.raises(LostError):
        asyncio.run(DoorPool("n0", ("127.0.0.1", 1), [], LateCounts()).acquire())


def test_retry_delay_of_a_refusal_is_parsed() -> None:
    assert [retry_after_us(text) for text in ("BUSY 250", "BUSY", "BUSY -1", "BUSY x")] == [250_000, 0, 0, 0]
