"""Delays of the listener: what they measure, and that a front door logs a stall of its event loop."""

import asyncio
import logging
import time

import pytest

from molereach.clients.delays import ListenerDelays
from tests.sockets import Backend, Client, front_door, query, run


def test_largest_delay_of_the_timer_is_kept() -> None:
    delays = ListenerDelays()
    assert delays.on_timer(5) == 0  # it was not set before
    delays.on_timer_set(1_000)
    assert delays.on_timer(251_000) == 250_000
    delays.on_timer_set(451_000)
    assert delays.on_timer(451_500) == 500
    delays.on_timer_set(700_000)
    assert delays.on_timer(699_000) == 0  # the loop may be early by up to a millisecond
    assert delays.max_loop_delay_us == 250_000


def test_longest_delays_are_described_in_milliseconds() -> None:
    delays = ListenerDelays(max_loop_delay_us=812_900)
    delays.on_first_read(9_000)
    delays.on_first_read(4_000)
    assert delays.describe() == "longest delays: event loop 812 ms, accept to first read 9 ms"


def test_stall_of_the_event_loop_is_logged_and_counted(caplog: pytest.LogCaptureFixture) -> None:
    async def job() -> None:
        async with front_door(Backend()) as (proxy, address):
            client = await Client.open(address)
            await asyncio.sleep(0.05)  # the connection is accepted, and nothing is read yet
            assert await client.ask(query("a1")) == b"ok"
            assert proxy.clients.delays.max_first_read_us >= 50_000
            first_read_us = proxy.clients.delays.max_first_read_us
            await asyncio.sleep(0.05)
            assert await client.ask(query("a2")) == b"ok"
            assert proxy.clients.delays.max_first_read_us == first_read_us  # of later reads it says nothing
            time.sleep(0.5)
            while not proxy.clients.delays.max_loop_delay_us > 150_000:
                await asyncio.sleep(0.01)

    with caplog.at_level(logging.WARNING):
        run(job())
    assert "event loop delayed by" in caplog.text
