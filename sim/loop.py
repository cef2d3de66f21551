"""An asyncio event loop on virtual time, and the nodes (processes) that share it.

PEP 3156's abstract loop, on its own: a queue of what is ready, and a heap of timers to which time jumps.
Weighed: a subclass of `asyncio.BaseEventLoop` with a selector that never waits (as looptime does) keeps a
self-pipe and thread hooks that a simulation must not have, and gives no say in the order of equal timers.

Every callback belongs to a node, carried by its context as asyncio carries it. A node that is killed runs
nothing more, whatever was due; one that is stopped runs it when it goes on. With a cost for each callback a
node is late when it has much to do, as a process is.
"""

# mypy: disable-error-code="override,type-var,union-attr,attr-defined"
# asyncio's abstract loop is typed for real files and threads, and its handles hide what every loop must know.

import asyncio
import heapq
import math
import signal
import traceback
from asyncio import events
from collections import deque
from collections.abc import Callable, Coroutine, Generator
from contextvars import Context, ContextVar, copy_context
from dataclasses import dataclass, field
from hashlib import blake2b
from random import Random
from types import FrameType
from typing import Any, NoReturn

S = 1_000_000
START_US = 1_000 * S  # monotonic time at the beginning
EPOCH_US = 1_700_000_000 * S  # Unix time then
WINDOW_US = 100_000
MOST_IN_WINDOW = 90_000  # callbacks in so much virtual time: then something spins
FREE_CALLBACKS = 2_000  # in one microsecond; further ones take one each: whoever waits in turns sees time go
SPIN_S = 10.0  # of real time in one callback, at least
MOST_TRACE = 2_000_000


class SimulationError(BaseException):
    """The simulated program did what a simulation must not, or spins. No `except Exception` stops it."""


@dataclass(eq=False, slots=True)
class Node:
    """A process: what it runs ends with it."""

    name: str
    alive: bool = True
    stopped: bool = False
    offset_us: int = 0  # of its clocks
    rate: float = 1.0  # of its monotonic clock
    cost_us: int = 0  # of a callback; 0 for none
    busy_until_us: int = 0
    queue: deque[events.Handle] = field(default_factory=deque)  # while it is busy or stopped
    pumping: bool = False
    signals: dict[int, tuple[Callable[..., object], tuple[Any, ...]]] = field(default_factory=dict)
    tasks: list["asyncio.Task[Any]"] = field(default_factory=list)
    context: Context = field(default_factory=Context)
    callbacks: int = 0


NODE: ContextVar[Node | None] = ContextVar("node", default=None)


def node_here() -> Node | None:
    """Whose callback is running."""
    return NODE.get()


def name_of(handle: events.Handle) -> str:
    """What a callback is called, the same in every run."""
    callback = handle._callback
    owner = getattr(callback, "__self__", None)
    if isinstance(owner, asyncio.Task):
        return f"task {owner.get_coro().__qualname__}"
    return getattr(callback, "__qualname__", type(callback).__name__)


