"""The simulated network as the event loop, the patched modules and the test rig use it."""

from collections.abc import Callable
from random import Random
from types import SimpleNamespace
from typing import Any

from sim.loop import Node, SimLoop
from sim.network import modules
from sim.network.endpoint import Endpoint
from sim.network.kernel import Address, Kernel
from sim.network.listener import Listener
from sim.network.tcp import SimServer, Tcp
from sim.network.udp import Udp
from sim.network.way import Links, NetworkSettings


class Network:
    """The network of one event loop, which opens its connections and sockets here."""

    def __init__(self, loop: SimLoop, seed: int, settings: NetworkSettings | None = None) -> None:
        self.kernel = Kernel(Links(loop, settings or NetworkSettings(), Random(f"{seed}:network")))
        self.tcp, self.udp = Tcp(self.kernel), Udp(self.kernel)
        loop.network = self

    def free_port(self, host: str) -> int:
        """A port of the host that is neither in use nor reserved."""
        return self.kernel.ports.allocate_port(host)

    def listen(self, address: Address, backlog: int = 100) -> Listener:
        """Listen on an address, for the current node."""
        return self.tcp.listen(address, backlog)

    async def connect(
        self, protocol_factory: Callable[[], Any], address: Address, options: dict[str, Any]
    ) -> Any:  # noqa: ANN401
        """Open a connection; its transport and protocol."""
        return await self.tcp.connect(protocol_factory, address, options)

    async def wrap_accepted(self, protocol_factory: Callable[[], Any], endpoint: Endpoint) -> Any:  # noqa: ANN401
        """Start a transport for a socket that the program has accepted."""
        return await self.tcp.wrap_accepted(protocol_factory, endpoint)

    def serve(self, protocol_factory: Callable[[], Any], address: Address) -> SimServer:
        """Listen, and accept with protocols from the factory."""
        return self.tcp.serve(protocol_factory, address)

    def bind_datagrams(self, protocol_factory: Callable[[], Any], address: Address) -> Any:  # noqa: ANN401
        """Bind a UDP socket; its transport and protocol."""
        return self.udp.bind(protocol_factory, address)

    def close_all(self, node: Node) -> None:
        """Close all descriptors and sockets of a killed node."""
        self.kernel.close_all(node)

    def socket_module(self) -> SimpleNamespace:
        """Replacement for the `socket` module."""
        return modules.socket_module(self.tcp, self.udp)

    def select_module(self) -> SimpleNamespace:
        """Replacement for the `select` module."""
        return modules.select_module(self.kernel.descriptors)
