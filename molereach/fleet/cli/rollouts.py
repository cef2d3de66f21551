"""Creates the rollout of an order, with the system's random numbers and clock."""

import secrets
import time
from collections.abc import Iterator
from random import SystemRandom

from molereach.fleet.rollout import events
from molereach.fleet.rollout.stages import Rollout
from molereach.fleet.settings import FleetFile


def random_numbers() -> Iterator[float]:
    """Yield random numbers from 0 (included) to 1 (excluded)."""
    random = SystemRandom()
    while True:
        yield random.random()


def new_rollout(settings: FleetFile, draft: events.Draft, confirm_s: float | None = None) -> Rollout:
    """Return the rollout of an order, with a new random run identifier."""
    timeouts = events.Timeouts(round(settings.agree_s * 1e6), round((confirm_s or settings.confirm_s) * 1e6))
    return Rollout(
        settings.names,
        draft,
        secrets.token_hex(16),
        random_numbers(),
        time.time_ns() // 1_000_000,
        settings.floor,
        timeouts,
        settings.expected_proxies(),
    )
