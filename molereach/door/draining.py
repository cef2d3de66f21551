"""The steps of a front door's end, by the clock of `Ending`: what it still takes, and whom it waits for."""

import asyncio
import logging
from collections.abc import Sized

from molereach.clients.intake import Intake
from molereach.clock import now_us
from molereach.door.ending import Ending

log = logging.getLogger(__name__)

LOOK_S = 0.05  # between two looks at whether it is time to let clients go
LAST_WRITES_S = 1.0  # how long clients may take to read their last answers, or to ask at last


async def drain(ending: Ending, clients: Intake, requests: Sized) -> None:
    """Take what comes while there is time for it, then close what is idle; until no client is left that is
    owed something. `requests` are those that are open."""
    while not ending.over(now_us()):
        await asyncio.sleep(LOOK_S)
    clients.drain()
    while not await clients.left(LAST_WRITES_S):
        if not requests:  # one may still come on a connection that has had none
            log.warning("%d clients stay without a request", len(clients.connections))
            break
