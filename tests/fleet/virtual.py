"""A simulated fleet in virtual time: agents, proxies, tools, and a network that loses and delays messages."""

import heapq
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from random import Random

from molereach.fleet.agreement import Acceptor, Message
from molereach.fleet.api_bodies import AgentSnapshot, Status
from molereach.fleet.order_state import OrderState
from molereach.fleet.orders import Decided, OrderStateRecord, Verb
from molereach.fleet.rollout import events
from molereach.fleet.rollout.report import Verdict
from molereach.fleet.rollout.stages import Rollout
from molereach.fleet.roster import (
    Connected,
    Disconnected,
    RevisionOrReadinessChanged,
    Roster,
    SendOrders,
    SocketsListed,
    StateReceived,
)
from molereach.fleet.wire import ProxyState

US_PER_MS = 1000
REQUEST_TIMEOUT_US = 300 * US_PER_MS
HEARTBEAT_INTERVAL_US = 200 * US_PER_MS
SYNC_INTERVAL_US = 400 * US_PER_MS
TICK_INTERVAL_US = 25 * US_PER_MS
READY = {"s1": "east", "s2": "east", "s3": "west", "s4": "west"}


@dataclass
class SimulatedProxy:
    """A proxy, which loses its orders when it restarts."""

    name: str
    up: bool = True
    has_ended: bool = False  # it has removed its socket
    pid: int = 1
    order_state: OrderState = field(default_factory=OrderState)
    applied: list[int] = field(default_factory=list)  # all revisions that it has applied, over restarts

    def state(self) -> ProxyState:
        return ProxyState(self.name, self.pid, 1.0, False, self.order_state.revision, 1, 0, 0)


@dataclass
class Tool:
    """A run of the tool, which may be killed at a step."""

    rollout: Rollout
    kill_at: str = ""
    killed: bool = False
    steps: list[str] = field(default_factory=list)
    on_step: Callable[[str], None] = lambda step: None
    # The revisions that each proxy had applied when the tool reported.
    applied_at_report: dict[str, list[int]] = field(default_factory=dict)


