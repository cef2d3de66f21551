"""Proxy processes started by the run command of the platform, optionally with a limit on descriptors."""

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

RUN_COMMAND = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"].replace(
    ".venv/bin/python", sys.executable
)


MAX_SHOWN_LINES = 5  # the last lines of a log that ended too early


class ProxyProcess:
    """A proxy process that can be started several times; `directory` must not exist yet."""

    def __init__(self, directory: Path, descriptor_limit: int = 0, **changes: object) -> None:
        directory.mkdir()
        self.address: EndpointAddress = refusing_address()
        self.env = {**os.environ, **write(directory, config(listen="{}:{}".format(*self.address), **changes))}
        self.command = f"ulimit -n {descriptor_limit}; {RUN_COMMAND}" if descriptor_limit else RUN_COMMAND
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", self.command, cwd=ROOT, env=self.env, stderr=asyncio.subprocess.PIPE
        )

    async def wait_for_log(self, text: bytes) -> None:
        """Read the log until a line contains this text."""
        assert self.process and self.process.stderr
        lines = []
        while text not in (line := await self.process.stderr.readline()):
            lines.append(line)
            assert line, f"the log ended before {text!r}: {lines[-MAX_SHOWN_LINES:]}"

    async def connect_when_ready(self) -> Client:
        """Wait until the proxy serves and return a client that has received +PONG."""
        await self.wait_for_log(b"serves at")
        client = await Client.open(self.address)
        assert await client.ask(resp("PING")) == b"PONG"
        return client

    def open_descriptors(self) -> int:
        """Return how many descriptors the process has open."""
        assert self.process
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    async def stop(self, signal_number: signal.Signals = signal.SIGKILL) -> None:
        if self.process and self.process.returncode is None:
            self.process.send_signal(signal_number)
            await self.process.communicate()


@contextlib.asynccontextmanager
async def stopped_on_exit(*proxies: ProxyProcess) -> AsyncIterator[None]:
    """Kill the processes on exit."""
    try:
        yield
    finally:
        for proxy in proxies:
            await proxy.stop()
