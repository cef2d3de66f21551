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
from molereach.coordination.transport.connection_slots import ConnectionSlots
from molereach.coordination.transport.hello import NONCE_BYTES, Answering, Dialling
from molereach.coordination.transport.link import Link
from molereach.coordination.transport.owner import Phase
from molereach.coordination.transport.peer import Peer
from molereach.coordination.transport.queue import Item, Outbox, Rule
from molereach.coordination.transport.retry import Retry
from molereach.coordination.transport.settings import LinkSettings
from molereach.coordination.transport.turns import Turns
from molereach.coordination.transport.words import Words

log = logging.getLogger(__name__)

Address = tuple[str, int]
REPLACED = "replaced by a newer link"
BEATS_AT_ONCE = 16  # links in one turn of the loop
DIALS_AT_ONCE = 8
MOST_LINES = 8  # of the log, a beat, about those who are refused


class Board:
    """The owner of all links."""

    def __init__(
        self,
        me: NodeInstance,
        addresses: Mapping[str, Address],
        key: bytes,
        words: Words,
        rules: Mapping[str, Rule],
        draw: Callable[[], float],
        settings: LinkSettings,
    ) -> None:
        self.me, self.addresses, self.key, self.words = me, addresses, key, words
        self.rules, self.draw, self.settings = rules, draw, settings
        self.loop = asyncio.get_running_loop()
        self.turns = Turns(self.loop, now_us)
        self.places = ConnectionSlots(settings.most_unproven, settings.most_unproven_of_source)
        self.peers: dict[str, Peer] = {}
        self.dials: deque[tuple[Peer, Link]] = deque()  # to be begun
        self.links: dict[Link, None] = {}  # all with a socket, in the order in which they came
        self.deliver: Callable[[str, MessageReceived], None] = lambda part, heard: None
        self.up: Callable[[NodeInstance], None] = lambda life: None
        self.down: Callable[[str, str], None] = lambda name, reason: None
        self.closed = False
        self.refused = self.failed = self.lines = 0

    def peer(self, name: str) -> Peer | None:
        """None for nobody of this council, and for ourselves."""
        if name not in self.peers and name in self.addresses and name != self.me.name and not self.closed:
            self.peers[name] = Peer(name, Outbox(self.rules), Retry(self.draw), self.dial)
        return self.peers.get(name)

    # --- making connections ---

    def answer(self) -> Link:
        nonce = secrets.token_bytes(NONCE_BYTES)
        return Link(self, Answering(self.me, self.addresses, self.words.names, self.key, nonce))

    def dial(self, peer: Peer) -> None:
        nonce = secrets.token_bytes(NONCE_BYTES)
        peer.dialling = Link(self, Dialling(self.me, peer.name, self.words.names, self.key, nonce))
        self.dials.append((peer, peer.dialling))
        if len(self.dials) == 1:
            self.loop.call_soon(self.start_dials)

    def start_dials(self) -> None:
        """A few, and the others after what else the loop has to do: words to all may want 200 at once."""
        for peer, link in [self.dials.popleft() for _ in range(min(len(self.dials), DIALS_AT_ONCE))]:
            if link.phase is not Phase.OVER:
                peer.task = self.loop.create_task(self.connect(peer.name, link))
        if self.dials:
            self.loop.call_soon(self.start_dials)

    async def connect(self, name: str, link: Link) -> None:
        try:
            async with asyncio.timeout(self.settings.hello_s):
                host, port = self.addresses[name]
                await self.loop.create_connection(lambda: link, host, port)
        except TimeoutError:
            link.lose("no answer")
        except OSError as error:
            link.lose(error.strerror or str(error))
        except Exception as error:  # an address that makes no sense
            link.lose(f"cannot dial: {error!r}")

    # --- whom to take ---

    def arrived(self, link: Link) -> bool:
        if self.closed or not (link.dialled or self.places.acquire(link.source)):
            return False
        self.links[link] = None
        return True

    def free_place(self, link: Link) -> None:
        """It takes no place of the unproven any more."""
        if link.source:
            self.places.release(link.source)
            link.source = ""

    def refuses(self, life: NodeInstance) -> str:
        peer = self.peer(life.name)
        if peer is None:
            return "closed"
        if peer.link and life.number < peer.link.life.number:
            return f"a newer life of {life.name} is connected"
        if not peer.link and peer.dialling and peer.dialling.said_hello and self.me.name < life.name:
            return "crossed: the dial of the smaller name stays"
        return ""

    def accepted(self) -> list[Link]:
        return [peer.link for peer in self.peers.values() if peer.link and not peer.link.dialled]

    def make_room(self) -> None:
        """The one that was not used for longest gives way; who has something to say to it dials again."""
        accepted = self.accepted()
        if len(accepted) >= self.settings.most_accepted:
            min(accepted, key=lambda link: (-link.pulse.idle, link.heard_us)).leave("room for another")

    # --- what becomes of them ---

    def opened(self, link: Link) -> None:
        self.free_place(link)
        life = link.life
        peer = self.peer(life.name)
        if peer is None:
            link.lose("closed", fault=False)
            return
        if not (link.dialled or peer.link):
            self.make_room()
        if old := peer.opened(link):
            old.lose(REPLACED, fault=False)
            self.tell(self.down, life.name, REPLACED)
        log.info("link to %s is up", life.name)
        self.tell(self.up, life)
        self.ready(link)

    def ready(self, link: Link) -> None:
        self.turns.ready(link)

    def heard(self, link: Link, part: str, message: Any) -> None:  # noqa: ANN401
        try:
            self.deliver(part, MessageReceived(link.life, message))
        except Exception:
            self.failed += 1
            log.exception("a message of %s from %s failed", part, link.life.name)

    def next_for(self, link: Link) -> Item | None:
        peer = self.peers.get(link.life.name)
        return peer.outbox.pop(link.life.number) if peer and peer.link is link else None

    def ended(self, link: Link, was: Phase, reason: str, fault: bool) -> None:
        self.free_place(link)
        name = link.name
        if was is Phase.HELLO and fault:
            self.refused += not link.dialled
            self.line("no link %s: %s", f"to {name}" if name else "for one that dialled", reason)
        peer = self.peers.get(name)
        if peer and peer.ended(link, reason, fault):
            tell = self.line if fault else log.info
            tell("link to %s is down: %s", name, reason)
            self.tell(self.down, name, reason)
        if peer and not self.closed:
            peer.want()

    def gone(self, link: Link) -> None:
        self.links.pop(link, None)

    def tell(self, event: Callable[..., None], *what: object) -> None:
        try:
            event(*what)
        except Exception:
            log.exception("what a link's owner was told failed")

    def line(self, text: str, *what: object) -> None:
        """One of few lines a beat: who is refused a thousand times does not fill the log."""
        self.lines += 1
        if self.lines <= MOST_LINES:
            log.warning(text, *what)

    def beat(self) -> None:
        self.lines = 0
        self.beat_some(list(self.links))

    def beat_some(self, links: list[Link]) -> None:
        """A few of them, and the others after what else the loop has to do."""
        for link in links[:BEATS_AT_ONCE]:
            link.beat()
        if len(links) > BEATS_AT_ONCE:
            self.loop.call_soon(self.beat_some, links[BEATS_AT_ONCE:])
