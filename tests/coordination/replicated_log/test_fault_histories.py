"""130 histories of faults: panels of 3, 5 and 7, with front doors that have no seat."""

import pytest

from tests.coordination.replicated_log.fault_histories import History


@pytest.mark.parametrize("seed", range(40))
def test_three(seed: int) -> None:
    History(seed, 3, 3).play()


@pytest.mark.parametrize("seed", range(70))
def test_five(seed: int) -> None:
    History(1000 + seed, 5, 3).play()


@pytest.mark.parametrize("seed", range(20))
def test_seven(seed: int) -> None:
    History(2000 + seed, 7, 2).play()
