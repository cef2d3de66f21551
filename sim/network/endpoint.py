"""One side of a connection, as the kernel holds it: what is unread, what is on its way, and how it ended."""

import errno
import socket as real
from typing import TYPE_CHECKING

from sim.loop import Node
from sim.network.kernel import Address, Kernel

if TYPE_CHECKING:
    from sim.network.transport import SimTransport

WINDOW_BYTES = 64 * 1024  # of an endpoint's receive buffer


class Endpoint:
    """One side of a connection, as the kernel holds it."""

    __slots__ = (
        "arrive_us",
        "descriptor",
        "eof",
        "error",
        "in_flight",
        "kernel",
        "linger_0",
        "local",
        "node",
        "open",
        "peer",
        "remote",
        "shut",
        "transport",
        "unread",
    )

    def __init__(self, kernel: Kernel, node: Node | None, local: Address, remote: Address) -> None:
        self.kernel, self.node, self.local, self.remote = kernel, node, local, remote
        self.descriptor = kernel.descriptors.add(self)
        self.peer: Endpoint | None = None
        self.transport: SimTransport | None = None
        self.unread, self.in_flight, self.arrive_us = bytearray(), 0, 0
        self.eof = self.shut = self.linger_0 = False
        self.open = True
        self.error: OSError | None = None

    # what a socket object is asked for
    def fileno(self) -> int:
        return self.descriptor

    def getsockname(self) -> Address:
        return self.local

    def setsockopt(self, level: int, option: int, value: object) -> None:
        self.linger_0 = self.linger_0 or option == real.SO_LINGER

    def setblocking(self, on: bool) -> None:
        return None

    def readable(self) -> bool:
        return bool(self.unread) or self.eof or self.error is not None

    def send(self, data: bytes | bytearray | memoryview) -> int:
        """Hand bytes to the kernel: as many as the peer's window has room for."""
        peer = self.peer
        if self.error:
            raise self.error
        if not self.open or self.shut:
            raise BrokenPipeError(errno.EPIPE, "Broken pipe")
        if peer is None:
            return 0
        room = WINDOW_BYTES - len(peer.unread) - peer.in_flight
        part = bytes(data[: max(0, room)])
        if part:
            peer.in_flight += len(part)
            self.kernel.way.travel(peer, peer.receive, part)
        return len(part)

    def receive(self, data: bytes) -> None:
        self.in_flight -= len(data)
        if not self.open:  # nobody is there any more: the sender is told so
            if self.peer:
                self.kernel.way.travel(self.peer, self.peer.reset)
            return
        if self.error is None:
            self.unread += data
            self.notify()

    def finish(self) -> None:
        """The peer's FIN."""
        if self.open:
            self.eof = True
            self.notify()

    def reset(self) -> None:
        """The peer's RST."""
        if self.open and self.error is None:
            self.unread.clear()
            self.error = ConnectionResetError(errno.ECONNRESET, "Connection reset by peer")
            self.notify()
            self.room()  # who waits to write hears of it as well, also where nothing is read

    def notify(self) -> None:
        if self.transport:
            self.transport.look()

    def read(self, most: int) -> bytes:
        data = bytes(self.unread[:most])
        del self.unread[:most]
        if self.peer and data:
            self.kernel.way.travel(self.peer, self.peer.room)
        return data

    def room(self) -> None:
        if self.open and self.transport:
            self.transport.push_on()

    def shutdown_write(self) -> None:
        if self.open and not self.shut and self.peer:
            self.shut = True
            self.kernel.way.travel(self.peer, self.peer.finish)

    def close(self) -> None:
        """The descriptor is let go of: a FIN, or a reset where bytes are unread or linger is 0."""
        if not self.open:
            return
        self.open = False
        self.kernel.descriptors.release(self.descriptor)
        peer = self.peer
        if peer and self.error is None:
            rude = self.linger_0 or bool(self.unread)
            if rude:
                self.kernel.way.travel(peer, peer.reset)
            elif not self.shut:
                self.kernel.way.travel(peer, peer.finish)
        self.unread.clear()
