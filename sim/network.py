"""TCP and UDP in memory, with what kernels do, on the simulated loop.

A connection is two endpoints, each in a process's descriptor. What is written travels for a while and arrives
in order; the reader has a window, so that a writer whose peer does not read waits; reads come in pieces of
any size. Closing with bytes unread, a killed process with bytes unread, SO_LINGER of 0 and writing to an
endpoint that is gone are resets (RFC 9293, 3.5.2 and 3.10.4); a reset overtakes nothing and discards what was
not read.
"""

import asyncio
import errno
import os
import socket as real
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from types import SimpleNamespace
from typing import Any

from sim.loop import NODE, Node, SimLoop

Address = tuple[str, int]

WINDOW_BYTES = 64 * 1024  # of an endpoint's receive buffer
READ_BYTES = 64 * 1024
FIRST_PORT, LAST_PORT = 20_000, 60_000
SYN_AGAIN_US = (1_000_000, 2_000_000, 4_000_000)
SOMAXCONN = 4096
HIGH_WATER = 64 * 1024
FIRST_DESCRIPTOR = 100


@dataclass(slots=True)
class Spec:
    """How long things take, in microseconds, and how they fail by themselves."""

    least_us: int = 30
    most_us: int = 250  # one way, drawn for each segment
    whole_reads: float = 0.7  # share of reads that take all that is there; others take a piece of any size
    lost: float = 0.0  # of datagrams, beside what the world's mail does
    descriptors: int = 65536  # of a process


class Endpoint:
    """One side of a connection, as the kernel holds it."""

    __slots__ = (
        "arrive_us",
        "descriptor",
        "eof",
        "error",
        "in_flight",
        "linger_0",
        "local",
        "network",
        "node",
        "open",
        "peer",
        "remote",
        "shut",
        "transport",
        "unread",
    )

    def __init__(self, network: "Network", node: Node | None, local: Address, remote: Address) -> None:
        self.network, self.node, self.local, self.remote = network, node, local, remote
        self.descriptor = network.descriptor(self)
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
            self.network.travel(self, peer, peer.receive, part)
        return len(part)

    def receive(self, data: bytes) -> None:
        self.in_flight -= len(data)
        if not self.open:  # nobody is there any more: the sender is told so
            if self.peer:
                self.network.travel(self, self.peer, self.peer.reset)
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
            self.network.travel(self, self.peer, self.peer.room)
        return data

    def room(self) -> None:
        if self.open and self.transport:
            self.transport.push_on()

    def shutdown_write(self) -> None:
        if self.open and not self.shut and self.peer:
            self.shut = True
            self.network.travel(self, self.peer, self.peer.finish)

    def close(self) -> None:
        """The descriptor is let go of: a FIN, or a reset where bytes are unread or linger is 0."""
        if not self.open:
            return
        self.open = False
        self.network.release(self.descriptor)
        peer = self.peer
        if peer and self.error is None:
            rude = self.linger_0 or bool(self.unread)
            if rude:
                self.network.travel(self, peer, peer.reset)
            elif not self.shut:
                self.network.travel(self, peer, peer.finish)
        self.unread.clear()


