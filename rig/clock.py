"""The rig's one clock, and how late the rig itself is."""

import asyncio
import time

from rig.facts import Fact, Late

BEAT_S = 0.01
NOTED_US = 5_000  # lateness from there on is a fact of its own; the most is one in any case


def now_us() -> int:
    """Microseconds of the monotonic clock; the front doors read the same one."""
    return time.monotonic_ns() // 1000


def unix_ms() -> int:
    return time.time_ns() // 1_000_000


class Heartbeat:
    """Notes by how much the rig's loop came too late: what it saw around then has wrong times."""

    def __init__(self, facts: list[Fact]) -> None:
        self.facts, self.most_us = facts, 0
        self.due_us = 0
        self.handle: asyncio.TimerHandle | None = None

    def start(self) -> None:
        self.due_us = now_us() + round(BEAT_S * 1e6)
        self.handle = asyncio.get_running_loop().call_later(BEAT_S, self.beat)

    def beat(self) -> None:
        late = now_us() - self.due_us
        self.most_us = max(self.most_us, late)
        if late > NOTED_US:
            self.facts.append(Late(now_us(), late))
        self.start()

    def stop(self) -> None:
        if self.handle:
            self.handle.cancel()
            self.handle = None
            self.facts.append(Late(now_us(), self.most_us))
