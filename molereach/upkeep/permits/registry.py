"""The state of the state machine, and what follows from it: what is in maintenance, what waits, what blocks
an item."""

from collections.abc import Iterable

import msgspec

from molereach.upkeep.permits.fact_parts import PartialFacts
from molereach.upkeep.permits.lifecycle import ABSENT_STATES, FINAL_STATES, WAITING_STATES, State
from molereach.upkeep.permits.record import ItemRecord
from molereach.upkeep.permits.time_marks import TimeMark
from molereach.upkeep.requests.work_item import WorkItem
from molereach.upkeep.rules.evaluation import RULES, find_blocker
from molereach.upkeep.rules.fleet_facts import Fleet, FleetFacts
from molereach.upkeep.rules.scene import Blocker, MachineInMaintenance, Rule, Scene
from molereach.upkeep.rules.settings import UpkeepSettings
from molereach.upkeep.scheduling.ageing import UrgentItem, WaitingItem, find_delayed_item, urgent_items

MAX_FINISHED_ITEMS = 256  # remembered, so that a repeated request is recognised
MAX_FORMER_FALLBACK_SERVERS = 1024


class WorkRegistry:
    """Holds work items and facts; `put` and `update_facts` change them."""

    def __init__(self, settings: UpkeepSettings, rules: tuple[Rule, ...] = RULES) -> None:
        self.settings, self.rules = settings, rules
        self.clear()

    def clear(self) -> None:
        """Resets to the state of an empty log."""
        self.records: dict[str, ItemRecord] = {}  # unfinished items, by id
        self.finished: dict[str, ItemRecord] = {}  # by id, in order of their end
        self.last_permit = 0  # number of the last permit
        self.fleet = Fleet(FleetFacts())
        self.partial_facts: PartialFacts | None = None
        self.fallback_servers: frozenset[str] = frozenset()
        # By former fallback server: the position at which it ceased to be one.
        self.former_fallback_servers: dict[str, int] = {}
        self.time_marks: tuple[TimeMark, ...] = ()
        self._in_maintenance: dict[str, MachineInMaintenance] | None = None

    # --- work items ---

    def get(self, id: str) -> ItemRecord | None:
        """The record of an item, finished or not."""
        return self.records.get(id) or self.finished.get(id)

    def put(self, record: ItemRecord) -> ItemRecord:
        """Stores a record; a finished one moves to the remembered ones."""
        self._in_maintenance = None
        if record.state not in FINAL_STATES:
            self.records[record.work.id] = record
            return record
        self.records.pop(record.work.id, None)
        self.finished[record.work.id] = record
        if len(self.finished) > MAX_FINISHED_ITEMS:
            del self.finished[next(iter(self.finished))]
        return record

    def open_items(self) -> list[WorkItem]:
        """The items for which others may have to wait; lost ones are not among them."""
        return [each.work for each in self.records.values() if each.state is not State.LOST]

    def known_items(self) -> dict[str, WorkItem]:
        """All remembered items by id."""
        return {each.work.id: each.work for each in (*self.finished.values(), *self.records.values())}

    def waiting_items(self) -> list[WaitingItem]:
        """The items that have not started."""
        return [each.waiting_item for each in self.records.values() if each.state in WAITING_STATES]

    def has_earlier_item(self, record: ItemRecord) -> bool:
        """Whether another item of the same machine goes first."""
        return any(
            each.work.machine == record.work.machine
            and each.asked < record.asked
            and each.state is not State.LOST
            for each in self.records.values()
        )

    def count_overtaken(self, started: ItemRecord, at_ms: int) -> None:
        """Adds one to `passed`, the number of starts that overtook an item, of each queued item that was
        requested before the one started now."""
        for each in list(self.records.values()):
            if each.state is State.QUEUED and each.asked < started.asked:
                passed = each.passed + 1
                passed_since_ms = each.passed_ms or (at_ms if passed >= self.settings.most_passed else 0)
                self.put(msgspec.structs.replace(each, passed=passed, passed_ms=passed_since_ms))

    # --- facts ---

    def update_facts(self, facts: FleetFacts, at_ms: int) -> None:
        """Replaces the facts.

        Notes which machines with a permit are not ready, so that their return can be recognised, and
        withdraws lost items whose machines are no longer listed.
        """
        self.fleet = Fleet(facts)
        for each in list(self.records.values()):
            machine = self.fleet.get(each.work.machine)
            if each.state in ABSENT_STATES and not each.gone and (machine is None or not machine.ready):
                self.put(msgspec.structs.replace(each, gone=True))
            if each.state is State.LOST and machine is None and self.fleet.get(each.current_name) is None:
                self.put(
                    msgspec.structs.replace(
                        each, state=State.WITHDRAWN, since_ms=at_ms, why="lost, and not listed any more"
                    )
                )

    def stale_facts_blocker(self, at_ms: int) -> Blocker | None:
        """Blocks every decision while the facts are too old."""
        age_ms = at_ms - self.fleet.facts.at_ms
        return Blocker("facts", (), f"{age_ms} ms old") if age_ms > self.settings.fresh_ms else None

    # --- what blocks an item ---

    def in_maintenance(self) -> dict[str, MachineInMaintenance]:
        """The machines whose maintenance has started, by name."""
        if self._in_maintenance is None:
            self._in_maintenance = {
                name: machine
                for each in self.records.values()
                if each.state not in WAITING_STATES
                for name, machine in each.in_maintenance().items()
            }
        return self._in_maintenance

    def scene(self, at_ms: int) -> Scene:
        """The input of the rules at a time."""
        waiting = {each.work.machine for each in self.records.values() if each.state in WAITING_STATES}
        return Scene(self.fleet, self.settings, at_ms, self.in_maintenance(), waiting, self.fallback_servers)

    def permit_blocker(self, record: ItemRecord, at_ms: int) -> Blocker | None:
        """What forbids taking the machine of a started item out of service now."""
        return self.stale_facts_blocker(at_ms) or find_blocker(
            self.scene(at_ms).without(record.work), record.work, self.rules
        )

    def urgent_items(self, at_ms: int) -> tuple[UrgentItem, ...]:
        """The urgent items at a time."""
        return urgent_items(self.waiting_items(), at_ms, self.settings)

    def start_blocker(
        self,
        record: ItemRecord,
        at_ms: int,
        urgent: tuple[UrgentItem, ...] | None = None,
        scene: Scene | None = None,
    ) -> Blocker | None:
        """What blocks an item from starting: a rule, or an urgent item that it would delay.

        `urgent` and `scene` may be passed if many items are checked at the same time.
        """
        scene = scene or self.scene(at_ms)
        if blocker := self.stale_facts_blocker(at_ms) or find_blocker(scene, record.work, self.rules):
            return blocker
        return find_delayed_item(
            scene, record.work, self.urgent_items(at_ms) if urgent is None else urgent, self.rules
        )

    def unroutable(self) -> dict[str, int]:
        """The names to which no new requests may be sent, and the position of the entry that says so."""
        return {name: each.begun for each in self.records.values() for name in each.unroutable}

    def return_names(self, record: ItemRecord) -> Iterable[str]:
        """The names under which a machine may return."""
        yield record.work.machine
        if record.work.successor:
            yield record.work.successor
        for server in self.fleet.facts.servers:
            if record.address and server.address == record.address:
                yield server.name
