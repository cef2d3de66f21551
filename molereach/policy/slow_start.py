"""Slow start: a backend that started or recovered receives a growing fraction of its normal load.

The fraction rises linearly from `Settings.slow_start_fraction` to 1 within `Settings.slow_start_window_us`.
With many proxies, the interval between two attempts of one proxy at one backend may exceed the window, so
each proxy spaces its own attempts and takes into account how the fraction grows in between.
"""

from molereach.policy.backend_state import BackendState
from molereach.policy.interface.settings import Settings
from molereach.policy.time_units import SECOND_US


def capacity_fraction(now_us: int, backend: BackendState, settings: Settings) -> float:
    """The fraction of its full capacity, from 0 to 1, that a backend may receive now."""
    if not backend.slow_start_from_us:
        return 1.0
    progress = (now_us - backend.slow_start_from_us) / max(1, settings.slow_start_window_us)
    if progress >= 1:
        return 1.0
    initial_fraction = settings.slow_start_fraction
    return initial_fraction + (1 - initial_fraction) * max(0.0, progress)


def is_due(now_us: int, backend: BackendState, fraction: float, full_rate: float, settings: Settings) -> bool:
    """Whether a backend in slow start may receive an attempt now.

    `fraction` is its current capacity fraction, `full_rate` the attempts per second that this proxy forwards
    to a backend at full capacity. An attempt needs a credit of 1, which accrues at `full_rate` times the mean
    fraction since the last attempt.
    """
    elapsed_us = now_us - backend.forwarded_at_us
    initial_fraction = settings.slow_start_fraction
    earlier_fraction = max(
        initial_fraction,
        fraction - (1 - initial_fraction) * elapsed_us / max(1, settings.slow_start_window_us),
    )
    earned_credit = elapsed_us / SECOND_US * full_rate * (earlier_fraction + fraction) / 2
    return backend.slow_start_credit + earned_credit >= 1
