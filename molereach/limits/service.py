"""Limits beside a running front door: the cores made from the section of the operator file, and the key."""

import stat
from collections.abc import Awaitable, Callable
from pathlib import Path

from molereach.door.frontdoor import FrontDoor
from molereach.limits.core import Limits
from molereach.limits.settings import LimitSettings
from molereach.limits.words import Codec
from molereach.operator import LimitsSection

LEAST_KEY_BYTES, MOST_KEY_BYTES = 16, 64  # of BLAKE2b's key at most


class KeyFileError(Exception):
    """The key cannot be used; the text is one plain line that names key, file and reason."""


def read_key(path: Path) -> bytes:
    """The key in a file that nobody but its owner can read."""
    try:
        with path.open("rb") as file:
            if stat.S_IMODE(path.stat().st_mode) & 0o077:
                raise KeyFileError(f"limits.key_file: {path}: others may read it")
            key = file.read(MOST_KEY_BYTES + 2).strip()
    except OSError as error:
        raise KeyFileError(f"limits.key_file: {path}: {error.strerror}") from error
    if not LEAST_KEY_BYTES <= len(key) <= MOST_KEY_BYTES:
        raise KeyFileError(f"limits.key_file: {path}: not {LEAST_KEY_BYTES} to {MOST_KEY_BYTES} bytes")
    return key


def attacher(section: LimitsSection) -> Callable[[FrontDoor], Awaitable[Callable[[], None]]]:
    """What switches limits on for a front door that has not had an event yet."""
    key = read_key(Path(section.key_file)) if section.key_file else b""
    figures = LimitSettings(section.lease_ms * 1000, section.drift, section.beat_ms * 1000, section.floor)

    async def attach(door: FrontDoor) -> Callable[[], None]:
        limits = Limits(door.settings, figures)
        door.use_limits(limits, Codec(limits.me, limits.generation, limits.counts, key, limits.hears))
        return lambda: None

    return attach
