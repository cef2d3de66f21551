"""Computes the plan in the background: a slice at a time, and again after a change."""

from molereach.upkeep.permits.lifecycle import WAITING_STATES, State
from molereach.upkeep.permits.record import ItemRecord
from molereach.upkeep.permits.registry import WorkRegistry
from molereach.upkeep.scheduling.plan import Plan, Planner


class BackgroundPlanner:
    """`plan` is the last complete plan; it may be out of date."""

    def __init__(self, registry: WorkRegistry) -> None:
        self.plan: Plan | None = None
        self._registry = registry
        self._planner: Planner | None = None
        self._stale = True

    @property
    def busy(self) -> bool:
        """Whether a plan is being computed."""
        return self._planner is not None

    def invalidate(self) -> None:
        """Requests a new plan after a change."""
        self._stale = True

    def reset(self) -> None:
        """Drops the plan and requests a new one."""
        self.plan, self._planner, self._stale = None, None, True

    def run_slice(self, at_ms: int) -> None:
        """Starts a new plan if needed, or continues the current one."""
        if self._planner is None and self._stale:
            ends_ms = {
                name: self._ends_ms(each, at_ms)
                for each in self._registry.records.values()
                if each.state not in WAITING_STATES
                for name in each.names
            }
            self._planner = Planner(self._registry.scene(at_ms), self._registry.waiting_items(), ends_ms)
            self._stale = False  # preparing a plan takes one turn
        elif self._planner and self._planner.run():
            self.plan, self._planner = self._planner.plan, None

    def _ends_ms(self, record: ItemRecord, at_ms: int) -> int:
        """When a machine in maintenance is expected to be warm again."""
        settings = self._registry.settings
        if record.state is State.RETURNED or record.state is State.WARMING:
            return max(at_ms + 1, record.since_ms + settings.warming_ms)
        due_ms = record.until_ms or record.begun_ms + settings.drain_ms + record.work.duration_ms
        return max(at_ms + 1, due_ms + settings.warming_ms)
