"""An ordinary day's changes of the list, at their rate, and how long each takes to be in force.

A restart is told as draining and then, in turn, as a backend with a new start, or as one that is gone and
another in its place. Those that doors ask often go first: what is drained and asked no more shows from
outside when a door has taken the change over.
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
FORCE_S = 5.0  # within which a change is to be in force everywhere
MOST_WATCHED_S, LOOK_S = 15.0, 0.2  # how long a change is watched at most, and how often it is looked at
SEEN_S = 4.0  # a backend counts as one that a door asks if it did in so long before


def unix_ms() -> int:
    return time.time_ns() // 1_000_000


class Day:
    """Changes one after the other until it is ended."""

    def __init__(self, stage: Stage, random: Random, drain_s: float = FORCE_S) -> None:
        """`drain_s`: from the word that a backend drains to its end."""
        self.stage, self.random, self.drain_s = stage, random, drain_s
        self.force_s: list[float] = []  # from a change to the last request against it, by door that had asked
        self.seen = 0  # pairs of a change and a door that had asked that backend before
        self.changes = self.line_bytes = self.restarts = 0
        self.tasks: set[asyncio.Task[None]] = set()
        self.task: asyncio.Task[None] | None = None

    def start(self) -> None:
        self.task = asyncio.get_running_loop().create_task(self.run())

    async def run(self) -> None:
        while True:
            task = asyncio.get_running_loop().create_task(self.restart(await self.pick()))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            await asyncio.sleep(1 / RESTARTS_A_S)

    async def pick(self) -> int:
        """One that doors ask, or any."""
        used = await self.stage.ask("backends", "used", since_s=time.monotonic() - SEEN_S)
        asked = [number for counts in used.values() for number, _ in counts[:20]]
        return self.random.choice(asked) if asked else self.random.randrange(self.stage.size.backends)

    async def change(self, *changes: tuple[int, str, int]) -> float:
        told = await self.stage.ask("agent", "change", changes=changes)
        self.changes += len(changes)
        self.line_bytes += told["line_bytes"]
        return float(told["at_s"])

    async def restart(self, number: int) -> None:
        self.restarts += 1
        replaced = self.restarts % 2 == 0
        await self.drain([number], self.drain_s)
        if replaced:
            await self.change((number, DELETED, 0))
            self.stage.next_number += ZONES
            number = self.stage.next_number - self.stage.next_number % ZONES + number % ZONES
        await self.change((number, SERVING, unix_ms()))

    async def drain(self, numbers: list[int], watch_s: float, quiet_s: float = 0.0) -> None:
        """Tell that these drain, and note for each door that asked one of them when it last did: after so
        long, and when they have not been asked for `quiet_s`."""
        before_s = time.monotonic() - SEEN_S
        had = await self.stage.ask("backends", "last", since_s=before_s, numbers=numbers)
        at_s = await self.change(*((number, DRAINING, 0) for number in numbers))
        await asyncio.sleep(watch_s)
        while True:
            last = await self.stage.ask("backends", "last", since_s=at_s, numbers=numbers)
            now_s = time.monotonic()
            if now_s - max(last.values(), default=0.0) > quiet_s or now_s - at_s > MOST_WATCHED_S:
                break
            await asyncio.sleep(LOOK_S)
        self.seen += len(had)
        self.force_s += [max(0.0, last.get(door, at_s) - at_s) for door in had]

    async def stop(self) -> None:
        """Begin no further restart."""
        if self.task:
            self.task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self.task
            self.task = None

    async def end(self) -> None:
        await self.stop()
        await asyncio.gather(*self.tasks)
