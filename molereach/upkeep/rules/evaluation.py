"""All rules, in the order in which they are asked: the first that says no is the one that is told."""

from molereach.upkeep.requests.work_item import Work
from molereach.upkeep.rules.capacity import room
from molereach.upkeep.rules.concurrency_limits import limits
from molereach.upkeep.rules.exclusions import apart
from molereach.upkeep.rules.fallback_servers import standing
from molereach.upkeep.rules.minimum_servers import floor
from molereach.upkeep.rules.open_orders import orders
from molereach.upkeep.rules.prerequisites import first
from molereach.upkeep.rules.proxy_sets import sets
from molereach.upkeep.rules.scene import Rule, Scene, Stop
from molereach.upkeep.rules.seasons import seasons
from molereach.upkeep.rules.voters import panel
from molereach.upkeep.rules.window import window

RULES: tuple[Rule, ...] = (
    window,
    seasons,
    orders,
    first,
    apart,
    limits,
    floor,
    room,
    sets,
    panel,
    standing,
)


def judge(scene: Scene, work: Work, rules: tuple[Rule, ...] = RULES) -> Stop | None:
    """Whether the work may go now; None for yes."""
    for rule in rules:
        if stop := rule(scene, work):
            return stop
    return None
