"""A listening socket and its queue of connections that wait to be accepted."""

import errno
import os
from collections import deque
from collections.abc import Callable
from typing import Any

from sim.loop import CURRENT_NODE, Node
from sim.network.endpoint import Endpoint
from sim.network.kernel import Address, Kernel

SOMAXCONN = 4096


class Listener:
    """A listening socket with its accept queue."""

    def __init__(self, kernel: Kernel, node: Node | None, address: Address, backlog: int) -> None:
        self.kernel, self.node, self.address, self.backlog = kernel, node, address, backlog
        self.descriptor = kernel.descriptors.add(self)
        self.queue: deque[Endpoint] = deque()
        self.callback: tuple[Callable[..., Any], tuple[Any, ...], Node | None] | None = None
        self.open, self.callback_scheduled = True, False
        kernel.ports.listeners[address] = self

    def fileno(self) -> int:
        return self.descriptor

    def getsockname(self) -> Address:
        return self.address

    def setblocking(self, on: bool) -> None:
        return None

    def listen(self, backlog: int) -> None:
        self.backlog = backlog

    def on_readable(self, callback: Callable[..., Any] | None, args: tuple[Any, ...]) -> bool:
        """Set or clear the callback for waiting connections; whether there was one."""
        had_callback = self.callback is not None
        self.callback = (callback, args, CURRENT_NODE.get()) if callback else None
        self.schedule_callback()
        return had_callback

    def enqueue(self, endpoint: Endpoint) -> bool:
        """Queue a new connection; False if the queue is full, which drops the SYN."""
        if len(self.queue) > min(self.backlog, SOMAXCONN):
            return False
        self.queue.append(endpoint)
        self.schedule_callback()
        return True

    def schedule_callback(self) -> None:
        """Run the callback soon, in its node, if connections wait."""
        if self.queue and self.callback and not self.callback_scheduled:
            self.callback_scheduled = True
            self.kernel.loop.call_soon_in(self.callback[2], self.run_callback)

    def run_callback(self) -> None:
        """Run the callback once, and again while connections wait."""
        self.callback_scheduled = False
        if self.callback and self.queue:
            callback, args, _ = self.callback
            callback(*args)
            self.schedule_callback()

    def accept(self) -> tuple[Endpoint, Address]:
        """Take the next connection, with its remote address."""
        if not self.open or not self.queue:
            raise BlockingIOError(errno.EAGAIN, "Resource temporarily unavailable")
        if self.kernel.descriptors.is_full(CURRENT_NODE.get()):
            raise OSError(errno.EMFILE, os.strerror(errno.EMFILE))
        endpoint = self.queue.popleft()
        endpoint.node = CURRENT_NODE.get()
        return endpoint, endpoint.remote

    def close(self) -> None:
        """Stop listening and reset the connections that wait."""
        if not self.open:
            return
        self.open, self.callback = False, None
        self.kernel.descriptors.release(self.descriptor)
        if self.kernel.ports.listeners.get(self.address) is self:
            del self.kernel.ports.listeners[self.address]
        while self.queue:
            endpoint = self.queue.popleft()
            endpoint.zero_linger = True
            endpoint.close()
