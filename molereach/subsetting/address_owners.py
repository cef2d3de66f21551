"""Reports one endpoint for each address: the one that started last. No I/O.

Addresses are used again: a new backend may listen where one that has gone did, while the entry of the old one
is still listed. Requests for the old one would reach the new one, with the old one's state, zone and warm-up.
"""

import math
from dataclasses import replace

from molereach.endpoint_address import EndpointAddress
from molereach.policy.interface.events import EndpointListKind, EndpointState
from molereach.subsetting.interface import FULL_LIST_KINDS, AddressedEndpoint, SubsetUpdate, removed


class AddressOwners:
    """Hides the endpoints whose address another endpoint has taken over.

    Endpoints that started at the same time, or long ago, are all reported, as none is known to be the later.
    """

    def __init__(self) -> None:
        self.listed: dict[str, AddressedEndpoint] = {}
        self.names: dict[EndpointAddress, dict[str, None]] = {}  # of the endpoints listed at an address
        self.hidden: frozenset[str] = frozenset()

    def apply(self, update: SubsetUpdate) -> SubsetUpdate:
        """Record an update and return it without the endpoints that are hidden.

        A change that hides an endpoint removes it, and one that ends this adds it again.
        """
        if update.event.kind is EndpointListKind.FAILED:
            return update
        if update.event.kind in FULL_LIST_KINDS:
            self.listed = {}
            self.names = {}
            self.hidden = frozenset()
            self.hidden = self.hidden_after(update)
            return self.without_hidden(update) if self.hidden else update
        hidden_before = self.hidden
        self.hidden = self.hidden_after(update)
        return self.with_transitions(update, hidden_before) if hidden_before or self.hidden else update

    def hidden_after(self, update: SubsetUpdate) -> frozenset[str]:
        """Record the entries of an update and return the names of all hidden endpoints."""
        affected: set[EndpointAddress] = set()  # addresses whose hidden endpoints may change
        for endpoint in update.event.endpoints:
            _, address_before = self.listed.pop(endpoint.name, (None, None))
            address = update.addresses.get(endpoint.name, address_before)
            if address_before:
                affected.add(address_before)
                self.remove_name(endpoint.name, address_before)
            if endpoint.state is EndpointState.REMOVED:
                continue
            self.listed[endpoint.name] = endpoint, address
            if address:
                names = self.names.setdefault(address, {})
                names[endpoint.name] = None
                if len(names) > 1 or endpoint.name in self.hidden:
                    affected.add(address)
        return self.hidden_at(affected)

    def remove_name(self, name: str, address: EndpointAddress) -> None:
        """Remove an endpoint from those listed at an address."""
        names = self.names[address]
        del names[name]
        if not names:
            del self.names[address]

    def hidden_at(self, affected: set[EndpointAddress]) -> frozenset[str]:
        """The names of all hidden endpoints, if only those at the affected addresses may have changed."""
        hidden = {
            name for name in self.hidden if name in self.listed and self.listed[name][1] not in affected
        }
        for address in affected:
            names = self.names.get(address, {})
            if len(names) > 1:
                latest = max(map(self.start_order, names))
                hidden.update(name for name in names if self.start_order(name) < latest)
        return frozenset(hidden)

    def start_order(self, name: str) -> float:
        """When a listed endpoint started in microseconds; a start of 0 was before all others."""
        return self.listed[name][0].started_us or -math.inf

    def without_hidden(self, update: SubsetUpdate) -> SubsetUpdate:
        """A full list without the hidden endpoints."""
        shown = tuple(each for each in update.event.endpoints if each.name not in self.hidden)
        addresses = {name: each for name, each in update.addresses.items() if name not in self.hidden}
        return SubsetUpdate(replace(update.event, endpoints=shown), addresses)

    def with_transitions(self, update: SubsetUpdate, hidden_before: frozenset[str]) -> SubsetUpdate:
        """Changes in which hidden endpoints are removed, and those that are shown again are added."""
        changed = {each.name: each for each in update.event.endpoints}
        addresses = dict(update.addresses)
        for name in sorted(hidden_before - self.hidden):
            if name in self.listed:
                endpoint, address = self.listed[name]
                changed.setdefault(name, endpoint)
                if address:
                    addresses[name] = address
        for name in sorted(self.hidden):
            if name in changed or name not in hidden_before:
                changed[name] = removed(self.listed[name][0])
            addresses.pop(name, None)
        return SubsetUpdate(replace(update.event, endpoints=tuple(changed.values())), addresses)
