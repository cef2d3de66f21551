"""Entries of one object that comes in parts: packed as they come, so that few bytes hold them. A core."""

from collections.abc import Iterable, Mapping

from fennelwinch import interface as i
from molereach.routing.interface import Address, ListError
from molereach.routing.places import place_of
from molereach.routing.records import name_bytes, pack

Entry = tuple[int, bytes, bool]  # the place, the record (or the name of one that is gone), whether it is gone


def entry_of(server: i.Server, address: Address | None) -> Entry:
    name = name_bytes(server.name)
    if server.state is i.ServerState.GONE:
        return place_of(name), name, True
    return place_of(name), pack(server, address), False


class Staging:
    """In the order in which they came; `most` of them at most."""

    __slots__ = ("entries", "most")

    def __init__(self, most: int) -> None:
        self.entries: list[Entry] = []
        self.most = most

    def add(self, servers: Iterable[i.Server], addresses: Mapping[str, Address]) -> None:
        """ListError where the list would need more memory than it may have."""
        for server in servers:
            if len(self.entries) >= self.most:
                raise ListError(f"a list of over {self.most} entries has no room in memory")
            self.entries.append(entry_of(server, addresses.get(server.name)))
