"""The bounded queue of messages to one peer. Sans-I/O.

Messages of all protocols leave in the order in which they were queued. Each protocol has limits, and the peer
has a total capacity. If a new message exceeds either, the oldest message of its protocol is dropped, provided
that the protocol is droppable. Otherwise a message beyond the limits of its protocol is not queued; one
beyond the capacity displaces the oldest droppable message, and is not queued if there is none. A message that
supersedes an older one of its type replaces it and is queued last.
"""

from collections import OrderedDict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import NamedTuple


@dataclass(frozen=True, slots=True)
class QueueCapacity:
    """The limits of one peer over all protocols."""

    max_messages: int
    max_bytes: int


# Reached only during the first dial, or briefly, until a peer that does not read is disconnected.
FULL_CAPACITY = QueueCapacity(max_messages=1024, max_bytes=4 << 20)
# After a failure: messages for many unreachable peers must not use much memory.
FAILED_PEER_CAPACITY = QueueCapacity(max_messages=128, max_bytes=256 << 10)


@dataclass(frozen=True, slots=True)
class QueueLimits:
    """The limits of one protocol. Only the newest message of each type in `latest_only` is kept."""

    max_messages: int = 256
    max_bytes: int = 2 << 20
    droppable: bool = True
    latest_only: frozenset[type] = frozenset()


@dataclass(frozen=True, slots=True)
class QueuedMessage:
    """An encoded message; `instance_number` restricts it to that instance of the peer."""

    protocol: str
    message_type: type
    body: bytes
    instance_number: int | None = None


class _MessageKind(NamedTuple):
    """The key under which messages of a type in `latest_only` supersede each other."""

    message_type: type
    instance_number: int | None


class _ProtocolQueue:
    """The queued messages of one protocol by sequence number."""

    __slots__ = ("latest_numbers", "limits", "messages", "size_bytes")

    def __init__(self, limits: QueueLimits) -> None:
        self.limits = limits
        self.size_bytes = 0
        self.messages: OrderedDict[int, QueuedMessage] = OrderedDict()
        self.latest_numbers: dict[_MessageKind, int] = {}  # of the types in `limits.latest_only`

    def is_over_limit(self) -> bool:
        return len(self.messages) > self.limits.max_messages or self.size_bytes > self.limits.max_bytes

    def add(self, number: int, message: QueuedMessage) -> int:
        """Append a message; return the number of messages that it supersedes, 0 or 1."""
        superseded = 0
        if message.message_type in self.limits.latest_only:
            kind = _MessageKind(message.message_type, message.instance_number)
            if kind in self.latest_numbers:
                superseded = 1
                self.remove(self.latest_numbers[kind])
            self.latest_numbers[kind] = number
        self.messages[number] = message
        self.size_bytes += len(message.body)
        return superseded

    def remove(self, number: int) -> QueuedMessage:
        message = self.messages.pop(number)
        self.size_bytes -= len(message.body)
        kind = _MessageKind(message.message_type, message.instance_number)
        if self.latest_numbers.get(kind) == number:
            del self.latest_numbers[kind]
        return message

    def first_number(self) -> int:
        return next(iter(self.messages))

    def clear(self) -> None:
        self.messages.clear()
        self.latest_numbers.clear()
        self.size_bytes = 0


def _with_oldest_message(queues: Iterable[_ProtocolQueue]) -> _ProtocolQueue | None:
    nonempty_queues = (queue for queue in queues if queue.messages)
    return min(nonempty_queues, key=_ProtocolQueue.first_number, default=None)


class SendQueue:
    """The queue of one peer; `limits` must have an entry for each protocol."""

    def __init__(self, limits: Mapping[str, QueueLimits], capacity: QueueCapacity = FULL_CAPACITY) -> None:
        self.protocol_queues = {name: _ProtocolQueue(limit) for name, limit in limits.items()}
        self.capacity = capacity
        self.last_number = 0
        self.dropped = 0  # beyond the limits, cleared, or addressed to another instance
        self.superseded = 0

    def __len__(self) -> int:
        return sum(len(queue.messages) for queue in self.protocol_queues.values())

    @property
    def size_bytes(self) -> int:
        """The total size of all bodies."""
        return sum(queue.size_bytes for queue in self.protocol_queues.values())

    def is_over_capacity(self) -> bool:
        """Whether the messages of all protocols together exceed the capacity."""
        return len(self) > self.capacity.max_messages or self.size_bytes > self.capacity.max_bytes

    def set_capacity(self, capacity: QueueCapacity) -> None:
        """Set the capacity and drop the oldest droppable messages beyond it; others are kept."""
        self.capacity = capacity
        while self.is_over_capacity() and (queue := self._oldest_droppable()):
            self._drop_first(queue)

    def put(self, message: QueuedMessage) -> bool:
        """Queue a message, dropping others if needed; False if the message itself was dropped.

        KeyError for a protocol without limits.
        """
        queue = self.protocol_queues[message.protocol]
        self.last_number += 1
        self.superseded += queue.add(self.last_number, message)
        while queue.is_over_limit() or self.is_over_capacity():
            dropping_queue = self._queue_to_drop_from(queue)
            if dropping_queue is None:
                queue.remove(self.last_number)
                self.dropped += 1
                return False
            if self._drop_first(dropping_queue) == self.last_number:  # larger than the whole capacity
                return False
        return True

    def pop(self, instance_number: int) -> QueuedMessage | None:
        """Remove and return the next message for this instance; messages for other instances are dropped."""
        while queue := _with_oldest_message(self.protocol_queues.values()):
            message = queue.remove(queue.first_number())
            if message.instance_number is None or message.instance_number == instance_number:
                return message
            self.dropped += 1
        return None

    def clear(self) -> None:
        """Drop all messages."""
        self.dropped += len(self)
        for queue in self.protocol_queues.values():
            queue.clear()

    def _oldest_droppable(self) -> _ProtocolQueue | None:
        return _with_oldest_message(
            queue for queue in self.protocol_queues.values() if queue.limits.droppable
        )

    def _queue_to_drop_from(self, queue: _ProtocolQueue) -> _ProtocolQueue | None:
        if queue.limits.droppable:
            return queue
        if queue.is_over_limit():  # other protocols' messages are dropped only for lack of capacity
            return None
        return self._oldest_droppable()

    def _drop_first(self, queue: _ProtocolQueue) -> int:
        number = queue.first_number()
        queue.remove(number)
        self.dropped += 1
        return number
