"""The control server of one proxy, on a private Unix-domain socket.

It shares the proxy's event loop and must not delay the proxy's requests: it handles one message of a
connection in each iteration of the loop, limits the number of connections, and drops a client that does not
read its responses. Only the owner of the socket and root can open it; the user that the kernel
reports for a connection is checked as well.
"""

import asyncio
import contextlib
import logging
import os
from collections import Counter
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import cast

from molereach.clock import now_us
from molereach.fleet import wire
from molereach.fleet.anchored_clock import anchored_unix_ms
from molereach.fleet.control_socket import ControlError, peer_user_id, remove_stale_socket
from molereach.fleet.order_state import OrderState
from molereach.fleet.orders import Decided, Verb
from molereach.fleet.overlay import Overlay
from molereach.proxy.proxy import Proxy

log = logging.getLogger(__name__)

MAX_CONNECTIONS = 8
MAX_UNREAD_BYTES = 1 << 20  # of responses; a client that leaves more unread is dropped
NOTIFICATION_DELAY_S = 0.25  # changes within this time share one notification
EXPIRY_INTERVAL_S = 0.5  # between checks for lapsed orders


class ControlConnection(asyncio.Protocol):
    """A connection from an agent.

    `watches` is set once the agent has requested notifications, `handling_scheduled` while the event loop is
    to call `handle_next`.
    """

    def __init__(self, control: "Control") -> None:
        """Create a connection of the server `control`."""
        self.control = control
        self.reader = wire.FrameReader(wire.MAX_REQUEST_BYTES)
        self.transport: asyncio.Transport | None = None
        self.watches = False
        self.handling_scheduled = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Abort the connection unless the server accepts it."""
        self.transport = cast(asyncio.Transport, transport)
        if not self.control.accept(self):
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        """Buffer received bytes, and handle the first request if none is scheduled."""
        self.reader.feed(data)
        if not self.handling_scheduled:
            self.handle_next()

    def handle_next(self) -> None:
        """Handle one request; schedule the next one, so that the event loop can serve clients in between."""
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
            request = wire.decode_request(body)
            number = request.number
            self.send(self.control.handle(request, self))
        except wire.WireError as error:
            self.send(wire.Response(wire.VERSION, number, error=str(error)))
            if number == wire.NOTIFICATION_NUMBER:  # where the next frame starts is unknown
                self.transport.close()
                return
        except Exception:
            log.exception("an ask of control failed")
            self.send(wire.Response(wire.VERSION, number, error="internal error"))
        self.handling_scheduled = True
        self.transport.pause_reading()
        self.control.proxy.loop.call_soon(self.handle_next)

    def send(self, response: wire.Response) -> None:
        """Send a response; drop the client if it leaves too many bytes unread."""
        if self.transport is None or self.transport.is_closing():
            return
        self.transport.write(wire.frame(response))
        if self.transport.get_write_buffer_size() > MAX_UNREAD_BYTES:
            log.warning("a reader of control that does not read is dropped")
            self.transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        """Remove the connection from the server."""
        self.control.connections.discard(self)


class Control:
    """The control server of one proxy, and the orders in force there.

    `orders_received` is set once an agent has sent the orders in force, even if there are none.
    """

    def __init__(self, proxy: Proxy, path: Path) -> None:
        """Attach to a proxy; `start` opens the socket at `path`."""
        self.proxy = proxy
        self.path = path
        self.order_state = OrderState()
        self.overlay = Overlay()
        self.connections: set[ControlConnection] = set()
        self.server: asyncio.AbstractServer | None = None
        self.inode: tuple[int, int] | None = None  # device and inode of the socket
        self.started_us = now_us()
        self.unix_ms = anchored_unix_ms()
        self.request_count = 0
        self.rejected_connections = 0
        self.notification_scheduled = False
        self.expiry_timer: asyncio.TimerHandle | None = None
        self.orders_received = asyncio.Event()
        if proxy.endpoints.saved_list:
            self.overlay.on_endpoint_list(proxy.endpoints.saved_list.event)
        proxy.endpoints.overlay = self.overlay.on_endpoint_list
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
        """Open the socket; raise ControlError if its path is in use or its folder is not private."""
        remove_stale_socket(self.path)
        # The umask sets the mode; a later chmod would leave a time in which other users could connect.
        previous_umask = os.umask(0o177)
        try:
            self.server = await self.proxy.loop.create_unix_server(
                lambda: ControlConnection(self), str(self.path)
            )
        except OSError as error:
            raise ControlError(f"{self.path}: {error.strerror or error}") from error
        finally:
            os.umask(previous_umask)
        status = self.path.stat()
        self.inode = status.st_dev, status.st_ino
        self.expire_orders()

    def close(self) -> None:
        """Close all connections; remove the socket unless another process has replaced it."""
        if self.expiry_timer:
            self.expiry_timer.cancel()
        if self.server:
            self.server.close()
        for connection in list(self.connections):
            if connection.transport:
                connection.transport.abort()
        with contextlib.suppress(OSError):
            status = self.path.lstat()
            if (status.st_dev, status.st_ino) == self.inode:
                self.path.unlink()

    def accept(self, connection: ControlConnection) -> bool:
        """Return whether to accept a connection: its user is the owner or root, and few enough are open."""
        assert connection.transport is not None
        user_id = peer_user_id(connection.transport.get_extra_info("socket"))
        if user_id not in (os.geteuid(), 0) or len(self.connections) >= MAX_CONNECTIONS:
            self.rejected_connections += 1
            log.warning(
                "a connection to control is refused: user %d, %d open", user_id, len(self.connections)
            )
            return False
        self.connections.add(connection)
        return True

    # --- requests ---

    def handle(self, request: wire.Request, connection: ControlConnection) -> wire.Response:
        """Count and handle a request; return the response."""
        self.request_count += 1
        return self.handlers[request.kind](request, connection)

    def on_state(self, request: wire.Request, _: ControlConnection) -> wire.Response:
        """Handle `state`: the state of the proxy."""
        return wire.Response(wire.VERSION, request.number, state=self.state())

    def state(self) -> wire.ProxyState:
        """Return the state of the proxy."""
        proxy = self.proxy
        return wire.ProxyState(
            proxy.config.name,
            os.getpid(),
            round((now_us() - self.started_us) / 1e6, 3),
            proxy.clients.is_paused,
            self.order_state.revision,
            self.overlay.version,
            len(proxy.clients.connections),
            len(proxy.requests.open),
        )

    def on_members(self, request: wire.Request, _: ControlConnection) -> wire.Response:
        """Handle `members`: the listed servers, with the number of attempts in flight at each."""
        in_flight = Counter(
            attempt.server
            for exchange in (*self.proxy.requests.open.values(), *self.proxy.requests.answered.values())
            for attempt in exchange.in_flight.values()
        )
        buildings = {number: name for name, number in self.proxy.config.zone_numbers.items()}
        members = tuple(
            wire.Member(
                name,
                buildings.get(server.zone, str(server.zone)),
                server.state.value,
                name in self.overlay.drained,
                in_flight[name],
            )
            for name, server in self.overlay.listed.items()
        )
        return wire.Response(wire.VERSION, request.number, members=members)

    def on_orders(self, request: wire.Request, _: ControlConnection) -> wire.Response:
        """Handle `orders`: the orders in force."""
        in_force = self.order_state.to_record().in_force
        return wire.Response(wire.VERSION, request.number, orders=in_force, state=self.state())

    def on_counters(self, request: wire.Request, _: ControlConnection) -> wire.Response:
        """Handle `counters`: the counters of the proxy and of the services attached to it."""
        counters = {
            "asks": self.request_count,
            "connections_refused": self.rejected_connections,
            "clients": len(self.proxy.clients.connections),
            "open_requests": len(self.proxy.requests.open),
            "backend_connections": self.proxy.backends.open_connections,
            "held_bytes": self.proxy.requests.open_bytes,
        }
        for read_counters in self.proxy.counter_sources:
            counters |= read_counters()
        return wire.Response(wire.VERSION, request.number, counters=counters)

    def on_quota(self, request: wire.Request, _: ControlConnection) -> wire.Response:
        """Handle `quota`: the state of a customer's quota at this proxy, for each plan."""
        read_at_us = now_us()
        customer = request.customer.lower()
        customers = self.proxy.gateway.customers
        limits = {limit.plan: limit for limit in customers.customer_limits(customer, read_at_us)}
        statuses = customers.quota_statuses(customer, read_at_us)
        quota = tuple(wire.QuotaStatus(*status, limits.get(status.plan_index)) for status in statuses)
        return wire.Response(wire.VERSION, request.number, quota=quota)

    def on_put(self, request: wire.Request, _: ControlConnection) -> wire.Response:
        """Handle `put`: adopt the orders in force, unless those known already are as new or newer."""
        previous = dict(self.order_state.in_force)
        if request.order_state and self.order_state.adopt(request.order_state):
            self.log_changes(previous)
            self.apply_orders()
        self.orders_received.set()
        return wire.Response(wire.VERSION, request.number, state=self.state())

    def on_watch(self, request: wire.Request, connection: ControlConnection) -> wire.Response:
        """Handle `watch`: notify the connection of changes from now on."""
        connection.watches = True
        return wire.Response(wire.VERSION, request.number, state=self.state())

    # --- orders ---

    def log_changes(self, previous: Mapping[tuple[Verb, str], Decided]) -> None:
        """Log the orders that came into force since `previous`, and those that ended."""
        for key, decided in self.order_state.in_force.items():
            if previous.get(key) != decided:
                log.info(
                    "order %s: %s %s, by %s at revision %d: %s",
                    decided.order.id,
                    decided.order.verb.value,
                    decided.order.subject,
                    decided.order.issuer,
                    decided.revision,
                    decided.order.reason,
                )
        for verb, subject in previous.keys() - self.order_state.in_force.keys():
            log.info("order ended: %s %s, at revision %d", verb.value, subject, self.order_state.revision)

    def apply_orders(self) -> None:
        """Apply the orders in force to the proxy, and schedule a notification of the watchers."""
        now_ms = self.unix_ms()
        drained = self.order_state.active_subjects(Verb.DRAIN, now_ms)
        if changes := self.overlay.on_drained_servers(drained):
            self.proxy.endpoints.publish(changes, {})
        self.proxy.clients.set_paused(
            self.proxy.config.name in self.order_state.active_subjects(Verb.HOLD, now_ms)
        )
        if not self.notification_scheduled:
            self.notification_scheduled = True
            self.proxy.loop.call_later(NOTIFICATION_DELAY_S, self.notify_watchers)

    def expire_orders(self) -> None:
        """Remove lapsed orders, apply the others if that changes anything, and schedule the next check."""
        previous_count = len(self.order_state.in_force)
        self.order_state.remove_lapsed(self.unix_ms())
        on_hold = self.proxy.config.name in self.order_state.active_subjects(Verb.HOLD, self.unix_ms())
        if len(self.order_state.in_force) != previous_count or on_hold != self.proxy.clients.is_paused:
            self.apply_orders()
        self.expiry_timer = self.proxy.loop.call_later(EXPIRY_INTERVAL_S, self.expire_orders)

    def notify_watchers(self) -> None:
        """Send the state to all connections that watch."""
        self.notification_scheduled = False
        notification = wire.Response(wire.VERSION, wire.NOTIFICATION_NUMBER, state=self.state())
        for connection in [connection for connection in self.connections if connection.watches]:
            connection.send(notification)


async def attach(proxy: Proxy, path: Path, wait_s: float) -> Callable[[], None]:
    """Start the control server of a proxy that is about to start; return the function that stops it.

    Waits up to `wait_s` seconds for an agent to send the orders in force, so that they apply before the proxy
    takes its first request.
    """
    control = Control(proxy, path)
    await control.start()
    if wait_s:
        try:
            await asyncio.wait_for(control.orders_received.wait(), wait_s)
        except TimeoutError:
            log.warning("no agent has brought orders within %.1f s; starting without", wait_s)
    return control.close
