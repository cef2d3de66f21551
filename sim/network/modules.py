"""What stands in for `socket` and `select`, where a shell goes past the loop."""

import errno
import os
import select
import socket as real
from types import SimpleNamespace

from sim.loop import NODE
from sim.network.endpoint import Endpoint
from sim.network.kernel import Address, Descriptors
from sim.network.listener import SOMAXCONN
from sim.network.tcp import Tcp
from sim.network.udp import Udp

ALWAYS_TOLD = select.POLLHUP | select.POLLERR


class SimSocket:
    """A socket that is not connected yet: what the rig does with one by hand."""

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
        self.address = self.kernel.ports.given(address)
        self.kernel.ports.reserved.add(self.address)

    def getsockname(self) -> Address:
        assert self.address is not None
        return self.address

    def listen(self, backlog: int = SOMAXCONN) -> None:
        """It is a listener from now on."""
        listener = self.tcp.listen(self.getsockname(), backlog)
        self.accept, self.close, self.fileno = listener.accept, listener.close, listener.fileno  # type: ignore[method-assign]

    def sendto(self, data: bytes, address: Address) -> None:
        self.udp.send(self.getsockname(), address, bytes(data))

    def connect_ex(self, address: Address) -> int:
        """A connect that nobody waits for."""
        own = self.kernel.ports.given((address[0], 0))
        self.endpoint = Endpoint(self.kernel, NODE.get(), own, address)
        self.tcp.syn(self.endpoint, address, lambda error: None)
        return errno.EINPROGRESS

    def accept(self) -> tuple[Endpoint, Address]:
        raise OSError(errno.EINVAL, os.strerror(errno.EINVAL))

    def fileno(self) -> int:
        return self.endpoint.descriptor if self.endpoint else -1

    def close(self) -> None:
        if self.endpoint:
            self.endpoint.close()


def socket_module(tcp: Tcp, udp: Udp) -> SimpleNamespace:
    """In place of `socket`, where a shell goes past the loop."""
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


def select_module(descriptors: Descriptors) -> SimpleNamespace:
    """In place of `select`, for what is asked of it: is there something to read, has the peer ended?"""

    class Poll:
        def __init__(self) -> None:
            self.asked: dict[int, int] = {}

        def register(self, descriptor: int, mask: int) -> None:
            self.asked[descriptor] = mask

        def poll(self, timeout: int) -> list[tuple[int, int]]:
            found = []
            for number, mask in self.asked.items():
                endpoint = descriptors.things.get(number)
                if isinstance(endpoint, Endpoint) and (told := state(endpoint) & (mask | ALWAYS_TOLD)):
                    found.append((number, told))
            return found

    def state(endpoint: Endpoint) -> int:
        told = select.POLLIN if endpoint.readable() else 0
        if endpoint.eof or endpoint.error:
            told |= select.POLLRDHUP
        if endpoint.error:
            told |= select.POLLERR
        return told | (select.POLLHUP if endpoint.error or (endpoint.eof and endpoint.shut) else 0)

    names = ("POLLIN", "POLLRDHUP", "POLLHUP", "POLLERR")
    return SimpleNamespace(poll=Poll, **{name: getattr(select, name) for name in names})
