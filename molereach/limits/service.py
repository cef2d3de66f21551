"""Limits beside a running front door: the cores made from the section of the operator file, and the key."""

from collections.abc import Awaitable, Callable
from pathlib import Path

from molereach.keyfile import read_key
from molereach.limits.core import Limits
from molereach.limits.messages import LimitGossipCodec
from molereach.limits.settings import LimitSettings
from molereach.operator_config import LimitsSection
from molereach.proxy.proxy import FrontDoor


def attacher(section: LimitsSection) -> Callable[[FrontDoor], Awaitable[Callable[[], None]]]:
    """What switches limits on for a front door that has not had an event yet."""
    key = read_key(Path(section.key_file), "limits.key_file") if section.key_file else b""
    figures = LimitSettings(section.lease_ms * 1000, section.drift, section.beat_ms * 1000, section.floor)

    async def attach(door: FrontDoor) -> Callable[[], None]:
        limits = Limits(door.settings, figures)
        door.use_limits(
            limits,
            LimitGossipCodec(
                limits.proxy_index, limits.incarnation, limits.sends_totals, key, limits.receives_from
            ),
        )
        return lambda: None

    return attach
