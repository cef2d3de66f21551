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
from molereach.fleet.anchored_clock import anchored_unix_ms
from molereach.fleet.orders import OrderState, Overlay, Verb
from molereach.proxy.proxy import Proxy

log = logging.getLogger(__name__)

MAX_CONNECTIONS = 8
MAX_UNREAD_BYTES = 1 << 20  # of answers and news; past that the reader is dropped
NOTIFICATION_DELAY_S = 0.25  # between words to watchers, at least
EXPIRY_INTERVAL_S = 0.5  # how often orders are looked through for those whose time is over
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
        self.reader = wire.FrameReader(wire.MAX_REQUEST_BYTES)
        self.transport: asyncio.Transport | None = None
        self.watches = self.handling_scheduled = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        if not self.control.accept(self):
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        self.reader.feed(data)
        if not self.handling_scheduled:
            self.handle_next()

    def handle_next(self) -> None:
        """One ask, and the next in another turn: requests come in between."""
        self.handling_scheduled = False
        assert self.transport is not None
        if self.transport.is_closing():
            return
        number = wire.NOTIFICATION_NUMBER
        try:
            body = self.reader.next()
            if body is None:
                self.transport.resume_reading()
                return
            ask = wire.decode_request(body)
            number = ask.number
            self.send(self.control.handle(ask, self))
        except wire.WireError as error:
            self.send(wire.Response(wire.VERSION, number, error=str(error)))
            if number == wire.NOTIFICATION_NUMBER:  # what follows cannot be trusted to be a frame
                self.transport.close()
                return
        except Exception:
            log.exception("an ask of control failed")
            self.send(wire.Response(wire.VERSION, number, error="internal error"))
        self.handling_scheduled = True
        self.transport.pause_reading()
        self.control.proxy.loop.call_soon(self.handle_next)

    def send(self, answer: wire.Response) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        self.transport.write(wire.frame(answer))
        if self.transport.get_write_buffer_size() > MAX_UNREAD_BYTES:
            log.warning("a reader of control that does not read is dropped")
            self.transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        self.control.connections.discard(self)


