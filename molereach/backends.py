"""Connections to the backends: a pool for each, and exactly one outcome for every attempt.

A connection carries one command at a time. Whether an attempt may have run is decided here, and only
by whether its last byte was handed to the kernel: before that it never ran, after that it may have.
"""

import asyncio
import logging
import time
from collections import deque
from collections.abc import Callable, Coroutine

import hiredis

from fennelwinch import interface as i
from fennelwinch.codec import read_report
from molereach.config import Address

log = logging.getLogger(__name__)

INCOMPLETE = object()
IDLE_SHARE = 0.5  # of the backend's idle time: a request that crosses its close would end as a reset
MOST_REPLY = 1 << 17  # bytes: a value of 64 KiB, the figures and the load report, with room to spare

Done = Callable[["Attempt", i.Result, bytes | None, i.LoadReport | None], None]


def now_us() -> int:
    return time.monotonic_ns() // 1000


class Attempt:
    """One command for one backend; `done` is called once, with how it ended."""

    __slots__ = ("connection", "done", "number", "over", "payload", "pool", "request_id", "sent_us",
                 "server", "timer", "written")

    def __init__(self, request_id: str, number: int, server: str, payload: bytes, done: Done) -> None:
        self.request_id, self.number, self.server = request_id, number, server
        self.payload, self.done = payload, done
        self.sent_us, self.over, self.written = now_us(), False, False
        self.connection: Connection | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.pool: Pool | None = None

    def finish(
        self, result: i.Result, value: bytes | None = None, report: i.LoadReport | None = None
    ) -> None:
        if self.over:
            return
        self.over = True
        if self.timer:
            self.timer.cancel()
        self.done(self, result, value, report)

    def cancel(self) -> None:
        """Stop waiting for it."""
        self.give_up(i.Result.CANCELLED)

    def time_out(self) -> None:
        if self.written and self.pool:
            self.pool.doubt(self.sent_us)
        self.give_up(i.Result.TIMEOUT if self.written else i.Result.CONNECT_FAILED)

    def give_up(self, result: i.Result) -> None:
        connection, self.connection = self.connection, None
        if connection and connection.attempt is self:
            connection.attempt = None
            connection.abort()  # an answer is still due on it: it must never be used again
        self.finish(result)


def read_reply(reply: object) -> tuple[i.Result, bytes | None, i.LoadReport | None]:
    """What a backend's answer means."""
    if isinstance(reply, hiredis.ReplyError):
        text = str(reply)
        report = text.rpartition(" ")[2].encode()
        busy = text == "BUSY" or text.startswith("BUSY ")
        if not busy and not text.startswith("ERR"):
            log.error("a backend answers %s", text)
        return (i.Result.FULL if busy else i.Result.ERROR), None, read_load(report)
    if isinstance(reply, list) and reply and isinstance(reply[0], bytes):
        return i.Result.OK, reply[0], read_load(reply[2] if len(reply) > 2 else None)
    log.error("a backend's answer is of no known form: %.60r", reply)
    return i.Result.ERROR, None, None  # in doubt: it may have run


def read_load(text: object) -> i.LoadReport | None:
    """A load report `name=value,...`; one that is malformed says nothing."""
    if not isinstance(text, bytes) or b"=" not in text:
        return None
    try:
        return read_report(part.split("=", 1) for part in text.decode().split(","))
    except ValueError:
        return None


