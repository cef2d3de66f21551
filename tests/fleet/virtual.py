"""A fleet in virtual time: agents with journals, proxies without, tools, and a network with losses."""

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
    RevisionChanged,
    Roster,
    SendOrders,
    SocketsListed,
    StateReceived,
)
from molereach.fleet.wire import ProxyState

MS_US = 1000
CALL_US = 300 * MS_US
HEARTBEAT_US = 200 * MS_US
SYNC_US = 400 * MS_US
TICK_US = 25 * MS_US
READY = {"s1": "east", "s2": "east", "s3": "west", "s4": "west"}


@dataclass
class SimulatedProxy:
    """A proxy, which loses its orders when it restarts."""

    name: str
    up: bool = True
    pid: int = 1
    order_state: OrderState = field(default_factory=OrderState)
    carried: list[int] = field(default_factory=list)  # revisions, over all its starts

    def state(self) -> ProxyState:
        return ProxyState(self.name, self.pid, 1.0, False, self.order_state.revision, 1, 0, 0)


@dataclass
class Tool:
    """A run of the tool, which may be killed at a step."""

    rollout: Rollout
    kill_at: str = ""
    dead: bool = False
    steps: list[str] = field(default_factory=list)
    on_step: Callable[[str], None] = lambda step: None
    truth: dict[str, list[int]] = field(default_factory=dict)  # what proxies had carried out at the report


