"""Discovery's endpoint list, and the view of it that each discovery agent has."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from rig.facts import Listed


@dataclass(frozen=True, slots=True)
class Entry:
    """An entry of the endpoint list; the address is not part of it, as each front door has its own."""

    name: str
    zone: str
    state: Listed
    started_ms: int
    version: int


@dataclass(slots=True)
class Registry:
    """The authoritative list. Each change increments its version."""

    version: int = 1
    entries: dict[str, Entry] = field(default_factory=dict)

    def put(self, name: str, zone: str, state: Listed, started_ms: int) -> Entry:
        """Add or replace the entry of a server."""
        self.version += 1
        entry = Entry(name, zone, state, started_ms, self.version)
        self.entries[name] = entry
        return entry


@dataclass(slots=True)
class View:
    """The entries that one discovery agent has received."""

    version: int = 0
    entries: dict[str, Entry] = field(default_factory=dict)

    def update(self, entries: Iterable[Entry]) -> None:
        """Store received entries; an older version never replaces a newer one."""
        for entry in entries:
            if entry.version >= self.entries[entry.name].version if entry.name in self.entries else True:
                self.entries[entry.name] = entry
            self.version = max(self.version, entry.version)

    def current(self) -> list[Entry]:
        """The current list without deleted servers."""
        return [entry for entry in self.entries.values() if entry.state is not Listed.DELETED]

    def changes_since(self, version: int) -> list[Entry]:
        """The entries that changed after a version, deleted ones too, in order."""
        return sorted(
            (entry for entry in self.entries.values() if entry.version > version),
            key=lambda entry: entry.version,
        )
