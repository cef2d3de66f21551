"""Changes sent by the old address of discovery while the list of a new address is applied in steps. No I/O.

The old address's list stays in use until that of the new address has been applied. Changes from the old
address that arrive while the new list is being built are newer than that list, so backends that were removed,
drain or were restarted meanwhile are changed in the new list too. Other changes are left to the new address,
which sends everything that happened after its list. An endpoint that the new list does not have, or has with
a later start, may be in none of these changes, so if it were added here it would never be removed.
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
    """Recordings of changes, one for each new list that is being built."""

    def __init__(self, stage: Callable[[], Staging]) -> None:
        """`stage` creates a staging whose entries count against the budget."""
        self.stage = stage
        self.recordings: WeakSet[Staging] = WeakSet()

    def begin(self) -> Staging:
        """Start a recording, which continues for as long as the caller keeps a reference to it."""
        recording = self.stage()
        self.recordings.add(recording)
        return recording

    def record(self, entries: Iterable[StagedEntry]) -> None:
        """Record changes to the list in use."""
        for recording in self.recordings:
            for entry in entries:
                # One entry more than the maximum is kept, which shows that the recording is incomplete.
                if recording.added_count <= recording.max_entries:
                    recording.append(entry)

    def record_short_list(
        self, endpoints: Iterable[Endpoint], addresses: Mapping[str, EndpointAddress]
    ) -> None:
        """Record changes to a short list, whose entries are not packed."""
        if self.recordings:
            for endpoint in endpoints:
                # An endpoint that does not fit into a record cannot be in the new list, which is long.
                with contextlib.suppress(EndpointListError):
                    self.record([entry_of(endpoint, addresses.get(endpoint.name))])

    def catch_up(self, index: EndpointIndex, recording: Staging) -> Generator[None, None, None]:
        """Apply a recording to a new list in steps; the recording ends with the last one.

        Raises EndpointListError if there were more changes than a list may have entries.
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
