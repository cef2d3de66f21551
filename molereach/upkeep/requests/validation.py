"""What is wrong with a work in view of what is known and of what else is open: the first fault, in one
line."""

from collections.abc import Collection, Mapping

from molereach.upkeep.requests.cycles import cycle
from molereach.upkeep.requests.work_item import Kind, Work, Wrong, wrong_by_itself

MOST_OPEN = 256  # works that are not over, in all
MOST_OPEN_EACH = 4  # of one machine


def wrong(
    work: Work,
    open_works: Collection[Work],
    taken: Mapping[str, Work],
    machines: Mapping[str, Kind],
    at_ms: int,
) -> Wrong | None:
    """`taken` are all works remembered by id, those that are over too; the same again is not wrong."""
    if found := wrong_by_itself(work):
        return found
    if work.id in taken:
        return None if taken[work.id] == work else Wrong("id", "is used for something else")
    if work.machine not in machines:
        return Wrong("machine", f"{work.machine} is not known")
    if machines[work.machine] is not work.kind:
        return Wrong("kind", f"{work.machine} is a {machines[work.machine].value}")
    for field, names in (("after", work.after), ("not_with", work.not_with)):
        if unknown := sorted(name for name in names if name not in machines):
            return Wrong(field, f"{unknown[0]} is not known")
    if work.successor in machines:
        return Wrong("successor", f"{work.successor} is another machine")
    if work.latest_ms < at_ms:
        return Wrong("not_after_ms", "the window has passed")
    if ring := cycle(work, open_works):
        return Wrong("after", "a cycle: " + " after ".join((work.machine, *ring)))
    return _too_many(work, open_works)


def _too_many(work: Work, open_works: Collection[Work]) -> Wrong | None:
    if len(open_works) >= MOST_OPEN:
        return Wrong("id", f"more than {MOST_OPEN} works are open")
    if sum(each.machine == work.machine for each in open_works) >= MOST_OPEN_EACH:
        return Wrong("machine", f"more than {MOST_OPEN_EACH} works of {work.machine} are open")
    return None
