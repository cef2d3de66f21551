"""Makes the rollout of an order, with the random numbers and the clock of the machine."""

import secrets
import time
from collections.abc import Iterator
from random import SystemRandom

from molereach.fleet.rollout import events
from molereach.fleet.rollout.stages import Rollout
from molereach.fleet.settings import FleetFile


def draws() -> Iterator[float]:
    """Yield random numbers from 0 to 1."""
    random = SystemRandom()
    while True:
        yield random.random()


def rollout_for(settings: FleetFile, draft: events.Draft, confirm_s: float | None = None) -> Rollout:
    """Return the rollout of an order, whose run has a new random name."""
    timeouts = events.Timeouts(round(settings.agree_s * 1e6), round((confirm_s or settings.confirm_s) * 1e6))
    return Rollout(
        settings.names,
        draft,
        secrets.token_hex(16),
        draws(),
        time.time_ns() // 1_000_000,
        settings.floor,
        timeouts,
        settings.expected_proxies(),
    )
