"""A stand-in server that behaves as the protocol describes a backend; it does no I/O and is given the time.

It models cores, a queue, slow start, failure under overload while cold, drains, load reports, and the
deduplication store of keyed requests that the servers of one zone share. The work of each command is given
with it, so that the same seed gives the same run.
"""

import heapq
from collections import OrderedDict, deque
from dataclasses import dataclass, field

from rig.facts import Arrived, Fact, Fell, Ran, Repeat, Started, TurnedAway

US_PER_S = 1_000_000
MAX_STORED_KEYS = 100_000  # of a deduplication store; the oldest are dropped first
LATENCY_SMOOTHING = 0.2  # weight of a new service time in the reported mean
UTILIZATION_WINDOW_US = 1 * US_PER_S  # over which the share of busy cores is reported
COLD_OVERLOAD_SLACK = 0.1  # added to the load that a cold server bears, for random variation
BUSY = b"-BUSY"


@dataclass(frozen=True, slots=True)
class MemberSpec:
    """Capacity and behaviour of a server; front doors are not given it."""

    cores: int = 2
    queue: int = 32  # requests that may wait; further ones are rejected
    connections: int = 64
    cold_from: float = 0.25
    warm_us: int = 8 * US_PER_S
    fall_multiple: float = 2.5
    fall_us: int = 1 * US_PER_S
    idle_us: int = 30 * US_PER_S
    report_every_us: int = 200_000
    drop_waiting: bool = True  # drop queued work when its connection ends


@dataclass(slots=True)
class DeduplicationStore:
    """The results of keyed requests, shared by the servers of one zone and kept for a window each."""

    window_us: int
    values: OrderedDict[tuple[str, str], tuple[int, bytes]] = field(default_factory=OrderedDict)

    def remember(self, now_us: int, customer: str, key: str, value: bytes) -> None:
        """Store the result of a keyed request, and drop expired ones."""
        self.values[customer, key] = now_us, value
        while self.values and (
            len(self.values) > MAX_STORED_KEYS
            or next(iter(self.values.values()))[0] < now_us - self.window_us
        ):
            self.values.popitem(last=False)

    def find(self, now_us: int, customer: str, key: str) -> bytes | None:
        """The stored result of a keyed request, unless it has expired."""
        found = self.values.get((customer, key))
        return found[1] if found and found[0] >= now_us - self.window_us else None


# --- events and actions ---


@dataclass(frozen=True, slots=True)
class Command:
    """A complete command arrived on a connection from `door`."""

    connection: int
    door: str
    id: str
    customer: str
    key: str  # empty unless keyed
    units: str
    first_us: int  # when its first byte arrived
    work_us: int


@dataclass(frozen=True, slots=True)
class Closed:
    """A connection ended."""

    connection: int


@dataclass(frozen=True, slots=True)
class Tick:
    """The time returned by `next_us` is reached."""


@dataclass(frozen=True, slots=True)
class SetDraining:
    """The server starts or ends a drain."""

    on: bool


@dataclass(frozen=True, slots=True)
class SetSlow:
    """Service times are multiplied by `factor` from now on."""

    factor: float


@dataclass(frozen=True, slots=True)
class Start:
    """The process restarts; a cold one is slow at first."""

    cold: bool


Event = Command | Closed | Tick | SetDraining | SetSlow | Start


@dataclass(frozen=True, slots=True)
class Reply:
    """Write bytes to a connection."""

    connection: int
    data: bytes


@dataclass(frozen=True, slots=True)
class Crash:
    """The server has failed: close its listeners and connections."""


Action = Reply | Crash


@dataclass(slots=True)
class _Job:
    command: Command
    value: bytes
    begun_us: int = 0


