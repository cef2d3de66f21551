"""What waits to be said to one peer: bounded, and what goes first when it is too much. A core.

In the order in which it was said, over all parts. A part has its own bounds and a peer has one for all; past
either the oldest of a part that may lose some goes, of the same part first, and where there is none the new
one is not taken. A message that makes older ones of its kind void takes their place, at the end.
"""

from collections import OrderedDict
from collections.abc import Mapping
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class QueueCapacity:
    """For one peer's messages of all parts."""

    max_messages: int
    max_bytes: int  # bytes


FULL_CAPACITY = QueueCapacity(
    1024, 4 << 20
)  # it reads, or its link is cut; or it is dialled for the first time
FAILED_PEER_CAPACITY = QueueCapacity(128, 256 << 10)  # after a failure: of many dead peers each holds little


@dataclass(frozen=True, slots=True)
class QueueLimits:
    """How a part's messages wait. Of `latest`, the last one of a kind alone is worth saying."""

    max_messages: int = 256
    max_bytes: int = 2 << 20
    droppable: bool = True
    latest_only: frozenset[type] = frozenset()


@dataclass(frozen=True, slots=True)
class QueuedMessage:
    """A packed message; with `life` for that run alone."""

    protocol: str
    message_type: type
    body: bytes
    instance_number: int | None = None


class _ProtocolQueue:
    """What waits of one part, by number in the order in which it was said."""

    __slots__ = ("latest_numbers", "limits", "messages", "size")

    def __init__(self, rule: QueueLimits) -> None:
        self.limits, self.size = rule, 0
        self.messages: OrderedDict[int, QueuedMessage] = OrderedDict()
        self.latest_numbers: dict[tuple[type, int | None], int] = {}  # of the kinds in `rule.latest`

    def is_over_limit(self) -> bool:
        return len(self.messages) > self.limits.max_messages or self.size > self.limits.max_bytes

    def add(self, number: int, item: QueuedMessage) -> int:
        """How many it made void: 0 or 1."""
        void = 0
        if item.message_type in self.limits.latest_only:
            key = item.message_type, item.instance_number
            void = int(key in self.latest_numbers)
            if void:
                self.remove(self.latest_numbers[key])
            self.latest_numbers[key] = number
        self.messages[number] = item
        self.size += len(item.body)
        return void

    def remove(self, number: int) -> QueuedMessage:
        item = self.messages.pop(number)
        self.size -= len(item.body)
        key = item.message_type, item.instance_number
        if self.latest_numbers.get(key) == number:
            del self.latest_numbers[key]
        return item

    def first_number(self) -> int:
        return next(iter(self.messages))


class SendQueue:
    """One peer's."""

    def __init__(self, rules: Mapping[str, QueueLimits], room: QueueCapacity = FULL_CAPACITY) -> None:
        self.protocol_queues = {name: _ProtocolQueue(rule) for name, rule in rules.items()}
        self.capacity = room
        self.last_number = 0  # numbers messages
        self.dropped = self.superseded = 0  # for want of room or of its life; by a later one of their kind

    def __len__(self) -> int:
        return sum(len(part.messages) for part in self.protocol_queues.values())

    @property
    def size(self) -> int:
        """Bytes of bodies."""
        return sum(part.size for part in self.protocol_queues.values())

    def is_over_capacity(self) -> bool:
        return len(self) > self.capacity.max_messages or self.size > self.capacity.max_bytes

    def oldest_droppable(self) -> "_ProtocolQueue | None":
        """The one with the oldest message of those that may be lost."""
        return self.oldest([part for part in self.protocol_queues.values() if part.limits.droppable])

    def set_capacity(self, room: QueueCapacity) -> None:
        """Take another room; what may be lost gives way, and the rest is bounded by its part."""
        self.capacity = room
        while self.is_over_capacity() and (loser := self.oldest_droppable()):
            loser.remove(loser.first_number())
            self.dropped += 1

    def put(self, item: QueuedMessage) -> bool:
        """Whether it waits now; others may have gone for it. KeyError for a part without a rule."""
        part = self.protocol_queues[item.protocol]
        self.last_number += 1
        self.superseded += part.add(self.last_number, item)
        while part.is_over_limit() or self.is_over_capacity():
            loser = part if part.limits.droppable else None
            if loser is None and not part.is_over_limit():  # the room of all is short, not its own
                loser = self.oldest_droppable()
            if loser is None:
                part.remove(self.last_number)
                self.dropped += 1
                return False
            gone = loser.first_number()
            loser.remove(gone)
            self.dropped += 1
            if gone == self.last_number:  # larger than all the room there is
                return False
        return True

    @staticmethod
    def oldest(parts: "list[_ProtocolQueue]") -> "_ProtocolQueue | None":
        return min((part for part in parts if part.messages), key=_ProtocolQueue.first_number, default=None)

    def pop(self, life: int) -> QueuedMessage | None:
        """The next to say to this run of the peer; what was for another one is dropped."""
        while part := self.oldest(list(self.protocol_queues.values())):
            item = part.remove(part.first_number())
            if item.instance_number is None or item.instance_number == life:
                return item
            self.dropped += 1
        return None

    def clear(self) -> None:
        self.dropped += len(self)
        for part in self.protocol_queues.values():
            part.messages.clear()
            part.latest_numbers.clear()
            part.size = 0
