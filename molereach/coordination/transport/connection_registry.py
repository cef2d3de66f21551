"""All peers of one front door: which connections to take, which of two to keep, whom to dial. A shell.

Two that dial each other at once: the dial of the smaller name stays. It refuses the other's once it has said
its own hello, and gives up its own before that; the larger gives up its own whenever the smaller's hello
comes. Both know the same, so one stays. A peer that dials while a link of the same run is in use here has
lost that one: the new one takes its place. What waits belongs to the peer and not to a link, so it is kept,
and said once.
"""

import asyncio
import logging
import secrets
from collections import deque
from collections.abc import Callable, Mapping
from typing import Any

from molereach.clock import now_us
from molereach.coordination.interface.core import MessageReceived
from molereach.coordination.interface.identifiers import NodeInstance
from molereach.coordination.transport.connection import PeerConnection
from molereach.coordination.transport.connection_owner import ConnectionPhase
from molereach.coordination.transport.connection_slots import ConnectionSlots
from molereach.coordination.transport.fair_scheduler import FairScheduler
from molereach.coordination.transport.handshake import NONCE_BYTES, DiallerHandshake, ListenerHandshake
from molereach.coordination.transport.messages import MessageCodec
from molereach.coordination.transport.peer import Peer
from molereach.coordination.transport.retry_backoff import RetryBackoff
from molereach.coordination.transport.send_queue import QueuedMessage, QueueLimits, SendQueue
from molereach.coordination.transport.settings import TransportSettings

log = logging.getLogger(__name__)

Address = tuple[str, int]
REPLACED_REASON = "replaced by a newer link"
HEARTBEATS_PER_TURN = 16  # links in one turn of the loop
DIALS_PER_TURN = 8
MAX_WARNINGS_PER_INTERVAL = 8  # of the log, a beat, about those who are refused


