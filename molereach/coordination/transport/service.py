"""The transport's interface for the coordination node: messages and notifications of connected peers."""

import asyncio
import logging
from collections.abc import Callable, Mapping
from typing import Any

from molereach.coordination.interface.core import MessageReceived, SendMessage
from molereach.coordination.interface.identifiers import NodeInstance
from molereach.coordination.transport.connection_owner import ConnectionPhase
from molereach.coordination.transport.connection_registry import ConnectionRegistry
from molereach.coordination.transport.frames import MAX_BODY_BYTES
from molereach.coordination.transport.messages import MessageCodec
from molereach.coordination.transport.peer import Peer
from molereach.coordination.transport.send_queue import QueuedMessage, QueueLimits
from molereach.coordination.transport.settings import Address, TransportSettings
from molereach.coordination.transport.stats import TransportStats
from molereach.keyfile import MAX_KEY_BYTES, MIN_KEY_BYTES

log = logging.getLogger(__name__)

# All peers dial a proxy that restarts. A dial beyond the backlog is not refused but delayed by seconds.
LISTEN_BACKLOG = 128


class TransportService:
    """Sends and receives messages between this proxy and those at `addresses`, looked up at each dial.

    `message_types` maps each protocol to its message type. `on_message` receives a protocol and a message;
    `on_peer_connected` and `on_peer_disconnected` are called when a connection opens or ends. Exceptions of
    these callbacks are logged and have no other effect. `queue_limits` overrides the default limits per
    protocol. `random` returns a number in [0, 1).
    """

    def __init__(
        self,
        local_instance: NodeInstance,
        addresses: Mapping[str, Address],
        key: bytes,
        message_types: Mapping[str, Any],
        on_message: Callable[[str, MessageReceived], None],
        random: Callable[[], float],
        *,
        on_peer_connected: Callable[[NodeInstance], None] = lambda instance: None,
        on_peer_disconnected: Callable[[str, str], None] = lambda name, reason: None,
        queue_limits: Mapping[str, QueueLimits] | None = None,
        settings: TransportSettings = TransportSettings(),  # noqa: B008
    ) -> None:
        """ValueError for a key that is too short to be secure or too long for BLAKE2b."""
        if not MIN_KEY_BYTES <= len(key) <= MAX_KEY_BYTES:
            raise ValueError(f"a key of {MIN_KEY_BYTES} to {MAX_KEY_BYTES} bytes is needed")
        self.settings = settings
        self.codec = MessageCodec(message_types)
        given_limits = queue_limits or {}
        limits = {name: given_limits.get(name, QueueLimits()) for name in message_types}
        self.registry = ConnectionRegistry(
            local_instance, addresses, key, self.codec, limits, random, settings
        )
        self.registry.deliver_message = on_message
        self.registry.on_peer_connected = on_peer_connected
        self.registry.on_peer_disconnected = on_peer_disconnected
        self.loop = asyncio.get_running_loop()
        self.server: asyncio.Server | None = None
        self.heartbeat_timer: asyncio.TimerHandle | None = None
        self.undeliverable = 0

    async def start(self, listen: Address) -> Address:
        """Listen and dial peers; return the bound address. OSError if `listen` is not available."""
        self.server = await self.loop.create_server(
            self.registry.accept_connection, *listen, backlog=LISTEN_BACKLOG
        )
        self.start_heartbeat_timer()
        for peer in self.registry.peers.values():
            peer.dial_if_needed()
        address: Address = self.server.sockets[0].getsockname()[:2]
        return address

    def start_heartbeat_timer(self) -> None:
        """Schedule the next heartbeats."""
        delay_s = self.settings.heartbeat_interval_s
        self.heartbeat_timer = self.loop.call_later(delay_s, self.on_heartbeat_timer)

    def on_heartbeat_timer(self) -> None:
        """Send the heartbeats of this interval."""
        self.start_heartbeat_timer()
        self.registry.send_heartbeats()

    def send(self, protocol: str, action: SendMessage) -> None:
        """Send a message now, queue it until it can be sent, or drop it.

        KeyError for an unknown protocol; other errors are logged.
        """
        if protocol not in self.codec.protocol_numbers:
            raise KeyError(protocol)
        try:
            self.encode_and_send(protocol, action)
        except Exception:
            log.exception("a message of %s to %s failed", protocol, action.recipient)

    def encode_and_send(self, protocol: str, action: SendMessage) -> None:
        """Send or queue a message; an undeliverable one is counted and dropped."""
        body = self.codec.encode(protocol, action.message)
        peer = self.registry.peer(action.recipient)
        if peer is None or len(body) > MAX_BODY_BYTES:
            self.undeliverable += 1
            self.registry.warnings.warn(
                "a message of %s to %s is dropped: %d bytes", protocol, action.recipient, len(body)
            )
            return
        message = QueuedMessage(protocol, type(action.message), body, action.instance_number)
        self.send_or_enqueue(peer, message)

    def send_or_enqueue(self, peer: Peer, message: QueuedMessage) -> None:
        """Send a message on the open connection, unless others wait before it."""
        connection = peer.connection
        if connection is None:
            peer.enqueue(message)
            if self.server:
                peer.dial_if_needed()
        elif message.instance_number not in (None, connection.peer_instance.number):
            peer.send_queue.dropped += 1
        elif connection.writing_paused or len(peer.send_queue):
            peer.enqueue(message)  # sent by the scheduler, or when writing resumes
        else:
            connection.send(message.body)

    def remove_peer(self, name: str) -> None:
        """Close the connection to a peer and drop its queued messages."""
        if peer := self.registry.peers.pop(name, None):
            peer.close()

    def close(self) -> None:
        """Close all connections; queued messages are dropped."""
        self.registry.closed = True
        if self.server:
            self.server.close()
        if self.heartbeat_timer:
            self.heartbeat_timer.cancel()
        for peer in self.registry.peers.values():
            peer.close()
        for connection in list(self.registry.connections):
            if connection.phase is ConnectionPhase.HANDSHAKE:
                connection.abort("closed", failed=False)
            elif connection.transport:
                connection.transport.close()  # asyncio closes the socket after the write buffer has drained
        self.loop.call_later(self.settings.handshake_timeout_s, self.abort_connections)

    def abort_connections(self) -> None:
        """Abort the connections that are still open after the timeout."""
        for connection in list(self.registry.connections):
            connection.abort("closed", failed=False)

    def stats(self) -> TransportStats:
        """The state of all peers and connections."""
        registry = self.registry
        slots = registry.unauthenticated_slots
        return TransportStats(
            peers={name: peer.stats() for name, peer in registry.peers.items()},
            accepted=len(registry.accepted_connections()),
            unauthenticated=slots.used.total(),
            rejected=registry.rejected + slots.rejected,
            undeliverable=self.undeliverable,
            handler_failures=registry.handler_failures,
            scheduler_turns=registry.scheduler.completed_turns,
        )
