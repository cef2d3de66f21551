"""All links of one front door, as the council uses them: say, hear, and know who can be heard. A shell."""

import asyncio
import logging
from collections.abc import Callable, Mapping
from typing import Any

from molereach.coordination.interface.core import MessageReceived, SendMessage
from molereach.coordination.interface.identifiers import NodeInstance
from molereach.coordination.transport.board import Address, Board
from molereach.coordination.transport.frames import MOST_BODY_BYTES
from molereach.coordination.transport.owner import Phase
from molereach.coordination.transport.peer import Peer
from molereach.coordination.transport.queue import Item, Rule
from molereach.coordination.transport.settings import LinkSettings
from molereach.coordination.transport.stats import LinksStats
from molereach.coordination.transport.words import Words
from molereach.keyfile import MAX_KEY_BYTES, MIN_KEY_BYTES

log = logging.getLogger(__name__)

BACKLOG = 128  # all front doors dial one that is back; past it a dial waits for seconds and not for a refusal


class Links:
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
        rules: Mapping[str, Rule] | None = None,
        settings: LinkSettings = LinkSettings(),  # noqa: B008
    ) -> None:
        """ValueError for a key of another size than BLAKE2b takes, or that is too short to be one."""
        if not MIN_KEY_BYTES <= len(key) <= MAX_KEY_BYTES:
            raise ValueError(f"a key of {MIN_KEY_BYTES} to {MAX_KEY_BYTES} bytes is needed")
        self.settings, self.words = settings, Words(parts)
        all_rules = {name: (rules or {}).get(name, Rule()) for name in parts}
        self.board = Board(me, addresses, key, self.words, all_rules, draw, settings)
        self.board.deliver, self.board.up, self.board.down = deliver, up, down
        self.loop = asyncio.get_running_loop()
        self.server: asyncio.Server | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.unsaid = 0

    async def start(self, listen: Address) -> Address:
        """Take links at this address, and dial; the address with its port. OSError where it cannot be had."""
        self.server = await self.loop.create_server(self.board.answer, *listen, backlog=BACKLOG)
        self.timer = self.loop.call_later(self.settings.beat_s, self.on_time)
        for peer in self.board.peers.values():
            peer.want()
        address: Address = self.server.sockets[0].getsockname()[:2]
        return address

    def on_time(self) -> None:
        self.timer = self.loop.call_later(self.settings.beat_s, self.on_time)
        self.board.beat()

    def say(self, part: str, say: SendMessage) -> None:
        """Send a message, now or when there is a link, or drop it; KeyError for a part that is not here."""
        if part not in self.words.numbers:
            raise KeyError(part)
        try:
            body = self.words.pack(part, say.message)
            peer = self.board.peer(say.recipient)
            if peer is None or len(body) > MOST_BODY_BYTES:
                self.unsaid += 1
                self.board.line("a message of %s to %s is dropped: %d bytes", part, say.recipient, len(body))
                return
            self.send(peer, Item(part, type(say.message), body, say.instance_number))
        except Exception:
            log.exception("a message of %s to %s failed", part, say.recipient)

    def send(self, peer: Peer, item: Item) -> None:
        link = peer.link
        if link is None:
            peer.wait(item)
            if self.server:
                peer.want()
        elif item.life is not None and item.life != link.life.number:
            peer.outbox.dropped += 1
        elif link.paused or len(peer.outbox):
            peer.wait(item)  # its turn comes, or the link resumes
        else:
            link.say(item.body)

    def forget(self, name: str) -> None:
        """End the link to a front door and drop what waits for it."""
        if peer := self.board.peers.pop(name, None):
            peer.close()

    def close(self) -> None:
        """End all links; what was said and not sent is dropped."""
        self.board.closed = True
        if self.server:
            self.server.close()
        if self.timer:
            self.timer.cancel()
        for peer in self.board.peers.values():
            peer.close()
        for link in list(self.board.links):
            if link.phase is Phase.HELLO:
                link.lose("closed", fault=False)
            elif link.transport:
                link.transport.close()  # when what was written has left
        self.loop.call_later(self.settings.hello_s, self.abort)

    def abort(self) -> None:
        for link in list(self.board.links):
            link.lose("closed", fault=False)

    def stats(self) -> LinksStats:
        board = self.board
        return LinksStats(
            {name: peer.stats() for name, peer in board.peers.items()},
            len(board.accepted()),
            board.places.used.total(),
            board.refused + board.places.rejected,
            self.unsaid,
            board.failed,
            board.turns.taken,
        )
