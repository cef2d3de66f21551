"""Scripted TCP peers that run outside the proxy's event loop.

The loopback interface delivers data, FIN and RST before the call that sends them returns. A test that makes
several such calls without an `await` in between therefore presents all of them to the proxy in one iteration
of its loop, in the order of the calls.
"""

import asyncio
import contextlib
import socket
import struct
from collections.abc import Awaitable, Callable, Iterator
from typing import Any

from molereach.endpoint_address import EndpointAddress
from tests.sockets import HOST

LINGER_ZERO = struct.pack("ii", 1, 0)  # SO_LINGER with a timeout of 0: close sends RST


class Peer:
    """The test's end of a connection whose other end the proxy holds."""

    def __init__(self, sock: socket.socket) -> None:
        self.socket = sock
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    @classmethod
    def connect(cls, address: EndpointAddress) -> "Peer":
        """Connect; the connection is established on return, whether or not the proxy has accepted it."""
        sock = socket.create_connection(address)
        return cls(sock)

    def send(self, data: bytes) -> None:
        assert self.socket.send(data) == len(data)

    def half_close(self) -> None:
        """Shut down sending; this end can still receive."""
        self.socket.shutdown(socket.SHUT_WR)

    def close(self) -> None:
        self.socket.close()

    def reset(self) -> None:
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)
        self.socket.close()

    async def receive(self, max_bytes: int = 1 << 16) -> bytes:
        """Return available data, waiting for some; b'' at EOF. A reset raises ConnectionResetError."""
        return await asyncio.get_running_loop().sock_recv(self.socket, max_bytes)

    async def receive_until(self, delimiter: bytes) -> bytes:
        """Receive until the data contains `delimiter`; raise EOFError with the data if it ends before."""
        received = b""
        while delimiter not in received:
            data = await self.receive()
            if not data:
                raise EOFError(received)
            received += data
        return received

    async def receive_all(self) -> bytes:
        """Receive until EOF; a reset raises ConnectionResetError."""
        received = b""
        while data := await self.receive():
            received += data
        return received

    def receive_nowait(self) -> bytes:
        """Return what the kernel has received by now, without running the loop; b'' for nothing or EOF."""
        with contextlib.suppress(BlockingIOError):
            return self.socket.recv(1 << 16)
        return b""


class ScriptedServer:
    """A listening server with no behavior of its own: the test accepts, reads and responds."""

    def __init__(self, backlog: int = 16, port: int = 0) -> None:
        self.listener = socket.create_server((HOST, port), backlog=backlog)
        self.listener.setblocking(False)

    @property
    def address(self) -> EndpointAddress:
        address: EndpointAddress = self.listener.getsockname()
        return address

    async def accept(self) -> Peer:
        sock, _ = await asyncio.get_running_loop().sock_accept(self.listener)
        return Peer(sock)

    def has_pending_connection(self) -> bool:
        """Return whether an unaccepted connection exists; if so, it is accepted and reset."""
        with contextlib.suppress(BlockingIOError):
            sock, _ = self.listener.accept()
            Peer(sock).reset()
            return True
        return False

    def close(self) -> None:
        self.listener.close()


@contextlib.contextmanager
def scripted_server() -> Iterator[ScriptedServer]:
    """Provide a scripted server that is closed on exit."""
    server = ScriptedServer()
    try:
        yield server
    finally:
        server.close()


class HeldConnects:
    """Hold the proxy's outgoing connects until the test calls `release`.

    To the proxy, a held connect looks like a slow handshake.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop | None = None) -> None:
        self.loop: Any = loop or asyncio.get_running_loop()
        self.connect: Callable[..., Awaitable[Any]] = self.loop.create_connection
        self.gates: list[asyncio.Event] = []
        self.arrived = asyncio.Event()

    def __enter__(self) -> "HeldConnects":
        self.loop.create_connection = self.hold
        return self

    def __exit__(self, *_: object) -> None:
        self.loop.create_connection = self.connect
        for gate in self.gates:
            gate.set()

    async def hold(self, *args: object, **kwargs: object) -> object:
        gate = asyncio.Event()
        self.gates.append(gate)
        self.arrived.set()
        await gate.wait()
        return await self.connect(*args, **kwargs)

    def release(self, index: int = 0) -> None:
        """Let the connect number `index` proceed, counted from 0 in order of arrival."""
        self.gates[index].set()


async def run_loop_iterations(count: int = 3) -> None:
    """Run `count` iterations of the loop, so that data that was readable before has been read."""
    for _ in range(count):
        await asyncio.sleep(0)


async def wait_until(condition: Callable[[], bool], timeout_s: float = 10.0) -> None:
    """Wait until the condition holds; the timeout only bounds a hang and measures nothing."""
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(0.001)


def shrink_send_buffers(monkeypatch: Any) -> None:  # noqa: ANN401
    """Shrink the send buffer of connections to backends, so that a long command is written in parts."""
    from molereach.backends.connection import BackendConnection

    connection_made_original = BackendConnection.connection_made

    def connection_made(self: BackendConnection, transport: asyncio.Transport) -> None:
        transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        connection_made_original(self, transport)

    monkeypatch.setattr(BackendConnection, "connection_made", connection_made)
