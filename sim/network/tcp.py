"""Opens, accepts and serves TCP connections; a SYN to a full accept queue is dropped and retried."""

import asyncio
import errno
import os
from collections.abc import Callable
from typing import Any

from sim.loop import CURRENT_NODE
from sim.network.endpoint import Endpoint
from sim.network.kernel import Address, Kernel
from sim.network.listener import Listener
from sim.network.transport import SimTransport

SYN_RETRY_DELAYS_US = (1_000_000, 2_000_000, 4_000_000)


class SimServer(asyncio.AbstractServer):
    """The server object that `create_server` returns."""

    def __init__(self, tcp: "Tcp", listener: Listener, protocol_factory: Callable[[], Any]) -> None:
        self.tcp, self.listener, self.protocol_factory = tcp, listener, protocol_factory
        self.sockets = (listener,)
        listener.on_readable(self.accept, ())

    def accept(self) -> None:
        """Accept one connection and start its transport."""
        endpoint, _ = self.listener.accept()
        self.tcp.serve_accepted(endpoint, self.protocol_factory())

    def close(self) -> None:
        self.listener.close()

    def is_serving(self) -> bool:
        return self.listener.open

    def get_loop(self) -> asyncio.AbstractEventLoop:
        return self.tcp.loop

    async def wait_closed(self) -> None:
        return None


class Tcp:
    """Stream operations of the event loop."""

    def __init__(self, kernel: Kernel) -> None:
        self.kernel, self.links, self.loop = kernel, kernel.links, kernel.loop

    def send_syn(
        self, endpoint: Endpoint, address: Address, done: Callable[[OSError | None], None], retries: int = 0
    ) -> None:
        """Open a connection; `done` gets the result, and is never called if every SYN is dropped."""

        def receive_syn() -> None:
            listener = self.kernel.ports.listeners.get(address)
            if not endpoint.open:
                return
            if listener is None:
                refused = ConnectionRefusedError(errno.ECONNREFUSED, "Connection refused")
                self.links.call_after(self.links.delay_us(), done, refused)
                return
            server_endpoint = Endpoint(self.kernel, listener.node, address, endpoint.local)
            server_endpoint.peer = endpoint
            if listener.enqueue(server_endpoint):
                endpoint.peer = server_endpoint
                self.links.call_after(self.links.delay_us(), done, None)
                return
            self.kernel.descriptors.release(server_endpoint.descriptor)
            if retries < len(SYN_RETRY_DELAYS_US):
                self.links.call_after(
                    SYN_RETRY_DELAYS_US[retries], self.send_syn, endpoint, address, done, retries + 1
                )

        self.links.call_after(self.links.delay_us(), receive_syn)

    async def connect(
        self, protocol_factory: Callable[[], Any], address: Address, options: dict[str, Any]
    ) -> Any:  # noqa: ANN401
        """Open a connection; its transport and protocol."""
        node = CURRENT_NODE.get()
        if self.kernel.descriptors.is_full(node):
            raise OSError(errno.EMFILE, os.strerror(errno.EMFILE))
        endpoint = Endpoint(self.kernel, node, self.kernel.ports.resolve_port((address[0], 0)), address)
        connected: asyncio.Future[None] = self.loop.create_future()

        def schedule_settle(error: OSError | None) -> None:
            self.loop.call_soon_in(node, settle, error)

        def settle(error: OSError | None) -> None:
            if not connected.done():
                connected.set_result(None) if error is None else connected.set_exception(error)

        self.send_syn(endpoint, address, schedule_settle)
        try:
            await connected
        except BaseException:
            endpoint.zero_linger = endpoint.peer is not None
            endpoint.close()
            raise
        return await self.start_transport(endpoint, protocol_factory())

    async def wrap_accepted(self, protocol_factory: Callable[[], Any], endpoint: Endpoint) -> Any:  # noqa: ANN401
        """Start a transport for a socket that the program has accepted."""
        endpoint.node = CURRENT_NODE.get()
        return await self.start_transport(endpoint, protocol_factory())

    async def start_transport(self, endpoint: Endpoint, protocol: Any) -> Any:  # noqa: ANN401
        """Start a transport; `connection_made` runs in a later callback of the node."""
        transport = SimTransport(self.links, endpoint, protocol)
        transport.read_scheduled = True  # no read before connection_made
        started: asyncio.Future[None] = self.loop.create_future()

        def begin() -> None:
            protocol.connection_made(transport)
            transport.read_scheduled = False
            if endpoint.readable():
                transport.schedule_read()
            if not started.done():
                started.set_result(None)

        self.loop.call_soon_in(transport.node, begin)
        await started
        return transport, protocol

    def serve_accepted(self, endpoint: Endpoint, protocol: Any) -> None:  # noqa: ANN401
        """Start a transport for a connection that a server has accepted."""
        endpoint.node = CURRENT_NODE.get()
        transport = SimTransport(self.links, endpoint, protocol)
        protocol.connection_made(transport)
        if endpoint.readable():
            transport.schedule_read()

    def serve(self, protocol_factory: Callable[[], Any], address: Address) -> SimServer:
        """Listen, and accept with protocols from the factory."""
        return SimServer(self, self.listen(address), protocol_factory)  # type: ignore[abstract]

    def listen(self, address: Address, backlog: int = 100) -> Listener:
        """Listen on an address, with port 0 replaced by a free port."""
        address = self.kernel.ports.resolve_port(address)
        if address in self.kernel.ports.listeners:
            raise OSError(errno.EADDRINUSE, os.strerror(errno.EADDRINUSE))
        return Listener(self.kernel, CURRENT_NODE.get(), address, backlog)
