"""Datagrams between the front doors of a tier."""

import asyncio
from collections.abc import Callable
from typing import cast

from molereach.endpoint_address import EndpointAddress
from molereach.policy.interface.actions import SendGossip
from molereach.policy.interface.events import GossipReceived
from molereach.protocol.gossip_codec import MAX_DATAGRAM_BYTES, GossipCodec, QuotaGossipCodec


class GossipTransport(asyncio.DatagramProtocol):
    """Words to and from the other front doors; what strangers send or what is malformed is dropped."""

    def __init__(
        self, addresses: tuple[EndpointAddress, ...], me: int, heard: Callable[[GossipReceived], None]
    ) -> None:
        self.addresses, self.own_index, self.on_message = addresses, me, heard
        self.senders = {address: number for number, address in enumerate(addresses) if number != me}
        self.transport: asyncio.DatagramTransport | None = None
        self.codec: GossipCodec = QuotaGossipCodec()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, address: EndpointAddress) -> None:
        sender = self.senders.get(address)
        if sender is None or len(data) > MAX_DATAGRAM_BYTES:
            return
        if message := self.codec.unpack(sender, data):
            self.on_message(message)

    def error_received(self, error: Exception) -> None:
        """A peer that is down may show as an error here; words may be lost in any case."""

    def send(self, action: SendGossip) -> None:
        if self.transport and action.peer != self.own_index and action.peer < len(self.addresses):
            for data in self.codec.pack(action.peer, action.messages):
                self.transport.sendto(data, self.addresses[action.peer])

    def close(self) -> None:
        if self.transport:
            self.transport.close()
