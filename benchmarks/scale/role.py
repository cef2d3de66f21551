"""A process that runs one role.

`python -m benchmarks.scale.role ROLE` reads calls `{"do": NAME, ...}` from standard input, one a line,
answers each with a line, and ends when its input closes.
"""

import asyncio
import importlib
import json
import sys
from collections.abc import Callable
from typing import Any

import uvloop

from benchmarks.scale.helper import LINE_BYTES

ROLES = {"agent": "Agent", "backends": "Backends", "hollow": "SimulatedDoors", "load": "Load"}  # by module


async def answer(role: object, line: bytes) -> dict[str, object]:
    """Call the method that a line names; return its result, or the error under `fault`."""
    values = json.loads(line)
    try:
        method: Callable[..., Any] = getattr(role, f"do_{values.pop('do')}")
        result: dict[str, object] = await method(**values)
    except Exception as error:
        return {"fault": f"{type(error).__name__}: {error}"}
    return result


async def main(name: str) -> None:
    """Answer lines until the input closes."""
    role = getattr(importlib.import_module(f"benchmarks.scale.{name}"), ROLES[name])()
    reader = asyncio.StreamReader(LINE_BYTES)
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while line := await reader.readline():
        print(json.dumps(await answer(role, line)), flush=True)


if __name__ == "__main__":
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(main(sys.argv[1]))
