"""Rows of all front doors' views."""

import subprocess
import sys
from concurrent.futures import Executor, Future, ThreadPoolExecutor
from typing import Any

import pytest

from benchmarks import views
from benchmarks.view import rows_of
from benchmarks.views import Row, Tier, moved, server
from molereach.policy.interface.events import Endpoint
from molereach.subsetting.placement import RING_SIZE, proxy_position
from molereach.subsetting.staging import entry_of
from molereach.subsetting.subset import Subset
from tests.docs.shell import ROOT

ROWS = [  # as measured at commit 40dc8ad, seed 1, three backends that go and three that come
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


POOLED = """
import ast, multiprocessing, sys
from concurrent.futures import ProcessPoolExecutor
from benchmarks.view import rows_of
from sim.run import JOBS_CONTEXT
if __name__ == "__main__":
    with ProcessPoolExecutor(2, multiprocessing.get_context(JOBS_CONTEXT)) as pool:
        print(*rows_of(pool, ast.literal_eval(sys.argv[1]), 2, 3, False), sep="\\n")
"""


@pytest.mark.parametrize("row", ROWS, ids=lambda row: f"{row.doors}-{row.backends}-{row.cells}")
def test_row_of_a_seed_stays_as_it_is(row: Row) -> None:
    """A figure is a function of size and seed, so that a run can be compared with the one before it."""
    assert Tier(row.doors, row.backends, row.cells, 1).row(3) == row


def test_rows_of_processes_are_those_of_one_in_the_order_of_the_sizes() -> None:
    """Small sizes stand behind a large one, which is the last to end.

    They are played from a process of its own: what starts workers stays for as long as its parent does.
    """
    sizes = [(40, 2_000, True), (5, 20, False), (7, 20, True), (5, 600, False)]
    command = [sys.executable, "-c", POOLED, repr(sizes)]
    done = subprocess.run(command, cwd=ROOT, stdout=subprocess.PIPE, check=True)
    assert done.stdout.decode().splitlines() == [repr(Tier(*size, 3).row(2)) for size in sizes]


class Held(Executor):
    """Nothing is played; each future is ended by hand."""

    def __init__(self) -> None:
        self.futures: list[Future[Any]] = []

    def submit(self, *_: Any, **__: Any) -> Future[Any]:  # noqa: ANN401
        self.futures.append(Future())
        if len(self.futures) == 2:
            self.futures[-1].set_exception(ZeroDivisionError())
        return self.futures[-1]


def test_row_that_fails_ends_the_run_and_those_not_begun_are_left() -> None:
    held = Held()
    with ThreadPoolExecutor(1) as thread:
        run = thread.submit(rows_of, held, [(5, 20, False)] * 4, 2, 3, False)
        try:
            with pytest.raises(ZeroDivisionError):
                run.result(timeout=20)
            assert [each.cancelled() for each in held.futures] == [True, False, True, True]
        finally:
            for each in held.futures:
                if not each.done():
                    each.set_result(None)


@pytest.mark.parametrize("cells", [False, True])
@pytest.mark.parametrize(("doors", "backends"), [(3, 40), (7, 130), (30, 130), (9, 6)])
def test_only_views_that_one_backend_can_move_are_chosen_anew(
    doors: int, backends: int, cells: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(views, "SIZE", 8)
    for seed in range(3):
        tier = Tier(doors, backends, cells, seed)
        assert [what(view) for view in tier.views] == [what(plain(tier, me)) for me in range(doors)]
        for number in range(max(0, backends - 15), backends + 10):
            each = server(number, backends, seed)
            fill = tier.one_goes if number < backends else tier.one_comes
            assert fill(each)[:2] == anew(tier, each, number < backends)


def what(view: Subset) -> tuple[object, ...]:
    return view.members, view.scopes, view.max_distance


def plain(tier: Tier, me: int) -> Subset:
    """As a front door chooses it."""
    view = Subset(proxy_position(me), tier.reach[me] if tier.is_long else RING_SIZE, views.SIZE)
    view.select(tier.whole)
    return view


def anew(tier: Tier, each: Endpoint, goes: bool) -> tuple[int, int]:
    """Pairs moved, and those of its own, where all views are chosen anew."""
    place, record, _ = entry_of(each, ("10.0.0.1", 80))
    name = each.name.encode()
    if goes:
        tier.whole.remove(place, name)
    else:
        tier.whole.put(place, record)
    new = [plain(tier, me) for me in range(tier.doors)]
    if goes:
        tier.whole.put(place, record)
    else:
        tier.whole.remove(place, name)
    return moved(tier.views, new), sum(name in view.members for view in (tier.views if goes else new))
