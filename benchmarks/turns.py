"""A front door that counts how long the turns of its loop take, and says so in its log when it ends.

A turn is what lies between two callbacks that are each due in the next one, in CPU time of the thread: what
else the machine does adds nothing. The watch keeps the loop awake, so it has no place where CPU for a request
is measured. SIGUSR1 begins the count anew; SIGUSR2 has it said before.
"""

import asyncio
import json
import logging
import signal
import sys
import time
from collections.abc import Callable

from molereach.__main__ import front_door
from molereach.proxy.proxy import Proxy

log = logging.getLogger("molereach.turns")
MARK = "turns: "


class TurnWatch:
    """The longest turn since the last look, in microseconds of CPU."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop, self.ended = loop, False
        self.begin()
        loop.call_soon(self.turn)

    def begin(self) -> None:
        self.longest_us, self.count, self.last_ns = 0.0, 0, time.thread_time_ns()

    def turn(self) -> None:
        now_ns = time.thread_time_ns()
        self.longest_us = max(self.longest_us, (now_ns - self.last_ns) / 1000)
        self.last_ns, self.count = now_ns, self.count + 1
        if not self.ended:
            self.loop.call_soon(self.turn)

    def end(self) -> None:
        self.ended = True
        self.say()

    def say(self) -> None:
        log.info("%s%s", MARK, json.dumps({"longest_us": round(self.longest_us), "turns": self.count}))

    def next(self) -> None:
        self.say()
        self.begin()


async def attach(door: Proxy) -> Callable[[], None]:
    """Beside a front door, from before its start to after its drain."""
    loop = asyncio.get_running_loop()
    watch = TurnWatch(loop)
    loop.add_signal_handler(signal.SIGUSR1, watch.begin)
    loop.add_signal_handler(signal.SIGUSR2, watch.next)
    return watch.end


if __name__ == "__main__":
    sys.exit(front_door(attach=attach))
