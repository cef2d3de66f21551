"""CPU of a front door for one served request, against a bare pass-through of the same bytes, in one run.

Clients in a closed loop send the same commands through a front door with 4, 60, 200 and 500 servers, and
through a program that only hands bytes on. The servers answer at once. CPU is read from the clock of each
process. Then the longest turn of the loop, under the same load while the whole list changes. With `--against
DIR` the front door of another checkout takes its turns in the same rounds.
"""

import asyncio
import json
import signal
import statistics
import subprocess
import sys
import time
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import hiredis
import uvloop

from benchmarks.result import Result
from benchmarks.turns import MARK
from rig.clients import ClientConnection, encode
from rig.discovery import Agent
from rig.doors import FRONT_DOOR, Door, die_with_parent
from rig.facts import Fact, Listed
from rig.member import MemberSpec
from rig.registry import Registry
from rig.sockets import Address, Listener, own_host
from rig.workload import CLASSES, PLANS
from rig.world.settings import settings

SERVERS = (4, 60, 200, 500)
CLIENTS = 16
ROUNDS, QUICK_ROUNDS = 5, 3
REQUESTS, QUICK_REQUESTS = 3000, 1000
WARM_UP = 300
CUSTOMERS = 64
WAIT_S = 60.0
Cost = tuple[int, Address]  # of a program: its process, and where it listens
REPORT = b"util=0.200,latency_ms=2.00"
# With -P only PYTHONPATH says whose front door it is, and not the folder that it is started in.
DOOR = (sys.executable, "-P", "-m", "molereach")
TURNS = (sys.executable, "-P", str(Path(__file__).with_name("turns.py")))
LIST_CHANGES = 5  # of all servers at once, while the longest turn is measured
LIST_EVERY_S = 0.3


class Instant(asyncio.Protocol):
    """A server that answers every command at once."""

    def __init__(self) -> None:
        self.reader: Any = hiredis.Reader()
        self.transport: Any = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.reader.feed(data)
        while (words := self.reader.gets()) is not False:
            value = words[2]
            self.transport.write(
                b"*3\r\n$%d\r\n%b\r\n$-1\r\n$%d\r\n%b\r\n" % (len(value), value, len(REPORT), REPORT)
            )


def cpu_s(pid: int) -> float:
    """CPU seconds that a process has used so far."""
    return time.clock_gettime((~pid << 3) | 2)  # the kernel's numbering of other processes' CPU clocks