class SimTransport(asyncio.Transport):
    """A stream transport that behaves as uvloop's: a write goes to the kernel at once, if there is room."""

    def __init__(self, network: "Network", endpoint: Endpoint, protocol: asyncio.BaseProtocol) -> None:
        super().__init__()
        self.network, self.endpoint = network, endpoint
        self.loop, self.node = network.loop, NODE.get()
        self.buffer = bytearray()
        self.high, self.low = HIGH_WATER, HIGH_WATER // 4
        self.paused_writing = self.closing = self.lost = self.ending = False
        self.reading, self.due = True, False
        self.protocol: Any = protocol
        endpoint.transport = self

    # --- the asyncio interface ---

    def get_extra_info(self, name: str, default: Any = None) -> Any:  # noqa: ANN401
        found = {"socket": self.endpoint, "peername": self.endpoint.remote, "sockname": self.endpoint.local}
        return found.get(name, default)

    def set_protocol(self, protocol: asyncio.BaseProtocol) -> None:
        self.protocol = protocol

    def get_protocol(self) -> asyncio.BaseProtocol:
        protocol: asyncio.BaseProtocol = self.protocol
        return protocol

    def is_closing(self) -> bool:
        return self.closing

    def is_reading(self) -> bool:
        return self.reading and not self.closing

    def pause_reading(self) -> None:
        self.reading = False

    def resume_reading(self) -> None:
        if not self.reading:
            self.reading = True
            self.look()

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        self.high = HIGH_WATER if high is None else high
        self.low = self.high // 4 if low is None else low

    def get_write_buffer_size(self) -> int:
        return len(self.buffer)

    def get_write_buffer_limits(self) -> tuple[int, int]:
        return self.low, self.high

    def can_write_eof(self) -> bool:
        return True

    def write(self, data: Any) -> None:  # noqa: ANN401
        if self.lost or self.ending or self.closing or not self.alive():
            return
        if not self.buffer:
            try:
                data = data[self.endpoint.send(data) :]
            except OSError as error:
                self.fail(error)
                return
        if data:
            self.buffer += data
            if len(self.buffer) > self.high and not self.paused_writing:
                self.paused_writing = True
                self.protocol.pause_writing()

    def writelines(self, list_of_data: Any) -> None:  # noqa: ANN401
        self.write(b"".join(list_of_data))

    def write_eof(self) -> None:
        if not self.ending and self.alive():
            self.ending = True
            if not self.buffer:
                self.endpoint.shutdown_write()

    def close(self) -> None:
        if self.closing or not self.alive():
            return
        self.closing = True
        if not self.buffer:
            self.end(None)

    def abort(self) -> None:
        if self.lost or not self.alive():
            return
        self.closing = True
        self.buffer.clear()
        self.end(None)

    # --- from the kernel ---

    def alive(self) -> bool:
        return self.node is None or self.node.alive

    def look(self) -> None:
        """Something may be read: in a turn of its process."""
        if not self.due and not self.lost and self.alive():
            self.due = True
            self.loop.soon(self.node, self.read)

    def read(self) -> None:
        self.due = False
        endpoint = self.endpoint
        if self.lost or (self.closing and not self.buffer) or not self.reading:
            return
        if endpoint.error:
            self.fail(endpoint.error)
        elif endpoint.unread:
            self.deliver(endpoint.read(self.network.piece(len(endpoint.unread))))
            if endpoint.readable():
                self.look()
        elif endpoint.eof and not self.closing:
            self.reading = False
            if not self.protocol.eof_received():
                self.close()

    def deliver(self, data: bytes) -> None:
        if not isinstance(self.protocol, asyncio.BufferedProtocol):
            self.protocol.data_received(data)
            return
        while data:
            space: Any = self.protocol.get_buffer(-1)
            count = min(len(space), len(data))
            space[:count] = data[:count]
            data = data[count:]
            self.protocol.buffer_updated(count)

    def push_on(self) -> None:
        if self.buffer and not self.lost and self.alive():
            self.loop.soon(self.node, self.write_on)

    def write_on(self) -> None:
        if self.lost or not self.buffer:
            return
        try:
            del self.buffer[: self.endpoint.send(self.buffer)]
        except OSError as error:
            self.fail(error)
            return
        if self.paused_writing and len(self.buffer) <= self.low:
            self.paused_writing = False
            self.protocol.resume_writing()
        if not self.buffer and not self.lost:
            if self.closing:
                self.end(None)
            elif self.ending:
                self.endpoint.shutdown_write()

    def fail(self, error: OSError) -> None:
        if not self.lost:
            self.closing = True
            self.buffer.clear()
            self.end(error)

    def end(self, error: OSError | None) -> None:
        if not self.lost:
            self.lost = True
            self.loop.soon(self.node, self.tell_lost, error)

    def tell_lost(self, error: OSError | None) -> None:
        try:
            self.protocol.connection_lost(error)
        finally:
            self.endpoint.close()


