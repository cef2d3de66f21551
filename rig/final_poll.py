"""A wait whose timeout counts only once the event loop has read what arrived before it.

After a stall the loop runs expired timers first and reads its sockets afterwards. A wait that ended with its
timer would blame the peer for data that was there in time and only unread.
"""

import asyncio
from dataclasses import dataclass
from typing import TypeVar

T = TypeVar("T")
# Iterations of the loop: one polls the sockets, the next ones complete the future of a connect.
POLL_ITERATIONS = 4


@dataclass(slots=True)
class LateCounts:
    """How often the test bed itself was late in a way that could be blamed on a front door."""

    connects: int = 0  # established before their timeout, and read after it
    replies: int = 0  # received before the client stopped waiting, and read after it
    departures: int = 0  # clients that were to leave before their deadline and left after it


async def wait_and_poll(future: "asyncio.Future[T]", timeout_s: float) -> bool:
    """Wait for a future; returns whether it was done when its timer ran.

    If not, the event loop has polled its sockets after the timer: the future may be done all the same.
    """
    loop = asyncio.get_running_loop()
    was_done: asyncio.Future[bool] = loop.create_future()
    timer = loop.call_later(timeout_s, lambda: was_done.set_result(future.done()))
    try:
        await asyncio.wait((future, was_done), return_when=asyncio.FIRST_COMPLETED)
    except asyncio.CancelledError:
        future.cancel()  # nobody waits for it any more
        raise
    finally:
        timer.cancel()
    if not was_done.done() or was_done.result():
        return True
    for _ in range(POLL_ITERATIONS):
        await asyncio.sleep(0)
    return False
