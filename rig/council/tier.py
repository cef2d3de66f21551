"""Several processes of one council on loopback, with a faulty way from each to each, and words with them."""

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

READY_S = 20.0
ANSWER_S = 30.0


def free_address() -> Address:
    """One that nobody has now, and no other rig takes: the host is this process's alone."""
    with socket.socket() as free:
        free.bind((own_host(), 0))
        address: Address = free.getsockname()
        return address


class MemberEndedError(Exception):
    """The process is not there any more."""


@dataclass(eq=False)
class Member:
    """One process, as its tester has it."""

    name: str
    listen: Address
    folder: Path | None
    config: Path
    process: asyncio.subprocess.Process | None = None
    log: list[str] = field(default_factory=list)
    waits: dict[int, asyncio.Future[dict[str, Any]]] = field(default_factory=dict)
    number: int = 0
    stopped: bool = False  # it answers nothing until it goes on
    tasks: list[asyncio.Task[None]] = field(default_factory=list)

    async def start(self) -> None:
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
        async with asyncio.timeout(READY_S):
            line = await self.process.stdout.readline()
        if not line:
            self.log.append((await self.process.stderr.read()).decode())
            raise MemberEndedError(f"{self.name} ended at its start: {self.log[-1][-300:]}")
        self.tasks = [
            asyncio.create_task(self.answers(self.process.stdout)),
            asyncio.create_task(self.lines(self.process.stderr)),
        ]

    async def answers(self, stream: asyncio.StreamReader) -> None:
        while line := await stream.readline():
            found = json.loads(line)
            if waiting := self.waits.pop(found["number"], None):
                waiting.set_result(found)
        for waiting in self.waits.values():
            if not waiting.done():
                waiting.set_exception(MemberEndedError(self.name))

    async def lines(self, stream: asyncio.StreamReader) -> None:
        while line := await stream.readline():
            self.log.append(line.decode().rstrip())

    async def ask(self, what: str, **more: object) -> dict[str, Any]:
        """What the process answers; MemberEndedError if it ends before."""
        assert self.process and self.process.stdin
        self.number += 1
        waiting = self.waits[self.number] = asyncio.get_running_loop().create_future()
        self.process.stdin.write(json.dumps({"what": what, "number": self.number, **more}).encode() + b"\n")
        async with asyncio.timeout(ANSWER_S):
            found: dict[str, Any] = await waiting
            return found

    def signal(self, number: signal.Signals) -> None:
        assert self.process
        self.stopped = number == signal.SIGSTOP
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)

    async def end(self) -> None:
        """Gone, however it stands."""
        if self.process is None:
            return
        self.signal(signal.SIGKILL)
        await self.process.wait()
        for task in self.tasks:
            await task
        self.process = None


class Tier:
    """`count` members, of which the first `seats` accept. With `faulty`, every way between two is a relay."""

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
        self.key = b"0123456789abcdef-council".hex()  # a trial has no secrets
        self.names = [f"n{number}" for number in range(count)]
        self.members: dict[str, Member] = {}
        self.ways: dict[tuple[str, str], Relay] = {}  # from one to another, as the first dials

    async def prepare(self) -> None:
        """Folders and configurations, before anybody starts."""
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
        await self.prepare()
        await asyncio.gather(*(member.start() for member in self.members.values()))
        return self

    async def write_config(self, member: Member) -> None:
        doors = {name: other.listen for name, other in self.members.items()}
        ways = dict(doors)
        for name in self.names if self.faulty else ():
            if name != member.name:
                relay = self.ways[member.name, name] = Relay(doors[name])
                ways[name] = await relay.start()
        member.config.write_text(
            json.dumps(
                {
                    "name": member.name,
                    "key": self.key,
                    "listen": member.listen,
                    "doors": doors,
                    "ways": ways,
                    "panel": self.names[: self.seats],
                    "folder": str(member.folder) if member.folder else None,
                    "beat_us": self.beat_us,
                    "session_us": self.session_us,
                }
            )
        )

    def operator_file(self, name: str) -> Path:
        """The same for a front door that takes a member's place."""
        member, key = self.members[name], self.home / "council.key"
        key.write_bytes(bytes.fromhex(self.key))
        key.chmod(0o600)
        listens = {each: "{}:{}".format(*other.listen) for each, other in self.members.items()}
        doors = "\n".join(f'{each} = "{listen}"' for each, listen in listens.items())
        file = self.home / f"{name}.toml"
        file.write_text(
            f"[council]\npanel = {json.dumps(self.names[: self.seats])}\nkey_file = {json.dumps(str(key))}\n"
            f"beat_ms = {self.beat_us // 1000}\nsession_ms = {self.session_us // 1000}\n"
            + (f"folder = {json.dumps(str(member.folder))}\nforming = true\n" if member.folder else "")
            + f"[council.doors]\n{doors}\n"
        )
        return file

    def between(self, one: str, other: str) -> list[Relay]:
        """Both ways, as either may dial."""
        return [self.ways[one, other], self.ways[other, one]]

    def around(self, name: str) -> list[Relay]:
        """All ways to and from one."""
        return [relay for pair, relay in self.ways.items() if name in pair]

    async def states(self) -> dict[str, dict[str, Any]]:
        """Of all who live and go on."""
        names = [name for name, member in self.members.items() if member.process and not member.stopped]
        found = await asyncio.gather(*(self.members[name].ask("state") for name in names))
        return dict(zip(names, found, strict=True))

    async def close(self) -> None:
        for member in self.members.values():
            await member.end()
        for relay in self.ways.values():
            await relay.close()
