"""All rules, in the order in which they are asked: the first that says no is the one that is told."""

from molereach.upkeep.requests.work import Work
from molereach.upkeep.rules.apart import apart
from molereach.upkeep.rules.first import first
from molereach.upkeep.rules.floor import floor
from molereach.upkeep.rules.limits import limits
from molereach.upkeep.rules.orders import orders
from molereach.upkeep.rules.panel import panel
from molereach.upkeep.rules.room import room
from molereach.upkeep.rules.scene import Rule, Scene, Stop
from molereach.upkeep.rules.seasons import seasons
from molereach.upkeep.rules.sets import sets
from molereach.upkeep.rules.standing import standing
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
