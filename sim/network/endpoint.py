"""Kernel state of one side of a connection: unread bytes, bytes in flight, and how it ended."""

import errno
import socket as real
from typing import TYPE_CHECKING

from sim.loop import Node
from sim.network.kernel import Address, Kernel

if TYPE_CHECKING:
    from sim.network.transport import SimTransport

WINDOW_BYTES = 64 * 1024  # size of an endpoint's receive buffer


class Endpoint:
    """Kernel state of one side of a connection; also stands in for its socket object."""

    __slots__ = (
        "descriptor",
        "eof",
        "error",
        "in_flight",
        "kernel",
        "last_arrival_us",
        "local",
        "node",
        "open",
        "peer",
        "remote",
        "transport",
        "unread",
        "write_closed",
        "zero_linger",
    )

    def __init__(self, kernel: Kernel, node: Node | None, local: Address, remote: Address) -> None:
        self.kernel, self.node, self.local, self.remote = kernel, node, local, remote
        self.descriptor = kernel.descriptors.add(self)
        self.peer: Endpoint | None = None
        self.transport: SimTransport | None = None
        self.unread, self.in_flight, self.last_arrival_us = bytearray(), 0, 0
        self.eof = self.write_closed = self.zero_linger = False
        self.open = True
        self.error: OSError | None = None

    # --- socket interface ---

    def fileno(self) -> int:
        return self.descriptor

    def getsockname(self) -> Address:
        return self.local

    def setsockopt(self, level: int, option: int, value: object) -> None:
        self.zero_linger = self.zero_linger or option == real.SO_LINGER

    def setblocking(self, on: bool) -> None:
        return None

    def readable(self) -> bool:
        """Whether a read would return bytes, end of file or an error."""
        return bool(self.unread) or self.eof or self.error is not None

    def send(self, data: bytes | bytearray | memoryview) -> int:
        """Send as many bytes as fit the peer's receive window; the number sent."""
        peer = self.peer
        if self.error:
            raise self.error
        if not self.open or self.write_closed:
            raise BrokenPipeError(errno.EPIPE, "Broken pipe")
        if peer is None:
            return 0
        free_bytes = WINDOW_BYTES - len(peer.unread) - peer.in_flight
        sent = bytes(data[: max(0, free_bytes)])
        if sent:
            peer.in_flight += len(sent)
            self.kernel.links.deliver_in_order(peer, peer.receive, sent)
        return len(sent)

    def receive(self, data: bytes) -> None:
        """Handle data from the peer."""
        self.in_flight -= len(data)
        if not self.open:  # the endpoint is closed: answer with a reset
            if self.peer:
                self.kernel.links.deliver_in_order(self.peer, self.peer.receive_rst)
            return
        if self.error is None:
            self.unread += data
            self.notify_transport()

    def receive_fin(self) -> None:
        """Handle a FIN from the peer."""
        if self.open:
            self.eof = True
            self.notify_transport()

    def receive_rst(self) -> None:
        """Handle a reset from the peer."""
        if self.open and self.error is None:
            self.unread.clear()
            self.error = ConnectionResetError(errno.ECONNRESET, "Connection reset by peer")
            self.notify_transport()
            self.window_opened()  # a blocked writer learns of the reset even when it does not read

    def notify_transport(self) -> None:
        """Tell the transport that there is something to read."""
        if self.transport:
            self.transport.schedule_read()

    def read(self, max_bytes: int) -> bytes:
        """Take up to `max_bytes` unread bytes and open the window to the peer."""
        data = bytes(self.unread[:max_bytes])
        del self.unread[:max_bytes]
        if self.peer and data:
            self.kernel.links.deliver_in_order(self.peer, self.peer.window_opened)
        return data

    def window_opened(self) -> None:
        """Let the transport write again, as the peer's window has opened."""
        if self.open and self.transport:
            self.transport.schedule_flush()

    def shutdown_write(self) -> None:
        """Send a FIN and allow no further writes."""
        if self.open and not self.write_closed and self.peer:
            self.write_closed = True
            self.kernel.links.deliver_in_order(self.peer, self.peer.receive_fin)

    def close(self) -> None:
        """Close the descriptor and send a FIN, or a reset if bytes are unread or linger is 0."""
        if not self.open:
            return
        self.open = False
        self.kernel.descriptors.release(self.descriptor)
        peer = self.peer
        if peer and self.error is None:
            sends_reset = self.zero_linger or bool(self.unread)
            if sends_reset:
                self.kernel.links.deliver_in_order(peer, peer.receive_rst)
            elif not self.write_closed:
                self.kernel.links.deliver_in_order(peer, peer.receive_fin)
        self.unread.clear()
