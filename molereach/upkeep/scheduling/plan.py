"""A plan over all works: the best of some passes, made in slices so that no turn of the loop is long.

It says when each work is to begin, or the rule and the machines that stop it. It is a forecast: loads stay as
measured, works take what was said. Whoever drains a machine asks the rules again.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, replace

from molereach.upkeep.rules.evaluation import RULES
from molereach.upkeep.rules.fallback_servers import standing
from molereach.upkeep.rules.fleet_facts import WHOLE, Door, Facts, Fleet, Server
from molereach.upkeep.rules.scene import Off, Rule, Scene, Stop
from molereach.upkeep.scheduling.ageing import Waiting
from molereach.upkeep.scheduling.list_schedule import Pass, Planned
from molereach.upkeep.scheduling.priority import keys

SLICE_STEPS = 48
# Another server stands in its place, and a seat is moved, when the time comes.
PLAN_RULES = tuple(rule for rule in RULES if rule is not standing)


def most_steps(works: int, passes: int = 4) -> int:
    """What a plan takes at most where nothing presses: at each begin and end all that wait are asked."""
    return passes * works * (2 * works + 1)


@dataclass(frozen=True, slots=True)
class Plan:
    """Each work is in one of the two."""

    planned: tuple[Planned, ...]
    stopped: Mapping[str, Stop]  # by id
    ends_ms: int


class Planner:
    """Makes one plan; `plan` is None until it is made."""

    def __init__(
        self,
        scene: Scene,
        waiting: Sequence[Waiting],
        ends_ms: Mapping[str, int],
        rules: tuple[Rule, ...] = PLAN_RULES,
    ) -> None:
        scene = hopeful(scene)
        lists = [sorted(waiting, key=key) for key in keys(waiting)]
        different = [one for number, one in enumerate(lists) if one not in lists[:number]]
        self._passes = [Pass(scene, one, ends_ms, rules) for one in different]
        self.plan: Plan | None = None

    @property
    def steps(self) -> int:
        return sum(each.steps for each in self._passes)

    def run(self, most: int = SLICE_STEPS) -> bool:
        """Go on for so many steps, and 2 x `MOST_PRESSING` at most beyond; whether the plan is made."""
        for each in self._passes:
            if most <= 0:
                return False
            most -= each.run(most)
        if all(each.done for each in self._passes):
            self.plan = self._best()
        return self.plan is not None

    def _best(self) -> Plan:
        best = min(self._passes, key=lambda each: (len(each.stopped), each.ends_ms))
        return Plan(tuple(best.planned), best.stopped, best.ends_ms)


def hopeful(scene: Scene) -> Scene:
    """With the machines that are away as they will be once they are back: until then they are taken."""
    away = {name for name, each in scene.taken.items() if each.off is not Off.LOST}
    facts = scene.fleet.facts
    servers = tuple(_back(each) if each.name in away and not each.ready else each for each in facts.servers)
    doors = tuple(
        Door(each.name, each.address, each.cell, each.zone, True, each.number) if each.name in away else each
        for each in facts.doors
    )
    seats = () if facts.spares else facts.panel
    return replace(scene, fleet=Fleet(Facts(facts.at_ms, servers, doors, seats, 0, facts.ordered)))


def _back(server: Server) -> Server:
    return Server(server.name, server.address, server.cell, server.zone, True, WHOLE, 0)
