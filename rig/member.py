"""A member server, as the protocol describes a backend: a core that is told the time.

It holds cores, a queue, a cold start and its end, falling over when it is pushed while cold, a drain, load
reports, and the memory of keyed requests that the servers of one building share. Work is told with each
command, so that the same seed gives the same day.
"""

import heapq
from collections import OrderedDict, deque
from dataclasses import dataclass, field

from rig.facts import Arrived, Fact, Fell, Ran, Repeat, Started, TurnedAway

S = 1_000_000
MOST_KEYS = 100_000  # that a building remembers; the oldest goes first
LATENCY_PART = 0.2  # weight of a new service time in the mean that is reported
UTIL_US = 1 * S  # over which the share of busy cores is reported
COLD_SLACK = 0.1  # for chance, on top of what a cold server bears
BUSY = b"-BUSY"


@dataclass(frozen=True, slots=True)
class MemberSpec:
    """What a server can do; the front doors are told none of it."""

    cores: int = 2
    queue: int = 32  # requests that wait; more are turned away
    connections: int = 64
    cold_from: float = 0.25
    warm_us: int = 8 * S
    fall_multiple: float = 2.5
    fall_us: int = 1 * S
    idle_us: int = 30 * S
    report_every_us: int = 200_000
    drop_waiting: bool = True  # work that waits is dropped when its connection ends


@dataclass(slots=True)
class Building:
    """What the servers of one zone remember together of keyed requests, each for a window."""

    window_us: int
    values: OrderedDict[tuple[str, str], tuple[int, bytes]] = field(default_factory=OrderedDict)

    def remember(self, now_us: int, customer: str, key: str, value: bytes) -> None:
        self.values[customer, key] = now_us, value
        while self.values and (
            len(self.values) > MOST_KEYS or next(iter(self.values.values()))[0] < now_us - self.window_us
        ):
            self.values.popitem(last=False)

    def find(self, now_us: int, customer: str, key: str) -> bytes | None:
        found = self.values.get((customer, key))
        return found[1] if found and found[0] >= now_us - self.window_us else None


# --- what comes in, and what goes out ---


@dataclass(frozen=True, slots=True)
class Command:
    """A whole command came on a connection of `door`."""

    connection: int
    door: str
    id: str
    customer: str
    key: str  # empty unless keyed
    units: str
    first_us: int  # when its first byte came
    work_us: int


@dataclass(frozen=True, slots=True)
class Closed:
    """A connection ended."""

    connection: int


@dataclass(frozen=True, slots=True)
class Tick:
    """The time that `next_us` gave has come."""


@dataclass(frozen=True, slots=True)
class SetDraining:
    on: bool


@dataclass(frozen=True, slots=True)
class SetSlow:
    """Everything takes this many times as long."""

    times: float


@dataclass(frozen=True, slots=True)
class Start:
    """The process starts anew; a cold one is slow at first."""

    cold: bool


Event = Command | Closed | Tick | SetDraining | SetSlow | Start


@dataclass(frozen=True, slots=True)
class Reply:
    """Bytes for a connection."""

    connection: int
    data: bytes


@dataclass(frozen=True, slots=True)
class Die:
    """It has fallen over: it listens no more and ends its connections."""


Action = Reply | Die


@dataclass(slots=True)
class _Work:
    command: Command
    value: bytes
    begun_us: int = 0


