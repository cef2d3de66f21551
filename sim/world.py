"""Runs a scenario in virtual time, with the test rig's clients, servers and auditor and the real program.

Each start of a front door is a node of the event loop. A kill takes effect at a callback and loses all that
the node held in memory.
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
from rig.door_delays import DoorDelays
from rig.doors import FRONT_DOOR, MAX_LOG_LINES, Door
from rig.facts import DoorDown, Down, Fact
from rig.member import MemberSpec
from rig.sockets import free_datagram_port, reserve
from rig.world.report import Report
from rig.world.world import World
from sim.loop import CURRENT_NODE, SPIN_TIMEOUT_S, Node, SimLoop, SpinDetector
from sim.network.network import Network
from sim.network.way import NetworkSettings
from sim.seam import simulated

STARTUP_US = 250_000  # from the start of a process until its code runs
LOG_LEVEL = logging.WARNING
LINKS_PER_SCALE = 2_500  # links between front doors and servers for each unit of `SimLoop.scale`


@dataclass(frozen=True, slots=True)
class ClockSkew:
    """Bounds of the clock offset and drift that each start of a front door draws."""

    offset_us: int = 0  # largest absolute offset
    drift: float = 0.0  # largest absolute deviation of the rate from 1


class SimDoor(Door):
    """A front door over all its starts, each of which is a new node."""

    cost_us = 0
    clock_skew = ClockSkew()

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
        self.delays = DoorDelays()
        self.tracebacks = self.starts = 0
        self.stop_requested = self.killed = False
        self.ended, self.log_ended = asyncio.Event(), asyncio.Event()
        self.loop: SimLoop = asyncio.get_running_loop()  # type: ignore[assignment]
        self.node: Node | None = None
        self.serve: Callable[[Config], Any] = serve

    def write_config(self, **changes: object) -> None:
        """Change the configuration that the next start or reload reads."""
        self.config |= changes

    def read_config(self) -> Config:
        """The current configuration."""
        return parse(self.config, {})

    def start(self) -> None:
        """Start a new node, which runs the program after `STARTUP_US`."""
        self.stop_requested = self.killed = False
        self.ended, self.log_ended = asyncio.Event(), asyncio.Event()
        self.starts += 1
        random = self.loop.random
        node = self.loop.new_node(
            self.name,
            cost_us=self.cost_us,
            offset_us=random.randint(-self.clock_skew.offset_us, self.clock_skew.offset_us),
            rate=1.0 + random.uniform(-self.clock_skew.drift, self.clock_skew.drift),
        )
        self.node = node
        DOOR_BY_NODE[node] = self
        self.loop.call_at_us(self.loop.now_us + STARTUP_US, None, self.begin_node, node)

    def begin_node(self, node: Node) -> None:
        """Start the program in a node, unless it was killed before."""
        if node.alive:
            self.loop.spawn_in(node, self.run_program(node)).add_done_callback(lambda task: None)

    async def run_program(self, node: Node) -> None:
        """Run the program from its start to its exit."""
        code = 0
        try:
            await self.serve(self.read_config())
        except Exception as error:
            logging.getLogger("molereach").exception("front door ended with an error: %s", error)
            code = 1
        self.loop.call_at_us(self.loop.now_us, None, self.handle_exit, node, code)

    def handle_exit(self, node: Node, code: int) -> None:
        """Kill the node and record how the program ended."""
        if node.alive:
            self.loop.kill(node)
            if node is self.node:
                is_clean = self.stop_requested and code == 0 and not self.killed
                self.facts.append(DoorDown(now_us(), self.name, Down.ENDED if is_clean else Down.CRASHED))
                self.ended.set()
                self.log_ended.set()

    @property
    def up(self) -> bool:
        """Whether the current node runs."""
        return self.node is not None and self.node.alive and not self.ended.is_set()

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the current node."""
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
                self.handle_fatal_signal()

    def handle_fatal_signal(self) -> None:
        """Record that a signal has killed the node."""
        if not self.killed:
            self.facts.append(DoorDown(now_us(), self.name, Down.CRASHED))
        self.ended.set()
        self.log_ended.set()

    def destroy(self) -> None:
        """Kill the current node."""
        if self.node is not None and self.node.alive:
            self.killed = True
            self.loop.kill(self.node)

    def close(self) -> None:
        """Kill the current node and release its address."""
        self.destroy()
        self.holder.close()

    def usage(self) -> tuple[float, int]:
        """CPU seconds and memory, which are not simulated."""
        return 0.0, 0


DOOR_BY_NODE: dict[Node, SimDoor] = {}


class NodeLogHandler(logging.Handler):
    """Hands log records of a node to its front door."""

    def emit(self, record: logging.LogRecord) -> None:
        node = CURRENT_NODE.get()
        door = DOOR_BY_NODE.get(node) if node else None
        if door is not None:
            door.tracebacks += record.exc_info is not None
            line = self.format(record)
            door.delays.read_line(line)
            door.log.append(line)


