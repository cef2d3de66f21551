"""Which step a work is ready for at a time, by the same guards that the state machine asks: what a leader
proposes.

A beginning is not among them: that is for the plan.
"""

from molereach.upkeep.permits.guards import GUARDS
from molereach.upkeep.permits.lifecycle import LEAVING, State, Step
from molereach.upkeep.permits.record import Record
from molereach.upkeep.permits.registry import Book
from molereach.upkeep.requests.work_item import Kind
from molereach.upkeep.rules.capacity import room
from molereach.upkeep.rules.evaluation import judge
from molereach.upkeep.rules.fleet_facts import Server
from molereach.upkeep.rules.minimum_servers import floor
from molereach.upkeep.rules.open_orders import orders
from molereach.upkeep.rules.proxy_sets import sets
from molereach.upkeep.rules.remaining_capacity import short
from molereach.upkeep.rules.scene import Scene
from molereach.upkeep.rules.seasons import seasons
from molereach.upkeep.rules.voters import panel
from molereach.upkeep.rules.window import window

BY_TIME: dict[State, tuple[Step, ...]] = {  # the first that may be
    State.ASKED: (Step.LAPSE, Step.QUEUE),
    State.QUEUED: (Step.LAPSE,),
    State.OUT: (Step.OVERDUE,),
    State.BACK: (Step.WARM, Step.OVERDUE),
    State.WARM: (Step.DONE,),
    State.OVERDUE: (Step.LOST,),
}
NEEDED = (window, seasons, orders, floor, room, sets, panel)  # that call back one that drains


def next_step(book: Book, record: Record, at_ms: int) -> Step | None:
    for step in BY_TIME.get(record.state, ()):
        if not GUARDS[step](book, record, at_ms):
            return step
    return None


def recalled(book: Book, at_ms: int) -> tuple[Record, ...]:
    """Those that drain and are needed after all, the last that began first; none by old facts."""
    if book.fresh(at_ms):
        return ()
    scene, found = book.scene(at_ms), []
    leaving = [each for each in book.records.values() if each.state in LEAVING]
    for each in sorted(leaving, key=lambda one: -one.begun):
        without = scene.without(each.work)
        if judge(without, each.work, NEEDED):
            found.append(each)
            scene = without
    return tuple(found)


def hurried(book: Book, at_ms: int) -> tuple[Record, ...]:
    """Those that are out where something is short now, and have not been hurried."""
    if book.fresh(at_ms):
        return ()
    scene = book.scene(at_ms)
    lacking = set(short(scene))
    out = [
        each
        for each in book.records.values()
        if each.state in (State.OUT, State.OVERDUE) and not each.hurried
    ]
    return tuple(each for each in out if _lacks(scene, each, lacking))


def _lacks(scene: Scene, record: Record, lacking: set[tuple[str, str]]) -> bool:
    if record.work.kind is Kind.SERVER:
        return bool({("cell", record.cell), ("zone", record.zone)} & lacking)
    return judge(scene.without(record.work), record.work, (sets, panel)) is not None


def back_as(book: Book, record: Record, at_ms: int) -> str | None:
    """The name under which a machine is ready again: one that was seen away since its permit, or whose
    permit has ended, as it may have been away where nothing was measured. Before that it may not have gone
    yet."""
    ended = record.state is not State.OUT and book.fleet.facts.at_ms >= record.since_ms
    if book.fresh(at_ms) or not (record.gone or ended):
        return None
    # One that was back already and did not warm is not back again until it has: else it would keep its place.
    least = book.settings.warm if record.name else 0
    for name in book.successors(record):
        machine = book.fleet.get(name)
        cold = isinstance(machine, Server) and machine.warmth < least
        if machine is not None and machine.ready and not cold:
            return name
    return None
