"""Several processes of one council on loopback, optionally connected through relays that inject faults."""

import asyncio
import contextlib
import json
import signal
import socket
import sys
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from rig.council.relay import Relay
from rig.doors import die_with_parent
from rig.sockets import Address, own_host

READY_TIMEOUT_S = 20.0
RESPONSE_TIMEOUT_S = 30.0


def free_address() -> Address:
    """A free address; no other test bed takes it, as the host belongs to this process alone."""
    with socket.socket() as probe:
        probe.bind((own_host(), 0))
        address: Address = probe.getsockname()
        return address


class MemberEndedError(Exception):
    """The process has ended."""


@dataclass(eq=False)
class Member:
    """One process of the council, seen from the test that runs it."""

    name: str
    listen: Address
    folder: Path | None
    config: Path
    process: asyncio.subprocess.Process | None = None
    log: list[str] = field(default_factory=list)
    pending: dict[int, asyncio.Future[dict[str, Any]]] = field(default_factory=dict)
    last_request: int = 0
    stopped: bool = False  # by SIGSTOP: it answers nothing until SIGCONT
    tasks: list[asyncio.Task[None]] = field(default_factory=list)

    async def start(self) -> None:
        """Start the process and wait until it serves; MemberEndedError if it ends before."""
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "rig.council.member",
            str(self.config),
            preexec_fn=die_with_parent(),
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
        assert self.process.stdout and self.process.stderr
        async with asyncio.timeout(READY_TIMEOUT_S):
            line = await self.process.stdout.readline()
        if not line:
            self.log.append((await self.process.stderr.read()).decode())
            raise MemberEndedError(f"{self.name} ended at its start: {self.log[-1][-300:]}")
        self.tasks = [
            asyncio.create_task(self.read_responses(self.process.stdout)),
            asyncio.create_task(self.read_log(self.process.stderr)),
        ]

    async def read_responses(self, stream: asyncio.StreamReader) -> None:
        """Hand each response to the request that waits for it; pending ones fail when the process ends."""
        while line := await stream.readline():
            response = json.loads(line)
            if waiting := self.pending.pop(response["number"], None):
                waiting.set_result(response)
        for waiting in self.pending.values():
            if not waiting.done():
                waiting.set_exception(MemberEndedError(self.name))

    async def read_log(self, stream: asyncio.StreamReader) -> None:
        """Collect the log."""
        while line := await stream.readline():
            self.log.append(line.decode().rstrip())

    async def ask(self, what: str, **arguments: object) -> dict[str, Any]:
        """Send a request and return the response; MemberEndedError if the process ends before."""
        assert self.process and self.process.stdin
        self.last_request += 1
        waiting = self.pending[self.last_request] = asyncio.get_running_loop().create_future()
        self.process.stdin.write(
            json.dumps({"what": what, "number": self.last_request, **arguments}).encode() + b"\n"
        )
        async with asyncio.timeout(RESPONSE_TIMEOUT_S):
            response: dict[str, Any] = await waiting
            return response

    def signal(self, number: signal.Signals) -> None:
        """Send a signal, unless the process has ended."""
        assert self.process
        self.stopped = number == signal.SIGSTOP
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)

    async def end(self) -> None:
        """Kill the process, in whatever state it is, and wait for its end."""
        if self.process is None:
            return
        self.signal(signal.SIGKILL)
        await self.process.wait()
        for task in self.tasks:
            await task
        self.process = None


class Tier:
    """`count` processes, of which the first `seats` are voters.

    With `faulty`, each connects to each other one through a relay of its own.
    """

    def __init__(
        self,
        home: Path,
        count: int,
        seats: int,
        faulty: bool = False,
        beat_ms: int = 100,
        session_ms: int = 1000,
    ) -> None:
        self.home, self.seats, self.faulty = home, seats, faulty
        self.beat_us, self.session_us = beat_ms * 1000, session_ms * 1000
        self.key = b"0123456789abcdef-council".hex()  # tests have no secrets
        self.names = [f"n{number}" for number in range(count)]
        self.members: dict[str, Member] = {}
        self.relays: dict[tuple[str, str], Relay] = {}  # by the connecting and the accepting process

    async def prepare(self) -> None:
        """Write folders and configuration files, before any process starts."""
        for name in self.names:
            folder = None
            if name in self.names[: self.seats]:
                folder = self.home / name
                folder.mkdir(mode=0o700)
            config = self.home / f"{name}.json"
            self.members[name] = Member(name, free_address(), folder, config)
        for name in self.names:
            await self.write_config(self.members[name])

    async def start(self) -> "Tier":
        """Prepare and start all processes."""
        await self.prepare()
        await asyncio.gather(*(member.start() for member in self.members.values()))
        return self

    async def write_config(self, member: Member) -> None:
        """Write the configuration of one process, and start its relays."""
        doors = {name: other.listen for name, other in self.members.items()}
        peer_addresses = dict(doors)
        for name in self.names if self.faulty else ():
            if name != member.name:
                relay = self.relays[member.name, name] = Relay(doors[name])
                peer_addresses[name] = await relay.start()
        member.config.write_text(
            json.dumps(
                {
                    "name": member.name,
                    "key": self.key,
                    "listen": member.listen,
                    "doors": doors,
                    "ways": peer_addresses,
                    "panel": self.names[: self.seats],
                    "folder": str(member.folder) if member.folder else None,
                    "beat_us": self.beat_us,
                    "session_us": self.session_us,
                }
            )
        )

    def operator_file(self, name: str) -> Path:
        """Write the operator file of a front door that runs in place of a process."""
        member, key = self.members[name], self.home / "council.key"
        key.write_bytes(bytes.fromhex(self.key))
        key.chmod(0o600)
        listens = {peer: "{}:{}".format(*other.listen) for peer, other in self.members.items()}
        doors = "\n".join(f'{peer} = "{listen}"' for peer, listen in listens.items())
        file = self.home / f"{name}.toml"
        file.write_text(
            f"[council]\npanel = {json.dumps(self.names[: self.seats])}\nkey_file = {json.dumps(str(key))}\n"
            f"beat_ms = {self.beat_us // 1000}\nsession_ms = {self.session_us // 1000}\n"
            + (f"folder = {json.dumps(str(member.folder))}\nforming = true\n" if member.folder else "")
            + f"[council.doors]\n{doors}\n"
        )
        return file

    def relays_between(self, one: str, other: str) -> list[Relay]:
        """Both relays between two processes, as either may connect to the other."""
        return [self.relays[one, other], self.relays[other, one]]

    def relays_of(self, name: str) -> list[Relay]:
        """All relays to and from one process."""
        return [relay for pair, relay in self.relays.items() if name in pair]

    async def states(self) -> dict[str, dict[str, Any]]:
        """The states of all processes that run and are not stopped."""
        names = [name for name, member in self.members.items() if member.process and not member.stopped]
        states = await asyncio.gather(*(self.members[name].ask("state") for name in names))
        return dict(zip(names, states, strict=True))

    async def close(self) -> None:
        """Kill all processes and close all relays."""
        for member in self.members.values():
            await member.end()
        for relay in self.relays.values():
            await relay.close()
