"""Clients on sockets: open arrivals, pools of connections, retries, and some that leave early."""

import asyncio
import contextlib
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any, cast

import hiredis

from rig.clock import now_us
from rig.facts import Answered, Asked, Ended, Extra, Fact, Kind, Left
from rig.front import Front
from rig.sockets import Address
from rig.workload import Arrival, work_us

MOST_TRIES = 4
CONNECT_S = 1.0
KEPT_US = 1_500_000  # a connection that rested for longer is not used again: a door keeps it for 2 s at least
MOST_KEPT = 64  # for each front door
LATE_US = 600_000  # how much longer than its time a client listens, so that an answer too late is seen
WAIT_MS = (50, 250)  # before another try
SAMPLES = 4096  # of latencies, for each front door


class LostError(Exception):
    """The connection ended before an answer."""


class ClientConnection(asyncio.Protocol):
    """A client's connection: one request at a time."""

    def __init__(self, door: str, facts: list[Fact]) -> None:
        self.door, self.facts = door, facts
        self.reader: Any = hiredis.Reader()
        self.waiter: asyncio.Future[object] | None = None
        self.transport: asyncio.Transport | None = None
        self.used, self.rests_us, self.ended, self.left = False, 0, False, False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        if self.left:
            return
        try:
            self.reader.feed(data)
            while (reply := self.reader.gets()) is not False:
                self.take(reply)
        except hiredis.ProtocolError:
            self.facts.append(Extra(now_us(), self.door, f"an answer that cannot be read: {data!r:.100}"))
            self.abort()

    def take(self, reply: object) -> None:
        waiter, self.waiter = self.waiter, None
        if waiter is not None and waiter.cancelled():
            return  # the client has stopped waiting in this very turn: what crosses that is nobody's fault
        if waiter is None:
            self.facts.append(Extra(now_us(), self.door, f"an answer that nobody waits for: {reply!r:.100}"))
        else:
            waiter.set_result(reply)

    def connection_lost(self, error: Exception | None) -> None:
        self.ended = True
        if self.waiter and not self.waiter.done():
            self.waiter.set_exception(LostError())

    def ask(self, data: bytes) -> "asyncio.Future[object]":
        assert self.transport is not None and self.waiter is None
        self.waiter = asyncio.get_running_loop().create_future()
        self.transport.write(data)
        return self.waiter

    def abort(self) -> None:
        if self.transport:
            self.transport.abort()


@dataclass(slots=True)
class DoorCount:
    """What the clients of one front door saw, for the live table."""

    served: int = 0
    refused: int = 0
    failed: int = 0
    lost: int = 0
    open: int = 0


class DoorPool:
    """The clients' connections to one front door."""

    def __init__(self, name: str, address: Address, facts: list[Fact]) -> None:
        self.name, self.address, self.facts = name, address, facts
        self.kept: list[ClientConnection] = []
        self.all: dict[ClientConnection, None] = {}  # in order: a day is the same each time
        self.count = DoorCount()
        self.took_us: deque[int] = deque(maxlen=SAMPLES)

    async def take(self, fresh: bool = False) -> ClientConnection:
        """A connection that rests, or a new one; OSError or TimeoutError where none comes up."""
        while self.kept and not fresh:
            connection = self.kept.pop()
            if not connection.ended and now_us() - connection.rests_us <= KEPT_US:
                return connection
            self.drop(connection)
        async with asyncio.timeout(CONNECT_S):
            _, connection = await asyncio.get_running_loop().create_connection(
                lambda: ClientConnection(self.name, self.facts), *self.address
            )
        self.all[connection] = None
        return connection

    def give_back(self, connection: ClientConnection) -> None:
        connection.used, connection.rests_us = True, now_us()
        self.kept.append(connection)
        if len(self.kept) > MOST_KEPT:
            self.drop(self.kept.pop(0))

    def drop(self, connection: ClientConnection) -> None:
        self.all.pop(connection, None)
        connection.abort()

    def close(self) -> None:
        for connection in list(self.all):
            self.drop(connection)


@dataclass(slots=True)
class Try:
    """One request: what the servers may see of it, and where it goes."""

    id: str
    words: list[bytes]
    work_us: int
    key: str
    door: int
    wait_us: int


def encode(words: list[bytes]) -> bytes:
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%b\r\n" % (len(word), word) for word in words)


def milliseconds(text: str) -> int:
    """The time in `-BUSY MS`, as microseconds; 0 without one."""
    word = text.partition(" ")[2]
    return int(word) * 1000 if word.isdigit() else 0