class Loop:
    """Clients in a closed loop."""

    def __init__(self) -> None:
        self.serial = 0

    def command(self) -> bytes:
        self.serial += 1
        customer = self.serial % CUSTOMERS
        return encode(
            [
                b"SVC.QUERY",
                b"%016x" % customer,
                b"%016x" % self.serial,
                b"c=%b,t=%b,d=1900,units=1,spread=1,first=0"
                % (CLASSES[0].name.encode(), PLANS[0].name.encode()),
            ]
        )

    async def run(self, address: Address, count: int) -> int:
        """Ask `count` times over all clients; how many were served."""
        facts: list[Fact] = []
        served = 0

        async def client(times: int) -> None:
            nonlocal served
            _, connection = await asyncio.get_running_loop().create_connection(
                lambda: ClientConnection("door", facts), *address
            )
            for _ in range(times):
                reply = await connection.ask(self.command())
                served += isinstance(reply, bytes | list)
            connection.abort()

        await asyncio.gather(*(client(count // CLIENTS) for _ in range(CLIENTS)))
        return served


def open_settings() -> dict[str, object]:
    """One front door, with quotas that let everything through."""
    values = settings(0, 1, MemberSpec())
    plans = [dict(plan) for plan in values["plans"]]  # type: ignore[attr-defined]
    for plan in plans:
        plan.update({"units-per-s": 1e6, "burst": 1e6, "never-over-rate": 0.0, "hard-burst": 0.0})
    return {**values, "plans": plans}


async def start_door(
    host: str, servers: int, target: Address, command: Sequence[str] = FRONT_DOOR
) -> tuple[Door, Agent]:
    facts: list[Fact] = []
    registry = Registry()
    for number in range(servers):
        registry.put(f"s-{number}", "plant-building", Listed.SERVING, 0)
    agent = Agent("n0", lambda name: target, facts)
    await agent.update(list(registry.entries.values()))
    discovery = await agent.start(host)
    door = Door("n0", 0, host, facts, command)
    door.write_config(
        name="n0",
        listen="{}:{}".format(*door.address),
        discovery="{}:{}".format(*discovery),
        limits={"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        settings=open_settings(),
        seed="1",
        known=agent.known(),
    )
    door.start()
    await door.ready()
    return door, agent


async def cost(loop: Loop, pid: int, address: Address, count: int) -> tuple[float, int]:
    """CPU microseconds of a process for each of `count` requests, and how many were served."""
    before = cpu_s(pid)
    served = await loop.run(address, count)
    return (cpu_s(pid) - before) * 1e6 / count, served


class Sides:
    """The front door of this checkout and, if one is named, that of another: started and asked alike."""

    def __init__(self, host: str, target: Address, against: str) -> None:
        self.host, self.target = host, target
        self.roots = {"": "", **({"against_": against} if against else {})}

    def command(self, side: str, command: Sequence[str]) -> Sequence[str]:
        root = self.roots[side]
        return ("env", f"PYTHONPATH={root}", *command) if root else command

    async def start(self, servers: int) -> dict[str, tuple[Door, Agent]]:
        return {
            side: await start_door(self.host, servers, self.target, self.command(side, DOOR))
            for side in self.roots
        }


async def finish(started: tuple[Door, Agent]) -> None:
    door, agent = started
    await door.finish()
    door.close()
    agent.close()


async def longest_turn(sides: Sides, side: str, loop: Loop, servers: int, count: int) -> float:
    """In milliseconds of CPU: requests, and the whole list anew several times."""
    started = door, agent = await start_door(sides.host, servers, sides.target, sides.command(side, TURNS))
    try:
        await loop.run(door.address, WARM_UP)
        door.signal(signal.SIGUSR1)
        asking = asyncio.ensure_future(loop.run(door.address, count))
        registry = Registry(version=agent.view.version)
        for number in range(LIST_CHANGES):
            state = Listed.SERVING if number % 2 else Listed.DRAINING
            # The first stays as it is, so that requests have a place to go.
            await agent.update(
                [registry.put(f"s-{each}", "plant-building", state, 0) for each in range(1, servers)]
            )
            await asyncio.sleep(LIST_EVERY_S)
        await asking
    finally:
        await finish(started)
    line = next(line for line in reversed(door.log) if MARK in line)
    return float(json.loads(line.rpartition(MARK)[2])["longest_us"]) / 1000


async def rounds_of(
    doors: dict[str, tuple[Door, Agent]], loop: Loop, bare: Cost, times: int, count: int
) -> tuple[dict[str, list[float]], float]:
    """CPU for a request in each round, by side and of the pass-through (`bare`), and the share served."""
    taken: dict[str, list[float]] = {side: [] for side in (*doors, "bare")}
    served = 0
    for door, _ in doors.values():
        await loop.run(door.address, WARM_UP)
    for _ in range(times):  # in turn, so that what slows the machine slows all
        for side, (door, _) in doors.items():
            assert door.process is not None
            spent, good = await cost(loop, door.process.pid, door.address, count)
            taken[side].append(spent)
            served += good
        taken["bare"].append((await cost(loop, *bare, count))[0])
    return taken, served / (times * len(doors) * (count // CLIENTS * CLIENTS))


def cost_figures(taken: dict[str, list[float]], servers: int) -> dict[str, float]:
    bares = taken["bare"]
    figures = {f"passthrough_us_{servers}": round(statistics.median(bares), 1)}
    for side in (side for side in taken if side != "bare"):
        ratio = statistics.median(one / other for one, other in zip(taken[side], bares, strict=True))
        figures[f"{side}ratio_{servers}"] = round(ratio, 2)
        figures[f"{side}door_us_{servers}"] = round(statistics.median(taken[side]), 1)
    return figures


async def compare(quick: bool, progress: bool, against: str) -> tuple[dict[str, float], dict[str, object]]:
    host, loop = own_host(), Loop()
    times, count = (QUICK_ROUNDS, QUICK_REQUESTS) if quick else (ROUNDS, REQUESTS)
    backend = Listener(host, Instant)
    sides = Sides(host, backend.address, against)
    bare = subprocess.Popen(
        [sys.executable, "-m", "benchmarks.passthrough", host, str(backend.address[1])],
        stdout=subprocess.PIPE,
        preexec_fn=die_with_parent(),
    )
    assert bare.stdout is not None
    address = host, int(await asyncio.to_thread(bare.stdout.readline))
    figures: dict[str, float] = {"served_share": 1.0}
    costs: dict[str, object] = {}
    try:
        await loop.run(address, WARM_UP)
        for servers in SERVERS:
            doors = await sides.start(servers)
            try:
                taken, share = await rounds_of(doors, loop, (bare.pid, address), times, count)
                figures |= cost_figures(taken, servers)
                figures["served_share"] = min(figures["served_share"], round(share, 4))
                for side, (door, _) in doors.items():
                    figures[f"{side}memory_mb_{servers}"] = round(door.usage()[1] / (1 << 20), 1)
                costs[str(servers)] = taken
            finally:
                for started in doors.values():
                    await finish(started)
            for side in sides.roots:
                turn = await longest_turn(sides, side, loop, servers, count)
                figures[f"{side}longest_turn_ms_{servers}"] = round(turn, 2)
            if progress:
                print(
                    f"{servers} servers: {figures[f'ratio_{servers}']:.1f} times the pass-through",
                    file=sys.stderr,
                )
    finally:
        bare.kill()
        bare.wait()
        backend.end()
    return figures, {"rounds": costs}


def measure(quick: bool, seed: int, progress: bool, against: str = "") -> Result:
    """The ratio has no aim yet: an issue of its own brings it down. All requests must be served.

    `against` is the root of another checkout, whose front door runs with the libraries of this one.
    """
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        figures, more = runner.run(asyncio.wait_for(compare(quick, progress, against), WAIT_S * 5))
    return Result("door", seed, {"served_share": 1.0}, figures, more)
