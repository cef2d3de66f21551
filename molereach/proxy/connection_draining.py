"""Drains client connections in the steps of a graceful shutdown."""

import asyncio
import logging
from collections.abc import Sized

from molereach.clients.listener import ClientListener
from molereach.clock import now_us
from molereach.proxy.graceful_shutdown import GracefulShutdown

log = logging.getLogger(__name__)

CHECK_INTERVAL_S = 0.05  # between checks whether the next step is due
FINAL_WRITE_TIMEOUT_S = 1.0  # for clients to read their last answers or to send a last request


async def drain(shutdown: GracefulShutdown, clients: ClientListener, requests: Sized) -> None:
    """Serve requests while there is time for them, then close idle connections, then all connections.

    Returns when no client is connected or the process is about to be killed. `requests` are the open ones.
    """
    while not shutdown.closes_idle(now_us()):
        await asyncio.sleep(CHECK_INTERVAL_S)
    clients.drain()
    while not await clients.wait_closed(bounded_wait_s(FINAL_WRITE_TIMEOUT_S, shutdown.responses_due_at_us)):
        if not requests or now_us() >= shutdown.responses_due_at_us:
            break  # a first request may still arrive on a new connection, which the next step reads
    # Clients that are already connected may have sent a request: it is read and answered before their
    # connections are closed.
    clients.stop_listening()
    while not await clients.wait_closed(bounded_wait_s(CHECK_INTERVAL_S, shutdown.reads_until_us)):
        if not requests or now_us() >= shutdown.reads_until_us:
            break
    clients.shut_down()
    if not await clients.wait_closed(bounded_wait_s(FINAL_WRITE_TIMEOUT_S, shutdown.closes_at_us)):
        log.warning("%d clients stay to the end", clients.socket_count)


def bounded_wait_s(max_s: float, until_us: int) -> float:
    """The seconds left until `until_us`, from 0 to `max_s`."""
    return max(0.0, min(max_s, (until_us - now_us()) / 1e6))
