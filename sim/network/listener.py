"""A listening socket, and its queue of connections that nobody has accepted yet."""

import errno
import os
from collections import deque
from collections.abc import Callable
from typing import Any

from sim.loop import NODE, Node
from sim.network.endpoint import Endpoint
from sim.network.kernel import Address, Kernel

SOMAXCONN = 4096


class Listener:
    """A listening socket."""

    def __init__(self, kernel: Kernel, node: Node | None, address: Address, backlog: int) -> None:
        self.kernel, self.node, self.address, self.backlog = kernel, node, address, backlog
        self.descriptor = kernel.descriptors.add(self)
        self.queue: deque[Endpoint] = deque()
        self.callback: tuple[Callable[..., Any], tuple[Any, ...], Node | None] | None = None
        self.open, self.due = True, False
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
        before = self.callback is not None
        self.callback = (callback, args, NODE.get()) if callback else None
        self.notify()
        return before

    def offer(self, endpoint: Endpoint) -> bool:
        """A connection has come up; False where the queue is full, as a lost SYN is."""
        if len(self.queue) > min(self.backlog, SOMAXCONN):
            return False
        self.queue.append(endpoint)
        self.notify()
        return True

    def notify(self) -> None:
        if self.queue and self.callback and not self.due:
            self.due = True
            self.kernel.loop.soon(self.callback[2], self.ready)

    def ready(self) -> None:
        self.due = False
        if self.callback and self.queue:
            callback, args, _ = self.callback
            callback(*args)
            self.notify()

    def accept(self) -> tuple[Endpoint, Address]:
        if not self.open or not self.queue:
            raise BlockingIOError(errno.EAGAIN, "Resource temporarily unavailable")
        if self.kernel.descriptors.full(NODE.get()):
            raise OSError(errno.EMFILE, os.strerror(errno.EMFILE))
        endpoint = self.queue.popleft()
        endpoint.node = NODE.get()
        return endpoint, endpoint.remote

    def close(self) -> None:
        if not self.open:
            return
        self.open, self.callback = False, None
        self.kernel.descriptors.release(self.descriptor)
        if self.kernel.ports.listeners.get(self.address) is self:
            del self.kernel.ports.listeners[self.address]
        while self.queue:
            endpoint = self.queue.popleft()
            endpoint.linger_0 = True
            endpoint.close()
