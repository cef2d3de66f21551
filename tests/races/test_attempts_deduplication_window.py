"""A keyed request's further attempts against the end of its window, counted from when the first may have run.

Only the write counts: an attempt is decided in time, and its dial comes up, or its last byte goes, too late.
"""

import asyncio
import contextlib
import socket
from dataclasses import replace

import pytest

from molereach.clock import now_us
from molereach.policy.interface.settings import DeduplicationScope, Settings
from tests.races.scripted_peers import Dials, Machine, Peer, machine, narrow, until
from tests.sockets import CLASSES, SETTINGS, Client, front_door, run, submit

WINDOW_US = 150_000
LONG = b"x" * 65_000 + b"BODY"


def settings(**changes: object) -> Settings:
    keyed = replace(CLASSES[1], deduplication_window_us=WINDOW_US, **changes)
    return replace(SETTINGS, classes=(CLASSES[0], keyed, CLASSES[2]))


async def heard(peer: Peer) -> bytes:
    """All that comes, until an end of any kind."""
    data = b""
    with contextlib.suppress(ConnectionResetError):
        while more := await peer.hear():
            data += more
    return data


async def broken_after_the_last_byte(client: Client, held: Machine, **more: object) -> None:
    """The first attempt comes whole to the machine, and may have run there."""
    client.send(submit("a1", class_name="book", **more))
    peer = await held.accept()
    await peer.hear_until(b"BODY")
    peer.reset()


@pytest.mark.parametrize("group", [DeduplicationScope.ALL, DeduplicationScope.ZONE])
def test_dial_that_comes_up_after_the_window_carries_no_repeat(group: DeduplicationScope) -> None:
    async def job() -> None:
        with machine() as held:
            async with front_door(
                addresses=[held.address],
                settings=settings(deduplication_scope=group),
                connect_timeout_us=5_000_000,
            ) as (door, address):
                client = await Client.open(address)
                await broken_after_the_last_byte(client, held)
                with Dials() as dials:
                    await dials.came.wait()  # the repeat was decided within the window
                    await asyncio.sleep(WINDOW_US / 1e6)
                    dials.let_go()
                    peer = await held.accept()
                    assert await client.answer() == "-ERR failed"  # a next try would run again as well
                    assert peer.pending() == b"" and not door.requests.open and not door.requests.answered

    run(job())


class Standstill(Dials):
    """The loop stands still when a dial comes up, until that time: no timer runs before it is used."""

    until_us = 0

    async def hold(self, *args: object, **values: object) -> object:
        made = await super().hold(*args, **values)
        while now_us() < self.until_us:
            pass
        return made


def test_dial_and_window_that_end_in_one_turn_carry_no_repeat() -> None:
    async def job() -> None:
        with machine() as held:
            async with front_door(
                addresses=[held.address], settings=settings(), connect_timeout_us=5_000_000
            ) as (_, address):
                client = await Client.open(address)
                await broken_after_the_last_byte(client, held)
                with Standstill() as dials:
                    await dials.came.wait()
                    dials.until_us = now_us() + WINDOW_US
                    dials.let_go()
                    peer = await held.accept()
                    assert await client.answer() == "-ERR failed"
                    assert peer.pending() == b""

    run(job())


def test_repeat_that_is_written_in_part_when_the_window_ends_is_never_whole(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The machine reads on only after the window: what it had not taken by then never comes."""

    narrow(monkeypatch)

    async def job() -> None:
        with machine() as held:
            held.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
            async with front_door(
                addresses=[held.address], settings=settings(), connect_timeout_us=5_000_000
            ) as (door, address):
                client = await Client.open(address)
                await broken_after_the_last_byte(client, held, body=LONG)
                peer = await held.accept()
                attempt = next(iter(door.requests.open["a1"].in_flight.values()))
                await until(lambda: attempt.connection is not None)
                assert not attempt.is_written
                await asyncio.sleep(WINDOW_US / 1e6)
                assert not (await heard(peer)).endswith(b"BODY\r\n")
                assert await client.answer() == "-ERR failed"

    run(job())
