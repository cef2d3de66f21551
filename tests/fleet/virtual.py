"""A fleet in virtual time: agents with disks, front doors without, tools, and a network that fails."""

import heapq
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from random import Random

from molereach.fleet.agreement import Acceptor, Message
from molereach.fleet.api_bodies import AgentSnapshot, Status
from molereach.fleet.order_state import OrderState
from molereach.fleet.orders import Decided, OrderStateRecord, Verb
from molereach.fleet.rollout import events as ev
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

MS = 1000
CALL_US, BEAT_US, SYNC_US, TICK_US = 300 * MS, 200 * MS, 400 * MS, 25 * MS
READY = {"s1": "east", "s2": "east", "s3": "west", "s4": "west"}


@dataclass
class Door:
    """A front door: what it was told is lost when it starts anew."""

    name: str
    up: bool = True
    pid: int = 1
    book: OrderState = field(default_factory=OrderState)
    carried: list[int] = field(default_factory=list)  # revisions, over all its starts

    def state(self) -> ProxyState:
        return ProxyState(self.name, self.pid, 1.0, False, self.book.revision, 1, 0, 0)


@dataclass
class Tool:
    """A run of the tool, which may be killed at a step."""

    rollout: Rollout
    kill_at: str = ""
    dead: bool = False
    steps: list[str] = field(default_factory=list)
    on_step: Callable[[str], None] = lambda step: None
    truth: dict[str, list[int]] = field(default_factory=dict)  # what doors had carried out at the report


