"""One running tier: simulated discovery, backends and doors beside real doors, in separate processes."""

import asyncio
import random
import signal
import time
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any

from benchmarks.door import cpu_s
from benchmarks.scale import doors
from benchmarks.scale.doors import RealDoor
from benchmarks.scale.helper import RoleProcess
from benchmarks.scale.tier import Requests, Tier
from benchmarks.turns import LOG_PREFIX
from rig.sockets import Address

SIMULATED_DOORS_PER_PROCESS, LOADED_DOORS_PER_PROCESS = 16, 4
# Timeout and number of polls for a requested log line; the door's loop may be busy for long.
LOG_TIMEOUT_S, LOG_POLLS = 5.0, 250


@dataclass(frozen=True, slots=True)
class Size:
    """The dimensions of a tier, and how many of its doors are real."""

    backends: int
    doors: int
    tenants: int
    real: int
    turns: bool = False  # one more real door, whose event loop is timed
    known: bool = True  # whether doors start with the whole list in their configuration


@dataclass(slots=True)
class Window:
    """The observations of a span of time."""

    seconds: float = 0.0
    requests: dict[str, dict[str, Any]] = field(default_factory=dict)  # by name
    cpu_s: dict[str, float] = field(default_factory=dict)  # by name
    helpers_s: dict[str, float] = field(default_factory=dict)  # CPU of the busiest process of each role

    def total(self, what: str, names: Sequence[str]) -> int:
        """Return the sum of a count over doors."""
        return sum(self.requests[name][what] for name in names if name in self.requests)

    def times_ms(self, names: Sequence[str], what: str = "took_ms") -> list[float]:
        """Return all times of doors."""
        return [took for name in names if name in self.requests for took in self.requests[name][what]]

    def served_share(self, names: Sequence[str]) -> float:
        """Return the share of due requests that were served."""
        return self.total("served", names) / max(1, self.total("due", names))