class ConnectionRegistry:
    """The owner of all links."""

    def __init__(
        self,
        me: NodeInstance,
        addresses: Mapping[str, Address],
        key: bytes,
        words: MessageCodec,
        rules: Mapping[str, QueueLimits],
        draw: Callable[[], float],
        settings: TransportSettings,
    ) -> None:
        self.local_instance, self.addresses, self.key, self.codec = me, addresses, key, words
        self.queue_limits, self.random, self.settings = rules, draw, settings
        self.loop = asyncio.get_running_loop()
        self.scheduler = FairScheduler(self.loop, now_us)
        self.unauthenticated_slots = ConnectionSlots(
            settings.max_unauthenticated, settings.max_unauthenticated_per_source
        )
        self.peers: dict[str, Peer] = {}
        self.pending_dials: deque[tuple[Peer, PeerConnection]] = deque()  # to be begun
        self.connections: dict[
            PeerConnection, None
        ] = {}  # all with a socket, in the order in which they came
        self.deliver_message: Callable[[str, MessageReceived], None] = lambda part, heard: None
        self.on_peer_connected: Callable[[NodeInstance], None] = lambda life: None
        self.on_peer_disconnected: Callable[[str, str], None] = lambda name, reason: None
        self.closed = False
        self.rejected = self.handler_failures = self.warnings = 0

    def peer(self, name: str) -> Peer | None:
        """None for nobody of this council, and for ourselves."""
        if (
            name not in self.peers
            and name in self.addresses
            and name != self.local_instance.name
            and not self.closed
        ):
            self.peers[name] = Peer(name, SendQueue(self.queue_limits), RetryBackoff(self.random), self.dial)
        return self.peers.get(name)

    # --- making connections ---

    def accept_connection(self) -> PeerConnection:
        nonce = secrets.token_bytes(NONCE_BYTES)
        return PeerConnection(
            self,
            ListenerHandshake(self.local_instance, self.addresses, self.codec.protocols, self.key, nonce),
        )

    def dial(self, peer: Peer) -> None:
        nonce = secrets.token_bytes(NONCE_BYTES)
        peer.pending_connection = PeerConnection(
            self, DiallerHandshake(self.local_instance, peer.name, self.codec.protocols, self.key, nonce)
        )
        self.pending_dials.append((peer, peer.pending_connection))
        if len(self.pending_dials) == 1:
            self.loop.call_soon(self.start_dials)

    def start_dials(self) -> None:
        """A few, and the others after what else the loop has to do: words to all may want 200 at once."""
        for peer, link in [
            self.pending_dials.popleft() for _ in range(min(len(self.pending_dials), DIALS_PER_TURN))
        ]:
            if link.phase is not ConnectionPhase.CLOSED:
                peer.dial_task = self.loop.create_task(self.connect(peer.name, link))
        if self.pending_dials:
            self.loop.call_soon(self.start_dials)

    async def connect(self, name: str, link: PeerConnection) -> None:
        try:
            async with asyncio.timeout(self.settings.handshake_timeout_s):
                host, port = self.addresses[name]
                await self.loop.create_connection(lambda: link, host, port)
        except TimeoutError:
            link.abort("no answer")
        except OSError as error:
            link.abort(error.strerror or str(error))
        except Exception as error:  # an address that makes no sense
            link.abort(f"cannot dial: {error!r}")

    # --- whom to take ---

    def admit(self, link: PeerConnection) -> bool:
        if self.closed or not (link.is_outgoing or self.unauthenticated_slots.acquire(link.source_address)):
            return False
        self.connections[link] = None
        return True

    def release_slot(self, link: PeerConnection) -> None:
        """It takes no place of the unproven any more."""
        if link.source_address:
            self.unauthenticated_slots.release(link.source_address)
            link.source_address = ""

    def rejection_reason(self, life: NodeInstance) -> str:
        peer = self.peer(life.name)
        if peer is None:
            return "closed"
        if peer.connection and life.number < peer.connection.peer_instance.number:
            return f"a newer life of {life.name} is connected"
        if (
            not peer.connection
            and peer.pending_connection
            and peer.pending_connection.hello_sent
            and self.local_instance.name < life.name
        ):
            return "crossed: the dial of the smaller name stays"
        return ""

    def accepted_connections(self) -> list[PeerConnection]:
        return [
            peer.connection
            for peer in self.peers.values()
            if peer.connection and not peer.connection.is_outgoing
        ]

    def evict_least_used(self) -> None:
        """The one that was not used for longest gives way; who has something to say to it dials again."""
        accepted = self.accepted_connections()
        if len(accepted) >= self.settings.max_accepted:
            min(
                accepted, key=lambda link: (-link.heartbeat.idle_heartbeats, link.last_received_us)
            ).close_gracefully("room for another")

    # --- what becomes of them ---

    def on_opened(self, link: PeerConnection) -> None:
        self.release_slot(link)
        life = link.peer_instance
        peer = self.peer(life.name)
        if peer is None:
            link.abort("closed", fault=False)
            return
        if not (link.is_outgoing or peer.connection):
            self.evict_least_used()
        if old := peer.on_opened(link):
            old.abort(REPLACED_REASON, fault=False)
            self.notify(self.on_peer_disconnected, life.name, REPLACED_REASON)
        log.info("link to %s is up", life.name)
        self.notify(self.on_peer_connected, life)
        self.schedule(link)

    def schedule(self, link: PeerConnection) -> None:
        self.scheduler.schedule(link)

    def on_message(self, link: PeerConnection, part: str, message: Any) -> None:  # noqa: ANN401
        try:
            self.deliver_message(part, MessageReceived(link.peer_instance, message))
        except Exception:
            self.handler_failures += 1
            log.exception("a message of %s from %s failed", part, link.peer_instance.name)

    def next_message(self, link: PeerConnection) -> QueuedMessage | None:
        peer = self.peers.get(link.peer_instance.name)
        return peer.send_queue.pop(link.peer_instance.number) if peer and peer.connection is link else None

    def on_ended(self, link: PeerConnection, was: ConnectionPhase, reason: str, fault: bool) -> None:
        self.release_slot(link)
        name = link.peer_name
        if was is ConnectionPhase.HANDSHAKE and fault:
            self.rejected += not link.is_outgoing
            self.warn("no link %s: %s", f"to {name}" if name else "for one that dialled", reason)
        peer = self.peers.get(name)
        if peer and peer.on_ended(link, reason, fault):
            tell = self.warn if fault else log.info
            tell("link to %s is down: %s", name, reason)
            self.notify(self.on_peer_disconnected, name, reason)
        if peer and not self.closed:
            peer.dial_if_needed()

    def on_socket_closed(self, link: PeerConnection) -> None:
        self.connections.pop(link, None)

    def notify(self, event: Callable[..., None], *what: object) -> None:
        try:
            event(*what)
        except Exception:
            log.exception("what a link's owner was told failed")

    def warn(self, text: str, *what: object) -> None:
        """One of few lines a beat: who is refused a thousand times does not fill the log."""
        self.warnings += 1
        if self.warnings <= MAX_WARNINGS_PER_INTERVAL:
            log.warning(text, *what)

    def send_heartbeats(self) -> None:
        self.warnings = 0
        self.send_heartbeat_batch(list(self.connections))

    def send_heartbeat_batch(self, links: list[PeerConnection]) -> None:
        """A few of them, and the others after what else the loop has to do."""
        for link in links[:HEARTBEATS_PER_TURN]:
            link.send_heartbeat()
        if len(links) > HEARTBEATS_PER_TURN:
            self.loop.call_soon(self.send_heartbeat_batch, links[HEARTBEATS_PER_TURN:])
