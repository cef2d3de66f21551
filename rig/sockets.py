"""Sockets of the rig: loopback only, ports from the system, and the ways in which links fail."""

import asyncio
import contextlib
import os
import socket
import struct
from collections.abc import Callable

BACKLOG = 256
FILL = 8  # connections that fill the queue of a listener that is cut off
RESET_AT_CLOSE = struct.pack("ii", 1, 0)

Address = tuple[str, int]


def own_host() -> str:
    """A loopback address of this process: ports of two rigs at once cannot meet."""
    number = os.getpid()
    return f"127.{64 + number // 62500 % 64}.{number // 250 % 250 + 1}.{number % 250 + 1}"


def host_of(host: str, number: int) -> str:
    """The address of one of many machines beside `own_host`, as one does not have ports enough for all; no
    other rig's, either."""
    first, _, *rest = host.split(".")
    return ".".join((first, str(128 + number % 64), *rest))


def reserve(host: str) -> tuple[socket.socket, Address]:
    """A port that stays ours while the program that is told of it binds it, dies and binds it again."""
    holder = socket.socket()
    holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    holder.bind((host, 0))
    address: Address = holder.getsockname()
    return holder, address


def free_datagram_port(host: str) -> Address:
    """A UDP port that nobody has; on an address of our own nobody else takes it."""
    with socket.socket(type=socket.SOCK_DGRAM) as free:
        free.bind((host, 0))
        address: Address = free.getsockname()
        return address


def reset(transport: asyncio.BaseTransport) -> None:
    """End a connection as a machine does that has lost it: with a reset."""
    sock = transport.get_extra_info("socket")
    if sock is not None:
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
    if isinstance(transport, asyncio.Transport) or hasattr(transport, "abort"):
        transport.abort()


class Listener:
    """A listening socket that can be cut off: then new connections never come up."""

    def __init__(self, host: str, make: Callable[[], asyncio.Protocol]) -> None:
        self.make, self.loop = make, asyncio.get_running_loop()
        self.tasks: set[asyncio.Task[None]] = set()
        self.fillers: list[socket.socket] = []
        self.listener: socket.socket | None = None
        self.frozen = False
        self.holder, self.address = reserve(host)
        self.open()

    def open(self) -> None:
        if self.listener is None:
            self.listener = socket.create_server(self.address, backlog=BACKLOG)
            self.listener.setblocking(False)
            self.loop.add_reader(self.listener, self.accept)

    def accept(self) -> None:
        assert self.listener is not None
        with contextlib.suppress(BlockingIOError, ConnectionError):
            while True:
                accepted, _ = self.listener.accept()
                accepted.setblocking(False)
                task = self.loop.create_task(self.attach(accepted))
                self.tasks.add(task)
                task.add_done_callback(self.tasks.discard)

    async def attach(self, accepted: socket.socket) -> None:
        try:
            await self.loop.connect_accepted_socket(self.make, accepted)
        except OSError:
            accepted.close()

    def freeze(self) -> None:
        """New connections never come up: the queue of those that wait is short, and full."""
        if self.listener is None or self.frozen:
            return
        self.frozen = True
        self.loop.remove_reader(self.listener)
        self.listener.listen(0)
        for _ in range(FILL):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self.address)
            self.fillers.append(filler)

    def thaw(self) -> None:
        """Whatever waited is reset, and new connections come up again."""
        if not self.frozen:
            return
        self.frozen = False
        for filler in self.fillers:
            filler.close()
        self.fillers.clear()
        self.close()
        self.open()

    def close(self) -> None:
        """New connections are refused."""
        self.frozen = False
        for filler in self.fillers:
            filler.close()
        self.fillers.clear()
        if self.listener is not None:
            self.loop.remove_reader(self.listener)
            self.listener.close()
            self.listener = None

    def end(self) -> None:
        self.close()
        self.holder.close()
