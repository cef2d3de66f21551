"""What another address tells while a whole list is taken over in steps. A core.

While discovery moves, the old address is heard until the new one's list counts. What it tells when that list
has come whole, and is still being built, was told later than the list. So what has ended or started anew
since has done so in the new list as well. The rest is left to the new address's own changes, which bring all
that has come since its list; what that does not name, or knows of a later start, may be in none of them, and
a word of an old address that lags would stand for ever.
"""

import contextlib
from collections.abc import Callable, Generator, Iterable, Mapping
from weakref import WeakSet

from molereach.policy.interface.events import Endpoint
from molereach.subsetting.interface import Address, ListError
from molereach.subsetting.packed_records import is_later, name_of
from molereach.subsetting.staging import Entry, Staging, entry_of
from molereach.subsetting.subset import Whole


class Meanwhile:
    """Notes of what is told, for each list that is being built; `stage` is for entries that count."""

    def __init__(self, stage: Callable[[], Staging]) -> None:
        self.stage = stage
        self.notes: WeakSet[Staging] = WeakSet()

    def begin(self) -> Staging:
        """For what is told from now on, as long as it is held."""
        since = self.stage()
        self.notes.add(since)
        return since

    def note(self, entries: Iterable[Entry]) -> None:
        """Changes to the list in service."""
        for since in self.notes:
            for entry in entries:
                if since.count <= since.most:  # one more shows that it was not all
                    since.append(entry)

    def note_short(self, servers: Iterable[Endpoint], addresses: Mapping[str, Address]) -> None:
        """Changes to a short list, which needs no records."""
        if self.notes:
            for server in servers:
                with contextlib.suppress(ListError):  # what fits no record is in no long list
                    self.note([entry_of(server, addresses.get(server.name))])

    def catch_up(self, whole: Whole, since: Staging) -> Generator[None, None, None]:
        """Nothing is left at the end of the last step. ListError where more came than a list may have."""
        for entries in since.take():
            for place, record, gone in entries:
                there = whole.ring.get(place, record if gone else name_of(record))
                if there is not None and gone:
                    whole.remove(place, record)
                elif there is not None and is_later(record, there):
                    whole.put(place, record)
            if since.slices:
                yield
        if since.count > since.most:
            raise ListError(f"over {since.most} changes were told meanwhile")
        self.notes.discard(since)