@dataclass(slots=True)
class SimulationResult:
    """Result of a simulated scenario."""

    report: Report
    digest: str  # hash of all callbacks in order
    trace: list[str] | None
    callbacks: int
    unhandled_errors: list[str]  # errors that reached the loop's exception handler
    tracebacks: int

    @property
    def ok(self) -> bool:
        """Whether the report is in order and the program logged and raised no unexpected error."""
        return self.report.ok and not self.unhandled_errors and not self.tracebacks


def reload(env: object) -> Config:
    """Read the current front door's configuration again, on SIGHUP."""
    node = CURRENT_NODE.get()
    assert node is not None
    return DOOR_BY_NODE[node].read_config()


def serve_with_limits(config: Config) -> Any:  # noqa: ANN401
    """Run a front door whose operator file holds only `[limits]`."""
    return serve(config, attacher(LimitsSection()))


def end_process(code: int) -> None:
    """End the current front door at once, in place of `os._exit`."""
    node = CURRENT_NODE.get()
    assert node is not None
    DOOR_BY_NODE[node].handle_exit(node, code or 1)


@contextlib.contextmanager
def abort_if_stuck(loop: SimLoop) -> Iterator[None]:
    """Abort the simulation when a callback does not return; works in the main thread only."""
    try:
        previous = signal.signal(signal.SIGALRM, SpinDetector(loop))
    except ValueError:  # not the main thread
        yield
        return
    signal.setitimer(signal.ITIMER_REAL, SPIN_TIMEOUT_S, SPIN_TIMEOUT_S)
    try:
        yield
    finally:
        signal.setitimer(signal.ITIMER_REAL, 0)
        signal.signal(signal.SIGALRM, previous)


def run_scenario(scenario: sc.Scenario, seed: int, **options: Any) -> SimulationResult:  # noqa: ANN401
    """Run a scenario in virtual time, with the keywords of `run_with_gc_off`.

    Raises SimulationError if the program makes a forbidden call or is stuck.
    """
    gc_enabled, unraisable_hook = gc.isenabled(), sys.unraisablehook
    gc.disable()  # finalizers run after the simulation, not at moments that depend on memory use
    try:
        return run_with_gc_off(scenario, seed, **options)
    finally:
        # Tasks of killed nodes are finalized here; their errors are not reported.
        sys.unraisablehook = lambda unraisable: None
        gc.collect()
        sys.unraisablehook = unraisable_hook
        if gc_enabled:
            gc.enable()


def run_with_gc_off(
    scenario: sc.Scenario,
    seed: int,
    *,
    shuffle: bool = True,
    trace: bool = False,
    cost_us: int = 0,
    clock_skew: ClockSkew = ClockSkew(),
    network: NetworkSettings | None = None,
    spec: MemberSpec | None = None,
    serve_with: Callable[[Config], Any] | None = None,
    limits: bool = False,
    kill_at: dict[str, int] | None = None,
) -> SimulationResult:
    """Run one scenario; garbage collection must be off."""
    # The loss of a zone can close doors * servers links at the same time.
    scale = max(1, scenario.doors * scenario.servers // LINKS_PER_SCALE)
    loop = SimLoop(seed, shuffle, trace, scale)  # type: ignore[abstract]
    simulated_network = Network(loop, seed, network)
    handler = NodeLogHandler()
    loggers = [logging.getLogger("molereach")]
    levels = [(logger, logger.level, logger.propagate) for logger in loggers]
    for logger in loggers:
        logger.addHandler(handler)
        logger.setLevel(LOG_LEVEL)
        logger.propagate = False

    class ConfiguredDoor(SimDoor):
        pass

    ConfiguredDoor.cost_us, ConfiguredDoor.clock_skew = cost_us, clock_skew
    world: World | None = None

    def kill(node: Node) -> None:
        """Kill each front door in `kill_at` at that callback of its first start."""
        if DOOR_BY_NODE[node].starts == 1 and node.callbacks == (kill_at or {}).get(node.name):
            DOOR_BY_NODE[node].kill()

    loop.before_callback = kill if kill_at else None

    async def run_world() -> Report:
        nonlocal world
        world = World(scenario, seed, spec=spec, door_type=ConfiguredDoor)
        if serve_function := serve_with or (serve_with_limits if limits else None):
            for door in world.doors:
                door.serve = serve_function  # type: ignore[attr-defined]
        return await world.run()

    try:
        with abort_if_stuck(loop), simulated(loop, simulated_network, reload, end_process):
            report = loop.run_until_complete(run_world())
        assert world is not None
        return SimulationResult(
            report,
            loop.digest.hexdigest(),
            loop.trace,
            loop.callbacks,
            loop.unhandled_errors,
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
        DOOR_BY_NODE.clear()
