"""Control of one front door on a private Unix-domain socket: the shell of `wire` and `orders`.

It can never hold up a request: it runs in turns of the loop between them, takes one ask a turn from each
connection, has few connections, and drops whoever does not read. Only the owner may open the socket, and the
kernel's word on who connected is checked as well.
"""

import asyncio
import contextlib
import logging
import os
import socket
import stat
import struct
from collections.abc import Callable
from pathlib import Path
from typing import cast

from molereach.clock import now_us
from molereach.fleet import wire
from molereach.fleet.anchored_clock import anchored
from molereach.fleet.orders import Book, Overlay, Verb
from molereach.proxy.proxy import Proxy

log = logging.getLogger(__name__)

MOST_CONNECTIONS = 8
MOST_UNREAD_BYTES = 1 << 20  # of answers and news; past that the reader is dropped
NEWS_S = 0.25  # between words to watchers, at least
LAPSE_S = 0.5  # how often orders are looked through for those whose time is over
CREDENTIALS = struct.Struct("3i")


class ControlError(OSError):
    """The socket cannot be had; the text is one plain line."""


def peer_user(connection: socket.socket) -> int:
    """Who opened a connection, by the kernel's word."""
    packed = connection.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, CREDENTIALS.size)
    return int(CREDENTIALS.unpack(packed)[1])


class ControlConnection(asyncio.Protocol):
    """An agent's connection."""

    def __init__(self, control: "Control") -> None:
        self.control = control
        self.reader = wire.FrameReader(wire.MOST_ASK_BYTES)
        self.transport: asyncio.Transport | None = None
        self.watches = self.due = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        if not self.control.opened(self):
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        self.reader.feed(data)
        if not self.due:
            self.take_one()

    def take_one(self) -> None:
        """One ask, and the next in another turn: requests come in between."""
        self.due = False
        assert self.transport is not None
        if self.transport.is_closing():
            return
        number = wire.NEWS
        try:
            body = self.reader.next()
            if body is None:
                self.transport.resume_reading()
                return
            ask = wire.read_ask(body)
            number = ask.number
            self.send(self.control.answer(ask, self))
        except wire.WireError as error:
            self.send(wire.Answer(wire.VERSION, number, error=str(error)))
            if number == wire.NEWS:  # what follows cannot be trusted to be a frame
                self.transport.close()
                return
        except Exception:
            log.exception("an ask of control failed")
            self.send(wire.Answer(wire.VERSION, number, error="internal error"))
        self.due = True
        self.transport.pause_reading()
        self.control.door.loop.call_soon(self.take_one)

    def send(self, answer: wire.Answer) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        self.transport.write(wire.frame(answer))
        if self.transport.get_write_buffer_size() > MOST_UNREAD_BYTES:
            log.warning("a reader of control that does not read is dropped")
            self.transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        self.control.connections.discard(self)


