"""The list as it comes, and what of it the module hears: all of a short one, the view of a long one. A core.

A list is long from twice the view's size on, and short again at the view's size, so that one that stands at
a bound does not change its front doors with every backend. What leaves the view, also to drain, is told as
gone: what is out there ends as it does on any backend that goes.
"""

from collections.abc import Generator, Mapping, Sequence

from molereach.policy.interface.events import Endpoint, EndpointListKind, EndpointListReceived, EndpointState
from molereach.policy.interface.settings import Settings
from molereach.subsetting.entry_budget import COPIES, Room
from molereach.subsetting.idempotency_groups import kinds
from molereach.subsetting.interface import Address, ListError, Seen, Staged
from molereach.subsetting.packed_records import name_of, unpack
from molereach.subsetting.placement import LEAST_DOORS, door_place, least_reach
from molereach.subsetting.staging import STEP_ENTRIES, Staging, entry_of
from molereach.subsetting.subset import View, Whole
from molereach.subsetting.takeover_overlay import Meanwhile

LONG = 2  # times the view's size: from there on a list has a view
WHOLE_KINDS = (EndpointListKind.FULL, EndpointListKind.SAVED)
MORE_ENTRIES = 2 * STEP_ENTRIES  # that a list may have beyond the most between the steps of changes to it
Steps = Generator[None, None, Seen | None]
Short = dict[str, tuple[Endpoint, Address | None]]