class Connection(asyncio.Protocol):
    """A connection to a backend with at most one command on it."""

    def __init__(self, pool: "Pool") -> None:
        self.pool, self.idle_since = pool, 0
        self.attempt: Attempt | None = None
        self.transport: asyncio.Transport | None = None
        self.reader = hiredis.Reader(notEnoughData=INCOMPLETE)
        self.paused, self.received = False, 0

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport
        # With no room for buffering, `pause_writing` tells that bytes are left, and its end that none are.
        transport.set_write_buffer_limits(0)

    def send(self, attempt: Attempt) -> None:
        assert self.transport is not None
        self.attempt, attempt.connection, self.received = attempt, self, 0
        self.transport.write(attempt.payload)
        attempt.written = not self.paused

    def pause_writing(self) -> None:
        self.paused = True

    def resume_writing(self) -> None:
        self.paused = False
        if self.attempt and not self.transport.is_closing():
            self.attempt.written = True

    def data_received(self, data: bytes) -> None:
        self.pool.heard_us = now_us()
        self.received += len(data)
        attempt = self.attempt
        if attempt is None or self.received > MOST_REPLY:
            self.abort()  # nothing was asked, or nobody needs so much
            return
        self.reader.feed(data)
        try:
            reply = self.reader.gets()
        except hiredis.ProtocolError as error:
            log.error("malformed answer from %s: %s", self.pool.name, error)
            self.abort()
            return
        if reply is INCOMPLETE:
            return
        self.attempt = attempt.connection = None
        if self.reader.has_data() or not attempt.written:
            self.abort()
        else:
            self.pool.release(self)
        attempt.finish(*read_reply(reply))

    def eof_received(self) -> None:
        """No answer can come any more. Without the abort the loop would wait until all is written."""
        self.transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        self.pool.forget(self)
        attempt, self.attempt = self.attempt, None
        if attempt:
            attempt.connection = None
            self.pool.doubt(now_us())
            attempt.finish(i.Result.RESET if attempt.written else i.Result.CONNECT_FAILED)

    def usable(self) -> bool:
        return self.transport is not None and not self.transport.is_closing()

    def close(self) -> None:
        if self.transport:
            self.transport.close()

    def abort(self) -> None:
        """Close at once; `close` would first send what is still buffered, and so let the attempt run."""
        self.pool.forget(self)
        if self.transport:
            self.transport.abort()


class Pool:
    """The connections to one backend."""

    def __init__(self, owner: "Backends", name: str, address: Address) -> None:
        self.owner, self.name, self.address = owner, name, address
        self.connections: set[Connection] = set()
        self.idle: list[Connection] = []  # the one used last at the end, so that spare ones grow old
        self.waiting: deque[Attempt] = deque()
        self.connecting, self.heard_us, self.wanted = 0, 0, True

    def start(self, attempt: Attempt) -> None:
        attempt.pool = self
        while self.idle:
            connection = self.idle.pop()
            if connection.usable():
                connection.send(attempt)
                return
        if not self.owner.may_open():
            attempt.finish(i.Result.CONNECT_FAILED)
            return
        self.waiting.append(attempt)
        self.connecting += 1
        connection = Connection(self)
        self.connections.add(connection)  # at once, as the bound counts those that are still connecting
        self.owner.spawn(self.connect(connection))

    async def connect(self, connection: Connection) -> None:
        """Open a connection for whoever waits longest; bounded, as a machine that is cut off says nothing."""
        try:
            async with asyncio.timeout(self.owner.connect_s):
                await asyncio.get_running_loop().create_connection(lambda: connection, *self.address)
        except (OSError, TimeoutError):
            self.connections.discard(connection)
            self.connecting -= 1
            self.connect_failed()
        else:
            self.connecting -= 1
            self.release(connection)

    def connect_failed(self) -> None:
        self.drop_over()
        if len(self.waiting) > self.connecting:
            self.waiting.popleft().finish(i.Result.CONNECT_FAILED)

    def drop_over(self) -> None:
        while self.waiting and self.waiting[0].over:
            self.waiting.popleft()

    def release(self, connection: Connection) -> None:
        """A connection has nothing to do: the next that waits gets it, else it is kept for a while."""
        if not connection.usable():
            self.connect_failed()  # a backend that is full takes a connection and ends it at once
            return
        self.drop_over()
        if self.waiting:
            connection.send(self.waiting.popleft())
        elif self.wanted:
            connection.idle_since = now_us()
            self.idle.append(connection)
        else:
            connection.close()

    def forget(self, connection: Connection) -> None:
        self.connections.discard(connection)
        if connection in self.idle:
            self.idle.remove(connection)

    def doubt(self, since_us: int) -> None:
        """Close what is idle where nothing was heard since: the machine may have vanished.

        Connections to it stay open and silent, and are reset when it is back; the next request on one
        would end as a reset, which an unsafe class cannot repeat.
        """
        if self.heard_us < since_us:
            self.close_idle()

    def close_idle(self, before_us: int | None = None) -> None:
        while self.idle and (before_us is None or self.idle[0].idle_since < before_us):
            self.idle.pop(0).close()