class Listener:
    """A listening socket."""

    def __init__(self, network: "Network", node: Node | None, address: Address, backlog: int) -> None:
        self.network, self.node, self.address, self.backlog = network, node, address, backlog
        self.descriptor = network.descriptor(self)
        self.queue: deque[Endpoint] = deque()
        self.callback: tuple[Callable[..., Any], tuple[Any, ...], Node | None] | None = None
        self.open, self.due = True, False
        network.listeners[address] = self

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
            self.network.loop.soon(self.callback[2], self.ready)

    def ready(self) -> None:
        self.due = False
        if self.callback and self.queue:
            callback, args, _ = self.callback
            callback(*args)
            self.notify()

    def accept(self) -> tuple["Endpoint", Address]:
        if not self.open or not self.queue:
            raise BlockingIOError(errno.EAGAIN, "Resource temporarily unavailable")
        if self.network.used(NODE.get()) >= self.network.spec.descriptors:
            raise OSError(errno.EMFILE, os.strerror(errno.EMFILE))
        endpoint = self.queue.popleft()
        endpoint.node = NODE.get()
        return endpoint, endpoint.remote

    def close(self) -> None:
        if not self.open:
            return
        self.open, self.callback = False, None
        self.network.release(self.descriptor)
        if self.network.listeners.get(self.address) is self:
            del self.network.listeners[self.address]
        while self.queue:
            endpoint = self.queue.popleft()
            endpoint.linger_0 = True
            endpoint.close()


class SimSocket:
    """A socket that is not connected yet: what the rig does with one by hand."""

    def __init__(self, network: "Network", kind: int) -> None:
        self.network, self.kind = network, kind
        self.address: Address | None = None
        self.endpoint: Endpoint | None = None

    def __enter__(self) -> "SimSocket":
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    def setsockopt(self, level: int, option: int, value: object) -> None:
        return None

    def setblocking(self, on: bool) -> None:
        return None

    def bind(self, address: Address) -> None:
        self.address = address if address[1] else (address[0], self.network.free_port(address[0]))
        self.network.reserved.add(self.address)

    def getsockname(self) -> Address:
        assert self.address is not None
        return self.address

    def listen(self, backlog: int = SOMAXCONN) -> None:
        """It is a listener from now on."""
        listener = self.network.listen(self.getsockname(), backlog)
        self.accept, self.close, self.fileno = listener.accept, listener.close, listener.fileno  # type: ignore[method-assign]

    def sendto(self, data: bytes, address: Address) -> None:
        self.network.datagram(self.getsockname(), address, bytes(data))

    def connect_ex(self, address: Address) -> int:
        """A connect that nobody waits for."""
        own = address[0], self.network.free_port(address[0])
        self.endpoint = Endpoint(self.network, NODE.get(), own, address)
        self.network.syn(self.endpoint, address, lambda error: None)
        return errno.EINPROGRESS

    def accept(self) -> tuple[Endpoint, Address]:
        raise OSError(errno.EINVAL, os.strerror(errno.EINVAL))

    def fileno(self) -> int:
        return self.endpoint.descriptor if self.endpoint else -1

    def close(self) -> None:
        if self.endpoint:
            self.endpoint.close()


class SimServer(asyncio.AbstractServer):
    """What `create_server` gives."""

    def __init__(self, network: "Network", listener: Listener, factory: Callable[[], Any]) -> None:
        self.network, self.listener, self.factory = network, listener, factory
        self.sockets = (listener,)
        listener.on_readable(self.accept, ())

    def accept(self) -> None:
        endpoint, _ = self.listener.accept()
        self.network.attach(endpoint, self.factory())

    def close(self) -> None:
        self.listener.close()

    def is_serving(self) -> bool:
        return self.listener.open

    def get_loop(self) -> asyncio.AbstractEventLoop:
        return self.network.loop

    async def wait_closed(self) -> None:
        return None


class SimDatagrams(asyncio.DatagramTransport):
    """A bound UDP socket."""

    def __init__(self, network: "Network", address: Address, protocol: Any) -> None:  # noqa: ANN401
        super().__init__()
        self.network, self.address, self.protocol = network, address, protocol
        self.node, self.closing = NODE.get(), False

    def get_extra_info(self, name: str, default: Any = None) -> Any:  # noqa: ANN401
        return {"sockname": self.address}.get(name, default)

    def is_closing(self) -> bool:
        return self.closing

    def sendto(self, data: Any, addr: Any = None) -> None:  # noqa: ANN401
        if not self.closing and (self.node is None or self.node.alive):
            self.network.datagram(self.address, addr, bytes(data))

    def arrive(self, data: bytes, sender: Address) -> None:
        if not self.closing:
            self.network.loop.soon(self.node, self.protocol.datagram_received, data, sender)

    def close(self) -> None:
        if not self.closing:
            self.closing = True
            self.network.sockets.pop(self.address, None)
            self.network.loop.soon(self.node, self.protocol.connection_lost, None)

    def abort(self) -> None:
        self.close()


