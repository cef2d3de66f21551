"""A leader with its works, as the tests of the driver drive it."""

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
from molereach.upkeep.driver import BEAT_US, Driver
from molereach.upkeep.permits.bodies import Out, decode
from molereach.upkeep.permits.fact_reporting import Measured
from molereach.upkeep.permits.lifecycle import State
from molereach.upkeep.requests.work_item import MINUTE_MS
from molereach.upkeep.rules.settings import UpkeepSettings
from tests.upkeep.builders import LOOSE
from tests.upkeep.state_machine_log import FLEET, A, Logged, logged

QUICK = replace(LOOSE, standing=1, warming_ms=MINUTE_MS)


class Led:
    """A log, the driver of its leader, and proposals that are settled at once; all that is open says it is
    clear."""

    def __init__(self, log: Logged, life: NodeInstance = A, ballot: int = 1) -> None:
        self.log, self.facts, self.now_us = log, FLEET, 0
        self.silent: set[str] = set()  # front doors that say nothing
        self.actions: list[object] = []
        self.errors: list[str] = []  # of what it proposed
        self.mute = False  # proposals of permits are left as they are
        self.driver = Driver(life, log.machine, self)
        self.begins_ms = log.at_ms
        self.driver.handle(0, Restored(log.position))
        self.first = list(self.driver.handle(0, LeaderChanged("a", ballot, True)))

    def clear(self, name: str, fence: int) -> int:
        return 0 if name in self.silent else self.log.position

    def run(self, seconds: float) -> "Led":
        until_us = self.now_us + int(seconds * SECOND_US)
        while self.now_us < until_us:
            self.now_us += BEAT_US
            self.log.at_ms = self.begins_ms + self.now_us // 1000
            todo, self.first = deque(self.first), []
            todo.extend(self.driver.handle(self.now_us, Measured(self.facts)))
            todo.extend(self.driver.handle(self.now_us, Tick()))
            while todo:
                action = todo.popleft()
                self.actions.append(action)
                if isinstance(action, Propose) and not (self.mute and isinstance(decode(action.body), Out)):
                    todo.extend(self.settle(action))
        return self

    def settle(self, propose: Propose) -> list[object]:
        entry = self.log.entry("upkeep", propose.body)
        outcome = self.log.machine.apply(entry)
        self.errors += [outcome.error] * bool(outcome.error)
        out = list(self.driver.handle(self.now_us, Applied(entry, outcome)))
        over = ProposalFinished(propose.id, ProposalStatus.APPLIED, outcome, entry.position)
        return out + list(self.driver.handle(self.now_us, over))

    def change(self, *names: str, **more: object) -> None:
        found = tuple(
            msgspec.structs.replace(each, **more) if each.name in names else each
            for each in self.facts.servers
        )
        self.facts = msgspec.structs.replace(self.facts, servers=found)

    def state(self, id: str = "w") -> State:
        return self.log.record(id).state

    def bodies(self) -> list[object]:
        return [decode(action.body) for action in self.actions if isinstance(action, Propose)]

    def why(self, id: str = "w") -> tuple[str, tuple[str, ...]]:
        stop = self.driver.why(self.now_us, id)
        assert stop is not None
        return stop.rule, stop.machines


def led(*works: object, settings: UpkeepSettings = QUICK) -> Led:
    return Led(logged(*works, settings=settings))  # type: ignore[arg-type]