class Control:
    """The control of one front door, and the orders in force there."""

    def __init__(self, door: Proxy, path: Path) -> None:
        self.proxy, self.path = door, path
        self.order_state, self.overlay = OrderState(), Overlay()
        self.connections: set[ControlConnection] = set()
        self.server: asyncio.AbstractServer | None = None
        self.inode: tuple[int, int] | None = None
        self.started_us = now_us()
        self.unix_ms = anchored_unix_ms()
        self.request_count = self.rejected_connections = 0
        self.notification_scheduled = False
        self.expiry_timer: asyncio.TimerHandle | None = None
        self.orders_received = asyncio.Event()  # an agent has brought its orders, be they none
        if door.saved_list:
            self.overlay.on_endpoint_list(door.saved_list.event)
        door.overlay = self.overlay.on_endpoint_list
        self.handlers: dict[str, Callable[[wire.Request, ControlConnection], wire.Response]] = {
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
        self.remove_stale_socket()
        before = os.umask(0o177)  # nobody else, not for a moment
        try:
            self.server = await self.proxy.loop.create_unix_server(
                lambda: ControlConnection(self), str(self.path)
            )
        except OSError as error:
            raise ControlError(f"{self.path}: {error.strerror or error}") from error
        finally:
            os.umask(before)
        found = self.path.stat()
        self.inode = found.st_dev, found.st_ino
        self.expire_orders()

    def remove_stale_socket(self) -> None:
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
        if self.expiry_timer:
            self.expiry_timer.cancel()
        if self.server:
            self.server.close()
        for connection in list(self.connections):
            if connection.transport:
                connection.transport.abort()
        with contextlib.suppress(OSError):
            found = self.path.lstat()
            if (found.st_dev, found.st_ino) == self.inode:  # a successor's stays
                self.path.unlink()

    def accept(self, connection: ControlConnection) -> bool:
        """Whether it may stay: it is the owner's, and there are not too many."""
        assert connection.transport is not None
        user = peer_user(connection.transport.get_extra_info("socket"))
        if user not in (os.geteuid(), 0) or len(self.connections) >= MAX_CONNECTIONS:
            self.rejected_connections += 1
            log.warning("a connection to control is refused: user %d, %d open", user, len(self.connections))
            return False
        self.connections.add(connection)
        return True

    # --- asks ---

    def handle(self, ask: wire.Request, connection: ControlConnection) -> wire.Response:
        self.request_count += 1
        return self.handlers[ask.kind](ask, connection)

    def on_state(self, ask: wire.Request, _: ControlConnection) -> wire.Response:
        return wire.Response(wire.VERSION, ask.number, state=self.state())

    def state(self) -> wire.ProxyState:
        door = self.proxy
        return wire.ProxyState(
            door.config.name,
            os.getpid(),
            round((now_us() - self.started_us) / 1e6, 3),
            door.clients.held,
            self.order_state.revision,
            self.overlay.version,
            len(door.clients.connections),
            len(door.open_requests),
        )

    def on_members(self, ask: wire.Request, _: ControlConnection) -> wire.Response:
        out: dict[str, int] = {}
        for exchange in (*self.proxy.open_requests.values(), *self.proxy.answered_requests.values()):
            for attempt in exchange.in_flight.values():
                out[attempt.server] = out.get(attempt.server, 0) + 1
        buildings = {number: name for name, number in self.proxy.config.zone_numbers.items()}
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
        return wire.Response(wire.VERSION, ask.number, members=members)

    def on_orders(self, ask: wire.Request, _: ControlConnection) -> wire.Response:
        found = self.order_state.to_record().in_force
        return wire.Response(wire.VERSION, ask.number, orders=found, state=self.state())

    def on_counters(self, ask: wire.Request, _: ControlConnection) -> wire.Response:
        counters = {
            "asks": self.request_count,
            "connections_refused": self.rejected_connections,
            "clients": len(self.proxy.clients.connections),
            "open_requests": len(self.proxy.open_requests),
            "backend_connections": self.proxy.backends.open_connections,
            "held_bytes": self.proxy.open_bytes,
        }
        for beside in self.proxy.counter_sources:
            counters |= beside()
        return wire.Response(wire.VERSION, ask.number, counters=counters)

    def on_quota(self, ask: wire.Request, _: ControlConnection) -> wire.Response:
        now, customer = now_us(), ask.customer.lower()
        shares = {held.plan: held for held in self.proxy.gateway.customers.customer_limits(customer, now)}
        return wire.Response(
            wire.VERSION,
            ask.number,
            quota=tuple(
                wire.QuotaStatus(plan, level, part, ceiling, demand, heard, shares.get(plan))
                for plan, level, part, ceiling, demand, heard in self.proxy.gateway.customers.quota_statuses(
                    customer, now
                )
            ),
        )

    def on_put(self, ask: wire.Request, _: ControlConnection) -> wire.Response:
        """All orders in force at a revision; one that is behind what holds here changes nothing."""
        before = dict(self.order_state.in_force)
        if ask.order_state and self.order_state.adopt(ask.order_state):
            for key, one in self.order_state.in_force.items():
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
            for verb, subject in before.keys() - self.order_state.in_force.keys():
                log.info("order ended: %s %s, at revision %d", verb.value, subject, self.order_state.revision)
            self.apply_orders()
        self.orders_received.set()
        return wire.Response(wire.VERSION, ask.number, state=self.state())

    def on_watch(self, ask: wire.Request, connection: ControlConnection) -> wire.Response:
        connection.watches = True
        return wire.Response(wire.VERSION, ask.number, state=self.state())

    # --- orders ---

    def apply_orders(self) -> None:
        """Bring the front door to what is wanted now."""
        now_ms = self.unix_ms()
        if news := self.overlay.on_drained_servers(self.order_state.active_subjects(Verb.DRAIN, now_ms)):
            self.proxy.publish(news, {})
        self.proxy.clients.hold(self.proxy.config.name in self.order_state.active_subjects(Verb.HOLD, now_ms))
        if not self.notification_scheduled:
            self.notification_scheduled = True
            self.proxy.loop.call_later(NOTIFICATION_DELAY_S, self.notify_watchers)

    def expire_orders(self) -> None:
        """Look for orders whose time is over, and try again what could not be done."""
        before = len(self.order_state.in_force)
        self.order_state.remove_lapsed(self.unix_ms())
        held = self.proxy.config.name in self.order_state.active_subjects(Verb.HOLD, self.unix_ms())
        if len(self.order_state.in_force) != before or held != self.proxy.clients.held:
            self.apply_orders()
        self.expiry_timer = self.proxy.loop.call_later(EXPIRY_INTERVAL_S, self.expire_orders)

    def notify_watchers(self) -> None:
        self.notification_scheduled = False
        news = wire.Response(wire.VERSION, wire.NOTIFICATION_NUMBER, state=self.state())
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
            await asyncio.wait_for(control.orders_received.wait(), wait_s)
        except TimeoutError:
            log.warning("no agent has brought orders within %.1f s; starting without", wait_s)
    return control.close
