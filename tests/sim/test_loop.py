"""The simulated loop: time, order, nodes that are killed, stopped, slow or spin, and what it forbids."""

import asyncio
import contextlib
import os
import random
import socket
import threading
import time
from collections.abc import Callable

import pytest

from sim import loop as module
from sim import world
from sim.loop import START_US, SimLoop, SimulationError, node_here
from sim.network.network import Network
from sim.seam import simulated

S = 1_000_000


def run(job: Callable[[SimLoop], object], seed: int = 0, shuffle: bool = True) -> SimLoop:
    """Run `job(loop)`, a coroutine, to its end."""
    loop = SimLoop(seed, shuffle)
    loop.run_until_complete(job(loop))  # type: ignore[arg-type]
    return loop


def test_time_jumps_and_timers_come_in_order() -> None:
    seen: list[tuple[str, int]] = []

    async def job(loop: SimLoop) -> None:
        for name, delay in (("c", 7200.0), ("a", 0.000001), ("b", 3600.0)):
            loop.call_later(delay, lambda name=name: seen.append((name, loop.now_us - START_US)))
        loop.call_later(1.0, seen.append, ("never", 0)).cancel()
        await asyncio.sleep(7201.0)

    begun = time.perf_counter()
    run(job)
    assert seen == [("a", 1), ("b", 3600 * S), ("c", 7200 * S)] and time.perf_counter() - begun < 5


def test_equal_timers_take_every_order_and_a_seed_takes_one() -> None:
    def order(seed: int, shuffle: bool = True) -> tuple[int, ...]:
        seen: list[int] = []

        async def job(loop: SimLoop) -> None:
            for number in range(3):
                loop.call_later(1.0, seen.append, number)
            await asyncio.sleep(2.0)

        run(job, seed, shuffle)
        return tuple(seen)

    assert len({order(seed) for seed in range(60)}) == 6
    assert all(order(seed) == order(seed) for seed in range(10))
    assert {order(seed, shuffle=False) for seed in range(10)} == {(0, 1, 2)}


def test_call_soon_keeps_its_order() -> None:
    seen: list[int] = []

    async def job(loop: SimLoop) -> None:
        for number in range(50):
            loop.call_soon(seen.append, number)
        await asyncio.sleep(0)
        await asyncio.sleep(0)

    run(job, 3)
    assert seen == list(range(50))


def test_killed_node_runs_nothing_more() -> None:
    """Not its timers, not its tasks, not what ends them."""
    seen: list[str] = []

    async def life() -> None:
        try:
            asyncio.get_running_loop().call_later(2.0, seen.append, "timer")
            await asyncio.sleep(1.0)
            seen.append("before")
            await asyncio.sleep(5.0)
            seen.append("after")
        finally:
            seen.append("finally")

    async def job(loop: SimLoop) -> None:
        node = loop.new_node("n0")
        loop.spawn_in(node, life())
        await asyncio.sleep(1.5)
        loop.kill(node)
        await asyncio.sleep(10.0)
        assert seen == ["before"]

    run(job)


def test_stopped_node_goes_on_with_what_was_due() -> None:
    seen: list[int] = []

    async def life(loop: SimLoop) -> None:
        for _ in range(4):
            await asyncio.sleep(1.0)
            seen.append(loop.now_us - START_US)

    async def job(loop: SimLoop) -> None:
        node = loop.new_node("n0")
        loop.spawn_in(node, life(loop))
        await asyncio.sleep(1.5)
        loop.stop_node(node)
        await asyncio.sleep(10.0)
        assert seen == [1 * S]
        loop.continue_node(node)
        await asyncio.sleep(5.0)

    run(job)
    assert seen == [1 * S, 11_500_000, 12_500_000, 13_500_000]


def test_busy_node_is_late_and_keeps_its_order() -> None:
    seen: list[tuple[int, int]] = []

    async def life(loop: SimLoop) -> None:
        for number in range(5):
            loop.call_soon(lambda number=number: seen.append((number, loop.now_us - START_US)))

    async def job(loop: SimLoop) -> None:
        loop.spawn_in(loop.new_node("n0", cost_us=1000), life(loop))
        await asyncio.sleep(1.0)

    run(job)
    assert seen == [(number, (number + 1) * 1000) for number in range(5)]


