"""Bound UDP sockets; a datagram is delayed, may be lost, and is never duplicated."""

import asyncio
import errno
import os
from collections.abc import Callable
from typing import Any

from sim.loop import CURRENT_NODE
from sim.network.kernel import Address, Kernel


class SimDatagramTransport(asyncio.DatagramTransport):
    """The transport of a bound UDP socket."""

    def __init__(self, udp: "Udp", address: Address, protocol: Any) -> None:  # noqa: ANN401
        super().__init__()
        self.udp, self.address, self.protocol = udp, address, protocol
        self.node, self.closing = CURRENT_NODE.get(), False

    def get_extra_info(self, name: str, default: Any = None) -> Any:  # noqa: ANN401
        return {"sockname": self.address}.get(name, default)

    def is_closing(self) -> bool:
        return self.closing

    def sendto(self, data: Any, addr: Any = None) -> None:  # noqa: ANN401
        if not self.closing and (self.node is None or self.node.alive):
            self.udp.send(self.address, addr, bytes(data))

    def deliver(self, data: bytes, sender: Address) -> None:
        """Hand a datagram to the protocol, in its node."""
        if not self.closing:
            self.udp.loop.call_soon_in(self.node, self.protocol.datagram_received, data, sender)

    def close(self) -> None:
        if not self.closing:
            self.closing = True
            self.udp.sockets.pop(self.address, None)
            self.udp.loop.call_soon_in(self.node, self.protocol.connection_lost, None)

    def abort(self) -> None:
        self.close()


class Udp:
    """Datagram operations of the event loop."""

    def __init__(self, kernel: Kernel) -> None:
        self.links, self.loop, self.ports = kernel.links, kernel.loop, kernel.ports
        self.sockets = kernel.ports.sockets

    def bind(self, protocol_factory: Callable[[], Any], address: Address) -> Any:  # noqa: ANN401
        """Bind a socket; its transport and protocol."""
        protocol = protocol_factory()
        address = self.ports.resolve_port(address)
        if address in self.sockets:
            raise OSError(errno.EADDRINUSE, os.strerror(errno.EADDRINUSE))
        transport = self.sockets[address] = SimDatagramTransport(self, address, protocol)
        protocol.connection_made(transport)
        return transport, protocol

    def send(self, sender: Address, receiver: Address, data: bytes) -> None:
        """Send a datagram, which is lost if nothing is bound at its destination."""
        if self.links.drops_datagram():
            return

        def deliver() -> None:
            if transport := self.sockets.get(receiver):
                transport.deliver(data, sender)

        self.links.call_after(self.links.delay_us(), deliver)