class Clients:
    """All clients of a world."""

    def __init__(
        self,
        pools: list[DoorPool],
        front: Front,
        facts: list[Fact],
        random: Random,
        seed: int,
    ) -> None:
        self.pools, self.front, self.facts, self.random = pools, front, facts, random
        self.seed, self.serial = seed, 0
        self.tries: dict[str, Try] = {}
        self.tasks: dict[asyncio.Task[None], None] = {}
        self.trouble: list[str] = []  # faults of the rig's own

    def work_of(self, name: str) -> tuple[int, str, list[bytes]] | None:
        """What a server needs of a request that a client sent: work, key, words."""
        made = self.tries.get(name)
        return (made.work_us, made.key, made.words) if made else None

    async def run(self, arrivals: list[Arrival], start_us: int) -> None:
        """Ask for everything at its time, and wait until all is over."""
        for arrival in arrivals:
            left = start_us + arrival.at_us - now_us()
            if left > 0:
                await asyncio.sleep(left / 1e6)
            task = asyncio.get_running_loop().create_task(self.serve(arrival))
            self.tasks[task] = None
            task.add_done_callback(self.finished)
        while self.tasks:
            await asyncio.wait(self.tasks)

    def finished(self, task: asyncio.Task[None]) -> None:
        self.tasks.pop(task, None)
        if not task.cancelled() and (error := task.exception()):
            self.trouble.append(f"{type(error).__name__}: {error}")

    # --- one client ---

    async def serve(self, arrival: Arrival) -> None:
        """A first try, and the client's own retries within the class's time."""
        since = now_us()
        key = f"{self.random.getrandbits(64):016x}" if arrival.kind.effect.name == "KEYED" else ""
        for number in range(MOST_TRIES):
            left_us = arrival.kind.deadline_us - (now_us() - since)
            if number and left_us <= arrival.kind.aim_us // 4:
                return
            made = self.make(arrival, key, number, left_us)
            again_us = await self.attempt(arrival, made)
            if again_us is None:
                return
            await asyncio.sleep(max(again_us, self.random.randint(*WAIT_MS) * 1000) / 1e6)

    def make(self, arrival: Arrival, key: str, number: int, left_us: int) -> Try:
        self.serial += 1
        name = f"{self.seed & 0xFFFFFFFF:08x}{self.serial:08x}"
        customer, kind = arrival.customer, arrival.kind
        draw = arrival.draw if number == 0 else self.random.random()
        door = self.front.pick(now_us(), customer.first, len(customer.weights), customer.weights, draw)
        wait_us = min(round(kind.deadline_us * arrival.patience), left_us)
        fields = [f"c={kind.name}", f"t={customer.plan.name}", f"d={wait_us // 1000}"]
        fields += [f"k={key}"] if key else []
        fields += ["units=1", f"spread={len(customer.weights)}", f"first={customer.first}"]
        fields += ["r=1"] if number else []
        words = [
            b"SVC.SUBMIT" if kind.is_write else b"SVC.QUERY",
            customer.name.encode(),
            name.encode(),
            ",".join(fields).encode(),
        ]
        words += [b"BODY"] if kind.is_write else []
        made = Try(name, words, work_us(kind, self.random), key, door, wait_us)
        self.tries[name] = made
        return made

    async def attempt(self, arrival: Arrival, made: Try) -> int | None:
        """One try; how long to wait before the next, or None for no other."""
        pool = self.pools[made.door]
        pool.count.open += 1
        try:
            return await self.exchange(arrival, made, pool)
        finally:
            pool.count.open -= 1

    async def exchange(self, arrival: Arrival, made: Try, pool: DoorPool) -> int | None:
        fresh = False
        while True:
            try:
                connection = await pool.take(fresh)
            except (OSError, TimeoutError):
                self.note_ask(arrival, made, pool, taken=False)
                self.facts.append(Ended(now_us(), made.id, pool.name))
                self.front.died(now_us(), made.door)
                pool.count.lost += 1
                return 0
            waiter = connection.ask(encode(made.words))
            asked_us = self.note_ask(arrival, made, pool)
            patience_us = round(made.wait_us * arrival.gives_up)
            listens_us = patience_us if arrival.gives_up < 1 else made.wait_us + LATE_US
            try:
                reply = await asyncio.wait_for(waiter, listens_us / 1e6)
            except TimeoutError:
                connection.left = True  # what crosses its going is nobody's fault
                self.facts.append(Left(now_us(), made.id, pool.name))
                pool.drop(connection)
                return None
            except LostError:
                pool.drop(connection)
                # A front door may close a connection between requests; if that crosses one that it has not
                # read, the client sends it once more on a new connection.
                again = connection.used and not fresh
                self.facts.append(Ended(now_us(), made.id, pool.name, again))
                if again:
                    fresh = True
                    continue
                self.front.died(now_us(), made.door)
                pool.count.lost += 1
                return None if arrival.kind.effect.name == "UNSAFE" else 0
            return self.judge(arrival, made, pool, connection, reply, asked_us)

    def note_ask(self, arrival: Arrival, made: Try, pool: DoorPool, taken: bool = True) -> int:
        now, kind, customer = now_us(), arrival.kind, arrival.customer
        self.facts.append(
            Asked(
                now,
                made.id,
                pool.name,
                customer.name,
                kind.effect,
                kind.group,
                kind.window_us,
                customer.plan.name,
                1.0,
                now + made.wait_us,
                made.key,
                taken,
            )
        )
        return now

    def judge(
        self,
        arrival: Arrival,
        made: Try,
        pool: DoorPool,
        connection: ClientConnection,
        reply: object,
        asked_us: int,
    ) -> int | None:
        now = now_us()
        pool.give_back(connection)
        pool.took_us.append(now - asked_us)
        first = reply[0] if isinstance(reply, list) and reply else reply
        if isinstance(first, bytes):
            pool.count.served += 1
            self.facts.append(Answered(now, made.id, pool.name, Kind.SERVED, first))
            return None
        text = str(reply)
        if isinstance(reply, hiredis.ReplyError) and text.split(" ")[0] == "BUSY":
            pool.count.refused += 1
            wait_us = milliseconds(text)
            self.facts.append(Answered(now, made.id, pool.name, Kind.REFUSED, retry_after_us=wait_us))
            return wait_us
        pool.count.failed += 1
        self.facts.append(Answered(now, made.id, pool.name, Kind.FAILED, text.encode()[:100]))
        return None if arrival.kind.effect.name == "UNSAFE" else 0

    def cancel(self) -> None:
        for task in list(self.tasks):
            task.cancel()


