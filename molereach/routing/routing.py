"""Every list passes through as it came: a stand-in for the view, with its bound and its refusals."""

from collections.abc import Generator, Iterable, Mapping

from fennelwinch import interface as i
from molereach.routing.interface import Address, ListError, Seen, Staged

STEP_ENTRIES = 512


class Entries:
    """Entries of one object that comes in parts."""

    def __init__(self, most: int) -> None:
        self.most = most
        self.servers: list[i.Server] = []
        self.addresses: dict[str, Address] = {}

    def add(self, servers: Iterable[i.Server], addresses: Mapping[str, Address]) -> None:
        self.servers += servers
        self.addresses |= addresses
        if len(self.servers) > self.most:
            raise ListError(f"a list of over {self.most} entries")


class Routing:
    """The whole list as the view of it."""

    def __init__(self, settings: i.Settings, size: int, most: int) -> None:
        self.size, self.most = size, most

    def stage(self) -> Entries:
        return Entries(self.most)

    def take(self, event: i.ServerList, addresses: Mapping[str, Address]) -> Seen | None:
        if len(event.servers) > self.most:
            raise ListError(f"a list of over {self.most} entries")
        return Seen(event, dict(addresses))

    def take_over(
        self, staged: Staged, kind: i.ListKind, version: int
    ) -> Generator[None, None, Seen | None]:
        assert isinstance(staged, Entries)
        names: set[str] = set()
        for at in range(0, len(staged.servers), STEP_ENTRIES):
            some = [server.name for server in staged.servers[at : at + STEP_ENTRIES]]
            if kind is i.ListKind.FULL and (len(set(some)) < len(some) or not names.isdisjoint(some)):
                raise ListError("the whole list names a server twice")
            names.update(some)
            yield
        return Seen(i.ServerList(kind, version, tuple(staged.servers)), staged.addresses)
