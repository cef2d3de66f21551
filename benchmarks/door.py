"""CPU of a front door for one served request, against a bare pass-through of the same bytes, in one run.

Clients in a closed loop send the same commands through a front door with 4, 60 and 500 servers, and through a
program that only hands bytes on. The servers answer at once. CPU is read from the clock of each process.
"""

import asyncio
import statistics
import subprocess
import sys
import time
from collections.abc import Sequence
from typing import Any

import hiredis
import uvloop

from benchmarks.result import Result
from rig.clients import ClientConnection, encode
from rig.discovery import Agent
from rig.doors import FRONT_DOOR, Door, die_with_parent
from rig.facts import Fact, Listed
from rig.member import MemberSpec
from rig.registry import Registry
from rig.sockets import Address, Listener, own_host
from rig.workload import CLASSES, PLANS
from rig.world import settings

SERVERS = (4, 60, 500)
CLIENTS = 16
ROUNDS, QUICK_ROUNDS = 5, 3
REQUESTS, QUICK_REQUESTS = 3000, 1000
WARM_UP = 300
CUSTOMERS = 64
WAIT_S = 60.0
REPORT = b"util=0.200,latency_ms=2.00"


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
            self.transport.write(b"*3\r\n$%d\r\n%b\r\n$-1\r\n$%d\r\n%b\r\n"
                                 % (len(value), value, len(REPORT), REPORT))


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
        return encode([b"SVC.QUERY", b"%016x" % customer, b"%016x" % self.serial,
                       b"c=%b,t=%b,d=1900,units=1,spread=1,first=0"
                       % (CLASSES[0].name.encode(), PLANS[0].name.encode())])

    async def run(self, address: Address, count: int) -> int:
        """Ask `count` times over all clients; how many were served."""
        facts: list[Fact] = []
        served = 0

        async def client(times: int) -> None:
            nonlocal served
            _, connection = await asyncio.get_running_loop().create_connection(
                lambda: ClientConnection("door", facts), *address)
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
    await agent.learn(list(registry.entries.values()))
    discovery = await agent.start(host)
    door = Door("n0", 0, host, facts, command)
    door.write_config(
        name="n0", listen="{}:{}".format(*door.address), discovery="{}:{}".format(*discovery),
        limits={"cores": 1.0, "memory_mb": 192, "sockets": 1024}, settings=open_settings(), seed="1",
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


async def compare(quick: bool, progress: bool) -> tuple[dict[str, float], dict[str, object]]:
    host, loop = own_host(), Loop()
    rounds, count = (QUICK_ROUNDS, QUICK_REQUESTS) if quick else (ROUNDS, REQUESTS)
    backend = Listener(host, Instant)
    bare = subprocess.Popen([sys.executable, "-m", "benchmarks.passthrough", host, str(backend.address[1])],
                            stdout=subprocess.PIPE, preexec_fn=die_with_parent)
    assert bare.stdout is not None
    address = host, int(await asyncio.to_thread(bare.stdout.readline))
    figures: dict[str, float] = {}
    costs: dict[str, object] = {}
    asked = served = 0
    try:
        for servers in SERVERS:
            door, agent = await start_door(host, servers, backend.address)
            try:
                assert door.process is not None
                await loop.run(door.address, WARM_UP)
                await loop.run(address, WARM_UP)
                doors, bares = [], []
                for _ in range(rounds):  # in turn, so that what slows the machine slows both
                    taken, good = await cost(loop, door.process.pid, door.address, count)
                    doors.append(taken)
                    served, asked = served + good, asked + count // CLIENTS * CLIENTS
                    bares.append((await cost(loop, bare.pid, address, count))[0])
                ratio = statistics.median(one / other for one, other in zip(doors, bares, strict=True))
                figures[f"ratio_{servers}"] = round(ratio, 2)
                figures[f"door_us_{servers}"] = round(statistics.median(doors), 1)
                figures[f"passthrough_us_{servers}"] = round(statistics.median(bares), 1)
                figures[f"memory_mb_{servers}"] = round(door.usage()[1] / (1 << 20), 1)
                costs[str(servers)] = {"door_us": doors, "passthrough_us": bares}
                if progress:
                    print(f"{servers} servers: {ratio:.1f} times the pass-through", file=sys.stderr)
            finally:
                await door.finish()
                door.close()
                agent.close()
    finally:
        bare.kill()
        bare.wait()
        backend.end()
    figures["served_share"] = round(served / asked, 4)
    return figures, {"rounds": costs}


def measure(quick: bool, seed: int, progress: bool) -> Result:
    """The ratio has no aim yet: an issue of its own brings it down. All requests must be served."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        figures, more = runner.run(asyncio.wait_for(compare(quick, progress), WAIT_S * 5))
    return Result("door", seed, {"served_share": 1.0}, figures, more)
