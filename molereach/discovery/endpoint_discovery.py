"""Endpoint discovery of a proxy: one client at a time, and the switch to another address."""

import asyncio
import random
from collections.abc import Callable, Coroutine

from molereach.discovery.client import DiscoveryClient, Update
from molereach.discovery.endpoint_mapping import EndpointMapping
from molereach.discovery.poll_backoff import PollBackoff
from molereach.discovery.watch_stream import Steps
from molereach.endpoint_address import EndpointAddress
from molereach.subsetting.interface import EndpointListError, StagedEndpoints


def reject_staging() -> StagedEndpoints:
    """Raise EndpointListError: for callers that support no long lists."""
    raise EndpointListError("nothing is there to hold a list of this length")


class EndpointDiscovery:
    """Passes on the updates of the current client; on a change of address, its successor replaces it.

    The successor becomes the current client once its first full list has been applied.
    """

    def __init__(
        self,
        address: EndpointAddress,
        mapping: EndpointMapping,
        version: int,
        on_update: Callable[[Update], Steps | None],
        spawn: Callable[[Coroutine[None, None, None]], object],
        new_backoff: Callable[[], PollBackoff] = lambda: PollBackoff(1),
        draw: Callable[[], float] = random.random,
        open_staging: Callable[[], StagedEndpoints] = reject_staging,
    ) -> None:
        """`version`: that of the current list, 0 for none.

        `on_update` applies an update, or returns the steps that apply it. `spawn` starts a task. `draw`
        returns uniformly distributed random numbers between 0 and 1. `open_staging` returns staging for a
        long list.
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
        self.successor: DiscoveryClient | None = None  # no update of it has been applied yet
        # Id of the successor's watch for which staged entries of the current client were freed.
        self.released_for_watch: int | None = None

    @property
    def version(self) -> int | None:
        """The version of the list that was applied last."""
        return self.current.version

    def start(self) -> None:
        """Open the first watch."""
        self.spawn(self.current.run())

    def change_address(self, address: EndpointAddress) -> None:
        """Switch to another address. The old one is watched until the new one's full list has been applied.

        A full list is requested, as changes of the new address may not include all removals, and its versions
        may be unrelated to those of the old one.
        """
        if address == (self.successor or self.current).address:
            return
        if self.successor:
            self.successor.close()
            self.successor = None
        if address == self.current.address:
            return  # switched back before the successor's first update: the current watch is still open
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

    def reclaim_capacity(self, client: DiscoveryClient, attempt_id: int) -> bool:
        """Free entries staged by the current client for a watch of its successor; returns whether any were.

        There is memory for the list in use and one more. Only one watch per change of address may reclaim it:
        an address whose lists cannot be applied must not keep the current one from delivering its own.
        """
        if client is not self.successor or self.released_for_watch not in (None, attempt_id):
            return False
        was_released = self.current.release_staged()
        if was_released:
            self.released_for_watch = attempt_id
        return was_released

    def apply_update(self, client: DiscoveryClient, update: Update) -> Steps | None:
        """Apply an update; returns the remaining steps, if any.

        An update that cannot be applied changes nothing. One that needs several steps is in effect after the
        last one; until then the current client's updates are applied.
        """
        if steps := self.on_update(update):
            return self.apply_in_steps(client, steps)
        self.mark_applied(client)
        return None

    def apply_in_steps(self, client: DiscoveryClient, steps: Steps) -> Steps:
        """Run the steps that apply an update; it is marked as applied after the last one."""
        yield from steps
        self.mark_applied(client)

    def mark_applied(self, client: DiscoveryClient) -> None:
        """Record that an update was applied; the first one of the successor makes it the current client."""
        if client is self.successor:
            self.current.close()
            self.current = client
            self.successor = None
        self.first_update.set()
