"""One pass over time by one list: at each moment all that may begin do, the first of the list first.

A step is one question to the rules; `run` stops after so many and goes on where it was.
"""

import heapq
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass, replace

from molereach.upkeep.requests.work_item import Work
from molereach.upkeep.rules.evaluation import judge
from molereach.upkeep.rules.fleet_facts import groups
from molereach.upkeep.rules.scene import Off, Rule, Scene, Stop, Taken
from molereach.upkeep.rules.seasons import open_ms
from molereach.upkeep.scheduling.ageing import Pressing, Waiting, held_up, presses_from, pressing


@dataclass(frozen=True, slots=True)
class Planned:
    """When a work is to begin, and when its machine is to be warm again."""

    work: Work
    begins_ms: int
    ends_ms: int


class Pass:
    """`scene` is now; `ends_ms` says by machine when what is taken now is thought to be back."""

    def __init__(
        self, scene: Scene, listed: Sequence[Waiting], ends_ms: Mapping[str, int], rules: tuple[Rule, ...]
    ) -> None:
        self.planned: list[Planned] = []
        self.stopped: dict[str, Stop] = {}  # by work: what stopped it when it was looked at last
        self.steps = 0
        self.done = False
        self._rules, self._at_ms = rules, scene.at_ms
        self._scene = scene
        self._waiting = list(listed)
        self._presses_ms = min((presses_from(each, scene.settings) for each in listed), default=0)
        self._first: dict[str, int] = {}  # by machine: which of its works goes first
        for each in listed:
            name = each.work.machine
            self._first[name] = min(each.asked, self._first.get(name, each.asked))
        self._taken = dict(scene.taken)
        self._ends = [
            (ends_ms.get(name, scene.at_ms), name)
            for name, each in scene.taken.items()
            if each.off is not Off.LOST
        ]
        heapq.heapify(self._ends)
        self._walk = self._all()

    def run(self, most_steps: int) -> int:
        """Go on for so many steps at most; how many it took."""
        before = self.steps
        while not self.done and self.steps - before < most_steps:
            if next(self._walk, None) is None:
                self.done = True
        return self.steps - before

    @property
    def ends_ms(self) -> int:
        return max((each.ends_ms for each in self.planned), default=self._at_ms)

    def _all(self) -> Iterator[bool]:
        while self._waiting:
            yield from self._moment()
            if not self._advance():
                return

    def _moment(self) -> Iterator[bool]:
        """All that begins at this time. One yield is one step, or at most `MOST_PRESSING` pairs of them."""
        if self._full():
            return
        press: tuple[Pressing, ...] = ()
        if self._at_ms >= self._presses_ms:
            press = pressing(self._waiting, self._at_ms, self._scene.settings)
        rank = {one.waiting.work.id: number for number, one in enumerate(press)}
        waiting = {each.work.machine for each in self._waiting}
        for each in sorted(self._waiting, key=lambda one: rank.get(one.work.id, len(rank))):
            if self._later(each):
                continue
            now = replace(self._scene, at_ms=self._at_ms, taken=self._taken, waiting=waiting)
            self.steps += 1
            stop = judge(now, each.work, self._rules)
            if stop is None and press:
                self.steps += 2 * len(press)
                stop = held_up(now, each.work, press, self._rules)
            if stop is None:
                self._begin(each)
            else:
                self.stopped[each.work.id] = stop
            yield True
            if self._full():
                return

    def _full(self) -> bool:
        return len(self._ends) >= self._scene.settings.most_out

    def _later(self, each: Waiting) -> bool:
        """Whether another work of its machine goes first."""
        if self._first[each.work.machine] == each.asked:
            return False
        self.stopped[each.work.id] = Stop("apart", (each.work.machine,), "an earlier work of it goes first")
        return True

    def _begin(self, each: Waiting) -> None:
        work, machine = each.work, self._scene.fleet.get(each.work.machine)
        ends_ms = self._at_ms + work.took_ms + self._scene.settings.away_ms
        self.planned.append(Planned(work, self._at_ms, ends_ms))
        self._waiting.remove(each)
        rest = [one.asked for one in self._waiting if one.work.machine == work.machine]
        self._first[work.machine] = min(rest, default=0)
        self.stopped.pop(work.id, None)
        self._taken[work.machine] = Taken(work, Off.AWAY, groups(machine) if machine else (), self._at_ms)
        heapq.heappush(self._ends, (ends_ms, work.machine))

    def _advance(self) -> bool:
        """To the next time at which something is different; False where there is none."""
        settings = self._scene.settings
        times = [self._ends[0][0]] if self._ends else []
        times += [each.work.not_before_ms for each in self._waiting]
        times.append(open_ms(self._at_ms, settings.seasons))
        later = [time for time in times if time > self._at_ms]
        if not later:
            return False
        self._at_ms = min(later)
        while self._ends and self._ends[0][0] <= self._at_ms:
            del self._taken[heapq.heappop(self._ends)[1]]
        return True
