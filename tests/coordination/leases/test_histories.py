"""Random histories: no session is ended while held, and no proof is wrong; and each safeguard is needed."""

import pytest

from tests.coordination.leases.histories import history
from tests.coordination.leases.mutants import MUTANTS, QUICK_MUTANTS
from tests.coordination.leases.world import BrokenError, Cores

AT_ONCE = 50
MOST_HISTORIES = 400  # in which a mutant must be found; most take under 50


@pytest.mark.parametrize("first", range(0, 500, AT_ONCE))
def test_no_history_breaks_what_must_hold(first: int) -> None:
    worlds = [history(seed, quick=seed % 5 == 0) for seed in range(first, first + AT_ONCE)]
    # What was to be tested happened, and not rarely.
    assert sum(world.given for world in worlds) > 20 * AT_ONCE
    assert sum(world.ended for world in worlds) > AT_ONCE
    assert sum(world.proven for world in worlds) > AT_ONCE


@pytest.mark.parametrize("name", MUTANTS)
def test_what_a_safeguard_prevents_is_found_without_it(name: str) -> None:
    find(MUTANTS[name], quick=False)


@pytest.mark.parametrize("name", QUICK_MUTANTS)
def test_what_the_clocks_alone_can_do_is_found(name: str) -> None:
    find(QUICK_MUTANTS[name], quick=True)


def find(cores: Cores, quick: bool) -> None:
    with pytest.raises(BrokenError):
        for seed in range(MOST_HISTORIES):
            history(seed, cores, quick)
