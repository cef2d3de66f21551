"""Plans all work items: the best of several list schedules, computed in slices so that no turn of the event
loop is long.

The plan says when each item is expected to start, or which rule and machines block it. It is a forecast that
takes loads as measured and durations as requested; the rules are evaluated once more before a machine is
drained.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, replace

from molereach.upkeep.rules.evaluation import RULES
from molereach.upkeep.rules.fallback_servers import check_fallback_servers
from molereach.upkeep.rules.fleet_facts import PERMILLE, Fleet, FleetFacts, ProxyFacts, ServerFacts
from molereach.upkeep.rules.scene import Absence, Blocker, Rule, Scene
from molereach.upkeep.scheduling.ageing import WaitingItem
from molereach.upkeep.scheduling.list_schedule import ListSchedule, PlannedItem
from molereach.upkeep.scheduling.priority import sort_keys

SLICE_STEPS = 48
# A fallback server is replaced, and a voter too, only when its item is about to start.
PLAN_RULES = tuple(rule for rule in RULES if rule is not check_fallback_servers)


def max_steps(items: int, schedules: int = 4) -> int:
    """The most steps of a plan without urgent items: at each start and end, every waiting item is
    evaluated."""
    return schedules * items * (2 * items + 1)


@dataclass(frozen=True, slots=True)
class Plan:
    """A plan; each work item is either planned or blocked."""

    planned: tuple[PlannedItem, ...]
    blocked: Mapping[str, Blocker]  # by item id
    ends_ms: int


class Planner:
    """Computes one plan; `plan` is None until it is complete."""

    def __init__(
        self,
        scene: Scene,
        waiting: Sequence[WaitingItem],
        maintenance_ends_ms: Mapping[str, int],
        rules: tuple[Rule, ...] = PLAN_RULES,
    ) -> None:
        scene = with_returned_machines(scene)
        orders = [sorted(waiting, key=key) for key in sort_keys(waiting)]
        distinct = [one for number, one in enumerate(orders) if one not in orders[:number]]
        self._schedules = [ListSchedule(scene, one, maintenance_ends_ms, rules) for one in distinct]
        self.plan: Plan | None = None

    @property
    def steps(self) -> int:
        """The steps run so far."""
        return sum(each.steps for each in self._schedules)

    def run(self, step_budget: int = SLICE_STEPS) -> bool:
        """Runs a number of steps, and 2 x `MAX_URGENT_ITEMS` more at most. Returns whether the plan is
        complete."""
        for each in self._schedules:
            if step_budget <= 0:
                return False
            step_budget -= each.run(step_budget)
        if all(each.done for each in self._schedules):
            self.plan = self._best()
        return self.plan is not None

    def _best(self) -> Plan:
        best = min(self._schedules, key=lambda each: (len(each.blocked), each.last_end_ms))
        return Plan(tuple(best.planned), best.blocked, best.last_end_ms)


def with_returned_machines(scene: Scene) -> Scene:
    """The scene with the facts of machines in maintenance as they will be after their return. Until their
    expected end they remain in maintenance."""
    away = {name for name, each in scene.in_maintenance.items() if each.absence is not Absence.LOST}
    facts = scene.fleet.facts
    servers = tuple(
        _returned(each) if each.name in away and not each.ready else each for each in facts.servers
    )
    proxies = tuple(
        ProxyFacts(each.name, each.address, each.cell, each.zone, True, each.number)
        if each.name in away
        else each
        for each in facts.doors
    )
    voters = () if facts.spares else facts.panel
    return replace(scene, fleet=Fleet(FleetFacts(facts.at_ms, servers, proxies, voters, 0, facts.ordered)))


def _returned(server: ServerFacts) -> ServerFacts:
    return ServerFacts(server.name, server.address, server.cell, server.zone, True, PERMILLE, 0)
