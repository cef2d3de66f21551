"""A world of the rig in virtual time: its scenarios, cores, clients, servers, auditor, and the real program.

Each front door is a node of the loop: killed at a callback it is gone with all that it held in memory.
"""

import asyncio
import contextlib
import gc
import logging
import signal
import sys
from collections import deque
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from typing import Any

from molereach.__main__ import serve
from molereach.limits.service import attacher
from molereach.operator_config import LimitsSection
from molereach.proxy.config import Config, parse
from rig import scenario as sc
from rig.clock import now_us
from rig.doors import FRONT_DOOR, MAX_LOG_LINES, Door
from rig.facts import DoorDown, Down, Fact
from rig.member import MemberSpec
from rig.sockets import free_datagram_port, reserve
from rig.world.report import Report
from rig.world.world import World
from sim.loop import NODE, SPIN_S, Node, SimLoop, SpinWatch
from sim.network.network import Network
from sim.network.way import Spec
from sim.seam import simulated

STARTS_US = 250_000  # from the start of a process to its first line of code
LEVEL = logging.WARNING
LINKS = 2_500  # between front doors and servers, of a small world


@dataclass(frozen=True, slots=True)
class Clocks:
    """How front doors' clocks differ: each draws an offset and a rate."""

    offset_us: int = 0  # at most, either way
    drift: float = 0.0  # at most, either way


class SimDoor(Door):
    """One front door, over all its starts, each a node of its own."""

    cost_us = 0
    clocks = Clocks()

    def __init__(
        self,
        name: str,
        number: int,
        host: str,
        facts: list[Fact],
        command: Sequence[str] = FRONT_DOOR,
    ) -> None:
        self.name, self.number, self.facts, self.command = name, number, facts, command
        self.holder, self.address = reserve(host)
        self.peer_address = free_datagram_port(host)
        self.config: dict[str, object] = {}
        self.process = None
        self.log: deque[str] = deque(maxlen=MAX_LOG_LINES)
        self.tracebacks = self.starts = 0
        self.stop_requested = self.killed = False
        self.ended, self.log_ended = asyncio.Event(), asyncio.Event()
        self.loop: SimLoop = asyncio.get_running_loop()  # type: ignore[assignment]
        self.node: Node | None = None
        self.serve: Callable[[Config], Any] = serve

    def write_config(self, **changes: object) -> None:
        self.config |= changes

    def read_config(self) -> Config:
        return parse(self.config, {})

    def start(self) -> None:
        self.stop_requested = self.killed = False
        self.ended, self.log_ended = asyncio.Event(), asyncio.Event()
        self.starts += 1
        random = self.loop.random
        node = self.loop.new_node(
            self.name,
            cost_us=self.cost_us,
            offset_us=random.randint(-self.clocks.offset_us, self.clocks.offset_us),
            rate=1.0 + random.uniform(-self.clocks.drift, self.clocks.drift),
        )
        self.node = node
        DOORS[node] = self
        self.loop.at(self.loop.now_us + STARTS_US, None, self.begin, node)

    def begin(self, node: Node) -> None:
        if node.alive:
            self.loop.spawn_in(node, self.life(node)).add_done_callback(lambda task: None)

    async def life(self, node: Node) -> None:
        """The program from its start to its exit."""
        code = 0
        try:
            await self.serve(self.read_config())
        except Exception as error:
            logging.getLogger("molereach").exception("the program ends: %s", error)
            code = 1
        self.loop.at(self.loop.now_us, None, self.exited, node, code)

    def exited(self, node: Node, code: int) -> None:
        if node.alive:
            self.loop.kill(node)
            if node is self.node:
                well = self.stop_requested and code == 0 and not self.killed
                self.facts.append(DoorDown(now_us(), self.name, Down.ENDED if well else Down.CRASHED))
                self.ended.set()
                self.log_ended.set()

    @property
    def up(self) -> bool:
        return self.node is not None and self.node.alive and not self.ended.is_set()

    def signal(self, number: signal.Signals) -> None:
        node = self.node
        if node is None or not self.up:
            return
        if number is signal.SIGKILL:
            self.loop.kill(node)
            self.ended.set()
            self.log_ended.set()
        elif number is signal.SIGSTOP:
            self.loop.stop_node(node)
        elif number is signal.SIGCONT:
            self.loop.continue_node(node)
        else:
            self.loop.signal(node, number)
            if not node.alive:
                self.exited_by_signal()

    def exited_by_signal(self) -> None:
        if not self.killed:
            self.facts.append(DoorDown(now_us(), self.name, Down.CRASHED))
        self.ended.set()
        self.log_ended.set()

    def destroy(self) -> None:
        if self.node is not None and self.node.alive:
            self.killed = True
            self.loop.kill(self.node)

    def close(self) -> None:
        self.destroy()
        self.holder.close()

    def usage(self) -> tuple[float, int]:
        return 0.0, 0


