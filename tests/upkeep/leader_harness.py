"""Runs the driver of a leader against a log, for the tests of the driver."""

from collections import deque
from dataclasses import replace

import msgspec

from molereach.coordination.interface.core import Tick
from molereach.coordination.interface.identifiers import SECOND_US, NodeInstance
from molereach.coordination.interface.log import (
    Applied,
    LeaderChanged,
    ProposalFinished,
    ProposalStatus,
    Propose,
    Restored,
)
from molereach.upkeep.driver import TICK_INTERVAL_US, Driver
from molereach.upkeep.permits.bodies import GrantPermit, decode
from molereach.upkeep.permits.fact_reporting import FactsMeasured
from molereach.upkeep.permits.lifecycle import State
from molereach.upkeep.requests.work_item import MINUTE_MS
from molereach.upkeep.rules.settings import UpkeepSettings
from tests.upkeep.builders import PERMISSIVE
from tests.upkeep.state_machine_log import FLEET_FACTS, A, StateMachineLog, state_machine_log

FAST_SETTINGS = replace(PERMISSIVE, standing=1, warming_ms=MINUTE_MS)


class LeaderHarness:
    """A log and the driver of its leader. Proposals are applied at once; every open session reports that it
    is clear, except those of `unresponsive`."""

    def __init__(self, log: StateMachineLog, instance: NodeInstance = A, ballot: int = 1) -> None:
        self.log, self.facts, self.now_us = log, FLEET_FACTS, 0
        self.unresponsive: set[str] = set()  # front doors that report nothing
        self.actions: list[object] = []
        self.errors: list[str] = []  # of rejected proposals
        self.hold_permits = False  # if set, proposed permits are not applied
        self.driver = Driver(instance, log.machine, self)
        self.start_ms = log.at_ms
        self.driver.handle(0, Restored(log.position))
        self.initial_actions = list(self.driver.handle(0, LeaderChanged("a", ballot, True)))

    def clear_position(self, name: str, fencing_token: int) -> int:
        return 0 if name in self.unresponsive else self.log.position

    def run(self, seconds: float) -> "LeaderHarness":
        until_us = self.now_us + int(seconds * SECOND_US)
        while self.now_us < until_us:
            self.now_us += TICK_INTERVAL_US
            self.log.at_ms = self.start_ms + self.now_us // 1000
            queue, self.initial_actions = deque(self.initial_actions), []
            queue.extend(self.driver.handle(self.now_us, FactsMeasured(self.facts)))
            queue.extend(self.driver.handle(self.now_us, Tick()))
            while queue:
                action = queue.popleft()
                self.actions.append(action)
                if isinstance(action, Propose) and not (
                    self.hold_permits and isinstance(decode(action.body), GrantPermit)
                ):
                    queue.extend(self.apply_proposal(action))
        return self

    def apply_proposal(self, propose: Propose) -> list[object]:
        entry = self.log.entry("upkeep", propose.body)
        outcome = self.log.machine.apply(entry)
        self.errors += [outcome.error] * bool(outcome.error)
        actions = list(self.driver.handle(self.now_us, Applied(entry, outcome)))
        finished = ProposalFinished(propose.id, ProposalStatus.APPLIED, outcome, entry.position)
        return actions + list(self.driver.handle(self.now_us, finished))

    def change_servers(self, *names: str, **fields: object) -> None:
        servers = tuple(
            msgspec.structs.replace(each, **fields) if each.name in names else each
            for each in self.facts.servers
        )
        self.facts = msgspec.structs.replace(self.facts, servers=servers)

    def state(self, id: str = "w") -> State:
        return self.log.record(id).state

    def proposed_bodies(self) -> list[object]:
        return [decode(action.body) for action in self.actions if isinstance(action, Propose)]

    def blocker(self, id: str = "w") -> tuple[str, tuple[str, ...]]:
        blocker = self.driver.blocker(self.now_us, id)
        assert blocker is not None
        return blocker.rule, blocker.machines


def start_leader(*items: object, settings: UpkeepSettings = FAST_SETTINGS) -> LeaderHarness:
    return LeaderHarness(state_machine_log(*items, settings=settings))  # type: ignore[arg-type]