class Member:
    """One server. Source: PROTOCOL, "Front doors to backends" and "The network"."""

    def __init__(self, name: str, zone: str, spec: MemberSpec, building: Building) -> None:
        self.name, self.zone, self.spec, self.building = name, zone, spec, building
        self.notes: list[Fact] = []  # its journal, for whoever collects it
        self.serial = 0
        self.begin(0, cold=False)

    def begin(self, now_us: int, cold: bool) -> None:
        self.started_us, self.cold = now_us, cold
        self.draining, self.fallen, self.times = False, False, 1.0
        self.running: list[tuple[int, int, _Work]] = []  # by the time of their end
        self.waiting: deque[_Work] = deque()
        self.gone: set[int] = set()  # serials of running work whose connection has ended
        self.pushed: deque[tuple[int, int]] = deque()  # when work came and how much, while it was cold
        self.pushed_us = 0
        self.busy_us = 0.0  # of all cores, since `seen_us`
        self.util, self.seen_us, self.window_us = 0.0, now_us, now_us
        self.latency_us, self.report, self.report_us = 0.0, b"", -S

    # --- capacity ---

    def warmth(self, now_us: int) -> float:
        """The share of its capacity that it has: from the cold share up to all, evenly with time."""
        if not self.cold:
            return 1.0
        part = min(1.0, (now_us - self.started_us) / self.spec.warm_us)
        return self.spec.cold_from + (1 - self.spec.cold_from) * part

    def able_us(self, now_us: int) -> float:
        """The work that it can do in a window, going by its warmth in the middle of the one up to now."""
        middle_us = max(self.started_us, now_us - self.spec.fall_us // 2)
        return self.spec.cores * self.warmth(middle_us) * self.spec.fall_us

    def push(self, now_us: int, work_us: int) -> bool:
        """Count work that reaches it; whether that is too much for a cold one."""
        if self.warmth(now_us) >= 1.0:
            return False
        self.pushed.append((now_us, work_us))
        self.pushed_us += work_us
        while self.pushed[0][0] <= now_us - self.spec.fall_us:
            self.pushed_us -= self.pushed.popleft()[1]
        bears = self.spec.fall_multiple * self.able_us(now_us) * (1 + COLD_SLACK)
        return self.pushed_us > bears

    # --- events ---

    def handle(self, now_us: int, event: Event) -> list[Action]:
        """Take one event at `now_us` (microseconds) and return what is to be done, in order."""
        self.account(now_us)
        match event:
            case Command():
                return self.on_command(now_us, event)
            case Closed():
                return self.on_closed(now_us, event.connection)
            case Tick():
                return self.finish_due(now_us)
            case SetDraining():
                self.draining = event.on
            case SetSlow():
                self.times = event.times
            case Start():
                self.begin(now_us, event.cold)
                cold_from = self.spec.cold_from if event.cold else 1.0
                self.notes.append(
                    Started(now_us, self.name, float(self.spec.cores), cold_from, self.spec.warm_us)
                )
        return []

    def next_us(self) -> int | None:
        """When a Tick is due."""
        return self.running[0][0] if self.running and not self.fallen else None

    def on_command(self, now_us: int, command: Command) -> list[Action]:
        self.notes.append(
            Arrived(now_us, command.id, self.name, self.zone, command.door, command.first_us, command.work_us)
        )
        if self.fallen:
            return []
        if self.push(now_us, command.work_us):
            self.fallen = True
            self.notes.append(Fell(now_us, self.name, self.pushed_us, round(self.able_us(now_us))))
            return [Die()]
        if self.draining or len(self.waiting) >= self.spec.queue:
            self.notes.append(TurnedAway(now_us, command.id, self.name, command.door))
            return [Reply(command.connection, BUSY + self.load_word(now_us) + b"\r\n")]
        work = _Work(command, b"")
        if len(self.running) < self.spec.cores:
            return self.run(now_us, work)
        self.waiting.append(work)
        return []

    def run(self, now_us: int, work: _Work) -> list[Action]:
        """Begin: from here on it has an effect, or is known as the repeat of one that had."""
        command = work.command
        work.begun_us = now_us
        self.serial += 1
        known = self.building.find(now_us, command.customer, command.key) if command.key else None
        if known is not None:
            self.notes.append(Repeat(now_us, command.id, self.name, command.door, command.key, known))
            return [Reply(command.connection, self.answer(now_us, known))]
        work.value = b"%b.%d.%b" % (self.name.encode(), self.serial, command.id.encode())
        self.notes.append(
            Ran(
                now_us,
                command.id,
                self.name,
                command.door,
                command.customer,
                command.units,
                command.key,
                work.value,
            )
        )
        if command.key:
            self.building.remember(now_us, command.customer, command.key, work.value)
        took_us = round(command.work_us * self.times / self.warmth(now_us))
        heapq.heappush(self.running, (now_us + max(1, took_us), self.serial, work))
        return []

    def on_closed(self, now_us: int, connection: int) -> list[Action]:
        """Running work goes on, and nobody hears of it; waiting work may be dropped."""
        for _, serial, work in self.running:
            if work.command.connection == connection:
                self.gone.add(serial)
        if self.spec.drop_waiting:
            self.waiting = deque(work for work in self.waiting if work.command.connection != connection)
        return []

    def finish_due(self, now_us: int) -> list[Action]:
        actions: list[Action] = []
        while self.running and self.running[0][0] <= now_us and not self.fallen:
            _, serial, work = heapq.heappop(self.running)
            took_us = now_us - work.begun_us
            self.latency_us += LATENCY_PART * (took_us - self.latency_us) if self.latency_us else took_us
            if serial in self.gone:
                self.gone.discard(serial)
            else:
                actions.append(Reply(work.command.connection, self.answer(now_us, work.value)))
            while self.waiting and len(self.running) < self.spec.cores:
                actions += self.run(now_us, self.waiting.popleft())
        return actions

    # --- load reports ---

    def account(self, now_us: int) -> None:
        """Count how busy the cores were since the last event."""
        self.busy_us += len(self.running) * (now_us - self.seen_us)
        self.seen_us = now_us
        if now_us - self.window_us >= UTIL_US // 4:
            util = self.busy_us / (self.spec.cores * (now_us - self.window_us))
            self.util += (util - self.util) / 2
            self.busy_us, self.window_us = 0.0, now_us

    def load(self, now_us: int) -> bytes:
        if now_us - self.report_us >= self.spec.report_every_us:
            self.report_us = now_us
            self.report = b"util=%.3f,latency_ms=%.1f" % (min(1.0, self.util), self.latency_us / 1000)
        return self.report

    def load_word(self, now_us: int) -> bytes:
        return b" " + self.load(now_us)

    def answer(self, now_us: int, value: bytes) -> bytes:
        report = self.load(now_us)
        return b"*3\r\n$%d\r\n%b\r\n$-1\r\n$%d\r\n%b\r\n" % (len(value), value, len(report), report)
