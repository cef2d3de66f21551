"""By what works are ordered that do not press: some lists, of which a plan takes the best.

Source: Graham, "Bounds on Multiprocessing Timing Anomalies" (SIAM 17, 1969): a list by the longest first is
close to the best, and no list is far from it; Hu (1961) for chains: by the longest way that hangs on a
work.
"""

from collections.abc import Callable, Sequence

from molereach.upkeep.requests.work_item import Work
from molereach.upkeep.scheduling.ageing import Waiting

Key = Callable[[Waiting], tuple[int, ...]]


def tails(waiting: Sequence[Waiting]) -> dict[str, int]:
    """By id: minutes of the longest chain of works that begins with this one."""
    by_machine: dict[str, list[Waiting]] = {}
    behind: dict[str, list[Waiting]] = {}
    for each in waiting:
        by_machine.setdefault(each.work.machine, []).append(each)
        for name in each.work.after:
            behind.setdefault(name, []).append(each)
    found: dict[str, int] = {}

    def tail(each: Waiting, depth: int) -> int:
        if each.work.id not in found:
            later = [other for other in by_machine[each.work.machine] if other.asked > each.asked]
            rest = [*later, *behind.get(each.work.machine, ())] if depth else []
            found[each.work.id] = each.work.minutes + max((tail(one, depth - 1) for one in rest), default=0)
        return found[each.work.id]

    for each in sorted(waiting, key=lambda one: -one.asked):
        tail(each, MOST_CHAIN)
    return found


MOST_CHAIN = 64  # works in a chain that are looked at


def clashes(works: Sequence[Work]) -> dict[str, int]:
    """By id: minutes of the works that may not be out beside this one."""
    by_machine: dict[str, int] = {}
    against: dict[str, int] = {}
    for work in works:
        by_machine[work.machine] = by_machine.get(work.machine, 0) + work.minutes
        for name in work.not_with:
            against[name] = against.get(name, 0) + work.minutes
    return {
        work.id: against.get(work.machine, 0) + sum(by_machine.get(name, 0) for name in work.not_with)
        for work in works
    }


def keys(waiting: Sequence[Waiting]) -> tuple[Key, ...]:
    """The lists to be tried, the most promising first."""
    tail, clash = tails(waiting), clashes([each.work for each in waiting])
    return (
        lambda one: (-tail[one.work.id], -clash[one.work.id], one.asked),
        lambda one: (-tail[one.work.id] - clash[one.work.id], one.asked),
        lambda one: (one.work.latest_ms, -tail[one.work.id], one.asked),
        lambda one: (one.asked,),
    )
