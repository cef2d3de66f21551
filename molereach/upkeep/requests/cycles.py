"""Whether works would wait for one another without end.

A work that names a machine in `after` waits for all open works of that machine, and works of one machine go
one after another. So machines are what is walked, not works.
"""

from collections.abc import Iterable

from molereach.upkeep.requests.work_item import Work


def cycle(work: Work, others: Iterable[Work]) -> tuple[str, ...]:
    """The machines of a cycle that `work` would close, from its own on; empty where there is none."""
    before: dict[str, set[str]] = {}
    for each in (*others, work):
        before.setdefault(each.machine, set()).update(each.after)
    came_from: dict[str, str] = {}
    waiting = sorted(work.after)
    came_from.update((name, work.machine) for name in waiting)
    while waiting:
        name = waiting.pop()
        if name == work.machine:
            return _path(came_from, name)
        for earlier in sorted(before.get(name, ())):
            if earlier not in came_from:
                came_from[earlier] = name
                waiting.append(earlier)
    return ()


def _path(came_from: dict[str, str], last: str) -> tuple[str, ...]:
    path, name = [last], came_from[last]
    while name != last:
        path.append(name)
        name = came_from[name]
    return (*reversed(path[1:]), last) if len(path) > 1 else (last,)
