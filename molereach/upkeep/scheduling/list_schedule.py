"""List scheduling: simulates time for one order of work items. At each moment the items are tried one by
one, urgent ones first and the others in the order of the list, and each that may start is started.

A step stands for one evaluation of the rules. An item takes one step; if the rules allow it to start, two
more are counted for each urgent item, the most that checking whether it would be delayed may take. `run`
stops once its number of steps is used up, and continues there when called again.
"""

import heapq
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass, replace

from molereach.upkeep.requests.work_item import WorkItem
from molereach.upkeep.rules.evaluation import find_blocker
from molereach.upkeep.rules.fleet_facts import groups_of
from molereach.upkeep.rules.scene import Absence, Blocker, MachineInMaintenance, Rule, Scene
from molereach.upkeep.rules.seasons import next_open_ms
from molereach.upkeep.scheduling.ageing import (
    UrgentItem,
    WaitingItem,
    find_delayed_item,
    urgent_from_ms,
    urgent_items,
)


@dataclass(frozen=True, slots=True)
class PlannedItem:
    """When a work item is expected to start, and when its maintenance is expected to be complete, warm-up
    included."""

    work: WorkItem
    starts_ms: int
    ends_ms: int


class ListSchedule:
    """One schedule from the present `scene` on. `maintenance_ends_ms` is when the maintenance in progress is
    expected to end, by machine."""

    def __init__(
        self,
        scene: Scene,
        waiting_items: Sequence[WaitingItem],
        maintenance_ends_ms: Mapping[str, int],
        rules: tuple[Rule, ...],
    ) -> None:
        self.planned: list[PlannedItem] = []
        self.blocked: dict[str, Blocker] = {}  # by item: its blocker when last evaluated
        self.steps = 0
        self.done = False
        self._rules, self._at_ms = rules, scene.at_ms
        self._scene = scene
        self._waiting_items = list(waiting_items)
        self._urgent_from_ms = min(
            (urgent_from_ms(each, scene.settings) for each in waiting_items), default=0
        )
        # By machine: the position of the earliest request among its waiting items.
        self._first_position: dict[str, int] = {}
        for each in waiting_items:
            name = each.work.machine
            self._first_position[name] = min(
                each.requested_position, self._first_position.get(name, each.requested_position)
            )
        self._in_maintenance = dict(scene.in_maintenance)
        # Lost machines have no expected end, and do not count against `most_out`.
        self._ends = [
            (maintenance_ends_ms.get(name, scene.at_ms), name)
            for name, each in scene.in_maintenance.items()
            if each.absence is not Absence.LOST
        ]
        heapq.heapify(self._ends)
        self._run = self._schedule_all()

    def run(self, max_steps: int) -> int:
        """Continues until `max_steps` are used up or the schedule is done, and returns the steps taken.

        The last item is evaluated completely, so up to 2 x `MAX_URGENT_ITEMS` steps more may be taken.
        """
        before = self.steps
        while not self.done and self.steps - before < max_steps:
            if next(self._run, None) is None:
                self.done = True
        return self.steps - before

    @property
    def last_end_ms(self) -> int:
        """When the last planned item ends; the present simulated time if none is planned."""
        return max((each.ends_ms for each in self.planned), default=self._at_ms)

    def _schedule_all(self) -> Iterator[bool]:
        while self._waiting_items:
            yield from self._schedule_moment()
            if not self._advance_time():
                return

    def _schedule_moment(self) -> Iterator[bool]:
        """Starts every item that may start at this time. Yields after each item that was evaluated: one step,
        or up to 2 x `MAX_URGENT_ITEMS` more."""
        if self._limit_reached():
            return
        urgent: tuple[UrgentItem, ...] = ()
        if self._at_ms >= self._urgent_from_ms:
            urgent = urgent_items(self._waiting_items, self._at_ms, self._scene.settings)
        rank = {one.waiting.work.id: number for number, one in enumerate(urgent)}
        waiting_machines = {each.work.machine for each in self._waiting_items}
        for each in sorted(self._waiting_items, key=lambda one: rank.get(one.work.id, len(rank))):
            if self._waits_for_earlier_item(each):
                continue
            scene = replace(
                self._scene, at_ms=self._at_ms, in_maintenance=self._in_maintenance, waiting=waiting_machines
            )
            self.steps += 1
            blocker = find_blocker(scene, each.work, self._rules)
            if blocker is None and urgent:
                self.steps += 2 * len(urgent)
                blocker = find_delayed_item(scene, each.work, urgent, self._rules)
            if blocker is None:
                self._start(each)
            else:
                self.blocked[each.work.id] = blocker
            yield True
            if self._limit_reached():
                return

    def _limit_reached(self) -> bool:
        """Whether as many machines are in maintenance as may be at once, so that no item needs evaluating."""
        return len(self._ends) >= self._scene.settings.most_out

    def _waits_for_earlier_item(self, item: WaitingItem) -> bool:
        """Whether another item of the same machine goes first; if so, records it as blocked."""
        if self._first_position[item.work.machine] == item.requested_position:
            return False
        self.blocked[item.work.id] = Blocker(
            "apart", (item.work.machine,), "an earlier work of it goes first"
        )
        return True

    def _start(self, item: WaitingItem) -> None:
        work, machine = item.work, self._scene.fleet.get(item.work.machine)
        ends_ms = self._at_ms + work.duration_ms + self._scene.settings.overhead_ms
        self.planned.append(PlannedItem(work, self._at_ms, ends_ms))
        self._waiting_items.remove(item)
        rest = [one.requested_position for one in self._waiting_items if one.work.machine == work.machine]
        self._first_position[work.machine] = min(rest, default=0)
        self.blocked.pop(work.id, None)
        self._in_maintenance[work.machine] = MachineInMaintenance(
            work, Absence.AWAY, groups_of(machine) if machine else (), self._at_ms
        )
        heapq.heappush(self._ends, (ends_ms, work.machine))

    def _advance_time(self) -> bool:
        """Moves to the next time at which something changes; False if there is none."""
        settings = self._scene.settings
        next_times = [self._ends[0][0]] if self._ends else []
        next_times += [each.work.not_before_ms for each in self._waiting_items]
        next_times.append(next_open_ms(self._at_ms, settings.seasons))
        later = [time for time in next_times if time > self._at_ms]
        if not later:
            return False
        self._at_ms = min(later)
        while self._ends and self._ends[0][0] <= self._at_ms:
            del self._in_maintenance[heapq.heappop(self._ends)[1]]
        return True
