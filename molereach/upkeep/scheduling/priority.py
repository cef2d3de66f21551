"""The orders that are tried for work items that are not urgent; the plan takes the best.

Source: Graham, "Bounds on Multiprocessing Timing Anomalies" (SIAM 17, 1969): scheduling the longest first is
close to the optimum, and no list is far from it; Hu (1961): for chains, by the longest path that starts at
the item.
"""

from collections.abc import Callable, Sequence

from molereach.upkeep.requests.work_item import WorkItem
from molereach.upkeep.scheduling.ageing import WaitingItem

SortKey = Callable[[WaitingItem], tuple[int, ...]]


def chain_minutes(waiting: Sequence[WaitingItem]) -> dict[str, int]:
    """The minutes of the longest chain of items that starts with each item, by id."""
    by_machine: dict[str, list[WaitingItem]] = {}
    dependents: dict[str, list[WaitingItem]] = {}
    for each in waiting:
        by_machine.setdefault(each.work.machine, []).append(each)
        for name in each.work.after:
            dependents.setdefault(name, []).append(each)
    minutes_by_id: dict[str, int] = {}

    def longest_chain(each: WaitingItem, depth: int) -> int:
        if each.work.id not in minutes_by_id:
            later_items = [
                other
                for other in by_machine[each.work.machine]
                if other.requested_position > each.requested_position
            ]
            successors = [*later_items, *dependents.get(each.work.machine, ())] if depth else []
            minutes_by_id[each.work.id] = each.work.minutes + max(
                (longest_chain(one, depth - 1) for one in successors), default=0
            )
        return minutes_by_id[each.work.id]

    for each in sorted(waiting, key=lambda one: -one.requested_position):
        longest_chain(each, MAX_CHAIN_LENGTH)
    return minutes_by_id


MAX_CHAIN_LENGTH = 64  # items of a chain that are considered


def conflict_minutes(items: Sequence[WorkItem]) -> dict[str, int]:
    """The minutes of the items that may not run beside each item, by id."""
    by_machine: dict[str, int] = {}
    conflicts: dict[str, int] = {}
    for item in items:
        by_machine[item.machine] = by_machine.get(item.machine, 0) + item.minutes
        for name in item.not_with:
            conflicts[name] = conflicts.get(name, 0) + item.minutes
    return {
        item.id: conflicts.get(item.machine, 0) + sum(by_machine.get(name, 0) for name in item.not_with)
        for item in items
    }


def sort_keys(waiting: Sequence[WaitingItem]) -> tuple[SortKey, ...]:
    """The sort keys of the orders to be tried, the most promising first."""
    chains, conflicts = chain_minutes(waiting), conflict_minutes([each.work for each in waiting])
    return (
        lambda one: (-chains[one.work.id], -conflicts[one.work.id], one.requested_position),
        lambda one: (-chains[one.work.id] - conflicts[one.work.id], one.requested_position),
        lambda one: (one.work.latest_start_ms, -chains[one.work.id], one.requested_position),
        lambda one: (one.requested_position,),
    )