class SimLoop(asyncio.AbstractEventLoop):
    """One loop for all nodes of a world."""

    def __init__(self, seed: int = 0, shuffle: bool = True, trace: bool = False, scale: int = 1) -> None:
        """`shuffle` lets the seed choose among timers that are due at the same microsecond; `scale` says how
        many times as much as in a small world may happen at once before it counts as spinning."""
        self.scale = scale
        self.random = Random(f"{seed}:loop")
        self.shuffle = shuffle
        self.now_us = START_US
        self.ready: deque[events.Handle] = deque()
        self.timers: list[tuple[int, int, int, events.TimerHandle]] = []
        self.serial = 0
        self.running = self.closed = False
        self.stopping = False
        self.at_once = self.callbacks = self.window_callbacks = 0
        self.window_us = START_US
        self.digest = blake2b(digest_size=16)
        self.trace: list[str] | None = [] if trace else None
        self.handler: Callable[[asyncio.AbstractEventLoop, dict[str, Any]], object] | None = None
        self.troubles: list[str] = []
        self.network: Any = None  # set by `sim.network`
        self.before: Callable[[Node], None] | None = None  # sees each callback of a node
        self.kept: list[asyncio.Task[Any]] = []  # of killed nodes: freed with the world
        self.fatal: SimulationError | None = None  # also where the program catches what is raised

    # --- time ---

    def time(self) -> float:
        return self.now_us / S

    def clock_us(self) -> int:
        """The monotonic clock of whoever asks."""
        node = NODE.get()
        if node is None:
            return self.now_us
        return round((self.now_us - START_US) * node.rate) + START_US + node.offset_us

    def wall_us(self) -> int:
        node = NODE.get()
        return EPOCH_US + self.now_us - START_US + (node.offset_us if node else 0)

    # --- scheduling ---

    def call_soon(
        self,
        callback: Callable[..., Any],
        *args: Any,  # noqa: ANN401
        context: Context | None = None,
    ) -> events.Handle:
        handle = events.Handle(callback, args, self, context or copy_context())
        self.ready.append(handle)
        return handle

    def call_soon_threadsafe(self, *args: Any, **more: Any) -> NoReturn:  # noqa: ANN401
        raise SimulationError("a thread: call_soon_threadsafe")

    def call_later(
        self,
        delay: float,
        callback: Callable[..., Any],
        *args: Any,  # noqa: ANN401
        context: Context | None = None,
    ) -> events.TimerHandle:
        node = NODE.get()
        rate = node.rate if node else 1.0
        return self.call_at(self.time() + delay / rate, callback, *args, context=context)

    def call_at(
        self,
        when: float,
        callback: Callable[..., Any],
        *args: Any,  # noqa: ANN401
        context: Context | None = None,
    ) -> events.TimerHandle:
        handle = events.TimerHandle(when, callback, args, self, context or copy_context())
        self.push(max(self.now_us, math.ceil(round(when * S, 3))), handle)
        return handle

    def push(self, when_us: int, handle: events.TimerHandle) -> None:
        self.serial += 1
        tie = self.random.getrandbits(16) if self.shuffle else 0
        heapq.heappush(self.timers, (when_us, tie, self.serial, handle))

    def at(
        self,
        when_us: int,
        node: Node | None,
        callback: Callable[..., Any],
        *args: Any,  # noqa: ANN401
    ) -> events.TimerHandle:
        """A callback in a node's context at a time."""
        context = node.context if node else OUTSIDE
        handle = events.TimerHandle(when_us / S, callback, args, self, context)
        self.push(max(self.now_us, when_us), handle)
        return handle

    def soon(self, node: Node | None, callback: Callable[..., Any], *args: Any) -> events.Handle:  # noqa: ANN401
        return self.call_soon(callback, *args, context=node.context if node else OUTSIDE)

    def _timer_handle_cancelled(self, handle: events.TimerHandle) -> None:
        """asyncio's handles call this; the heap passes over what is cancelled."""

    # --- running ---

    def run_once(self) -> None:
        """The next callback; time goes on where nothing is ready."""
        timers = self.timers
        if not self.ready:
            if not timers:
                raise SimulationError("nothing will ever happen again, and something is still waited for")
            if timers[0][0] > self.now_us:
                self.now_us, self.at_once = timers[0][0], 0
        while timers and timers[0][0] <= self.now_us:
            self.ready.append(heapq.heappop(timers)[3])
        self.dispatch(self.ready.popleft())

    def dispatch(self, handle: events.Handle) -> None:
        if handle._cancelled:
            return
        node: Node | None = handle._context.get(NODE)
        if node is None:
            self.execute(handle, None)
        elif not node.alive:
            return
        elif node.stopped or node.cost_us:
            node.queue.append(handle)
            self.pump(node)
        else:
            self.execute(handle, node)

    def pump(self, node: Node) -> None:
        """See to it that what a busy node has to do is done in order, one after another."""
        if node.queue and not node.pumping and not node.stopped:
            node.pumping = True
            self.at(node.busy_until_us, None, self.work, node)

    def work(self, node: Node) -> None:
        node.pumping = False
        if not node.alive or node.stopped or not node.queue:
            return
        handle = node.queue.popleft()
        if not handle._cancelled:
            node.busy_until_us = max(node.busy_until_us, self.now_us) + node.cost_us
            self.execute(handle, node)
        self.pump(node)

    def execute(self, handle: events.Handle, node: Node | None) -> None:
        self.callbacks += 1
        self.at_once += 1
        if self.at_once > FREE_CALLBACKS * self.scale:
            self.now_us += 1
        if self.now_us - self.window_us >= WINDOW_US:
            self.window_us, self.window_callbacks = self.now_us, self.callbacks
        elif self.callbacks - self.window_callbacks > MOST_IN_WINDOW * self.scale:
            most = MOST_IN_WINDOW * self.scale
            self.fail(f"{most} callbacks within {WINDOW_US // 1000} ms; now {name_of(handle)}")
        if node:
            node.callbacks += 1
            if self.before:
                self.before(node)
                if not node.alive:
                    return
        line = f"{self.now_us} {node.name if node else '-'} {name_of(handle)}\n"
        self.digest.update(line.encode())
        if self.trace is not None and len(self.trace) < MOST_TRACE:
            self.trace.append(line)
        handle._run()
        if self.fatal:
            raise self.fatal

    def fail(self, text: str) -> NoReturn:
        """End the world: the program did what it must not."""
        self.fatal = SimulationError(text)
        raise self.fatal

    def run_forever(self) -> None:
        self.begin()
        try:
            while not self.stopping:
                self.run_once()
        finally:
            self.end()

    def begin(self) -> None:
        if self.running:
            raise RuntimeError("this loop is running")
        self.running, self.stopping = True, False
        events._set_running_loop(self)

    def end(self) -> None:
        self.running = False
        events._set_running_loop(None)

    def run_until_complete(
        self, future: Generator[Any, None, Any] | Coroutine[Any, Any, Any] | asyncio.Future[Any]
    ) -> Any:  # noqa: ANN401
        task = asyncio.ensure_future(future, loop=self)
        self.begin()
        try:
            while not task.done():
                self.run_once()
        finally:
            self.end()
        return task.result()

    def stop(self) -> None:
        self.stopping = True

    def is_running(self) -> bool:
        return self.running

    def is_closed(self) -> bool:
        return self.closed

    def close(self) -> None:
        self.closed = True
        for task in self.kept:
            task._log_destroy_pending = False
        self.ready.clear()
        self.timers.clear()

    async def shutdown_asyncgens(self) -> None:
        return None

    async def shutdown_default_executor(self, timeout: float | None = None) -> None:
        return None

    # --- futures, tasks, errors ---

    def create_future(self) -> asyncio.Future[Any]:
        return asyncio.Future(loop=self)

    def create_task(
        self,
        coro: Any,  # noqa: ANN401
        *,
        name: str | None = None,
        context: Context | None = None,
    ) -> asyncio.Task[Any]:
        task: asyncio.Task[Any] = asyncio.Task(coro, loop=self, name=name or "", context=context)
        if node := NODE.get():
            node.tasks.append(task)
            if len(node.tasks) > 4096:
                node.tasks = [each for each in node.tasks if not each.done()]
        return task

    def get_debug(self) -> bool:
        return False

    def set_debug(self, enabled: bool) -> None:
        return None

    def set_exception_handler(self, handler: Any) -> None:  # noqa: ANN401
        self.handler = handler

    def default_exception_handler(self, context: dict[str, Any]) -> None:
        error = context.get("exception")
        text = "".join(traceback.format_exception(error)) if error else ""
        self.troubles.append(f"{context.get('message')}: {text}")

    def call_exception_handler(self, context: dict[str, Any]) -> None:
        if self.fatal:
            raise self.fatal
        if self.handler:
            self.handler(self, context)
        else:
            self.default_exception_handler(context)

    # --- what a simulation has not ---

    def run_in_executor(self, *args: Any) -> NoReturn:  # noqa: ANN401
        raise SimulationError("a thread: run_in_executor")

    # --- nodes ---

    def spawn_in(self, node: Node | None, coro: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """A task of a node."""
        context = (node.context if node else OUTSIDE).copy()  # one that nobody is in now
        return context.run(self.create_task, coro, context=context)

    def new_node(self, name: str, **more: Any) -> Node:  # noqa: ANN401
        node = Node(name, **more)
        node.context.run(NODE.set, node)
        return node

    def kill(self, node: Node) -> None:
        """It runs nothing more from this very callback on; what it held is the kernel's to close."""
        if not node.alive:
            return
        node.alive = False
        node.queue.clear()
        self.kept += [task for task in node.tasks if not task.done()]
        node.tasks.clear()
        if self.network:
            self.network.close_all(node)

    def stop_node(self, node: Node) -> None:
        node.stopped = True

    def continue_node(self, node: Node) -> None:
        node.stopped = False
        node.busy_until_us = max(node.busy_until_us, self.now_us)
        if node.cost_us:
            self.pump(node)
        else:
            waiting, node.queue = node.queue, deque()
            self.ready.extend(waiting)

    def add_signal_handler(self, sig: int, callback: Callable[..., object], *args: Any) -> None:  # noqa: ANN401
        if node := NODE.get():
            node.signals[sig] = callback, args

    def remove_signal_handler(self, sig: int) -> bool:
        node = NODE.get()
        return bool(node and node.signals.pop(sig, None))

    def signal(self, node: Node, number: int) -> None:
        """A signal to a node; one without a handler kills it, but for SIGHUP before the start is over."""
        if number == signal.SIGHUP and number not in node.signals:
            return
        if number not in node.signals:
            self.kill(node)
            return
        callback, args = node.signals[number]
        self.soon(node, callback, *args)

    # --- the network's part ---

    def add_reader(self, fd: Any, callback: Callable[..., Any], *args: Any) -> None:  # noqa: ANN401
        fd.on_readable(callback, args)

    def remove_reader(self, fd: Any) -> bool:  # noqa: ANN401
        return bool(fd.on_readable(None, ()))

    async def create_connection(
        self,
        protocol_factory: Any,  # noqa: ANN401
        host: Any = None,  # noqa: ANN401
        port: Any = None,  # noqa: ANN401
        **more: Any,  # noqa: ANN401
    ) -> Any:  # noqa: ANN401
        return await self.network.connect(protocol_factory, (host, port), more)

    async def connect_accepted_socket(self, protocol_factory: Any, sock: Any, **more: Any) -> Any:  # noqa: ANN401
        return await self.network.adopt(protocol_factory, sock)

    async def create_server(
        self,
        protocol_factory: Any,  # noqa: ANN401
        host: Any = None,  # noqa: ANN401
        port: Any = None,  # noqa: ANN401
        **more: Any,  # noqa: ANN401
    ) -> Any:  # noqa: ANN401
        return self.network.serve(protocol_factory, (host, port))

    async def create_datagram_endpoint(
        self,
        protocol_factory: Any,  # noqa: ANN401
        local_addr: Any = None,  # noqa: ANN401
        **more: Any,  # noqa: ANN401
    ) -> Any:  # noqa: ANN401
        return self.network.datagrams(protocol_factory, local_addr)


OUTSIDE = Context()  # of the rig: in no node


class SpinWatch:
    """Ends a world in which one callback takes for ever: looks now and then whether any has ended."""

    def __init__(self, loop: SimLoop) -> None:
        self.loop, self.seen = loop, -1

    def __call__(self, signum: int, frame: FrameType | None) -> None:
        if self.loop.callbacks == self.seen and frame:
            place = traceback.extract_stack(frame)[-1]
            self.loop.fail(f"a callback spins in {place.name}, line {place.lineno}: {place.line}")
        self.seen = self.loop.callbacks
