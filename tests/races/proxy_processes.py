"""Front doors as processes, by the line that the platform runs, with a limit on descriptors if need be."""

import asyncio
import contextlib
import os
import signal
import sys
import tomllib
from collections.abc import AsyncIterator
from pathlib import Path

from molereach.endpoint_address import EndpointAddress
from tests.sockets import Client, refusing_address, resp
from tests.test_program import ROOT, config, write

RUN = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"].replace(
    ".venv/bin/python", sys.executable
)


class Process:
    """One front door, over all its starts; `path` is a folder of its own."""

    def __init__(self, path: Path, descriptors: int = 0, **changes: object) -> None:
        path.mkdir()
        self.address: EndpointAddress = refusing_address()
        self.env = {**os.environ, **write(path, config(listen="{}:{}".format(*self.address), **changes))}
        self.line = f"ulimit -n {descriptors}; {RUN}" if descriptors else RUN
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", self.line, cwd=ROOT, env=self.env, stderr=asyncio.subprocess.PIPE
        )

    async def said(self, words: bytes) -> None:
        """Until its log has a line with these words."""
        assert self.process and self.process.stderr
        while words not in (line := await self.process.stderr.readline()):
            assert line, f"it ended before it said {words!r}"

    async def ready(self) -> Client:
        """A client of it that has been told +PONG."""
        await self.said(b"serves at")
        client = await Client.open(self.address)
        assert await client.ask(resp("PING")) == b"PONG"
        return client

    def descriptors(self) -> int:
        """That it holds now."""
        assert self.process
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    async def end(self, number: signal.Signals = signal.SIGKILL) -> None:
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)
            await self.process.communicate()


@contextlib.asynccontextmanager
async def processes(*made: Process) -> AsyncIterator[None]:
    """They are gone afterwards."""
    try:
        yield
    finally:
        for each in made:
            await each.end()
