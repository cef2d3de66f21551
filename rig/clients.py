"""Clients on sockets: open-loop arrivals, connection pools, retries, early departures and hostile clients."""

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
from rig.front import ClientRouter
from rig.sockets import Address
from rig.workload import Arrival, work_us

MAX_TRIES = 4
CONNECT_TIMEOUT_S = 1.0
MAX_IDLE_US = 1_500_000  # idle connections are not reused after it: front doors keep them for at least 2 s
MAX_IDLE_CONNECTIONS = 64  # for each front door
LATE_ANSWER_US = 600_000  # for which clients listen after their timeout, to observe late answers
RETRY_DELAY_MS = (50, 250)
MAX_LATENCY_SAMPLES = 4096  # for each front door


class LostError(Exception):
    """The connection ended before an answer."""


class ClientConnection(asyncio.Protocol):
    """A client's connection, which carries one request at a time."""

    def __init__(self, door: str, facts: list[Fact]) -> None:
        self.door, self.facts = door, facts
        self.reader: Any = hiredis.Reader()
        self.waiter: asyncio.Future[object] | None = None
        self.transport: asyncio.Transport | None = None
        self.used, self.idle_since_us, self.ended, self.departed = False, 0, False, False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        if self.departed:
            return
        try:
            self.reader.feed(data)
            while (reply := self.reader.gets()) is not False:
                self.on_reply(reply)
        except hiredis.ProtocolError:
            self.facts.append(Extra(now_us(), self.door, f"an answer that cannot be read: {data!r:.100}"))
            self.abort()

    def on_reply(self, reply: object) -> None:
        """Complete the pending request; a reply without one is a fact for the auditor."""
        waiter, self.waiter = self.waiter, None
        if waiter is not None and waiter.cancelled():
            return  # the client stopped waiting in this turn of the event loop: no fault
        if waiter is None:
            self.facts.append(Extra(now_us(), self.door, f"an answer that nobody waits for: {reply!r:.100}"))
        else:
            waiter.set_result(reply)

    def connection_lost(self, error: Exception | None) -> None:
        self.ended = True
        if self.waiter and not self.waiter.done():
            self.waiter.set_exception(LostError())

    def ask(self, data: bytes) -> "asyncio.Future[object]":
        """Write a request; the future completes with the reply, or fails with LostError."""
        assert self.transport is not None and self.waiter is None
        self.waiter = asyncio.get_running_loop().create_future()
        self.transport.write(data)
        return self.waiter

    def abort(self) -> None:
        """Close the connection at once."""
        if self.transport:
            self.transport.abort()


@dataclass(slots=True)
class DoorCounts:
    """Requests of one front door as its clients saw them, for the live table."""

    served: int = 0
    refused: int = 0
    failed: int = 0
    lost: int = 0
    open: int = 0


class DoorPool:
    """The pool of client connections to one front door."""

    def __init__(self, name: str, address: Address, facts: list[Fact]) -> None:
        self.name, self.address, self.facts = name, address, facts
        self.idle: list[ClientConnection] = []
        self.all: dict[ClientConnection, None] = {}  # a dict for its fixed order: runs are reproducible
        self.counts = DoorCounts()
        self.latencies_us: deque[int] = deque(maxlen=MAX_LATENCY_SAMPLES)

    async def acquire(self, fresh: bool = False) -> ClientConnection:
        """An idle connection, or a new one; OSError or TimeoutError if it cannot be opened."""
        while self.idle and not fresh:
            connection = self.idle.pop()
            if not connection.ended and now_us() - connection.idle_since_us <= MAX_IDLE_US:
                return connection
            self.drop(connection)
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, connection = await asyncio.get_running_loop().create_connection(
                lambda: ClientConnection(self.name, self.facts), *self.address
            )
        self.all[connection] = None
        return connection

    def release(self, connection: ClientConnection) -> None:
        """Return a connection for reuse."""
        connection.used, connection.idle_since_us = True, now_us()
        self.idle.append(connection)
        if len(self.idle) > MAX_IDLE_CONNECTIONS:
            self.drop(self.idle.pop(0))

    def drop(self, connection: ClientConnection) -> None:
        """Close a connection."""
        self.all.pop(connection, None)
        connection.abort()

    def close(self) -> None:
        """Close all connections."""
        for connection in list(self.all):
            self.drop(connection)


@dataclass(slots=True)
class ClientRequest:
    """One try of a request: its command, work, front door and timeout."""

    id: str
    words: list[bytes]
    work_us: int
    key: str
    door: int
    timeout_us: int


def encode(words: list[bytes]) -> bytes:
    """A command in RESP."""
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%b\r\n" % (len(word), word) for word in words)


def retry_after_us(text: str) -> int:
    """The delay in `BUSY MILLISECONDS`, as microseconds; 0 without one."""
    word = text.partition(" ")[2]
    return int(word) * 1000 if word.isdigit() else 0