async def greet_and_stay(address: Address, until: asyncio.Event) -> None:
    """One of a crowd: a client that greets, and then says nothing until it is told to go."""
    with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
        async with asyncio.timeout(CONNECT_S):
            reader, writer = await asyncio.open_connection(*address)
        try:
            writer.write(b"*1\r\n$4\r\nPING\r\n")
            await reader.readline()
            await until.wait()
        finally:
            writer.close()


HOSTILE_S = 6.0  # within which a front door must have ended a client that is of no use
Send = Callable[[asyncio.StreamWriter], None]


def half_command(writer: asyncio.StreamWriter) -> None:
    writer.write(b"*4\r\n$9\r\nSVC.QUERY\r\n$16\r\n0000")


def wrong_length(writer: asyncio.StreamWriter) -> None:
    writer.write(b"*4\r\n$99999999999\r\nSVC.QUERY\r\n")


def endless_count(writer: asyncio.StreamWriter) -> None:
    writer.write(b"*1000000\r\n" + b"$1\r\na\r\n" * 64)


def wrong_commands(writer: asyncio.StreamWriter) -> None:
    writer.write(b"*1\r\n$5\r\nWRONG\r\n" * 200)


def no_resp(writer: asyncio.StreamWriter) -> None:
    writer.write(b"GET / HTTP/1.1\r\nHost: door\r\n\r\n")


def unread_flood(writer: asyncio.StreamWriter) -> None:
    """Asks for more than it ever reads; the answers fill all buffers between."""
    writer.write((b"*2\r\n$4\r\nPING\r\n$16384\r\n" + b"x" * 16384 + b"\r\n") * 4)


HOSTILE: tuple[Send, ...] = (half_command, wrong_length, endless_count, wrong_commands, no_resp, unread_flood)


async def hostile(
    door: str, address: Address, send: Send, facts: list[Fact], down: Callable[[], bool]
) -> None:
    """One hostile client; a front door that keeps it is a fact."""
    reads = send is not unread_flood
    try:
        async with asyncio.timeout(CONNECT_S):
            reader, writer = await asyncio.open_connection(*address, limit=1 << 16)
    except (OSError, TimeoutError):
        return
    try:
        async with asyncio.timeout(HOSTILE_S):
            send(writer)
            while not reads or await reader.read(1 << 16):
                if not reads:
                    send(writer)
                    await writer.drain()  # stands still once the front door reads no more
    except TimeoutError:
        if not down():
            text = f"a hostile client ({send.__name__}) was kept for {HOSTILE_S} s"
            facts.append(Extra(now_us(), door, text))
    except OSError:
        return
    finally:
        writer.transport.abort()
