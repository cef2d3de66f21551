"""All links of one front door, as the council uses them: say, hear, and know who can be heard. A shell."""

import asyncio
import logging
from collections.abc import Callable, Mapping
from typing import Any

from molereach.coordination.interface.core import MessageReceived, SendMessage
from molereach.coordination.interface.identifiers import NodeInstance
from molereach.coordination.transport.connection_owner import ConnectionPhase
from molereach.coordination.transport.connection_registry import Address, ConnectionRegistry
from molereach.coordination.transport.frames import MAX_BODY_BYTES
from molereach.coordination.transport.messages import MessageCodec
from molereach.coordination.transport.peer import Peer
from molereach.coordination.transport.send_queue import QueuedMessage, QueueLimits
from molereach.coordination.transport.settings import TransportSettings
from molereach.coordination.transport.stats import TransportStats
from molereach.keyfile import LEAST_KEY_BYTES, MOST_KEY_BYTES

log = logging.getLogger(__name__)

LISTEN_BACKLOG = (
    128  # all front doors dial one that is back; past it a dial waits for seconds and not for a refusal
)


class TransportService:
    """The messages of `parts` to and from the front doors at `addresses` (looked up at each dial).

    `deliver` is called with the part and the message; `up` and `down` with a peer that can be heard from now
    on, or not any more. What they raise is logged and costs nothing else. `rules` say how messages wait.
    """

    def __init__(
        self,
        me: NodeInstance,
        addresses: Mapping[str, Address],
        key: bytes,
        parts: Mapping[str, Any],
        deliver: Callable[[str, MessageReceived], None],
        draw: Callable[[], float],
        *,
        up: Callable[[NodeInstance], None] = lambda life: None,
        down: Callable[[str, str], None] = lambda name, reason: None,
        rules: Mapping[str, QueueLimits] | None = None,
        settings: TransportSettings = TransportSettings(),  # noqa: B008
    ) -> None:
        """ValueError for a key of another size than BLAKE2b takes, or that is too short to be one."""
        if not LEAST_KEY_BYTES <= len(key) <= MOST_KEY_BYTES:
            raise ValueError(f"a key of {LEAST_KEY_BYTES} to {MOST_KEY_BYTES} bytes is needed")
        self.settings, self.codec = settings, MessageCodec(parts)
        all_rules = {name: (rules or {}).get(name, QueueLimits()) for name in parts}
        self.registry = ConnectionRegistry(me, addresses, key, self.codec, all_rules, draw, settings)
        self.registry.deliver_message, self.registry.on_peer_connected, self.registry.on_peer_disconnected = (
            deliver,
            up,
            down,
        )
        self.loop = asyncio.get_running_loop()
        self.server: asyncio.Server | None = None
        self.heartbeat_timer: asyncio.TimerHandle | None = None
        self.undeliverable = 0

    async def start(self, listen: Address) -> Address:
        """Take links at this address, and dial; the address with its port. OSError where it cannot be had."""
        self.server = await self.loop.create_server(
            self.registry.accept_connection, *listen, backlog=LISTEN_BACKLOG
        )
        self.heartbeat_timer = self.loop.call_later(
            self.settings.heartbeat_interval_s, self.on_heartbeat_timer
        )
        for peer in self.registry.peers.values():
            peer.dial_if_needed()
        address: Address = self.server.sockets[0].getsockname()[:2]
        return address

    def on_heartbeat_timer(self) -> None:
        self.heartbeat_timer = self.loop.call_later(
            self.settings.heartbeat_interval_s, self.on_heartbeat_timer
        )
        self.registry.send_heartbeats()

    def send(self, part: str, say: SendMessage) -> None:
        """Send a message, now or when there is a link, or drop it; KeyError for a part that is not here."""
        if part not in self.codec.protocol_numbers:
            raise KeyError(part)
        try:
            body = self.codec.encode(part, say.message)
            peer = self.registry.peer(say.recipient)
            if peer is None or len(body) > MAX_BODY_BYTES:
                self.undeliverable += 1
                self.registry.warn(
                    "a message of %s to %s is dropped: %d bytes", part, say.recipient, len(body)
                )
                return
            self.send_or_enqueue(peer, QueuedMessage(part, type(say.message), body, say.instance_number))
        except Exception:
            log.exception("a message of %s to %s failed", part, say.recipient)

    def send_or_enqueue(self, peer: Peer, item: QueuedMessage) -> None:
        link = peer.connection
        if link is None:
            peer.enqueue(item)
            if self.server:
                peer.dial_if_needed()
        elif item.instance_number is not None and item.instance_number != link.peer_instance.number:
            peer.send_queue.dropped += 1
        elif link.writing_paused or len(peer.send_queue):
            peer.enqueue(item)  # its turn comes, or the link resumes
        else:
            link.send(item.body)

    def remove_peer(self, name: str) -> None:
        """End the link to a front door and drop what waits for it."""
        if peer := self.registry.peers.pop(name, None):
            peer.close()

    def close(self) -> None:
        """End all links; what was said and not sent is dropped."""
        self.registry.closed = True
        if self.server:
            self.server.close()
        if self.heartbeat_timer:
            self.heartbeat_timer.cancel()
        for peer in self.registry.peers.values():
            peer.close()
        for link in list(self.registry.connections):
            if link.phase is ConnectionPhase.HANDSHAKE:
                link.abort("closed", fault=False)
            elif link.transport:
                link.transport.close()  # when what was written has left
        self.loop.call_later(self.settings.handshake_timeout_s, self.abort_connections)

    def abort_connections(self) -> None:
        for link in list(self.registry.connections):
            link.abort("closed", fault=False)

    def stats(self) -> TransportStats:
        board = self.registry
        return TransportStats(
            {name: peer.stats() for name, peer in board.peers.items()},
            len(board.accepted_connections()),
            board.unauthenticated_slots.used.total(),
            board.rejected + board.unauthenticated_slots.rejected,
            self.undeliverable,
            board.handler_failures,
            board.scheduler.completed_turns,
        )
