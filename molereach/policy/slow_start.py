"""Slow start: a backend that started or recovered is given a growing fraction of the usual load.

The fraction rises from `Settings.slow_start_fraction` to 1 within `Settings.slow_start_window_us`. Over many
proxies the interval between two attempts at one backend may be longer than the window, so each proxy spaces
its own attempts and counts the growth of the fraction in between.
"""

from molereach.policy.backend_state import BackendState
from molereach.policy.interface.settings import Settings
from molereach.policy.time_units import SECOND_US


def capacity_fraction(now_us: int, backend: BackendState, settings: Settings) -> float:
    """The fraction of its capacity, from 0 to 1, that a backend may be given by now."""
    if not backend.slow_start_from_us:
        return 1.0
    age = (now_us - backend.slow_start_from_us) / max(1, settings.slow_start_window_us)
    if age >= 1:
        return 1.0
    initial = settings.slow_start_fraction
    return initial + (1 - initial) * max(0.0, age)


def is_due(
    now_us: int, backend: BackendState, fraction: float, usual_rate: float, settings: Settings
) -> bool:
    """Whether a backend in slow start may be given an attempt now.

    `fraction` is its present capacity fraction, `usual_rate` the attempts per second that this proxy forwards
    to a backend at full capacity.
    """
    since_us = now_us - backend.forwarded_at_us
    initial = settings.slow_start_fraction
    earlier = max(initial, fraction - (1 - initial) * since_us / max(1, settings.slow_start_window_us))
    earned = since_us / SECOND_US * usual_rate * (earlier + fraction) / 2
    return backend.slow_start_credit + earned >= 1
