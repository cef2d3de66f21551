"""Transport nodes on loopback that record received messages, and a scripted peer."""

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
MANUAL_HEARTBEATS = TransportSettings(heartbeat_interval_s=3600)  # tests send heartbeats explicitly


class NumberedMessage(WireStruct, frozen=True, tag_field="kind", tag="word"):
    number: int
    text: str = ""


class LatestOnlyMessage(WireStruct, frozen=True, tag_field="kind", tag="state"):
    number: int


class UnknownMessage(WireStruct, frozen=True, tag_field="kind", tag="other"):
    number: int


MESSAGE_TYPES = {"log": NumberedMessage | LatestOnlyMessage, "hint": NumberedMessage}
QUEUE_LIMITS = {
    "hint": QueueLimits(100, 1 << 16),
    "log": QueueLimits(latest_only=frozenset({LatestOnlyMessage})),
}


class TransportNode:
    """The transport of one proxy; nodes share `addresses`, and each adds its own when it starts."""

    def __init__(
        self,
        name: str,
        addresses: dict[str, Address],
        number: int = 1,
        key: bytes = KEY,
        message_types: dict[str, Any] = MESSAGE_TYPES,
        settings: TransportSettings = MANUAL_HEARTBEATS,
    ) -> None:
        self.name, self.addresses = name, addresses
        self.received: list[Any] = []  # messages
        self.senders: list[NodeInstance] = []
        self.events: list[str] = []
        self.changed = asyncio.Event()  # a message or an event was recorded
        self.failing_numbers: set[int] = set()  # numbers of messages on which the handler raises
        self.transport = TransportService(
            NodeInstance(name, number),
            addresses,
            key,
            message_types,
            self.deliver,
            lambda: 0.999,
            on_peer_connected=self.on_peer_connected,
            on_peer_disconnected=self.on_peer_disconnected,
            queue_limits=QUEUE_LIMITS,
            settings=settings,
        )

    async def start(self, *, register_address: bool = True) -> Address:
        address = await self.transport.start((HOST, 0))
        if register_address:
            self.addresses[self.name] = address
        return address

    def deliver(self, protocol: str, received: MessageReceived) -> None:
        self.received.append(received.message)
        self.senders.append(received.sender)
        self.changed.set()
        if getattr(received.message, "number", None) in self.failing_numbers:
            raise RuntimeError("raised by the test")

    def on_peer_connected(self, instance: NodeInstance) -> None:
        self.events.append(f"up {instance.name} {instance.number}")
        self.changed.set()

    def on_peer_disconnected(self, name: str, reason: str) -> None:
        self.events.append(f"down {name}: {reason}")
        self.changed.set()

    def send(
        self,
        recipient: str,
        number: int,
        text: str = "",
        protocol: str = "log",
        instance_number: int | None = None,
    ) -> None:
        self.transport.send(protocol, SendMessage(recipient, NumberedMessage(number, text), instance_number))

    @property
    def received_numbers(self) -> list[int]:
        return [message.number for message in self.received]

    async def wait_until(self, condition: Callable[[], object]) -> None:
        """Wait for a condition that depends on received messages or connection events."""
        while not condition():
            self.changed.clear()
            await self.changed.wait()

    async def wait_until_received(self, *numbers: int) -> None:
        await self.wait_until(lambda: set(numbers) <= set(self.received_numbers))

    def disconnected_count(self) -> int:
        return sum(event.startswith("down") for event in self.events)

    def connected_count(self) -> int:
        return sum(event.startswith("up") for event in self.events)


async def start_nodes(*names: str, **options: Any) -> list[TransportNode]:  # noqa: ANN401
    addresses: dict[str, Address] = {}
    nodes = [TransportNode(name, addresses, **options) for name in names]
    for node in nodes:
        await node.start()
    return nodes


async def poll_until(condition: Callable[[], object]) -> None:
    """Run the event loop until a condition holds that no callback reports."""
    while not condition():
        await asyncio.sleep(0)


class RawPeer:
    """A scripted peer that sends arbitrary bytes."""

    def __init__(self, instance: NodeInstance, recipient: str, key: bytes = KEY) -> None:
        self.instance, self.key = instance, key
        self.codec = MessageCodec(MESSAGE_TYPES)
        self.handshake = DiallerHandshake(
            instance, recipient, self.codec.protocols, key, secrets.token_bytes(NONCE_BYTES)
        )
        self.splitter = FrameSplitter(MAX_HANDSHAKE_BYTES, 0)

    async def connect(self, address: Address) -> "RawPeer":
        self.reader, self.writer = await asyncio.open_connection(*address)
        return self

    async def read_frame(self) -> bytes:
        """The next frame; b"" at the end of the stream."""
        while (frame := self.splitter.next_frame()) is None:
            try:
                data = await self.reader.read(1 << 16)
            except ConnectionError:
                return b""
            if not data:
                return b""
            self.splitter.feed(data)
        return frame

    async def hello_frame(self) -> bytes:
        """Read the greeting; the frame of the hello that replies to it."""
        hello = self.handshake.receive_greeting(await self.read_frame())
        return length_prefix(hello) + hello

    async def dial(self, address: Address) -> "RawPeer":
        """Connect and complete the handshake; HandshakeError if it is rejected."""
        await self.connect(address)
        self.writer.write(await self.hello_frame())
        session = self.handshake.receive_reply(await self.read_frame())
        self.sealer = FrameSealer(self.key, session.id, FROM_DIALLER)
        self.opener = FrameOpener(self.key, session.id, FROM_LISTENER)
        self.splitter.max_body_bytes, self.splitter.tag_bytes = MAX_BODY_BYTES, TAG_BYTES
        return self

    def seal(self, number: int, text: str = "", protocol: str = "log") -> bytes:
        """The frame of a message."""
        return self.sealer.seal(self.codec.encode(protocol, NumberedMessage(number, text)))

    async def read_message(self) -> Any:  # noqa: ANN401
        return self.codec.decode(self.opener.open(await self.read_frame()))[1]

    def abort(self) -> None:
        self.writer.transport.abort()
