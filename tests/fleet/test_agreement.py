"""Agreement of agents under loss, reordering and duplication of messages, restarts, and killed tools."""

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


def order(order_id: str, verb: Verb = Verb.DRAIN, based_on: int = 0) -> Order:
    return Order(order_id, verb, "s1", order_id, "because", based_on)


class Fleet:
    """Agents and tools on an unreliable network; each step delivers a message or injects a fault."""

    def __init__(self, seed: int, loss: float, tools: list[Proposer]) -> None:
        self.random, self.loss = Random(seed), loss
        self.agents = {name: Acceptor() for name in AGENTS}
        self.tools = {tool.name: tool for tool in tools}
        self.killed_tools: set[str] = set()
        self.in_flight: list[tuple[str, str, Message]] = []  # sender, receiver, message
        for tool in tools:
            self.send_to_agents(tool, tool.begin())

    def send_to_agents(self, tool: Proposer, messages: list[Message]) -> None:
        self.in_flight += [(tool.name, agent, message) for message in messages for agent in AGENTS]

    def step(self) -> None:
        drawn = self.random.random()
        if drawn < 0.03:  # an agent restarts from its stored state
            name = self.random.choice(AGENTS)
            self.agents[name] = Acceptor(self.agents[name].state, self.agents[name].order_state.to_record())
        elif drawn < 0.08 or not self.in_flight:  # a tool retries after a timeout
            tool = self.random.choice(list(self.tools.values()))
            if tool.name not in self.killed_tools:
                self.send_to_agents(tool, tool.begin())
        else:
            self.deliver(self.in_flight.pop(self.random.randrange(len(self.in_flight))))
        self.check()

    def deliver(self, sent: tuple[str, str, Message]) -> None:
        sender, receiver, message = sent
        drawn = self.random.random()
        if drawn < self.loss:
            return
        if drawn > 0.95:  # a duplicate
            self.in_flight.append(sent)
        if receiver in self.agents:
            self.in_flight += [(receiver, sender, reply) for reply in self.agents[receiver].handle(message)]
        elif receiver not in self.killed_tools:
            self.send_to_agents(self.tools[receiver], self.tools[receiver].handle(sender, message))

    def check(self) -> None:
        """Assert that agents and tools agree on the order of each revision."""
        decided_ids: dict[int, str] = {}
        outcomes = [tool.outcome for tool in self.tools.values() if tool.outcome]
        recorded = [
            decided for agent in self.agents.values() for decided in agent.order_state.recent.values()
        ]
        for decided in (*outcomes, *recorded):
            assert decided_ids.setdefault(decided.revision, decided.order.id) == decided.order.id
        for tool in self.tools.values():
            if tool.outcome:
                own_decided = tool.outcome.order.id == tool.order.id
                assert (tool.phase is Phase.DONE) == own_decided and (tool.phase is Phase.LOST) != own_decided


@pytest.mark.parametrize("first_seed", range(0, 1000, 100))
def test_all_agents_decide_the_same_one_of_two_conflicting_orders(first_seed: int) -> None:
    """1,000 pairs of a drain and an undrain given at once, with up to 40% loss, duplicates and restarts."""
    for seed in range(first_seed, first_seed + 100):
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
        fleet.loss, fleet.in_flight = 0.0, []
        winner = tools[0].outcome
        assert winner
        for agent in fleet.agents.values():  # agents that missed the decision learn of it
            agent.handle(Known((winner,)))
            assert agent.order_state.latest_for("s1") == winner and agent.order_state.revision == 1


def test_order_of_a_killed_tool_is_completed_by_the_next_tool() -> None:
    for seed in range(300):
        first = Proposer("t1", AGENTS, order("drain"), 1)
        fleet = Fleet(seed, 0.1, [first])
        for _ in range(seed % 40):
            fleet.step()
        fleet.killed_tools.add("t1")
        second = Proposer("t2", AGENTS, order("undrain", Verb.UNDRAIN), 1)
        fleet.tools["t2"] = second
        fleet.send_to_agents(second, second.begin())
        for _ in range(5000):
            if second.outcome:
                break
            fleet.step()
        assert second.outcome
        if first.outcome:  # the first tool has learned its result, which must not change
            assert second.phase is Phase.LOST and second.outcome == first.outcome


def test_order_accepted_by_a_majority_is_kept_when_its_tool_is_lost() -> None:
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
    for name in AGENTS[2:]:  # one of these has accepted the first order
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


def test_promise_survives_a_restart() -> None:
    agent = Acceptor()
    high, low = Ballot(5, "t1"), Ballot(3, "t2")
    agent.handle(Prepare(1, high))
    restarted = Acceptor(agent.state)
    assert restarted.handle(Accept(1, low, order("x"))) == [Outbid(1, low, high)]
    assert restarted.handle(Prepare(1, low)) == [Outbid(1, low, high)]
    assert restarted.handle(Accept(1, high, order("y"))) == [Accepted(1, high)]
    assert Acceptor(restarted.state).handle(Prepare(1, Ballot(6, "t2"))) == [
        Promise(1, Ballot(6, "t2"), high, order("y"))
    ]


def test_acceptor_sends_decided_orders_and_requests_missing_ones() -> None:
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


def test_replies_of_unknown_agents_and_to_earlier_ballots_are_ignored() -> None:
    tool = Proposer("t1", AGENTS, order("x"), 1)
    tool.begin()
    for number in range(9):
        assert tool.handle(f"unknown{number}", Promise(1, tool.ballot)) == []
    for name in AGENTS:
        assert tool.handle(name, Promise(1, Ballot(1, "t1"))) == []  # to its own earlier ballot
    assert tool.handle("a1", Promise(1, tool.ballot)) == tool.handle("a1", Promise(1, tool.ballot)) == []
    assert tool.phase is Phase.PREPARING
    for name in AGENTS[1:3]:
        tool.handle(name, Promise(1, tool.ballot))
    assert tool.phase is Phase.ACCEPTING
    for name in AGENTS:
        assert tool.handle(name, Accepted(1, Ballot(1, "t1"))) == []
    assert tool.outcome is None


def test_order_accepted_at_the_highest_ballot_is_proposed_again() -> None:
    tool = Proposer("t9", AGENTS, order("z"), 1)
    tool.begin()
    tool.handle("a1", Promise(1, tool.ballot, Ballot(1, "t1"), order("x")))
    tool.handle("a2", Promise(1, tool.ballot, Ballot(2, "t1"), order("y")))
    assert tool.handle("a3", Promise(1, tool.ballot)) == [Accept(1, tool.ballot, order("y"))]


def test_next_ballot_is_above_the_highest_promised_one() -> None:
    tool = Proposer("t1", AGENTS, order("x"), 1)
    tool.begin()
    tool.handle("a1", Outbid(1, tool.ballot, Ballot(77, "t2")))
    assert tool.begin() == [Prepare(1, Ballot(78, "t1"))]
