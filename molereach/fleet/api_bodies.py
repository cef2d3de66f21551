"""The bodies of an agent's HTTP API that describe the agent and its proxies.

Class docstrings and the names given to `msgspec.field` are published in the API's description
(`agent/openapi.json`), and so are class names unless `agent/openapi.py` maps them; none of them may change.
"""

from collections.abc import Iterable
from typing import Literal

import msgspec

from molereach.fleet.orders import Decided, Order, OrderStateRecord
from molereach.fleet.wire import Member, ProxyState, QuotaStatus

MAX_BODY_BYTES = 1 << 20  # larger than the largest `OrderStateRecord`
# new: no response yet; silent: connected, but not responding; gone: not connected; ended: removed its socket
Reachability = Literal["new", "up", "silent", "gone", "ended"]


class Body(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A body of the API."""


class ProxyStatus(Body, frozen=True):
    """A front door as its agent knows it; times in milliseconds."""

    name: str
    reachability: Reachability = msgspec.field(name="reach")
    # Since its last response; None for never.
    reported_ago_ms: int | None = msgspec.field(name="heard_ago_ms")
    reason: str = msgspec.field(name="why", default="")
    state: ProxyState | None = None  # the last one received

    @property
    def revision(self) -> int:
        """The revision of the orders in its last state; 0 if no state was received."""
        return self.state.revision if self.state else 0


class Status(Body, frozen=True):
    """An agent and its front doors."""

    agent: str
    fleet: tuple[str, ...]  # the names of all agents that vote on orders
    revision: int
    synced: bool  # whether a majority of agents has responded since the start
    journal: str  # why the journal can no longer be written, or ""
    pending: Order | None  # accepted by this agent, but not known to be decided
    proxies: tuple[ProxyStatus, ...] = msgspec.field(name="doors")


class AgentSnapshot(Body, frozen=True):
    """All that a tool needs to give an order."""

    status: Status
    order_state: OrderStateRecord = msgspec.field(name="book")
    ready: dict[str, str]  # servers that all proxies listing them list as up, with their buildings


class Members(Body, frozen=True):
    """The servers as each front door that answers sees them."""

    agent: str
    proxies: dict[str, tuple[Member, ...]] = msgspec.field(name="doors")
    missing: dict[str, str]  # proxies that did not respond, with the reason


class Quota(Body, frozen=True):
    """What each front door that answers knows of a customer's quota."""

    agent: str
    proxies: dict[str, tuple[QuotaStatus, ...]] = msgspec.field(name="doors")
    missing: dict[str, str]


class Orders(Body, frozen=True):
    """Orders in force, the latest ones, and one that is under way."""

    agent: str
    revision: int
    in_force: tuple[Decided, ...]
    recent: tuple[Decided, ...]
    pending: Order | None


class Event(Body, frozen=True):
    """Something that an agent saw or did; `number` counts up, so that a gap can be seen."""

    number: int
    at_ms: int
    agent: str
    kind: Literal["door", "order", "agent", "refusal", "dropped"]
    subject: str
    text: str


class Problem(Body, frozen=True):
    """Why something could not be answered, in one line."""

    error: str


def ready_servers(proxies: Iterable[Iterable[Member]]) -> dict[str, str]:
    """Return the servers that all proxies listing them list as up, with their buildings."""
    buildings: dict[str, str] = {}
    not_up: set[str] = set()
    for members in proxies:
        for member in members:
            buildings[member.name] = member.building
            if member.listed != "up":
                not_up.add(member.name)
    return {name: building for name, building in buildings.items() if name not in not_up}