class Routing:
    """The whole list and the view of it; `size` is the view's, `most` the entries that the list may have."""

    def __init__(self, settings: Settings, size: int, most: int) -> None:
        self.doors, self.size, self.most, self.kinds = settings.proxy_count, size, most, kinds(settings)
        self.short: Short | None = {}  # None: the list is long, and stands in `whole`
        self.room = Room(COPIES * most + MORE_ENTRIES)
        self.whole = self.empty()
        self.view = View(
            door_place(settings.proxy_index), least_reach(settings.proxy_index, settings.proxy_count), size
        )
        self.told: dict[bytes, bytes] = {}  # members of the view by name, as the module has them
        self.stale = False  # the view is to be chosen anew
        self.meanwhile = Meanwhile(self.stage)

    @property
    def count(self) -> int:
        """Entries of the whole list."""
        return self.whole.ring.count if self.short is None else len(self.short)

    def empty(self) -> Whole:
        """A list with nothing in it yet."""
        return self.room.count(Whole(self.kinds))

    def stage(self) -> Staging:
        return self.room.count(Staging(self.most, self.room))

    def take(self, event: EndpointListReceived, addresses: Mapping[str, Address]) -> Seen | None:
        """An object that came whole, and so holds few entries."""
        if event.kind is EndpointListKind.FAILED:
            return Seen(event, {})
        if self.short is not None:
            known = {} if event.kind in WHOLE_KINDS else dict(self.short)
            learn(known, event.endpoints, addresses)
            if len(known) <= LONG * self.size:
                self.short = known
                if event.kind not in WHOLE_KINDS:
                    self.meanwhile.note_short(event.endpoints, addresses)
                return Seen(event, dict(addresses))
        staged = Staging(self.most)
        staged.add(event.endpoints, addresses)
        return finish(self.take_over(staged, event.kind, event.version))

    def take_over(self, staged: Staged, kind: EndpointListKind, version: int) -> Steps:
        """All that was staged, in short steps; what the module has holds until the last."""
        assert isinstance(staged, Staging)
        if kind in WHOLE_KINDS:
            whole, since = self.empty(), self.meanwhile.begin()
            yield from self.build(whole, staged)
            yield from self.meanwhile.catch_up(whole, since)
            old, self.whole, self.stale = self.whole, whole, True
            if self.short is None:  # before the view is told: whoever leaves now has told nothing
                yield from old.ring.release()
        else:
            if self.short is not None:
                self.whole, self.stale = self.empty(), True
                yield from self.build(self.whole, self.stage_short(self.short))
            yield from self.change(staged)
        was_short, self.short = self.short is not None, None
        if self.whole.ring.count <= self.size * (LONG if was_short else 1):
            return self.shorten(kind, version)
        return self.tell(kind, version, was_short)

    def stage_short(self, short: Short) -> Staging:
        staged = Staging(self.most)
        for known in short.values():
            staged.append(entry_of(*known))
        return staged

    def build(self, whole: Whole, staged: Staging) -> Generator[None, None, None]:
        """A whole list; ListError where it names a backend twice, as nobody knows which of them holds."""
        for entries in staged.take():
            for place, record, gone in entries:
                if not gone and whole.put(place, record) is not None:
                    raise ListError(f"the whole list names a server twice: {name_of(record)[:80]!r}")
            yield

    def change(self, staged: Staging) -> Generator[None, None, None]:
        """Changes: each is true by itself. Where they are not taken over to the end, the next call brings
        them again. What comes may stand before what goes, so the list is counted at the end of a step."""
        whole, view = self.whole, self.view
        for entries in staged.take():
            for place, record, gone in entries:
                before = whole.remove(place, record) if gone else whole.put(place, record)
                self.stale = self.stale or view.concerns(whole, place, before, None if gone else record)
            self.meanwhile.note(entries)
            if whole.ring.count > self.most + (STEP_ENTRIES if staged.slices else 0):
                raise ListError(f"a list of over {self.most} entries has no room in memory")
            if staged.slices:
                yield

    def shorten(self, kind: EndpointListKind, version: int) -> Seen:
        """The list is short: all of it is told, and kept as it is."""
        kind = kind if kind in WHOLE_KINDS else EndpointListKind.FULL
        listed = [unpack(record) for record in self.whole.ring]
        self.short = {server.name: (server, address) for server, address in listed}
        self.whole, self.told, self.stale = self.empty(), {}, False
        return seen(kind, version, listed)

    def tell(self, kind: EndpointListKind, version: int, whole: bool) -> Seen | None:
        """The view, or what has changed of it."""
        if not (self.stale or whole or kind in WHOLE_KINDS):
            return None
        if self.stale:
            self.view.fill(self.whole)
            self.stale = False
        before, self.told = self.told, self.view.members
        if before is self.told and not whole:  # nothing that concerns it: not looked through
            return None
        up = max(1, self.whole.ring.up)
        seen_by = min(self.doors, max(LEAST_DOORS, round(self.doors * len(self.told) / up)))
        if whole or kind in WHOLE_KINDS:
            kind = kind if kind in WHOLE_KINDS else EndpointListKind.FULL
            return seen(kind, version, [unpack(record) for record in self.told.values()], seen_by)
        left = [gone(unpack(record)[0]) for name, record in before.items() if name not in self.told]
        new = [unpack(record) for name, record in self.told.items() if before.get(name) != record]
        if not left and not new:
            return None
        return seen(kind, version, [*left, *new], seen_by)


def learn(short: Short, servers: Sequence[Endpoint], addresses: Mapping[str, Address]) -> None:
    """Keep a short list."""
    for server in servers:
        known = short.pop(server.name, None)
        if server.state is not EndpointState.GONE:
            short[server.name] = server, addresses.get(server.name) or (known and known[1])


def gone(server: Endpoint) -> tuple[Endpoint, Address | None]:
    return Endpoint(
        server.name, server.zone, server.kind, server.cell, EndpointState.GONE, server.size, server.started_us
    ), None


def seen(
    kind: EndpointListKind, version: int, listed: Sequence[tuple[Endpoint, Address | None]], seen_by: int = 0
) -> Seen:
    """News for the module; changes where they are not the whole of it."""
    event = EndpointListReceived(kind, version, tuple(server for server, _ in listed), seen_by)
    return Seen(event, {server.name: address for server, address in listed if address})


def finish(steps: Steps) -> Seen | None:
    """All steps at once, of an object that holds few entries."""
    while True:
        try:
            next(steps)
        except StopIteration as done:
            result: Seen | None = done.value
            return result
