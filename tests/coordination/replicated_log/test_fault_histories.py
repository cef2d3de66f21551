"""130 random histories of faults, with 3, 5 and 7 initial voters, and nodes that are not voters."""

import pytest

from tests.coordination.replicated_log.fault_histories import History


@pytest.mark.parametrize("seed", range(40))
def test_three_voters(seed: int) -> None:
    History(seed, 3, 3).run()


@pytest.mark.parametrize("seed", range(70))
def test_five_voters(seed: int) -> None:
    History(1000 + seed, 5, 3).run()


@pytest.mark.parametrize("seed", range(20))
def test_seven_voters(seed: int) -> None:
    History(2000 + seed, 7, 2).run()