DOORS: dict[Node, SimDoor] = {}


class NodeLog(logging.Handler):
    """Lines of each front door's log go to that front door."""

    def emit(self, record: logging.LogRecord) -> None:
        node = NODE.get()
        door = DOORS.get(node) if node else None
        if door is not None:
            door.tracebacks += record.exc_info is not None
            door.log.append(self.format(record))


@dataclass(slots=True)
class Played:
    """A simulated day."""

    report: Report
    digest: str  # of all callbacks in their order
    trace: list[str] | None
    callbacks: int
    troubles: list[str]  # what reached the loop's own handler
    tracebacks: int

    @property
    def ok(self) -> bool:
        return self.report.ok and not self.troubles and not self.tracebacks


def reload(env: object) -> Config:
    """What a front door reads anew on SIGHUP."""
    node = NODE.get()
    assert node is not None
    return DOORS[node].read_config()


def serve_with_limits(config: Config) -> Any:  # noqa: ANN401
    """A front door with `[limits]` in its operator file, and nothing else."""
    return serve(config, attacher(LimitsSection()))


def end_process(code: int) -> None:
    """`os._exit` of a front door: nothing is finished."""
    node = NODE.get()
    assert node is not None
    DOORS[node].exited(node, code or 1)


@contextlib.contextmanager
def watched(loop: SimLoop) -> Iterator[None]:
    """End a world in which a callback spins, where this thread can be interrupted."""
    try:
        before = signal.signal(signal.SIGALRM, SpinWatch(loop))
    except ValueError:  # not the main thread
        yield
        return
    signal.setitimer(signal.ITIMER_REAL, SPIN_S, SPIN_S)
    try:
        yield
    finally:
        signal.setitimer(signal.ITIMER_REAL, 0)
        signal.signal(signal.SIGALRM, before)


def play(scenario: sc.Scenario, seed: int, **more: Any) -> Played:  # noqa: ANN401
    """Play a day in virtual time, with the keywords of `play_day`.

    SimulationError where the program does what it must not, or spins.
    """
    collecting, hook = gc.isenabled(), sys.unraisablehook
    gc.disable()  # finalizers run when the world is over, not where memory happens to be short
    try:
        return play_day(scenario, seed, **more)
    finally:
        # What was killed half way ends here, and need not say so.
        sys.unraisablehook = lambda unraisable: None
        gc.collect()
        sys.unraisablehook = hook
        if collecting:
            gc.enable()


def play_day(
    scenario: sc.Scenario,
    seed: int,
    *,
    shuffle: bool = True,
    trace: bool = False,
    cost_us: int = 0,
    clocks: Clocks = Clocks(),
    network: Spec | None = None,
    spec: MemberSpec | None = None,
    serve_with: Callable[[Config], Any] | None = None,
    limits: bool = False,
    kill_at: dict[str, int] | None = None,
) -> Played:
    """One day, and what it leaves behind."""
    # A zone that is lost takes as many links as front doors times servers down at once.
    scale = max(1, scenario.doors * scenario.servers // LINKS)
    loop = SimLoop(seed, shuffle, trace, scale)  # type: ignore[abstract]
    links = Network(loop, seed, network)
    handler = NodeLog()
    loggers = [logging.getLogger("molereach")]
    levels = [(logger, logger.level, logger.propagate) for logger in loggers]
    for logger in loggers:
        logger.addHandler(handler)
        logger.setLevel(LEVEL)
        logger.propagate = False

    class ThisDoor(SimDoor):
        pass

    ThisDoor.cost_us, ThisDoor.clocks = cost_us, clocks
    world: World | None = None

    def kill(node: Node) -> None:
        """Front doors in `kill_at` are killed at that callback of their first start."""
        if DOORS[node].starts == 1 and node.callbacks == (kill_at or {}).get(node.name):
            DOORS[node].kill()

    loop.before = kill if kill_at else None

    async def day() -> Report:
        nonlocal world
        world = World(scenario, seed, spec=spec, door_type=ThisDoor)
        if with_it := serve_with or (serve_with_limits if limits else None):
            for door in world.doors:
                door.serve = with_it  # type: ignore[attr-defined]
        return await world.run()

    try:
        with watched(loop), simulated(loop, links, reload, end_process):
            report = loop.run_until_complete(day())
        assert world is not None
        return Played(
            report,
            loop.digest.hexdigest(),
            loop.trace,
            loop.callbacks,
            loop.troubles,
            sum(door.tracebacks for door in world.doors),
        )
    finally:
        for logger, level, propagate in levels:
            logger.removeHandler(handler)
            logger.setLevel(level)
            logger.propagate = propagate
        for task in asyncio.all_tasks(loop):
            task._log_destroy_pending = False  # type: ignore[attr-defined]
        loop.close()
        DOORS.clear()