class Stage:
    """A tier from its start to its end."""

    def __init__(
        self,
        size: Size,
        tier: Tier,
        host: str,
        root: str = "",
        numbers: Sequence[int] = (),
        simulated: Sequence[int] | None = None,
        door_command: Sequence[str] = doors.DOOR_COMMAND,
    ) -> None:
        """`numbers` and `simulated` select the real and the simulated doors.

        By default real doors are evenly spaced and all their neighbours are simulated.
        """
        self.size, self.tier, self.host, self.root, self.door_command = size, tier, host, root, door_command
        self.numbers = list(numbers) or tier.evenly_spaced(size.real + size.turns)
        neighbours = {door for number in self.numbers for door in tier.neighbours(number)} - set(self.numbers)
        self.simulated_numbers = sorted(neighbours) if simulated is None else list(simulated)
        self.helpers = {role: RoleProcess(role) for role in ("agent", "backends")}
        self.load = [RoleProcess("load") for _ in range(1 + (len(self.numbers) > LOADED_DOORS_PER_PROCESS))]
        # A simulated door takes up to some 300 requests a second, and a process some thousand.
        processes = -(-len(self.simulated_numbers) // SIMULATED_DOORS_PER_PROCESS)
        self.simulated = [
            (RoleProcess("hollow"), self.simulated_numbers[at::processes]) for at in range(processes)
        ]
        self.real: list[RealDoor] = []
        self.timed_door: RealDoor | None = None
        self.known = "{}"
        self.next_number = size.backends  # number of the next new backend
        self.requests: dict[int, list[bytes]] = {}  # one for each real door, sent at its start

    async def start(self) -> list[tuple[float, float]]:
        """Start all processes; return the seconds until each real door was ready and had served a request."""
        await asyncio.gather(*(helper.start() for helper in self.processes))
        port = (await self.call("backends", "begin"))["port"]
        self.port = int(port)
        started = await self.call("agent", "begin", size=self.size.backends, port=port, doors=self.numbers)
        addresses = {int(number): tuple(address) for number, address in started["addresses"].items()}
        if self.size.known:
            self.known = (await self.call("agent", "known"))["known"]
        await asyncio.gather(
            *(
                helper.call(
                    "begin",
                    tier=self.tier.as_fields(),
                    real=self.numbers,
                    simulated=numbers,
                    others=self.simulated_numbers,
                )
                for helper, numbers in self.simulated
            )
        )
        for number, tenants in self.tier.tenants_of_all(self.numbers).items():
            self.requests[number] = Requests(self.tier, number, tenants, random.Random(number)).next_command()
        for at, number in enumerate(self.numbers):
            is_timed = self.size.turns and at == len(self.numbers) - 1
            door_command = doors.with_checkout(
                self.root, doors.TIMED_DOOR_COMMAND if is_timed else self.door_command
            )
            real = doors.create(
                f"d{number}", number, self.tier, self.host, addresses[number], self.known, door_command
            )
            if is_timed:
                self.timed_door = real
            else:
                self.real.append(real)
        times = await asyncio.gather(*(self.start_door(real) for real in self.all))
        if self.timed_door:
            self.timed_door.door.signal(signal.SIGUSR1)
        return list(times[: len(self.real)])

    async def start_door(self, real: RealDoor) -> tuple[float, float]:
        """Start one real door; see `doors.start`."""
        return await doors.start(real, self.requests[real.number])

    @property
    def all(self) -> list[RealDoor]:
        """All real doors, the timed one last."""
        return [*self.real, *([self.timed_door] if self.timed_door else [])]

    @property
    def names(self) -> list[str]:
        """The names of the real doors, without the timed one."""
        return [real.name for real in self.real]

    async def call(self, role: str, do: str, **values: object) -> Any:  # noqa: ANN401
        """Call a method of the role `agent` or `backends`."""
        return await self.helpers[role].call(do, **values)

    @property
    def processes(self) -> list[RoleProcess]:
        """The processes of all roles."""
        return [*self.helpers.values(), *self.load, *(helper for helper, _ in self.simulated)]

    async def call_simulated(self, do: str, **values: object) -> list[Any]:
        """Call a method of all processes of simulated doors."""
        return await asyncio.gather(*(helper.call(do, **values) for helper, _ in self.simulated))

    async def longest_turn_ms(self) -> float | None:
        """Return the timed door's longest event loop iteration since the last call, in ms of CPU."""
        if not self.timed_door:
            return None
        log = self.timed_door.door.log
        lines_before = sum(LOG_PREFIX in line for line in log)
        self.timed_door.door.signal(signal.SIGUSR2)
        for _ in range(LOG_POLLS):
            await asyncio.sleep(LOG_TIMEOUT_S / LOG_POLLS)
            if sum(LOG_PREFIX in line for line in log) > lines_before:
                return float(doors.last_logged_counts(list(log), LOG_PREFIX)["longest_us"]) / 1000
        return None

    # --- load ---

    async def begin_load(self, more: dict[str, Address] | None = None) -> None:
        """Send requests to all real doors, and to `more` addresses those of the first door."""
        first = self.numbers[0]
        targets = {name: (first, address) for name, address in (more or {}).items()}
        targets |= {real.name: (real.number, real.door.address) for real in self.all}
        names = list(targets)
        await asyncio.gather(
            *(
                helper.call(
                    "begin",
                    tier=self.tier.as_fields(),
                    doors={name: targets[name] for name in names[at :: len(self.load)]},
                )
                for at, helper in enumerate(self.load)
            )
        )

    async def take_load(self, do: str = "take") -> dict[str, Any]:
        """Return the outcomes of the requests since the last call, by name."""
        outcomes: dict[str, Any] = {}
        for part in await asyncio.gather(*(helper.call(do) for helper in self.load)):
            outcomes |= part
        return outcomes

    async def end_load(self) -> None:
        """Stop the requests."""
        await self.take_load("end")

    async def start_measurement(self) -> "Measurement":
        """Reset the counts and start a measurement."""
        await asyncio.gather(self.take_load(), self.call("agent", "take"), self.call_simulated("take"))
        spent = {real.name: real.cpu_s() for real in self.all}
        return Measurement(self, time.monotonic(), spent, self.helpers_cpu())

    def helpers_cpu(self) -> list[tuple[str, float]]:
        """Return the CPU seconds of each role's process, by role."""
        return [(helper.name, cpu_s(helper.pid)) for helper in self.processes]

    async def end(self) -> list[list[str]]:
        """Stop everything; return the logs of all doors, the timed one's last."""
        try:
            return await doors.stop_all(self.all)
        finally:
            await asyncio.gather(*(helper.end() for helper in self.processes))


@dataclass(slots=True)
class Measurement:
    """The start of a measured span."""

    stage: Stage
    at_s: float
    cpu: dict[str, float]
    helpers: list[tuple[str, float]]

    async def window(self) -> Window:
        """Return the observations from the start to now."""
        stage, seconds = self.stage, time.monotonic() - self.at_s
        cpu = {real.name: real.cpu_s() - self.cpu[real.name] for real in stage.all}
        busiest: dict[str, float] = {}
        for (name, before), (_, now) in zip(self.helpers, stage.helpers_cpu(), strict=True):
            busiest[name] = max(busiest.get(name, 0.0), now - before)
        return Window(seconds, await stage.take_load(), cpu, busiest)
