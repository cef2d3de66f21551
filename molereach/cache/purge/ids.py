"""IDs of purges: the log's position when the ID was drawn, and 64 random bits.

The position makes it safe to forget old purges: an unknown ID from before the retained window may have been
forgotten, and is answered so; an unknown ID from after it was never settled. No ID becomes pending twice.
"""

import re
from collections.abc import Callable
from typing import Annotated

from msgspec import Meta

PATTERN = r"^[0-9a-f]{1,16}-[0-9a-f]{16}\Z"
PurgeId = Annotated[str, Meta(max_length=33, pattern=PATTERN)]
BITS_PER_DRAW = 32

_ID = re.compile(PATTERN)


def draw_id(applied_position: int, random: Callable[[], float]) -> str:
    """A new ID.

    `applied_position` is that of the log where the ID is drawn; `random` returns numbers from 0 to below 1.
    """
    high, low = int(random() * (1 << BITS_PER_DRAW)), int(random() * (1 << BITS_PER_DRAW))
    return f"{applied_position:x}-{high:08x}{low:08x}"


def is_purge_id(text: str) -> bool:
    """Whether the text has the form of an ID."""
    return bool(_ID.fullmatch(text))


def drawn_position(purge_id: str) -> int:
    """The log's position in a valid ID."""
    return int(purge_id.partition("-")[0], 16)
