"""The bounded queue of messages that wait to be sent to one peer. Sans-I/O.

Messages leave in the order of their sending, over all protocols. Each protocol has limits, and the peer has a
capacity for all. Beyond either, the oldest message of a droppable protocol is dropped, of the same protocol
first; if there is none, the new message is not queued. A message that supersedes an older one of its type
replaces it, at the end of the queue.
"""

from collections import OrderedDict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import NamedTuple


@dataclass(frozen=True, slots=True)
class QueueCapacity:
    """The limits of one peer's messages of all protocols."""

    max_messages: int
    max_bytes: int


# A peer that does not read is disconnected, so this much waits only briefly, or before the first dial ends.
FULL_CAPACITY = QueueCapacity(max_messages=1024, max_bytes=4 << 20)
# After a failure: many unreachable peers must not hold much memory.
FAILED_PEER_CAPACITY = QueueCapacity(max_messages=128, max_bytes=256 << 10)


@dataclass(frozen=True, slots=True)
class QueueLimits:
    """The limits of one protocol. Of the types in `latest_only` only the newest message is kept."""

    max_messages: int = 256
    max_bytes: int = 2 << 20
    droppable: bool = True
    latest_only: frozenset[type] = frozenset()


@dataclass(frozen=True, slots=True)
class QueuedMessage:
    """An encoded message; with `instance_number` for that instance of the peer only."""

    protocol: str
    message_type: type
    body: bytes
    instance_number: int | None = None


class _MessageKind(NamedTuple):
    """Messages of one kind supersede each other."""

    message_type: type
    instance_number: int | None


class _ProtocolQueue:
    """The waiting messages of one protocol, by their sequence number."""

    __slots__ = ("latest_numbers", "limits", "messages", "size")

    def __init__(self, limits: QueueLimits) -> None:
        self.limits = limits
        self.size = 0
        self.messages: OrderedDict[int, QueuedMessage] = OrderedDict()
        self.latest_numbers: dict[_MessageKind, int] = {}  # of the types in `limits.latest_only`

    def is_over_limit(self) -> bool:
        return len(self.messages) > self.limits.max_messages or self.size > self.limits.max_bytes

    def add(self, number: int, message: QueuedMessage) -> int:
        """Append a message; the number of messages that it supersedes, 0 or 1."""
        superseded = 0
        if message.message_type in self.limits.latest_only:
            kind = _MessageKind(message.message_type, message.instance_number)
            if kind in self.latest_numbers:
                superseded = 1
                self.remove(self.latest_numbers[kind])
            self.latest_numbers[kind] = number
        self.messages[number] = message
        self.size += len(message.body)
        return superseded

    def remove(self, number: int) -> QueuedMessage:
        message = self.messages.pop(number)
        self.size -= len(message.body)
        kind = _MessageKind(message.message_type, message.instance_number)
        if self.latest_numbers.get(kind) == number:
            del self.latest_numbers[kind]
        return message

    def first_number(self) -> int:
        return next(iter(self.messages))

    def clear(self) -> None:
        self.messages.clear()
        self.latest_numbers.clear()
        self.size = 0


def _with_oldest_message(queues: Iterable[_ProtocolQueue]) -> _ProtocolQueue | None:
    nonempty_queues = (queue for queue in queues if queue.messages)
    return min(nonempty_queues, key=_ProtocolQueue.first_number, default=None)


class SendQueue:
    """The queue of one peer; `limits` has an entry for each protocol."""

    def __init__(self, limits: Mapping[str, QueueLimits], capacity: QueueCapacity = FULL_CAPACITY) -> None:
        self.protocol_queues = {name: _ProtocolQueue(limit) for name, limit in limits.items()}
        self.capacity = capacity
        self.last_number = 0
        self.dropped = 0  # for lack of capacity, or addressed to another instance
        self.superseded = 0

    def __len__(self) -> int:
        return sum(len(queue.messages) for queue in self.protocol_queues.values())

    @property
    def size(self) -> int:
        """The bytes of all bodies."""
        return sum(queue.size for queue in self.protocol_queues.values())

    def is_over_capacity(self) -> bool:
        """Whether the messages of all protocols exceed the capacity."""
        return len(self) > self.capacity.max_messages or self.size > self.capacity.max_bytes

    def set_capacity(self, capacity: QueueCapacity) -> None:
        """Change the capacity and drop what exceeds it; other protocols keep to their own limits."""
        self.capacity = capacity
        while self.is_over_capacity() and (queue := self._oldest_droppable()):
            self._drop_first(queue)

    def put(self, message: QueuedMessage) -> bool:
        """Queue a message, dropping others if needed; False if it was dropped itself.

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
        """Remove the next message for this instance of the peer; those for other instances are dropped."""
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
        if queue.is_over_limit():  # it may not drop from others to exceed its own limits
            return None
        return self._oldest_droppable()

    def _drop_first(self, queue: _ProtocolQueue) -> int:
        number = queue.first_number()
        queue.remove(number)
        self.dropped += 1
        return number