class Control:
    """The control of one front door, and the orders in force there."""

    def __init__(self, door: Proxy, path: Path) -> None:
        self.door, self.path = door, path
        self.book, self.overlay = Book(), Overlay()
        self.connections: set[ControlConnection] = set()
        self.server: asyncio.AbstractServer | None = None
        self.inode: tuple[int, int] | None = None
        self.started_us = now_us()
        self.unix_ms = anchored()
        self.asks = self.refused = 0
        self.news_due = False
        self.lapse_timer: asyncio.TimerHandle | None = None
        self.told = asyncio.Event()  # an agent has brought its orders, be they none
        if door.endpoints.saved_list:
            self.overlay.on_list(door.endpoints.saved_list.event)
        door.endpoints.overlay = self.overlay.on_list
        self.answers: dict[str, Callable[[wire.Ask, ControlConnection], wire.Answer]] = {
            "state": self.on_state,
            "members": self.on_members,
            "orders": self.on_orders,
            "counters": self.on_counters,
            "quota": self.on_quota,
            "put": self.on_put,
            "watch": self.on_watch,
        }

    # --- start and end ---

    async def start(self) -> None:
        """Listen; ControlError where the place is taken or not private."""
        self.clear_place()
        before = os.umask(0o177)  # nobody else, not for a moment
        try:
            self.server = await self.door.loop.create_unix_server(
                lambda: ControlConnection(self), str(self.path)
            )
        except OSError as error:
            raise ControlError(f"{self.path}: {error.strerror or error}") from error
        finally:
            os.umask(before)
        found = self.path.stat()
        self.inode = found.st_dev, found.st_ino
        self.lapse()

    def clear_place(self) -> None:
        """A dead predecessor's socket gives way; anything else does not."""
        folder = self.path.parent
        try:
            if stat.S_IMODE(folder.stat().st_mode) & 0o022:
                raise ControlError(f"{folder}: others may write to this folder")
            found = self.path.lstat()
        except FileNotFoundError:
            if not folder.is_dir():
                raise ControlError(f"{folder}: there is no such folder") from None
            return
        if not stat.S_ISSOCK(found.st_mode):
            raise ControlError(f"{self.path}: is there and is no socket")
        with socket.socket(socket.AF_UNIX) as probe:
            if probe.connect_ex(str(self.path)) == 0:
                raise ControlError(f"{self.path}: another front door is there")
        self.path.unlink()

    def close(self) -> None:
        if self.lapse_timer:
            self.lapse_timer.cancel()
        if self.server:
            self.server.close()
        for connection in list(self.connections):
            if connection.transport:
                connection.transport.abort()
        with contextlib.suppress(OSError):
            found = self.path.lstat()
            if (found.st_dev, found.st_ino) == self.inode:  # a successor's stays
                self.path.unlink()

    def opened(self, connection: ControlConnection) -> bool:
        """Whether it may stay: it is the owner's, and there are not too many."""
        assert connection.transport is not None
        user = peer_user(connection.transport.get_extra_info("socket"))
        if user not in (os.geteuid(), 0) or len(self.connections) >= MOST_CONNECTIONS:
            self.refused += 1
            log.warning("a connection to control is refused: user %d, %d open", user, len(self.connections))
            return False
        self.connections.add(connection)
        return True

    # --- asks ---

    def answer(self, ask: wire.Ask, connection: ControlConnection) -> wire.Answer:
        self.asks += 1
        return self.answers[ask.what](ask, connection)

    def on_state(self, ask: wire.Ask, _: ControlConnection) -> wire.Answer:
        return wire.Answer(wire.VERSION, ask.number, state=self.state())

    def state(self) -> wire.State:
        door = self.door
        return wire.State(
            door.config.name,
            os.getpid(),
            round((now_us() - self.started_us) / 1e6, 3),
            door.clients.is_paused,
            self.book.revision,
            self.overlay.version,
            len(door.clients.connections),
            len(door.requests.open),
        )

    def on_members(self, ask: wire.Ask, _: ControlConnection) -> wire.Answer:
        out: dict[str, int] = {}
        for exchange in (*self.door.requests.open.values(), *self.door.requests.answered.values()):
            for attempt in exchange.in_flight.values():
                out[attempt.server] = out.get(attempt.server, 0) + 1
        buildings = {number: name for name, number in self.door.config.zone_numbers.items()}
        members = tuple(
            wire.Member(
                name,
                buildings.get(server.zone, str(server.zone)),
                server.state.value,
                name in self.overlay.drained,
                out.get(name, 0),
            )
            for name, server in self.overlay.listed.items()
        )
        return wire.Answer(wire.VERSION, ask.number, members=members)

    def on_orders(self, ask: wire.Ask, _: ControlConnection) -> wire.Answer:
        found = self.book.state().in_force
        return wire.Answer(wire.VERSION, ask.number, orders=found, state=self.state())

    def on_counters(self, ask: wire.Ask, _: ControlConnection) -> wire.Answer:
        counters = {
            "asks": self.asks,
            "connections_refused": self.refused,
            "clients": len(self.door.clients.connections),
            "open_requests": len(self.door.requests.open),
            "backend_connections": self.door.backends.open_connections,
            "held_bytes": self.door.requests.open_bytes,
        }
        for beside in self.door.counter_sources:
            counters |= beside()
        return wire.Answer(wire.VERSION, ask.number, counters=counters)

    def on_quota(self, ask: wire.Ask, _: ControlConnection) -> wire.Answer:
        now, customer = now_us(), ask.customer.lower()
        shares = {held.plan: held for held in self.door.gateway.customers.customer_limits(customer, now)}
        return wire.Answer(
            wire.VERSION,
            ask.number,
            quota=tuple(
                wire.Standing(plan, level, part, ceiling, demand, heard, shares.get(plan))
                for plan, level, part, ceiling, demand, heard in self.door.gateway.customers.quota_statuses(
                    customer, now
                )
            ),
        )

    def on_put(self, ask: wire.Ask, _: ControlConnection) -> wire.Answer:
        """All orders in force at a revision; one that is behind what holds here changes nothing."""
        before = dict(self.book.in_force)
        if ask.book and self.book.adopt(ask.book):
            for key, one in self.book.in_force.items():
                if before.get(key) != one:
                    log.info(
                        "order %s: %s %s, by %s at revision %d: %s",
                        one.order.id,
                        one.order.verb.value,
                        one.order.subject,
                        one.order.issuer,
                        one.revision,
                        one.order.reason,
                    )
            for verb, subject in before.keys() - self.book.in_force.keys():
                log.info("order ended: %s %s, at revision %d", verb.value, subject, self.book.revision)
            self.carry_out()
        self.told.set()
        return wire.Answer(wire.VERSION, ask.number, state=self.state())

    def on_watch(self, ask: wire.Ask, connection: ControlConnection) -> wire.Answer:
        connection.watches = True
        return wire.Answer(wire.VERSION, ask.number, state=self.state())

    # --- orders ---

    def carry_out(self) -> None:
        """Bring the front door to what is wanted now."""
        now_ms = self.unix_ms()
        if news := self.overlay.on_orders(self.book.wanted(Verb.DRAIN, now_ms)):
            self.door.endpoints.publish(news, {})
        self.door.clients.set_paused(self.door.config.name in self.book.wanted(Verb.HOLD, now_ms))
        if not self.news_due:
            self.news_due = True
            self.door.loop.call_later(NEWS_S, self.tell_watchers)

    def lapse(self) -> None:
        """Look for orders whose time is over, and try again what could not be done."""
        before = len(self.book.in_force)
        self.book.forget_lapsed(self.unix_ms())
        held = self.door.config.name in self.book.wanted(Verb.HOLD, self.unix_ms())
        if len(self.book.in_force) != before or held != self.door.clients.is_paused:
            self.carry_out()
        self.lapse_timer = self.door.loop.call_later(LAPSE_S, self.lapse)

    def tell_watchers(self) -> None:
        self.news_due = False
        news = wire.Answer(wire.VERSION, wire.NEWS, state=self.state())
        for connection in [connection for connection in self.connections if connection.watches]:
            connection.send(news)


async def attach(door: Proxy, path: Path, wait_s: float) -> Callable[[], None]:
    """Switch control on for a front door that is about to start; what switches it off again.

    It waits for `wait_s` at most for an agent to bring the orders in force, so that they hold before the
    first request is taken.
    """
    control = Control(door, path)
    await control.start()
    if wait_s:
        try:
            await asyncio.wait_for(control.told.wait(), wait_s)
        except TimeoutError:
            log.warning("no agent has brought orders within %.1f s; starting without", wait_s)
    return control.close
