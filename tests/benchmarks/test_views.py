"""Rows of all proxies' subsets."""

import subprocess
import sys
from concurrent.futures import Executor, Future, ThreadPoolExecutor
from typing import Any

import pytest

from benchmarks import views
from benchmarks.view import rows_of
from benchmarks.views import Row, TierSubsets, moved_pairs, server
from molereach.policy.interface.events import Endpoint
from molereach.subsetting.placement import RING_SIZE, proxy_position
from molereach.subsetting.staging import entry_of
from molereach.subsetting.subset import Subset
from tests.docs.shell import ROOT

ROWS = [  # of commit 40dc8ad, seed 1, three backends removed and three added
    Row(
        5,
        600,
        False,
        256,
        265.8,
        305,
        2,
        3,
        1.406,
        0.862,
        0.0032606,
        0.0032606,
        2.0,
        0.17757713,
        0.10082769,
        1.84,
        0,
        291,
        0,
        1.332,
    ),
    Row(
        5,
        600,
        True,
        256,
        281.2,
        341,
        2,
        4,
        1.727,
        0.782,
        0.00213371,
        0.00213371,
        2.0,
        0.20625889,
        0.08108108,
        1.46,
        0,
        701,
        0,
        0.939,
    ),
    Row(40, 20, True, 20, 20, 20, 40, 40, 1.0, 1.0, 0.05, 0.05, 1.0, 0.0, 0.0, 0.0, 0, 0, 0, 1.0),
    Row(
        40,
        600,
        False,
        256,
        256,
        256,
        15,
        19,
        1.113,
        0.879,
        0.00325521,
        0.00338542,
        2.0,
        0.0,
        0.11289062,
        2.0,
        0,
        291,
        0,
        1.056,
    ),
    Row(
        40,
        600,
        True,
        256,
        256,
        256,
        13,
        24,
        1.406,
        0.762,
        0.00299479,
        0.00299479,
        2.0,
        0.0,
        0.11269531,
        2.0,
        0,
        701,
        0,
        0.939,
    ),
    Row(
        12,
        2_000,
        True,
        387,
        456,
        635,
        2,
        6,
        2.275,
        0.537,
        0.00073099,
        0.00048733,
        1.5,
        0.0621345,
        0.04824561,
        1.0,
        0,
        944,
        0,
        1.167,
    ),
]


POOL_PROGRAM = """
import ast, multiprocessing, sys
from concurrent.futures import ProcessPoolExecutor
from benchmarks.view import rows_of
from sim.run import JOBS_CONTEXT
if __name__ == "__main__":
    with ProcessPoolExecutor(2, multiprocessing.get_context(JOBS_CONTEXT)) as pool:
        print(*rows_of(pool, ast.literal_eval(sys.argv[1]), 2, 3, False), sep="\\n")
"""


@pytest.mark.parametrize("row", ROWS, ids=lambda row: f"{row.doors}-{row.backends}-{row.cells}")
def test_row_is_reproducible_from_size_and_seed(row: Row) -> None:
    """A figure is a function of size and seed, so that runs can be compared."""
    assert TierSubsets(row.doors, row.backends, row.cells, 1).row(3) == row


def test_rows_from_a_process_pool_equal_sequential_rows_in_order() -> None:
    """Small sizes follow a large one, which ends last.

    The rows come from a separate process: a pool's helper processes live as long as the process that started
    it.
    """
    sizes = [(40, 2_000, True), (5, 20, False), (7, 20, True), (5, 600, False)]
    command = [sys.executable, "-c", POOL_PROGRAM, repr(sizes)]
    process = subprocess.run(command, cwd=ROOT, stdout=subprocess.PIPE, check=True)
    assert process.stdout.decode().splitlines() == [repr(TierSubsets(*size, 3).row(2)) for size in sizes]


class ManualExecutor(Executor):
    """An executor that runs nothing: the second future fails, the others are finished by the test."""

    def __init__(self) -> None:
        self.futures: list[Future[Any]] = []

    def submit(self, *_: Any, **__: Any) -> Future[Any]:  # noqa: ANN401
        self.futures.append(Future())
        if len(self.futures) == 2:
            self.futures[-1].set_exception(ZeroDivisionError())
        return self.futures[-1]


def test_failed_row_ends_the_run_and_cancels_the_other_rows() -> None:
    executor = ManualExecutor()
    with ThreadPoolExecutor(1) as thread:
        run = thread.submit(rows_of, executor, [(5, 20, False)] * 4, 2, 3, False)
        try:
            with pytest.raises(ZeroDivisionError):
                run.result(timeout=20)
            assert [future.cancelled() for future in executor.futures] == [True, False, True, True]
        finally:
            for future in executor.futures:
                if not future.done():
                    future.set_result(None)


@pytest.mark.parametrize("cells", [False, True])
@pytest.mark.parametrize(("doors", "backends"), [(3, 40), (7, 130), (30, 130), (9, 6)])
def test_reselecting_only_affected_subsets_equals_reselecting_all(
    doors: int, backends: int, cells: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(views, "SUBSET_SIZE", 8)
    for seed in range(3):
        tier = TierSubsets(doors, backends, cells, seed)
        assert [contents(subset) for subset in tier.subsets] == [
            contents(proxy_subset(tier, proxy)) for proxy in range(doors)
        ]
        for number in range(max(0, backends - 15), backends + 10):
            backend = server(number, backends, seed)
            change = tier.remove_backend if number < backends else tier.add_backend
            assert change(backend)[:2] == moved_by_full_selection(tier, backend, number < backends)


def contents(subset: Subset) -> tuple[object, ...]:
    return subset.members, subset.scopes, subset.max_distance


def proxy_subset(tier: TierSubsets, proxy: int) -> Subset:
    """Select a proxy's subset as the proxy does."""
    subset = Subset(
        proxy_position(proxy), tier.distances[proxy] if tier.is_long else RING_SIZE, views.SUBSET_SIZE
    )
    subset.select(tier.index)
    return subset


def moved_by_full_selection(tier: TierSubsets, backend: Endpoint, is_removal: bool) -> tuple[int, int]:
    """Return the pairs moved and the pairs of the backend, with all subsets selected again."""
    position, record, _ = entry_of(backend, ("10.0.0.1", 80))
    name = backend.name.encode()
    if is_removal:
        tier.index.remove(position, name)
    else:
        tier.index.put(position, record)
    new = [proxy_subset(tier, proxy) for proxy in range(tier.doors)]
    if is_removal:
        tier.index.put(position, record)
    else:
        tier.index.remove(position, name)
    return moved_pairs(tier.subsets, new), sum(
        name in subset.members for subset in (tier.subsets if is_removal else new)
    )
