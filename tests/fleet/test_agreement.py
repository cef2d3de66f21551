"""Agents that agree, in virtual time: loss, delay, doubles, restarts, tools that die half way."""

from random import Random

import pytest

from molereach.fleet.agreement import (
    Accept,
    Accepted,
    Acceptor,
    Ballot,
    Behind,
    Known,
    Message,
    Outbid,
    Phase,
    Prepare,
    Promise,
    Proposer,
)
from molereach.fleet.orders import Decided, Order, Verb

AGENTS = ("a1", "a2", "a3", "a4", "a5")


def order(name: str, verb: Verb = Verb.DRAIN, based_on: int = 0) -> Order:
    return Order(name, verb, "s1", name, "because", based_on)


class Fleet:
    """Agents and tools with a network between them; a step delivers, loses, doubles or restarts."""

    def __init__(self, seed: int, loss: float, tools: list[Proposer]) -> None:
        self.random, self.loss = Random(seed), loss
        self.agents = {name: Acceptor() for name in AGENTS}
        self.tools = {tool.name: tool for tool in tools}
        self.dead: set[str] = set()  # tools that were killed
        self.wires: list[tuple[str, str, Message]] = []  # from, to, what
        for tool in tools:
            self.cast(tool, tool.begin())

    def cast(self, tool: Proposer, messages: list[Message]) -> None:
        self.wires += [(tool.name, agent, message) for message in messages for agent in AGENTS]

    def step(self) -> None:
        chance = self.random.random()
        if chance < 0.03:  # an agent starts again with what is on its disk
            name = self.random.choice(AGENTS)
            self.agents[name] = Acceptor(self.agents[name].state, self.agents[name].order_state.to_record())
        elif chance < 0.08 or not self.wires:  # a tool's patience is over
            tool = self.random.choice(list(self.tools.values()))
            if tool.name not in self.dead:
                self.cast(tool, tool.begin())
        else:
            self.deliver(self.wires.pop(self.random.randrange(len(self.wires))))
        self.check()

    def deliver(self, wire: tuple[str, str, Message]) -> None:
        sender, receiver, message = wire
        chance = self.random.random()
        if chance < self.loss:
            return
        if chance > 0.95:
            self.wires.append(wire)
        if receiver in self.agents:
            self.wires += [(receiver, sender, reply) for reply in self.agents[receiver].handle(message)]
        elif receiver not in self.dead:
            self.cast(self.tools[receiver], self.tools[receiver].handle(sender, message))

    def check(self) -> None:
        """No two agents and no tool ever hold different orders at one revision."""
        stand: dict[int, str] = {}
        outcomes = [tool.outcome for tool in self.tools.values() if tool.outcome]
        logs = [decided for agent in self.agents.values() for decided in agent.order_state.recent.values()]
        for decided in (*outcomes, *logs):
            assert stand.setdefault(decided.revision, decided.order.id) == decided.order.id
        for tool in self.tools.values():
            if tool.outcome:
                mine = tool.outcome.order.id == tool.order.id
                assert (tool.phase is Phase.DONE) == mine and (tool.phase is Phase.LOST) != mine


@pytest.mark.parametrize("start", range(0, 1000, 100))
def test_conflicting_pairs_end_in_one_order_everywhere(start: int) -> None:
    """1,000 pairs of a drain and an undrain given at once, with loss to 40%, doubles and restarts."""
    for seed in range(start, start + 100):
        tools = [
            Proposer("t1", AGENTS, order("drain"), 1),
            Proposer("t2", AGENTS, order("undrain", Verb.UNDRAIN), 1),
        ]
        fleet = Fleet(seed, Random(seed).uniform(0.0, 0.4), tools)
        for _ in range(5000):
            if all(tool.outcome for tool in tools):
                break
            fleet.step()
        assert {tool.phase for tool in tools} == {Phase.DONE, Phase.LOST}
        fleet.loss, fleet.wires = 0.0, []
        winner = tools[0].outcome
        assert winner
        for agent in fleet.agents.values():  # whoever was away is told on its return
            agent.handle(Known((winner,)))
            assert agent.order_state.latest_for("s1") == winner and agent.order_state.revision == 1


def test_order_of_a_killed_tool_is_completed_by_the_next_one() -> None:
    for seed in range(300):
        first = Proposer("t1", AGENTS, order("drain"), 1)
        fleet = Fleet(seed, 0.1, [first])
        for _ in range(seed % 40):
            fleet.step()
        fleet.dead.add("t1")
        second = Proposer("t2", AGENTS, order("undrain", Verb.UNDRAIN), 1)
        fleet.tools["t2"] = second
        fleet.cast(second, second.begin())
        for _ in range(5000):
            if second.outcome:
                break
            fleet.step()
        assert second.outcome
        if first.outcome:  # it had been told that it was done: that stands
            assert second.phase is Phase.LOST and second.outcome == first.outcome