class Network:
    """All hosts of a world, and what lies between them."""

    def __init__(self, loop: SimLoop, seed: int, spec: Spec | None = None) -> None:
        self.loop, self.spec, self.random = loop, spec or Spec(), Random(f"{seed}:network")
        self.listeners: dict[Address, Listener] = {}
        self.sockets: dict[Address, SimDatagrams] = {}
        self.reserved: set[Address] = set()  # bound by the rig, which may hand them to a program
        self.descriptors: dict[int, Endpoint | Listener] = {}
        self.next_port, self.next_descriptor = FIRST_PORT, FIRST_DESCRIPTOR
        self.owned: dict[int, int] = {}  # descriptors by node
        loop.network = self

    # --- what all share ---

    def free_port(self, host: str) -> int:
        """The next one that nobody there has, or keeps for a program that is down."""
        for _ in range(LAST_PORT - FIRST_PORT + 1):
            self.next_port = self.next_port + 1 if self.next_port < LAST_PORT else FIRST_PORT
            address = host, self.next_port
            if address not in self.listeners and address not in self.sockets and address not in self.reserved:
                return self.next_port
        raise OSError(errno.EADDRINUSE, os.strerror(errno.EADDRINUSE))

    def descriptor(self, thing: Endpoint | Listener) -> int:
        self.next_descriptor += 1
        self.descriptors[self.next_descriptor] = thing
        return self.next_descriptor

    def release(self, descriptor: int) -> None:
        self.descriptors.pop(descriptor, None)

    def used(self, node: Node | None) -> int:
        """Descriptors of a process. Counted only where a bound is set."""
        if node is None or self.spec.descriptors >= Spec().descriptors:
            return 0
        return sum(thing.node is node for thing in self.descriptors.values())

    def delay_us(self) -> int:
        return self.random.randint(self.spec.least_us, self.spec.most_us)

    def travel(self, sender: Endpoint, receiver: Endpoint, what: Callable[..., None], *args: Any) -> None:  # noqa: ANN401
        """Along one way of a connection: late by chance, never overtaking."""
        receiver.arrive_us = max(receiver.arrive_us + 1, self.loop.now_us + self.delay_us())
        self.loop.at(receiver.arrive_us, None, what, *args)

    def piece(self, there: int) -> int:
        """How much one read takes."""
        if there == 1 or self.random.random() < self.spec.whole_reads:
            return min(there, READ_BYTES)
        return self.random.randint(1, min(there, READ_BYTES))

    # --- TCP ---

    def syn(self, endpoint: Endpoint, address: Address, done: Callable[[OSError | None], None],
            tries: int = 0) -> None:
        """Open a connection; `done` hears how that went, unless nobody ever answers."""

        def arrive() -> None:
            listener = self.listeners.get(address)
            if not endpoint.open:
                return
            if listener is None:
                self.loop.at(self.loop.now_us + self.delay_us(), None, done,
                             ConnectionRefusedError(errno.ECONNREFUSED, "Connection refused"))
                return
            far = Endpoint(self, listener.node, address, endpoint.local)
            far.peer = endpoint
            if listener.offer(far):
                endpoint.peer = far
                self.loop.at(self.loop.now_us + self.delay_us(), None, done, None)
                return
            self.release(far.descriptor)
            if tries < len(SYN_AGAIN_US):
                self.loop.at(self.loop.now_us + SYN_AGAIN_US[tries], None, self.syn, endpoint, address, done,
                             tries + 1)

        self.loop.at(self.loop.now_us + self.delay_us(), None, arrive)

    async def connect(self, factory: Callable[[], Any], address: Address, more: dict[str, Any]) -> Any:  # noqa: ANN401
        node = NODE.get()
        if self.used(node) >= self.spec.descriptors:
            raise OSError(errno.EMFILE, os.strerror(errno.EMFILE))
        endpoint = Endpoint(self, node, (address[0], self.free_port(address[0])), address)
        self.own(node, endpoint)
        waiting: asyncio.Future[None] = self.loop.create_future()

        def done(error: OSError | None) -> None:
            self.loop.soon(node, settle, error)

        def settle(error: OSError | None) -> None:
            if not waiting.done():
                waiting.set_result(None) if error is None else waiting.set_exception(error)

        self.syn(endpoint, address, done)
        try:
            await waiting
        except BaseException:
            endpoint.linger_0 = endpoint.peer is not None
            endpoint.close()
            raise
        return await self.open(endpoint, factory())

    async def adopt(self, factory: Callable[[], Any], endpoint: Endpoint) -> Any:  # noqa: ANN401
        self.own(NODE.get(), endpoint)
        return await self.open(endpoint, factory())

    async def open(self, endpoint: Endpoint, protocol: Any) -> Any:  # noqa: ANN401
        transport = SimTransport(self, endpoint, protocol)
        transport.due = True  # nothing is read before the protocol knows of its transport
        started: asyncio.Future[None] = self.loop.create_future()

        def begin() -> None:
            protocol.connection_made(transport)
            transport.due = False
            if endpoint.readable():
                transport.look()
            if not started.done():
                started.set_result(None)

        self.loop.soon(transport.node, begin)
        await started
        return transport, protocol

    def attach(self, endpoint: Endpoint, protocol: Any) -> None:  # noqa: ANN401
        """A server's own accept."""
        node = NODE.get()
        self.own(node, endpoint)
        transport = SimTransport(self, endpoint, protocol)
        protocol.connection_made(transport)
        if endpoint.readable():
            transport.look()

    def serve(self, factory: Callable[[], Any], address: Address) -> SimServer:
        return SimServer(self, self.listen(address), factory)  # type: ignore[abstract]

    def listen(self, address: Address, backlog: int = 100) -> Listener:
        if not address[1]:
            address = address[0], self.free_port(address[0])
        if address in self.listeners:
            raise OSError(errno.EADDRINUSE, os.strerror(errno.EADDRINUSE))
        node = NODE.get()
        listener = Listener(self, node, address, backlog)
        self.own(node, listener)
        return listener

    def own(self, node: Node | None, thing: Endpoint | Listener) -> None:
        thing.node = node

    def close_all(self, node: Node) -> None:
        """A killed process's descriptors are closed by the kernel, in the order in which they were opened."""
        for thing in [thing for thing in self.descriptors.values() if thing.node is node]:
            thing.close()
        for address, udp in list(self.sockets.items()):
            if udp.node is node:
                del self.sockets[address]

    # --- UDP ---

    def datagrams(self, factory: Callable[[], Any], address: Address) -> Any:  # noqa: ANN401
        protocol = factory()
        if not address[1]:
            address = address[0], self.free_port(address[0])
        if address in self.sockets:
            raise OSError(errno.EADDRINUSE, os.strerror(errno.EADDRINUSE))
        transport = self.sockets[address] = SimDatagrams(self, address, protocol)
        protocol.connection_made(transport)
        return transport, protocol

    def datagram(self, sender: Address, receiver: Address, data: bytes) -> None:
        if self.spec.lost and self.random.random() < self.spec.lost:
            return

        def arrive() -> None:
            if found := self.sockets.get(receiver):
                found.arrive(data, sender)

        self.loop.at(self.loop.now_us + self.delay_us(), None, arrive)

    # --- modules that the program imports ---

    def socket_module(self) -> SimpleNamespace:
        """In place of `socket`, where a shell goes past the loop."""
        names = ("AF_INET", "AF_INET6", "AF_UNIX", "SOL_SOCKET", "SO_REUSEADDR", "SO_LINGER", "SOCK_DGRAM",
                 "SOCK_STREAM", "SO_PEERCRED", "SO_RCVBUF", "SO_SNDBUF")
        return SimpleNamespace(
            **{name: getattr(real, name) for name in names},
            socket=lambda family=real.AF_INET, type=real.SOCK_STREAM: SimSocket(self, type),
            create_server=lambda address, family=real.AF_INET, backlog=100: self.listen(address, backlog),
        )

    def select_module(self) -> SimpleNamespace:
        """In place of `select`, for the one question that is asked of it: is there something to read?"""
        network = self

        class Poll:
            def __init__(self) -> None:
                self.asked: list[int] = []

            def register(self, descriptor: int, mask: int) -> None:
                self.asked.append(descriptor)

            def poll(self, timeout: int) -> list[tuple[int, int]]:
                found = [network.descriptors.get(number) for number in self.asked]
                return [(1, 1) for each in found if isinstance(each, Endpoint) and each.readable()]

        return SimpleNamespace(poll=Poll, POLLIN=1)

