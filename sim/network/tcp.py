"""Connections opened, accepted and served: refusals, and a full queue as a SYN lost and sent again."""

import asyncio
import errno
import os
from collections.abc import Callable
from typing import Any

from sim.loop import NODE
from sim.network.endpoint import Endpoint
from sim.network.kernel import Address, Kernel
from sim.network.listener import Listener
from sim.network.transport import SimTransport

SYN_AGAIN_US = (1_000_000, 2_000_000, 4_000_000)


class SimServer(asyncio.AbstractServer):
    """What `create_server` gives."""

    def __init__(self, tcp: "Tcp", listener: Listener, factory: Callable[[], Any]) -> None:
        self.tcp, self.listener, self.factory = tcp, listener, factory
        self.sockets = (listener,)
        listener.on_readable(self.accept, ())

    def accept(self) -> None:
        endpoint, _ = self.listener.accept()
        self.tcp.attach(endpoint, self.factory())

    def close(self) -> None:
        self.listener.close()

    def is_serving(self) -> bool:
        return self.listener.open

    def get_loop(self) -> asyncio.AbstractEventLoop:
        return self.tcp.loop

    async def wait_closed(self) -> None:
        return None


class Tcp:
    """What a loop asks for of streams."""

    def __init__(self, kernel: Kernel) -> None:
        self.kernel, self.way, self.loop = kernel, kernel.way, kernel.loop

    def syn(
        self, endpoint: Endpoint, address: Address, done: Callable[[OSError | None], None], tries: int = 0
    ) -> None:
        """Open a connection; `done` hears how that went, unless nobody ever answers."""

        def arrive() -> None:
            listener = self.kernel.ports.listeners.get(address)
            if not endpoint.open:
                return
            if listener is None:
                refused = ConnectionRefusedError(errno.ECONNREFUSED, "Connection refused")
                self.way.after(self.way.delay_us(), done, refused)
                return
            far = Endpoint(self.kernel, listener.node, address, endpoint.local)
            far.peer = endpoint
            if listener.offer(far):
                endpoint.peer = far
                self.way.after(self.way.delay_us(), done, None)
                return
            self.kernel.descriptors.release(far.descriptor)
            if tries < len(SYN_AGAIN_US):
                self.way.after(SYN_AGAIN_US[tries], self.syn, endpoint, address, done, tries + 1)

        self.way.after(self.way.delay_us(), arrive)

    async def connect(self, factory: Callable[[], Any], address: Address, more: dict[str, Any]) -> Any:  # noqa: ANN401
        node = NODE.get()
        if self.kernel.descriptors.full(node):
            raise OSError(errno.EMFILE, os.strerror(errno.EMFILE))
        endpoint = Endpoint(self.kernel, node, self.kernel.ports.given((address[0], 0)), address)
        waiting: asyncio.Future[None] = self.loop.create_future()

        def done(error: OSError | None) -> None:
            self.loop.soon(node, settle, error)

        def settle(error: OSError | None) -> None:
            if not waiting.done():
                waiting.set_result(None) if error is None else waiting.set_exception(error)

        self.syn(endpoint, address, done)
        try:
            await waiting
        except BaseException:
            endpoint.linger_0 = endpoint.peer is not None
            endpoint.close()
            raise
        return await self.open(endpoint, factory())

    async def adopt(self, factory: Callable[[], Any], endpoint: Endpoint) -> Any:  # noqa: ANN401
        endpoint.node = NODE.get()
        return await self.open(endpoint, factory())

    async def open(self, endpoint: Endpoint, protocol: Any) -> Any:  # noqa: ANN401
        transport = SimTransport(self.way, endpoint, protocol)
        transport.due = True  # nothing is read before the protocol knows of its transport
        started: asyncio.Future[None] = self.loop.create_future()

        def begin() -> None:
            protocol.connection_made(transport)
            transport.due = False
            if endpoint.readable():
                transport.look()
            if not started.done():
                started.set_result(None)

        self.loop.soon(transport.node, begin)
        await started
        return transport, protocol

    def attach(self, endpoint: Endpoint, protocol: Any) -> None:  # noqa: ANN401
        """A server's own accept."""
        endpoint.node = NODE.get()
        transport = SimTransport(self.way, endpoint, protocol)
        protocol.connection_made(transport)
        if endpoint.readable():
            transport.look()

    def serve(self, factory: Callable[[], Any], address: Address) -> SimServer:
        return SimServer(self, self.listen(address), factory)  # type: ignore[abstract]

    def listen(self, address: Address, backlog: int = 100) -> Listener:
        address = self.kernel.ports.given(address)
        if address in self.kernel.ports.listeners:
            raise OSError(errno.EADDRINUSE, os.strerror(errno.EADDRINUSE))
        return Listener(self.kernel, NODE.get(), address, backlog)
