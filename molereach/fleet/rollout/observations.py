"""The latest snapshot of each agent, and the reasons of failed requests."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from molereach.fleet.api_bodies import AgentSnapshot
from molereach.fleet.orders import Order, Verb
from molereach.fleet.rollout.events import Action, RequestSnapshot


@dataclass(slots=True)
class Observations:
    """What the agents have reported so far.

    `expected_proxies` holds the names of each agent's proxies, if the fleet's file lists them. `received_us`
    holds the time at which each snapshot arrived, `failures` the reason for which an agent's last request
    failed, and `pending` the agents whose snapshot is requested and has not arrived.
    """

    expected_proxies: Mapping[str, tuple[str, ...]]
    snapshots: dict[str, AgentSnapshot] = field(default_factory=dict)
    received_us: dict[str, int] = field(default_factory=dict)
    failures: dict[str, str] = field(default_factory=dict)
    pending: set[str] = field(default_factory=set)

    def request_snapshots(self, agents: tuple[str, ...]) -> list[Action]:
        """Request the snapshots of those `agents` that have no such request pending."""
        not_pending = [agent for agent in agents if agent not in self.pending]
        self.pending.update(not_pending)
        return [RequestSnapshot(agent) for agent in not_pending]

    def record_snapshot(self, now_us: int, agent: str, snapshot: AgentSnapshot) -> None:
        """Store an agent's snapshot that arrived at `now_us`."""
        self.pending.discard(agent)
        self.failures.pop(agent, None)
        self.snapshots[agent] = snapshot
        self.received_us[agent] = now_us

    def record_reply(self, agent: str) -> None:
        """Clear the failure of an agent that has replied."""
        self.failures.pop(agent, None)

    def record_failure(self, agent: str, reason: str, snapshot_requested: bool) -> None:
        """Store the reason for which a request to an agent failed."""
        self.failures[agent] = reason
        if snapshot_requested:
            self.pending.discard(agent)

    def clear_snapshots(self) -> None:
        """Drop all snapshots, so that only later ones count; `received_us` remains."""
        self.snapshots.clear()

    def unobserved_agents(self) -> tuple[str, ...]:
        """Return the agents whose last request failed and that have no snapshot."""
        return tuple(agent for agent in self.failures if agent not in self.snapshots)

    def ready_servers(self) -> dict[str, str]:
        """Return the servers that any snapshot gives as ready, with their buildings."""
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
        ended_are_excused = self.any_proxy_serves(revision)
        for proxy in proxies:
            if not (ended_are_excused if proxy.reachability == "ended" else proxy.revision >= revision):
                return False
        names = {proxy.name for proxy in proxies}
        return all(name in names for name in self.expected_proxies.get(agent, ()))

    def any_proxy_serves(self, revision: int) -> bool:
        """Return whether a proxy that has not ended is known to have `revision`.

        A proxy that has ended holds no orders and gets them when it starts. That excuses it while others
        serve; with all of them ended, an order is carried out nowhere.
        """
        return any(
            proxy.revision >= revision and proxy.reachability != "ended"
            for snapshot in self.snapshots.values()
            for proxy in snapshot.status.proxies
        )

    def describe_unknown_subject(self, order: Order) -> str:
        """Return why an order's subject is unknown, or ''; an unknown subject is probably a mistyped name."""
        if order.verb is Verb.DRAIN and not self.is_ready(order.subject):
            return f"no front door that answers lists {order.subject} as up; --force drains it all the same"
        if order.verb is Verb.HOLD and order.subject not in self.known_proxies():
            return f"no agent that answers knows a front door {order.subject}; --force holds it all the same"
        return ""

    def is_ready(self, server: str) -> bool:
        """Return whether any snapshot gives a server as ready."""
        return any(server in snapshot.ready for snapshot in self.snapshots.values())

    def known_proxies(self) -> set[str]:
        """Return the names of the proxies that an agent has reported or the fleet's file lists."""
        reported = {proxy.name for snapshot in self.snapshots.values() for proxy in snapshot.status.proxies}
        expected = {name for names in self.expected_proxies.values() for name in names}
        return reported | expected
