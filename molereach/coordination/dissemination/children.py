"""Who listens to this front door: a table of at most twice the fan, and where one that finds no room is sent.

A child by rank always finds room, as there are at most `fan` of them: another one gives way. So no number of
strangers, and no invented names, can keep out those who belong here.
"""

from dataclasses import dataclass

from molereach.coordination.dissemination.settings import Settings
from molereach.coordination.dissemination.words import Up
from molereach.coordination.interface.identifiers import MAX_MEMBERS, NodeInstance


@dataclass(slots=True)
class Child:
    life: int
    applied: int  # as it said
    below: int
    heard_us: int
    spoke: bool = True  # since the last pulse


class Children:
    """Those who said that they listen here, by name."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.table: dict[str, Child] = {}

    def __contains__(self, name: str) -> bool:
        return name in self.table

    @property
    def below(self) -> int:
        """Front doors below, this one counted."""
        return min(MAX_MEMBERS, 1 + sum(child.below for child in self.table.values()))

    def heard(self, now: int, sender: NodeInstance, up: Up) -> bool:
        """Note a word of one that is in the table; False for one that is not, or for a new life of it."""
        child = self.table.get(sender.name)
        if child is None or child.life != sender.number:
            return False
        child.applied = max(child.applied, up.applied)  # words may overtake; in one life it never goes back
        child.below, child.heard_us, child.spoke = up.below, now, True
        return True

    def older(self, sender: NodeInstance) -> bool:
        """Whether a later life of the same name listens here already."""
        child = self.table.get(sender.name)
        return child is not None and child.life > sender.number

    def take(self, now: int, sender: NodeInstance, up: Up, ranked: frozenset[str]) -> tuple[bool, str | None]:
        """Whether it is taken, and who had to give way."""
        gone = None
        if sender.name not in self.table and len(self.table) >= self.settings.most_children:
            strangers = [name for name in self.table if name not in ranked]
            if sender.name not in ranked or not strangers:
                return False, None
            gone = min(strangers, key=lambda name: self.table[name].heard_us)
            del self.table[gone]
        self.table[sender.name] = Child(sender.number, up.applied, up.below, now)
        return True, gone

    def room_for(self, name: str, ranked: frozenset[str]) -> bool:
        return name in self.table or name in ranked or len(self.table) < self.settings.most_children

    def lightest(self, besides: str) -> str | None:
        """The child with the fewest below, for one that finds no room; counted with it from now on."""
        names = [name for name in self.table if name != besides]
        if not names:
            return None
        name = min(names, key=lambda name: self.table[name].below)
        self.table[name].below = min(MAX_MEMBERS, self.table[name].below + 1)
        return name

    def pulse(self, now: int) -> None:
        """A beat begins: forget the silent, and wait for the others."""
        oldest = now - self.settings.silent_beats * self.settings.beat_us
        self.table = {name: child for name, child in self.table.items() if child.heard_us >= oldest}
        for child in self.table.values():
            child.spoke = False

    @property
    def all_spoke(self) -> bool:
        return all(child.spoke for child in self.table.values())

    def drop(self, name: str, before_life: int) -> None:
        """An earlier life than this one hears nothing any more."""
        child = self.table.get(name)
        if child is not None and child.life < before_life:
            del self.table[name]
