"""The view of a long list: doors of a backend, its load, what moves, and how soon a lost zone is filled up.

The aims apply to the figures of the worst size. The result also has all sizes, and other subsetting
algorithms at two of them.
"""

import multiprocessing
import sys
from collections.abc import Callable, Iterable, Sequence
from concurrent.futures import Executor, ProcessPoolExecutor, as_completed
from dataclasses import asdict
from itertools import product

from benchmarks.result import Result
from benchmarks.subsets import compare
from benchmarks.told import SUBSET_SIZE
from benchmarks.views import Row, TierSubsets, subset_distances
from molereach.subsetting.placement import MIN_PROXIES_PER_BACKEND, min_subset_distance
from sim.run import JOBS_CONTEXT

DOORS, QUICK_DOORS = (5, 40, 200, 1_000, 7_500), (5, 40)
BACKENDS, QUICK_BACKENDS = (20, 600, 2_000, 20_000, 93_000), (20, 600, 2_000, 20_000)
COMPARED_SIZES, QUICK_COMPARED_SIZES = ((40, 2_000), (200, 20_000)), ((40, 2_000),)
SAMPLED_BACKENDS, QUICK_SAMPLED_BACKENDS = 20, 3  # backends removed, and added, one at a time
WORKERS = 3  # processes; no figure depends on how many
AIMS = {
    "least_doors": MIN_PROXIES_PER_BACKEND,  # every size has more proxies than this
    "most_largest_load": 2.0,  # of a backend, over the mean load
    "most_moved_for_one": 4.0,  # (proxy, backend) pairs, over the minimum: those of that backend itself
    "most_views_not_full": 0.0,  # after the event that removed a zone
    "most_events_until_full": 0.0,  # further ones
    "most_cold_over_fair": 2.0,  # usual rate to a cold backend from all that see it; one a second is fair
}
Size = tuple[int, int, bool]  # proxies, backends, whether keyed requests are bound to cells


def row_of(size: Size, sample: int, seed: int) -> Row:
    """Return the row of one size."""
    return TierSubsets(*size, seed).row(sample)


def rows_of(pool: Executor, sizes: Sequence[Size], sample: int, seed: int, progress: bool) -> list[Row]:
    """Return a row for each size, in the order of the sizes.

    The last sizes cost most and are started first.
    """
    futures = [pool.submit(row_of, size, sample, seed) for size in reversed(sizes)]
    try:
        for done in as_completed(futures):
            row = done.result()  # raises if the row failed, which ends the run
            if progress:
                print(row, file=sys.stderr, flush=True)
        return [future.result() for future in reversed(futures)]
    finally:
        for future in futures:
            future.cancel()


def measure(quick: bool, seed: int, progress: bool) -> Result:
    """Measure all sizes; the aims are in `AIMS`."""
    sizes = list(product(*((QUICK_DOORS, QUICK_BACKENDS) if quick else (DOORS, BACKENDS)), (False, True)))
    with ProcessPoolExecutor(WORKERS, multiprocessing.get_context(JOBS_CONTEXT)) as pool:
        comparisons = [
            pool.submit(compare, *size, SUBSET_SIZE, seed)
            for size in (QUICK_COMPARED_SIZES if quick else COMPARED_SIZES)
        ]
        rows = rows_of(pool, sizes, QUICK_SAMPLED_BACKENDS if quick else SAMPLED_BACKENDS, seed, progress)
        others = [figures_row for future in comparisons for figures_row in future.result()]
    worst_of: dict[str, Callable[[Iterable[float]], float]] = {"least_doors": min}
    names = [aim.removeprefix("most_") for aim in AIMS]
    figures = {name: float(worst_of.get(name, max)(getattr(row, name) for row in rows)) for name in names}
    assert subset_distances(200)[7] == min_subset_distance(7, 200)
    for other in others if progress else ():
        print(other, file=sys.stderr, flush=True)
    return Result("view", seed, AIMS, figures, {"sizes": [asdict(row) for row in rows], "others": others})
