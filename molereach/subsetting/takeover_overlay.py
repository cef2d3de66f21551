"""Changes from the old address of discovery while a new address's list is taken over in steps. A core.

While discovery moves, the old address stays in force until the new one's list does. Changes that the old one
sends when the new list has arrived, and is still being built, are later than that list: what has left or
started anew since has done so in the new list as well. All else is left to the new address's own changes,
which bring all that has happened since its list. A change of the old address that the new list does not name,
or knows from a later start, may be in none of them, and would stay for ever.
"""

import contextlib
from collections.abc import Callable, Generator, Iterable, Mapping
from weakref import WeakSet

from molereach.endpoint_address import EndpointAddress
from molereach.policy.interface.events import Endpoint
from molereach.subsetting.interface import EndpointListError
from molereach.subsetting.packed_records import is_later, name_of
from molereach.subsetting.staging import StagedEntry, Staging, entry_of
from molereach.subsetting.subset import EndpointIndex


class TakeoverOverlay:
    """Recordings of changes, one for each list that is being built."""

    def __init__(self, stage: Callable[[], Staging]) -> None:
        """`stage` makes a staging whose entries count against the budget."""
        self.stage = stage
        self.recordings: WeakSet[Staging] = WeakSet()

    def begin(self) -> Staging:
        """Start a recording, which goes on for as long as the caller keeps it."""
        recording = self.stage()
        self.recordings.add(recording)
        return recording

    def record(self, entries: Iterable[StagedEntry]) -> None:
        """Record changes to the list in service."""
        for recording in self.recordings:
            for entry in entries:
                if recording.added_count <= recording.max_entries:  # one too many shows that it is incomplete
                    recording.append(entry)

    def record_short_list(
        self, servers: Iterable[Endpoint], addresses: Mapping[str, EndpointAddress]
    ) -> None:
        """Record changes to a short list, whose entries are not packed."""
        if self.recordings:
            for server in servers:
                with contextlib.suppress(EndpointListError):  # what fits no record is in no long list
                    self.record([entry_of(server, addresses.get(server.name))])

    def catch_up(self, index: EndpointIndex, recording: Staging) -> Generator[None, None, None]:
        """Apply a recording to a new list in steps; nothing is left of it after the last one.

        Raises EndpointListError where there were more changes than a list may have entries.
        """
        for entries in recording.consume_slices():
            for position, record, is_removed in entries:
                current = index.ring.get(position, record if is_removed else name_of(record))
                if current is not None and is_removed:
                    index.remove(position, record)
                elif current is not None and is_later(record, current):
                    index.put(position, record)
            if recording.slices:
                yield
        if recording.added_count > recording.max_entries:
            raise EndpointListError(f"over {recording.max_entries} changes during the takeover")
        self.recordings.discard(recording)
