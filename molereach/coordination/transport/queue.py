"""What waits to be said to one peer: bounded, and what goes first when it is too much. A core.

In the order in which it was said, over all parts. A part has its own bounds and a peer has one for all; past
either the oldest of a part that may lose some goes, of the same part first, and where there is none the new
one is not taken. A message that makes older ones of its kind void takes their place, at the end.
"""

from collections import OrderedDict
from collections.abc import Mapping
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Room:
    """For one peer's messages of all parts."""

    messages: int
    size: int  # bytes


FULL_ROOM = Room(1024, 4 << 20)  # it reads, or its link is cut; or it is dialled for the first time
DOWN_ROOM = Room(128, 256 << 10)  # after a failure: of many dead peers each holds little


@dataclass(frozen=True, slots=True)
class Rule:
    """How a part's messages wait. Of `latest`, the last one of a kind alone is worth saying."""

    most_messages: int = 256
    most_bytes: int = 2 << 20
    losable: bool = True
    latest: frozenset[type] = frozenset()


@dataclass(frozen=True, slots=True)
class Item:
    """A packed message; with `life` for that run alone."""

    part: str
    kind: type
    body: bytes
    life: int | None = None


class _Part:
    """What waits of one part, by number in the order in which it was said."""

    __slots__ = ("items", "newest", "rule", "size")

    def __init__(self, rule: Rule) -> None:
        self.rule, self.size = rule, 0
        self.items: OrderedDict[int, Item] = OrderedDict()
        self.newest: dict[tuple[type, int | None], int] = {}  # of the kinds in `rule.latest`

    def over(self) -> bool:
        return len(self.items) > self.rule.most_messages or self.size > self.rule.most_bytes

    def add(self, number: int, item: Item) -> int:
        """How many it made void: 0 or 1."""
        void = 0
        if item.kind in self.rule.latest:
            key = item.kind, item.life
            void = int(key in self.newest)
            if void:
                self.remove(self.newest[key])
            self.newest[key] = number
        self.items[number] = item
        self.size += len(item.body)
        return void

    def remove(self, number: int) -> Item:
        item = self.items.pop(number)
        self.size -= len(item.body)
        key = item.kind, item.life
        if self.newest.get(key) == number:
            del self.newest[key]
        return item

    def first(self) -> int:
        return next(iter(self.items))


class Outbox:
    """One peer's."""

    def __init__(self, rules: Mapping[str, Rule], room: Room = FULL_ROOM) -> None:
        self.parts = {name: _Part(rule) for name, rule in rules.items()}
        self.room = room
        self.said = 0  # numbers messages
        self.dropped = self.void = 0  # for want of room or of its life; by a later one of their kind

    def __len__(self) -> int:
        return sum(len(part.items) for part in self.parts.values())

    @property
    def size(self) -> int:
        """Bytes of bodies."""
        return sum(part.size for part in self.parts.values())

    def over(self) -> bool:
        return len(self) > self.room.messages or self.size > self.room.size

    def losable(self) -> "_Part | None":
        """The one with the oldest message of those that may be lost."""
        return self.oldest([part for part in self.parts.values() if part.rule.losable])

    def fit(self, room: Room) -> None:
        """Take another room; what may be lost gives way, and the rest is bounded by its part."""
        self.room = room
        while self.over() and (loser := self.losable()):
            loser.remove(loser.first())
            self.dropped += 1

    def put(self, item: Item) -> bool:
        """Whether it waits now; others may have gone for it. KeyError for a part without a rule."""
        part = self.parts[item.part]
        self.said += 1
        self.void += part.add(self.said, item)
        while part.over() or self.over():
            loser = part if part.rule.losable else None
            if loser is None and not part.over():  # the room of all is short, not its own
                loser = self.losable()
            if loser is None:
                part.remove(self.said)
                self.dropped += 1
                return False
            gone = loser.first()
            loser.remove(gone)
            self.dropped += 1
            if gone == self.said:  # larger than all the room there is
                return False
        return True

    @staticmethod
    def oldest(parts: "list[_Part]") -> "_Part | None":
        return min((part for part in parts if part.items), key=_Part.first, default=None)

    def pop(self, life: int) -> Item | None:
        """The next to say to this run of the peer; what was for another one is dropped."""
        while part := self.oldest(list(self.parts.values())):
            item = part.remove(part.first())
            if item.life is None or item.life == life:
                return item
            self.dropped += 1
        return None

    def clear(self) -> None:
        self.dropped += len(self)
        for part in self.parts.values():
            part.items.clear()
            part.newest.clear()
            part.size = 0