class Fleet:
    """Five agents by default, with one proxy each."""

    def __init__(
        self, seed: int, loss: float = 0.0, size: int = 5, max_delay_us: int = 40 * US_PER_MS
    ) -> None:
        self.random = Random(seed)
        self.loss = loss
        self.max_delay_us = max_delay_us
        self.now_us = 0
        self.event_count = 0
        self.scheduled: list[tuple[int, int, Callable[[], None]]] = []
        self.names = tuple(f"a{number}" for number in range(size))
        self.agents = {name: Acceptor() for name in self.names}
        self.unreachable: set[str] = set()  # agents that are down or disconnected
        self.proxies = {name: SimulatedProxy(f"n{name[1:]}") for name in self.names}
        self.rosters = {name: Roster(name) for name in self.names}
        self.connected: set[str] = set()
        self.tools: list[Tool] = []
        for name in self.names:
            self.update_roster(name, RevisionOrReadinessChanged(0, True))
            self.send_heartbeat(name)
            self.sync(name)

    # --- time and the network ---

    def after(self, delay_us: int, action: Callable[[], None]) -> None:
        self.event_count += 1
        heapq.heappush(self.scheduled, (self.now_us + delay_us, self.event_count, action))

    def transmit(self, on_arrival: Callable[[], None], on_loss: Callable[[], None] = lambda: None) -> None:
        """Send a message; its loss is noticed only by a timeout."""
        if self.random.random() < self.loss:
            self.after(REQUEST_TIMEOUT_US, on_loss)
        else:
            self.after(self.random.randint(1, self.max_delay_us), on_arrival)

    def run(self, until: Callable[[], bool], max_us: int = 60_000 * US_PER_MS) -> None:
        end_us = self.now_us + max_us
        while not until() and self.scheduled and self.now_us < end_us:
            self.now_us, _, action = heapq.heappop(self.scheduled)
            action()
            self.check_agreement()

    def recover(self) -> None:
        """End all faults, and run for 5 s, in which agents and proxies catch up."""
        self.loss = 0.0
        for name in self.names:
            self.unreachable.discard(name)
            self.proxies[name].up = True
        end_us = self.now_us + 5_000 * US_PER_MS
        self.run(lambda: self.now_us >= end_us)

    # --- agents and proxies ---

    def update_roster(
        self,
        name: str,
        event: StateReceived | Disconnected | Connected | SocketsListed | RevisionOrReadinessChanged,
    ) -> None:
        for action in self.rosters[name].handle(self.now_us // US_PER_MS, event):
            if isinstance(action, SendOrders):
                self.send_orders(name)

    def send_orders(self, name: str) -> None:
        record = self.agents[name].order_state.to_record()
        proxy, pid = self.proxies[name], self.proxies[name].pid

        def on_arrival() -> None:
            if proxy.up and proxy.pid == pid:
                if proxy.order_state.adopt(OrderStateRecord(record.revision, record.in_force)):
                    proxy.applied.append(record.revision)
                self.transmit(lambda: self.on_state(name, pid))

        self.transmit(on_arrival)

    def on_state(self, name: str, pid: int) -> None:
        if name not in self.unreachable and self.proxies[name].pid == pid and self.proxies[name].up:
            self.update_roster(name, StateReceived(self.proxies[name].name, self.proxies[name].state()))

    def send_heartbeat(self, name: str) -> None:
        """The agent checks the socket of its proxy and requests the state, at intervals."""
        proxy = self.proxies[name]
        if name not in self.unreachable:
            sockets = frozenset[str]() if proxy.has_ended else frozenset({proxy.name})
            self.update_roster(name, SocketsListed(sockets))
            if proxy.up and name not in self.connected:
                self.connected.add(name)
                self.update_roster(name, Connected(proxy.name))
            elif not proxy.up and (name in self.connected or not proxy.has_ended):
                self.connected.discard(name)
                self.update_roster(name, Disconnected(proxy.name, "refused"))
            if proxy.up:
                self.transmit(lambda: self.on_state(name, proxy.pid))
        self.after(HEARTBEAT_INTERVAL_US, lambda: self.send_heartbeat(name))

    def sync(self, name: str) -> None:
        peer = self.random.choice(self.names)
        if not {name, peer} & self.unreachable:
            self.transmit(lambda: self.adopt(name, self.agents[peer].order_state.to_record()))
        self.after(SYNC_INTERVAL_US, lambda: self.sync(name))

    def adopt(self, name: str, record: OrderStateRecord) -> None:
        if name not in self.unreachable and self.agents[name].order_state.adopt(record):
            self.update_roster(name, RevisionOrReadinessChanged(record.revision, True))

    def restart_agent(self, name: str) -> None:
        """Restart an agent from its stored state, without its roster."""
        self.agents[name] = Acceptor(self.agents[name].state, self.agents[name].order_state.to_record())
        self.rosters[name] = Roster(name)
        self.connected.discard(name)
        self.update_roster(name, RevisionOrReadinessChanged(self.agents[name].order_state.revision, True))

    def kill_proxy(self, name: str) -> None:
        proxy = self.proxies[name]
        proxy.up = False
        proxy.pid += 1
        proxy.order_state = OrderState()

    def end_proxy(self, name: str) -> None:
        """Shut a proxy down regularly: its socket is removed."""
        self.kill_proxy(name)
        self.proxies[name].has_ended = True

    def snapshot(self, name: str) -> AgentSnapshot:
        acceptor = self.agents[name]
        status = Status(
            name,
            self.names,
            acceptor.order_state.revision,
            True,
            "",
            acceptor.pending(),
            self.rosters[name].proxy_statuses(self.now_us // US_PER_MS),
        )
        return AgentSnapshot(status, acceptor.order_state.to_record(), READY if self.proxies[name].up else {})

    # --- tools ---

    def random_values(self) -> Iterator[float]:
        while True:
            yield self.random.random()

    def start_tool(
        self, draft: events.Draft, kill_at: str = "", on_step: Callable[[str], None] = lambda step: None
    ) -> Tool:
        """Start a run of the tool for an order."""
        expected_proxies = {name: (self.proxies[name].name,) for name in self.names}
        run_id = f"run{len(self.tools)}"
        tool = Tool(
            Rollout(
                self.names, draft, run_id, self.random_values(), 0, 1, events.Timeouts(), expected_proxies
            ),
            kill_at,
            on_step=on_step,
        )
        self.tools.append(tool)
        self.carry_out(tool, tool.rollout.begin(self.now_us))
        self.tick(tool)
        return tool

    def tick(self, tool: Tool) -> None:
        if not tool.killed and tool.rollout.report is None:
            self.handle(tool, events.Tick())
            self.after(TICK_INTERVAL_US, lambda: self.tick(tool))

    def handle(self, tool: Tool, event: events.Event) -> None:
        if not tool.killed and tool.rollout.report is None:
            self.carry_out(tool, tool.rollout.handle(self.now_us, event))

    def carry_out(self, tool: Tool, actions: list[events.Action]) -> None:
        for action in actions:
            if tool.killed:
                return
            if isinstance(action, events.Step):
                tool.steps.append(action.name)
                tool.killed = action.name == tool.kill_at
                tool.on_step(action.name)
                if action.name == "reported":
                    tool.applied_at_report = {
                        proxy.name: list(proxy.applied) for proxy in self.proxies.values()
                    }
            elif isinstance(action, events.RequestSnapshot):
                self.request_snapshot(tool, action.agent)
            else:
                self.send_message(tool, action.agent, action.message)

    def request_snapshot(self, tool: Tool, agent: str) -> None:
        def on_failure() -> None:
            self.handle(tool, events.RequestFailed(agent, "no answer", snapshot_requested=True))

        def on_arrival() -> None:
            if agent in self.unreachable:
                self.after(REQUEST_TIMEOUT_US, on_failure)
                return
            snapshot = self.snapshot(agent)
            self.transmit(lambda: self.handle(tool, events.SnapshotReceived(agent, snapshot)), on_failure)

        self.transmit(on_arrival, on_failure)

    def send_message(self, tool: Tool, agent: str, message: Message) -> None:
        def on_failure() -> None:
            self.handle(tool, events.RequestFailed(agent, "no answer"))

        def on_arrival() -> None:
            if agent in self.unreachable:
                self.after(REQUEST_TIMEOUT_US, on_failure)
                return
            revision_before = self.agents[agent].order_state.revision
            replies = self.agents[agent].handle(message)
            if self.agents[agent].order_state.revision > revision_before:
                self.update_roster(
                    agent, RevisionOrReadinessChanged(self.agents[agent].order_state.revision, True)
                )
            for reply in replies:
                self.transmit(
                    lambda reply=reply: self.handle(tool, events.ReplyReceived(agent, reply)), on_failure
                )

        self.transmit(on_arrival, on_failure)

    # --- invariants ---

    def check_agreement(self) -> None:
        """Assert that no two agents hold different orders at one revision."""
        decided_ids: dict[int, str] = {}
        for agent in self.agents.values():
            for decided in agent.order_state.recent.values():
                assert decided_ids.setdefault(decided.revision, decided.order.id) == decided.order.id

    def check_report(self, tool: Tool) -> None:
        """Assert that the report claims nothing that a proxy had not applied at the time of the report."""
        report = tool.rollout.report
        assert report is not None
        revision = report.decided.revision if report.decided else 0
        for proxy_report in report.proxies:
            applied = bool(revision) and any(
                applied_revision >= revision
                for applied_revision in tool.applied_at_report.get(proxy_report.proxy, ())
            )
            assert applied or not proxy_report.applied, (proxy_report, tool.applied_at_report)
        reported_proxies = {each.proxy for each in report.proxies}
        assert reported_proxies == {proxy.name for proxy in self.proxies.values()}
        if report.verdict is Verdict.DONE:
            assert all(each.applied for each in report.proxies) and all(
                each.notified for each in report.agents
            )
        elif report.verdict is Verdict.PARTIAL:
            assert any(not each.applied for each in report.proxies) or any(
                not each.notified for each in report.agents
            )

    def final_state(self) -> tuple[OrderStateRecord, list[frozenset[str]]]:
        """Return the record that all agents hold, and the servers that each proxy drains."""
        records = {agent.order_state.to_record() for agent in self.agents.values()}
        assert len(records) == 1
        return records.pop(), [
            proxy.order_state.active_subjects(Verb.DRAIN, 0) for proxy in self.proxies.values()
        ]


def find_once(record: OrderStateRecord, order_id: str) -> Decided | None:
    """Return the decided order with an id; assert that the record holds it at most once."""
    found = [decided for decided in record.recent if decided.order.id == order_id]
    assert len(found) <= 1
    return found[0] if found else None
