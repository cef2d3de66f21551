"""The list of backends: the news of one address of discovery, and the change to another.

`catalog` reads the lists, `watch` is one call, `source` keeps one address's watch open, `calls` says when
to call.
"""

import asyncio
import random
from collections.abc import Callable, Coroutine

from molereach.discovery.client import DiscoveryClient
from molereach.discovery.endpoint_mapping import EndpointMapping, EndpointUpdate, StagedEndpointUpdate
from molereach.discovery.poll_backoff import PollBackoff
from molereach.discovery.watch_stream import Steps
from molereach.proxy.config import Address
from molereach.subsetting.interface import ListError, Staged


def no_staging() -> Staged:
    raise ListError("nothing is there to hold a list of this length")


class EndpointDiscovery:
    """Hands on the news of one source; another address takes over once it has told its whole list."""

    def __init__(
        self,
        address: Address,
        catalog: EndpointMapping,
        version: int,
        heard: Callable[[EndpointUpdate | StagedEndpointUpdate], Steps | None],
        spawn: Callable[[Coroutine[None, None, None]], object],
        pacing: Callable[[], PollBackoff] = lambda: PollBackoff(1),
        draw: Callable[[], float] = random.random,
        stage: Callable[[], Staged] = no_staging,
    ) -> None:
        self.mapping, self.on_update, self.spawn = catalog, heard, spawn
        self.first_update = asyncio.Event()
        self.new_backoff, self.draw, self.open_staging = pacing, draw, stage
        self.current = DiscoveryClient(address, catalog, version, self.apply_update, pacing(), draw, stage)
        self.successor: DiscoveryClient | None = None  # it has told nothing yet
        self.released_for_watch: int | None = None  # to that call of it

    @property
    def version(self) -> int | None:
        return self.current.version

    def start(self) -> None:
        self.spawn(self.current.run())

    def change_address(self, address: Address) -> None:
        """Go to another address. Until that has told its list, the old one is asked and heard as before.

        Its list is asked for whole: what vanished meanwhile may be in no change, and its count of versions
        need not be the old one's.
        """
        if address == (self.successor or self.current).address:
            return
        if self.successor:
            self.successor.close()
            self.successor = None
        if address == self.current.address:
            return  # back, before the other has told anything: this one was never left
        self.released_for_watch = None
        self.successor = DiscoveryClient(
            address,
            self.mapping,
            None,
            self.apply_update,
            self.new_backoff(),
            self.draw,
            self.open_staging,
            self.reclaim_capacity,
        )
        self.spawn(self.successor.run())

    def reclaim_capacity(self, source: DiscoveryClient, number: int) -> bool:
        """Memory is for the list in service and one that comes: what the old address is telling gives way to
        the new one's list. To one call in each move, as an address whose lists cannot be taken must not keep
        the old one from telling its own."""
        if source is not self.successor or self.released_for_watch not in (None, number):
            return False
        if gave_way := self.current.release_staged():
            self.released_for_watch = number
        return gave_way

    def apply_update(
        self, source: DiscoveryClient, news: EndpointUpdate | StagedEndpointUpdate
    ) -> Steps | None:
        """What could not be taken changes nothing, and what needs several turns counts at the end of the
        last: until then the old source is heard."""
        if steps := self.on_update(news):
            return self.apply_in_steps(source, steps)
        self.mark_applied(source)
        return None

    def apply_in_steps(self, source: DiscoveryClient, steps: Steps) -> Steps:
        yield from steps
        self.mark_applied(source)

    def mark_applied(self, source: DiscoveryClient) -> None:
        if source is self.successor:
            self.current.close()
            self.current, self.successor = source, None
        self.first_update.set()