class Backends:
    """The pools by the backends' names, and the bound on all their connections."""

    def __init__(self, idle_us: int, connect_timeout_us: int, most: int) -> None:
        self.idle_us, self.connect_s, self.most = round(idle_us * IDLE_SHARE), connect_timeout_us / 1e6, most
        self.pools: dict[str, Pool] = {}
        self.old: list[Pool] = []  # of backends that moved or went, while attempts are out on them
        self.tasks: set[asyncio.Task[None]] = set()

    def update(
        self, states: dict[str, i.ServerState], addresses: dict[str, Address], whole: bool
    ) -> None:
        """Take over news of the list: the whole of it, or those whose state or address changed."""
        for name in [name for name in self.pools if whole and name not in states]:
            self.retire(name)
        for name, state in states.items():
            pool, address = self.pools.get(name), addresses.get(name)
            if state is i.ServerState.GONE or (pool and address and pool.address != address):
                self.retire(name)
            if state is not i.ServerState.GONE and address and name not in self.pools:
                self.pools[name] = Pool(self, name, address)
            if pool := self.pools.get(name):
                pool.wanted = state is i.ServerState.UP
                if not pool.wanted:
                    pool.close_idle()

    def retire(self, name: str) -> None:
        if pool := self.pools.pop(name, None):
            pool.wanted = False
            pool.close_idle()
            self.old.append(pool)

    def send(self, attempt: Attempt, timeout_us: int) -> None:
        pool = self.pools.get(attempt.server)
        if pool is None:
            attempt.finish(i.Result.CONNECT_FAILED)
            return
        attempt.timer = asyncio.get_running_loop().call_later(timeout_us / 1e6, attempt.time_out)
        pool.start(attempt)

    def close_idle(self, name: str) -> None:
        if pool := self.pools.get(name):
            pool.close_idle()

    def count(self) -> int:
        return sum(len(pool.connections) for pool in (*self.pools.values(), *self.old))

    def may_open(self) -> bool:
        """Whether a socket is free for one more, if need be that of the connection idle longest."""
        if self.count() < self.most:
            return True
        idle = [pool for pool in self.pools.values() if pool.idle]
        if not idle:
            return False
        pool = min(idle, key=lambda pool: pool.idle[0].idle_since)
        pool.idle[0].abort()
        return True

    def sweep(self) -> None:
        """Close what has stood idle long, and again in a while."""
        before = now_us() - self.idle_us
        for pool in self.pools.values():
            pool.close_idle(before)
        self.old = [pool for pool in self.old if pool.connections]
        asyncio.get_running_loop().call_later(min(1.0, self.idle_us / 4e6), self.sweep)

    def spawn(self, job: Coroutine[None, None, None]) -> None:
        task = asyncio.get_running_loop().create_task(job)
        self.tasks.add(task)  # the loop itself holds tasks only weakly
        task.add_done_callback(self.tasks.discard)

    def close(self) -> None:
        """End all connections and whatever else is under way."""
        for pool in (*self.pools.values(), *self.old):
            for connection in list(pool.connections):
                connection.abort()
        for task in self.tasks:
            task.cancel()