class Clients:
    """All clients of a run."""

    def __init__(
        self,
        pools: list[DoorPool],
        router: ClientRouter,
        facts: list[Fact],
        random: Random,
        seed: int,
    ) -> None:
        self.pools, self.router, self.facts, self.random = pools, router, facts, random
        self.seed, self.serial = seed, 0
        self.requests: dict[str, ClientRequest] = {}
        self.tasks: dict[asyncio.Task[None], None] = {}
        self.trouble: list[str] = []  # faults of the test bed itself

    def work_of(self, request_id: str) -> tuple[int, str, list[bytes]] | None:
        """What a server needs to know of a request that a client sent: its work, key and command words."""
        request = self.requests.get(request_id)
        return (request.work_us, request.key, request.words) if request else None

    async def run(self, arrivals: list[Arrival], start_us: int) -> None:
        """Send each request at its time, and wait until all have ended."""
        for arrival in arrivals:
            delay_us = start_us + arrival.at_us - now_us()
            if delay_us > 0:
                await asyncio.sleep(delay_us / 1e6)
            task = asyncio.get_running_loop().create_task(self.run_client(arrival))
            self.tasks[task] = None
            task.add_done_callback(self.on_done)
        while self.tasks:
            await asyncio.wait(self.tasks)

    def on_done(self, task: asyncio.Task[None]) -> None:
        """Forget a finished client and record its exception, if it raised one."""
        self.tasks.pop(task, None)
        if not task.cancelled() and (error := task.exception()):
            self.trouble.append(f"{type(error).__name__}: {error}")

    # --- one client ---

    async def run_client(self, arrival: Arrival) -> None:
        """Send a request, and retry it within the deadline of its class."""
        start_us = now_us()
        key = f"{self.random.getrandbits(64):016x}" if arrival.request_class.effect.name == "KEYED" else ""
        for number in range(MAX_TRIES):
            left_us = arrival.request_class.deadline_us - (now_us() - start_us)
            if number and left_us <= arrival.request_class.on_time_us // 4:
                return
            request = self.make_request(arrival, key, number, left_us)
            retry_delay_us = await self.send(arrival, request)
            if retry_delay_us is None:
                return
            await asyncio.sleep(max(retry_delay_us, self.random.randint(*RETRY_DELAY_MS) * 1000) / 1e6)

    def make_request(self, arrival: Arrival, key: str, number: int, left_us: int) -> ClientRequest:
        """Choose the front door and build the command of one try."""
        self.serial += 1
        request_id = f"{self.seed & 0xFFFFFFFF:08x}{self.serial:08x}"
        customer, request_class = arrival.customer, arrival.request_class
        draw = arrival.draw if number == 0 else self.random.random()
        door = self.router.choose(
            now_us(), customer.first_door, len(customer.weights), customer.weights, draw
        )
        timeout_us = min(round(request_class.deadline_us * arrival.timeout_fraction), left_us)
        fields = [f"c={request_class.name}", f"t={customer.plan.name}", f"d={timeout_us // 1000}"]
        fields += [f"k={key}"] if key else []
        fields += ["units=1", f"spread={len(customer.weights)}", f"first={customer.first_door}"]
        fields += ["r=1"] if number else []
        words = [
            b"SVC.SUBMIT" if request_class.is_write else b"SVC.QUERY",
            customer.name.encode(),
            request_id.encode(),
            ",".join(fields).encode(),
        ]
        words += [b"BODY"] if request_class.is_write else []
        request = ClientRequest(request_id, words, work_us(request_class, self.random), key, door, timeout_us)
        self.requests[request_id] = request
        return request

    async def send(self, arrival: Arrival, request: ClientRequest) -> int | None:
        """One try; returns the least delay before the next in microseconds, or None for no further try."""
        pool = self.pools[request.door]
        pool.counts.open += 1
        try:
            return await self.exchange(arrival, request, pool)
        finally:
            pool.counts.open -= 1

    async def exchange(self, arrival: Arrival, request: ClientRequest, pool: DoorPool) -> int | None:
        """One try on a connection, sent again once if a reused connection was closed meanwhile."""
        fresh = False
        while True:
            try:
                connection = await pool.acquire(fresh)
            except (OSError, TimeoutError):
                self.record_request(arrival, request, pool, taken=False)
                self.facts.append(Ended(now_us(), request.id, pool.name))
                self.router.mark_failed(now_us(), request.door)
                pool.counts.lost += 1
                return 0
            pending_reply = connection.ask(encode(request.words))
            asked_us = self.record_request(arrival, request, pool)
            abandon_us = round(request.timeout_us * arrival.abandon_fraction)
            listen_us = abandon_us if arrival.abandon_fraction < 1 else request.timeout_us + LATE_ANSWER_US
            try:
                reply = await asyncio.wait_for(pending_reply, listen_us / 1e6)
            except TimeoutError:
                connection.departed = True  # an answer that arrives meanwhile is no fault
                self.facts.append(Left(now_us(), request.id, pool.name))
                pool.drop(connection)
                return None
            except LostError:
                pool.drop(connection)
                # A front door may close an idle connection while a request is on its way and unread. The
                # client then sends it once more on a new connection.
                resend = connection.used and not fresh
                self.facts.append(Ended(now_us(), request.id, pool.name, resend))
                if resend:
                    fresh = True
                    continue
                self.router.mark_failed(now_us(), request.door)
                pool.counts.lost += 1
                return None if arrival.request_class.effect.name == "UNSAFE" else 0
            return self.record_answer(arrival, request, pool, connection, reply, asked_us)

    def record_request(
        self, arrival: Arrival, request: ClientRequest, pool: DoorPool, taken: bool = True
    ) -> int:
        """Record that a request was sent, or could not be; returns the time."""
        asked_us, request_class, customer = now_us(), arrival.request_class, arrival.customer
        self.facts.append(
            Asked(
                asked_us,
                request.id,
                pool.name,
                customer.name,
                request_class.effect,
                request_class.group,
                request_class.window_us,
                customer.plan.name,
                1.0,
                asked_us + request.timeout_us,
                request.key,
                taken,
            )
        )
        return asked_us

    def record_answer(
        self,
        arrival: Arrival,
        request: ClientRequest,
        pool: DoorPool,
        connection: ClientConnection,
        reply: object,
        asked_us: int,
    ) -> int | None:
        """Record an answer; returns the least delay before another try, or None for no further try."""
        answered_us = now_us()
        pool.release(connection)
        pool.latencies_us.append(answered_us - asked_us)
        first = reply[0] if isinstance(reply, list) and reply else reply
        if isinstance(first, bytes):
            pool.counts.served += 1
            self.facts.append(Answered(answered_us, request.id, pool.name, Kind.SERVED, first))
            return None
        text = str(reply)
        if isinstance(reply, hiredis.ReplyError) and text.split(" ")[0] == "BUSY":
            pool.counts.refused += 1
            delay_us = retry_after_us(text)
            self.facts.append(
                Answered(answered_us, request.id, pool.name, Kind.REFUSED, retry_after_us=delay_us)
            )
            return delay_us
        pool.counts.failed += 1
        self.facts.append(Answered(answered_us, request.id, pool.name, Kind.FAILED, text.encode()[:100]))
        return None if arrival.request_class.effect.name == "UNSAFE" else 0

    def cancel(self) -> None:
        """Cancel all clients."""
        for task in list(self.tasks):
            task.cancel()


