"""Detects work items that would wait for one another forever.

An item that names a machine in `after` waits for all open items of that machine, and the items of one machine
run one after another. The search therefore walks machines, not items.
"""

from collections.abc import Iterable

from molereach.upkeep.requests.work_item import WorkItem


def find_cycle(work: WorkItem, others: Iterable[WorkItem]) -> tuple[str, ...]:
    """The machines of a cycle that `work` would close, starting with its successor; empty if there is
    none."""
    predecessors: dict[str, set[str]] = {}
    for each in (*others, work):
        predecessors.setdefault(each.machine, set()).update(each.after)
    came_from: dict[str, str] = {}
    stack = sorted(work.after)
    came_from.update((name, work.machine) for name in stack)
    while stack:
        name = stack.pop()
        if name == work.machine:
            return _cycle_path(came_from, name)
        for earlier in sorted(predecessors.get(name, ())):
            if earlier not in came_from:
                came_from[earlier] = name
                stack.append(earlier)
    return ()


def _cycle_path(came_from: dict[str, str], last: str) -> tuple[str, ...]:
    path, name = [last], came_from[last]
    while name != last:
        path.append(name)
        name = came_from[name]
    return (*reversed(path[1:]), last) if len(path) > 1 else (last,)
