"""Real front doors of a run: started, looked at from outside, ended."""

import asyncio
import itertools
import json
import os
import sys
import time
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from benchmarks.door import cpu_s
from benchmarks.scale.tier import Tier, peer_address, shown
from rig.clients import encode
from rig.doors import Door
from rig.facts import Fact
from rig.sockets import Address

PLAIN = (sys.executable, "-P", "-m", "molereach")
TURNS = (sys.executable, "-P", str(Path(__file__).parents[1] / "turns.py"))
COUNTED = (sys.executable, "-P", str(Path(__file__).with_name("counted.py")))
MEMORY_MB, SOCKETS = 128, 1024
READY_S = 25.0  # the longest that a start is waited for
ASK_EVERY_S = 0.02
SERIAL = itertools.count()


def command(root: str, of: Sequence[str] = PLAIN) -> Sequence[str]:
    """Of this checkout's front door, or of another's."""
    return ("env", f"PYTHONPATH={root}", *of) if root else of


@dataclass(slots=True)
class Real:
    """One of them, in its tier."""

    name: str
    number: int
    door: Door
    facts: list[Fact]

    @property
    def pid(self) -> int:
        assert self.door.process is not None
        return self.door.process.pid

    def cpu_s(self) -> float:
        return cpu_s(self.pid)

    def memory_mb(self) -> tuple[float, float]:
        """Resident now, and the most that it ever was."""
        lines = Path(f"/proc/{self.pid}/status").read_text().splitlines()
        fields = dict(line.split(":", 1) for line in lines if ":" in line)
        return tuple(int(fields[name].split()[0]) / 1024 for name in ("VmRSS", "VmHWM"))  # type: ignore[return-value]

    async def end(self) -> list[str]:
        """What it had to say at last."""
        await self.door.finish()
        if self.door.process is not None:
            await self.door.log_ended.wait()
        log = list(self.door.log)
        self.door.close()
        return log


def make(
    name: str,
    number: int,
    tier: Tier,
    host: str,
    discovery: Address,
    known: str,
    of: Sequence[str],
) -> Real:
    """A front door with its configuration written, and not started; the known list is JSON already."""
    facts: list[Fact] = []
    door = Door(name, number, host, facts, of)
    door.write_config(
        name=name,
        listen=shown(door.address),
        discovery=shown(discovery),
        settings=tier.settings(number),
        limits={"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS},
        seed=f"{number:x}",
        peer_listen=shown(peer_address(number, tier.peer_port)),
        peers=tier.peers(),
    )
    write_known(door, known)
    return Real(name, number, door, facts)


def write_known(door: Door, known: str) -> None:
    """Put a list into a configuration that has been written without one."""
    text = json.dumps(door.config)[:-1] + f', "known": {known}}}'
    os.ftruncate(door.config_fd, 0)
    os.pwrite(door.config_fd, text.encode(), 0)


async def start(real: Real, request: list[bytes] | None = None) -> tuple[float, float]:
    """Seconds from its start until it answers PING and until it has served a request, if one is given; each
    at most `READY_S`."""
    began_s = time.monotonic()
    real.door.start()
    ready_s = served_s = READY_S
    try:
        async with asyncio.timeout(READY_S):
            await real.door.ready()
            ready_s = time.monotonic() - began_s
            while request and not await served(real.door.address, request):
                # The next one is a new request; no real one of the run has such an id.
                request = [*request[:2], b"%04x%012x" % (real.number, next(SERIAL)), *request[3:]]
                await asyncio.sleep(ASK_EVERY_S)
            served_s = time.monotonic() - began_s
    except TimeoutError:
        pass
    return ready_s, served_s


async def served(address: Address, words: list[bytes]) -> bool:
    reader, writer = await asyncio.open_connection(*address)
    try:
        writer.write(encode(words))
        return (await reader.readline()).startswith(b"$")
    except OSError:
        return False
    finally:
        writer.close()


async def end_all(doors: Sequence[Real]) -> list[list[str]]:
    return await asyncio.gather(*(real.end() for real in doors))


def counts_in(log: list[str], mark: str) -> dict[str, Any]:
    """The last object that a watched door has said under a mark; nothing where it said none."""
    lines = [line for line in log if mark in line]
    found: dict[str, Any] = json.loads(lines[-1].rpartition(mark)[2]) if lines else {}
    return found
