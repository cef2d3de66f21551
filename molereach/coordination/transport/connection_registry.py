"""All peers and connections of one proxy: which connections to accept, and which one to keep of two.

If two proxies dial each other simultaneously, the connection dialled by the smaller name is kept. The proxy
with the smaller name rejects the other's hello if it has already sent its own; before that it cancels its own
dial and accepts. The proxy with the larger name cancels its dial whenever the hello of the smaller arrives.
Both sides apply the same rule, so exactly one connection remains. A peer that dials while a connection
to the same instance is in use has lost that connection, so the new one replaces it. Messages are queued per
peer, not per connection, so a replacement neither loses nor repeats queued messages.
"""

import asyncio
import logging
import secrets
from collections.abc import Callable, Mapping
from typing import Any

from molereach.clock import now_us
from molereach.coordination.interface.core import MessageReceived
from molereach.coordination.interface.identifiers import NodeInstance
from molereach.coordination.transport.connection import PeerConnection
from molereach.coordination.transport.connection_owner import ConnectionPhase
from molereach.coordination.transport.connection_slots import ConnectionSlots
from molereach.coordination.transport.dialer import Dialer
from molereach.coordination.transport.fair_scheduler import FairScheduler
from molereach.coordination.transport.handshake import NONCE_BYTES, DiallerHandshake, ListenerHandshake
from molereach.coordination.transport.messages import MessageCodec
from molereach.coordination.transport.peer import Peer
from molereach.coordination.transport.retry_backoff import RetryBackoff
from molereach.coordination.transport.send_queue import QueuedMessage, QueueLimits, SendQueue
from molereach.coordination.transport.settings import Address, TransportSettings
from molereach.coordination.transport.warning_limiter import WarningLimiter

log = logging.getLogger(__name__)

REPLACED_REASON = "replaced by a newer link"
HEARTBEATS_PER_TURN = 16  # connections that send a heartbeat in one turn of the event loop


