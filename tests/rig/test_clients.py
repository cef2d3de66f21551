"""Client connections: which unexpected answers count as faults of a front door."""

import asyncio

import pytest

from rig.clients import encode, retry_after_us
from rig.door_pool import ClientConnection, LostError
from rig.facts import Extra, Fact


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


def test_retry_delay_of_a_refusal_is_parsed() -> None:
    assert [retry_after_us(text) for text in ("BUSY 250", "BUSY", "BUSY -1", "BUSY x")] == [250_000, 0, 0, 0]