def test_clocks_differ_by_node() -> None:
    found: dict[str, tuple[int, int]] = {}

    async def life(loop: SimLoop) -> None:
        node = node_here()
        assert node
        begun = loop.clock_us()
        await asyncio.sleep(10.0)
        found[node.name] = loop.clock_us() - begun, loop.wall_us() - module.EPOCH_US

    async def job(loop: SimLoop) -> None:
        for name, offset_us, rate in (("a", 0, 1.0), ("b", 5 * S, 1.0), ("c", -S, 2.0)):
            loop.spawn_in(loop.new_node(name, offset_us=offset_us, rate=rate), life(loop))
        await asyncio.sleep(20.0)

    run(job)
    assert found == {"a": (10 * S, 10 * S), "b": (10 * S, 15 * S), "c": (10 * S, 4 * S)}


def test_result_and_cancellation_in_one_moment_come_in_both_orders() -> None:
    def ends(seed: int) -> tuple[str, ...]:
        said: list[str] = []

        async def job(loop: SimLoop) -> None:
            future = loop.create_future()

            async def waits() -> str:
                return str(await future)

            def answer() -> None:
                said.append("result" if not future.done() else "too late")
                if not future.done():
                    future.set_result("result")

            task = loop.create_task(waits())
            loop.call_later(1.0, answer)
            loop.call_later(1.0, lambda: said.append("cancel") or task.cancel())
            with contextlib.suppress(asyncio.CancelledError):
                await task
            assert task.cancelled()  # also where it had just been given its result

        run(job, seed)
        return tuple(said)

    assert {ends(seed) for seed in range(20)} == {("result", "cancel"), ("cancel", "too late")}


def test_loop_that_spins_and_one_that_waits_for_nothing_say_so(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(module, "MOST_IN_WINDOW", 100)

    async def spins(loop: SimLoop) -> None:
        while True:
            await asyncio.sleep(0)

    with pytest.raises(SimulationError, match=r"100 callbacks within 100 ms; now task .*spins"):
        run(spins)

    async def waits(loop: SimLoop) -> None:
        await loop.create_future()

    with pytest.raises(SimulationError, match="nothing will ever happen"):
        run(waits)


def test_callback_that_never_ends_is_ended_and_named(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(world, "SPIN_S", 0.05)

    def never_ends() -> None:
        while True:
            try:
                for _ in range(1000):
                    pass
            except Exception:
                pass

    async def job(loop: SimLoop) -> None:
        loop.call_soon(never_ends)
        await asyncio.sleep(1.0)

    loop = SimLoop()
    with pytest.raises(SimulationError, match="a callback spins in never_ends"), world.watched(loop):
        loop.run_until_complete(job(loop))


@pytest.mark.parametrize(
    ("what", "call"),
    [
        ("chance without a seed", lambda: random.random()),
        ("chance without a seed", lambda: os.urandom(8)),
        ("a thread", lambda: threading.Thread(target=print).start()),
        ("a real socket", lambda: socket.socket()),
        ("a real sleep", lambda: time.sleep(0.1)),
    ],
)
def test_what_a_simulation_must_not_do_names_its_caller(what: str, call: Callable[[], object]) -> None:
    async def job(loop: SimLoop) -> None:
        with contextlib.suppress(BaseException):  # also where the program catches everything
            call()

    loop = SimLoop()
    with (
        simulated(loop, Network(loop, 0), lambda env: None, lambda code: None),
        pytest.raises(SimulationError, match=f"{what} in a simulation, at test_loop.py:"),
    ):
        loop.run_until_complete(job(loop))
    assert random.random() >= 0 and len(os.urandom(4)) == 4  # all is put back


def test_program_reads_virtual_clocks() -> None:
    async def job(loop: SimLoop) -> None:
        before = time.monotonic_ns(), time.time(), time.monotonic(), time.time_ns()
        await asyncio.sleep(100.0)
        after = time.monotonic_ns(), time.time(), time.monotonic(), time.time_ns()
        spans = [late - early for early, late in zip(before, after, strict=True)]
        assert spans == pytest.approx([100e9, 100.0, 100.0, 100e9])

    loop = SimLoop()
    with simulated(loop, Network(loop, 0), lambda env: None, lambda code: None):
        loop.run_until_complete(job(loop))
