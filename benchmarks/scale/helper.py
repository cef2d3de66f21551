"""The side of whoever plays: a process for one role, told by lines of JSON and answering by them (`role`)."""

import asyncio
import json
import subprocess
import sys
from pathlib import Path
from typing import Any

from rig.doors import die_with_parent

ANSWER_S = 60.0
LINE_BYTES = 1 << 27


class Helper:
    """One of these processes."""

    def __init__(self, name: str) -> None:
        self.name, self.turn = name, asyncio.Lock()
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> "Helper":
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

    async def ask(self, do: str, **values: object) -> Any:  # noqa: ANN401
        """RuntimeError where it fails, TimeoutError where it does not answer."""
        assert self.process and self.process.stdin and self.process.stdout
        async with self.turn, asyncio.timeout(ANSWER_S):
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
        assert self.process
        return self.process.pid

    async def end(self) -> None:
        if self.process and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
