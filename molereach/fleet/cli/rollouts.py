"""A rollout as the tool begins one: its name, its chance and its clock."""

import secrets
import time
from collections.abc import Iterator
from random import SystemRandom

from molereach.fleet.rollout import events as ev
from molereach.fleet.rollout.stages import Rollout
from molereach.fleet.settings import FleetFile


def draws() -> Iterator[float]:
    random = SystemRandom()
    while True:
        yield random.random()


def rollout_for(settings: FleetFile, draft: ev.Draft, confirm_s: float | None = None) -> Rollout:
    """A rollout whose run has a name that no other has ever had."""
    times = ev.Timeouts(round(settings.agree_s * 1e6), round((confirm_s or settings.confirm_s) * 1e6))
    return Rollout(
        settings.names,
        draft,
        secrets.token_hex(16),
        draws(),
        time.time_ns() // 1_000_000,
        settings.floor,
        times,
        settings.expected_proxies(),
    )
