"""Helpers to inspect processes, and to wait for a condition."""

import contextlib
import time
from pathlib import Path
from typing import Any


def children(pid: int) -> list[int]:
    """The process ids of the children of a process."""
    with contextlib.suppress(OSError):
        return [
            int(child)
            for task in Path(f"/proc/{pid}/task").iterdir()
            for child in (task / "children").read_text().split()
        ]
    return []


def alive(pid: int) -> bool:
    """Whether a process exists and is not a zombie."""
    with contextlib.suppress(OSError):
        return Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0] not in ("Z", "X")
    return False


def until(condition: "Any", within_s: float = 30.0) -> None:  # noqa: ANN401
    """Wait until a condition holds; fails after a time that only a hang takes."""
    deadline = time.monotonic() + within_s
    while not condition():
        assert time.monotonic() < deadline, "the condition did not become true in time"
        time.sleep(0.01)
