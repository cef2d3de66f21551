"""An asyncio event loop on virtual time, and the nodes (processes) that share it.

Implements the abstract event loop of PEP 3156 with a queue of ready callbacks and a heap of timers; when
nothing is ready, time jumps to the next timer. It does not subclass `asyncio.BaseEventLoop` with a selector
that never waits, as looptime does: that would keep a self-pipe and thread hooks, which a simulation must not
have, and give no control over the order of timers due at the same time.

Every callback belongs to a node, which is found through the callback's context. A killed node runs no further
callbacks. A stopped node runs its pending callbacks when it continues. With a cost per callback, a node falls
behind under load as a real process does.
"""

# mypy: disable-error-code="override,type-var,union-attr,attr-defined"
# asyncio's abstract loop is typed for real files and threads, and its handles keep what a loop needs private.

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

SECOND_US = 1_000_000
START_US = 1_000 * SECOND_US  # initial monotonic time
EPOCH_US = 1_700_000_000 * SECOND_US  # Unix time at START_US
WINDOW_US = 100_000
MAX_CALLBACKS_PER_WINDOW = 90_000  # per WINDOW_US of virtual time; more means an endless loop
# Per microsecond; each further callback advances time by 1 us, so that a busy wait sees time pass.
MAX_CALLBACKS_PER_INSTANT = 2_000
SPIN_TIMEOUT_S = 10.0  # real time in which no callback starts
MAX_TRACE_LINES = 2_000_000


class SimulationError(BaseException):
    """The simulated program made a forbidden call or is stuck; not caught by `except Exception`."""


@dataclass(eq=False, slots=True)
class Node:
    """A simulated process, with its clocks, pending callbacks, tasks and signal handlers."""

    name: str
    alive: bool = True
    stopped: bool = False
    offset_us: int = 0  # added to both clocks
    rate: float = 1.0  # speed of the monotonic clock
    cost_us: int = 0  # virtual time that each callback takes
    busy_until_us: int = 0
    queue: deque[events.Handle] = field(default_factory=deque)  # callbacks due while it is busy or stopped
    queue_scheduled: bool = False
    signals: dict[int, tuple[Callable[..., object], tuple[Any, ...]]] = field(default_factory=dict)
    tasks: list["asyncio.Task[Any]"] = field(default_factory=list)
    context: Context = field(default_factory=Context)
    callbacks: int = 0


CURRENT_NODE: ContextVar[Node | None] = ContextVar("node", default=None)


def current_node() -> Node | None:
    """The node whose callback is running."""
    return CURRENT_NODE.get()


def callback_name(handle: events.Handle) -> str:
    """The name of a callback in the trace, the same in every run."""
    callback = handle._callback
    owner = getattr(callback, "__self__", None)
    if isinstance(owner, asyncio.Task):
        return f"task {owner.get_coro().__qualname__}"
    return getattr(callback, "__qualname__", type(callback).__name__)