async def idle_client(address: Address, leave: asyncio.Event) -> None:
    """A client of a crowd: sends one PING, then stays idle until it has to leave."""
    with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(*address)
        try:
            writer.write(b"*1\r\n$4\r\nPING\r\n")
            await reader.readline()
            await leave.wait()
        finally:
            writer.close()


HOSTILE_LIMIT_S = 6.0  # within which a front door must close the connection of a hostile client
SendGarbage = Callable[[asyncio.StreamWriter], None]


def half_command(writer: asyncio.StreamWriter) -> None:
    """Sends an incomplete command."""
    writer.write(b"*4\r\n$9\r\nSVC.QUERY\r\n$16\r\n0000")


def wrong_length(writer: asyncio.StreamWriter) -> None:
    """Announces a word of excessive length."""
    writer.write(b"*4\r\n$99999999999\r\nSVC.QUERY\r\n")


def endless_count(writer: asyncio.StreamWriter) -> None:
    """Announces far more words than it sends."""
    writer.write(b"*1000000\r\n" + b"$1\r\na\r\n" * 64)


def wrong_commands(writer: asyncio.StreamWriter) -> None:
    """Sends unknown commands."""
    writer.write(b"*1\r\n$5\r\nWRONG\r\n" * 200)


def no_resp(writer: asyncio.StreamWriter) -> None:
    """Sends HTTP instead of RESP."""
    writer.write(b"GET / HTTP/1.1\r\nHost: door\r\n\r\n")


def unread_flood(writer: asyncio.StreamWriter) -> None:
    """Requests large answers and reads none, so that all buffers fill."""
    writer.write((b"*2\r\n$4\r\nPING\r\n$16384\r\n" + b"x" * 16384 + b"\r\n") * 4)


HOSTILE_CLIENTS: tuple[SendGarbage, ...] = (
    half_command,
    wrong_length,
    endless_count,
    wrong_commands,
    no_resp,
    unread_flood,
)


async def hostile_client(
    door: str, address: Address, send: SendGarbage, facts: list[Fact], down: Callable[[], bool]
) -> None:
    """One hostile client; a front door that keeps its connection is a fact for the auditor."""
    reads = send is not unread_flood
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(*address, limit=1 << 16)
    except (OSError, TimeoutError):
        return
    try:
        async with asyncio.timeout(HOSTILE_LIMIT_S):
            send(writer)
            while not reads or await reader.read(1 << 16):
                if not reads:
                    send(writer)
                    await writer.drain()  # blocks once the front door stops reading
    except TimeoutError:
        if not down():
            text = f"a hostile client ({send.__name__}) was kept for {HOSTILE_LIMIT_S} s"
            facts.append(Extra(now_us(), door, text))
    except OSError:
        return
    finally:
        writer.transport.abort()
