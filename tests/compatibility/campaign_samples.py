"""An order's whole way through a fleet of three agents, as the messages that the tool sends and receives.

Time stands still unless a rollout waits, chance is a constant, and replies come at once.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from itertools import repeat

import msgspec

from molereach.fleet import agreement, api_bodies, orders
from molereach.fleet.rollout import events
from molereach.fleet.rollout.report import Report
from molereach.fleet.rollout.stages import SNAPSHOT_TIMEOUT_US, Rollout

AGENTS = ("a", "b", "c")
BEGUN_US, BEGUN_MS = 1_000_000, 1_700_000_000_000
READY = {"s0": "east", "s1": "east"}

OTHER_HOLD = orders.Order(
    id="o8", verb=orders.Verb.HOLD, subject="n0", issuer="night", reason="disk", based_on=0
)
LOST_HOLD = orders.Order(
    id="o7", verb=orders.Verb.HOLD, subject="n3", issuer="night", reason="disk", based_on=0
)
# What agents have accepted that nobody knows to be decided; the higher ballot goes before the lower one.
ACCEPTED_BEFORE: Mapping[str, agreement.Accept] = {
    "a": agreement.Accept(revision=1, ballot=agreement.Ballot(number=1, proposer="run-00"), order=OTHER_HOLD),
    "b": agreement.Accept(revision=1, ballot=agreement.Ballot(number=1, proposer="run-0"), order=LOST_HOLD),
}


@dataclass(frozen=True)
class Case:
    """What is given, and what agents have accepted before."""

    draft: events.Draft
    accepted: Mapping[str, agreement.Accept] = field(default_factory=dict)


CASES: Mapping[str, Case] = {
    "done": Case(
        draft=events.Draft(
            id="o9",
            verb=orders.Verb.DRAIN,
            subject="s0",
            issuer="duty",
            reason="fan",
            lapses_ms=BEGUN_MS + 60_000,
            forced=True,
        )
    ),
    "refused": Case(
        draft=events.Draft(
            id="o9", verb=orders.Verb.HOLD, subject="n5", issuer="duty", reason="disk", based_on=0
        )
    ),
    "finishes-another": Case(
        draft=events.Draft(
            id="o9", verb=orders.Verb.RELEASE, subject="n0", issuer="duty", reason="well", based_on=0
        ),
        accepted=ACCEPTED_BEFORE,
    ),
}


@dataclass
class Run:
    """A rollout and its agents; `lines` is what went over the wire, a line each."""

    rollout: Rollout
    agents: dict[str, agreement.Acceptor]
    lines: list[str] = field(default_factory=list)

    def note(self, what: str, agent: str, message: agreement.Message) -> None:
        self.lines.append(f"{what} {agent} {msgspec.json.encode(message).decode()}")

    def carry_out(self, actions: list[events.Action]) -> None:
        """All actions, and those that come of them."""
        pending = list(actions)
        while pending:
            action = pending.pop(0)
            if isinstance(action, events.RequestSnapshot):
                event = events.SnapshotReceived(agent=action.agent, snapshot=self.view(action.agent))
                pending += self.rollout.handle(BEGUN_US, event)
            elif isinstance(action, events.SendMessage):
                pending += self.say(action.agent, action.message)

    def say(self, agent: str, message: agreement.Message) -> list[events.Action]:
        """Tell an agent a message, and hand in its replies."""
        self.note("to", agent, message)
        found: list[events.Action] = []
        for reply in self.agents[agent].handle(message):
            self.note("from", agent, reply)
            found += self.rollout.handle(BEGUN_US, events.ReplyReceived(agent=agent, message=reply))
        return found

    def view(self, agent: str) -> api_bodies.AgentSnapshot:
        """How an agent stands, with no front doors."""
        acceptor = self.agents[agent]
        status = api_bodies.Status(
            agent=agent,
            fleet=AGENTS,
            revision=acceptor.order_state.revision,
            synced=True,
            journal="",
            pending=acceptor.pending(),
            proxies=(),
        )
        return api_bodies.AgentSnapshot(
            status=status, order_state=acceptor.order_state.to_record(), ready=READY
        )


def acceptors(accepted: Mapping[str, agreement.Accept]) -> dict[str, agreement.Acceptor]:
    """The agents, after what they have accepted."""
    found = {agent: agreement.Acceptor() for agent in AGENTS}
    for agent, message in accepted.items():
        found[agent].handle(message)
    return found


def run(name: str) -> tuple[list[str], Report]:
    """The messages of a case, and its report."""
    case = CASES[name]
    rollout = Rollout(AGENTS, case.draft, "run-1", repeat(0.5), BEGUN_MS)
    made = Run(rollout, acceptors(case.accepted))
    made.carry_out(rollout.begin(BEGUN_US))
    if rollout.report is None:
        made.carry_out(rollout.handle(BEGUN_US + 10 * SNAPSHOT_TIMEOUT_US, events.Tick()))
    assert rollout.report is not None
    return made.lines, rollout.report


def recorded_run(name: str) -> bytes:
    """A text file: a line for each message, and the report as the last one."""
    lines, report = run(name)
    return "".join(f"{line}\n" for line in [*lines, msgspec.json.encode(report).decode()]).encode()


# The recorded files of this module, and what makes each.
FILES: dict[str, Callable[[], bytes]] = {
    f"campaign-{name}.txt": lambda name=name: recorded_run(name) for name in CASES
}
