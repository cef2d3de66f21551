"""The view of a long list: doors of a backend, its load, what moves, and how soon a lost zone is filled up.

Figures of the worst size are held against the aims; all sizes, and other ways at two of them, are beside.
"""

import multiprocessing
import sys
from collections.abc import Callable, Iterable, Sequence
from concurrent.futures import Executor, ProcessPoolExecutor, as_completed
from dataclasses import asdict
from itertools import product

from benchmarks.result import Result
from benchmarks.subsets import compare
from benchmarks.told import SIZE
from benchmarks.views import Row, Tier, reaches
from molereach.subsetting.placement import MIN_PROXIES_PER_BACKEND, min_subset_distance
from sim.run import JOBS_CONTEXT

DOORS, QUICK_DOORS = (5, 40, 200, 1_000, 7_500), (5, 40)
BACKENDS, QUICK_BACKENDS = (20, 600, 2_000, 20_000, 93_000), (20, 600, 2_000, 20_000)
OTHERS, QUICK_OTHERS = ((40, 2_000), (200, 20_000)), ((40, 2_000),)
SAMPLE, QUICK_SAMPLE = 20, 3  # backends that go, and come, one by one
WORKERS = 3  # processes; no figure depends on how many
AIMS = {
    "least_doors": MIN_PROXIES_PER_BACKEND,  # each size has more front doors than these
    "most_largest_load": 2.0,  # of a backend, over the fair one
    "most_moved_for_one": 4.0,  # (door, backend) pairs, over the least: those of that backend itself
    "most_views_not_full": 0.0,  # after the event that lost a zone
    "most_events_until_full": 0.0,  # further ones
    "most_cold_over_fair": 2.0,  # usual rate to a cold backend by all that see it; one a second is fair
}
Size = tuple[int, int, bool]  # doors, backends, whether keyed requests are bound to cells


def row_of(size: Size, sample: int, seed: int) -> Row:
    return Tier(*size, seed).row(sample)


def rows_of(pool: Executor, sizes: Sequence[Size], sample: int, seed: int, show: bool) -> list[Row]:
    """One for each size, in their order, whichever ends first. The last ones cost most, and begin first."""
    futures = [pool.submit(row_of, size, sample, seed) for size in reversed(sizes)]
    try:
        for done in as_completed(futures):
            row = done.result()  # one that failed ends the run here
            if show:
                print(row, file=sys.stderr, flush=True)
        return [each.result() for each in reversed(futures)]
    finally:
        for each in futures:
            each.cancel()


def measure(quick: bool, seed: int, show: bool) -> Result:
    sizes = list(product(*((QUICK_DOORS, QUICK_BACKENDS) if quick else (DOORS, BACKENDS)), (False, True)))
    with ProcessPoolExecutor(WORKERS, multiprocessing.get_context(JOBS_CONTEXT)) as pool:
        compared = [pool.submit(compare, *size, SIZE, seed) for size in (QUICK_OTHERS if quick else OTHERS)]
        rows = rows_of(pool, sizes, QUICK_SAMPLE if quick else SAMPLE, seed, show)
        others = [way for each in compared for way in each.result()]
    worst: dict[str, Callable[[Iterable[float]], float]] = {"least_doors": min}
    names = [aim.removeprefix("most_") for aim in AIMS]
    figures = {name: float(worst.get(name, max)(getattr(row, name) for row in rows)) for name in names}
    assert reaches(200)[7] == min_subset_distance(7, 200)
    for other in others if show else ():
        print(other, file=sys.stderr, flush=True)
    return Result("view", seed, AIMS, figures, {"sizes": [asdict(row) for row in rows], "others": others})
