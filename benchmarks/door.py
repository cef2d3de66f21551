"""CPU of a front door for one served request, against a bare pass-through of the same bytes, in one run.

Clients in a closed loop send the same commands through a front door with 4, 60, 200 and 500 servers, and
through a program that only forwards bytes. The servers answer immediately. CPU is read from the clock of each
process. Then the longest iteration of the event loop is measured, under the same load while the whole list
changes. With `--against DIR` the front door of another checkout is measured in the same rounds.
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
from benchmarks.turns import LOG_PREFIX
from rig.clients import encode
from rig.discovery import Agent
from rig.door_pool import ClientConnection
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
ProcessAddress = tuple[int, Address]  # process id of a program and the address that it listens on
LOAD_REPORT = b"util=0.200,latency_ms=2.00"
# With -P only PYTHONPATH selects the checkout, and not the working directory.
DOOR_COMMAND = (sys.executable, "-P", "-m", "molereach")
TIMED_DOOR_COMMAND = (sys.executable, "-P", str(Path(__file__).with_name("turns.py")))
LIST_CHANGES = 5  # of all servers at once, while the longest iteration is measured
LIST_INTERVAL_S = 0.3


class ImmediateServer(asyncio.Protocol):
    """A server that answers every command immediately."""

    def __init__(self) -> None:
        self.reader: Any = hiredis.Reader()
        self.transport: Any = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Answer each complete command with its request id and a load report."""
        self.reader.feed(data)
        while (command := self.reader.gets()) is not False:
            value = command[2]
            self.transport.write(
                b"*3\r\n$%d\r\n%b\r\n$-1\r\n$%d\r\n%b\r\n"
                % (len(value), value, len(LOAD_REPORT), LOAD_REPORT)
            )


def cpu_s(pid: int) -> float:
    """Return the CPU seconds that a process has used so far."""
    return time.clock_gettime((~pid << 3) | 2)  # the kernel's numbering of other processes' CPU clocks