def test_order_accepted_by_a_majority_cannot_be_lost_with_its_tool() -> None:
    agents = {name: Acceptor() for name in AGENTS}
    first, second = Proposer("t1", AGENTS, order("x"), 1), Proposer("t2", AGENTS, order("y"), 1)
    (prepare,) = first.begin()
    accepts = [
        message for name in AGENTS[:3] for message in first.handle(name, agents[name].handle(prepare)[0])
    ]
    assert accepts == [Accept(1, first.ballot, order("x"))]
    for name in AGENTS[:3]:
        assert agents[name].handle(accepts[0]) == [Accepted(1, first.ballot)]
    (prepare,) = second.begin()
    sent: list[Message] = []
    for name in AGENTS[2:]:  # one of these has accepted
        for reply in agents[name].handle(prepare):
            sent += second.handle(name, reply)
    while any(isinstance(message, Outbid) for name in AGENTS[2:] for message in agents[name].handle(prepare)):
        second.highest_promised = first.ballot.number
        (prepare,) = second.begin()
        sent = [
            message
            for name in AGENTS[2:]
            for reply in agents[name].handle(prepare)
            for message in second.handle(name, reply)
        ]
    assert sent == [Accept(1, second.ballot, order("x"))]


def test_minority_decides_nothing() -> None:
    agents = {name: Acceptor() for name in AGENTS[:2]}
    tool = Proposer("t1", AGENTS, order("x"), 1)
    for _ in range(10):
        (prepare,) = tool.begin()
        for name, agent in agents.items():
            for reply in agent.handle(prepare):
                assert tool.handle(name, reply) == []
    assert tool.outcome is None and tool.phase is Phase.PREPARING


def test_promise_outlives_a_restart() -> None:
    agent = Acceptor()
    high, low = Ballot(5, "t1"), Ballot(3, "t2")
    agent.handle(Prepare(1, high))
    again = Acceptor(agent.state)
    assert again.handle(Accept(1, low, order("x"))) == [Outbid(1, low, high)]
    assert again.handle(Prepare(1, low)) == [Outbid(1, low, high)]
    assert again.handle(Accept(1, high, order("y"))) == [Accepted(1, high)]
    assert Acceptor(again.state).handle(Prepare(1, Ballot(6, "t2"))) == [
        Promise(1, Ballot(6, "t2"), high, order("y"))
    ]


def test_decided_orders_are_sent_and_missing_ones_requested() -> None:
    agent = Acceptor()
    agent.handle(Known((Decided(1, order("x")), Decided(2, order("y")))))
    ballot = Ballot(1, "t1")
    assert agent.handle(Prepare(1, ballot)) == [Known((Decided(1, order("x")), Decided(2, order("y"))))]
    assert agent.handle(Prepare(9, ballot)) == [Behind(3)]
    assert agent.handle(Prepare(3, ballot)) == [Promise(3, ballot)]
    agent.handle(Prepare(3, Ballot(9, "t2")))
    agent.handle(Known((Decided(3, order("w")),)))
    assert agent.handle(Prepare(4, ballot)) == [Promise(4, ballot)]
    tool = Proposer("t1", AGENTS, order("z"), 1)
    (prepare,) = tool.begin()
    tool.handle("a1", agent.handle(prepare)[0])
    assert tool.phase is Phase.LOST and tool.outcome == Decided(1, order("x"))


def test_stranger_and_stale_replies_say_nothing() -> None:
    tool = Proposer("t1", AGENTS, order("x"), 1)
    tool.begin()
    for number in range(9):
        assert tool.handle(f"stranger{number}", Promise(1, tool.ballot)) == []
    for name in AGENTS:
        assert tool.handle(name, Promise(1, Ballot(1, "t1"))) == []  # of its own earlier ballot
    assert tool.handle("a1", Promise(1, tool.ballot)) == tool.handle("a1", Promise(1, tool.ballot)) == []
    assert tool.phase is Phase.PREPARING
    for name in AGENTS[1:3]:
        tool.handle(name, Promise(1, tool.ballot))
    assert tool.phase is Phase.ACCEPTING
    for name in AGENTS:
        assert tool.handle(name, Accepted(1, Ballot(1, "t1"))) == []
    assert tool.outcome is None


def test_latest_accepted_order_is_the_one_that_is_finished() -> None:
    tool = Proposer("t9", AGENTS, order("z"), 1)
    tool.begin()
    tool.handle("a1", Promise(1, tool.ballot, Ballot(1, "t1"), order("x")))
    tool.handle("a2", Promise(1, tool.ballot, Ballot(2, "t1"), order("y")))
    assert tool.handle("a3", Promise(1, tool.ballot)) == [Accept(1, tool.ballot, order("y"))]


def test_ballot_is_above_all_received_ones() -> None:
    tool = Proposer("t1", AGENTS, order("x"), 1)
    tool.begin()
    tool.handle("a1", Outbid(1, tool.ballot, Ballot(77, "t2")))
    assert tool.begin() == [Prepare(1, Ballot(78, "t1"))]
