"""Overload control: N is set, updated, lifted, and spread over the control period."""

from dataclasses import replace

import pytest

from molereach.policy.interface.settings import RequestClass
from molereach.policy.overload_control import (
    IN_FLIGHT_PER_BACKEND,
    MIN_IN_FLIGHT,
    UTILIZATION_TARGETS,
    OverloadControl,
    next_n,
)
from molereach.policy.time_units import TICK_US
from tests.helpers import SECOND_US, SETTINGS

TARGETS = UTILIZATION_TARGETS


def make_control(utilization: float | None = None, proxy_count: int = 2) -> OverloadControl:
    control = OverloadControl(replace(SETTINGS, proxy_count=proxy_count))
    control.period_started_at_us = 0
    if utilization is not None:
        control.utilization_samples.append(utilization)
        control.update(100, 4, list)
    return control


@pytest.mark.parametrize(
    ("n_past", "na_past", "occup", "overhead", "expected"),
    [
        (100, 100, 0.90, 0.10, 102),  # (0.92 - 0.1) / (0.9 - 0.1) * 100 = 102.5, rounded down
        (100, 80, 0.80, 0.10, 93),  # (0.82 / 0.7) * 80 = 93.7: accepted calls count, not N
        (100, 200, 0.80, 0.10, 120),  # limited to the largest increase
        (100, 20, 0.90, 0.10, 90),  # limited to the largest decrease
        (100, 100, 0.98, 0.10, 83),  # 0.82 / 0.88 * 100 = 93.18, times 0.9 at occ_too_high = 83.86
        (100, 20, 0.98, 0.10, 81),  # the largest decrease and the additional one
        (3, 4, 0.80, 0.10, 4),  # 4.69, and the largest increase, 0.6, is below 1: up by one
        (100, 70, 0.50, 0.10, 100),  # low occupancy and few calls: unchanged
        (100, 90, 0.50, 0.60, 120),  # at or below overhead: the largest increase
        (1, 0, 0.99, 0.10, 1),  # never below 1
    ],
)
def test_next_n_by_hand(n_past: int, na_past: float, occup: float, overhead: float, expected: int) -> None:
    assert next_n(n_past, na_past, occup, overhead, TARGETS) == expected


def test_initial_n_follows_ready_backends_and_n_is_lifted_when_little_used() -> None:
    control = make_control(0.9)
    assert control.n_past == IN_FLIGHT_PER_BACKEND * 4 // 2
    control.utilization_samples.append(0.3)
    control.update(0, 4, list)
    assert control.n_past is None and control.overhead == pytest.approx(0.3)


def test_n_in_full_use_rises_and_is_not_lifted() -> None:
    control = make_control(0.9)
    control.utilization_samples.append(0.3)
    control.update(16, 4, list)
    assert control.n_past == 19  # the largest increase from 16


def test_overdue_ages_count_while_no_backend_answers() -> None:
    control = make_control()
    control.update(0, 4, list)
    assert control.n_past is None  # there are no samples
    control.update(0, 4, lambda: [0.8])
    assert control.n_past == 16
    control_with_utilization = make_control()
    control_with_utilization.utilization_samples.append(0.7)
    # Ages are ignored if backends report utilization.
    control_with_utilization.update(0, 4, lambda: [1.0, 1.0])
    assert control_with_utilization.n_past is None


def test_n_is_spread_over_the_period_and_attempts_in_flight_are_bounded() -> None:
    control = make_control(0.9)
    control.forwarded_count = 8
    assert not control.allows(SECOND_US // 4, 0, 4) and control.allows(SECOND_US // 2, 0, 4)
    control.forwarded_count = 16
    assert not control.allows(SECOND_US - TICK_US, 0, 4)
    control_not_engaged = make_control()
    assert control_not_engaged.allows(0, 15, 4) and not control_not_engaged.allows(0, 16, 4)
    assert control_not_engaged.allows(0, MIN_IN_FLIGHT - 1, 0) and not control_not_engaged.allows(
        0, MIN_IN_FLIGHT, 0
    )


def test_period_is_long_at_low_rates_and_n_scales_with_it() -> None:
    control = make_control(0.9)
    control.forwarded_count, control.admitted_count = 3, 40
    assert control.offered_count() == 16  # at most N
    control.end_period(5.0, 4, list)
    assert (control.control_period_us, control.n_past, control.period_started_at_us) == (
        2 * SECOND_US,
        32,
        SECOND_US,
    ) and control.offered_count() == 0
    control.end_period(50.0, 4, list)
    assert (control.control_period_us, control.n_past, control.period_started_at_us) == (
        SECOND_US,
        16,
        3 * SECOND_US,
    )


def test_time_unit_follows_the_latency_objectives() -> None:
    for objective_us, time_unit_us in ((3 * SECOND_US, SECOND_US), (3 * SECOND_US // 4, SECOND_US // 2)):
        control = OverloadControl(replace(SETTINGS, classes=(RequestClass(objective_us, 6 * SECOND_US),)))
        assert control.time_unit_us == control.control_period_us == time_unit_us