class Fleet:
    """Five agents with a front door each, by default."""

    def __init__(self, seed: int, loss: float = 0.0, size: int = 5, slowest_us: int = 40 * MS) -> None:
        self.random, self.loss, self.slowest_us = Random(seed), loss, slowest_us
        self.now_us, self.serial = 0, 0
        self.heap: list[tuple[int, int, Callable[[], None]]] = []
        self.names = tuple(f"a{number}" for number in range(size))
        self.agents = {name: Acceptor() for name in self.names}
        self.away: set[str] = set()  # agents that are down or cut off
        self.doors = {name: Door(f"n{name[1:]}") for name in self.names}
        self.rosters = {name: Roster(name) for name in self.names}
        self.connected: set[str] = set()
        self.tools: list[Tool] = []
        for name in self.names:
            self.tell(name, RevisionChanged(0, True))
            self.beat(name)
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

    def run(self, until: Callable[[], bool], most_us: int = 60_000 * MS) -> None:
        end = self.now_us + most_us
        while not until() and self.heap and self.now_us < end:
            self.now_us, _, do = heapq.heappop(self.heap)
            do()
            self.check()

    def settle(self) -> None:
        """Everybody is back and nothing is lost: the fleet comes to rest."""
        self.loss = 0.0
        for name in self.names:
            self.away.discard(name)
            self.doors[name].up = True
        end = self.now_us + 5_000 * MS
        self.run(lambda: self.now_us >= end)

    # --- agents and doors ---

    def tell(
        self, name: str, event: StateReceived | Disconnected | Connected | SocketsListed | RevisionChanged
    ) -> None:
        for action in self.rosters[name].handle(self.now_us // MS, event):
            if isinstance(action, SendOrders):
                self.put(name)

    def put(self, name: str) -> None:
        book = self.agents[name].order_state.to_record()
        door, start = self.doors[name], self.doors[name].pid

        def arrive() -> None:
            if door.up and door.pid == start:
                if door.book.adopt(OrderStateRecord(book.revision, book.in_force)):
                    door.carried.append(book.revision)
                self.hop(lambda: self.heard(name, start))

        self.hop(arrive)

    def heard(self, name: str, start: int) -> None:
        if name not in self.away and self.doors[name].pid == start and self.doors[name].up:
            self.tell(name, StateReceived(self.doors[name].name, self.doors[name].state()))

    def beat(self, name: str) -> None:
        """The agent looks at its front door, and tells it again what it lacks."""
        door = self.doors[name]
        if name not in self.away:
            self.tell(name, SocketsListed(frozenset({door.name})))
            if door.up and name not in self.connected:
                self.connected.add(name)
                self.tell(name, Connected(door.name))
            elif not door.up:
                self.connected.discard(name)
                self.tell(name, Disconnected(door.name, "refused"))
            if door.up:
                self.hop(lambda: self.heard(name, door.pid))
        self.after(BEAT_US, lambda: self.beat(name))

    def sync(self, name: str) -> None:
        peer = self.random.choice(self.names)
        if not {name, peer} & self.away:
            self.hop(lambda: self.learn(name, self.agents[peer].order_state.to_record()))
        self.after(SYNC_US, lambda: self.sync(name))

    def learn(self, name: str, book: OrderStateRecord) -> None:
        if name not in self.away and self.agents[name].order_state.adopt(book):
            self.tell(name, RevisionChanged(book.revision, True))

    def restart_agent(self, name: str) -> None:
        """With what is on its disk; what it knew of its front door is gone."""
        self.agents[name] = Acceptor(self.agents[name].state, self.agents[name].order_state.to_record())
        self.rosters[name] = Roster(name)
        self.connected.discard(name)
        self.tell(name, RevisionChanged(self.agents[name].order_state.revision, True))

    def kill_door(self, name: str) -> None:
        door = self.doors[name]
        door.up, door.pid, door.book = False, door.pid + 1, OrderState()

    def view(self, name: str) -> AgentSnapshot:
        acceptor = self.agents[name]
        status = Status(
            name,
            self.names,
            acceptor.order_state.revision,
            True,
            "",
            acceptor.pending(),
            self.rosters[name].proxy_statuses(self.now_us // MS),
        )
        return AgentSnapshot(status, acceptor.order_state.to_record(), READY if self.doors[name].up else {})

    # --- tools ---

    def draws(self) -> Iterator[float]:
        while True:
            yield self.random.random()

    def give(
        self, draft: ev.Draft, kill_at: str = "", on_step: Callable[[str], None] = lambda step: None
    ) -> Tool:
        """Start a tool."""
        expected = {name: (self.doors[name].name,) for name in self.names}
        run = f"run{len(self.tools)}"
        tool = Tool(
            Rollout(self.names, draft, run, self.draws(), 0, 1, ev.Timeouts(), expected),
            kill_at,
            on_step=on_step,
        )
        self.tools.append(tool)
        self.act(tool, tool.rollout.begin(self.now_us))
        self.tick(tool)
        return tool

    def tick(self, tool: Tool) -> None:
        if not tool.dead and tool.rollout.report is None:
            self.hand(tool, ev.Tick())
            self.after(TICK_US, lambda: self.tick(tool))

    def hand(self, tool: Tool, event: ev.Event) -> None:
        if not tool.dead and tool.rollout.report is None:
            self.act(tool, tool.rollout.handle(self.now_us, event))

    def act(self, tool: Tool, actions: list[ev.Action]) -> None:
        for action in actions:
            if tool.dead:
                return
            if isinstance(action, ev.Step):
                tool.steps.append(action.name)
                tool.dead = action.name == tool.kill_at
                tool.on_step(action.name)
                if action.name == "reported":
                    tool.truth = {door.name: list(door.carried) for door in self.doors.values()}
            elif isinstance(action, ev.RequestSnapshot):
                self.look(tool, action.agent)
            else:
                self.say(tool, action.agent, action.message)

    def look(self, tool: Tool, agent: str) -> None:
        def failed() -> None:
            self.hand(tool, ev.RequestFailed(agent, "no answer", snapshot_requested=True))

        def arrive() -> None:
            if agent in self.away:
                self.after(CALL_US, failed)
                return
            view = self.view(agent)
            self.hop(lambda: self.hand(tool, ev.SnapshotReceived(agent, view)), failed)

        self.hop(arrive, failed)

    def say(self, tool: Tool, agent: str, message: Message) -> None:
        def failed() -> None:
            self.hand(tool, ev.RequestFailed(agent, "no answer"))

        def arrive() -> None:
            if agent in self.away:
                self.after(CALL_US, failed)
                return
            before = self.agents[agent].order_state.revision
            replies = self.agents[agent].handle(message)
            if self.agents[agent].order_state.revision > before:
                self.tell(agent, RevisionChanged(self.agents[agent].order_state.revision, True))
            for reply in replies:
                self.hop(lambda reply=reply: self.hand(tool, ev.ReplyReceived(agent, reply)), failed)

        self.hop(arrive, failed)

    # --- what must always hold ---

    def check(self) -> None:
        """No two agents hold different orders at one revision, and no report claims what was not so."""
        stand: dict[int, str] = {}
        for agent in self.agents.values():
            for decided in agent.order_state.recent.values():
                assert stand.setdefault(decided.revision, decided.order.id) == decided.order.id

    def check_report(self, tool: Tool) -> None:
        """What the tool said is what each front door had done by then."""
        report = tool.rollout.report
        assert report is not None
        revision = report.decided.revision if report.decided else 0
        for word in report.proxies:
            done = bool(revision) and any(each >= revision for each in tool.truth.get(word.proxy, ()))
            assert done or not word.applied, (word, tool.truth)
        named = {word.proxy for word in report.proxies}
        assert named == {door.name for door in self.doors.values()}
        if report.verdict is Verdict.DONE:
            assert all(word.applied for word in report.proxies) and all(
                word.notified for word in report.agents
            )
        elif report.verdict is Verdict.PARTIAL:
            assert any(not word.applied for word in report.proxies) or any(
                not word.notified for word in report.agents
            )

    def final(self) -> tuple[OrderStateRecord, list[frozenset[str]]]:
        """The one book of all agents, and what each front door drains."""
        books = {agent.order_state.to_record() for agent in self.agents.values()}
        assert len(books) == 1
        return books.pop(), [door.book.active_subjects(Verb.DRAIN, 0) for door in self.doors.values()]


def once(book: OrderStateRecord, order_id: str) -> Decided | None:
    """The order with an id in a book, where it stands at most once."""
    found = [decided for decided in book.recent if decided.order.id == order_id]
    assert len(found) <= 1
    return found[0] if found else None
