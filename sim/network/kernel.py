"""Kernel state of all simulated processes: open descriptors and bound ports."""

import errno
import os
from collections.abc import Iterator
from typing import TYPE_CHECKING, Protocol

from sim.loop import Node
from sim.network.way import Links, NetworkSettings

if TYPE_CHECKING:
    from sim.network.listener import Listener
    from sim.network.udp import SimDatagramTransport

Address = tuple[str, int]

FIRST_PORT, LAST_PORT = 20_000, 60_000
FIRST_DESCRIPTOR = 100


class OpenFile(Protocol):
    """An object that a descriptor refers to."""

    node: Node | None

    def close(self) -> None: ...


class DescriptorTable:
    """All open descriptors in the order they were opened; each process may hold `limit` of them."""

    def __init__(self, limit: int) -> None:
        self.limit, self.last_descriptor = limit, FIRST_DESCRIPTOR
        self.open_files: dict[int, OpenFile] = {}

    def add(self, open_file: OpenFile) -> int:
        """Open a descriptor for an object."""
        self.last_descriptor += 1
        self.open_files[self.last_descriptor] = open_file
        return self.last_descriptor

    def release(self, descriptor: int) -> None:
        """Free a descriptor."""
        self.open_files.pop(descriptor, None)

    def owned_by(self, node: Node) -> Iterator[OpenFile]:
        """The open objects of a process."""
        return (open_file for open_file in self.open_files.values() if open_file.node is node)

    def is_full(self, node: Node | None) -> bool:
        """Whether a process is at its limit; descriptors are counted only below the default limit."""
        if node is None or self.limit >= NetworkSettings().max_descriptors:
            return False
        return sum(1 for _ in self.owned_by(node)) >= self.limit


class Ports:
    """Listening and bound addresses, and those reserved for a program that is down."""

    def __init__(self) -> None:
        self.listeners: dict[Address, Listener] = {}
        self.sockets: dict[Address, SimDatagramTransport] = {}
        self.reserved: set[Address] = set()  # bound by the test rig, which may hand them to a program
        self.next_port = FIRST_PORT

    def allocate_port(self, host: str) -> int:
        """The next port of the host that is neither in use nor reserved."""
        for _ in range(LAST_PORT - FIRST_PORT + 1):
            self.next_port = self.next_port + 1 if self.next_port < LAST_PORT else FIRST_PORT
            address = host, self.next_port
            if address not in self.listeners and address not in self.sockets and address not in self.reserved:
                return self.next_port
        raise OSError(errno.EADDRINUSE, os.strerror(errno.EADDRINUSE))

    def resolve_port(self, address: Address) -> Address:
        """The address, with port 0 replaced by a free port."""
        return address if address[1] else (address[0], self.allocate_port(address[0]))


class Kernel:
    """State shared by all endpoints, listeners and sockets of a simulation."""

    def __init__(self, links: Links) -> None:
        self.links, self.loop = links, links.loop
        self.descriptors, self.ports = DescriptorTable(links.settings.max_descriptors), Ports()

    def close_all(self, node: Node) -> None:
        """Close a killed process's descriptors in the order they were opened."""
        for open_file in list(self.descriptors.owned_by(node)):
            open_file.close()
        for address, transport in list(self.ports.sockets.items()):
            if transport.node is node:
                del self.ports.sockets[address]
