"""Agents as processes, one beside each front door of a run, and the files that they and the tool read.

One private folder holds it all: file, journal, log and sockets of each agent, the fleet file, and the token.
"""

import asyncio
import contextlib
import os
import signal
import subprocess
import sys
from pathlib import Path

import httpx

from rig.doors import FRONT_DOOR, Door, die_with_parent
from rig.sockets import reserve

AGENT = (sys.executable, "-m", "molereach", "agent", "--config")
WAIT_FOR_ORDERS_S = 10.0  # for which a front door waits at its start for orders given meanwhile
START_TIMEOUT_S, SHUTDOWN_TIMEOUT_S, POLL_INTERVAL_S = 20.0, 5.0, 0.05
TOKEN_BYTES = 24
PRIVATE_FOLDER_MODE = 0o700


class AgentProcess:
    """One agent, over all its restarts."""

    def __init__(self, name: str, folder: Path, host: str, env: dict[str, str]) -> None:
        self.name, self.folder, self.env = name, folder, env
        self.file = folder / f"{name}.toml"
        self.sockets = folder / name
        self.sockets.mkdir(PRIVATE_FOLDER_MODE)
        self.log = folder / f"{name}.log"
        self.holder, self.address = reserve(host)
        self.process: subprocess.Popen[bytes] | None = None

    @property
    def url(self) -> str:
        """The address of its HTTP API."""
        return "http://{}:{}".format(*self.address)

    def write_file(self) -> None:
        """Write the agent's configuration file."""
        listen = "{}:{}".format(*self.address)
        self.file.write_text(
            f'name = "{self.name}"\nfleet = "fleet.toml"\nsockets = "{self.name}"\n'
            f'journal = "{self.name}.journal"\nlisten = "{listen}"\ntokens = "tokens"\n'
        )

    def start(self) -> None:
        """Start the process; `ready` waits until it answers."""
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                (*AGENT, str(self.file)),
                env=self.env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                preexec_fn=die_with_parent(),
                start_new_session=True,
            )

    async def ready(self, token: str) -> None:
        """Wait until it answers; RuntimeError with the end of its log if it ends before."""
        headers = {"authorization": f"Bearer {token}"}
        async with asyncio.timeout(START_TIMEOUT_S), httpx.AsyncClient(headers=headers) as client:
            while True:
                if self.process is None or self.process.poll() is not None:
                    raise RuntimeError(f"agent {self.name} did not start: {self.log_tail()}")
                with contextlib.suppress(httpx.HTTPError):
                    if (await client.get(f"{self.url}/v1/status")).status_code == httpx.codes.OK:
                        return
                await asyncio.sleep(POLL_INTERVAL_S)

    def log_tail(self) -> str:
        """The last three lines of the log, as one."""
        return " | ".join(self.log.read_text(errors="replace").splitlines()[-3:])

    def tracebacks(self) -> int:
        """The number of tracebacks in the log."""
        return self.log.read_text(errors="replace").count("Traceback")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal if the process runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process, as a crash would end it."""
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def close(self) -> None:
        """Shut down gracefully, or kill a process that does not end in time."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGTERM)
        if self.process is not None:
            try:
                self.process.wait(SHUTDOWN_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                self.kill()
        self.holder.close()


class FleetRig:
    """The agents of a list of front doors."""

    def __init__(
        self, folder: Path, host: str, doors: list[Door], floor: int = 1, operator_text: str = ""
    ) -> None:
        """`folder` must exist and be empty, and the front doors must not run yet.

        `operator_text` is added to the `[control]` section of their operator files.
        """
        folder.chmod(PRIVATE_FOLDER_MODE)
        self.folder, self.doors = folder, doors
        self.token = os.urandom(TOKEN_BYTES).hex()
        env = {
            name: text for name, text in os.environ.items() if not name.startswith(("PROXY_", "MOLEREACH_"))
        }
        env["PYTHONPATH"] = os.pathsep.join(
            filter(None, (str(Path(__file__).parents[1]), env.get("PYTHONPATH")))
        )
        self.agents = [AgentProcess(f"a{door.number}", folder, host, env) for door in doors]
        self.file = folder / "fleet.toml"
        self.write_files(floor)
        for agent, door in zip(self.agents, doors, strict=True):
            operator = folder / f"{door.name}.operator.toml"
            socket = agent.sockets / f"{door.name}.sock"
            control = f'[control]\nsocket = "{socket}"\nwait_for_orders_s = {WAIT_FOR_ORDERS_S}\n'
            operator.write_text(control + operator_text)
            door.command = (*FRONT_DOOR, "--operator", str(operator))

    def write_files(self, floor: int) -> None:
        """Write the fleet file, the tokens and the files of all agents."""
        lines = [f"floor = {floor}", 'token = "token"']
        for agent, door in zip(self.agents, self.doors, strict=True):
            lines += [
                "[[agents]]",
                f'name = "{agent.name}"',
                f'url = "{agent.url}"',
                f'doors = ["{door.name}"]',
            ]
            agent.write_file()
        self.file.write_text("\n".join(lines) + "\n")
        for name, text in (("token", self.token), ("tokens", f"operate duty {self.token}")):
            path = self.folder / name
            path.touch(0o600)
            path.write_text(text + "\n")

    async def start(self) -> None:
        """Start all agents; returns once all answer."""
        for agent in self.agents:
            agent.start()
            # A start blocks the event loop for a while, so starts are spread out.
            await asyncio.sleep(POLL_INTERVAL_S)
        await asyncio.gather(*(agent.ready(self.token) for agent in self.agents))

    async def finish(self) -> None:
        """Shut all agents down gracefully, without blocking the event loop."""
        for agent in self.agents:
            agent.signal(signal.SIGCONT)
            agent.signal(signal.SIGTERM)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(SHUTDOWN_TIMEOUT_S):
                while any(agent.process and agent.process.poll() is None for agent in self.agents):
                    await asyncio.sleep(POLL_INTERVAL_S)

    def close(self) -> None:
        """End all processes that still run."""
        for agent in self.agents:
            agent.close()