class SimLoop(asyncio.AbstractEventLoop):
    """The event loop that all nodes of a simulation share."""

    def __init__(self, seed: int = 0, shuffle: bool = True, trace: bool = False, scale: int = 1) -> None:
        """`shuffle` lets the seed order timers that are due at the same microsecond; `scale` multiplies the
        callback limits of endless-loop detection, for simulations larger than the default."""
        self.scale = scale
        self.random = Random(f"{seed}:loop")
        self.shuffle = shuffle
        self.now_us = START_US
        self.ready: deque[events.Handle] = deque()
        self.timers: list[tuple[int, int, int, events.TimerHandle]] = []
        self.timer_serial = 0
        self.running = self.closed = False
        self.stop_requested = False
        self.callbacks_at_instant = self.callbacks = self.callbacks_at_window_start = 0
        self.window_start_us = START_US
        self.digest = blake2b(digest_size=16)
        self.trace: list[str] | None = [] if trace else None
        self.exception_handler: Callable[[asyncio.AbstractEventLoop, dict[str, Any]], object] | None = None
        self.unhandled_errors: list[str] = []
        self.network: Any = None  # set by `sim.network`
        self.before_callback: Callable[[Node], None] | None = None  # called before each callback of a node
        # Unfinished tasks of killed nodes, kept so that they are freed with the loop.
        self.unfinished_tasks: list[asyncio.Task[Any]] = []
        self.fatal_error: SimulationError | None = None  # raised again if the program catches it

    # --- time ---

    def time(self) -> float:
        return self.now_us / SECOND_US

    def clock_us(self) -> int:
        """The monotonic clock of the current node."""
        node = CURRENT_NODE.get()
        if node is None:
            return self.now_us
        return round((self.now_us - START_US) * node.rate) + START_US + node.offset_us

    def wall_us(self) -> int:
        """The wall clock of the current node, in Unix time."""
        node = CURRENT_NODE.get()
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

    def call_soon_threadsafe(self, *args: Any, **options: Any) -> NoReturn:  # noqa: ANN401
        raise SimulationError("a thread: call_soon_threadsafe")

    def call_later(
        self,
        delay: float,
        callback: Callable[..., Any],
        *args: Any,  # noqa: ANN401
        context: Context | None = None,
    ) -> events.TimerHandle:
        node = CURRENT_NODE.get()
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
        self.push_timer(max(self.now_us, math.ceil(round(when * SECOND_US, 3))), handle)
        return handle

    def push_timer(self, when_us: int, handle: events.TimerHandle) -> None:
        """Add a timer; with `shuffle` a random number orders timers of the same microsecond."""
        self.timer_serial += 1
        tie_breaker = self.random.getrandbits(16) if self.shuffle else 0
        heapq.heappush(self.timers, (when_us, tie_breaker, self.timer_serial, handle))

    def call_at_us(
        self,
        when_us: int,
        node: Node | None,
        callback: Callable[..., Any],
        *args: Any,  # noqa: ANN401
    ) -> events.TimerHandle:
        """Call back in a node's context at a time in microseconds."""
        context = node.context if node else OUTSIDE_NODES
        handle = events.TimerHandle(when_us / SECOND_US, callback, args, self, context)
        self.push_timer(max(self.now_us, when_us), handle)
        return handle

    def call_soon_in(self, node: Node | None, callback: Callable[..., Any], *args: Any) -> events.Handle:  # noqa: ANN401
        """Call back soon in a node's context."""
        return self.call_soon(callback, *args, context=node.context if node else OUTSIDE_NODES)

    def _timer_handle_cancelled(self, handle: events.TimerHandle) -> None:
        """Called by asyncio's handles; cancelled timers stay in the heap and are skipped when due."""

    # --- running ---

    def run_once(self) -> None:
        """Run the next callback; advance time to the next timer if nothing is ready."""
        timers = self.timers
        if not self.ready:
            if not timers:
                raise SimulationError("nothing will ever happen again, and something is still waited for")
            if timers[0][0] > self.now_us:
                self.now_us, self.callbacks_at_instant = timers[0][0], 0
        while timers and timers[0][0] <= self.now_us:
            self.ready.append(heapq.heappop(timers)[3])
        self.dispatch(self.ready.popleft())

    def dispatch(self, handle: events.Handle) -> None:
        """Run a callback, or queue it if its node is busy or stopped."""
        if handle._cancelled:
            return
        node: Node | None = handle._context.get(CURRENT_NODE)
        if node is None:
            self.execute(handle, None)
        elif not node.alive:
            return
        elif node.stopped or node.cost_us:
            node.queue.append(handle)
            self.schedule_queue(node)
        else:
            self.execute(handle, node)

    def schedule_queue(self, node: Node) -> None:
        """Schedule the next queued callback of a node for when it is no longer busy."""
        if node.queue and not node.queue_scheduled and not node.stopped:
            node.queue_scheduled = True
            self.call_at_us(node.busy_until_us, None, self.run_queued, node)

    def run_queued(self, node: Node) -> None:
        """Run one queued callback of a node and schedule the next."""
        node.queue_scheduled = False
        if not node.alive or node.stopped or not node.queue:
            return
        handle = node.queue.popleft()
        if not handle._cancelled:
            node.busy_until_us = max(node.busy_until_us, self.now_us) + node.cost_us
            self.execute(handle, node)
        self.schedule_queue(node)

    def execute(self, handle: events.Handle, node: Node | None) -> None:
        """Run a callback, record it in the trace and check for endless loops."""
        self.callbacks += 1
        self.callbacks_at_instant += 1
        if self.callbacks_at_instant > MAX_CALLBACKS_PER_INSTANT * self.scale:
            self.now_us += 1
        if self.now_us - self.window_start_us >= WINDOW_US:
            self.window_start_us, self.callbacks_at_window_start = self.now_us, self.callbacks
        elif self.callbacks - self.callbacks_at_window_start > MAX_CALLBACKS_PER_WINDOW * self.scale:
            limit = MAX_CALLBACKS_PER_WINDOW * self.scale
            self.fail(f"{limit} callbacks within {WINDOW_US // 1000} ms; now {callback_name(handle)}")
        if node:
            node.callbacks += 1
            if self.before_callback:
                self.before_callback(node)
                if not node.alive:
                    return
        line = f"{self.now_us} {node.name if node else '-'} {callback_name(handle)}\n"
        self.digest.update(line.encode())
        if self.trace is not None and len(self.trace) < MAX_TRACE_LINES:
            self.trace.append(line)
        handle._run()
        if self.fatal_error:
            raise self.fatal_error

    def fail(self, text: str) -> NoReturn:
        """Abort the simulation with an error that the program cannot suppress."""
        self.fatal_error = SimulationError(text)
        raise self.fatal_error

    def run_forever(self) -> None:
        self.begin_running()
        try:
            while not self.stop_requested:
                self.run_once()
        finally:
            self.end_running()

    def begin_running(self) -> None:
        """Make this the running event loop."""
        if self.running:
            raise RuntimeError("this loop is running")
        self.running, self.stop_requested = True, False
        events._set_running_loop(self)

    def end_running(self) -> None:
        """Clear the running event loop."""
        self.running = False
        events._set_running_loop(None)

    def run_until_complete(
        self, future: Generator[Any, None, Any] | Coroutine[Any, Any, Any] | asyncio.Future[Any]
    ) -> Any:  # noqa: ANN401
        task = asyncio.ensure_future(future, loop=self)
        self.begin_running()
        try:
            while not task.done():
                self.run_once()
        finally:
            self.end_running()
        return task.result()

    def stop(self) -> None:
        self.stop_requested = True

    def is_running(self) -> bool:
        return self.running

    def is_closed(self) -> bool:
        return self.closed

    def close(self) -> None:
        self.closed = True
        for task in self.unfinished_tasks:
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
        if node := CURRENT_NODE.get():
            node.tasks.append(task)
            if len(node.tasks) > 4096:
                node.tasks = [task for task in node.tasks if not task.done()]
        return task

    def get_debug(self) -> bool:
        return False

    def set_debug(self, enabled: bool) -> None:
        return None

    def set_exception_handler(self, handler: Any) -> None:  # noqa: ANN401
        self.exception_handler = handler

    def default_exception_handler(self, context: dict[str, Any]) -> None:
        error = context.get("exception")
        text = "".join(traceback.format_exception(error)) if error else ""
        self.unhandled_errors.append(f"{context.get('message')}: {text}")

    def call_exception_handler(self, context: dict[str, Any]) -> None:
        if self.fatal_error:
            raise self.fatal_error
        if self.exception_handler:
            self.exception_handler(self, context)
        else:
            self.default_exception_handler(context)

    # --- unsupported ---

    def run_in_executor(self, *args: Any) -> NoReturn:  # noqa: ANN401
        raise SimulationError("a thread: run_in_executor")

    # --- nodes ---

    def spawn_in(self, node: Node | None, coro: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Start a task in a node."""
        context = (node.context if node else OUTSIDE_NODES).copy()  # a context cannot be entered twice
        return context.run(self.create_task, coro, context=context)

    def new_node(self, name: str, **options: Any) -> Node:  # noqa: ANN401
        """Create a node whose context identifies it."""
        node = Node(name, **options)
        node.context.run(CURRENT_NODE.set, node)
        return node

    def kill(self, node: Node) -> None:
        """Discard all callbacks of the node, and let the network close its descriptors."""
        if not node.alive:
            return
        node.alive = False
        node.queue.clear()
        self.unfinished_tasks += [task for task in node.tasks if not task.done()]
        node.tasks.clear()
        if self.network:
            self.network.close_all(node)

    def stop_node(self, node: Node) -> None:
        """Pause a node, as SIGSTOP does."""
        node.stopped = True

    def continue_node(self, node: Node) -> None:
        """Resume a stopped node with its pending callbacks."""
        node.stopped = False
        node.busy_until_us = max(node.busy_until_us, self.now_us)
        if node.cost_us:
            self.schedule_queue(node)
        else:
            pending, node.queue = node.queue, deque()
            self.ready.extend(pending)

    def add_signal_handler(self, sig: int, callback: Callable[..., object], *args: Any) -> None:  # noqa: ANN401
        if node := CURRENT_NODE.get():
            node.signals[sig] = callback, args

    def remove_signal_handler(self, sig: int) -> bool:
        node = CURRENT_NODE.get()
        return bool(node and node.signals.pop(sig, None))

    def signal(self, node: Node, number: int) -> None:
        """Send a signal to a node; one without a handler kills it, except SIGHUP, which is ignored."""
        if number == signal.SIGHUP and number not in node.signals:
            return
        if number not in node.signals:
            self.kill(node)
            return
        callback, args = node.signals[number]
        self.call_soon_in(node, callback, *args)

    # --- network ---

    def add_reader(self, fd: Any, callback: Callable[..., Any], *args: Any) -> None:  # noqa: ANN401
        fd.on_readable(callback, args)

    def remove_reader(self, fd: Any) -> bool:  # noqa: ANN401
        return bool(fd.on_readable(None, ()))

    async def create_connection(
        self,
        protocol_factory: Any,  # noqa: ANN401
        host: Any = None,  # noqa: ANN401
        port: Any = None,  # noqa: ANN401
        **options: Any,  # noqa: ANN401
    ) -> Any:  # noqa: ANN401
        return await self.network.connect(protocol_factory, (host, port), options)

    async def connect_accepted_socket(self, protocol_factory: Any, sock: Any, **options: Any) -> Any:  # noqa: ANN401
        return await self.network.wrap_accepted(protocol_factory, sock)

    async def create_server(
        self,
        protocol_factory: Any,  # noqa: ANN401
        host: Any = None,  # noqa: ANN401
        port: Any = None,  # noqa: ANN401
        **options: Any,  # noqa: ANN401
    ) -> Any:  # noqa: ANN401
        return self.network.serve(protocol_factory, (host, port))

    async def create_datagram_endpoint(
        self,
        protocol_factory: Any,  # noqa: ANN401
        local_addr: Any = None,  # noqa: ANN401
        **options: Any,  # noqa: ANN401
    ) -> Any:  # noqa: ANN401
        return self.network.bind_datagrams(protocol_factory, local_addr)


OUTSIDE_NODES = Context()  # for callbacks that belong to no node


class SpinDetector:
    """A signal handler that aborts the simulation if no callback has started since the last signal."""

    def __init__(self, loop: SimLoop) -> None:
        self.loop, self.last_callbacks = loop, -1

    def __call__(self, signum: int, frame: FrameType | None) -> None:
        if self.loop.callbacks == self.last_callbacks and frame:
            frame_summary = traceback.extract_stack(frame)[-1]
            self.loop.fail(
                f"a callback spins in {frame_summary.name}, line {frame_summary.lineno}: {frame_summary.line}"
            )
        self.last_callbacks = self.loop.callbacks
