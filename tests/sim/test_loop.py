"""The simulated event loop: time, order, killed, stopped, slow and stuck nodes, and forbidden calls."""

import asyncio
import contextlib
import os
import random
import socket
import threading
import time
from collections.abc import Callable

import pytest

from sim import loop as loop_module
from sim import world
from sim.loop import START_US, SimLoop, SimulationError, current_node
from sim.network.network import Network
from sim.seam import simulated

SECOND_US = 1_000_000


def run(job: Callable[[SimLoop], object], seed: int = 0, shuffle: bool = True) -> SimLoop:
    """Run the coroutine `job(loop)` to completion."""
    loop = SimLoop(seed, shuffle)
    loop.run_until_complete(job(loop))  # type: ignore[arg-type]
    return loop


def test_time_jumps_and_timers_run_in_order() -> None:
    seen: list[tuple[str, int]] = []

    async def job(loop: SimLoop) -> None:
        for name, delay in (("c", 7200.0), ("a", 0.000001), ("b", 3600.0)):
            loop.call_later(delay, lambda name=name: seen.append((name, loop.now_us - START_US)))
        loop.call_later(1.0, seen.append, ("never", 0)).cancel()
        await asyncio.sleep(7201.0)

    start_s = time.perf_counter()
    run(job)
    assert (
        seen == [("a", 1), ("b", 3600 * SECOND_US), ("c", 7200 * SECOND_US)]
        and time.perf_counter() - start_s < 5
    )


def test_seed_determines_the_order_of_equal_timers() -> None:
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


def test_call_soon_runs_in_order() -> None:
    seen: list[int] = []

    async def job(loop: SimLoop) -> None:
        for number in range(50):
            loop.call_soon(seen.append, number)
        await asyncio.sleep(0)
        await asyncio.sleep(0)

    run(job, 3)
    assert seen == list(range(50))


def test_killed_node_runs_no_callbacks() -> None:
    """Neither timers nor tasks nor their finally blocks run."""
    seen: list[str] = []

    async def run_node() -> None:
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
        loop.spawn_in(node, run_node())
        await asyncio.sleep(1.5)
        loop.kill(node)
        await asyncio.sleep(10.0)
        assert seen == ["before"]

    run(job)


def test_continued_node_runs_pending_callbacks() -> None:
    seen: list[int] = []

    async def run_node(loop: SimLoop) -> None:
        for _ in range(4):
            await asyncio.sleep(1.0)
            seen.append(loop.now_us - START_US)

    async def job(loop: SimLoop) -> None:
        node = loop.new_node("n0")
        loop.spawn_in(node, run_node(loop))
        await asyncio.sleep(1.5)
        loop.stop_node(node)
        await asyncio.sleep(10.0)
        assert seen == [1 * SECOND_US]
        loop.continue_node(node)
        await asyncio.sleep(5.0)

    run(job)
    assert seen == [1 * SECOND_US, 11_500_000, 12_500_000, 13_500_000]


def test_busy_node_is_late_and_keeps_callback_order() -> None:
    seen: list[tuple[int, int]] = []

    async def run_node(loop: SimLoop) -> None:
        for number in range(5):
            loop.call_soon(lambda number=number: seen.append((number, loop.now_us - START_US)))

    async def job(loop: SimLoop) -> None:
        loop.spawn_in(loop.new_node("n0", cost_us=1000), run_node(loop))
        await asyncio.sleep(1.0)

    run(job)
    assert seen == [(number, (number + 1) * 1000) for number in range(5)]


def test_nodes_have_their_own_clocks() -> None:
    readings: dict[str, tuple[int, int]] = {}

    async def run_node(loop: SimLoop) -> None:
        node = current_node()
        assert node
        start_us = loop.clock_us()
        await asyncio.sleep(10.0)
        readings[node.name] = loop.clock_us() - start_us, loop.wall_us() - loop_module.EPOCH_US

    async def job(loop: SimLoop) -> None:
        for name, offset_us, rate in (("a", 0, 1.0), ("b", 5 * SECOND_US, 1.0), ("c", -SECOND_US, 2.0)):
            loop.spawn_in(loop.new_node(name, offset_us=offset_us, rate=rate), run_node(loop))
        await asyncio.sleep(20.0)

    run(job)
    assert readings == {
        "a": (10 * SECOND_US, 10 * SECOND_US),
        "b": (10 * SECOND_US, 15 * SECOND_US),
        "c": (10 * SECOND_US, 4 * SECOND_US),
    }


