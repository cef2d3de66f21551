"""The list changes of an ordinary day, at their usual rate, and the delay until each is in force.

A restart is announced as draining and then, alternately, as a backend with a new start time, or as one
deleted and another in its place. Backends that doors use often are restarted first: a door that stops sending
to a drained backend shows that it has applied the change.
"""

import asyncio
import contextlib
import time
from random import Random

from benchmarks.scale.catalogue import DELETED, DRAINING, SERVING
from benchmarks.scale.stage import Stage
from benchmarks.scale.tier import ZONES

RESTARTS_A_DAY, DAY_S = 33_000, 86_400
RESTARTS_A_S = RESTARTS_A_DAY / DAY_S
CHANGES_A_RESTART = 2.5
IN_FORCE_S = 5.0  # a change is to be in force everywhere within this time
MAX_OBSERVED_S, POLL_S = 15.0, 0.2  # longest observation of a change, and its polling interval
RECENT_S = 4.0  # a door uses a backend if it sent a request within this time before


def unix_ms() -> int:
    """Return the Unix time in milliseconds."""
    return time.time_ns() // 1_000_000


class OrdinaryDay:
    """Changes in sequence until `end` is called."""

    def __init__(self, stage: Stage, random: Random, drain_s: float = IN_FORCE_S) -> None:
        """`drain_s` is the time from the announcement that a backend drains to its end."""
        self.stage, self.random, self.drain_s = stage, random, drain_s
        # Delay from a change to the last request despite it, one per observed pair.
        self.in_force_s: list[float] = []
        self.observed_pairs = 0  # pairs of a change and a door that used the backend before
        self.changes = self.line_bytes = self.restarts = 0
        self.tasks: set[asyncio.Task[None]] = set()
        self.task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start restarting backends."""
        self.task = asyncio.get_running_loop().create_task(self.run())

    async def run(self) -> None:
        """Start a restart at every interval."""
        while True:
            task = asyncio.get_running_loop().create_task(self.restart(await self.pick_backend()))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            await asyncio.sleep(1 / RESTARTS_A_S)

    async def pick_backend(self) -> int:
        """Return a backend that doors use, or any."""
        used = await self.stage.call("backends", "used", since_s=time.monotonic() - RECENT_S)
        used_numbers = [number for used_by_door in used.values() for number, _ in used_by_door[:20]]
        return (
            self.random.choice(used_numbers)
            if used_numbers
            else self.random.randrange(self.stage.size.backends)
        )

    async def change(self, *changes: tuple[int, str, int]) -> float:
        """Announce changes; return when they were written."""
        sent = await self.stage.call("agent", "change", changes=changes)
        self.changes += len(changes)
        self.line_bytes += sent["line_bytes"]
        return float(sent["at_s"])

    async def restart(self, number: int) -> None:
        """Drain a backend, and then announce its new start or its replacement."""
        self.restarts += 1
        replaced = self.restarts % 2 == 0
        await self.drain([number], self.drain_s)
        if replaced:
            await self.change((number, DELETED, 0))
            self.stage.next_number += ZONES
            number = self.stage.next_number - self.stage.next_number % ZONES + number % ZONES
        await self.change((number, SERVING, unix_ms()))

    async def drain(self, numbers: list[int], watch_s: float, quiet_s: float = 0.0) -> None:
        """Announce that backends drain, and record for each door that used one when it last did.

        The observation ends after `watch_s`, once none of them has been used for `quiet_s`.
        """
        before_s = time.monotonic() - RECENT_S
        last_before = await self.stage.call("backends", "last", since_s=before_s, numbers=numbers)
        at_s = await self.change(*((number, DRAINING, 0) for number in numbers))
        await asyncio.sleep(watch_s)
        while True:
            last = await self.stage.call("backends", "last", since_s=at_s, numbers=numbers)
            now_s = time.monotonic()
            if now_s - max(last.values(), default=0.0) > quiet_s or now_s - at_s > MAX_OBSERVED_S:
                break
            await asyncio.sleep(POLL_S)
        self.observed_pairs += len(last_before)
        self.in_force_s += [max(0.0, last.get(door, at_s) - at_s) for door in last_before]

    async def stop(self) -> None:
        """Start no further restarts."""
        if self.task:
            self.task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self.task
            self.task = None

    async def end(self) -> None:
        """Stop, and wait for the restarts under way."""
        await self.stop()
        await asyncio.gather(*self.tasks)
