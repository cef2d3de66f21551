"""Nodes on loopback that run only the transport, and what they received."""

import asyncio
import secrets
from collections.abc import Callable
from typing import Any

from molereach.coordination.interface.core import MessageReceived, SendMessage
from molereach.coordination.interface.identifiers import NodeInstance, WireStruct
from molereach.coordination.transport.frames import (
    FROM_DIALLER,
    FROM_LISTENER,
    MAX_BODY_BYTES,
    TAG_BYTES,
    FrameOpener,
    FrameSealer,
    FrameSplitter,
    length_prefix,
)
from molereach.coordination.transport.handshake import MAX_HANDSHAKE_BYTES, NONCE_BYTES, DiallerHandshake
from molereach.coordination.transport.messages import MessageCodec
from molereach.coordination.transport.send_queue import QueueLimits
from molereach.coordination.transport.service import TransportService
from molereach.coordination.transport.settings import Address, TransportSettings

KEY = b"k" * 32
HOST = "127.0.0.1"
MANUAL_HEARTBEATS = TransportSettings(heartbeat_interval_s=3600)  # the tests send the heartbeats


class Word(WireStruct, frozen=True, tag_field="kind", tag="word"):
    number: int
    text: str = ""


class State(WireStruct, frozen=True, tag_field="kind", tag="state"):
    number: int


class Other(WireStruct, frozen=True, tag_field="kind", tag="other"):
    number: int


MESSAGE_TYPES = {"log": Word | State, "hint": Word}
QUEUE_LIMITS = {"hint": QueueLimits(100, 1 << 16), "log": QueueLimits(latest_only=frozenset({State}))}


class TransportNode:
    """One proxy's transport; `addresses` is shared, and each node adds its own when it starts."""

    def __init__(
        self,
        name: str,
        addresses: dict[str, Address],
        number: int = 1,
        key: bytes = KEY,
        parts: dict[str, Any] = MESSAGE_TYPES,
        settings: TransportSettings = MANUAL_HEARTBEATS,
    ) -> None:
        self.name, self.addresses = name, addresses
        self.received: list[Any] = []  # messages
        self.senders: list[NodeInstance] = []
        self.events: list[str] = []
        self.changed = asyncio.Event()
        self.fail: set[int] = set()  # numbers of messages whose handler raises
        self.transport = TransportService(
            NodeInstance(name, number),
            addresses,
            key,
            parts,
            self.deliver,
            lambda: 0.999,
            on_peer_connected=self.on_up,
            on_peer_disconnected=self.on_down,
            queue_limits=QUEUE_LIMITS,
            settings=settings,
        )

    async def start(self, *, listed: bool = True) -> Address:
        address = await self.transport.start((HOST, 0))
        if listed:
            self.addresses[self.name] = address
        return address

    def deliver(self, part: str, received: MessageReceived) -> None:
        self.received.append(received.message)
        self.senders.append(received.sender)
        self.changed.set()
        if getattr(received.message, "number", None) in self.fail:
            raise RuntimeError("as the test wants")

    def on_up(self, life: NodeInstance) -> None:
        self.events.append(f"up {life.name} {life.number}")
        self.changed.set()

    def on_down(self, name: str, reason: str) -> None:
        self.events.append(f"down {name}: {reason}")
        self.changed.set()

    def say(self, to: str, number: int, text: str = "", part: str = "log", life: int | None = None) -> None:
        self.transport.send(part, SendMessage(to, Word(number, text), life))

    @property
    def numbers(self) -> list[int]:
        return [message.number for message in self.received]

    async def until(self, true: Callable[[], object]) -> None:
        """Wait until something that was heard or told makes it so."""
        while not true():
            self.changed.clear()
            await self.changed.wait()

    async def until_received(self, *numbers: int) -> None:
        await self.until(lambda: set(numbers) <= set(self.numbers))

    def downs(self) -> int:
        return sum(event.startswith("down") for event in self.events)

    def ups(self) -> int:
        return sum(event.startswith("up") for event in self.events)


async def start_nodes(*names: str, **more: Any) -> list[TransportNode]:  # noqa: ANN401
    addresses: dict[str, Address] = {}
    found = [TransportNode(name, addresses, **more) for name in names]
    for door in found:
        await door.start()
    return found


async def spin(true: Callable[[], object]) -> None:
    """Let the loop go on until it is so; for what nobody is told of."""
    while not true():
        await asyncio.sleep(0)


class RawPeer:
    """A peer that does as the test says, byte by byte."""

    def __init__(self, me: NodeInstance, to: str, key: bytes = KEY) -> None:
        self.me, self.key = me, key
        self.words = MessageCodec(MESSAGE_TYPES)
        self.handshake = DiallerHandshake(me, to, self.words.protocols, key, secrets.token_bytes(NONCE_BYTES))
        self.cutter = FrameSplitter(MAX_HANDSHAKE_BYTES, 0)

    async def connect(self, address: Address) -> "RawPeer":
        self.reader, self.writer = await asyncio.open_connection(*address)
        return self

    async def frame(self) -> bytes:
        """The next; b"" at the end."""
        while (frame := self.cutter.next_frame()) is None:
            try:
                data = await self.reader.read(1 << 16)
            except ConnectionError:
                return b""
            if not data:
                return b""
            self.cutter.feed(data)
        return frame

    async def hello(self) -> bytes:
        """What to say to the greeting, as a frame."""
        hello = self.handshake.receive_greeting(await self.frame())
        return length_prefix(hello) + hello

    async def dial(self, address: Address) -> "RawPeer":
        """A whole handshake; HelloError where it is refused."""
        await self.connect(address)
        self.writer.write(await self.hello())
        session = self.handshake.receive_reply(await self.frame())
        self.sealer = FrameSealer(self.key, session.id, FROM_DIALLER)
        self.opener = FrameOpener(self.key, session.id, FROM_LISTENER)
        self.cutter.max_body_bytes, self.cutter.tag_bytes = MAX_BODY_BYTES, TAG_BYTES
        return self

    def sealed(self, number: int, text: str = "", part: str = "log") -> bytes:
        return self.sealer.seal(self.words.encode(part, Word(number, text)))

    async def read(self) -> Any:  # noqa: ANN401
        return self.words.decode(self.opener.open(await self.frame()))[1]

    def drop(self) -> None:
        self.writer.transport.abort()
