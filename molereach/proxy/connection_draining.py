"""The steps of a front door's end, by the clock of `Ending`: what it still takes, and whom it waits for."""

import asyncio
import logging
from collections.abc import Sized

from molereach.clients.listener import Intake
from molereach.clock import now_us
from molereach.proxy.graceful_shutdown import GracefulShutdown

log = logging.getLogger(__name__)

CHECK_INTERVAL_S = 0.05  # between two looks at whether it is time for the next step
FINAL_WRITE_TIMEOUT_S = 1.0  # how long clients may take to read their last answers, or to ask at last


async def drain(ending: GracefulShutdown, clients: Intake, requests: Sized) -> None:
    """Take what comes while there is time for it, then close what is idle, then all; until no client is left
    or the kill is near. `requests` are those that are open."""
    while not ending.closes_idle(now_us()):
        await asyncio.sleep(CHECK_INTERVAL_S)
    clients.drain()
    while not await clients.left(bounded_wait_s(FINAL_WRITE_TIMEOUT_S, ending.responses_due_at_us)):
        if not requests or now_us() >= ending.responses_due_at_us:
            break  # one may still come on a connection that has had none
    # Who has connected by now may have asked already: it is heard, and told, before its connection ends.
    clients.stop_listening()
    while not await clients.left(bounded_wait_s(CHECK_INTERVAL_S, ending.reads_until_us)):
        if not requests or now_us() >= ending.reads_until_us:
            break
    clients.end()
    if not await clients.left(bounded_wait_s(FINAL_WRITE_TIMEOUT_S, ending.closes_at_us)):
        log.warning("%d clients stay to the end", clients.sockets)


def bounded_wait_s(most_s: float, until_us: int) -> float:
    return max(0.0, min(most_s, (until_us - now_us()) / 1e6))