class ConnectionRegistry:
    """Owns all connections; implements `ConnectionOwner`."""

    def __init__(
        self,
        local_instance: NodeInstance,
        addresses: Mapping[str, Address],
        key: bytes,
        codec: MessageCodec,
        queue_limits: Mapping[str, QueueLimits],
        random: Callable[[], float],
        settings: TransportSettings,
    ) -> None:
        self.local_instance = local_instance
        self.addresses = addresses
        self.key = key
        self.codec = codec
        self.queue_limits = queue_limits
        self.random = random
        self.settings = settings
        self.loop = asyncio.get_running_loop()
        self.scheduler = FairScheduler(self.loop, now_us)
        self.dialer = Dialer(addresses, settings.handshake_timeout_s)
        self.warnings = WarningLimiter(log)
        self.unauthenticated_slots = ConnectionSlots(
            settings.max_unauthenticated, settings.max_unauthenticated_per_source
        )
        self.peers: dict[str, Peer] = {}
        self.connections: dict[PeerConnection, None] = {}  # with an open socket, in the order of opening
        self.deliver_message: Callable[[str, MessageReceived], None] = lambda protocol, received: None
        self.on_peer_connected: Callable[[NodeInstance], None] = lambda instance: None
        self.on_peer_disconnected: Callable[[str, str], None] = lambda name, reason: None
        self.closed = False
        self.rejected = 0
        self.handler_failures = 0

    def peer(self, name: str) -> Peer | None:
        """The peer of this name; None if it is unknown or this proxy itself, or after closing."""
        is_remote = name in self.addresses and name != self.local_instance.name
        if name not in self.peers and is_remote and not self.closed:
            self.peers[name] = Peer(name, SendQueue(self.queue_limits), RetryBackoff(self.random), self.dial)
        return self.peers.get(name)

    # --- opening connections ---

    def accept_connection(self) -> PeerConnection:
        """Create the connection for an accepted socket."""
        nonce = secrets.token_bytes(NONCE_BYTES)
        protocols = self.codec.protocols
        handshake = ListenerHandshake(self.local_instance, self.addresses, protocols, self.key, nonce)
        return PeerConnection(self, handshake)

    def dial(self, peer: Peer) -> None:
        """Start a new connection to a peer."""
        nonce = secrets.token_bytes(NONCE_BYTES)
        protocols = self.codec.protocols
        handshake = DiallerHandshake(self.local_instance, peer.name, protocols, self.key, nonce)
        peer.pending_connection = PeerConnection(self, handshake)
        self.dialer.request(peer, peer.pending_connection)

    def admit(self, connection: PeerConnection) -> bool:
        """Register a connection with an open socket; False after closing or if no slot is free."""
        if self.closed:
            return False
        if not connection.is_outgoing and not self.unauthenticated_slots.acquire(connection.source_address):
            return False
        self.connections[connection] = None
        return True

    def release_slot(self, connection: PeerConnection) -> None:
        """Release the unauthenticated slot of a connection, if it holds one."""
        if connection.source_address:
            self.unauthenticated_slots.release(connection.source_address)
            connection.source_address = ""

    def rejection_reason(self, instance: NodeInstance) -> str:
        """The reason to reject an authenticated dialler; "" if it is accepted."""
        peer = self.peer(instance.name)
        if peer is None:
            return "closed"
        if peer.connection:
            if instance.number < peer.connection.peer_instance.number:
                return f"a newer life of {instance.name} is connected"
            return ""
        hello_sent = peer.pending_connection is not None and peer.pending_connection.hello_sent
        if hello_sent and self.local_instance.name < instance.name:
            return "crossed: the dial of the smaller name stays"
        return ""

    def accepted_connections(self) -> list[PeerConnection]:
        """The open incoming connections."""
        connections = [peer.connection for peer in self.peers.values()]
        return [connection for connection in connections if connection and not connection.is_outgoing]

    def evict_idle_connection(self) -> None:
        """At the limit, close the incoming connection that is idle for longest; its peer may redial."""
        accepted = self.accepted_connections()
        if len(accepted) >= self.settings.max_accepted:
            longest_idle = min(
                accepted,
                key=lambda connection: (-connection.heartbeat.idle_heartbeats, connection.last_received_us),
            )
            longest_idle.close_gracefully("room for another")

    # --- connection events ---

    def on_opened(self, connection: PeerConnection) -> None:
        """Use an authenticated connection instead of the peer's previous one."""
        self.release_slot(connection)
        instance = connection.peer_instance
        peer = self.peer(instance.name)
        if peer is None:
            connection.abort("closed", failed=False)
            return
        if not (connection.is_outgoing or peer.connection):
            self.evict_idle_connection()
        if previous := peer.on_opened(connection):
            previous.abort(REPLACED_REASON, failed=False)
            self.notify(self.on_peer_disconnected, instance.name, REPLACED_REASON)
        log.info("link to %s is up", instance.name)
        self.notify(self.on_peer_connected, instance)
        self.schedule(connection)

    def schedule(self, connection: PeerConnection) -> None:
        """Schedule a step of a connection."""
        self.scheduler.schedule(connection)

    def on_message(self, connection: PeerConnection, protocol: str, message: Any) -> None:  # noqa: ANN401
        """Deliver a message; an exception of the handler is logged and counted."""
        try:
            self.deliver_message(protocol, MessageReceived(connection.peer_instance, message))
        except Exception:
            self.handler_failures += 1
            log.exception("a message of %s from %s failed", protocol, connection.peer_instance.name)

    def next_message(self, connection: PeerConnection) -> QueuedMessage | None:
        """Remove and return the peer's next message, if this is the connection in use."""
        instance = connection.peer_instance
        peer = self.peers.get(instance.name)
        if peer is None or peer.connection is not connection:
            return None
        return peer.send_queue.pop(instance.number)

    def on_ended(
        self,
        connection: PeerConnection,
        previous: ConnectionPhase,
        reason: str,
        failed: bool,
    ) -> None:
        """Log and report the end of a connection; dial again if messages are queued."""
        self.release_slot(connection)
        name = connection.peer_name
        if previous is ConnectionPhase.HANDSHAKE and failed:
            self.rejected += not connection.is_outgoing
            self.warnings.warn("no link %s: %s", f"to {name}" if name else "for one that dialled", reason)
        peer = self.peers.get(name)
        if peer and peer.on_ended(connection, reason, failed):
            write_log = self.warnings.warn if failed else log.info
            write_log("link to %s is down: %s", name, reason)
            self.notify(self.on_peer_disconnected, name, reason)
        if peer and not self.closed:
            peer.dial_if_needed()

    def on_socket_closed(self, connection: PeerConnection) -> None:
        """Unregister a connection whose socket is closed."""
        self.connections.pop(connection, None)

    def notify(self, callback: Callable[..., None], *values: object) -> None:
        """Call an event callback; an exception is logged."""
        try:
            callback(*values)
        except Exception:
            log.exception("what a link's owner was told failed")

    # --- heartbeats ---

    def send_heartbeats(self) -> None:
        """Send one heartbeat on each connection."""
        self.warnings.start_interval()
        self.send_heartbeat_batch(list(self.connections))

    def send_heartbeat_batch(self, connections: list[PeerConnection]) -> None:
        """Send a batch of heartbeats; the remaining ones are scheduled after other event loop callbacks."""
        for connection in connections[:HEARTBEATS_PER_TURN]:
            connection.on_heartbeat_interval()
        if len(connections) > HEARTBEATS_PER_TURN:
            self.loop.call_soon(self.send_heartbeat_batch, connections[HEARTBEATS_PER_TURN:])
