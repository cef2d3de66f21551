"""All hosts of a world, and what lies between them: what the loop, the seam and the rig ask of them."""

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
from sim.network.way import Spec, Way


class Network:
    """One network of one loop, which opens connections and sockets by it."""

    def __init__(self, loop: SimLoop, seed: int, spec: Spec | None = None) -> None:
        self.kernel = Kernel(Way(loop, spec or Spec(), Random(f"{seed}:network")))
        self.tcp, self.udp = Tcp(self.kernel), Udp(self.kernel)
        loop.network = self

    def free_port(self, host: str) -> int:
        return self.kernel.ports.free(host)

    def listen(self, address: Address, backlog: int = 100) -> Listener:
        return self.tcp.listen(address, backlog)

    async def connect(self, factory: Callable[[], Any], address: Address, more: dict[str, Any]) -> Any:  # noqa: ANN401
        return await self.tcp.connect(factory, address, more)

    async def adopt(self, factory: Callable[[], Any], endpoint: Endpoint) -> Any:  # noqa: ANN401
        return await self.tcp.adopt(factory, endpoint)

    def serve(self, factory: Callable[[], Any], address: Address) -> SimServer:
        return self.tcp.serve(factory, address)

    def datagrams(self, factory: Callable[[], Any], address: Address) -> Any:  # noqa: ANN401
        return self.udp.bind(factory, address)

    def close_all(self, node: Node) -> None:
        self.kernel.close_all(node)

    def socket_module(self) -> SimpleNamespace:
        return modules.socket_module(self.tcp, self.udp)

    def select_module(self) -> SimpleNamespace:
        return modules.select_module(self.kernel.descriptors)
