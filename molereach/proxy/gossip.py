"""Exchanges gossip with the other proxies of a tier in datagrams."""

import asyncio
from collections.abc import Callable
from typing import cast

from molereach.endpoint_address import EndpointAddress
from molereach.policy.interface.actions import SendGossip
from molereach.policy.interface.events import GossipReceived
from molereach.protocol.gossip_codec import MAX_DATAGRAM_BYTES, GossipCodec, QuotaGossipCodec


class GossipTransport(asyncio.DatagramProtocol):
    """Sends and receives gossip; drops datagrams that are malformed or do not come from a peer."""

    def __init__(
        self,
        addresses: tuple[EndpointAddress, ...],
        proxy_index: int,
        on_message: Callable[[GossipReceived], None],
    ) -> None:
        """`addresses` are those of all proxies of the tier; `proxy_index` is the index of this one."""
        self.addresses = addresses
        self.proxy_index = proxy_index
        self.on_message = on_message
        self.senders = {address: index for index, address in enumerate(addresses) if index != proxy_index}
        self.transport: asyncio.DatagramTransport | None = None
        self.codec: GossipCodec = QuotaGossipCodec()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of the bound socket."""
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, address: EndpointAddress) -> None:
        """Decode a peer's datagram and pass on its messages."""
        sender = self.senders.get(address)
        if sender is None or len(data) > MAX_DATAGRAM_BYTES:
            return
        if message := self.codec.unpack(sender, data):
            self.on_message(message)

    def error_received(self, error: Exception) -> None:
        """Ignore the error, such as that of a peer which is down: gossip tolerates lost datagrams."""

    def send(self, action: SendGossip) -> None:
        """Send the messages of an action to its peer."""
        if self.transport and action.peer != self.proxy_index and action.peer < len(self.addresses):
            for data in self.codec.pack(action.peer, action.messages):
                self.transport.sendto(data, self.addresses[action.peer])

    def close(self) -> None:
        """Close the socket if it was bound."""
        if self.transport:
            self.transport.close()
