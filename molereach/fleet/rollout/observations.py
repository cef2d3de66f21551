"""The latest snapshot of each agent, and the agents that could not be reached."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from molereach.fleet.api_bodies import AgentSnapshot
from molereach.fleet.orders import Order, Verb
from molereach.fleet.rollout.events import Action, RequestSnapshot


@dataclass(slots=True)
class Observations:
    """What the agents have reported so far.

    `expected_proxies` names the proxies of each agent, where the fleet's file does. `received_us` is the time
    at which each snapshot arrived, `failures` holds the reason of each agent's last failed request, and
    `pending` the agents whose snapshot is on its way.
    """

    expected_proxies: Mapping[str, tuple[str, ...]]
    snapshots: dict[str, AgentSnapshot] = field(default_factory=dict)
    received_us: dict[str, int] = field(default_factory=dict)
    failures: dict[str, str] = field(default_factory=dict)
    pending: set[str] = field(default_factory=set)

    def request_snapshots(self, agents: tuple[str, ...]) -> list[Action]:
        """Request snapshots of those `agents` for which no request is pending."""
        idle = [agent for agent in agents if agent not in self.pending]
        self.pending.update(idle)
        return [RequestSnapshot(agent) for agent in idle]

    def record_snapshot(self, now_us: int, agent: str, snapshot: AgentSnapshot) -> None:
        """Store an agent's snapshot that arrived at `now_us`."""
        self.pending.discard(agent)
        self.failures.pop(agent, None)
        self.snapshots[agent] = snapshot
        self.received_us[agent] = now_us

    def record_reply(self, agent: str) -> None:
        """Note that an agent is reachable."""
        self.failures.pop(agent, None)

    def record_failure(self, agent: str, reason: str, snapshot_requested: bool) -> None:
        """Note why a request to an agent failed."""
        self.failures[agent] = reason
        if snapshot_requested:
            self.pending.discard(agent)

    def clear_snapshots(self) -> None:
        """Drop all snapshots, so that only later ones count; `received_us` stays."""
        self.snapshots.clear()

    def unobserved_agents(self) -> tuple[str, ...]:
        """Return the agents whose last request failed and that have no snapshot."""
        return tuple(agent for agent in self.failures if agent not in self.snapshots)

    def ready_servers(self) -> dict[str, str]:
        """Return the servers that any snapshot lists as up, with their buildings."""
        return {
            server: building
            for snapshot in self.snapshots.values()
            for server, building in snapshot.ready.items()
        }

    def notified_count(self, revision: int) -> int:
        """Return the number of agents known to have `revision`."""
        return sum(snapshot.order_state.revision >= revision for snapshot in self.snapshots.values())

    def confirmed(self, agent: str, revision: int) -> bool:
        """Return whether the agent and all its proxies are known to have `revision`."""
        snapshot = self.snapshots.get(agent)
        if snapshot is None or snapshot.order_state.revision < revision:
            return False
        proxies = snapshot.status.proxies
        if not all(proxy.revision >= revision or proxy.reachability == "ended" for proxy in proxies):
            return False
        names = {proxy.name for proxy in proxies}
        return all(name in names for name in self.expected_proxies.get(agent, ()))

    def describe_unknown_subject(self, order: Order) -> str:
        """Return why an order's subject is not known, or '' if it is, so that a mistyped name is rejected."""
        if order.verb is Verb.DRAIN and not self.lists_as_up(order.subject):
            return f"no front door that answers lists {order.subject} as up; --force drains it all the same"
        if order.verb is Verb.HOLD and order.subject not in self.known_proxies():
            return f"no agent that answers knows a front door {order.subject}; --force holds it all the same"
        return ""

    def lists_as_up(self, server: str) -> bool:
        """Return whether any snapshot lists a server as up."""
        return any(server in snapshot.ready for snapshot in self.snapshots.values())

    def known_proxies(self) -> set[str]:
        """Return the names of the proxies that agents have reported or the fleet's file names."""
        reported = {proxy.name for snapshot in self.snapshots.values() for proxy in snapshot.status.proxies}
        expected = {name for names in self.expected_proxies.values() for name in names}
        return reported | expected
