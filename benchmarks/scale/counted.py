"""A front door that counts the datagrams from its peers and logs the counts at its end.

SIGUSR1 resets the counts; SIGUSR2 logs them.
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
LOG_PREFIX = "datagrams: "


class DatagramCounter:
    """Datagrams received since the last reset."""

    def __init__(self) -> None:
        self.reset()

    def reset(self) -> None:
        """Reset the counts."""
        self.datagrams = self.bytes = 0
        self.since_s = time.monotonic()

    def add(self, data: bytes) -> None:
        """Count a datagram."""
        self.datagrams += 1
        self.bytes += len(data)

    def log_counts(self) -> None:
        """Log the counts."""
        seconds = time.monotonic() - self.since_s
        values = {"datagrams": self.datagrams, "bytes": self.bytes, "seconds": seconds}
        log.info("%s%s", LOG_PREFIX, json.dumps(values))


async def attach(door: Proxy) -> Callable[[], None]:
    """Count a front door's datagrams from before its start until its end."""
    counter, receive = DatagramCounter(), door.gossip.datagram_received

    def received(data: bytes, address: tuple[str, int]) -> None:
        counter.add(data)
        receive(data, address)

    door.gossip.datagram_received = received  # type: ignore[method-assign]
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGUSR1, counter.reset)
    loop.add_signal_handler(signal.SIGUSR2, counter.log_counts)
    return counter.log_counts


if __name__ == "__main__":
    sys.exit(front_door(attach=attach))
