"""Ids of purges: where the log stood when the id was drawn, and 64 random bits.

The position is what makes forgetting safe: an unknown id from before the window may have been forgotten, and
is told so; an unknown one from after it was never settled. No id is ever pending anew.
"""

import re
from collections.abc import Callable
from typing import Annotated

from msgspec import Meta

PATTERN = r"^[0-9a-f]{1,16}-[0-9a-f]{16}\Z"
PurgeId = Annotated[str, Meta(max_length=33, pattern=PATTERN)]
HALF_BITS = 32  # of what one draw gives

_ID = re.compile(PATTERN)


def draw_id(applied: int, draw: Callable[[], float]) -> str:
    """A new id; `applied` is the position up to which the log was applied where it is drawn, and `draw` gives
    numbers from 0 up to 1."""
    high, low = int(draw() * (1 << HALF_BITS)), int(draw() * (1 << HALF_BITS))
    return f"{applied:x}-{high:08x}{low:08x}"


def is_id(text: str) -> bool:
    return bool(_ID.fullmatch(text))


def drawn_at(purge_id: str) -> int:
    """The position in an id, which is one."""
    return int(purge_id.partition("-")[0], 16)
