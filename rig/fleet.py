"""Agents beside a world's front doors, one for each, as processes; and the files that they and the tool read.

Everything is in one private folder: each agent's file, journal, log and sockets, the fleet's file, the token.
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
WAIT_FOR_ORDERS_S = 10.0  # so that a front door that starts holds what was ordered meanwhile
START_S, END_S, PING_S = 20.0, 5.0, 0.05
TOKEN_BYTES = 24
HELD_OPEN = 0o700


class AgentProcess:
    """One agent, over all its starts."""

    def __init__(self, name: str, folder: Path, host: str, env: dict[str, str]) -> None:
        self.name, self.folder, self.env = name, folder, env
        self.file = folder / f"{name}.toml"
        self.sockets = folder / name
        self.sockets.mkdir(HELD_OPEN)
        self.log = folder / f"{name}.log"
        self.holder, self.address = reserve(host)
        self.process: subprocess.Popen[bytes] | None = None

    @property
    def url(self) -> str:
        return "http://{}:{}".format(*self.address)

    def write(self) -> None:
        listen = "{}:{}".format(*self.address)
        self.file.write_text(
            f'name = "{self.name}"\nfleet = "fleet.toml"\nsockets = "{self.name}"\n'
            f'journal = "{self.name}.journal"\nlisten = "{listen}"\ntokens = "tokens"\n'
        )

    def start(self) -> None:
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
        """Wait until it answers; RuntimeError with its last words where it does not."""
        headers = {"authorization": f"Bearer {token}"}
        async with asyncio.timeout(START_S), httpx.AsyncClient(headers=headers) as client:
            while True:
                if self.process is None or self.process.poll() is not None:
                    raise RuntimeError(f"agent {self.name} did not start: {self.last_words()}")
                with contextlib.suppress(httpx.HTTPError):
                    if (await client.get(f"{self.url}/v1/status")).status_code == httpx.codes.OK:
                        return
                await asyncio.sleep(PING_S)

    def last_words(self) -> str:
        return " | ".join(self.log.read_text(errors="replace").splitlines()[-3:])

    def tracebacks(self) -> int:
        return self.log.read_text(errors="replace").count("Traceback")

    def signal(self, number: signal.Signals) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """As a crash: nothing is finished."""
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def close(self) -> None:
        """End it in order, or else by force."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGTERM)
        if self.process is not None:
            try:
                self.process.wait(END_S)
            except subprocess.TimeoutExpired:
                self.kill()
        self.holder.close()


class FleetRig:
    """The agents of some front doors."""

    def __init__(
        self, folder: Path, host: str, doors: list[Door], floor: int = 1, operator_text: str = ""
    ) -> None:
        """`folder` is there and empty; the front doors have not started yet. What their operator files hold
        besides `[control]` is `operator_text`."""
        folder.chmod(HELD_OPEN)
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
        self.write(floor)
        for agent, door in zip(self.agents, doors, strict=True):
            operator = folder / f"{door.name}.operator.toml"
            socket = agent.sockets / f"{door.name}.sock"
            control = f'[control]\nsocket = "{socket}"\nwait_for_orders_s = {WAIT_FOR_ORDERS_S}\n'
            operator.write_text(control + operator_text)
            door.command = (*FRONT_DOOR, "--operator", str(operator))

    def write(self, floor: int) -> None:
        lines = [f"floor = {floor}", 'token = "token"']
        for agent, door in zip(self.agents, self.doors, strict=True):
            lines += [
                "[[agents]]",
                f'name = "{agent.name}"',
                f'url = "{agent.url}"',
                f'doors = ["{door.name}"]',
            ]
            agent.write()
        self.file.write_text("\n".join(lines) + "\n")
        for name, text in (("token", self.token), ("tokens", f"operate duty {self.token}")):
            path = self.folder / name
            path.touch(0o600)
            path.write_text(text + "\n")

    async def start(self) -> None:
        """All agents answer when it returns."""
        for agent in self.agents:
            agent.start()
            await asyncio.sleep(PING_S)  # a start takes a while of the loop: not all in one turn
        await asyncio.gather(*(agent.ready(self.token) for agent in self.agents))

    async def finish(self) -> None:
        """End all agents in order, without holding up whatever else runs on the loop."""
        for agent in self.agents:
            agent.signal(signal.SIGCONT)
            agent.signal(signal.SIGTERM)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(END_S):
                while any(agent.process and agent.process.poll() is None for agent in self.agents):
                    await asyncio.sleep(PING_S)

    def close(self) -> None:
        """End what is still there; nothing stays behind."""
        for agent in self.agents:
            agent.close()
