"""The list of backends: the news of one address of discovery, and the change to another.

`catalog` reads the lists, `watch` is one call, `source` keeps one address's watch open, `calls` says when
to call.
"""

import asyncio
import random
from collections.abc import Callable, Coroutine

from molereach.door.calls import CallPacing
from molereach.door.catalog import Catalog, News
from molereach.door.config import Address
from molereach.door.source import Source

__all__ = ["Catalog", "Discovery", "News"]


class Discovery:
    """Hands on the news of one source; another address takes over once it has told its whole list."""

    def __init__(
        self, address: Address, catalog: Catalog, version: int, heard: Callable[[News], None],
        spawn: Callable[[Coroutine[None, None, None]], object],
        pacing: Callable[[], CallPacing] = lambda: CallPacing(1),
        draw: Callable[[], float] = random.random,
    ) -> None:
        self.catalog, self.heard, self.spawn = catalog, heard, spawn
        self.first = asyncio.Event()
        self.pacing, self.draw = pacing, draw
        self.source = Source(address, catalog, version, self.take, pacing(), draw)
        self.next: Source | None = None  # it has told nothing yet

    @property
    def version(self) -> int | None:
        return self.source.version

    def start(self) -> None:
        self.spawn(self.source.run())

    def move(self, address: Address) -> None:
        """Go to another address. Until that has told its list, the old watch is heard out.

        Its list is asked for whole: what vanished meanwhile may be in no change, and its count of versions
        need not be the old one's.
        """
        if address == (self.next or self.source).address:
            return
        if self.next:
            self.next.close()
        self.source.retire()
        self.next = Source(address, self.catalog, None, self.take, self.pacing(), self.draw)
        self.spawn(self.next.run())

    def take(self, source: Source, news: News) -> None:
        if source is self.next:
            self.source.close()
            self.source, self.next = source, None
        self.heard(news)
        self.first.set()
