"""Discovery's list and who has been told what of it: a core."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from rig.facts import Listed


@dataclass(frozen=True, slots=True)
class Entry:
    """A server as discovery lists it; its address differs from one front door to the next."""

    name: str
    zone: str
    state: Listed
    started_ms: int
    version: int


@dataclass(slots=True)
class Registry:
    """The true list. Every change is a version of its own."""

    version: int = 1
    entries: dict[str, Entry] = field(default_factory=dict)

    def put(self, name: str, zone: str, state: Listed, started_ms: int) -> Entry:
        self.version += 1
        entry = Entry(name, zone, state, started_ms, self.version)
        self.entries[name] = entry
        return entry


@dataclass(slots=True)
class View:
    """What one front door's agent of discovery has been sent."""

    version: int = 0
    entries: dict[str, Entry] = field(default_factory=dict)

    def learn(self, entries: Iterable[Entry]) -> None:
        for entry in entries:
            if entry.version >= self.entries[entry.name].version if entry.name in self.entries else True:
                self.entries[entry.name] = entry
            self.version = max(self.version, entry.version)

    def whole(self) -> list[Entry]:
        """The list as it stands: who is gone is not in it."""
        return [entry for entry in self.entries.values() if entry.state is not Listed.DELETED]

    def since(self, version: int) -> list[Entry]:
        return sorted(
            (entry for entry in self.entries.values() if entry.version > version),
            key=lambda entry: entry.version,
        )
