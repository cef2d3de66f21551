"""Requests that may have been executed are not executed again when they come again under the same id."""

import asyncio

import pytest

from molereach.proxy import executed_requests
from molereach.proxy.executed_requests import ExecutedRequests
from tests.races.scripted_peers import Peer, wait_until
from tests.sockets import CLASSES, Backend, Client, front_door, query, run, submit, value

IN_USE = "-ERR this id is in use"
READ, BOOK, SETTLE = range(3)  # indices of `CLASSES`


@pytest.mark.parametrize("class_name", ["settle", "book"])
@pytest.mark.parametrize("is_closed", [True, False])
def test_request_whose_client_left_is_not_executed_again(class_name: str, is_closed: bool) -> None:
    """Guards against a second effect: the id came again on a new connection after its client had left."""

    async def job() -> None:
        backend = Backend(lambda words: None)
        async with front_door(backend) as (proxy, address):
            peer = Peer.connect(address)
            peer.send(submit("a1", class_name))
            await backend.command_received.wait()
            (peer.close if is_closed else peer.reset)()
            await wait_until(lambda: not proxy.requests.open and not proxy.requests.answered)
            client = await Client.open(address)
            assert await client.ask(submit("a1", class_name)) == IN_USE
            assert len(backend.commands) == 1

    run(job())


def test_request_that_was_served_is_not_executed_again() -> None:
    async def job() -> None:
        backend = Backend()
        async with front_door(backend) as (_, address):
            client = await Client.open(address)
            assert await client.ask(submit("a1")) == b"ok"
            assert await client.ask(submit("a1")) == IN_USE
            assert await client.ask(submit("a2")) == b"ok"
            assert len(backend.commands) == 2

    run(job())


def test_request_that_was_not_executed_may_come_again() -> None:
    """The backend rejects all attempts of the first one, and executes the second."""

    async def job() -> None:
        is_full = True
        backend = Backend(lambda words: b"-BUSY\r\n" if is_full else value(b"ok"))
        async with front_door(backend) as (_, address):
            client = await Client.open(address)
            assert str(await client.ask(submit("a1"))).startswith("-BUSY")
            is_full = False
            answer: object = "-BUSY"
            while str(answer).startswith("-BUSY"):  # the backend is avoided for a while
                answer = await client.ask(submit("a1"))
                await asyncio.sleep(0.01)
            assert answer == b"ok"

    run(job())


def test_idempotent_request_may_be_executed_again() -> None:
    async def job() -> None:
        backend = Backend()
        async with front_door(backend) as (_, address):
            client = await Client.open(address)
            assert [await client.ask(query("a1")) for _ in range(2)] == [b"ok", b"ok"]

    run(job())


def test_ids_are_remembered_for_as_long_as_a_client_may_wait() -> None:
    executed = ExecutedRequests(CLASSES)
    assert executed.retention_us == 2 * max(each.deadline_us for each in CLASSES)
    executed.record(1_000, "a1", SETTLE)
    executed.record(1_000, "a2", READ)
    assert executed.contains(executed.retention_us + 999, "a1")
    assert not executed.contains(executed.retention_us + 1_000, "a1")
    assert not executed.contains(1_000, "a2")
    executed.record(executed.retention_us + 1_000, "a3", BOOK)
    assert list(executed.forgotten_at_us) == ["a3"]


def test_number_of_remembered_ids_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(executed_requests, "MAX_REQUESTS", 3)
    executed = ExecutedRequests(CLASSES)
    for number in range(9):
        executed.record(number, f"a{number}", SETTLE)
    executed.record(9, "a7", SETTLE)
    assert list(executed.forgotten_at_us) == ["a6", "a8", "a7"]
