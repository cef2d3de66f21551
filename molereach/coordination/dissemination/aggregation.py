"""Asks from below on their way up, and where the grants go back.

At most `MAX_MEMBERS` of each are kept. Where there is no room, names that are known to live push out those
that are not, so invented names cannot keep out anybody.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Generic, TypeVar

from molereach.coordination.dissemination.messages import RenewalGrant, RenewalRequest
from molereach.coordination.interface.identifiers import MAX_MEMBERS

K = TypeVar("K")
V = TypeVar("V")


class BoundedRegistry(Generic[K, V]):
    """A mapping of at most `MAX_MEMBERS`, in which the known come before the unknown."""

    def __init__(self) -> None:
        self.known: dict[K, V] = {}
        self.unknown: dict[K, V] = {}

    def __len__(self) -> int:
        return len(self.known) + len(self.unknown)

    def get(self, key: K) -> V | None:
        return self.known.get(key) or self.unknown.get(key)

    def put(self, key: K, value: V, known: bool) -> None:
        if key not in self.known and key not in self.unknown and len(self) >= MAX_MEMBERS:
            if not known or not self.unknown:
                return
            self.unknown.popitem()
        (self.known if key in self.known or known else self.unknown)[key] = value
        if known:
            self.unknown.pop(key, None)

    def values(self) -> tuple[V, ...]:
        return (*self.known.values(), *self.unknown.values())

    def keep(self, wanted: Callable[[V], bool]) -> None:
        self.known = {key: value for key, value in self.known.items() if wanted(value)}
        self.unknown = {key: value for key, value in self.unknown.items() if wanted(value)}


@dataclass(slots=True)
class _Route:
    child: str
    order: tuple[int, int]  # life and number of the ask that came this way
    received_us: int
    awaits_grant: bool = (
        True  # nothing was granted since it came: in a ring of doors a grant goes round once a beat
    )


class RenewalAggregator:
    """The newest ask of each session, and the child that the newest ask of each name came by."""

    def __init__(self, me: str, kept_us: int) -> None:
        self.local_name, self.route_lifetime_us = me, kept_us
        self.local_request: RenewalRequest | None = None
        self.requests: BoundedRegistry[tuple[str, int, int], RenewalRequest] = BoundedRegistry()
        self.routes: BoundedRegistry[str, _Route] = BoundedRegistry()

    def set_local_request(self, ask: RenewalRequest) -> None:
        """Said again with each word up until it is granted, as any word may be lost."""
        self.local_request = ask

    def collect(self, now_us: int, child: str, asks: Iterable[RenewalRequest], alive: dict[str, int]) -> None:
        for ask in asks:
            if ask.name == self.local_name:  # its own come from here alone
                continue
            key, known = (ask.name, ask.instance_number, ask.fencing_token), ask.name in alive
            held = self.requests.get(key)
            if held is None or ask.number > held.number:
                self.requests.put(key, ask, known)
            route, order = self.routes.get(ask.name), (ask.instance_number, ask.number)
            if route is None or order >= route.order:
                self.routes.put(ask.name, _Route(child, order, now_us), known)

    def flush(self, now_us: int) -> tuple[RenewalRequest, ...]:
        """All that is to go up, this front door's own first; it is not kept, as who asked will ask again."""
        asks = self.requests.values()
        self.requests = BoundedRegistry()
        self.routes.keep(lambda route: now_us - route.received_us <= self.route_lifetime_us)
        return ((self.local_request, *asks) if self.local_request else asks)[:MAX_MEMBERS]

    def route_grants(
        self, grants: Iterable[RenewalGrant]
    ) -> tuple[list[RenewalGrant], dict[str, list[RenewalGrant]]]:
        """Those for this front door, and those for each child; without a way to go they are dropped."""
        own: list[RenewalGrant] = []
        below: dict[str, list[RenewalGrant]] = {}
        shut: list[_Route] = []
        for grant in grants:
            if grant.name == self.local_name:
                own.append(grant)
            elif (route := self.routes.get(grant.name)) and route.awaits_grant:
                shut.append(route)
                below.setdefault(route.child, []).append(grant)
        for route in shut:
            route.awaits_grant = False
        for grant in own:
            self.on_local_grant(grant)
        return own, below

    def on_local_grant(self, grant: RenewalGrant) -> None:
        ask = self.local_request
        if (
            ask
            and (grant.instance_number, grant.fencing_token) == (ask.instance_number, ask.fencing_token)
            and grant.number >= ask.number
        ):
            self.local_request = None
