"""Processes as the system shows them, and waits that only a hang takes."""

import contextlib
import time
from pathlib import Path
from typing import Any


def children(pid: int) -> list[int]:
    with contextlib.suppress(OSError):
        return [
            int(child)
            for task in Path(f"/proc/{pid}/task").iterdir()
            for child in (task / "children").read_text().split()
        ]
    return []


def alive(pid: int) -> bool:
    with contextlib.suppress(OSError):
        return Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0] not in ("Z", "X")
    return False


def until(condition: "Any", within_s: float = 30.0) -> None:  # noqa: ANN401
    end = time.monotonic() + within_s
    while not condition():
        assert time.monotonic() < end, "it did not come about"
        time.sleep(0.01)
