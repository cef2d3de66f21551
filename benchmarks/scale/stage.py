"""One tier in play: hollow discovery, backends and doors beside real doors, in processes of their own."""

import asyncio
import random
import signal
import time
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any

from benchmarks.door import cpu_s
from benchmarks.scale import doors
from benchmarks.scale.doors import Real
from benchmarks.scale.helper import Helper
from benchmarks.scale.tier import Requests, Tier
from benchmarks.turns import LOG_PREFIX
from rig.sockets import Address

HOLLOW_A_PROCESS, LOADS_A_PROCESS = 16, 4
SAID_S, LOOKS = 5.0, 250  # for a line that a door was asked for, whose turns may be long


@dataclass(frozen=True, slots=True)
class Size:
    """How large a tier is, and how much of it is real."""

    backends: int
    doors: int
    tenants: int
    real: int
    turns: bool = False  # one more real door, whose loop is watched
    known: bool = True  # whether doors start with the whole list in their configuration


@dataclass(slots=True)
class Window:
    """What was seen in a span of time."""

    seconds: float = 0.0
    requests: dict[str, dict[str, Any]] = field(default_factory=dict)  # by name
    cpu_s: dict[str, float] = field(default_factory=dict)  # by name
    helpers_s: dict[str, float] = field(default_factory=dict)  # CPU of the busiest process of each role

    def total(self, what: str, names: Sequence[str]) -> int:
        return sum(self.requests[name][what] for name in names if name in self.requests)

    def times_ms(self, names: Sequence[str], what: str = "took_ms") -> list[float]:
        return [took for name in names if name in self.requests for took in self.requests[name][what]]

    def served_share(self, names: Sequence[str]) -> float:
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
        hollow: Sequence[int] | None = None,
        of: Sequence[str] = doors.PLAIN,
    ) -> None:
        """Which doors are real and hollow, where that is not as far apart as can be and all neighbours."""
        self.size, self.tier, self.host, self.root, self.of = size, tier, host, root, of
        self.numbers = list(numbers) or tier.spaced(size.real + size.turns)
        near = {door for number in self.numbers for door in tier.neighbours(number)} - set(self.numbers)
        self.hollow_numbers = sorted(near) if hollow is None else list(hollow)
        self.helpers = {role: Helper(role) for role in ("agent", "backends")}
        self.load = [Helper("load") for _ in range(1 + (len(self.numbers) > LOADS_A_PROCESS))]
        # A hollow door takes some 300 requests a second at most, and a process some thousand.
        processes = -(-len(self.hollow_numbers) // HOLLOW_A_PROCESS)
        self.hollow = [(Helper("hollow"), self.hollow_numbers[at::processes]) for at in range(processes)]
        self.real: list[Real] = []
        self.watched: Real | None = None
        self.known = "{}"
        self.next_number = size.backends  # of a backend that is new
        self.requests: dict[int, list[bytes]] = {}  # one for each real door, to be asked at its start

    async def start(self) -> list[tuple[float, float]]:
        """The seconds that each real door took until it was ready and until it had served."""
        await asyncio.gather(*(helper.start() for helper in self.processes))
        port = (await self.ask("backends", "begin"))["port"]
        self.port = int(port)
        begun = await self.ask("agent", "begin", size=self.size.backends, port=port, doors=self.numbers)
        addresses = {int(number): tuple(address) for number, address in begun["addresses"].items()}
        if self.size.known:
            self.known = (await self.ask("agent", "known"))["known"]
        await asyncio.gather(
            *(
                helper.ask(
                    "begin",
                    tier=self.tier.shown(),
                    real=self.numbers,
                    hollow=numbers,
                    others=self.hollow_numbers,
                )
                for helper, numbers in self.hollow
            )
        )
        for number, tenants in self.tier.tenants_of_all(self.numbers).items():
            self.requests[number] = Requests(self.tier, number, tenants, random.Random(number)).words()
        for at, number in enumerate(self.numbers):
            watched = self.size.turns and at == len(self.numbers) - 1
            of = doors.command(self.root, doors.TURNS if watched else self.of)
            real = doors.make(f"d{number}", number, self.tier, self.host, addresses[number], self.known, of)
            if watched:
                self.watched = real
            else:
                self.real.append(real)
        times = await asyncio.gather(*(self.start_door(real) for real in self.all))
        if self.watched:
            self.watched.door.signal(signal.SIGUSR1)
        return list(times[: len(self.real)])

    async def start_door(self, real: Real) -> tuple[float, float]:
        return await doors.start(real, self.requests[real.number])

    @property
    def all(self) -> list[Real]:
        return [*self.real, *([self.watched] if self.watched else [])]

    @property
    def names(self) -> list[str]:
        return [real.name for real in self.real]

    async def ask(self, role: str, do: str, **values: object) -> Any:  # noqa: ANN401
        return await self.helpers[role].ask(do, **values)

    @property
    def processes(self) -> list[Helper]:
        return [*self.helpers.values(), *self.load, *(helper for helper, _ in self.hollow)]

    async def hollow_do(self, do: str, **values: object) -> list[Any]:
        """The answers of all processes of hollow doors."""
        return await asyncio.gather(*(helper.ask(do, **values) for helper, _ in self.hollow))

    async def turn_ms(self) -> float | None:
        """The longest turn of the watched door's loop since the last look, in ms of CPU."""
        if not self.watched:
            return None
        log = self.watched.door.log
        said = sum(LOG_PREFIX in line for line in log)
        self.watched.door.signal(signal.SIGUSR2)
        for _ in range(LOOKS):
            await asyncio.sleep(SAID_S / LOOKS)
            if sum(LOG_PREFIX in line for line in log) > said:
                return float(doors.counts_in(list(log), LOG_PREFIX)["longest_us"]) / 1000
        return None

    # --- load ---

    async def begin_load(self, more: dict[str, Address] | None = None) -> None:
        """Ask all real doors, and more addresses with the requests of the first of them."""
        first = self.numbers[0]
        asked = {name: (first, address) for name, address in (more or {}).items()}
        asked |= {real.name: (real.number, real.door.address) for real in self.all}
        names = list(asked)
        await asyncio.gather(
            *(
                helper.ask(
                    "begin",
                    tier=self.tier.shown(),
                    doors={name: asked[name] for name in names[at :: len(self.load)]},
                )
                for at, helper in enumerate(self.load)
            )
        )

    async def take_load(self, do: str = "take") -> dict[str, Any]:
        """What came of the requests since the last look, by name."""
        taken: dict[str, Any] = {}
        for part in await asyncio.gather(*(helper.ask(do) for helper in self.load)):
            taken |= part
        return taken

    async def end_load(self) -> None:
        await self.take_load("end")

    async def look(self) -> "Look":
        await asyncio.gather(self.take_load(), self.ask("agent", "take"), self.hollow_do("take"))
        spent = {real.name: real.cpu_s() for real in self.all}
        return Look(self, time.monotonic(), spent, self.helpers_cpu())

    def helpers_cpu(self) -> list[tuple[str, float]]:
        return [(helper.name, cpu_s(helper.pid)) for helper in self.processes]

    async def end(self) -> list[list[str]]:
        """The last lines of all doors, that of the watched one last."""
        try:
            return await doors.end_all(self.all)
        finally:
            await asyncio.gather(*(helper.end() for helper in self.processes))


@dataclass(slots=True)
class Look:
    """The beginning of a span."""

    stage: Stage
    at_s: float
    cpu: dict[str, float]
    helpers: list[tuple[str, float]]

    async def window(self) -> Window:
        """From the beginning to now."""
        stage, seconds = self.stage, time.monotonic() - self.at_s
        cpu = {real.name: real.cpu_s() - self.cpu[real.name] for real in stage.all}
        busiest: dict[str, float] = {}
        for (name, before), (_, now) in zip(self.helpers, stage.helpers_cpu(), strict=True):
            busiest[name] = max(busiest.get(name, 0.0), now - before)
        return Window(seconds, await stage.take_load(), cpu, busiest)