class Fleet:
    """Five agents with a proxy each, by default."""

    def __init__(self, seed: int, loss: float = 0.0, size: int = 5, slowest_us: int = 40 * MS_US) -> None:
        self.random = Random(seed)
        self.loss = loss
        self.slowest_us = slowest_us
        self.now_us = 0
        self.serial = 0
        self.heap: list[tuple[int, int, Callable[[], None]]] = []
        self.names = tuple(f"a{number}" for number in range(size))
        self.agents = {name: Acceptor() for name in self.names}
        self.away: set[str] = set()  # agents that are down or cut off
        self.proxies = {name: SimulatedProxy(f"n{name[1:]}") for name in self.names}
        self.rosters = {name: Roster(name) for name in self.names}
        self.connected: set[str] = set()
        self.tools: list[Tool] = []
        for name in self.names:
            self.update_roster(name, RevisionChanged(0, True))
            self.send_heartbeat(name)
            self.sync(name)

    # --- time and the network ---

    def after(self, delay_us: int, do: Callable[[], None]) -> None:
        self.serial += 1
        heapq.heappush(self.heap, (self.now_us + delay_us, self.serial, do))

    def hop(self, do: Callable[[], None], lost: Callable[[], None] = lambda: None) -> None:
        """Over the network; what is lost is noticed by a time-out only."""
        if self.random.random() < self.loss:
            self.after(CALL_US, lost)
        else:
            self.after(self.random.randint(1, self.slowest_us), do)

    def run(self, until: Callable[[], bool], max_us: int = 60_000 * MS_US) -> None:
        end = self.now_us + max_us
        while not until() and self.heap and self.now_us < end:
            self.now_us, _, do = heapq.heappop(self.heap)
            do()
            self.check()

    def settle(self) -> None:
        """Everybody is back and nothing is lost: the fleet comes to rest."""
        self.loss = 0.0
        for name in self.names:
            self.away.discard(name)
            self.proxies[name].up = True
        end = self.now_us + 5_000 * MS_US
        self.run(lambda: self.now_us >= end)

    # --- agents and proxies ---

    def update_roster(
        self, name: str, event: StateReceived | Disconnected | Connected | SocketsListed | RevisionChanged
    ) -> None:
        for action in self.rosters[name].handle(self.now_us // MS_US, event):
            if isinstance(action, SendOrders):
                self.put(name)

    def put(self, name: str) -> None:
        order_state = self.agents[name].order_state.to_record()
        proxy, start = self.proxies[name], self.proxies[name].pid

        def arrive() -> None:
            if proxy.up and proxy.pid == start:
                if proxy.order_state.adopt(OrderStateRecord(order_state.revision, order_state.in_force)):
                    proxy.carried.append(order_state.revision)
                self.hop(lambda: self.on_state(name, start))

        self.hop(arrive)

    def on_state(self, name: str, start: int) -> None:
        if name not in self.away and self.proxies[name].pid == start and self.proxies[name].up:
            self.update_roster(name, StateReceived(self.proxies[name].name, self.proxies[name].state()))

    def send_heartbeat(self, name: str) -> None:
        """The agent looks at its proxy, and tells it again what it lacks."""
        proxy = self.proxies[name]
        if name not in self.away:
            self.update_roster(name, SocketsListed(frozenset({proxy.name})))
            if proxy.up and name not in self.connected:
                self.connected.add(name)
                self.update_roster(name, Connected(proxy.name))
            elif not proxy.up:
                self.connected.discard(name)
                self.update_roster(name, Disconnected(proxy.name, "refused"))
            if proxy.up:
                self.hop(lambda: self.on_state(name, proxy.pid))
        self.after(HEARTBEAT_US, lambda: self.send_heartbeat(name))

    def sync(self, name: str) -> None:
        peer = self.random.choice(self.names)
        if not {name, peer} & self.away:
            self.hop(lambda: self.adopt(name, self.agents[peer].order_state.to_record()))
        self.after(SYNC_US, lambda: self.sync(name))

    def adopt(self, name: str, order_state: OrderStateRecord) -> None:
        if name not in self.away and self.agents[name].order_state.adopt(order_state):
            self.update_roster(name, RevisionChanged(order_state.revision, True))

    def restart_agent(self, name: str) -> None:
        """With what is on its disk; what it knew of its proxy is gone."""
        self.agents[name] = Acceptor(self.agents[name].state, self.agents[name].order_state.to_record())
        self.rosters[name] = Roster(name)
        self.connected.discard(name)
        self.update_roster(name, RevisionChanged(self.agents[name].order_state.revision, True))

    def kill_proxy(self, name: str) -> None:
        proxy = self.proxies[name]
        proxy.up = False
        proxy.pid += 1
        proxy.order_state = OrderState()

    def snapshot(self, name: str) -> AgentSnapshot:
        acceptor = self.agents[name]
        status = Status(
            name,
            self.names,
            acceptor.order_state.revision,
            True,
            "",
            acceptor.pending(),
            self.rosters[name].proxy_statuses(self.now_us // MS_US),
        )
        return AgentSnapshot(status, acceptor.order_state.to_record(), READY if self.proxies[name].up else {})

    # --- tools ---

    def draws(self) -> Iterator[float]:
        while True:
            yield self.random.random()

    def give(
        self, draft: events.Draft, kill_at: str = "", on_step: Callable[[str], None] = lambda step: None
    ) -> Tool:
        """Start a tool."""
        expected = {name: (self.proxies[name].name,) for name in self.names}
        run = f"run{len(self.tools)}"
        tool = Tool(
            Rollout(self.names, draft, run, self.draws(), 0, 1, events.Timeouts(), expected),
            kill_at,
            on_step=on_step,
        )
        self.tools.append(tool)
        self.act(tool, tool.rollout.begin(self.now_us))
        self.tick(tool)
        return tool

    def tick(self, tool: Tool) -> None:
        if not tool.dead and tool.rollout.report is None:
            self.hand(tool, events.Tick())
            self.after(TICK_US, lambda: self.tick(tool))

    def hand(self, tool: Tool, event: events.Event) -> None:
        if not tool.dead and tool.rollout.report is None:
            self.act(tool, tool.rollout.handle(self.now_us, event))

    def act(self, tool: Tool, actions: list[events.Action]) -> None:
        for action in actions:
            if tool.dead:
                return
            if isinstance(action, events.Step):
                tool.steps.append(action.name)
                tool.dead = action.name == tool.kill_at
                tool.on_step(action.name)
                if action.name == "reported":
                    tool.truth = {proxy.name: list(proxy.carried) for proxy in self.proxies.values()}
            elif isinstance(action, events.RequestSnapshot):
                self.request_snapshot(tool, action.agent)
            else:
                self.say(tool, action.agent, action.message)

    def request_snapshot(self, tool: Tool, agent: str) -> None:
        def failed() -> None:
            self.hand(tool, events.RequestFailed(agent, "no answer", snapshot_requested=True))

        def arrive() -> None:
            if agent in self.away:
                self.after(CALL_US, failed)
                return
            snapshot = self.snapshot(agent)
            self.hop(lambda: self.hand(tool, events.SnapshotReceived(agent, snapshot)), failed)

        self.hop(arrive, failed)

    def say(self, tool: Tool, agent: str, message: Message) -> None:
        def failed() -> None:
            self.hand(tool, events.RequestFailed(agent, "no answer"))

        def arrive() -> None:
            if agent in self.away:
                self.after(CALL_US, failed)
                return
            before = self.agents[agent].order_state.revision
            replies = self.agents[agent].handle(message)
            if self.agents[agent].order_state.revision > before:
                self.update_roster(agent, RevisionChanged(self.agents[agent].order_state.revision, True))
            for reply in replies:
                self.hop(lambda reply=reply: self.hand(tool, events.ReplyReceived(agent, reply)), failed)

        self.hop(arrive, failed)

    # --- what must always hold ---

    def check(self) -> None:
        """No two agents hold different orders at one revision, and no report claims what was not so."""
        decided_ids: dict[int, str] = {}
        for agent in self.agents.values():
            for decided in agent.order_state.recent.values():
                assert decided_ids.setdefault(decided.revision, decided.order.id) == decided.order.id

    def check_report(self, tool: Tool) -> None:
        """What the tool said is what each proxy had done by then."""
        report = tool.rollout.report
        assert report is not None
        revision = report.decided.revision if report.decided else 0
        for proxy_report in report.proxies:
            done = bool(revision) and any(each >= revision for each in tool.truth.get(proxy_report.proxy, ()))
            assert done or not proxy_report.applied, (proxy_report, tool.truth)
        named = {each.proxy for each in report.proxies}
        assert named == {proxy.name for proxy in self.proxies.values()}
        if report.verdict is Verdict.DONE:
            assert all(each.applied for each in report.proxies) and all(
                each.notified for each in report.agents
            )
        elif report.verdict is Verdict.PARTIAL:
            assert any(not each.applied for each in report.proxies) or any(
                not each.notified for each in report.agents
            )

    def final(self) -> tuple[OrderStateRecord, list[frozenset[str]]]:
        """The record that all agents have, and what each proxy drains."""
        records = {agent.order_state.to_record() for agent in self.agents.values()}
        assert len(records) == 1
        return records.pop(), [
            proxy.order_state.active_subjects(Verb.DRAIN, 0) for proxy in self.proxies.values()
        ]


def once(record: OrderStateRecord, order_id: str) -> Decided | None:
    """The decided order with an id, of which a record holds one at most."""
    found = [decided for decided in record.recent if decided.order.id == order_id]
    assert len(found) <= 1
    return found[0] if found else None
