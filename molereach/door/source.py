"""One address of discovery: a watch that is kept open, and opened anew when it has broken.

The shell of `calling`: it makes the calls, hands on what they bring, and ends those that have failed.
"""

import asyncio
import contextlib
import json
import logging
import math
import time
from collections.abc import Callable

from fennelwinch import interface as i
from molereach.door.calling import Calling
from molereach.door.calls import CallPacing
from molereach.door.catalog import Catalog, News
from molereach.door.config import Address
from molereach.door.watch import WatchConnection

log = logging.getLogger(__name__)

CONNECT_S = 1.0
LIST = "/catalog/members"
FAULT_S = 1.0  # before it goes on after a fault of its own
TURN_S = 0.001  # for the loop to read what has come


class Source:
    """One address of discovery, with its news handed on as they come."""

    def __init__(
        self, address: Address, catalog: Catalog, version: int | None,
        heard: Callable[["Source", News], None], pacing: CallPacing, draw: Callable[[], float],
    ) -> None:
        self.address, self.catalog, self.heard = address, catalog, heard
        self.version = version  # None: the whole list comes first
        self.pacing, self.draw = pacing, draw
        self.calling = Calling(pacing, draw)
        self.calls: dict[int, tuple[asyncio.Task[None], WatchConnection]] = {}
        self.changed = asyncio.Event()
        self.closed = False

    async def run(self) -> None:
        try:
            if self.version:
                await asyncio.sleep(self.pacing.first(self.draw()))
            while not self.closed:
                self.changed.clear()
                wait_s = self.go_on(time.monotonic())
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(None if math.isinf(wait_s) else wait_s):
                        await self.changed.wait()
        finally:
            self.close()

    def go_on(self, now_s: float) -> float:
        """Do what is due; how long until there is more to do. A fault must not let the list grow old."""
        try:
            self.step(now_s)
        except Exception:
            log.exception("the watch on discovery failed")
            return FAULT_S
        return max(TURN_S, self.calling.wait_s(now_s))

    def step(self, now_s: float) -> None:
        """End what has failed and make the call that is due."""
        if self.calling.wait_s(now_s):
            return
        if any(connection.unread() for _, connection in self.calls.values()):
            return  # it is this process that stood still, and not discovery: the loop reads first
        for number in self.calling.failed(now_s):
            log.warning("discovery is silent")
            self.drop(number)
            self.calling.ended(number, now_s)
        if opened := self.calling.open(now_s):
            self.call(opened)
        for number in self.calling.surplus():
            self.drop(number)
            self.calling.over(number)

    def call(self, number: int) -> None:
        whole = self.version is None
        connection = WatchConnection(
            LIST if whole else f"{LIST}?watch=1&after={self.version}", "{}:{}".format(*self.address),
            lambda word: self.word(number, whole, word), lambda begun: self.bytes_came(number, begun),
        )
        task = asyncio.get_running_loop().create_task(self.play(number, connection))
        self.calls[number] = task, connection

    async def play(self, number: int, connection: WatchConnection) -> None:
        """A call until its end."""
        try:
            async with asyncio.timeout(CONNECT_S):
                await asyncio.get_running_loop().create_connection(lambda: connection, *self.address)
            await connection.ended
        except (OSError, TimeoutError) as error:
            log.warning("no watch on discovery: %s", str(error) or "it does not answer")
        except Exception:
            log.exception("a call to discovery failed")
        finally:
            connection.close()
        if self.calls.pop(number, None):
            self.calling.ended(number, time.monotonic())
            self.changed.set()

    def drop(self, number: int) -> None:
        """End a call from here; nothing more of it is heard."""
        task, connection = self.calls.pop(number)
        connection.close()
        task.cancel()

    def bytes_came(self, number: int, begun: bool) -> None:
        if begun and number in self.calls:
            self.calling.heard(number, time.monotonic())
            self.changed.set()

    def word(self, number: int, whole: bool, word: bytes) -> None:
        """A whole object, or an empty line. Where it fails, the version stays, and the next watch brings it
        again."""
        if number not in self.calls or (whole and not word):
            return  # what is still in the pipe must not undo what a newer call or source has told
        for other in self.calling.word(number, time.monotonic()):
            self.drop(other)
            self.calling.over(other)
        self.changed.set()
        if not word:
            return
        news = self.catalog.news(json.loads(word), i.ListKind.FULL if whole else None)
        self.heard(self, news)
        self.version = news.event.version
        if whole and number in self.calls:  # the list is whole, however long the answer still takes to end
            self.drop(number)
            self.calling.over(number)
            self.calling.at_once(time.monotonic())

    def close(self) -> None:
        self.closed = True
        for number in list(self.calls):
            self.drop(number)
        self.changed.set()
