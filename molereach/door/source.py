"""One address of discovery: a watch that is kept open, and opened anew when it has broken."""

import asyncio
import json
import logging
import time
from collections.abc import Callable

from fennelwinch import interface as i
from molereach.door.calls import CallPacing
from molereach.door.catalog import Catalog, News
from molereach.door.config import Address
from molereach.door.watch import WatchConnection

log = logging.getLogger(__name__)

SILENT_S = 5.0  # an empty line comes every 2 s; a watch that is silent for longer is dead
CONNECT_S = 1.0


class Source:
    """One address of discovery: a watch that is kept open, with its news handed on as they come."""

    def __init__(
        self, address: Address, catalog: Catalog, version: int | None,
        heard: Callable[["Source", News], None], pacing: CallPacing, draw: Callable[[], float],
    ) -> None:
        self.address, self.catalog, self.heard = address, catalog, heard
        self.version = version  # None: the whole list comes first
        self.pacing, self.draw = pacing, draw
        self.retiring = self.closed = False
        self.connection: WatchConnection | None = None

    def word(self, word: bytes) -> None:
        """A whole object. Where it fails, the version stays, and the next watch brings it again."""
        if self.closed or not word:  # what is still in the pipe must not undo what a newer source has told
            return
        kind = i.ListKind.FULL if self.version is None else None
        news = self.catalog.news(json.loads(word), kind)
        self.pacing.heard()
        self.heard(self, news)
        self.version = news.event.version

    async def run(self) -> None:
        if self.version:
            await asyncio.sleep(self.pacing.first(self.draw()))
        while not self.closed:
            try:
                if self.version is None:
                    await self.read("/catalog/members")
                if self.version is not None:
                    await self.read(f"/catalog/members?watch=1&after={self.version}")
            except (OSError, TimeoutError) as error:
                log.warning("no watch on discovery: %s", error or "it does not answer")
            except Exception:
                log.exception("the watch on discovery failed")  # without it the list would grow old unseen
            if self.retiring:
                return
            await asyncio.sleep(self.pacing.ended(self.draw()))

    async def read(self, target: str) -> None:
        """One answer, until it ends or has been silent for too long."""
        host, port = self.address
        heard_s = time.monotonic()

        def beat(_: bool) -> None:
            nonlocal heard_s
            heard_s = time.monotonic()

        async with asyncio.timeout(CONNECT_S):
            _, connection = await asyncio.get_running_loop().create_connection(
                lambda: WatchConnection(target, f"{host}:{port}", self.word, beat), host, port
            )
        self.connection = connection
        try:
            while not connection.ended.done():
                left = heard_s + SILENT_S - time.monotonic()
                if left <= 0:
                    log.warning("the watch on discovery is silent")
                    return
                await asyncio.wait([connection.ended], timeout=left)
        finally:
            connection.close()

    def retire(self) -> None:
        """Hear it out: its watch goes on until it ends, and is not opened again."""
        self.retiring = True

    def close(self) -> None:
        self.closed = self.retiring = True
        if self.connection:
            self.connection.close()
