"""Applies endpoint updates: the full list, the subset of it that the policy gets, and its backends."""

import logging
from collections.abc import Callable, Generator, Mapping
from typing import Any

from molereach.backends.pools import Backends
from molereach.discovery.client import Update
from molereach.discovery.endpoint_mapping import EndpointMapping, EndpointUpdate, StagedEndpointUpdate
from molereach.discovery.watch_stream import Steps
from molereach.endpoint_address import EndpointAddress
from molereach.policy.interface.events import EndpointListKind, EndpointListReceived, Event
from molereach.proxy.config_file import run_to_end
from molereach.subsetting.interface import EndpointList, SubsetUpdate

log = logging.getLogger(__name__)


class EndpointUpdates:
    """The endpoint list of one proxy, from discovery and from the list that was saved for its start."""

    def __init__(
        self,
        endpoint_list: EndpointList,
        mapping: EndpointMapping,
        backends: Backends,
        post: Callable[[Event], None],
    ) -> None:
        self.endpoint_list = endpoint_list
        self.mapping = mapping
        self.backends = backends
        self.post = post
        self.saved_list: EndpointUpdate | None = None  # the list that it started with, as it was published
        # What operators' orders change in an update on its way to the policy.
        self.overlay: Callable[[EndpointListReceived], EndpointListReceived] = lambda event: event

    def load_saved_list(self, saved: Mapping[str, Any], entry_lists: list[bytes]) -> int:
        """Apply the saved list; its version, or 0 where there is none or it is malformed.

        Its entries may stand in `entry_lists`, which is emptied: each is freed once it has been read.
        """
        if not saved:
            return 0
        try:
            if entry_lists:
                staged_update = self.stage_saved_list(saved, entry_lists)
                subset_update = run_to_end(self.apply_staged(staged_update))
                version = staged_update.version
            else:
                update = self.mapping.read_update(saved, EndpointListKind.SAVED)
                subset_update = self.apply_complete(update)
                version = update.event.version
        except (KeyError, TypeError, ValueError, ArithmeticError) as error:
            log.error("saved endpoint list is malformed: %s", error)
            return 0
        finally:
            entry_lists.clear()
        if subset_update:
            self.saved_list = EndpointUpdate(subset_update.event, subset_update.addresses)
        return version

    def stage_saved_list(self, saved: Mapping[str, Any], entry_lists: list[bytes]) -> StagedEndpointUpdate:
        """Stage the entries of a long list, freeing each text as it is read."""
        staged = self.endpoint_list.stage()
        entry_lists.reverse()
        while entry_lists:
            staged.add(*self.mapping.read_entry_list(entry_lists.pop()))
        return self.mapping.read_staged_update(saved, staged, EndpointListKind.SAVED)

    def on_update(self, update: Update) -> Steps | None:
        """Apply an update of discovery; the steps to do so where it was staged.

        EndpointListError where it cannot be held: the list before it stays in use.
        """
        if isinstance(update, StagedEndpointUpdate):
            return self.apply_staged_in_steps(update)
        self.apply_complete(update)
        return None

    def apply_complete(self, update: EndpointUpdate) -> SubsetUpdate | None:
        """Apply an update that came in one object; what of it concerns the subset."""
        return self.publish_subset(self.endpoint_list.apply(update.event, update.addresses))

    def apply_staged(self, update: StagedEndpointUpdate) -> Generator[None, None, SubsetUpdate | None]:
        """Apply an update that was staged, in steps; what of it concerns the subset."""
        subset_update = yield from self.endpoint_list.take_over(update.staged, update.kind, update.version)
        return self.publish_subset(subset_update)

    def apply_staged_in_steps(self, update: StagedEndpointUpdate) -> Steps:
        """`apply_staged` for whoever needs no result."""
        yield from self.apply_staged(update)

    def publish_subset(self, update: SubsetUpdate | None) -> SubsetUpdate | None:
        """Publish what an update changes in the subset, under the overlay; None changes nothing."""
        if update:
            self.publish(self.overlay(update.event), update.addresses)
        return update

    def publish(self, event: EndpointListReceived, addresses: dict[str, EndpointAddress]) -> None:
        """Hand an update to the policy and the backends; `addresses`: those that are new with it."""
        is_full = event.kind is not EndpointListKind.CHANGES
        states = {endpoint.name: endpoint.state for endpoint in event.endpoints}
        started_us = {endpoint.name: endpoint.started_us for endpoint in event.endpoints}
        # Posted first: attempts that the backends end because of it are then decided on with the new list.
        self.post(event)
        self.backends.update(states, addresses, is_full, started_us)
