"""The steps of a graceful shutdown: what is still taken, and whom it waits for."""

import asyncio
import logging
from collections.abc import Sized

from molereach.clients.listener import ClientListener
from molereach.clock import now_us
from molereach.proxy.graceful_shutdown import GracefulShutdown

log = logging.getLogger(__name__)

CHECK_INTERVAL_S = 0.05  # between two checks whether it is time for the next step
FINAL_WRITE_TIMEOUT_S = 1.0  # how long clients may take to read their last answers, or to send a last request


async def drain(shutdown: GracefulShutdown, clients: ClientListener, requests: Sized) -> None:
    """Take what comes while there is time for it, then close what is idle, then all.

    Returns when no client is left or the kill is near. `requests` are those that are open.
    """
    while not shutdown.closes_idle(now_us()):
        await asyncio.sleep(CHECK_INTERVAL_S)
    clients.drain()
    while not await clients.wait_closed(bounded_wait_s(FINAL_WRITE_TIMEOUT_S, shutdown.responses_due_at_us)):
        if not requests or now_us() >= shutdown.responses_due_at_us:
            break  # one may still come on a connection that has had none
    # Clients that have connected by now may have sent a request already: it is read and answered before their
    # connections end.
    clients.stop_listening()
    while not await clients.wait_closed(bounded_wait_s(CHECK_INTERVAL_S, shutdown.reads_until_us)):
        if not requests or now_us() >= shutdown.reads_until_us:
            break
    clients.shut_down()
    if not await clients.wait_closed(bounded_wait_s(FINAL_WRITE_TIMEOUT_S, shutdown.closes_at_us)):
        log.warning("%d clients stay to the end", clients.socket_count)


def bounded_wait_s(limit_s: float, until_us: int) -> float:
    """How long to wait until then, in seconds: not below 0, and `limit_s` at most."""
    return max(0.0, min(limit_s, (until_us - now_us()) / 1e6))
