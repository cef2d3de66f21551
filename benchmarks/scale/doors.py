"""Real front doors of a run: start, inspection from outside, stop."""

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
from benchmarks.scale.tier import Tier, address_text, peer_address
from rig.clients import encode
from rig.doors import Door
from rig.facts import Fact
from rig.sockets import Address

DOOR_COMMAND = (sys.executable, "-P", "-m", "molereach")
TIMED_DOOR_COMMAND = (sys.executable, "-P", str(Path(__file__).parents[1] / "turns.py"))
COUNTING_DOOR_COMMAND = (sys.executable, "-P", str(Path(__file__).with_name("counted.py")))
MEMORY_MB, SOCKETS = 128, 1024
READY_S = 25.0  # timeout of a start
RETRY_S = 0.02
REQUEST_SERIALS = itertools.count()


def with_checkout(root: str, door_command: Sequence[str] = DOOR_COMMAND) -> Sequence[str]:
    """Return a front door's command, run with another checkout if `root` is given."""
    return ("env", f"PYTHONPATH={root}", *door_command) if root else door_command


@dataclass(slots=True)
class RealDoor:
    """One real front door of a tier."""

    name: str
    number: int
    door: Door
    facts: list[Fact]

    @property
    def pid(self) -> int:
        """The process id."""
        assert self.door.process is not None
        return self.door.process.pid

    def cpu_s(self) -> float:
        """Return the CPU seconds used so far."""
        return cpu_s(self.pid)

    def memory_mb(self) -> tuple[float, float]:
        """Return the resident memory now and at its peak."""
        lines = Path(f"/proc/{self.pid}/status").read_text().splitlines()
        fields = dict(line.split(":", 1) for line in lines if ":" in line)
        return tuple(int(fields[name].split()[0]) / 1024 for name in ("VmRSS", "VmHWM"))  # type: ignore[return-value]

    async def end(self) -> list[str]:
        """Stop the front door and return its log."""
        await self.door.finish()
        if self.door.process is not None:
            await self.door.log_ended.wait()
        log = list(self.door.log)
        self.door.close()
        return log


def create(
    name: str,
    number: int,
    tier: Tier,
    host: str,
    discovery: Address,
    known: str,
    door_command: Sequence[str],
) -> RealDoor:
    """Create a front door with its configuration, not started; `known` is a list as JSON text."""
    facts: list[Fact] = []
    door = Door(name, number, host, facts, door_command)
    door.write_config(
        name=name,
        listen=address_text(door.address),
        discovery=address_text(discovery),
        settings=tier.settings(number),
        limits={"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS},
        seed=f"{number:x}",
        peer_listen=address_text(peer_address(number, tier.peer_port)),
        peers=tier.peers(),
    )
    write_known(door, known)
    return RealDoor(name, number, door, facts)


def write_known(door: Door, known: str) -> None:
    """Write a known list into a configuration that was written without one."""
    text = json.dumps(door.config)[:-1] + f', "known": {known}}}'
    os.ftruncate(door.config_fd, 0)
    os.pwrite(door.config_fd, text.encode(), 0)


async def start(real: RealDoor, request: list[bytes] | None = None) -> tuple[float, float]:
    """Start a front door; return the seconds until it answers PING and until it has served a request.

    Each is at most `READY_S`. Without a request the second is the same moment as the first.
    """
    started_s = time.monotonic()
    real.door.start()
    ready_s = served_s = READY_S
    try:
        async with asyncio.timeout(READY_S):
            await real.door.ready()
            ready_s = time.monotonic() - started_s
            while request and not await is_served(real.door.address, request):
                # A retry is a new request, with an id that no other request of the run has.
                request = [*request[:2], b"%04x%012x" % (real.number, next(REQUEST_SERIALS)), *request[3:]]
                await asyncio.sleep(RETRY_S)
            served_s = time.monotonic() - started_s
    except TimeoutError:
        pass
    return ready_s, served_s


async def is_served(address: Address, command: list[bytes]) -> bool:
    """Return whether a request is served."""
    reader, writer = await asyncio.open_connection(*address)
    try:
        writer.write(encode(command))
        return (await reader.readline()).startswith(b"$")
    except OSError:
        return False
    finally:
        writer.close()


async def stop_all(doors: Sequence[RealDoor]) -> list[list[str]]:
    """Stop all doors and return their logs."""
    return await asyncio.gather(*(real.end() for real in doors))


def last_logged_counts(log: list[str], prefix: str) -> dict[str, Any]:
    """Return the last object that a door logged after a prefix, or an empty one."""
    lines = [line for line in log if prefix in line]
    counts: dict[str, Any] = json.loads(lines[-1].rpartition(prefix)[2]) if lines else {}
    return counts
