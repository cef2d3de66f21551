"""The datagram network between front doors on sockets: the I/O around `rig.mail`.

Front door `i` reaches front door `j` through a relay of its own, and `j` receives the datagram from its own
relay for `i`. So each front door has its own addresses for the others, as the deployment describes.
"""

import asyncio
from random import Random
from typing import cast

from rig.clock import now_us
from rig.mail import Datagram, DatagramModel
from rig.sockets import Address, machine_host


class DatagramRelay(asyncio.DatagramProtocol):
    """The address to which front door `owner` sends datagrams for `peer`."""

    def __init__(self, network: "Network", owner: int, peer: int) -> None:
        self.network, self.owner, self.peer = network, owner, peer
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, address: Address) -> None:
        self.network.forward(self.owner, self.peer, data)

    def error_received(self, error: Exception) -> None:
        """Ignored: the front door is down, so the datagram is lost."""


class Network:
    """All relays of a run."""

    def __init__(self, model: DatagramModel, doors: list[Address], random: Random) -> None:
        self.model, self.doors, self.random = model, doors, random
        self.relays: dict[tuple[int, int], DatagramRelay] = {}
        self.addresses: dict[tuple[int, int], Address] = {}

    async def start(self, host: str) -> None:
        """Open all relays."""
        loop = asyncio.get_running_loop()
        for owner in range(len(self.doors)):
            for peer in range(len(self.doors)):
                if owner != peer:
                    transport, relay = await loop.create_datagram_endpoint(
                        lambda owner=owner, peer=peer: DatagramRelay(self, owner, peer),  # type: ignore[misc]
                        local_addr=(machine_host(host, owner), 0),  # a single address has not enough ports
                    )
                    self.relays[owner, peer] = relay
                    self.addresses[owner, peer] = transport.get_extra_info("sockname")

    def peer_addresses(self, door: int) -> list[Address]:
        """The addresses under which front door `door` knows all front doors, with its own among them."""
        return [
            self.doors[door] if peer == door else self.addresses[door, peer]
            for peer in range(len(self.doors))
        ]

    def forward(self, sender: int, receiver: int, data: bytes) -> None:
        """Schedule the copies of a datagram."""
        draws = (self.random.random(), self.random.random(), self.random.random(), self.random.random())
        sent_us = now_us()
        for at_us in self.model.handle(sent_us, Datagram(sender, receiver, len(data), draws)):
            asyncio.get_running_loop().call_later(
                (at_us - sent_us) / 1e6, self.deliver, sender, receiver, data
            )

    def deliver(self, sender: int, receiver: int, data: bytes) -> None:
        """Send a copy from the relay that stands for the sender."""
        transport = self.relays[receiver, sender].transport
        if transport and not transport.is_closing():
            transport.sendto(data, self.doors[receiver])

    def close(self) -> None:
        """Close all relays."""
        for relay in self.relays.values():
            if relay.transport:
                relay.transport.close()
