"""All that the state machine keeps, and what follows from it: who is on the way, who waits, what stops a
work."""

from collections.abc import Iterable

import msgspec

from molereach.upkeep.permits.fact_parts import Part
from molereach.upkeep.permits.lifecycle import FINAL, GONE, WAITING, State
from molereach.upkeep.permits.record import Record
from molereach.upkeep.permits.time_marks import Mark
from molereach.upkeep.requests.work_item import Work
from molereach.upkeep.rules.evaluation import RULES, judge
from molereach.upkeep.rules.fleet_facts import Facts, Fleet
from molereach.upkeep.rules.scene import Rule, Scene, Stop, Taken
from molereach.upkeep.rules.settings import UpkeepSettings
from molereach.upkeep.scheduling.ageing import Pressing, Waiting, held_up, pressing

MOST_PAST = 256  # works that are over and remembered, so that one asked for again is known
MOST_UNSTOOD = 1024


class Book:
    """Plain state; `put` and `learn` are the ways in which works and facts change."""

    def __init__(self, settings: UpkeepSettings, rules: tuple[Rule, ...] = RULES) -> None:
        self.settings, self.rules = settings, rules
        self.clear()

    def clear(self) -> None:
        """Nothing asked for, nothing known."""
        self.records: dict[str, Record] = {}  # that are not over, by id
        self.past: dict[str, Record] = {}  # the one that ended last at the end
        self.permits = 0  # the number of the last one
        self.fleet = Fleet(Facts())
        self.part: Part | None = None
        self.standing: frozenset[str] = frozenset()
        self.unstood: dict[str, int] = {}  # by server that stood: the position at which it ceased to
        self.marks: tuple[Mark, ...] = ()
        self._taken: dict[str, Taken] | None = None

    # --- works ---

    def get(self, id: str) -> Record | None:
        return self.records.get(id) or self.past.get(id)

    def put(self, record: Record) -> Record:
        self._taken = None
        if record.state not in FINAL:
            self.records[record.work.id] = record
            return record
        self.records.pop(record.work.id, None)
        self.past[record.work.id] = record
        if len(self.past) > MOST_PAST:
            del self.past[next(iter(self.past))]
        return record

    def open_works(self) -> list[Work]:
        """What others may have to wait for: not what is lost."""
        return [each.work for each in self.records.values() if each.state is not State.LOST]

    def known(self) -> dict[str, Work]:
        return {each.work.id: each.work for each in (*self.past.values(), *self.records.values())}

    def waiting(self) -> list[Waiting]:
        return [each.waiting for each in self.records.values() if each.state in WAITING]

    def earlier(self, record: Record) -> bool:
        """Whether another work of the machine goes first."""
        return any(
            each.work.machine == record.work.machine
            and each.asked < record.asked
            and each.state is not State.LOST
            for each in self.records.values()
        )

    def pass_over(self, begun: Record, at_ms: int) -> None:
        """Count it for those that were asked for earlier and could not go."""
        for each in list(self.records.values()):
            if each.state is State.QUEUED and each.asked < begun.asked:
                passed = each.passed + 1
                since_ms = each.passed_ms or (at_ms if passed >= self.settings.most_passed else 0)
                self.put(msgspec.structs.replace(each, passed=passed, passed_ms=since_ms))

    # --- facts ---

    def learn(self, facts: Facts, at_ms: int) -> None:
        """Take a whole set; who is out and was seen away may be seen back."""
        self.fleet = Fleet(facts)
        for each in list(self.records.values()):
            machine = self.fleet.get(each.work.machine)
            if each.state in GONE and not each.gone and (machine is None or not machine.ready):
                self.put(msgspec.structs.replace(each, gone=True))
            if each.state is State.LOST and machine is None and self.fleet.get(each.now) is None:
                self.put(
                    msgspec.structs.replace(
                        each, state=State.WITHDRAWN, since_ms=at_ms, why="lost, and not listed any more"
                    )
                )

    def fresh(self, at_ms: int) -> Stop | None:
        """Facts that are too old decide nothing."""
        age_ms = at_ms - self.fleet.facts.at_ms
        return Stop("facts", (), f"{age_ms} ms old") if age_ms > self.settings.fresh_ms else None

    # --- what stops a work ---

    def taken(self) -> dict[str, Taken]:
        if self._taken is None:
            self._taken = {
                name: taken
                for each in self.records.values()
                if each.state not in WAITING
                for name, taken in each.taken().items()
            }
        return self._taken

    def scene(self, at_ms: int) -> Scene:
        waiting = {each.work.machine for each in self.records.values() if each.state in WAITING}
        return Scene(self.fleet, self.settings, at_ms, self.taken(), waiting, self.standing)

    def stop(self, record: Record, at_ms: int) -> Stop | None:
        """What keeps it from being away now, itself not counted among those that are."""
        return self.fresh(at_ms) or judge(self.scene(at_ms).without(record.work), record.work, self.rules)

    def pressing(self, at_ms: int) -> tuple[Pressing, ...]:
        return pressing(self.waiting(), at_ms, self.settings)

    def stop_begin(
        self,
        record: Record,
        at_ms: int,
        press: tuple[Pressing, ...] | None = None,
        scene: Scene | None = None,
    ) -> Stop | None:
        """What keeps it from beginning: the rules, and those that it would hold up. With what presses then
        and how things stand, where many are asked for at once."""
        scene = scene or self.scene(at_ms)
        if stop := self.fresh(at_ms) or judge(scene, record.work, self.rules):
            return stop
        return held_up(scene, record.work, self.pressing(at_ms) if press is None else press, self.rules)

    def unsendable(self) -> dict[str, int]:
        """To whom nothing new is sent, and the position of the entry that says so."""
        return {name: each.begun for each in self.records.values() for name in each.unsendable}

    def successors(self, record: Record) -> Iterable[str]:
        """Under which names this machine may come back."""
        yield record.work.machine
        if record.work.successor:
            yield record.work.successor
        for server in self.fleet.facts.servers:
            if record.address and server.address == record.address:
                yield server.name
