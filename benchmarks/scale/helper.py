"""A handle on the process of one role, which takes calls and answers them as lines of JSON (see `role`)."""

import asyncio
import json
import subprocess
import sys
from pathlib import Path
from typing import Any

from rig.doors import die_with_parent

ANSWER_TIMEOUT_S = 60.0
LINE_BYTES = 1 << 27


class RoleProcess:
    """The process of one role."""

    def __init__(self, name: str) -> None:
        self.name, self.lock = name, asyncio.Lock()
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> "RoleProcess":
        """Start the process."""
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "benchmarks.scale.role",
            self.name,
            cwd=Path(__file__).parents[2],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            limit=LINE_BYTES,
            preexec_fn=die_with_parent(),
        )
        return self

    async def call(self, do: str, **values: object) -> Any:  # noqa: ANN401
        """Call one of the role's methods and return its answer.

        Raises RuntimeError if it fails, TimeoutError if it does not answer.
        """
        assert self.process and self.process.stdin and self.process.stdout
        async with self.lock, asyncio.timeout(ANSWER_TIMEOUT_S):
            self.process.stdin.write(json.dumps({"do": do, **values}).encode() + b"\n")
            await self.process.stdin.drain()
            line = await self.process.stdout.readline()
        if not line:
            raise RuntimeError(f"{self.name} has ended at {do}")
        answer = json.loads(line)
        if "fault" in answer:
            raise RuntimeError(f"{self.name} failed at {do}: {answer['fault']}")
        return answer

    @property
    def pid(self) -> int:
        """The process id."""
        assert self.process
        return self.process.pid

    async def end(self) -> None:
        """Kill the process and wait for it."""
        if self.process and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
