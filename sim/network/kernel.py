"""What kernels keep for all processes of a world: the descriptors, and which port is whose."""

import errno
import os
from collections.abc import Iterator
from typing import TYPE_CHECKING, Protocol

from sim.loop import Node
from sim.network.way import Spec, Way

if TYPE_CHECKING:
    from sim.network.listener import Listener
    from sim.network.udp import SimDatagrams

Address = tuple[str, int]

FIRST_PORT, LAST_PORT = 20_000, 60_000
FIRST_DESCRIPTOR = 100


class Thing(Protocol):
    """What a descriptor stands for."""

    node: Node | None

    def close(self) -> None: ...


class Descriptors:
    """All that is open, in the order in which it was opened. `most` of them for each process."""

    def __init__(self, most: int) -> None:
        self.most, self.last = most, FIRST_DESCRIPTOR
        self.things: dict[int, Thing] = {}

    def add(self, thing: Thing) -> int:
        self.last += 1
        self.things[self.last] = thing
        return self.last

    def release(self, descriptor: int) -> None:
        self.things.pop(descriptor, None)

    def of(self, node: Node) -> Iterator[Thing]:
        return (thing for thing in self.things.values() if thing.node is node)

    def full(self, node: Node | None) -> bool:
        """Whether a process can have no more. Counted only where a bound is set."""
        if node is None or self.most >= Spec().descriptors:
            return False
        return sum(1 for _ in self.of(node)) >= self.most


class Ports:
    """Who listens where, and what the rig keeps for a program that is down."""

    def __init__(self) -> None:
        self.listeners: dict[Address, Listener] = {}
        self.sockets: dict[Address, SimDatagrams] = {}
        self.reserved: set[Address] = set()  # bound by the rig, which may hand them to a program
        self.next_port = FIRST_PORT

    def free(self, host: str) -> int:
        """The next one that nobody there has, or keeps for a program that is down."""
        for _ in range(LAST_PORT - FIRST_PORT + 1):
            self.next_port = self.next_port + 1 if self.next_port < LAST_PORT else FIRST_PORT
            address = host, self.next_port
            if address not in self.listeners and address not in self.sockets and address not in self.reserved:
                return self.next_port
        raise OSError(errno.EADDRINUSE, os.strerror(errno.EADDRINUSE))

    def given(self, address: Address) -> Address:
        """The address, with a free port for 0."""
        return address if address[1] else (address[0], self.free(address[0]))


class Kernel:
    """What all endpoints, listeners and sockets of a world share."""

    def __init__(self, way: Way) -> None:
        self.way, self.loop = way, way.loop
        self.descriptors, self.ports = Descriptors(way.spec.descriptors), Ports()

    def close_all(self, node: Node) -> None:
        """A killed process's descriptors are closed by the kernel, in the order in which they were opened."""
        for thing in list(self.descriptors.of(node)):
            thing.close()
        for address, udp in list(self.ports.sockets.items()):
            if udp.node is node:
                del self.ports.sockets[address]
