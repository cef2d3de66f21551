"""The endpoint list: the updates of one address of discovery, and the change to another."""

import asyncio
import random
from collections.abc import Callable, Coroutine

from molereach.discovery.client import DiscoveryClient, Update
from molereach.discovery.endpoint_mapping import EndpointMapping
from molereach.discovery.poll_backoff import PollBackoff
from molereach.discovery.watch_stream import Steps
from molereach.endpoint_address import EndpointAddress
from molereach.subsetting.interface import EndpointListError, StagedEndpoints


def no_staging() -> StagedEndpoints:
    """For whoever holds no long lists: EndpointListError."""
    raise EndpointListError("nothing is there to hold a list of this length")


class EndpointDiscovery:
    """Hands on the updates of one client; that of another address takes over with its first full list."""

    def __init__(
        self,
        address: EndpointAddress,
        mapping: EndpointMapping,
        version: int,
        on_update: Callable[[Update], Steps | None],
        spawn: Callable[[Coroutine[None, None, None]], object],
        new_backoff: Callable[[], PollBackoff] = lambda: PollBackoff(1),
        draw: Callable[[], float] = random.random,
        open_staging: Callable[[], StagedEndpoints] = no_staging,
    ) -> None:
        """`version`: that of the list known already, 0 for none; `on_update` applies an update, or returns
        the steps that do; `spawn` runs a task; `draw`: a random source, evenly distributed from 0 to 1.
        """
        self.mapping = mapping
        self.on_update = on_update
        self.spawn = spawn
        self.first_update = asyncio.Event()
        self.new_backoff = new_backoff
        self.draw = draw
        self.open_staging = open_staging
        self.current = DiscoveryClient(
            address, mapping, version, self.apply_update, new_backoff(), draw, open_staging
        )
        self.successor: DiscoveryClient | None = None  # it has brought no update yet
        self.released_for_watch: int | None = (
            None  # the successor's watch for which staged entries were freed
        )

    @property
    def version(self) -> int | None:
        """The version of the list that was applied last."""
        return self.current.version

    def start(self) -> None:
        """Open the first watch."""
        self.spawn(self.current.run())

    def change_address(self, address: EndpointAddress) -> None:
        """Go to another address. Until its list has been applied, the old one is watched as before.

        The full list is requested from it: what was removed meanwhile may be in no change, and it need not
        count versions as the old one did.
        """
        if address == (self.successor or self.current).address:
            return
        if self.successor:
            self.successor.close()
            self.successor = None
        if address == self.current.address:
            return  # it returns before the other brought anything: this one's watch never ended
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

    def reclaim_capacity(self, client: DiscoveryClient, number: int) -> bool:
        """Whether entries staged by the current client were freed for a watch of its successor.

        Memory is for the list in use and one that comes. Only one watch in each change of address has this,
        as an address whose lists cannot be applied must not keep the current one from bringing its own.
        """
        if client is not self.successor or self.released_for_watch not in (None, number):
            return False
        was_released = self.current.release_staged()
        if was_released:
            self.released_for_watch = number
        return was_released

    def apply_update(self, client: DiscoveryClient, update: Update) -> Steps | None:
        """Apply an update; the steps that are left to do.

        One that could not be applied changes nothing, and one that needs several steps counts at the end of
        the last: until then the current client's updates count.
        """
        if steps := self.on_update(update):
            return self.apply_in_steps(client, steps)
        self.mark_applied(client)
        return None

    def apply_in_steps(self, client: DiscoveryClient, steps: Steps) -> Steps:
        """Apply an update in steps; it counts at the end of the last."""
        yield from steps
        self.mark_applied(client)

    def mark_applied(self, client: DiscoveryClient) -> None:
        """An update of a client counts; the first one of the successor makes it the current client."""
        if client is self.successor:
            self.current.close()
            self.current = client
            self.successor = None
        self.first_update.set()
