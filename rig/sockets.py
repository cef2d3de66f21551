"""Sockets on loopback: addresses, reserved ports, and listeners whose links can fail."""

import asyncio
import contextlib
import os
import socket
import struct
from collections.abc import Callable

BACKLOG = 256
BACKLOG_FILLERS = 8  # connections that fill the accept queue of a blocked listener
LINGER_RESET = struct.pack("ii", 1, 0)  # SO_LINGER with a time of 0: close sends a reset

Address = tuple[str, int]


def own_host() -> str:
    """A loopback address of this process alone, so that test beds side by side share no ports."""
    pid = os.getpid()
    return f"127.{64 + pid // 62500 % 64}.{pid // 250 % 250 + 1}.{pid % 250 + 1}"


def machine_host(host: str, number: int) -> str:
    """The loopback address of a machine by number, as a single address has not enough ports for all.

    No other test bed uses it.
    """
    first, _, *rest = host.split(".")
    return ".".join((first, str(128 + number % 64), *rest))


def reserve(host: str) -> tuple[socket.socket, Address]:
    """Reserve a port while the program that is given it binds it, ends and binds it again."""
    holder = socket.socket()
    holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    holder.bind((host, 0))
    address: Address = holder.getsockname()
    return holder, address


def free_datagram_port(host: str) -> Address:
    """A free UDP port; on a host of its own no other process takes it."""
    with socket.socket(type=socket.SOCK_DGRAM) as probe:
        probe.bind((host, 0))
        address: Address = probe.getsockname()
        return address


def reset(transport: asyncio.BaseTransport) -> None:
    """Close a connection with a reset, as a machine does that has no record of it."""
    sock = transport.get_extra_info("socket")
    if sock is not None:
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    if isinstance(transport, asyncio.Transport) or hasattr(transport, "abort"):
        transport.abort()


class Listener:
    """A listening socket that can be blocked: new connections then hang."""

    def __init__(self, host: str, protocol_factory: Callable[[], asyncio.Protocol]) -> None:
        self.protocol_factory, self.loop = protocol_factory, asyncio.get_running_loop()
        self.tasks: set[asyncio.Task[None]] = set()
        self.fillers: list[socket.socket] = []
        self.listener: socket.socket | None = None
        self.blocked = False
        self.holder, self.address = reserve(host)
        self.open()

    def open(self) -> None:
        """Listen, unless it does already."""
        if self.listener is None:
            self.listener = socket.create_server(self.address, backlog=BACKLOG)
            self.listener.setblocking(False)
            self.loop.add_reader(self.listener, self.accept)

    def accept(self) -> None:
        """Accept all waiting connections."""
        assert self.listener is not None
        with contextlib.suppress(BlockingIOError, ConnectionError):
            while True:
                accepted, _ = self.listener.accept()
                accepted.setblocking(False)
                task = self.loop.create_task(self.attach(accepted))
                self.tasks.add(task)
                task.add_done_callback(self.tasks.discard)

    async def attach(self, accepted: socket.socket) -> None:
        """Connect an accepted socket to a new protocol."""
        try:
            await self.loop.connect_accepted_socket(self.protocol_factory, accepted)
        except OSError:
            accepted.close()

    def block(self) -> None:
        """Let new connections hang: the accept queue is short and kept full."""
        if self.listener is None or self.blocked:
            return
        self.blocked = True
        self.loop.remove_reader(self.listener)
        self.listener.listen(0)
        for _ in range(BACKLOG_FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self.address)
            self.fillers.append(filler)

    def unblock(self) -> None:
        """Reset waiting connections, and accept new ones again."""
        if not self.blocked:
            return
        self.blocked = False
        for filler in self.fillers:
            filler.close()
        self.fillers.clear()
        self.close()
        self.open()

    def close(self) -> None:
        """Stop listening, so that new connections are refused."""
        self.blocked = False
        for filler in self.fillers:
            filler.close()
        self.fillers.clear()
        if self.listener is not None:
            self.loop.remove_reader(self.listener)
            self.listener.close()
            self.listener = None

    def end(self) -> None:
        """Stop listening and release the port."""
        self.close()
        self.holder.close()
