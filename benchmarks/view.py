"""The view of a long list: doors of a backend, its load, what moves, and how soon a lost zone is filled up.

Figures of the worst size are held against the aims; all sizes, and other ways at two of them, are beside.
"""

import sys
from collections.abc import Callable, Iterable
from dataclasses import asdict

from benchmarks.result import Result
from benchmarks.subsets import compare
from benchmarks.views import SIZE, Row, Tier, reaches
from molereach.routing.places import LEAST_DOORS, least_reach

DOORS, QUICK_DOORS = (5, 40, 200, 1_000, 7_500), (5, 40)
BACKENDS, QUICK_BACKENDS = (20, 600, 2_000, 20_000, 93_000), (20, 600, 2_000, 20_000)
OTHERS, QUICK_OTHERS = ((40, 2_000), (200, 20_000)), ((40, 2_000),)
SAMPLE, QUICK_SAMPLE = 20, 3  # backends that go, and come, one by one
AIMS = {
    "least_doors": LEAST_DOORS,  # each size has more front doors than these
    "most_largest_load": 2.0,  # of a backend, over the fair one
    "most_moved_for_one": 4.0,  # (door, backend) pairs, over the least: those of that backend itself
    "most_views_not_full": 0.0,  # after the event that lost a zone
    "most_events_until_full": 0.0,  # further ones
    "most_cold_over_fair": 2.0,  # usual rate to a cold backend by all that see it; one a second is fair
}


def measure(quick: bool, seed: int, show: bool) -> Result:
    rows = list[Row]()
    for doors in QUICK_DOORS if quick else DOORS:
        for backends in QUICK_BACKENDS if quick else BACKENDS:
            for cells in (False, True):
                rows.append(Tier(doors, backends, cells, seed).row(QUICK_SAMPLE if quick else SAMPLE))
                if show:
                    print(rows[-1], file=sys.stderr, flush=True)
    worst: dict[str, Callable[[Iterable[float]], float]] = {"least_doors": min}
    names = [aim.removeprefix("most_") for aim in AIMS]
    figures = {name: float(worst.get(name, max)(getattr(row, name) for row in rows)) for name in names}
    assert reaches(200)[7] == least_reach(7, 200)
    others = [row for size in (QUICK_OTHERS if quick else OTHERS) for row in compare(*size, SIZE, seed)]
    for other in others if show else ():
        print(other, file=sys.stderr, flush=True)
    return Result("view", seed, AIMS, figures, {"sizes": [asdict(row) for row in rows], "others": others})
