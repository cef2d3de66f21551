"""Renewal requests from below on their way up, and the routes that grants take back.

At most `MAX_MEMBERS` of each are kept. Without capacity, names that are known to be live replace those
that are not, so invented names cannot keep out anybody.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Generic, NamedTuple, TypeVar

from molereach.coordination.interface.identifiers import MAX_MEMBERS
from molereach.coordination.interface.sessions import RenewalGrant, RenewalRequest

Key = TypeVar("Key")
Value = TypeVar("Value")


class BoundedRegistry(Generic[Key, Value]):
    """A mapping of at most `MAX_MEMBERS`, in which known keys come before unknown ones."""

    def __init__(self) -> None:
        self.known: dict[Key, Value] = {}
        self.unknown: dict[Key, Value] = {}

    def __len__(self) -> int:
        """The number of keys."""
        return len(self.known) + len(self.unknown)

    def get(self, key: Key) -> Value | None:
        """The value of a key, or None."""
        return self.known.get(key) or self.unknown.get(key)

    def put(self, key: Key, value: Value, known: bool) -> None:
        """Set a value; without capacity a known key replaces an unknown one, and any other is dropped."""
        if key not in self.known and key not in self.unknown and len(self) >= MAX_MEMBERS:
            if not known or not self.unknown:
                return
            self.unknown.popitem()
        (self.known if key in self.known or known else self.unknown)[key] = value
        if known:
            self.unknown.pop(key, None)

    def values(self) -> tuple[Value, ...]:
        """All values, those of known keys first."""
        return (*self.known.values(), *self.unknown.values())

    def keep(self, wanted: Callable[[Value], bool]) -> None:
        """Remove all values but the wanted."""
        self.known = {key: value for key, value in self.known.items() if wanted(value)}
        self.unknown = {key: value for key, value in self.unknown.items() if wanted(value)}


class RequestOrder(NamedTuple):
    """The order of renewal requests of one name; the highest is the newest."""

    instance_number: int
    number: int


class SessionKey(NamedTuple):
    """One session of one instance."""

    name: str
    instance_number: int
    fencing_token: int


class RoutedGrants(NamedTuple):
    """Grants for this proxy, and those for others by the child that they go through."""

    local: list[RenewalGrant]
    by_child: dict[str, list[RenewalGrant]]


@dataclass(slots=True)
class _Route:
    child: str
    order: RequestOrder  # of the request that came this way
    received_us: int
    awaits_grant: bool = True  # False once granted, or in a ring of proxies a grant would circulate for ever


class RenewalAggregator:
    """The newest request of each session, and the child that the newest request of each name came by."""

    def __init__(self, local_name: str, route_lifetime_us: int) -> None:
        self.local_name = local_name
        self.route_lifetime_us = route_lifetime_us
        self.local_request: RenewalRequest | None = None
        self.requests: BoundedRegistry[SessionKey, RenewalRequest] = BoundedRegistry()
        self.routes: BoundedRegistry[str, _Route] = BoundedRegistry()

    def set_local_request(self, request: RenewalRequest) -> None:
        """Set this proxy's request, which each report repeats until it is granted, as any may be lost."""
        self.local_request = request

    def collect(
        self, now_us: int, child: str, requests: Iterable[RenewalRequest], live: dict[str, int]
    ) -> None:
        """Add the requests of a child's report; those under this proxy's own name are ignored."""
        for request in requests:
            if request.name != self.local_name:
                self._collect_one(now_us, child, request, request.name in live)

    def _collect_one(self, now_us: int, child: str, request: RenewalRequest, known: bool) -> None:
        key = SessionKey(request.name, request.instance_number, request.fencing_token)
        previous = self.requests.get(key)
        if previous is None or request.number > previous.number:
            self.requests.put(key, request, known)
        route = self.routes.get(request.name)
        order = RequestOrder(request.instance_number, request.number)
        if route is None or order >= route.order:
            self.routes.put(request.name, _Route(child, order, now_us), known)

    def flush(self, now_us: int) -> tuple[RenewalRequest, ...]:
        """Remove and return all requests, this proxy's first; others repeat theirs, so none is kept."""
        requests = self.requests.values()
        self.requests = BoundedRegistry()
        self.routes.keep(lambda route: now_us - route.received_us <= self.route_lifetime_us)
        return ((self.local_request, *requests) if self.local_request else requests)[:MAX_MEMBERS]

    def route_grants(self, grants: Iterable[RenewalGrant]) -> RoutedGrants:
        """Divide grants by the way they go; those without a route are dropped."""
        routed = RoutedGrants([], {})
        used: list[_Route] = []
        for grant in grants:
            if grant.name == self.local_name:
                routed.local.append(grant)
            elif (route := self.routes.get(grant.name)) and route.awaits_grant:
                used.append(route)
                routed.by_child.setdefault(route.child, []).append(grant)
        # Only now, as several grants of one batch may go the same way.
        for route in used:
            route.awaits_grant = False
        for grant in routed.local:
            self.on_local_grant(grant)
        return routed

    def on_local_grant(self, grant: RenewalGrant) -> None:
        """Stop repeating the local request if this grant answers it or a later one."""
        request = self.local_request
        if request is None or grant.number < request.number:
            return
        same_instance = grant.instance_number == request.instance_number
        if same_instance and grant.fencing_token == request.fencing_token:
            self.local_request = None
