"""The suspicion timeout: decreases with the number of accusers, is bounded, and excludes stalls."""

import math

import pytest

from molereach.coordination.interface.identifiers import (
    SECOND_US,
)
from molereach.coordination.membership.settings import MembershipSettings
from molereach.coordination.membership.suspicion import Suspicion


def test_timeout_falls_with_the_logarithm_of_the_accusers() -> None:
    settings = MembershipSettings()
    suspicion = Suspicion(0, "b", 100, settings)
    intervals = [suspicion.deadline_us / settings.probe_interval_us]
    for accuser in ("c", "d", "e"):
        assert suspicion.confirm(accuser)
        intervals.append(suspicion.deadline_us / settings.probe_interval_us)
    expected = [48 - 40 * math.log(1 + number) / math.log(4) for number in range(4)]
    assert intervals == pytest.approx(expected, rel=1e-5)


def test_an_accuser_counts_once_and_their_number_is_bounded() -> None:
    suspicion = Suspicion(0, "b", 100, MembershipSettings())
    assert not suspicion.confirm("b")
    assert [suspicion.confirm(f"x{number}") for number in range(100)].count(True) == 3


@pytest.mark.parametrize(("members", "required_confirmations"), [(2, 0), (3, 1), (4, 2), (5, 3), (200, 3)])
def test_required_confirmations_are_limited_by_the_group_size(
    members: int, required_confirmations: int
) -> None:
    assert Suspicion(0, "b", members, MembershipSettings()).required_confirmations == required_confirmations


def test_stall_does_not_count_towards_the_timeout() -> None:
    suspicion = Suspicion(0, "b", 2, MembershipSettings())
    assert suspicion.deadline_us == 2 * SECOND_US
    suspicion.extend(30 * SECOND_US, 31 * SECOND_US)
    assert suspicion.deadline_us == 32 * SECOND_US
    suspicion.extend(0, 40 * SECOND_US)
    assert suspicion.deadline_us == 40 * SECOND_US
