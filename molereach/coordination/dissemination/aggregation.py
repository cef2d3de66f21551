"""Aggregation of renewal requests from the subtree, and the routes of grants back to the requesters.

At most `MAX_MEMBERS` of each are kept. At that limit, names of live proxies replace unknown ones, so that
invented names cannot displace live proxies.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Generic, NamedTuple, TypeVar

from molereach.coordination.interface.identifiers import MAX_MEMBERS
from molereach.coordination.interface.sessions import RenewalGrant, RenewalRequest

Key = TypeVar("Key")
Value = TypeVar("Value")


class BoundedRegistry(Generic[Key, Value]):
    """A mapping of at most `MAX_MEMBERS` keys, in which known keys take precedence over unknown ones."""

    def __init__(self) -> None:
        self.known: dict[Key, Value] = {}
        self.unknown: dict[Key, Value] = {}

    def __len__(self) -> int:
        """The number of keys."""
        return len(self.known) + len(self.unknown)

    def get(self, key: Key) -> Value | None:
        """The value of a key; None if it is absent."""
        return self.known.get(key) or self.unknown.get(key)

    def put(self, key: Key, value: Value, known: bool) -> None:
        """Set a value. When full, a new known key replaces an unknown one; any other new key is dropped."""
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

    def retain(self, predicate: Callable[[Value], bool]) -> None:
        """Remove the values for which `predicate` is false."""
        self.known = {key: value for key, value in self.known.items() if predicate(value)}
        self.unknown = {key: value for key, value in self.unknown.items() if predicate(value)}


class RequestOrder(NamedTuple):
    """The sort key of the renewal requests of one name; the highest is the newest."""

    instance_number: int
    number: int


class SessionKey(NamedTuple):
    """Identifies a session of an instance."""

    name: str
    instance_number: int
    fencing_token: int


class RoutedGrants(NamedTuple):
    """Grants for this proxy, and grants for others by the child that leads to them."""

    local: list[RenewalGrant]
    by_child: dict[str, list[RenewalGrant]]


@dataclass(slots=True)
class _Route:
    child: str
    order: RequestOrder  # of the request that established the route
    received_us: int
    awaits_grant: bool = True  # False once used; otherwise a grant could circulate in a cycle for ever


class RenewalAggregator:
    """The newest request of each session, and the child that sent the newest request of each name."""

    def __init__(self, local_name: str, route_lifetime_us: int) -> None:
        self.local_name = local_name
        self.route_lifetime_us = route_lifetime_us
        self.local_request: RenewalRequest | None = None
        self.requests: BoundedRegistry[SessionKey, RenewalRequest] = BoundedRegistry()
        self.routes: BoundedRegistry[str, _Route] = BoundedRegistry()

    def set_local_request(self, request: RenewalRequest) -> None:
        """Set this proxy's request. Each report repeats it until it is granted, as reports may be lost."""
        self.local_request = request

    def collect(
        self, now_us: int, child: str, requests: Iterable[RenewalRequest], live: dict[str, int]
    ) -> None:
        """Add the requests of a child's report, except any under this proxy's own name."""
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
        """Return all requests, this proxy's first, and clear those of others, who repeat them."""
        requests = self.requests.values()
        self.requests = BoundedRegistry()
        self.routes.retain(lambda route: now_us - route.received_us <= self.route_lifetime_us)
        return ((self.local_request, *requests) if self.local_request else requests)[:MAX_MEMBERS]

    def route_grants(self, grants: Iterable[RenewalGrant]) -> RoutedGrants:
        """Assign grants to their routes; drops those without one."""
        routed = RoutedGrants([], {})
        used: list[_Route] = []
        for grant in grants:
            if grant.name == self.local_name:
                routed.local.append(grant)
            elif (route := self.routes.get(grant.name)) and route.awaits_grant:
                used.append(route)
                routed.by_child.setdefault(route.child, []).append(grant)
        # After the loop, as several grants of one batch may use the same route.
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
