"""Who listens to this front door: a table of at most twice the fan, and where one that finds no room is sent.

A child by rank always finds room, as there are at most `fan` of them: another one gives way. So no number of
strangers, and no invented names, can keep out those who belong here.
"""

from dataclasses import dataclass

from molereach.coordination.dissemination.messages import UpstreamReport
from molereach.coordination.dissemination.settings import DisseminationSettings
from molereach.coordination.interface.identifiers import MAX_MEMBERS, NodeInstance


@dataclass(slots=True)
class Child:
    instance_number: int
    applied_position: int  # as it said
    subtree_size: int
    last_report_us: int
    has_reported: bool = True  # since the last pulse


class Children:
    """Those who said that they listen here, by name."""

    def __init__(self, settings: DisseminationSettings) -> None:
        self.settings = settings
        self.table: dict[str, Child] = {}

    def __contains__(self, name: str) -> bool:
        return name in self.table

    @property
    def subtree_size(self) -> int:
        """Front doors below, this one counted."""
        return min(MAX_MEMBERS, 1 + sum(child.subtree_size for child in self.table.values()))

    def update(self, now_us: int, sender: NodeInstance, up: UpstreamReport) -> bool:
        """Note a word of one that is in the table; False for one that is not, or for a new life of it."""
        child = self.table.get(sender.name)
        if child is None or child.instance_number != sender.number:
            return False
        child.applied_position = max(
            child.applied_position, up.applied_position
        )  # words may overtake; in one life it never goes back
        child.subtree_size, child.last_report_us, child.has_reported = up.subtree_size, now_us, True
        return True

    def has_newer_instance(self, sender: NodeInstance) -> bool:
        """Whether a later life of the same name listens here already."""
        child = self.table.get(sender.name)
        return child is not None and child.instance_number > sender.number

    def admit(
        self, now_us: int, sender: NodeInstance, up: UpstreamReport, ranked: frozenset[str]
    ) -> tuple[bool, str | None]:
        """Whether it is taken, and who had to give way."""
        gone = None
        if sender.name not in self.table and len(self.table) >= self.settings.max_children:
            strangers = [name for name in self.table if name not in ranked]
            if sender.name not in ranked or not strangers:
                return False, None
            gone = min(strangers, key=lambda name: self.table[name].last_report_us)
            del self.table[gone]
        self.table[sender.name] = Child(sender.number, up.applied_position, up.subtree_size, now_us)
        return True, gone

    def has_capacity_for(self, name: str, ranked: frozenset[str]) -> bool:
        return name in self.table or name in ranked or len(self.table) < self.settings.max_children

    def smallest_child(self, besides: str) -> str | None:
        """The child with the fewest below, for one that finds no room; counted with it from now on."""
        names = [name for name in self.table if name != besides]
        if not names:
            return None
        name = min(names, key=lambda name: self.table[name].subtree_size)
        self.table[name].subtree_size = min(MAX_MEMBERS, self.table[name].subtree_size + 1)
        return name

    def start_interval(self, now_us: int) -> None:
        """A beat begins: forget the silent, and wait for the others."""
        oldest = now_us - self.settings.child_timeout_intervals * self.settings.heartbeat_interval_us
        self.table = {name: child for name, child in self.table.items() if child.last_report_us >= oldest}
        for child in self.table.values():
            child.has_reported = False

    @property
    def all_reported(self) -> bool:
        return all(child.has_reported for child in self.table.values())

    def remove_older_instance(self, name: str, before_life: int) -> None:
        """An earlier life than this one hears nothing any more."""
        child = self.table.get(name)
        if child is not None and child.instance_number < before_life:
            del self.table[name]
