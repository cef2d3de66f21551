"""Counted steps of Python: the lines that a call runs, also each round of a comprehension's loop."""

import sys
from collections.abc import Callable
from types import FrameType
from typing import Any


def steps_of(call: Callable[[], object]) -> int:
    """No time decides: the same call counts the same on any machine."""
    count, before = 0, sys.gettrace()

    def trace(frame: FrameType, event: str, arg: object) -> Any:  # noqa: ANN401
        nonlocal count
        count += event == "line"
        return trace

    sys.settrace(trace)
    try:
        call()
    finally:
        sys.settrace(before)
    return count
