"""A front door that counts the datagrams of its peers, and says so in its log when it ends.

SIGUSR1 begins the count anew.
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

log = logging.getLogger("molereach.counted")
MARK = "datagrams: "


class Count:
    """Datagrams in, since the last look."""

    def __init__(self) -> None:
        self.begin()

    def begin(self) -> None:
        self.datagrams = self.bytes = 0
        self.since_s = time.monotonic()

    def take(self, data: bytes) -> None:
        self.datagrams += 1
        self.bytes += len(data)

    def end(self) -> None:
        seconds = time.monotonic() - self.since_s
        values = {"datagrams": self.datagrams, "bytes": self.bytes, "seconds": seconds}
        log.info("%s%s", MARK, json.dumps(values))


async def attach(door: Proxy) -> Callable[[], None]:
    """Beside a front door, from before its start to its end."""
    count, receive = Count(), door.gossip.datagram_received

    def received(data: bytes, address: tuple[str, int]) -> None:
        count.take(data)
        receive(data, address)

    door.gossip.datagram_received = received  # type: ignore[method-assign]
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGUSR1, count.begin)
    loop.add_signal_handler(signal.SIGUSR2, count.end)
    return count.end


if __name__ == "__main__":
    sys.exit(front_door(attach=attach))