class Member:
    """The state of one server. Source: PROTOCOL, "Front doors to backends" and "The network"."""

    def __init__(self, name: str, zone: str, spec: MemberSpec, store: DeduplicationStore) -> None:
        self.name, self.zone, self.spec, self.store = name, zone, spec, store
        self.facts: list[Fact] = []  # what happened at this server, for the auditor
        self.serial = 0
        self.reset(0, cold=False)

    def reset(self, now_us: int, cold: bool) -> None:
        """Set the state of a process that starts now."""
        self.started_us, self.cold = now_us, cold
        self.draining, self.fallen, self.slowdown = False, False, 1.0
        self.running: list[tuple[int, int, _Job]] = []  # heap of (end time, serial, job)
        self.waiting: deque[_Job] = deque()
        self.abandoned: set[int] = set()  # serials of running jobs whose connection has ended
        self.cold_arrivals: deque[tuple[int, int]] = deque()  # (time, work) that arrived while it was cold
        self.cold_work_us = 0
        self.busy_us = 0.0  # summed over all cores, since `window_us`
        self.utilization, self.accounted_us, self.window_us = 0.0, now_us, now_us
        self.latency_us, self.report, self.report_us = 0.0, b"", -US_PER_S

    # --- capacity ---

    def warmth(self, now_us: int) -> float:
        """The available share of capacity, which grows linearly from the cold share to 1."""
        if not self.cold:
            return 1.0
        progress = min(1.0, (now_us - self.started_us) / self.spec.warm_us)
        return self.spec.cold_from + (1 - self.spec.cold_from) * progress

    def capacity_us(self, now_us: int) -> float:
        """The work that it can do in an overload window, by its warmth in the middle of the last window."""
        middle_us = max(self.started_us, now_us - self.spec.fall_us // 2)
        return self.spec.cores * self.warmth(middle_us) * self.spec.fall_us

    def overloads(self, now_us: int, work_us: int) -> bool:
        """Count arriving work; returns whether it overloads a cold server."""
        if self.warmth(now_us) >= 1.0:
            return False
        self.cold_arrivals.append((now_us, work_us))
        self.cold_work_us += work_us
        while self.cold_arrivals[0][0] <= now_us - self.spec.fall_us:
            self.cold_work_us -= self.cold_arrivals.popleft()[1]
        limit_us = self.spec.fall_multiple * self.capacity_us(now_us) * (1 + COLD_OVERLOAD_SLACK)
        return self.cold_work_us > limit_us

    # --- events ---

    def handle(self, now_us: int, event: Event) -> list[Action]:
        """Handle one event at `now_us` and return the actions to carry out, in order."""
        self.account_busy_time(now_us)
        match event:
            case Command():
                return self.on_command(now_us, event)
            case Closed():
                return self.on_closed(now_us, event.connection)
            case Tick():
                return self.complete_due(now_us)
            case SetDraining():
                self.draining = event.on
            case SetSlow():
                self.slowdown = event.factor
            case Start():
                self.reset(now_us, event.cold)
                cold_from = self.spec.cold_from if event.cold else 1.0
                self.facts.append(
                    Started(now_us, self.name, float(self.spec.cores), cold_from, self.spec.warm_us)
                )
        return []

    def next_us(self) -> int | None:
        """When the next Tick is due, if any."""
        return self.running[0][0] if self.running and not self.fallen else None

    def on_command(self, now_us: int, command: Command) -> list[Action]:
        """Execute, queue or reject a command, or fail if it overloads a cold server."""
        self.facts.append(
            Arrived(now_us, command.id, self.name, self.zone, command.door, command.first_us, command.work_us)
        )
        if self.fallen:
            return []
        if self.overloads(now_us, command.work_us):
            self.fallen = True
            self.facts.append(Fell(now_us, self.name, self.cold_work_us, round(self.capacity_us(now_us))))
            return [Crash()]
        if self.draining or len(self.waiting) >= self.spec.queue:
            self.facts.append(TurnedAway(now_us, command.id, self.name, command.door))
            return [Reply(command.connection, BUSY + self.load_suffix(now_us) + b"\r\n")]
        job = _Job(command, b"")
        if len(self.running) < self.spec.cores:
            return self.execute(now_us, job)
        self.waiting.append(job)
        return []

    def execute(self, now_us: int, job: _Job) -> list[Action]:
        """Start a job, which has its effect from now on, unless it repeats a stored keyed request."""
        command = job.command
        job.begun_us = now_us
        self.serial += 1
        stored = self.store.find(now_us, command.customer, command.key) if command.key else None
        if stored is not None:
            self.facts.append(Repeat(now_us, command.id, self.name, command.door, command.key, stored))
            return [Reply(command.connection, self.answer(now_us, stored))]
        job.value = b"%b.%d.%b" % (self.name.encode(), self.serial, command.id.encode())
        self.facts.append(
            Ran(
                now_us,
                command.id,
                self.name,
                command.door,
                command.customer,
                command.units,
                command.key,
                job.value,
            )
        )
        if command.key:
            self.store.remember(now_us, command.customer, command.key, job.value)
        took_us = round(command.work_us * self.slowdown / self.warmth(now_us))
        heapq.heappush(self.running, (now_us + max(1, took_us), self.serial, job))
        return []

    def on_closed(self, now_us: int, connection: int) -> list[Action]:
        """Abandon the connection's running jobs, which still complete, and drop its queued ones if so set."""
        for _, serial, job in self.running:
            if job.command.connection == connection:
                self.abandoned.add(serial)
        if self.spec.drop_waiting:
            self.waiting = deque(job for job in self.waiting if job.command.connection != connection)
        return []

    def complete_due(self, now_us: int) -> list[Action]:
        """Answer the jobs that are complete, and start queued ones."""
        actions: list[Action] = []
        while self.running and self.running[0][0] <= now_us and not self.fallen:
            _, serial, job = heapq.heappop(self.running)
            took_us = now_us - job.begun_us
            self.latency_us += LATENCY_SMOOTHING * (took_us - self.latency_us) if self.latency_us else took_us
            if serial in self.abandoned:
                self.abandoned.discard(serial)
            else:
                actions.append(Reply(job.command.connection, self.answer(now_us, job.value)))
            while self.waiting and len(self.running) < self.spec.cores:
                actions += self.execute(now_us, self.waiting.popleft())
        return actions

    # --- load reports ---

    def account_busy_time(self, now_us: int) -> None:
        """Add the busy time of the cores since the last event."""
        self.busy_us += len(self.running) * (now_us - self.accounted_us)
        self.accounted_us = now_us
        if now_us - self.window_us >= UTILIZATION_WINDOW_US // 4:
            utilization = self.busy_us / (self.spec.cores * (now_us - self.window_us))
            self.utilization += (utilization - self.utilization) / 2
            self.busy_us, self.window_us = 0.0, now_us

    def load_report(self, now_us: int) -> bytes:
        """The current load report, renewed at intervals."""
        if now_us - self.report_us >= self.spec.report_every_us:
            self.report_us = now_us
            self.report = b"util=%.3f,latency_ms=%.1f" % (min(1.0, self.utilization), self.latency_us / 1000)
        return self.report

    def load_suffix(self, now_us: int) -> bytes:
        """The load report as the rest of a `-BUSY` reply."""
        return b" " + self.load_report(now_us)

    def answer(self, now_us: int, value: bytes) -> bytes:
        """The reply to an executed command: its value and the load report."""
        report = self.load_report(now_us)
        return b"*3\r\n$%d\r\n%b\r\n$-1\r\n$%d\r\n%b\r\n" % (len(value), value, len(report), report)
