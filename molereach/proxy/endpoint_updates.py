"""Applies endpoint updates to the full list, to the policy's subset of it and to the backend connections."""

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
from molereach.subsetting.address_owners import AddressOwners
from molereach.subsetting.interface import EndpointList, SubsetUpdate

log = logging.getLogger(__name__)


class EndpointUpdates:
    """The endpoint list of one proxy, from the list saved for its start and from discovery."""

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
        self.address_owners = AddressOwners()
        # The subset of the saved list, as published at the start.
        self.saved_list: EndpointUpdate | None = None
        # Applies operators' orders to each update before the policy receives it.
        self.overlay: Callable[[EndpointListReceived], EndpointListReceived] = lambda event: event

    def load_saved_list(self, saved: Mapping[str, Any], entry_lists: list[bytes]) -> int:
        """Apply the saved list; return its version, or 0 if there is none or it is malformed.

        `entry_lists` has the entries of a large list; it is emptied, so that each text is freed once it has
        been read.
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
        """Stage the entries of a large list, freeing each text as it is read."""
        staged = self.endpoint_list.stage()
        entry_lists.reverse()
        while entry_lists:
            staged.add(*self.mapping.read_entry_list(entry_lists.pop()))
        return self.mapping.read_staged_update(saved, staged, EndpointListKind.SAVED)

    def on_update(self, update: Update) -> Steps | None:
        """Apply an update from discovery; a staged one is applied by running the steps that are returned.

        EndpointListError if it exceeds the memory limit; the previous list then stays in use.
        """
        if isinstance(update, StagedEndpointUpdate):
            return self.apply_staged_in_steps(update)
        self.apply_complete(update)
        return None

    def apply_complete(self, update: EndpointUpdate) -> SubsetUpdate | None:
        """Apply an update that came in one object; return the change of the subset."""
        return self.publish_subset(self.endpoint_list.apply(update.event, update.addresses))

    def apply_staged(self, update: StagedEndpointUpdate) -> Generator[None, None, SubsetUpdate | None]:
        """Apply a staged update in steps; return the change of the subset."""
        subset_update = yield from self.endpoint_list.take_over(update.staged, update.kind, update.version)
        return self.publish_subset(subset_update)

    def apply_staged_in_steps(self, update: StagedEndpointUpdate) -> Steps:
        """The steps of `apply_staged`, without its result."""
        yield from self.apply_staged(update)

    def publish_subset(self, update: SubsetUpdate | None) -> SubsetUpdate | None:
        """Publish a change of the subset, modified by the overlay; None is no change.

        Returns what was published, without the overlay's modifications.
        """
        if update is None:
            return None
        hidden_before = self.address_owners.hidden
        update = self.address_owners.apply(update)
        for name in sorted(self.address_owners.hidden - hidden_before):
            log.warning("endpoint %s is not used: another one that started later has its address", name)
        self.publish(self.overlay(update.event), update.addresses)
        return update

    def publish(self, event: EndpointListReceived, addresses: dict[str, EndpointAddress]) -> None:
        """Pass an update to the policy and the backends; `addresses` has those of its new endpoints."""
        is_full = event.kind is not EndpointListKind.CHANGES
        states = {endpoint.name: endpoint.state for endpoint in event.endpoints}
        started_us = {endpoint.name: endpoint.started_us for endpoint in event.endpoints}
        # Posted first, so that when the backends end attempts because of the update, the policy handles their
        # results with the new list.
        self.post(event)
        self.backends.update(states, addresses, is_full, started_us)