def test_simultaneous_result_and_cancellation_run_in_both_orders() -> None:
    def order(seed: int) -> tuple[str, ...]:
        steps: list[str] = []

        async def job(loop: SimLoop) -> None:
            future = loop.create_future()

            async def wait() -> str:
                return str(await future)

            def answer() -> None:
                steps.append("result" if not future.done() else "too late")
                if not future.done():
                    future.set_result("result")

            task = loop.create_task(wait())
            loop.call_later(1.0, answer)
            loop.call_later(1.0, lambda: steps.append("cancel") or task.cancel())
            with contextlib.suppress(asyncio.CancelledError):
                await task
            assert task.cancelled()  # even if the result was set just before

        run(job, seed)
        return tuple(steps)

    assert {order(seed) for seed in range(20)} == {("result", "cancel"), ("cancel", "too late")}


def test_endless_polling_and_deadlock_are_errors(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(loop_module, "MAX_CALLBACKS_PER_WINDOW", 100)

    async def poll_forever(loop: SimLoop) -> None:
        while True:
            await asyncio.sleep(0)

    with pytest.raises(SimulationError, match=r"100 callbacks within 100 ms; now task .*poll_forever"):
        run(poll_forever)

    async def wait_forever(loop: SimLoop) -> None:
        await loop.create_future()

    with pytest.raises(SimulationError, match="nothing will ever happen"):
        run(wait_forever)


def test_callback_that_never_returns_is_aborted_and_named(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(world, "SPIN_TIMEOUT_S", 0.05)

    def never_returns() -> None:
        while True:
            try:
                for _ in range(1000):
                    pass
            except Exception:
                pass

    async def job(loop: SimLoop) -> None:
        loop.call_soon(never_returns)
        await asyncio.sleep(1.0)

    loop = SimLoop()
    with (
        pytest.raises(SimulationError, match="a callback spins in never_returns"),
        world.abort_if_stuck(loop),
    ):
        loop.run_until_complete(job(loop))


@pytest.mark.parametrize(
    ("description", "call"),
    [
        ("chance without a seed", lambda: random.random()),
        ("chance without a seed", lambda: os.urandom(8)),
        ("a thread", lambda: threading.Thread(target=print).start()),
        ("a real socket", lambda: socket.socket()),
        ("a real sleep", lambda: time.sleep(0.1)),
    ],
)
def test_forbidden_call_fails_and_names_its_caller(description: str, call: Callable[[], object]) -> None:
    async def job(loop: SimLoop) -> None:
        with contextlib.suppress(BaseException):  # the error is raised even if the program catches everything
            call()

    loop = SimLoop()
    with (
        simulated(loop, Network(loop, 0), lambda env: None, lambda code: None),
        pytest.raises(SimulationError, match=f"{description} in a simulation, at test_loop.py:"),
    ):
        loop.run_until_complete(job(loop))
    assert random.random() >= 0 and len(os.urandom(4)) == 4  # the originals are restored


def test_time_module_returns_virtual_time() -> None:
    async def job(loop: SimLoop) -> None:
        before = time.monotonic_ns(), time.time(), time.monotonic(), time.time_ns()
        await asyncio.sleep(100.0)
        after = time.monotonic_ns(), time.time(), time.monotonic(), time.time_ns()
        elapsed = [end - start for start, end in zip(before, after, strict=True)]
        assert elapsed == pytest.approx([100e9, 100.0, 100.0, 100e9])

    loop = SimLoop()
    with simulated(loop, Network(loop, 0), lambda env: None, lambda code: None):
        loop.run_until_complete(job(loop))
