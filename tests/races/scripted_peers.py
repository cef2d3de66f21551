"""Peers by script, outside the loop: what they do has come to the front door's machine when the call returns.

Loopback hands bytes, ends and resets over at once. So a test that says several things without an `await`
between them has them all wait for the front door in one turn of its loop, in the order said.
"""

import asyncio
import contextlib
import socket
import struct
from collections.abc import Awaitable, Callable, Iterator
from typing import Any

from molereach.endpoint_address import EndpointAddress
from tests.sockets import HOST

RESET = struct.pack("ii", 1, 0)  # SO_LINGER: a close that resets


class Peer:
    """One end of a connection that the front door holds the other of."""

    def __init__(self, own: socket.socket) -> None:
        self.socket = own
        own.setblocking(False)
        own.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    @classmethod
    def dial(cls, address: EndpointAddress) -> "Peer":
        """Connected when this returns, whether or not the front door has accepted it yet."""
        own = socket.create_connection(address)
        return cls(own)

    def say(self, data: bytes) -> None:
        assert self.socket.send(data) == len(data)

    def finish(self) -> None:
        """Half-close: nothing more comes from here, but this end still reads."""
        self.socket.shutdown(socket.SHUT_WR)

    def close(self) -> None:
        self.socket.close()

    def reset(self) -> None:
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        self.socket.close()

    async def hear(self, most: int = 1 << 16) -> bytes:
        """What has come, once something has; b'' at the end. A reset is a ConnectionResetError."""
        return await asyncio.get_running_loop().sock_recv(self.socket, most)

    async def hear_until(self, mark: bytes) -> bytes:
        """What comes, up to where `mark` is in it; an EOFError with what came if it ends before."""
        heard = b""
        while mark not in heard:
            data = await self.hear()
            if not data:
                raise EOFError(heard)
            heard += data
        return heard

    async def hear_all(self) -> bytes:
        """All that comes until the end; a reset is a ConnectionResetError."""
        heard = b""
        while data := await self.hear():
            heard += data
        return heard

    def pending(self) -> bytes:
        """What has come by now, without letting the loop run; b'' where nothing has (or the end)."""
        with contextlib.suppress(BlockingIOError):
            return self.socket.recv(1 << 16)
        return b""


class Machine:
    """A machine that listens and does nothing by itself: the test accepts, reads and answers."""

    def __init__(self, backlog: int = 16, port: int = 0) -> None:
        self.listener = socket.create_server((HOST, port), backlog=backlog)
        self.listener.setblocking(False)

    @property
    def address(self) -> EndpointAddress:
        address: EndpointAddress = self.listener.getsockname()
        return address

    async def accept(self) -> Peer:
        own, _ = await asyncio.get_running_loop().sock_accept(self.listener)
        return Peer(own)

    def waiting(self) -> bool:
        """Whether a connection has come that nobody has accepted; it is accepted and reset by this look."""
        with contextlib.suppress(BlockingIOError):
            own, _ = self.listener.accept()
            Peer(own).reset()
            return True
        return False

    def close(self) -> None:
        self.listener.close()


@contextlib.contextmanager
def machine() -> Iterator[Machine]:
    """A machine for one test."""
    made = Machine()
    try:
        yield made
    finally:
        made.close()


class Dials:
    """Holds the front door's dials: each goes on only when the test lets it, by `let_go`.

    A dial that waits here looks to the front door like one whose handshake takes long.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop | None = None) -> None:
        self.loop: Any = loop or asyncio.get_running_loop()
        self.dial: Callable[..., Awaitable[Any]] = self.loop.create_connection
        self.held: list[asyncio.Event] = []
        self.came = asyncio.Event()

    def __enter__(self) -> "Dials":
        self.loop.create_connection = self.hold
        return self

    def __exit__(self, *_: object) -> None:
        self.loop.create_connection = self.dial
        for gate in self.held:
            gate.set()

    async def hold(self, *args: object, **values: object) -> object:
        gate = asyncio.Event()
        self.held.append(gate)
        self.came.set()
        await gate.wait()
        return await self.dial(*args, **values)

    def let_go(self, number: int = 0) -> None:
        """The dial that came as the `number`-th goes on."""
        self.held[number].set()


async def turns(count: int = 3) -> None:
    """Let the loop run so many turns: what was readable before has been read by then."""
    for _ in range(count):
        await asyncio.sleep(0)


async def until(seen: Callable[[], bool], within_s: float = 10.0) -> None:
    """Wait for something that must come; the time is a bound for a hang, nothing is measured by it."""
    async with asyncio.timeout(within_s):
        while not seen():
            await asyncio.sleep(0.001)


def narrow(monkeypatch: Any) -> None:  # noqa: ANN401
    """The kernel takes little of what the front door writes to a backend: a long command only in part."""
    from molereach.backends.connection import BackendConnection

    made = BackendConnection.connection_made

    def connection_made(self: BackendConnection, transport: asyncio.Transport) -> None:
        transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        made(self, transport)

    monkeypatch.setattr(BackendConnection, "connection_made", connection_made)