class ClosedLoopClients:
    """Clients in a closed loop."""

    def __init__(self) -> None:
        self.serial = 0

    def next_request(self) -> bytes:
        """Return the next request's bytes."""
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
        """Send `count` requests over all clients; return how many were served."""
        facts: list[Fact] = []
        served = 0

        async def client(times: int) -> None:
            nonlocal served
            _, connection = await asyncio.get_running_loop().create_connection(
                lambda: ClientConnection("door", facts), *address
            )
            for _ in range(times):
                reply = await connection.ask(self.next_request())
                served += isinstance(reply, bytes | list)
            connection.abort()

        await asyncio.gather(*(client(count // CLIENTS) for _ in range(CLIENTS)))
        return served


def unlimited_settings() -> dict[str, object]:
    """Return the settings of a single front door with quotas that refuse nothing."""
    values = settings(0, 1, MemberSpec())
    plans = [dict(plan) for plan in values["plans"]]  # type: ignore[attr-defined]
    for plan in plans:
        plan.update({"units-per-s": 1e6, "burst": 1e6, "never-over-rate": 0.0, "hard-burst": 0.0})
    return {**values, "plans": plans}


async def start_door(
    host: str, servers: int, target: Address, command: Sequence[str] = FRONT_DOOR
) -> tuple[Door, Agent]:
    """Start a front door and its discovery, with a list of `servers` entries that all lead to `target`."""
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
        settings=unlimited_settings(),
        seed="1",
        known=agent.known(),
    )
    door.start()
    await door.ready()
    return door, agent


async def cpu_per_request_us(
    clients: ClosedLoopClients, pid: int, address: Address, count: int
) -> tuple[float, int]:
    """Return a process's CPU microseconds for each of `count` requests, and how many were served."""
    before = cpu_s(pid)
    served = await clients.run(address, count)
    return (cpu_s(pid) - before) * 1e6 / count, served


class ComparedCheckouts:
    """The front doors of this checkout and, if one is named, of another, started and measured alike."""

    def __init__(self, host: str, target: Address, against: str) -> None:
        self.host, self.target = host, target
        self.roots = {"": "", **({"against_": against} if against else {})}

    def command(self, side: str, command: Sequence[str]) -> Sequence[str]:
        """Return the command that runs `command` with the checkout of a side."""
        root = self.roots[side]
        return ("env", f"PYTHONPATH={root}", *command) if root else command

    async def start(self, servers: int) -> dict[str, tuple[Door, Agent]]:
        """Start a front door of each side."""
        return {
            side: await start_door(self.host, servers, self.target, self.command(side, DOOR_COMMAND))
            for side in self.roots
        }


async def stop_door(started: tuple[Door, Agent]) -> None:
    """Stop a front door and its discovery."""
    door, agent = started
    await door.finish()
    door.close()
    agent.close()


async def longest_iteration_ms(
    checkouts: ComparedCheckouts, side: str, clients: ClosedLoopClients, servers: int, count: int
) -> float:
    """Return the longest event loop iteration, in CPU time, under requests and changes of the list."""
    started = door, agent = await start_door(
        checkouts.host, servers, checkouts.target, checkouts.command(side, TIMED_DOOR_COMMAND)
    )
    try:
        await clients.run(door.address, WARM_UP)
        door.signal(signal.SIGUSR1)
        traffic = asyncio.ensure_future(clients.run(door.address, count))
        registry = Registry(version=agent.view.version)
        for number in range(LIST_CHANGES):
            state = Listed.SERVING if number % 2 else Listed.DRAINING
            # The first server keeps serving, so that requests can be forwarded.
            await agent.update(
                [registry.put(f"s-{each}", "plant-building", state, 0) for each in range(1, servers)]
            )
            await asyncio.sleep(LIST_INTERVAL_S)
        await traffic
    finally:
        await stop_door(started)
    line = next(line for line in reversed(door.log) if LOG_PREFIX in line)
    return float(json.loads(line.rpartition(LOG_PREFIX)[2])["longest_us"]) / 1000


async def measure_rounds(
    doors: dict[str, tuple[Door, Agent]],
    clients: ClosedLoopClients,
    baseline: ProcessAddress,
    times: int,
    count: int,
) -> tuple[dict[str, list[float]], float]:
    """Return the CPU for a request in each round, by side and for the baseline, and the share served."""
    cpu_us: dict[str, list[float]] = {side: [] for side in (*doors, "bare")}
    served = 0
    for door, _ in doors.values():
        await clients.run(door.address, WARM_UP)
    for _ in range(times):  # alternating, so that a slowdown of the machine affects all
        for side, (door, _) in doors.items():
            assert door.process is not None
            request_us, served_now = await cpu_per_request_us(clients, door.process.pid, door.address, count)
            cpu_us[side].append(request_us)
            served += served_now
        cpu_us["bare"].append((await cpu_per_request_us(clients, *baseline, count))[0])
    return cpu_us, served / (times * len(doors) * (count // CLIENTS * CLIENTS))


def cost_figures(cpu_us: dict[str, list[float]], servers: int) -> dict[str, float]:
    """Return medians of the rounds, and their ratios to the baseline."""
    baseline_us = cpu_us["bare"]
    figures = {f"passthrough_us_{servers}": round(statistics.median(baseline_us), 1)}
    for side in (side for side in cpu_us if side != "bare"):
        ratio = statistics.median(one / other for one, other in zip(cpu_us[side], baseline_us, strict=True))
        figures[f"{side}ratio_{servers}"] = round(ratio, 2)
        figures[f"{side}door_us_{servers}"] = round(statistics.median(cpu_us[side]), 1)
    return figures


async def compare(quick: bool, progress: bool, against: str) -> tuple[dict[str, float], dict[str, object]]:
    """Measure all sizes; return the figures and the rounds behind them."""
    host, clients = own_host(), ClosedLoopClients()
    times, count = (QUICK_ROUNDS, QUICK_REQUESTS) if quick else (ROUNDS, REQUESTS)
    backend = Listener(host, ImmediateServer)
    checkouts = ComparedCheckouts(host, backend.address, against)
    baseline = subprocess.Popen(
        [sys.executable, "-m", "benchmarks.passthrough", host, str(backend.address[1])],
        stdout=subprocess.PIPE,
        preexec_fn=die_with_parent(),
    )
    assert baseline.stdout is not None
    address = host, int(await asyncio.to_thread(baseline.stdout.readline))
    figures: dict[str, float] = {"served_share": 1.0}
    costs: dict[str, object] = {}
    try:
        await clients.run(address, WARM_UP)
        for servers in SERVERS:
            doors = await checkouts.start(servers)
            try:
                cpu_us, share = await measure_rounds(doors, clients, (baseline.pid, address), times, count)
                figures |= cost_figures(cpu_us, servers)
                figures["served_share"] = min(figures["served_share"], round(share, 4))
                for side, (door, _) in doors.items():
                    figures[f"{side}memory_mb_{servers}"] = round(door.usage()[1] / (1 << 20), 1)
                costs[str(servers)] = cpu_us
            finally:
                for started in doors.values():
                    await stop_door(started)
            for side in checkouts.roots:
                iteration_ms = await longest_iteration_ms(checkouts, side, clients, servers, count)
                figures[f"{side}longest_turn_ms_{servers}"] = round(iteration_ms, 2)
            if progress:
                print(
                    f"{servers} servers: {figures[f'ratio_{servers}']:.1f} times the pass-through",
                    file=sys.stderr,
                )
    finally:
        baseline.kill()
        baseline.wait()
        backend.end()
    return figures, {"rounds": costs}


def measure(quick: bool, seed: int, progress: bool, against: str = "") -> Result:
    """Aims: all requests are served; the ratio to the baseline has no aim.

    `against` is the root of another checkout, whose front door runs with the libraries of this one.
    """
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        figures, more = runner.run(asyncio.wait_for(compare(quick, progress, against), WAIT_S * 5))
    return Result("door", seed, {"served_share": 1.0}, figures, more)
