"""Replacements for `socket` and `select` in modules that use them directly."""

import errno
import os
import select
import socket as real
from types import SimpleNamespace

from sim.loop import CURRENT_NODE
from sim.network.endpoint import Endpoint
from sim.network.kernel import Address, DescriptorTable
from sim.network.listener import SOMAXCONN
from sim.network.tcp import Tcp
from sim.network.udp import Udp

UNMASKABLE_EVENTS = select.POLLHUP | select.POLLERR


class SimSocket:
    """A socket as the test rig uses one directly: bound, listening, or connecting without waiting."""

    def __init__(self, tcp: Tcp, udp: Udp) -> None:
        self.tcp, self.udp, self.kernel = tcp, udp, tcp.kernel
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
        """Reserve the address, with port 0 replaced by a free port."""
        self.address = self.kernel.ports.resolve_port(address)
        self.kernel.ports.reserved.add(self.address)

    def getsockname(self) -> Address:
        assert self.address is not None
        return self.address

    def listen(self, backlog: int = SOMAXCONN) -> None:
        """Turn the socket into a listener."""
        listener = self.tcp.listen(self.getsockname(), backlog)
        self.accept, self.close, self.fileno = listener.accept, listener.close, listener.fileno  # type: ignore[method-assign]

    def sendto(self, data: bytes, address: Address) -> None:
        """Send a datagram from the bound address."""
        self.udp.send(self.getsockname(), address, bytes(data))

    def connect_ex(self, address: Address) -> int:
        """Start to connect without waiting for the result."""
        local = self.kernel.ports.resolve_port((address[0], 0))
        self.endpoint = Endpoint(self.kernel, CURRENT_NODE.get(), local, address)
        self.tcp.send_syn(self.endpoint, address, lambda error: None)
        return errno.EINPROGRESS

    def accept(self) -> tuple[Endpoint, Address]:
        raise OSError(errno.EINVAL, os.strerror(errno.EINVAL))

    def fileno(self) -> int:
        return self.endpoint.descriptor if self.endpoint else -1

    def close(self) -> None:
        if self.endpoint:
            self.endpoint.close()


def socket_module(tcp: Tcp, udp: Udp) -> SimpleNamespace:
    """Replacement for the `socket` module."""
    names = (
        "AF_INET",
        "AF_INET6",
        "AF_UNIX",
        "SOL_SOCKET",
        "SO_REUSEADDR",
        "SO_LINGER",
        "SOCK_DGRAM",
        "SOCK_STREAM",
        "SO_PEERCRED",
        "SO_RCVBUF",
        "SO_SNDBUF",
    )
    return SimpleNamespace(
        **{name: getattr(real, name) for name in names},
        socket=lambda family=real.AF_INET, type=real.SOCK_STREAM: SimSocket(tcp, udp),
        create_server=lambda address, family=real.AF_INET, backlog=100: tcp.listen(address, backlog),
    )


def select_module(descriptors: DescriptorTable) -> SimpleNamespace:
    """Replacement for the `select` module; polls for unread data and a closed peer."""

    class Poll:
        def __init__(self) -> None:
            self.masks: dict[int, int] = {}

        def register(self, descriptor: int, mask: int) -> None:
            self.masks[descriptor] = mask

        def poll(self, timeout: int) -> list[tuple[int, int]]:
            results = []
            for descriptor, mask in self.masks.items():
                endpoint = descriptors.open_files.get(descriptor)
                if isinstance(endpoint, Endpoint) and (
                    reported := events_of(endpoint) & (mask | UNMASKABLE_EVENTS)
                ):
                    results.append((descriptor, reported))
            return results

    def events_of(endpoint: Endpoint) -> int:
        events = select.POLLIN if endpoint.readable() else 0
        if endpoint.eof or endpoint.error:
            events |= select.POLLRDHUP
        if endpoint.error:
            events |= select.POLLERR
        return events | (select.POLLHUP if endpoint.error or (endpoint.eof and endpoint.write_closed) else 0)

    names = ("POLLIN", "POLLRDHUP", "POLLHUP", "POLLERR")
    return SimpleNamespace(poll=Poll, **{name: getattr(select, name) for name in names})
