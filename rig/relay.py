"""The network between front doors on sockets: the shell of `rig.mail`.

Front door `i` finds front door `j` at a relay of its own, and a datagram comes to `j` from the relay that
stands for `i` there: so each sees the others under addresses of its own, as the deployment describes.
"""

import asyncio
from random import Random
from typing import cast

from rig.clock import now_us
from rig.mail import Datagram, Mail
from rig.sockets import Address, host_of


class Relay(asyncio.DatagramProtocol):
    """Where front door `owner` sends what is for `peer`."""

    def __init__(self, network: "Network", owner: int, peer: int) -> None:
        self.network, self.owner, self.peer = network, owner, peer
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, address: Address) -> None:
        self.network.carry(self.owner, self.peer, data)

    def error_received(self, error: Exception) -> None:
        """The front door is down: what is for it is lost."""


class Network:
    """All relays of a world."""

    def __init__(self, mail: Mail, doors: list[Address], random: Random) -> None:
        self.mail, self.doors, self.random = mail, doors, random
        self.relays: dict[tuple[int, int], Relay] = {}
        self.addresses: dict[tuple[int, int], Address] = {}

    async def start(self, host: str) -> None:
        loop = asyncio.get_running_loop()
        for owner in range(len(self.doors)):
            for peer in range(len(self.doors)):
                if owner != peer:
                    transport, relay = await loop.create_datagram_endpoint(
                        lambda owner=owner, peer=peer: Relay(self, owner, peer),  # type: ignore[misc]
                        local_addr=(host_of(host, owner), 0),  # one address has not ports enough
                    )
                    self.relays[owner, peer] = relay
                    self.addresses[owner, peer] = transport.get_extra_info("sockname")

    def peers_of(self, door: int) -> list[Address]:
        """The addresses that front door `door` has for all of the tier, its own among them."""
        return [
            self.doors[door] if peer == door else self.addresses[door, peer]
            for peer in range(len(self.doors))
        ]

    def carry(self, sender: int, receiver: int, data: bytes) -> None:
        draws = (self.random.random(), self.random.random(), self.random.random(), self.random.random())
        now = now_us()
        for at in self.mail.handle(now, Datagram(sender, receiver, len(data), draws)):
            asyncio.get_running_loop().call_later((at - now) / 1e6, self.deliver, sender, receiver, data)

    def deliver(self, sender: int, receiver: int, data: bytes) -> None:
        transport = self.relays[receiver, sender].transport
        if transport and not transport.is_closing():
            transport.sendto(data, self.doors[receiver])

    def close(self) -> None:
        for relay in self.relays.values():
            if relay.transport:
                relay.transport.close()
