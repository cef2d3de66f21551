"""Evaluates all rules in a fixed order; the first that blocks is reported."""

from molereach.upkeep.requests.work_item import WorkItem
from molereach.upkeep.rules.capacity import check_capacity
from molereach.upkeep.rules.concurrency_limits import check_concurrency
from molereach.upkeep.rules.exclusions import check_exclusions
from molereach.upkeep.rules.fallback_servers import check_fallback_servers
from molereach.upkeep.rules.minimum_servers import check_minimum_servers
from molereach.upkeep.rules.open_orders import check_orders
from molereach.upkeep.rules.prerequisites import check_prerequisites
from molereach.upkeep.rules.proxy_sets import check_proxy_sets
from molereach.upkeep.rules.scene import Blocker, Rule, Scene
from molereach.upkeep.rules.seasons import check_seasons
from molereach.upkeep.rules.voters import check_voters
from molereach.upkeep.rules.window import check_window

RULES: tuple[Rule, ...] = (
    check_window,
    check_seasons,
    check_orders,
    check_prerequisites,
    check_exclusions,
    check_concurrency,
    check_minimum_servers,
    check_capacity,
    check_proxy_sets,
    check_voters,
    check_fallback_servers,
)


def find_blocker(scene: Scene, work: WorkItem, rules: tuple[Rule, ...] = RULES) -> Blocker | None:
    """What blocks a work item from starting now; None if it may start."""
    for rule in rules:
        if stop := rule(scene, work):
            return stop
    return None
