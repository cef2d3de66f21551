"""Enables limits on a proxy, from the `[limits]` section of the operator file and its key file."""

from collections.abc import Awaitable, Callable
from pathlib import Path

from molereach.keyfile import read_key
from molereach.limits.core import Limits
from molereach.limits.gossip_codec import LimitGossipCodec
from molereach.limits.settings import LimitSettings
from molereach.operator_config import LimitsSection
from molereach.proxy.proxy import Proxy

MILLISECOND_US = 1000


def attacher(section: LimitsSection) -> Callable[[Proxy], Awaitable[Callable[[], None]]]:
    """Return a coroutine function that enables limits on a proxy that has not processed an event yet.

    Raises KeyFileError if the key file cannot be used.
    """
    key = read_key(Path(section.key_file), "limits.key_file") if section.key_file else b""
    limit_settings = LimitSettings(
        lease_us=section.lease_ms * MILLISECOND_US,
        drift=section.drift,
        heartbeat_us=section.beat_ms * MILLISECOND_US,
        reserved_fraction=section.floor,
    )

    async def attach(proxy: Proxy) -> Callable[[], None]:
        limits = Limits(proxy.settings, limit_settings)
        codec = LimitGossipCodec(
            limits.proxy_index,
            limits.incarnation,
            supports_limits=limits.sends_totals,
            key=key,
            receives_from=limits.receives_from,
        )
        proxy.use_limits(limits, codec)
        return lambda: None

    return attach
