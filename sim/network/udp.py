"""Bound UDP sockets, and what is sent between them: late, lost by chance, never more than once."""

import asyncio
import errno
import os
from collections.abc import Callable
from typing import Any

from sim.loop import NODE
from sim.network.kernel import Address, Kernel


class SimDatagrams(asyncio.DatagramTransport):
    """A bound UDP socket."""

    def __init__(self, udp: "Udp", address: Address, protocol: Any) -> None:  # noqa: ANN401
        super().__init__()
        self.udp, self.address, self.protocol = udp, address, protocol
        self.node, self.closing = NODE.get(), False

    def get_extra_info(self, name: str, default: Any = None) -> Any:  # noqa: ANN401
        return {"sockname": self.address}.get(name, default)

    def is_closing(self) -> bool:
        return self.closing

    def sendto(self, data: Any, addr: Any = None) -> None:  # noqa: ANN401
        if not self.closing and (self.node is None or self.node.alive):
            self.udp.send(self.address, addr, bytes(data))

    def arrive(self, data: bytes, sender: Address) -> None:
        if not self.closing:
            self.udp.loop.soon(self.node, self.protocol.datagram_received, data, sender)

    def close(self) -> None:
        if not self.closing:
            self.closing = True
            self.udp.sockets.pop(self.address, None)
            self.udp.loop.soon(self.node, self.protocol.connection_lost, None)

    def abort(self) -> None:
        self.close()


class Udp:
    """What a loop asks for of datagrams."""

    def __init__(self, kernel: Kernel) -> None:
        self.way, self.loop, self.ports = kernel.way, kernel.loop, kernel.ports
        self.sockets = kernel.ports.sockets

    def bind(self, factory: Callable[[], Any], address: Address) -> Any:  # noqa: ANN401
        protocol = factory()
        address = self.ports.given(address)
        if address in self.sockets:
            raise OSError(errno.EADDRINUSE, os.strerror(errno.EADDRINUSE))
        transport = self.sockets[address] = SimDatagrams(self, address, protocol)
        protocol.connection_made(transport)
        return transport, protocol

    def send(self, sender: Address, receiver: Address, data: bytes) -> None:
        if self.way.loses():
            return

        def arrive() -> None:
            if found := self.sockets.get(receiver):
                found.arrive(data, sender)

        self.way.after(self.way.delay_us(), arrive)
