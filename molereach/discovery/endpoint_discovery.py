"""The list of backends: the news of one address of discovery, and the change to another.

`catalog` reads the lists, `watch` is one call, `source` keeps one address's watch open, `calls` says when
to call.
"""

import asyncio
import random
from collections.abc import Callable, Coroutine

from molereach.discovery.client import Source
from molereach.discovery.endpoint_mapping import Catalog, LongNews, News
from molereach.discovery.poll_backoff import CallPacing
from molereach.discovery.watch_stream import Steps
from molereach.proxy.config import Address
from molereach.subsetting.interface import EndpointListError, StagedEndpoints

__all__ = ["Catalog", "Discovery", "LongNews", "News"]


def no_stage() -> StagedEndpoints:
    raise EndpointListError("nothing is there to hold a list of this length")


class Discovery:
    """Hands on the news of one source; another address takes over once it has told its whole list."""

    def __init__(
        self,
        address: Address,
        catalog: Catalog,
        version: int,
        heard: Callable[[News | LongNews], Steps | None],
        spawn: Callable[[Coroutine[None, None, None]], object],
        pacing: Callable[[], CallPacing] = lambda: CallPacing(1),
        draw: Callable[[], float] = random.random,
        stage: Callable[[], StagedEndpoints] = no_stage,
    ) -> None:
        self.catalog, self.heard, self.spawn = catalog, heard, spawn
        self.first = asyncio.Event()
        self.pacing, self.draw, self.stage = pacing, draw, stage
        self.source = Source(address, catalog, version, self.take, pacing(), draw, stage)
        self.next: Source | None = None  # it has told nothing yet
        self.given_way: int | None = None  # to that call of it

    @property
    def version(self) -> int | None:
        return self.source.version

    def start(self) -> None:
        self.spawn(self.source.run())

    def move(self, address: Address) -> None:
        """Go to another address. Until that has told its list, the old one is asked and heard as before.

        Its list is asked for whole: what vanished meanwhile may be in no change, and its count of versions
        need not be the old one's.
        """
        if address == (self.next or self.source).address:
            return
        if self.next:
            self.next.close()
            self.next = None
        if address == self.source.address:
            return  # back, before the other has told anything: this one was never left
        self.given_way = None
        self.next = Source(
            address, self.catalog, None, self.take, self.pacing(), self.draw, self.stage, self.make_room
        )
        self.spawn(self.next.run())

    def make_room(self, source: Source, number: int) -> bool:
        """Memory is for the list in service and one that comes: what the old address is telling gives way to
        the new one's list. To one call in each move, as an address whose lists cannot be taken must not keep
        the old one from telling its own."""
        if source is not self.next or self.given_way not in (None, number):
            return False
        if gave_way := self.source.give_way():
            self.given_way = number
        return gave_way

    def take(self, source: Source, news: News | LongNews) -> Steps | None:
        """What could not be taken changes nothing, and what needs several turns counts at the end of the
        last: until then the old source is heard."""
        if steps := self.heard(news):
            return self.take_over(source, steps)
        self.taken(source)
        return None

    def take_over(self, source: Source, steps: Steps) -> Steps:
        yield from steps
        self.taken(source)

    def taken(self, source: Source) -> None:
        if source is self.next:
            self.source.close()
            self.source, self.next = source, None
        self.first.set()
